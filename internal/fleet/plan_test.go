package fleet

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// largestWave is the reference implementation of PlanWaves, which plans a wave: the
// operations of a maintenance that start together in an availability zone. It tries
// every subset of the target VMs in the zone and returns the size of the largest one
// within max_parallel and the availability budget, the most VMs that may be down at
// once.
func largestWave(s *State, in WaveInput, m *apiv1.Maintenance, zone string) int {
	var targets []*apiv1.Vm
	active := 0
	for _, vm := range s.InPool(m.Pool) {
		if vm.OperationId == "" && vm.AvailabilityZone == zone && !slices.Contains(vm.MaintenancesDone, m.Name) {
			targets = append(targets, vm)
		}
	}
	for _, it := range in.Intents {
		if it.Maintenance == m.Name && it.Phase <= apiv1.IntentPhase_INTENT_PHASE_OPERATING {
			active++
		}
	}
	best := 0
	for set := range uint(1) << len(targets) {
		extra := map[string]bool{}
		for i, vm := range targets {
			extra[vm.Id] = set>>i&1 == 1
		}
		ok := m.MaxParallel == 0 || active+bits.OnesCount(set) <= int(m.MaxParallel)
		for _, vm := range targets {
			// A VM that is already down uses no further budget.
			ok = ok && (!extra[vm.Id] || isDown(s, in.Index, vm) || isWithinBudget(s, in.Index, vm, extra))
		}
		if ok {
			best = max(best, bits.OnesCount(set))
		}
	}
	return best
}

// drawWave returns a state and the input made from it. Some operations of the
// maintenance object m0, or of none, are in progress or done.
func drawWave(t *rapid.T) (*State, WaveInput) {
	ix := drawIndex(t)
	ix.Set.Maintenance = ix.Set.Maintenance[:1]
	s := drawFleet(t, ix)
	for n := range rapid.IntRange(0, 3).Draw(t, "intents") {
		it := &apiv1.Intent{OperationId: fmt.Sprint("old", n), Vm: randomVM(t), Kind: apiv1.IntentKind_INTENT_KIND_DRAIN, Maintenance: rapid.SampledFrom([]string{"m0", ""}).Draw(t, "of")}
		s.CreateIntents(1, &apiv1.CreateIntents{Intents: []*apiv1.Intent{it}}, ix)
		if rapid.Bool().Draw(t, "done") {
			for _, phase := range []apiv1.IntentPhase{apiv1.IntentPhase_INTENT_PHASE_OPERATING, apiv1.IntentPhase_INTENT_PHASE_DONE} {
				s.AdvanceIntents(1, &apiv1.AdvanceIntents{Advances: []*apiv1.IntentAdvance{{OperationId: it.OperationId, Phase: phase}}}, ix)
			}
		}
	}
	return s, WaveInput{NowMS: 1, VMs: s.VMs(), Intents: s.Intents(), Index: ix}
}

// Guards against waves that spread over several availability zones, select a VM
// twice, are rejected at the commit, or are smaller than the budget allows.
func TestPlanWavesMatchesNaive(t *testing.T) {
	setRapidChecks(5000, 0)
	rapid.Check(t, func(t *rapid.T) {
		s, in := drawWave(t)
		m := in.Index.Set.Maintenance[0]
		plan := PlanWaves(in)
		activeZone := ""
		for _, it := range in.Intents {
			if vm, _ := s.VM(it.Vm); it.Maintenance == "m0" && it.Phase <= apiv1.IntentPhase_INTENT_PHASE_OPERATING && (activeZone == "" || vm.AvailabilityZone < activeZone) {
				activeZone = vm.AvailabilityZone
			}
		}
		want, zone := 0, activeZone
		for i := range 3 {
			if z := fmt.Sprint("z", i); want == 0 && (activeZone == "" || activeZone == z) {
				want, zone = largestWave(s, in, m, z), z
			}
		}
		if m.State != apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING {
			want = 0
		}
		for _, it := range plan {
			if vm, _ := s.VM(it.Vm); vm.AvailabilityZone != zone {
				t.Fatalf("VM %s of zone %s planned while the active zone is %s", vm.Id, vm.AvailabilityZone, zone)
			}
		}
		if rejected := s.CreateIntents(1, &apiv1.CreateIntents{Intents: plan}, in.Index); len(rejected) > 0 || len(plan) != want {
			t.Fatalf("planned %d, want %d, rejected %v", len(plan), want, rejected)
		}
	})
}

