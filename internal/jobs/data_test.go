package jobs

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
)

// Guards against job payloads that exhaust the memory of every replica of the control
// group, and against results that nobody fetches: unless old results are dropped, new
// jobs are refused until these results are 24 h old.
func TestJobDataIsBounded(t *testing.T) {
	g := NewWithT(t)
	ix := testIndex(1)
	f := fleet.New()
	observe(f, ix, "vm", "p0", "z0", &apiv1.Resources{CpuMillis: 1 << 30, MemoryMb: 1 << 30})
	s := New()
	limits := &teamLimits{max: 10_000, running: map[string]uint32{}}
	submit := func(n int) apiv1.ResultCode {
		_, err := s.Submit(startMS, &apiv1.SubmitJob{
			JobId: jobID(startMS, n), Team: "t0", Queue: "p0-1", Repeatable: true,
			Resources: &apiv1.Resources{CpuMillis: 1}, Payload: make([]byte, maxDataBytes),
		}, ix, f)
		if err != nil {
			g.Expect(err.NotRun).To(BeTrue())
			return err.Code
		}
		return apiv1.ResultCode_RESULT_CODE_OK
	}
	// fits is the number of jobs with the largest payload that are accepted.
	fits := maxTotalDataBytes / maxDataBytes
	for n := range fits {
		g.Expect(submit(n)).To(Equal(apiv1.ResultCode_RESULT_CODE_OK))
	}
	g.Expect(submit(fits)).To(Equal(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL))

	for n := range fits {
		id := jobID(startMS, n)
		rejected := s.Place(startMS, &apiv1.PlaceJobs{Placements: []*apiv1.Placement{{JobId: id, WorkerId: "w-vm"}}}, ix, f, limits)
		g.Expect(rejected).To(BeEmpty())
		s.Report(startMS, &apiv1.ReportTasks{Reports: []*apiv1.TaskReport{{
			JobId: id, Epoch: 1, WorkerId: "w-vm", Event: apiv1.TaskEvent_TASK_EVENT_DONE, Data: make([]byte, maxDataBytes),
		}}}, ix, f, limits)
	}
	g.Expect(s.dataBytes).To(BeNumerically("<=", maxTotalDataBytes/2))
	g.Expect(submit(fits)).To(Equal(apiv1.ResultCode_RESULT_CODE_OK))
	restored := New()
	restored.Restore(s.Snapshot())
	g.Expect(restored.dataBytes).To(Equal(s.dataBytes))
}
