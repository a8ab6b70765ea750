package dispatch

import (
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// newIdleDispatcher returns a dispatcher that doesn't run, of a process that started a
// minute ago.
func newIdleDispatcher(t *testing.T) (*Dispatcher, *fakeNode) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	node := &fakeNode{machine: state.New()}
	d := New(t.Context(), 1, Options{
		StateMachine: node.machine, Node: node, Clock: bubbleClock{time.Now().Add(-time.Minute)}, Log: logrus.NewEntry(quiet),
	}, NewMetrics(nil))
	return d, node
}

// limitStarts makes the leader the limit: one of its tasks is answered in each of the
// planning rounds of half a second.
func limitStarts(d *Dispatcher) {
	for i := range 6 {
		d.admission.observeRound(d.clock.Now()-time.Duration(5-i)*100*time.Millisecond, true, startTotals{answered: uint64(i)})
	}
}

func newRefusedJob(id string) *apiv1.BatchJob {
	return &apiv1.BatchJob{
		Id: id, Queue: "q", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p", MaxAttempts: 3, StretchMilli: 1000, TargetLatencyMs: 1000},
		Steps: []*apiv1.BatchStep{{Count: 100, EstimatedMs: 10}},
	}
}

// Guards against jobs that are refused although the leader isn't the limit, and
// against callers that aren't told when to come back.
func TestJobsAreRefusedOnlyAtTheLeadersLimit(t *testing.T) {
	g := NewWithT(t)
	d, _ := newIdleDispatcher(t)
	g.Expect(d.AdmitJob(newRefusedJob("a"), true)).To(BeNil())
	d.admission.observeRound(d.clock.Now()-time.Second, true, startTotals{})
	g.Expect(d.AdmitJob(newRefusedJob("b"), true)).To(BeNil(), "one round says nothing")
	limitStarts(d)
	err := d.AdmitJob(newRefusedJob("c"), true)
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.NotRun).To(BeTrue())
	g.Expect(err.RetryAfter).To(And(BeNumerically(">=", minSubmitRetryAfter), BeNumerically("<=", maxSubmitRetryAfter*5/4)))
}

// Guards against "not run" for a job that runs: its submission was committed, or may
// still be.
func TestJobThatMayBeAcceptedIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	d, node := newIdleDispatcher(t)
	pending, lost, refused, known := newRefusedJob("pending"), newRefusedJob("lost"), newRefusedJob("refused"), newRefusedJob("known")
	for _, j := range []*apiv1.BatchJob{pending, lost, refused} {
		g.Expect(d.AdmitJob(j, true)).To(BeNil())
	}
	d.SubmissionEnded(lost.Id, errors.New("the outcome is unknown"))
	d.SubmissionEnded(refused.Id, result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "not proposed"))
	_, err := node.Propose(t.Context(), &apiv1.Command{Body: &apiv1.Command_Batch{Batch: &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: known}}}})
	g.Expect(err).NotTo(HaveOccurred())
	limitStarts(d)
	for _, j := range []*apiv1.BatchJob{pending, lost, known} {
		g.Expect(d.AdmitJob(j, true)).To(BeNil(), j.Id)
	}
	g.Expect(d.AdmitJob(refused, true)).NotTo(BeNil())
}

// Guards against a leader that accepts everything while its planning rounds are late,
// and against one that goes on to refuse jobs once it isn't the limit any more.
func TestLateRoundsDoNotEndRefusals(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission()
	for i := range 6 {
		a.observeRound(time.Minute+time.Duration(i)*100*time.Millisecond, true, startTotals{answered: uint64(i)})
	}
	now := time.Minute + 2*time.Second
	limited := func() bool { limited, _ := a.isLimited(now); return limited }
	g.Expect(limited()).To(BeTrue(), "no round for 1.5 s")
	a.observeRound(now, true, startTotals{answered: 6})
	a.observeRound(now+limitedAge/2, false, startTotals{answered: 6})
	g.Expect(limited()).To(BeTrue(), "one round has less to start")
	a.observeRound(now+limitedAge, false, startTotals{answered: 6})
	g.Expect(limited()).To(BeFalse())
}

// Guards against "not run" for a repeated submission whose first call is committed, and
// no longer counts as proposed, after the leader has read the state for the second.
func TestJobCommittedMeanwhileIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	d, node := newIdleDispatcher(t)
	limitStarts(d)
	d.admission.setWaiting(d.clock.Now(), map[string]int64{})
	job := newRefusedJob("a")
	_, err := node.Propose(t.Context(), &apiv1.Command{Body: &apiv1.Command_Batch{Batch: &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: job}}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(d.refusalOf(d.clock.Now(), job, true)).To(BeZero())
	g.Expect(d.refusalOf(d.clock.Now(), newRefusedJob("b"), true)).NotTo(BeZero())
}

// Guards against "not run" for a job of which two submissions are proposed when one of
// them fails: the other may still be committed.
func TestJobWithAnotherPendingSubmissionIsNotRefused(t *testing.T) {
	g := NewWithT(t)
	d, _ := newIdleDispatcher(t)
	job := newRefusedJob("a")
	g.Expect(d.AdmitJob(job, true)).To(BeNil())
	g.Expect(d.AdmitJob(job, true)).To(BeNil())
	notProposed := result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "not proposed")
	d.SubmissionEnded(job.Id, notProposed)
	limitStarts(d)
	g.Expect(d.AdmitJob(job, true)).To(BeNil())
	d.SubmissionEnded(job.Id, notProposed)
	d.SubmissionEnded(job.Id, notProposed)
	g.Expect(d.AdmitJob(job, true)).NotTo(BeNil())
}

// Guards against jobs that are refused because minions that were cut off don't answer:
// their starts fill the window, and the others are answered as usual.
func TestSilentMinionsAreNotTheLeadersLimit(t *testing.T) {
	g := NewWithT(t)
	a := newAdmission()
	for i := range 20 {
		n := uint64(i)
		now := time.Minute + time.Duration(i)*100*time.Millisecond
		a.observeRound(now, true, startTotals{answered: 10 * n, unanswered: 5 * n})
		limited, _ := a.isLimited(now)
		g.Expect(limited).To(BeFalse())
	}
}
