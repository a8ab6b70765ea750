package jobs

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

type fixture struct {
	*WithT
	ix     *objects.Index
	fleet  *fleet.State
	jobs   *State
	limits *teamLimits
}

func newFixture(t *testing.T) *fixture {
	w := &fixture{WithT: NewWithT(t), ix: testIndex(2), fleet: fleet.New(), jobs: New(), limits: &teamLimits{max: 4, running: map[string]uint32{}}}
	for i := range 4 {
		observe(w.fleet, w.ix, fmt.Sprint("vm", i), "p0", fmt.Sprint("z", i%3), &apiv1.Resources{CpuMillis: 2, MemoryMb: 2})
	}
	return w
}

func (w *fixture) submit(n, prio int, repeatable bool, cpu uint32) (*apiv1.Job, *result.Error) {
	return w.jobs.Submit(startMS, &apiv1.SubmitJob{
		JobId: jobID(startMS, n), ClientAccount: "a", Team: "t0", Queue: fmt.Sprint("p0-", prio),
		Repeatable: repeatable, Resources: &apiv1.Resources{CpuMillis: cpu},
	}, w.ix, w.fleet)
}

func (w *fixture) place(n int, worker string, epoch uint64) apiv1.ResultCode {
	return firstCode(w.jobs.Place(startMS, &apiv1.PlaceJobs{Placements: []*apiv1.Placement{{
		JobId: jobID(startMS, n), WorkerId: worker, ExpectedEpoch: epoch,
	}}}, w.ix, w.fleet, w.limits))
}

func (w *fixture) report(n int, worker string, epoch uint64, e apiv1.TaskEvent) apiv1.ResultCode {
	return firstCode(w.jobs.Report(startMS, &apiv1.ReportTasks{Reports: []*apiv1.TaskReport{{
		JobId: jobID(startMS, n), WorkerId: worker, Epoch: epoch, Event: e, Data: []byte("data"),
	}}}, w.ix, w.fleet, w.limits))
}

func (w *fixture) job(n int) *apiv1.Job {
	j, _ := w.jobs.Get(jobID(startMS, n))
	return j
}

func firstCode(list []*apiv1.Rejection) apiv1.ResultCode {
	if len(list) == 0 {
		return apiv1.ResultCode_RESULT_CODE_OK
	}
	return list[0].Status.Code
}

const codeOK = apiv1.ResultCode_RESULT_CODE_OK

// Guards against a report of an earlier lease, or of another worker, that ends
// or changes the run of the present lease.
func TestStaleReportsChangeNothing(t *testing.T) {
	w := newFixture(t)
	w.submit(1, 2, true, 1)
	w.Expect(w.place(1, "w-vm0", 0)).To(Equal(codeOK))
	w.jobs.ExpireLeases(startMS, &apiv1.ExpireLeases{Leases: []*apiv1.JobEpoch{{JobId: jobID(startMS, 1), Epoch: 1}}}, w.limits)
	w.Expect(w.place(1, "w-vm0", 0)).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE), "plan made before the first lease")
	w.Expect(w.place(1, "w-vm0", 1)).To(Equal(codeOK))
	before := w.jobs.Snapshot()
	for e := range apiv1.TaskEvent_name {
		w.Expect(w.report(1, "w-vm0", 1, apiv1.TaskEvent(e))).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE))
		w.Expect(w.report(1, "w-vm1", 2, apiv1.TaskEvent(e))).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE))
	}
	w.Expect(proto.Equal(before, w.jobs.Snapshot())).To(BeTrue())
	w.Expect(w.report(1, "w-vm0", 2, apiv1.TaskEvent_TASK_EVENT_DONE)).To(Equal(codeOK))
	w.Expect(w.job(1).State).To(Equal(apiv1.JobState_JOB_STATE_DONE))
	w.Expect(w.report(1, "w-vm0", 2, apiv1.TaskEvent_TASK_EVENT_DONE)).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE))
}

