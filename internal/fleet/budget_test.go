package fleet

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// model drives one State, the VMs and the operations on them, with commands in any
// order, among them plans made on older states, and tracks the expected pool of each
// VM.
type model struct {
	s     *State
	ix    *objects.Index
	now   int64
	pools map[string]string
	plans []*apiv1.CreateIntents
	next  int
}

// create commits one intent, a recorded operation (move, drain or reboot) on a VM,
// and compares whether it is accepted with a reference implementation of the rules.
func (m *model) create(t *rapid.T, it *apiv1.Intent) {
	m.s.pruneFinished(m.now)
	vm, known := m.s.VM(it.Vm)
	resent := slices.ContainsFunc(m.s.Intents(), func(o *apiv1.Intent) bool { return o.OperationId == it.OperationId })
	before := m.down()
	want := known && vm.OperationId == "" && (it.FromPool == "" || it.FromPool == vm.Pool)
	if want && it.Kind == apiv1.IntentKind_INTENT_KIND_MOVE {
		want = it.ToPool != vm.Pool && !before[vm.Id] && m.remaining(vm.Pool) > int(m.ix.Pools[vm.Pool].MinVms)
	}
	if want && !before[vm.Id] {
		want = isWithinBudget(m.s, m.ix, vm, map[string]bool{vm.Id: true})
	}
	rejected := m.s.CreateIntents(m.now, &apiv1.CreateIntents{Intents: []*apiv1.Intent{it}}, m.ix)
	if accepted := len(rejected) == 0; accepted != (want || resent) {
		t.Fatalf("intent %v accepted: %v, want %v (%v)", it, accepted, want || resent, rejected)
	}
	m.checkNewlyDown(t, before)
}

// remaining counts the VMs of the pool that no move in progress takes away.
func (m *model) remaining(pool string) int {
	n := 0
	for _, vm := range m.s.VMs() {
		moving := slices.ContainsFunc(m.s.Intents(), func(it *apiv1.Intent) bool {
			return it.Vm == vm.Id && it.Kind == apiv1.IntentKind_INTENT_KIND_MOVE && it.Phase <= apiv1.IntentPhase_INTENT_PHASE_OPERATING
		})
		if vm.Pool == pool && !moving {
			n++
		}
	}
	return n
}

// down reports for each VM whether it is down for any cause.
func (m *model) down() map[string]bool {
	down := map[string]bool{}
	for _, vm := range m.s.VMs() {
		down[vm.Id] = isDown(m.s, m.ix, vm)
	}
	return down
}

// checkNewlyDown fails the test if a VM that went down since before exceeds the
// availability budget of its pool, the most VMs that may be down at once.
func (m *model) checkNewlyDown(t *rapid.T, before map[string]bool) {
	for id, down := range m.down() {
		vm, _ := m.s.VM(id)
		if down && !before[id] && !isWithinBudget(m.s, m.ix, vm, nil) {
			t.Fatalf("VM %s was taken down and exceeds the budget of pool %s", id, vm.Pool)
		}
	}
}

// plan makes plans on the current state, to be committed at any later time.
func (m *model) plan(t *rapid.T) {
	in := CapacityInput{WaveInput: WaveInput{NowMS: m.now, VMs: m.s.VMs(), Intents: m.s.Intents(), Index: m.ix}, Demand: map[string]uint64{}}
	for _, p := range []string{"p0", "p1"} {
		in.Demand[p] = rapid.Uint64Range(0, 6000).Draw(t, "demand")
	}
	plan := slices.Concat(PlanWaves(in.WaveInput), PlanRepairs(in.WaveInput), PlanCapacity(in))
	m.plans = append(m.plans, &apiv1.CreateIntents{Intents: plan})
	m.s.AdvanceIntents(m.now, &apiv1.AdvanceIntents{Advances: PlanCancellations(in.WaveInput)}, m.ix)
}

// commit commits one of the plans made so far, possibly for a second time.
func (m *model) commit(t *rapid.T) {
	if len(m.plans) == 0 {
		return
	}
	for _, it := range rapid.SampledFrom(m.plans).Draw(t, "plan").Intents {
		m.create(t, it)
	}
}