// naivePlanner is the reference implementation of PlanCapacity, which plans moves of
// VMs between pools. It recounts everything for every possible move after each
// planned one.
type naivePlanner struct {
	s    *State
	in   CapacityInput
	pool map[string]string // pool of each VM after the planned moves
	out  []*apiv1.Intent
}

// zoneCounts returns the number of VMs up in the pool per zone, in total, and in
// the zone with the most.
func (n *naivePlanner) zoneCounts(pool string) (zones map[string]int, up, largest int) {
	zones = map[string]int{}
	for _, vm := range n.in.VMs {
		if n.pool[vm.Id] == pool && !isDown(n.s, n.in.Index, vm) {
			up++
			zones[vm.AvailabilityZone]++
		}
	}
	return zones, up, max(zones["z0"], zones["z1"], zones["z2"])
}

// shortages returns how many milli-VMs the pool is missing for its demand under its
// policy, and how many it would be missing if the zone with the most VMs failed.
func (n *naivePlanner) shortages(pool string) (use, reserve int) {
	p := n.in.Index.Policies["policy"]
	_, up, largest := n.zoneCounts(pool)
	demand := int(n.in.Demand[pool])
	if demand*100 > up*1000*85 {
		use = max(0, demand*(100+int(p.BufferPercent))/100-up*1000, demand*100/85-up*1000)
	}
	if p.ReserveZoneLoss {
		reserve = max(0, demand-(up-largest)*1000)
	}
	return use, reserve
}

// canLeave reports whether vm may leave the pool from under the checks made at the
// commit and under the cooldown.
func (n *naivePlanner) canLeave(vm *apiv1.Vm, from string) bool {
	extra := map[string]bool{vm.Id: true}
	left := 0
	for _, o := range n.in.VMs {
		if o.Pool == from && n.pool[o.Id] == from {
			left++
		}
		extra[o.Id] = extra[o.Id] || n.pool[o.Id] != o.Pool
	}
	return n.pool[vm.Id] == from && vm.Pool == from && !isDown(n.s, n.in.Index, vm) && left > int(n.in.Index.Pools[from].MinVms) &&
		(vm.LastMovedUnixMs == 0 || n.in.NowMS-vm.LastMovedUnixMs >= 30_000) && isWithinBudget(n.s, n.in.Index, vm, extra)
}

// move plans a move of the VM with the lowest load, then in the zone with the
// fewest (sign 1) or the most (sign -1) VMs of pool, then with the lowest id. It
// reports whether there was a VM that ok accepts.
func (n *naivePlanner) move(from, to, pool string, sign int, ok func(*apiv1.Vm) bool) bool {
	zones, _, _ := n.zoneCounts(pool)
	list := slices.DeleteFunc(slices.Clone(n.in.VMs), func(vm *apiv1.Vm) bool { return !n.canLeave(vm, from) || !ok(vm) })
	if len(list) == 0 {
		return false
	}
	vm := slices.MinFunc(list, func(a, b *apiv1.Vm) int {
		return cmp.Or(cmp.Compare(n.in.Load(a.Id), n.in.Load(b.Id)), sign*(zones[a.AvailabilityZone]-zones[b.AvailabilityZone]), strings.Compare(a.Id, b.Id))
	})
	n.pool[vm.Id] = to
	n.out = append(n.out, &apiv1.Intent{
		OperationId: fmt.Sprintf("move.%s.%d.0", vm.Id, n.in.NowMS), Vm: vm.Id, FromPool: vm.Pool, ToPool: to, Kind: apiv1.IntentKind_INTENT_KIND_MOVE,
	})
	return true
}

func (n *naivePlanner) urgency(pool string) int {
	use, reserve := n.shortages(pool)
	demand := int(n.in.Demand[pool])
	if use >= 100 {
		return 1_000_000 + use*1000/(demand+1)
	}
	if reserve >= 100 {
		return reserve * 1000 / (demand + 1)
	}
	return 0
}

func (n *naivePlanner) grow() {
	for noCandidate := map[string]bool{}; ; {
		to, highest := "", 0
		for _, p := range []string{"p0", "p1"} {
			if urgency := n.urgency(p); !noCandidate[p] && urgency > highest {
				to, highest = p, urgency
			}
		}
		if to == "" {
			return
		}
		use, _ := n.shortages(to)
		zones, _, largest := n.zoneCounts(to)
		noCandidate[to] = !n.move("p2", to, to, 1, func(vm *apiv1.Vm) bool {
			return use >= 100 || zones[vm.AvailabilityZone] < largest || largest == 0
		})
	}
}

