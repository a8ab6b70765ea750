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

// fixture holds a State and the fleet and limits that its commands need: vm0 to
// vm3 in pool p0, each with a worker. The zone of vm2 is out of service.
type fixture struct {
	*WithT
	ix     *objects.Index
	fleet  *fleet.State
	jobs   *State
	limits *teamLimits
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{WithT: NewWithT(t), ix: testIndex(2), fleet: fleet.New(), jobs: New(), limits: &teamLimits{max: 4, running: map[string]uint32{}}}
	for i := range 4 {
		observe(f.fleet, f.ix, fmt.Sprint("vm", i), "p0", fmt.Sprint("z", i%3), &apiv1.Resources{CpuMillis: 2, MemoryMb: 2})
	}
	return f
}

// submit submits job n of team t0 to the queue of the priority in pool p0.
func (f *fixture) submit(n, prio int, repeatable bool, cpu uint32) (*apiv1.Job, *result.Error) {
	return f.jobs.Submit(startMS, &apiv1.SubmitJob{
		JobId: jobID(startMS, n), ClientAccount: "a", Team: "t0", Queue: fmt.Sprint("p0-", prio),
		Repeatable: repeatable, Resources: &apiv1.Resources{CpuMillis: cpu},
	}, f.ix, f.fleet)
}

// place places job n on the worker, by a plan made when the job had the epoch, the
// number of its last lease (the right to run the job).
func (f *fixture) place(n int, worker string, epoch uint64) apiv1.ResultCode {
	return firstCode(f.jobs.Place(startMS, &apiv1.PlaceJobs{Placements: []*apiv1.Placement{{
		JobId: jobID(startMS, n), WorkerId: worker, ExpectedEpoch: epoch,
	}}}, f.ix, f.fleet, f.limits))
}

// report reports the event on job n in the worker's name, with "data" as its data.
func (f *fixture) report(n int, worker string, epoch uint64, e apiv1.TaskEvent) apiv1.ResultCode {
	return firstCode(f.jobs.Report(startMS, &apiv1.ReportTasks{Reports: []*apiv1.TaskReport{{
		JobId: jobID(startMS, n), WorkerId: worker, Epoch: epoch, Event: e, Data: []byte("data"),
	}}}, f.ix, f.fleet, f.limits))
}

func (f *fixture) job(n int) *apiv1.Job {
	j, _ := f.jobs.Get(jobID(startMS, n))
	return j
}

// firstCode returns the code of the first rejection, or OK if there is none.
func firstCode(list []*apiv1.Rejection) apiv1.ResultCode {
	if len(list) == 0 {
		return apiv1.ResultCode_RESULT_CODE_OK
	}
	return list[0].Status.Code
}

const codeOK = apiv1.ResultCode_RESULT_CODE_OK

// Guards against a report with the epoch of an earlier lease, or from another
// worker, that ends or changes the run under the current lease.
func TestStaleReportsChangeNothing(t *testing.T) {
	f := newFixture(t)
	f.submit(1, 2, true, 1)
	f.Expect(f.place(1, "w-vm0", 0)).To(Equal(codeOK))
	f.jobs.ExpireLeases(startMS, &apiv1.ExpireLeases{Leases: []*apiv1.JobEpoch{{JobId: jobID(startMS, 1), Epoch: 1}}}, f.limits)
	f.Expect(f.place(1, "w-vm0", 0)).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE), "plan made before the first lease")
	f.Expect(f.place(1, "w-vm0", 1)).To(Equal(codeOK))
	before := f.jobs.Snapshot()
	for e := range apiv1.TaskEvent_name {
		f.Expect(f.report(1, "w-vm0", 1, apiv1.TaskEvent(e))).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE))
		f.Expect(f.report(1, "w-vm1", 2, apiv1.TaskEvent(e))).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE))
	}
	f.Expect(proto.Equal(before, f.jobs.Snapshot())).To(BeTrue())
	f.Expect(f.report(1, "w-vm0", 2, apiv1.TaskEvent_TASK_EVENT_DONE)).To(Equal(codeOK))
	f.Expect(f.job(1).State).To(Equal(apiv1.JobState_JOB_STATE_DONE))
	f.Expect(f.report(1, "w-vm0", 2, apiv1.TaskEvent_TASK_EVENT_DONE)).To(Equal(apiv1.ResultCode_RESULT_CODE_LEASE_STALE))
}