// advance tries to move an intent to any phase of its operation. A finished intent
// must not change.
func (m *model) advance(t *rapid.T) {
	list := m.s.Intents()
	if len(list) == 0 {
		return
	}
	it := list[rapid.IntRange(0, len(list)-1).Draw(t, "intent")]
	phase := apiv1.IntentPhase(rapid.IntRange(1, 5).Draw(t, "phase"))
	m.s.AdvanceIntents(m.now, &apiv1.AdvanceIntents{Advances: []*apiv1.IntentAdvance{{OperationId: it.OperationId, Phase: phase}}}, m.ix)
	after, kept := m.s.intents[it.OperationId]
	if !kept {
		return
	}
	if Finished(it.Phase) && after.Phase != it.Phase {
		t.Fatalf("finished operation went from %s to %s", it.Phase, after.Phase)
	}
	if it.Phase != after.Phase && after.Phase == apiv1.IntentPhase_INTENT_PHASE_DONE && it.Kind == apiv1.IntentKind_INTENT_KIND_MOVE {
		m.pools[it.Vm] = it.ToPool
	}
}

// check verifies that each VM is in its expected pool only and has at most one
// operation, and continues with a restored snapshot.
func (m *model) check(t *rapid.T) {
	seen := map[string]string{}
	for _, p := range m.ix.Set.Pool {
		for _, vm := range m.s.InPool(p.Name) {
			if other, twice := seen[vm.Id]; twice {
				t.Fatalf("VM %s is in pools %s and %s", vm.Id, other, p.Name)
			}
			seen[vm.Id] = p.Name
		}
	}
	for id, pool := range m.pools {
		if vm, _ := m.s.VM(id); seen[id] != pool || vm.Pool != pool {
			t.Fatalf("VM %s is listed in pool %q and says %q, want %q", id, seen[id], vm.Pool, pool)
		}
	}
	open := map[string]string{}
	for _, it := range m.s.Intents() {
		if it.Phase <= apiv1.IntentPhase_INTENT_PHASE_OPERATING {
			if open[it.Vm] != "" {
				t.Fatalf("VM %s has operations %s and %s at once", it.Vm, open[it.Vm], it.OperationId)
			}
			open[it.Vm] = it.OperationId
		}
	}
	for _, vm := range m.s.VMs() {
		if vm.OperationId != open[vm.Id] {
			t.Fatalf("VM %s holds operation %q, want %q", vm.Id, vm.OperationId, open[vm.Id])
		}
	}
	snap := m.s.Snapshot()
	m.s = New()
	m.s.Restore(snap)
	if !proto.Equal(snap, m.s.Snapshot()) {
		t.Fatal("the restored state differs")
	}
}

// Guards against exceeding an availability budget (the most VMs of a pool, zone or
// rack that may be down at once) by drains, waves (operations that a maintenance
// starts together), moves and quarantines in any order, mixed with failures of VMs,
// and against a VM in no pool or in two pools.
func TestBudgetsHoldUnderAnyCommands(t *testing.T) {
	setRapidChecks(2000, 60)
	rapid.Check(t, func(t *rapid.T) {
		m := &model{s: New(), ix: drawIndex(t), now: 1, pools: map[string]string{}}
		observe := func(t *rapid.T) {
			n := rapid.IntRange(0, 9).Draw(t, "vm")
			pool := rapid.SampledFrom([]string{"p0", "p0", "p1", "p2", "unknown"}).Draw(t, "announced")
			o := observation(n, pool, rapid.IntRange(0, 3).Draw(t, "down") == 0)
			rejected := m.s.Observe(m.now, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{o}}, m.ix)
			if _, known := m.pools[o.Vm]; !known && len(rejected) == 0 {
				m.pools[o.Vm] = map[string]string{"unknown": "p2"}[pool] + map[bool]string{true: pool}[pool != "unknown"]
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"observe":  observe,
			"observe2": observe,
			"intent": func(t *rapid.T) {
				m.next++
				m.create(t, &apiv1.Intent{
					OperationId: fmt.Sprint("op", m.next), Vm: randomVM(t), Kind: apiv1.IntentKind(rapid.IntRange(1, 3).Draw(t, "kind")),
					ToPool: fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "to")), Phase: apiv1.IntentPhase_INTENT_PHASE_DONE,
				})
			},
			"plan":    m.plan,
			"commit":  m.commit,
			"advance": m.advance,
			"failures": func(t *rapid.T) {
				id, before := randomVM(t), m.down()
				for i := range 5 {
					m.s.RecordFailure(id, fmt.Sprint("job", i%4), m.ix)
				}
				m.checkNewlyDown(t, before)
			},
			"success": func(t *rapid.T) { m.s.RecordSuccess(randomVM(t)) },
			"publish": func(t *rapid.T) { m.ix = drawIndex(t); m.s.SetConfig(m.ix) },
			"time":    func(t *rapid.T) { m.now += rapid.SampledFrom([]int64{1000, 60_000, 90_000_000}).Draw(t, "by") },
		})
	})
}