// Guards against a preemption that stops urgent jobs, jobs that could not start
// again, jobs at full speed, or any job while nothing urgent waits.
func TestPreemptionIsVerified(t *testing.T) {
	w := newFixture(t)
	for n, prio := range []int{3, 1, 3, 2} {
		w.submit(n, prio, n%3 == 0, 1)
		w.Expect(w.place(n, "w-vm"+fmt.Sprint(n/2), 0)).To(Equal(codeOK))
	}
	act := func(cmd *apiv1.PlaceJobs) apiv1.ResultCode {
		return firstCode(w.jobs.Place(startMS, cmd, w.ix, w.fleet, w.limits))
	}
	throttle := func(n int) *apiv1.PlaceJobs { return &apiv1.PlaceJobs{ThrottleJobIds: []string{jobID(startMS, n)}} }
	preempt := func(n int) *apiv1.PlaceJobs { return &apiv1.PlaceJobs{PreemptJobIds: []string{jobID(startMS, n)}} }
	refused := apiv1.ResultCode_RESULT_CODE_NO_CAPACITY
	w.Expect(act(throttle(0))).To(Equal(refused), "nothing urgent waits")
	w.submit(9, 1, true, 1)
	w.Expect(act(preempt(0))).To(Equal(refused), "not throttled yet")
	for _, n := range []int{1, 3} {
		w.Expect(act(throttle(n))).To(Equal(refused), "not overnight")
		w.Expect(act(preempt(n))).To(Equal(refused), "not overnight")
	}
	w.Expect(act(throttle(2))).To(Equal(codeOK))
	w.Expect(act(preempt(2))).To(Equal(refused), "not repeatable")
	w.Expect(act(throttle(0))).To(Equal(codeOK))
	w.Expect(w.place(9, "w-vm0", 0)).To(Equal(refused), "a throttled job keeps its declared sizes")
	w.Expect(act(preempt(0))).To(Equal(codeOK))
	w.Expect(w.report(0, "w-vm0", 1, apiv1.TaskEvent_TASK_EVENT_STOPPED)).To(Equal(codeOK))
	w.Expect(w.job(0).State).To(Equal(apiv1.JobState_JOB_STATE_PENDING))
	w.Expect(string(w.job(0).Checkpoint)).To(Equal("data"))
	w.Expect(w.place(9, "w-vm0", 0)).To(Equal(codeOK))
	w.Expect(act(&apiv1.PlaceJobs{ResumeJobIds: []string{jobID(startMS, 2)}})).To(Equal(codeOK))
	w.Expect(w.job(2).Lease.Throttled).To(BeFalse())
	evict := &apiv1.PlaceJobs{EvictJobIds: []string{jobID(startMS, 9)}}
	w.Expect(act(evict)).To(Equal(refused), "its VM stays")
	w.fleet.CreateIntents(startMS, &apiv1.CreateIntents{Intents: []*apiv1.Intent{{OperationId: "o", Vm: "vm0", Kind: apiv1.IntentKind_INTENT_KIND_DRAIN}}}, w.ix)
	w.Expect(act(&apiv1.PlaceJobs{EvictJobIds: []string{jobID(startMS, 1)}})).To(Equal(refused), "not repeatable")
	w.Expect(act(evict)).To(Equal(codeOK))
	w.Expect(w.job(9).State).To(Equal(apiv1.JobState_JOB_STATE_STOPPING))
}

// Guards against work accepted that can never run, or that may have run before.
func TestSubmitRefusals(t *testing.T) {
	w := newFixture(t)
	_, err := w.submit(1, 2, true, 3)
	w.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_JOB_NEVER_FITS))
	w.Expect(err.Message).To(ContainSubstring("needs 3 cpu millis"))
	j, err := w.submit(1, 2, true, 1)
	w.Expect(err).To(BeNil())
	again, err := w.submit(1, 2, true, 1)
	w.Expect(err).To(BeNil())
	w.Expect(again).To(BeIdenticalTo(j))
	_, err = w.submit(1, 2, true, 2)
	w.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REUSED))
	w.jobs.Cancel(startMS, &apiv1.CancelJobs{JobIds: []string{j.JobId}}, w.limits)
	w.jobs.prune(startMS + retentionMS + 1)
	w.Expect(w.jobs.List()).To(BeEmpty())
	_, err = w.submit(1, 2, true, 1)
	w.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN))
	w.Expect(err.NotRun).To(BeFalse())
}

// Guards against a job that fails forever, and against a worker that is blamed
// for one bad job.
func TestFailingJobIsParked(t *testing.T) {
	w := newFixture(t)
	w.submit(1, 2, true, 1)
	for i, vm := range []string{"vm0", "vm0", "vm1", "vm3"} {
		w.Expect(w.job(1).State).To(Equal(apiv1.JobState_JOB_STATE_PENDING))
		w.Expect(w.place(1, "w-"+vm, uint64(i))).To(Equal(codeOK))
		w.Expect(w.report(1, "w-"+vm, uint64(i+1), apiv1.TaskEvent_TASK_EVENT_FAILED)).To(Equal(codeOK))
	}
	w.Expect(w.job(1).State).To(Equal(apiv1.JobState_JOB_STATE_PARKED))
	w.Expect(w.limits.running["t0"]).To(BeZero())
	w.Expect(w.fleet.LeavingVMs()).To(BeEmpty())
}
