package dispatch

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/jobmemory"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Load: callers without a key submit jobs whose commits are under way, done, or without a
// known outcome. Guards against a leader that accepts more than the replicas hold, refuses
// a repeated job, or lets these callers take what a client account needs; and against a new
// leader that doesn't know what its predecessor accepted.
func TestJobsAreAcceptedWithinTheMemoryForThem(t *testing.T) {
	g := NewWithT(t)
	d, node := newIdleDispatcher(t)
	propose := func(cmd *apiv1.BatchCommand) {
		_, err := node.Propose(t.Context(), &apiv1.Command{Body: &apiv1.Command_Batch{Batch: cmd}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 1, Pools: []*apiv1.BatchPool{{Name: "p"}}, Accounts: []*apiv1.BatchAccount{{Name: "a", Weight: 1}},
		Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", StretchMilli: 1000, TargetLatencyMs: 1000}},
	}}})
	const limit = 1 << 20
	lead := func() { d.admission.memory = jobmemory.New(limit) }
	lead()
	job := func(i int, account string) *apiv1.BatchJob {
		j := newRefusedJob(fmt.Sprintf("%s-%d", account, i))
		j.Account = account
		return j
	}
	submit := func(j *apiv1.BatchJob) { propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: j}}) }
	held := int64(0)
	for i := range 1000 {
		j := job(i, "")
		if d.AdmitJob(j, true) != nil {
			continue
		}
		held += batch.Footprint(j)
		switch i % 3 {
		case 0:
			submit(j)
			d.SubmissionEnded(j.Id, nil)
		case 1:
			submit(j)
			d.SubmissionEnded(j.Id, result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the outcome is unknown"))
		}
	}
	g.Expect(held).To(And(BeNumerically("<=", limit*3/4), BeNumerically(">", limit/2)))
	err := d.AdmitJob(job(1000, ""), true)
	g.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL))
	g.Expect(err.NotRun).To(BeTrue())
	g.Expect(err.RetryAfter).To(BeNumerically(">=", minSubmitRetryAfter))
	g.Expect(d.AdmitJob(job(0, ""), true)).To(BeNil(), "is accepted already")
	g.Expect(d.AdmitJob(job(2, ""), true)).To(BeNil(), "may be accepted already")
	g.Expect(d.AdmitJob(job(0, "a"), true)).To(BeNil(), "a client account")

	huge := job(3000, "a")
	huge.Steps[0].Count = 100_000
	err = d.AdmitJob(huge, true)
	g.Expect([]any{err.Code, err.NotRun}).To(Equal([]any{apiv1.ResultCode_RESULT_CODE_TOO_LARGE, true}), "never fits")

	lead()
	d.admission.proposed = map[string]int{}
	accepted := 0
	for i := range 1000 {
		if d.AdmitJob(job(2000+i, ""), true) == nil {
			accepted++
		}
	}
	g.Expect(accepted).To(And(BeNumerically(">", 0), BeNumerically("<", 40)), "only what the predecessor proposed and didn't commit came back")
}

// Guards against jobs that fill the log, so that starts, ends and the operators' orders
// find no room in it.
func TestJobsWaitWhenTheLogIsNearlyFull(t *testing.T) {
	g := NewWithT(t)
	d, _ := newIdleDispatcher(t)
	room := int64(0)
	d.admission.logRoom = func() int64 { return room }
	err := d.AdmitJob(newRefusedJob("a"), true)
	g.Expect(err.Message).To(ContainSubstring(string(reasonLog)))
	g.Expect(err.NotRun).To(BeTrue())
	room = 1 << 20
	g.Expect(d.AdmitJob(newRefusedJob("a"), true)).To(BeNil())
	g.Expect(d.refusalOf(d.clock.Now(), newRefusedJob("b"), false)).To(HaveField("Reason", placement.Reason("commit_time")))
}

// Load: a job is submitted many times while its commit takes long. Guards against a log that
// is filled by them, and against a refusal as not run.
func TestSubmissionsOfAJobAtTheSameTimeAreBounded(t *testing.T) {
	g := NewWithT(t)
	d, _ := newIdleDispatcher(t)
	for range maxSubmissions {
		g.Expect(d.AdmitJob(newRefusedJob("a"), true)).To(BeNil())
	}
	err := d.AdmitJob(newRefusedJob("a"), true)
	g.Expect([]any{err.Code, err.NotRun}).To(Equal([]any{apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, false}))
	d.SubmissionEnded("a", nil)
	g.Expect(d.AdmitJob(newRefusedJob("a"), true)).To(BeNil())
}
