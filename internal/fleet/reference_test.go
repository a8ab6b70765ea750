package fleet

import (
	"flag"
	"fmt"

	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// setRapidChecks sets the number of cases of the following property-based test and
// the mean number of steps in each case.
func setRapidChecks(n, steps int) {
	flag.Set("rapid.checks", fmt.Sprint(n))
	flag.Set("rapid.steps", fmt.Sprint(steps))
}

// drawIndex returns a configuration with the pools p0 and p1 and the spare pool p2
// in three availability zones. Budgets, policy and states are drawn at random.
func drawIndex(t *rapid.T) *objects.Index {
	set := &apiv1.ObjectSet{CapacityPolicy: []*apiv1.CapacityPolicy{{
		Name: "policy", GrowAtPercent: 85, ShrinkAtPercent: 50, BufferPercent: rapid.SampledFrom([]uint32{0, 10, 30}).Draw(t, "buffer"),
		MoveCooldownMs: 30_000, ReserveZoneLoss: rapid.Bool().Draw(t, "reserve"),
	}}}
	few := rapid.Uint32Range(0, 2)
	for i := range 3 {
		set.AvailabilityZone = append(set.AvailabilityZone, &apiv1.AvailabilityZone{
			Name: fmt.Sprint("z", i), State: apiv1.ZoneState(1 + rapid.IntRange(0, 5).Draw(t, "zone")/5),
		})
		set.AvailabilityBudget = append(set.AvailabilityBudget, &apiv1.AvailabilityBudget{
			Name: fmt.Sprint("b", i), MaxDown: rapid.Uint32Range(1, 5).Draw(t, "budget"),
			MaxDownPerZone: few.Draw(t, "zone budget"), MaxDownPerRack: few.Draw(t, "rack budget"),
		})
		set.Pool = append(set.Pool, &apiv1.Pool{
			Name: fmt.Sprint("p", i), AvailabilityBudget: fmt.Sprint("b", i), CapacityPolicy: "policy",
			Spare: i == 2, MinVms: few.Draw(t, "min"),
		})
	}
	for i := range 2 {
		set.Maintenance = append(set.Maintenance, &apiv1.Maintenance{
			Name: fmt.Sprint("m", i), Pool: "p0", Action: apiv1.IntentKind_INTENT_KIND_REBOOT, MaxParallel: few.Draw(t, "parallel"),
			State: apiv1.MaintenanceState(rapid.IntRange(1, 3).Draw(t, "maintenance")),
		})
	}
	return objects.NewIndex(set)
}

func randomVM(t *rapid.T) string { return fmt.Sprint("vm", rapid.IntRange(0, 9).Draw(t, "vm")) }

// observation returns an announcement of VM n. Its zone and rack depend only on n.
func observation(n int, pool string, down bool) *apiv1.VmObservation {
	return &apiv1.VmObservation{
		Vm: fmt.Sprint("vm", n), Pool: pool, AvailabilityZone: fmt.Sprint("z", n%3), Rack: fmt.Sprint("r", n%2),
		WorkerId: fmt.Sprint("w", n), Down: down,
	}
}

// drawFleet returns up to ten VMs in drawn pools, some of them down.
func drawFleet(t *rapid.T, ix *objects.Index) *State {
	s := New()
	for n := range rapid.IntRange(1, 10).Draw(t, "vms") {
		pool := rapid.SampledFrom([]string{"p0", "p0", "p0", "p1", "p2", "p2"}).Draw(t, "pool")
		s.Observe(1, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{observation(n, pool, false)}}, ix)
		if rapid.IntRange(0, 4).Draw(t, "down") == 0 {
			s.Observe(1, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{observation(n, pool, true)}}, ix)
		}
	}
	return s
}

// isDown is the reference implementation of Available, negated. It looks for
// operations in progress among the intents, the recorded operations on VMs.
func isDown(s *State, ix *objects.Index, vm *apiv1.Vm) bool {
	for _, it := range s.Intents() {
		if it.Vm == vm.Id && it.Phase <= apiv1.IntentPhase_INTENT_PHASE_OPERATING {
			return true
		}
	}
	return vm.Down || vm.Quarantined || ix.Zones[vm.AvailabilityZone].State == apiv1.ZoneState_ZONE_STATE_OUT
}

// isWithinBudget is the reference implementation of the check of the availability
// budget, the most VMs of a pool, zone or rack that may be down at once. It counts
// the VMs that are down or in extra and share pool, zone and rack with vm.
func isWithinBudget(s *State, ix *objects.Index, vm *apiv1.Vm, extra map[string]bool) bool {
	b := ix.Budgets[ix.Pools[vm.Pool].AvailabilityBudget]
	var pool, zone, rack uint32
	for _, o := range s.VMs() {
		if o.Pool != vm.Pool || (!isDown(s, ix, o) && !extra[o.Id]) {
			continue
		}
		pool++
		if o.AvailabilityZone == vm.AvailabilityZone {
			zone++
			if o.Rack == vm.Rack {
				rack++
			}
		}
	}
	return pool <= b.MaxDown && (b.MaxDownPerZone == 0 || zone <= b.MaxDownPerZone) && (b.MaxDownPerRack == 0 || rack <= b.MaxDownPerRack)
}