func (n *naivePlanner) shrink(pool string) {
	demand, buffer := int(n.in.Demand[pool]), int(n.in.Index.Policies["policy"].BufferPercent)
	for _, vm := range n.in.VMs {
		if vm.Pool == pool && n.in.NowMS-vm.LastMovedUnixMs < 30_000 {
			return // a VM was moved in less than the cooldown ago
		}
	}
	for again := true; again; {
		_, up, _ := n.zoneCounts(pool)
		again = demand*100 < up*1000*50 && n.move(pool, "p2", pool, -1, func(vm *apiv1.Vm) bool {
			n.pool[vm.Id] = "p2"
			use, reserve := n.shortages(pool)
			n.pool[vm.Id] = pool
			return use == 0 && reserve == 0 && (up-1)*1000 >= demand*(100+buffer)/100
		})
	}
}

// Guards against a capacity planner whose incrementally updated counts lead to
// moves other than those of the reference implementation, whose moves are rejected
// at the commit, or that moves VMs back and forth under a constant demand.
func TestPlanCapacityMatchesNaive(t *testing.T) {
	setRapidChecks(5000, 0)
	rapid.Check(t, func(t *rapid.T) {
		ix := drawIndex(t)
		s := drawFleet(t, ix)
		load := map[string]int{}
		for _, vm := range s.VMs() {
			load[vm.Id] = rapid.IntRange(0, 1).Draw(t, "load")
			s.updateVM(vm.Id, func(vm *apiv1.Vm) { vm.LastMovedUnixMs = rapid.SampledFrom([]int64{0, 0, 0, 80_000}).Draw(t, "moved") })
		}
		in := CapacityInput{
			WaveInput: WaveInput{NowMS: 100_000, VMs: s.VMs(), Index: ix, Load: func(vm string) int { return load[vm] }},
			Demand:    map[string]uint64{"p0": rapid.Uint64Range(0, 6000).Draw(t, "demand"), "p1": rapid.Uint64Range(0, 6000).Draw(t, "demand")},
		}
		n := &naivePlanner{s: s, in: in, pool: map[string]string{}}
		for _, vm := range in.VMs {
			n.pool[vm.Id] = vm.Pool
		}
		n.grow()
		n.shrink("p0")
		n.shrink("p1")
		plan := PlanCapacity(in)
		if !proto.Equal(&apiv1.CreateIntents{Intents: plan}, &apiv1.CreateIntents{Intents: n.out}) {
			t.Fatalf("plan:\n%v\nwant:\n%v", plan, n.out)
		}
		if rejected := s.CreateIntents(in.NowMS, &apiv1.CreateIntents{Intents: plan}, ix); len(rejected) > 0 {
			t.Fatalf("rejected: %v", rejected)
		}
		checkConvergence(t, s, in, plan)
	})
}

// checkConvergence completes moves and plans again until nothing is left to move. No
// VM may make the same move twice, because the demand is constant. A VM may return
// once: if the only spare VM was in a zone where the pool already had the most VMs,
// the pool returns it when a VM in another zone becomes spare.
func checkConvergence(t *rapid.T, s *State, in CapacityInput, plan []*apiv1.Intent) {
	made := map[[3]string]bool{}
	for range 30 {
		for _, it := range plan {
			key := [3]string{it.Vm, it.FromPool, it.ToPool}
			if made[key] {
				t.Fatalf("VM %s moves to pool %s again under the same demand", it.Vm, it.ToPool)
			}
			made[key] = true
		}
		s.CreateIntents(in.NowMS, &apiv1.CreateIntents{Intents: plan}, in.Index)
		var all apiv1.AdvanceIntents
		for _, phase := range []apiv1.IntentPhase{apiv1.IntentPhase_INTENT_PHASE_OPERATING, apiv1.IntentPhase_INTENT_PHASE_DONE} {
			for _, it := range s.Intents() {
				all.Advances = append(all.Advances, &apiv1.IntentAdvance{OperationId: it.OperationId, Phase: phase})
			}
		}
		s.AdvanceIntents(in.NowMS, &all, in.Index)
		in.NowMS += 100_000
		in.VMs, in.Intents = s.VMs(), s.Intents()
		if plan = PlanCapacity(in); len(plan) == 0 {
			return
		}
	}
	t.Fatal("moves never end under the same demand")
}
