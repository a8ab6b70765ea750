package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// count returns the number of lines with a message.
func count(hook *logtest.Hook, message string) int {
	n := 0
	for _, e := range hook.AllEntries() {
		if e.Message == message {
			n++
		}
	}
	return n
}

// Guards against a line for each run that goes as usual, which takes processor time
// from the starts, and against a job of which the log doesn't tell when it started and
// how it ended.
func TestUsualRunsAreLoggedByJob(t *testing.T) {
	for level, linesPerRun := range map[logrus.Level]int{logrus.InfoLevel: 0, logrus.DebugLevel: 1} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 1)
			defer h.endTerm()
			hook := logtest.NewLocal(h.log.Logger)
			h.log.Logger.SetLevel(level)
			h.announce(h.cluster.add("m1"))
			h.submit("job0", 3)
			time.Sleep(2 * time.Second)
			g.Expect(h.completed(1)).To(Equal(1))
			g.Expect(count(hook, "start ordered")).To(Equal(4 * linesPerRun))
			g.Expect(count(hook, "run ended")).To(Equal(4 * linesPerRun))
			g.Expect(count(hook, "job started")).To(Equal(1))
			g.Expect(count(hook, "job ended")).To(Equal(1))
			for _, e := range hook.AllEntries() {
				if e.Message == "job ended" {
					g.Expect(e.Data).To(HaveKeyWithValue("job_id", "job0"))
					g.Expect(e.Data).To(HaveKeyWithValue("state", "completed"))
					g.Expect(e.Data["took_ms"]).To(BeNumerically(">=", 2*taskTime.Milliseconds()))
				}
			}
		})
	}
}

// Guards against a run whose start was refused or not answered, or that didn't end as
// done, and that is missing in the log.
func TestUnusualRunsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		synctest.Wait() // the dispatcher has logged its start
		hook := logtest.NewLocal(h.log.Logger)
		h.log.Logger.SetLevel(logrus.InfoLevel)
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "m", StartedMS: 1}})
		key := batch.RunKey{TaskRef: batch.TaskRef{Job: "j"}, Number: 1}
		s.logStart(key, false, &Refusal{Reason: RefusedUnhealthy})
		s.logStart(key, false, errors.New("cut off"))
		g.Expect(count(hook, "start ordered")).To(Equal(2))
		others := 0
		for end := range apiv1.RunEnd_name {
			if apiv1.RunEnd(end) != apiv1.RunEnd_RUN_END_DONE {
				s.logEnd(ReportedEnd{Run: key, End: apiv1.RunEnd(end)})
				others++
			}
		}
		g.Expect(count(hook, "run ended")).To(Equal(others))
		g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("run", key.String()))
		g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("minion", "m"))
	})
}

// Guards against a canceled job that is logged as ended once for each of its runs,
// which end one after the other.
func TestCanceledJobEndsOnceInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		hook := logtest.NewLocal(h.log.Logger)
		h.cluster.endless = true
		for _, id := range []string{"m1", "m2", "m3"} {
			h.announce(h.cluster.add(id))
		}
		time.Sleep(time.Second)
		h.submit("job0", 6)
		time.Sleep(time.Second)
		g.Expect(h.runsOf("job0")).To(HaveLen(6))
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: "job0", AnyAccount: true}}})
		run := func(index uint32) *apiv1.EndedRun {
			return &apiv1.EndedRun{Task: batch.TaskRef{Job: "job0", Index: index}.Name(), Run: 1, End: apiv1.RunEnd_RUN_END_STOPPED}
		}
		h.dispatcher.commitEnds(t.Context(), []*apiv1.EndedRun{run(0)})
		time.Sleep(2 * time.Second)
		g.Expect(count(hook, "job ended")).To(Equal(1))
	})
}

// Guards against a log that doesn't tell for how long a long-running task was down, and
// how long of that its minion's lease lasted.
func TestRunsOfLongRunningTasksAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		hook := logtest.NewLocal(h.log.Logger)
		h.restartWithLease(shortLease)
		a := h.cluster.add("a")
		h.announce(a)
		time.Sleep(2 * time.Second)
		h.submitLongRunning("job0", 1, 1)
		time.Sleep(2 * time.Second)
		h.announce(h.cluster.add("b"))
		g.Expect(count(hook, "start ordered")).To(Equal(1))
		a.crash()
		time.Sleep(10 * time.Second)
		g.Expect(count(hook, "run released")).To(Equal(1))
		g.Expect(count(hook, "start ordered")).To(Equal(2))
	})
}
