package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// machineCPU is the CPU capacity of each machine, in thousandths of a core.
const machineCPU = 1000

// newMachines returns n machines of a pool, without runs and free to be moved.
func newMachines(pool string, n int) []Machine {
	var out []Machine
	for i := range n {
		id := fmt.Sprint(pool, i)
		out = append(out, Machine{ID: id, Pool: pool, Incarnation: batch.Incarnation{ID: id}, CPUMillis: machineCPU, Available: true, CooldownOver: true})
	}
	return out
}

// newCapacityInput returns an input with the spare pool "off", whose machines
// are powered off, and a limit of 100 moves.
func newCapacityInput(demands map[string]Demand, ms ...[]Machine) CapacityInput {
	in := CapacityInput{Demands: demands, SparePools: map[string]bool{"off": true}, PowerOffPool: "off", MaxMoves: 100}
	for _, m := range ms {
		in.Machines = append(in.Machines, m...)
	}
	return in
}

// movesByPool counts the moves to each pool.
func movesByPool(p CapacityPlan) map[string]int {
	out := map[string]int{}
	for _, m := range p.Moves {
		out[m.To]++
	}
	return out
}

// Guards against a shortage that remains while machines are powered off, and
// against moving more machines than the demand needs.
func TestSpareMachinesFillShortage(t *testing.T) {
	g := NewWithT(t)
	in := newCapacityInput(map[string]Demand{"a": {Ready: 4000}, "b": {}}, newMachines("a", 2), newMachines("b", 4), newMachines("off", 8))
	plan := PlanCapacity(in)
	g.Expect(movesByPool(plan)).To(Equal(map[string]int{"a": 3}))
	for _, m := range plan.Moves {
		g.Expect(m.Machine).To(HavePrefix("off"))
	}
}

// Guards against moving so many machines out of a pool that it falls below its
// own demand or its minimum of machines, and against moving a machine that still
// has runs.
func TestSourcePoolsKeepRequiredSupply(t *testing.T) {
	g := NewWithT(t)
	in := newCapacityInput(map[string]Demand{"a": {Ready: 20_000}, "b": {Running: 2000}, "c": {Running: 1000, Peak: 9000}}, newMachines("a", 2), newMachines("b", 6), newMachines("c", 6))
	for i := range in.Machines {
		if in.Machines[i].ID == "b0" {
			in.Machines[i].Runs = 1
		}
		if in.Machines[i].ID == "c0" {
			in.Machines[i].LongRunning, in.Machines[i].Runs = true, 1
		}
	}
	plan := PlanCapacity(in)
	movesFrom := map[string]int{}
	for _, m := range plan.Moves {
		movesFrom[m.Machine[:1]]++
		g.Expect(m.Machine).NotTo(BeElementOf("b0", "c0"))
	}
	g.Expect(movesFrom).To(Equal(map[string]int{"b": 3, "c": 4}))
}

// Guards against powering off machines while the demand of their pool pauses for
// a few seconds.
func TestPeakKeepsMachinesOn(t *testing.T) {
	g := NewWithT(t)
	idle := newMachines("a", 6)
	for i := range idle {
		idle[i].Idle = true
	}
	plan := PlanCapacity(newCapacityInput(map[string]Demand{"a": {Peak: 4000}, "b": {}}, idle, newMachines("b", 6)))
	g.Expect(movesByPool(plan)).To(Equal(map[string]int{"off": 1}))
}

// Guards against moving a machine for a shortage that machines on their way to
// the pool are about to end.
func TestArrivingMachinesCount(t *testing.T) {
	g := NewWithT(t)
	arriving := newMachines("a", 2)
	for i := range arriving {
		arriving[i].Arriving, arriving[i].Available = true, false
	}
	plan := PlanCapacity(newCapacityInput(map[string]Demand{"a": {Running: 1500}, "b": {}}, arriving, newMachines("off", 2)))
	g.Expect(plan.Moves).To(BeEmpty())
}

// Guards against idle machines that stay on at a cost, and against a pool that is
// left with less than its minimum: half of an equal share of all machines.
func TestIdleMachinesArePoweredOff(t *testing.T) {
	g := NewWithT(t)
	idle := newMachines("a", 6)
	for i := range idle {
		idle[i].Idle = true
	}
	busy := newMachines("b", 6)
	plan := PlanCapacity(newCapacityInput(map[string]Demand{"a": {}, "b": {}}, idle, busy))
	g.Expect(movesByPool(plan)).To(Equal(map[string]int{"off": 3}))
}
