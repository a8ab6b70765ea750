package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Guards against work that never starts because its pool is taken for one without
// waiting tasks: what the planner starts must not change when it gets the health of
// the minions in waiting pools only.
func TestOnlyWaitingPoolsHaveStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newTwoPools(t)
		in := Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 1000}
		want := planPools(in, map[string]bool{"p": true, "p2": true})
		waiting := WaitingPools(h.state, nowMS)
		in.Health = map[batch.Incarnation]Health{}
		for _, m := range h.state.Minions() {
			if inc := batch.IncarnationOf(m.Life); waiting[m.Pool] {
				in.Health[inc] = h.health[inc]
			}
		}
		if got := Plan(in); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("planned %v with the minions of %v, %v with those of all pools", got, waiting, want)
		}
	})
}

// newTwoPools returns a harness with minions and jobs of two pools, some of them
// recurring, of which the tasks of some have started.
func newTwoPools(t *rapid.T) *harness {
	h := newHarness(nil)
	queues := []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}, {Name: "low", Pool: "p2", MaxAttempts: 3}}
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 2, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "p2"}}, Queues: queues,
	}}})
	for i := range rapid.IntRange(1, 6).Draw(t, "minions") {
		inc := h.addMinion(fmt.Sprint("m", i), uint32(rapid.IntRange(1, 8).Draw(t, "cpu"))*1000)
		h.moveToPool(inc, []string{"p", "p2"}[i%2])
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "jobs") {
		n := rapid.IntRange(0, 1).Draw(t, "queue")
		job := &apiv1.BatchJob{
			Id: fmt.Sprint("j", i), Queue: queues[n].Name, AcceptedQueue: queues[n],
			Steps: []*apiv1.BatchStep{newStep(uint32(rapid.IntRange(1, 3).Draw(t, "count")), 1000), newStep(1, 1000)},
		}
		job.Steps[1].After = []uint32{0}
		if rapid.Bool().Draw(t, "recurring") {
			job.Repetitions, job.IntervalMs, job.FirstDueUnixMs = 3, 1000, nowMS+int64(rapid.IntRange(-3000, 2000).Draw(t, "due"))
		}
		h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: job}})
	}
	starts := h.plan()
	starts = starts[:rapid.IntRange(0, len(starts)).Draw(t, "started")]
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: starts}}})
	return h
}

func (h *harness) moveToPool(inc batch.Incarnation, pool string) {
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{
		Life: inc.Message(), Pool: pool, AvailabilityZone: "z", Capacity: h.state.Minion(inc.ID).Capacity,
	}}}}})
}