// Guards against preemption (stopping a job so that an urgent one can start) of jobs
// that are not overnight jobs, that could not start again or that still run at full
// speed, and against preemption while no urgent job waits.
func TestPreemptionIsVerified(t *testing.T) {
	f := newFixture(t)
	for n, prio := range []int{3, 1, 3, 2} {
		f.submit(n, prio, n%3 == 0, 1)
		f.Expect(f.place(n, "w-vm"+fmt.Sprint(n/2), 0)).To(Equal(codeOK))
	}
	act := func(cmd *apiv1.PlaceJobs) apiv1.ResultCode {
		return firstCode(f.jobs.Place(startMS, cmd, f.ix, f.fleet, f.limits))
	}
	throttle := func(n int) *apiv1.PlaceJobs { return &apiv1.PlaceJobs{ThrottleJobIds: []string{jobID(startMS, n)}} }
	preempt := func(n int) *apiv1.PlaceJobs { return &apiv1.PlaceJobs{PreemptJobIds: []string{jobID(startMS, n)}} }
	refused := apiv1.ResultCode_RESULT_CODE_NO_CAPACITY
	f.Expect(act(throttle(0))).To(Equal(refused), "no urgent job waits")
	f.submit(9, 1, true, 1)
	f.Expect(act(preempt(0))).To(Equal(refused), "not throttled yet")
	for _, n := range []int{1, 3} {
		f.Expect(act(throttle(n))).To(Equal(refused), "not overnight")
		f.Expect(act(preempt(n))).To(Equal(refused), "not overnight")
	}
	f.Expect(act(throttle(2))).To(Equal(codeOK))
	f.Expect(act(preempt(2))).To(Equal(refused), "not repeatable")
	f.Expect(act(throttle(0))).To(Equal(codeOK))
	f.Expect(f.place(9, "w-vm0", 0)).To(Equal(refused), "the resources of a throttled job stay reserved")
	f.Expect(act(preempt(0))).To(Equal(codeOK))
	f.Expect(f.report(0, "w-vm0", 1, apiv1.TaskEvent_TASK_EVENT_STOPPED)).To(Equal(codeOK))
	f.Expect(f.job(0).State).To(Equal(apiv1.JobState_JOB_STATE_PENDING))
	f.Expect(string(f.job(0).Checkpoint)).To(Equal("data"))
	f.Expect(f.place(9, "w-vm0", 0)).To(Equal(codeOK))
	f.Expect(act(&apiv1.PlaceJobs{ResumeJobIds: []string{jobID(startMS, 2)}})).To(Equal(codeOK))
	f.Expect(f.job(2).Lease.Throttled).To(BeFalse())
	evict := &apiv1.PlaceJobs{EvictJobIds: []string{jobID(startMS, 9)}}
	f.Expect(act(evict)).To(Equal(refused), "no operation on its VM")
	f.fleet.CreateIntents(startMS, &apiv1.CreateIntents{Intents: []*apiv1.Intent{{OperationId: "o", Vm: "vm0", Kind: apiv1.IntentKind_INTENT_KIND_DRAIN}}}, f.ix)
	f.Expect(act(&apiv1.PlaceJobs{EvictJobIds: []string{jobID(startMS, 1)}})).To(Equal(refused), "not repeatable")
	f.Expect(act(evict)).To(Equal(codeOK))
	f.Expect(f.job(9).State).To(Equal(apiv1.JobState_JOB_STATE_STOPPING))
}

// Guards against accepting a job that can never run, or that may have run before.
func TestSubmitRefusals(t *testing.T) {
	f := newFixture(t)
	_, err := f.submit(1, 2, true, 3)
	f.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_JOB_NEVER_FITS))
	f.Expect(err.Message).To(ContainSubstring("needs 3 cpu millis"))
	j, err := f.submit(1, 2, true, 1)
	f.Expect(err).To(BeNil())
	again, err := f.submit(1, 2, true, 1)
	f.Expect(err).To(BeNil())
	f.Expect(again).To(BeIdenticalTo(j))
	_, err = f.submit(1, 2, true, 2)
	f.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REUSED))
	f.jobs.Cancel(startMS, &apiv1.CancelJobs{JobIds: []string{j.JobId}}, f.limits)
	f.jobs.prune(startMS + retentionMS + 1)
	f.Expect(f.jobs.List()).To(BeEmpty())
	_, err = f.submit(1, 2, true, 1)
	f.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN))
	f.Expect(err.NotRun).To(BeFalse())
}

// Guards against a job that is run again without end although it always fails,
// and against the quarantine of a worker because of one such job.
func TestFailingJobIsParked(t *testing.T) {
	f := newFixture(t)
	f.submit(1, 2, true, 1)
	for i, vm := range []string{"vm0", "vm0", "vm1", "vm3"} {
		f.Expect(f.job(1).State).To(Equal(apiv1.JobState_JOB_STATE_PENDING))
		f.Expect(f.place(1, "w-"+vm, uint64(i))).To(Equal(codeOK))
		f.Expect(f.report(1, "w-"+vm, uint64(i+1), apiv1.TaskEvent_TASK_EVENT_FAILED)).To(Equal(codeOK))
	}
	f.Expect(f.job(1).State).To(Equal(apiv1.JobState_JOB_STATE_PARKED))
	f.Expect(f.limits.running["t0"]).To(BeZero())
	f.Expect(f.fleet.LeavingVMs()).To(BeEmpty())
}
