package placement

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
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
		if got := Plan(in); !slices.EqualFunc(got, want, sameStart) {
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

// Guards against an index of the candidates that chooses another minion than a scan
// of them all, while starts and gangs that are given up change what is free.
func TestIndexChoosesAsAScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(nil)
		for i := range rapid.IntRange(1, 12).Draw(t, "minions") {
			labels := []string{fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "rack"))}
			if rapid.Bool().Draw(t, "labeled") {
				labels = append(labels, "l")
			}
			inc := h.addMinion(fmt.Sprintf("m%02d", i), uint32(rapid.IntRange(0, 6).Draw(t, "cpu"))*1000, labels...)
			h.health[inc] = Health{Usable: true, Suspect: rapid.IntRange(0, 3).Draw(t, "suspect") == 0}
		}
		h.submit("j", "q", newStep(1000, 1000))
		j := h.state.Job("j")
		p := newPlanner(Input{State: h.state, NowUnixMS: nowMS, Health: h.health})
		p.collectMinions(map[string]bool{"p": true})
		pool := p.candidates["p"]
		p.room["p"].scans = scansBeforeIndex
		type started struct {
			step *apiv1.BatchStep
			ref  batch.TaskRef
			on   *candidate
		}
		var starts []started
		for i := range rapid.IntRange(1, 40).Draw(t, "tasks") {
			if len(starts) > 0 && rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				n := rapid.IntRange(0, len(starts)-1).Draw(t, "which")
				s := starts[n]
				starts = append(starts[:n], starts[n+1:]...)
				p.release(j, s.step, []batch.TaskRef{s.ref}, []*candidate{s.on})
			}
			step := newStep(1, uint32(rapid.IntRange(0, 4).Draw(t, "need"))*500)
			step.Resources.MemoryMb = uint32(rapid.IntRange(1, 3).Draw(t, "memory")) * 30_000
			step.Fills = rapid.IntRange(0, 5).Draw(t, "fills") == 0
			step.LongRunning = rapid.IntRange(0, 5).Draw(t, "long") == 0
			step.PreferredRack = []string{"", "r0", "r1", "r9"}[rapid.IntRange(0, 3).Draw(t, "preferred")]
			step.RequiredLabel = []string{"", "", "l"}[rapid.IntRange(0, 2).Draw(t, "required")]
			step.MaxPerMinion = uint32(rapid.IntRange(0, 2).Draw(t, "max"))
			ref := batch.TaskRef{Job: "j", Step: uint32(i % 3)}
			want := scanForBest(step, ref, pool)
			if got := p.bestCandidate(step, ref, pool); got != want {
				t.Fatalf("task %d: the index chose %v, a scan %v", i, got.name(), want.name())
			}
			if want != nil {
				p.allocate(j, step, ref, want)
				starts = append(starts, started{step, ref, want})
			}
		}
	})
}

// name returns the minion's id, empty for no candidate.
func (c *candidate) name() string {
	if c == nil {
		return ""
	}
	return c.minion.Life.Id
}

func sameStart(a, b *apiv1.StartedRun) bool { return proto.Equal(a, b) }

// Guards against a round that plans otherwise once it has scanned a pool so often that
// it sorts the candidates.
func TestLongRoundsChooseAsScans(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(nil)
		for i := range rapid.IntRange(2, 8).Draw(t, "minions") {
			h.addMinion(fmt.Sprint("m", i), uint32(rapid.IntRange(1, 8).Draw(t, "cpu"))*1000, fmt.Sprint("r", i%2))
		}
		for i := range rapid.IntRange(6, 12).Draw(t, "jobs") {
			step := newStep(uint32(rapid.IntRange(1, 4).Draw(t, "count")), uint32(rapid.IntRange(1, 4).Draw(t, "need"))*500)
			step.Gang, step.SameRack = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "same rack")
			step.PreferredRack = []string{"", "r1"}[rapid.IntRange(0, 1).Draw(t, "preferred")]
			h.submit(fmt.Sprint("j", i), "q", step)
		}
		in := Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 1000}
		plain := newPlanner(in)
		plain.collectMinions(map[string]bool{"p": true})
		clear(plain.room)
		plain.run()
		if got := Plan(in); !slices.EqualFunc(got, plain.starts, sameStart) {
			t.Fatalf("planned %v, by scans %v", got, plain.starts)
		}
	})
}
