package batch

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against an overview for operators that omits waiting work, a machine
// that is down or a zone that is out of service.
func TestStatusCountsWhatWaitsAndRuns(t *testing.T) {
	f := newFixture(t)
	f.submit("j", "a", step(3), step(1, 0))
	f.submit("waits", "a", step(2))
	f.Expect(f.start(ref("j", 0, 0), 1, "m1")).To(BeTrue())
	f.Expect(f.start(ref("j", 0, 1), 1, "m1")).To(BeTrue())
	f.end(ref("j", 0, 1), 1, done)
	f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_SetZone{SetZone: &apiv1.SetZoneService{AvailabilityZone: "zone-m2", Out: true}}})
	f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{Number: 4, Machines: []string{"x", "y"}, MaxDown: 1}}})
	f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: &apiv1.UpdateServices{Wave: 4, Services: []*apiv1.MachineService{
		{Machine: "x", State: apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED},
	}}}})
	st := f.s.Status()
	f.Expect(st.CatalogVersion).To(BeEquivalentTo(1))
	f.Expect(st.ZonesOut).To(Equal([]string{"zone-m2"}))
	f.Expect(proto.Equal(st.Pools[0], &apiv1.BatchPoolStatus{Pool: "p", Minions: 2, CapacityCpuMillis: 8000, UsedCpuMillis: 1000, Runs: 1})).To(BeTrue(), "%v", st.Pools[0])
	f.Expect(proto.Equal(st.Queues[0], &apiv1.BatchQueueStatus{Queue: "q", Pool: "p", QueuedJobs: 1, RunningJobs: 1, WaitingTasks: 4, RunningTasks: 1})).To(BeTrue(), "%v", st.Queues[0])
	f.Expect(proto.Equal(st.Waves[0], &apiv1.BatchWaveStatus{Wave: 4, Machines: 2, Waiting: 1, Down: 1, MaxDown: 1})).To(BeTrue(), "%v", st.Waves[0])
	view := f.s.View(f.s.Job("j"))
	f.Expect(view.Steps).To(HaveLen(2))
	f.Expect(view.Steps[0].Done).To(BeEquivalentTo(1))
	f.Expect(view.Steps[1].Ready).To(BeFalse())
	f.Expect(view.Runs).To(HaveLen(1))
	f.Expect(view.Runs[0].Minion).To(Equal("m1"))
}

// Guards against a truncated list that does not say so, and against pages that
// repeat or omit a job.
func TestJobsAreListedByPages(t *testing.T) {
	f := newFixture(t)
	for i := range 7 {
		f.submit(fmt.Sprint("j", i), "b", step(1))
	}
	f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: "j3", AnyAccount: true}}})
	var ids []string
	after := ""
	for {
		page := f.s.JobPage("q", after, false, 2)
		for _, j := range page.Jobs {
			ids = append(ids, j.JobId)
		}
		if after = page.NextAfter; after == "" {
			break
		}
	}
	f.Expect(ids).To(Equal([]string{"j0", "j1", "j2", "j4", "j5", "j6"}))
	f.Expect(f.s.JobPage("q", "", true, 100).Jobs).To(HaveLen(7))
	f.Expect(f.s.JobPage("other", "", true, 100).Jobs).To(BeEmpty())
}
