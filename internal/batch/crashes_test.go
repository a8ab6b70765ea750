package batch

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const crashed = apiv1.RunEnd_RUN_END_CRASHED

// startAndEnd starts the next run of a task and ends it after a time in ms.
func (f *fixture) startAndEnd(r TaskRef, run uint32, end apiv1.RunEnd, afterMS int64) *apiv1.BatchResult {
	f.t.Helper()
	f.Expect(f.start(r, run, "m1")).To(BeTrue())
	res, err := f.s.Apply(nowMS+afterMS, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
		Ends: []*apiv1.EndedRun{{Task: r.Name(), Run: run, End: end}},
	}}})
	f.Expect(err).To(BeNil())
	return res
}

// Guards against a task that is started again and again although each minion that
// starts it crashes, also when a replica restarts from a snapshot in between.
func TestTaskIsGivenUpAfterTheThirdCrash(t *testing.T) {
	f := newFixture(t)
	f.submit("j", "b", step(2))
	f.Expect(f.start(ref("j", 0, 1), 1, "m1")).To(BeTrue())
	for run := uint32(1); run <= 3; run++ {
		f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_RUNNING))
		res := f.startAndEnd(ref("j", 0, 0), run, crashed, 60_000)
		f.Expect(res.Runs.GivenUp).To(HaveLen(int(run) / 3))
		f.Expect(f.s.View(f.s.Job("j")).Steps[0].Crashes).To(Equal(run))
		data, err := proto.Marshal(f.s.Snapshot())
		f.Expect(err).NotTo(HaveOccurred())
		snap := &apiv1.BatchSnapshot{}
		f.Expect(proto.Unmarshal(data, snap)).To(Succeed())
		f.s.Restore(snap)
		f.Expect(f.s.Job("j").Crashes(ref("j", 0, 0))).To(Equal(run))
	}
	f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
	f.Expect(f.start(ref("j", 0, 0), 4, "m2")).To(BeFalse())
	f.end(ref("j", 0, 1), 1, crashed)
	f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
}

// Guards against a job that is given up because its tasks were neighbours of a
// task that crashed their minions, or because a minion crashed after the task was
// done.
func TestNeighbourOfTwoCrashesCompletes(t *testing.T) {
	f := newFixture(t)
	speculative := step(1)
	speculative.Speculative = true
	f.submit("j", "b", speculative, step(1))
	task := ref("j", 0, 0)
	f.startAndEnd(task, 1, crashed, 0)
	f.startAndEnd(task, 2, crashed, 0)
	f.Expect(f.start(task, 3, "m2")).To(BeTrue())
	f.startAndEnd(task, 4, done, 0)
	f.end(task, 3, crashed)
	f.startAndEnd(ref("j", 1, 0), 1, done, 0)
	f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_COMPLETED))
}

// Guards against a gang, a step whose tasks run only together, that is given up
// for one crash because several members ran on the minion.
func TestCrashCountsOncePerGangRun(t *testing.T) {
	f := newFixture(t)
	gang := step(2)
	gang.Gang = true
	f.submit("j", "b", gang)
	for run := uint32(1); run <= 3; run++ {
		f.Expect(f.start(ref("j", 0, 0), run, "m1")).To(BeTrue())
		f.Expect(f.start(ref("j", 0, 1), run, "m2")).To(BeTrue())
		f.end(ref("j", 0, 0), run, crashed)
		f.Expect(f.s.Job("j").Crashes(ref("j", 0, 1))).To(Equal(run))
		f.end(ref("j", 0, 1), run, crashed)
	}
	f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
}

// Guards against a long-running task that is given up for crashes which hit it
// hours apart, and against one that crashes its minions and is never given up.
func TestOnlyEarlyCrashesCountForLongRunningTasks(t *testing.T) {
	f := newFixture(t)
	longRunning := step(1)
	longRunning.LongRunning = true
	f.submit("j", "b", longRunning)
	task := ref("j", 0, 0)
	type end struct {
		end     apiv1.RunEnd
		afterMS int64
		crashes uint32
	}
	ends := []end{
		{crashed, 0, 1},
		{crashed, youngRunMS - 1, 2},
		{crashed, youngRunMS, 0},
		{crashed, 10, 1},
		{done, youngRunMS, 0},
		{crashed, 10, 1},
		{apiv1.RunEnd_RUN_END_NOT_STARTED, youngRunMS, 1},
		{stopped, 10, 1},
		{crashed, 10, 2},
	}
	for i, e := range ends {
		f.startAndEnd(task, uint32(i+1), e.end, e.afterMS)
		f.Expect(f.s.Job("j").Crashes(task)).To(Equal(e.crashes), "end %d", i)
	}
	for crashes := f.s.Job("j").Crashes(task); crashes < maxLosses; crashes++ {
		f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_RUNNING))
		f.startAndEnd(task, uint32(len(ends))+crashes, crashed, 0)
	}
	f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
}

