package batch

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a leader that doesn't know that a minion's id had another incarnation (a
// lifetime of its process), for which calls may still arrive, or that never forgets it.
func TestEndedIncarnationsAreKnownUntilForgotten(t *testing.T) {
	f := newFixture(t)
	observe := func(o *apiv1.ObserveMinions) {
		f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: o}})
	}
	m := func(startedMS int64) Incarnation { return Incarnation{"m1", startedMS} }
	gone := func(startedMS int64) {
		observe(&apiv1.ObserveMinions{Gone: []*apiv1.MinionLife{m(startedMS).Message()}})
	}
	forget := func(startedMS int64) {
		observe(&apiv1.ObserveMinions{Forgotten: []*apiv1.MinionLife{m(startedMS).Message()}})
	}
	expect := func(of, before int64, why string) {
		t.Helper()
		got, ok := f.s.EndedBefore(m(of))
		f.Expect(ok).To(Equal(before != 0), why)
		if ok {
			f.Expect(got).To(Equal(m(before)), why)
		}
		f.s = restoredState(f.s)
	}
	expect(1, 0, "the first one")
	f.minion("m1", 1)
	expect(1, 0, "announced again")
	f.minion("m1", 2)
	expect(2, 1, "it replaced another one")
	f.Expect(f.s.UnusedEnded()).To(BeEmpty(), "its session forgets the earlier one")
	gone(1)
	expect(2, 1, "the earlier one is known already")
	gone(2)
	f.Expect(f.s.UnusedEnded()).To(Equal([]Incarnation{m(2)}))
	forget(1)
	expect(3, 2, "another one has ended since")
	f.minion("m1", 2)
	expect(2, 2, "it is back, and the first one's calls may still arrive")
	gone(2)
	forget(2)
	expect(3, 0, "forgotten")
	f.minion("m1", 3)
	gone(3)
	expect(3, 0, "no call for another one")
	f.Expect(f.s.UnusedEnded()).To(Equal([]Incarnation{m(3)}))
	expect(4, 3, "after it was gone")
	f.minion("m1", 2)
	expect(2, 3, "also when the time of day went back")
}

// restoredState returns a state that was restored from a snapshot of s.
func restoredState(s *State) *State {
	out := New()
	out.Restore(s.Snapshot())
	return out
}

// Guards against a restart of a replica after which a leader no longer knows that a run was
// listed by its incarnation, so that its task waits for the longest lease.
func TestListedRunsAreRecorded(t *testing.T) {
	f := newFixture(t)
	lasting := step(2)
	lasting.LongRunning = true
	f.submit("j", "a", lasting)
	f.startReported("j", 2, 1)
	listed := []*apiv1.ListedRun{{Task: ref("j", 0, 1).Name(), Run: 1}, {Task: ref("j", 0, 0).Name(), Run: 2}, {Task: ref("gone", 0, 0).Name(), Run: 1}}
	f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Listed: listed}}})
	f.restart()
	tasks := f.s.Job("j").Occurrence(0).Steps[0].Tasks
	f.Expect(tasks[0].Runs[0].Listed).To(BeFalse(), "another run of the task was listed")
	f.Expect(tasks[1].Runs[0].Listed).To(BeTrue())
}
