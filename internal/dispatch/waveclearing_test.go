package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// submitSteps submits a job of long-running steps with five tasks each, of which one may
// be unavailable.
func (h *harness) submitSteps(id string, steps int, maxPerMinion uint32) {
	job := &apiv1.BatchJob{Id: id, Queue: "q", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p"}}
	for range steps {
		job.Steps = append(job.Steps, &apiv1.BatchStep{
			Count: 5, Resources: &apiv1.Resources{CpuMillis: taskCPUMillis}, LongRunning: true, MaxUnavailable: 1, MaxPerMinion: maxPerMinion,
		})
	}
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: job}})
}

// Guards against machines of a wave that exchange their tasks without end: each has more
// tasks of a step than may be unavailable, and only they and one other machine have room.
func TestMachinesOfWaveDoNotExchangeTasks(t *testing.T) {
	for maxPerMinion := uint32(2); maxPerMinion <= 3; maxPerMinion++ {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, p := newWaveHarness(t)
			defer h.endTerm()
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: "long-running", AnyAccount: true}}})
			h.submitSteps("a", 2, maxPerMinion)
			time.Sleep(3 * time.Second)
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{
				Number: 1, Machines: []string{"m0", "m1"}, MaxDown: 1, DueUnixMs: time.Now().Add(26 * time.Second).UnixMilli(),
			}}})
			time.Sleep(26 * time.Second)
			g.Expect(p.maintained).To(ConsistOf("m0", "m1"), "%d tasks of a step on a minion", maxPerMinion)
		})
	}
}
