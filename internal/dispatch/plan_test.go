package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// startedMS returns when the first task of a job was committed as started, in Unix
// ms, zero before.
func (h *harness) startedMS(id string) (ms int64) {
	h.node.machine.Read(func(st *state.State) {
		if o := st.Batch.Job(id).Occurrence(0); o != nil && len(o.Steps[0].Tasks[0].Runs) > 0 {
			ms = o.Steps[0].Tasks[0].Runs[0].StartedUnixMs
		}
	})
	return ms
}

// Guards against a busy leader that spends its processor time on rounds for single
// tasks, and against a task that waits for the pause of a round that had nothing to
// place.
func TestBusyLeaderPlansInFewRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		for i := range 40 {
			h.announce(h.cluster.add(fmt.Sprint("m", i)))
		}
		time.Sleep(time.Second)
		h.submit("alone", 1)
		submitted := time.Now().UnixMilli()
		time.Sleep(taskTime / 2)
		g.Expect(h.startedMS("alone")).To(Equal(submitted))

		const jobs, interval = 40, time.Millisecond
		rounds := map[int64]bool{}
		for i := range jobs {
			// The command changes the state and leaves nothing to place.
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_SetZone{SetZone: &apiv1.SetZoneService{AvailabilityZone: "unused"}}})
			h.submit(fmt.Sprint("job", i), 1)
			time.Sleep(interval)
		}
		time.Sleep(taskTime / 2)
		for i := range jobs {
			started := h.startedMS(fmt.Sprint("job", i))
			g.Expect(started).NotTo(BeZero())
			rounds[started] = true
		}
		g.Expect(len(rounds)).To(BeNumerically("<=", int(jobs*interval/minPlanPause)+1))
		first := h.startedMS("job0")
		g.Expect(first).To(Equal(submitted+(taskTime/2).Milliseconds()), "nothing had been placed before")
	})
}

// Guards against the order of a run that has ended, sent because an earlier state of
// the minion's load arrived after one that was found to be unchanged.
func TestLateLoadDoesNotReplaceAnUnchangedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "m", StartedMS: 1}})
		run := committedRun{key: batch.RunKey{TaskRef: batch.TaskRef{Job: "j"}, Number: 1}}
		g.Expect(s.sync(committedLoad{stateRevision: 4})).To(BeTrue())
		// The run began at revision 6 and ended at revision 7.
		g.Expect(s.sync(committedLoad{unchanged: true, stateRevision: 7})).To(BeTrue())
		g.Expect(s.sync(committedLoad{runs: []committedRun{run}, loadRevision: 6, stateRevision: 6})).To(BeTrue())
		g.Expect(s.orders).To(BeEmpty())
		// The other way round, the session has to read the runs again.
		g.Expect(s.sync(committedLoad{runs: []committedRun{run}, loadRevision: 8, stateRevision: 8})).To(BeTrue())
		g.Expect(s.sync(committedLoad{unchanged: true, stateRevision: 9})).To(BeFalse())
		g.Expect(s.orders).To(HaveLen(1))
	})
}