// Guards against starts without end of a task whose minions vanish for longer than
// their leases, also when an announcement arrives that such a minion had sent before
// it crashed, and against a task that is given up because its minions were cut off
// for a while, also when a replica restarts from a snapshot in between.
func TestUnexplainedLossesCountUntilMinionAnswersAgain(t *testing.T) {
	f := newFixture(t)
	f.submit("j", "b", step(1))
	task, run := ref("j", 0, 0), uint32(0)
	lose := func() {
		run++
		f.startAndEnd(task, run, apiv1.RunEnd_RUN_END_MINION_LOST, 0)
		f.s.Restore(proto.CloneOf(f.s.Snapshot()))
	}
	observe := func(o *apiv1.ObserveMinions) {
		f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: o}})
	}
	m1 := f.s.Minion("m1")
	for range maxLosses - 1 {
		lose()
	}
	f.Expect(f.s.HasLosses(IncarnationOf(m1.Life))).To(BeTrue())
	observe(&apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{m1}})
	f.Expect(f.s.Job("j").Crashes(task)).To(BeEquivalentTo(maxLosses - 1))
	observe(&apiv1.ObserveMinions{Answered: []*apiv1.MinionLife{m1.Life}})
	f.Expect(f.s.Job("j").Crashes(task)).To(BeZero())
	f.Expect(f.s.HasLosses(IncarnationOf(m1.Life))).To(BeFalse())
	for range maxLosses {
		f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_RUNNING))
		lose()
	}
	f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
}

// Guards against a task that is kept apart from others for longer than the planner's
// bound: the wait counts from the end of its run, also after a start that was refused and
// after a restart from a snapshot, and for a gang from the end of its last run.
func TestWaitAfterCrashCountsFromTheEndOfTheRun(t *testing.T) {
	f := newFixture(t)
	gang := step(2)
	gang.Gang = true
	f.submit("j", "b", step(1), gang)
	task := ref("j", 0, 0)
	f.startAndEnd(task, 1, apiv1.RunEnd_RUN_END_LOST, 1_000)
	f.Expect(f.s.Job("j").WaitingSinceMS(task)).To(BeZero(), "nothing crashed")
	f.startAndEnd(task, 2, apiv1.RunEnd_RUN_END_MINION_LOST, 2_000)
	f.startAndEnd(task, 3, apiv1.RunEnd_RUN_END_NOT_STARTED, 3_000)
	f.Expect(f.s.Job("j").WaitingSinceMS(task)).To(BeEquivalentTo(nowMS + 2_000))
	for i := range uint32(2) {
		f.Expect(f.start(ref("j", 1, i), 1, "m1")).To(BeTrue())
	}
	f.end(ref("j", 1, 0), 1, crashed)
	res, err := f.s.Apply(nowMS+4_000, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{
		Ends: []*apiv1.EndedRun{{Task: ref("j", 1, 1).Name(), Run: 1, End: crashed}},
	}}})
	f.Expect(err).To(BeNil())
	f.Expect(res.Runs.GivenUp).To(BeEmpty())
	f.s.Restore(proto.CloneOf(f.s.Snapshot()))
	f.Expect(f.s.Job("j").WaitingSinceMS(ref("j", 1, 0))).To(BeEquivalentTo(nowMS + 4_000))
	f.Expect(f.s.Job("j").WaitingSinceMS(task)).To(BeEquivalentTo(nowMS + 2_000))
}

// Guards against a task that is given up as the cause of a third crash that another one
// with two crashes, which ran beside it, may have caused, and against one that is started
// for ever because another always runs beside it.
func TestThirdCrashBesideAnotherSuspectDoesNotDecide(t *testing.T) {
	f := newFixture(t)
	f.submit("j", "b", step(1))
	f.submit("k", "b", step(1))
	for run := uint32(1); run <= 2; run++ {
		f.startAndEnd(ref("j", 0, 0), run, crashed, 0)
		f.startAndEnd(ref("k", 0, 0), run, crashed, 0)
	}
	for run := uint32(3); run <= 4; run++ {
		f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_RUNNING))
		f.Expect(f.start(ref("j", 0, 0), run, "m1")).To(BeTrue())
		f.Expect(f.start(ref("k", 0, 0), run, "m1")).To(BeTrue())
		f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Ends: []*apiv1.EndedRun{
			{Task: ref("j", 0, 0).Name(), Run: run, End: crashed}, {Task: ref("k", 0, 0).Name(), Run: run, End: crashed},
		}}}})
	}
	f.Expect(f.state("j")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
	f.Expect(f.state("k")).To(Equal(apiv1.BatchState_BATCH_STATE_FAILED))
}
