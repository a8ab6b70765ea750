package batch

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Guards against a wave (a list of machines to be maintained) that exceeds its
// limit of down machines because one of them is down for another wave.
func TestWavesShareMachines(t *testing.T) {
	f := newFixture(t)
	start := func(number uint64, limit uint32, machines ...string) {
		f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{Number: number, Machines: machines, MaxDown: limit}}})
	}
	update := func(wave uint64, machine string, st apiv1.MachineServiceState) *result.Error {
		_, err := f.s.Apply(nowMS, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: &apiv1.UpdateServices{
			Wave: wave, Services: []*apiv1.MachineService{{Machine: machine, State: st}},
		}}})
		return err
	}
	start(1, 2, "x", "y")
	start(2, 1, "x", "z")
	const ordered, finished = apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED, apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
	f.Expect(update(1, "x", ordered)).To(BeNil())
	f.Expect(update(2, "z", ordered).Code).To(Equal(apiv1.ResultCode_RESULT_CODE_BUDGET_EXCEEDED))
	f.Expect(update(1, "y", ordered)).To(BeNil())
	f.Expect(update(1, "x", finished)).To(BeNil())
	f.Expect(update(2, "z", ordered)).To(BeNil())
}

// Guards against a wave that exceeds its limit of down machines, and against one
// that is completed while a machine still waits for its maintenance.
func TestWaveLimit(t *testing.T) {
	f := newFixture(t)
	f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{Number: 1, Machines: []string{"x", "y"}, MaxDown: 1}}})
	update := func(machine string, st apiv1.MachineServiceState) *result.Error {
		_, err := f.s.Apply(nowMS, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: &apiv1.UpdateServices{
			Wave: 1, Services: []*apiv1.MachineService{{Machine: machine, State: st}},
		}}})
		return err
	}
	const ordered, finished = apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED, apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
	f.Expect(update("x", ordered)).To(BeNil())
	f.Expect(update("y", ordered).Code).To(Equal(apiv1.ResultCode_RESULT_CODE_BUDGET_EXCEEDED))
	f.Expect(update("x", finished)).To(BeNil())
	f.Expect(update("x", ordered)).NotTo(BeNil(), "a machine whose maintenance is finished does not go down again")
	f.Expect(f.s.OpenWaves()).To(HaveLen(1))
	f.Expect(update("y", ordered)).To(BeNil())
	f.Expect(update("y", finished)).To(BeNil())
	f.Expect(f.s.OpenWaves()).To(BeEmpty())
}
