package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// roomDemands returns the demands for room of pool "p".
func (h *harness) roomDemands() []RoomDemand {
	return RoomDemands(h.state, nowMS, func(m *apiv1.BatchMinion) bool { return h.health[batch.IncarnationOf(m.Life)].Usable })["p"]
}

// Load: long-running tasks of a step that allows one on a minion, and steps that need a
// label or much memory, in a pool with CPU to spare. Guards against tasks that wait for as
// long as the pool's CPU suffices, and against machines for tasks that have room, wait for
// others to end, or exceed their account's limit.
func TestTasksWithoutRoomDemandAMachine(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *apiv1.BatchStep)
		limit  uint32
		// want is how many machines are in demand.
		want int
	}{
		"room":             {func(*apiv1.BatchStep) {}, 100_000, 0},
		"tasks per minion": {func(s *apiv1.BatchStep) { s.MaxPerMinion = 1 }, 100_000, 2},
		"label":            {func(s *apiv1.BatchStep) { s.RequiredLabel = "gpu" }, 100_000, 1},
		"finite label": {func(s *apiv1.BatchStep) {
			s.LongRunning, s.RequiredLabel, s.MaxPerMinion = false, "gpu", 1
		}, 100_000, 1},
		"finite size": {func(s *apiv1.BatchStep) { s.LongRunning, s.Resources.MemoryMb = false, 200_000 }, 100_000, 1},
		"finite, others end": {func(s *apiv1.BatchStep) {
			s.LongRunning, s.MaxPerMinion, s.Resources.MemoryMb = false, 1, 60_000
		}, 100_000, 0},
		"account": {func(s *apiv1.BatchStep) { s.MaxPerMinion = 1 }, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(&apiv1.Resources{CpuMillis: c.limit})
			h.addMinion("m", 8000)
			step := newStep(3, 1000)
			step.LongRunning = true
			c.change(step)
			h.submit("j", "q", step)
			h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: h.plan()}}})
			demands := h.roomDemands()
			if c.want == 0 {
				g.Expect(demands).To(BeEmpty())
				return
			}
			g.Expect(demands).To(ConsistOf(HaveField("Machines", c.want)))
		})
	}
}

// Guards against a demand for room that gets no machine, one that can't meet it, or one
// more in each round while the first is on its way or has just come.
func TestMachinesMoveForRoom(t *testing.T) {
	g := NewWithT(t)
	demand := RoomDemand{MachineNeed{Label: "gpu", Needed: batch.Usage{CPUMillis: 100}}, 1}
	input := func(poolMachine Machine, spare ...string) CapacityInput {
		in := newCapacityInput(map[string]Demand{"a": {}}, newMachines("off", 3))
		for i := range in.Machines {
			in.Machines[i].Capacity = &apiv1.Resources{CpuMillis: machineCPU}
			if i < len(spare) {
				in.Machines[i].Labels = []string{spare[i]}
			}
		}
		poolMachine.ID, poolMachine.Pool, poolMachine.CPUMillis = "a0", "a", machineCPU
		poolMachine.Capacity, poolMachine.Labels = &apiv1.Resources{CpuMillis: machineCPU}, []string{"gpu"}
		in.Machines = append(in.Machines, poolMachine)
		in.RoomDemands = map[string][]RoomDemand{"a": {demand}}
		return in
	}
	busy := Machine{Available: true, CooldownOver: true, Runs: 1, LongRunning: true}
	g.Expect(PlanCapacity(input(busy, "", "gpu")).Moves).To(ConsistOf(HaveField("Machine", "off1")))
	g.Expect(PlanCapacity(input(busy)).Moves).To(BeEmpty(), "no machine has the label")
	g.Expect(PlanCapacity(input(Machine{Arriving: true}, "gpu")).Moves).To(BeEmpty(), "one is on its way")
	g.Expect(PlanCapacity(input(Machine{Available: true, CooldownOver: true, Idle: true}, "gpu")).Moves).To(BeEmpty(), "one is empty and stays")
	demand.Machines = 3
	g.Expect(PlanCapacity(input(busy, "gpu", "", "gpu")).Moves).To(ConsistOf(HaveField("Machine", "off0"), HaveField("Machine", "off2")))
	g.Expect(PlanCapacity(input(Machine{Arriving: true}, "gpu", "gpu", "gpu")).Moves).To(HaveLen(2))
}

// Load: one pool asks for more machines than the fleet has, and another one has a machine
// to spare by its CPU, on which a finite task runs. Guards against a long-running task that
// waits beside that machine's room, since the machine is reserved for the other pool until
// its run ends.
func TestMachineWithRoomForAWaitingTaskIsNotReserved(t *testing.T) {
	g := NewWithT(t)
	in := newCapacityInput(map[string]Demand{"a": {}, "b": {Ready: 10 * machineCPU}}, newMachines("a", 2), newMachines("b", 1))
	for i := range in.Machines {
		in.Machines[i].Capacity = &apiv1.Resources{CpuMillis: machineCPU}
		in.Machines[i].Runs = 1
	}
	in.Machines[0].LongRunning = true
	g.Expect(PlanCapacity(in).Reserve).To(ConsistOf(HaveField("ID", "a1")))
	in.RoomDemands = map[string][]RoomDemand{"a": {{MachineNeed{Needed: batch.Usage{CPUMillis: 100}}, 1}}}
	g.Expect(PlanCapacity(in).Reserve).To(BeEmpty())
	in.RoomDemands["a"][0].Label = "gpu"
	g.Expect(PlanCapacity(in).Reserve).To(HaveLen(1), "the task can't run there")
}

// Load: one machine is powered off, and a pool asks for ten by its CPU. Guards against a
// long-running task that waits for as long as the fleet is too small for the demand.
func TestRoomComesBeforeShortageOfCPU(t *testing.T) {
	g := NewWithT(t)
	in := newCapacityInput(map[string]Demand{"a": {}, "b": {Ready: 10 * machineCPU}}, newMachines("a", 1), newMachines("b", 1), newMachines("off", 1))
	for i := range in.Machines {
		in.Machines[i].Capacity = &apiv1.Resources{CpuMillis: machineCPU}
	}
	in.Machines[0].Runs, in.Machines[0].LongRunning = 1, true
	g.Expect(movesByPool(PlanCapacity(in))).To(Equal(map[string]int{"b": 1}))
	in.RoomDemands = map[string][]RoomDemand{"a": {{MachineNeed{Needed: batch.Usage{CPUMillis: 100}}, 1}}}
	g.Expect(movesByPool(PlanCapacity(in))).To(Equal(map[string]int{"a": 1}))
}
