package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"bergamotdrum.example/bergamotdrum/internal/batch"
)

const machineCPU = 1000

func machines(pool string, n int) []Machine {
	var out []Machine
	for i := range n {
		id := fmt.Sprint(pool, i)
		out = append(out, Machine{ID: id, Pool: pool, Incarnation: batch.Incarnation{ID: id}, CPUMillis: machineCPU, Available: true, CooldownOver: true})
	}
	return out
}

func capacity(demands map[string]Demand, ms ...[]Machine) CapacityInput {
	in := CapacityInput{Demands: demands, SparePools: map[string]bool{"off": true}, PowerOffPool: "off", MaxMoves: 100}
	for _, m := range ms {
		in.Machines = append(in.Machines, m...)
	}
	return in
}

func moved(p CapacityPlan) map[string]int {
	out := map[string]int{}
	for _, m := range p.Moves {
		out[m.To]++
	}
	return out
}

// Guards against a pool that stays short while machines are off, and against
// more machines than the demand needs.
func TestSpareMachinesServeAShortage(t *testing.T) {
	g := NewWithT(t)
	in := capacity(map[string]Demand{"a": {Ready: 4000}, "b": {}}, machines("a", 2), machines("b", 4), machines("off", 8))
	plan := PlanCapacity(in)
	g.Expect(moved(plan)).To(Equal(map[string]int{"a": 3}))
	for _, m := range plan.Moves {
		g.Expect(m.Machine).To(HavePrefix("off"))
	}
}

// Guards against a donor that is left with less than it needs or than its
// floor, and against a machine that is moved with tasks on it.
func TestDonorsKeepWhatTheyNeed(t *testing.T) {
	g := NewWithT(t)
	in := capacity(map[string]Demand{"a": {Ready: 20_000}, "b": {Running: 2000}, "c": {Running: 1000, Peak: 9000}}, machines("a", 2), machines("b", 6), machines("c", 6))
	for i := range in.Machines {
		if in.Machines[i].ID == "b0" {
			in.Machines[i].Runs = 1
		}
		if in.Machines[i].ID == "c0" {
			in.Machines[i].LongRunning, in.Machines[i].Runs = true, 1
		}
	}
	plan := PlanCapacity(in)
	from := map[string]int{}
	for _, m := range plan.Moves {
		from[m.Machine[:1]]++
		g.Expect(m.Machine).NotTo(BeElementOf("b0", "c0"))
	}
	g.Expect(from).To(Equal(map[string]int{"b": 3, "c": 4}))
}

// Guards against machines that are turned off while a pool's demand only pauses.
func TestPeakKeepsMachinesOn(t *testing.T) {
	g := NewWithT(t)
	idle := machines("a", 6)
	for i := range idle {
		idle[i].Idle = true
	}
	plan := PlanCapacity(capacity(map[string]Demand{"a": {Peak: 4000}, "b": {}}, idle, machines("b", 6)))
	g.Expect(moved(plan)).To(Equal(map[string]int{"off": 1}))
}

// Guards against a machine that is taken for a shortage that its arrival is
// already on the way to end.
func TestArrivingMachinesCount(t *testing.T) {
	g := NewWithT(t)
	arriving := machines("a", 2)
	for i := range arriving {
		arriving[i].Arriving, arriving[i].Available = true, false
	}
	plan := PlanCapacity(capacity(map[string]Demand{"a": {Running: 1500}, "b": {}}, arriving, machines("off", 2)))
	g.Expect(plan.Moves).To(BeEmpty())
}

// Guards against idle machines that are paid for, and against a pool that is
// turned off below its floor, half of its part of all machines.
func TestIdleMachinesAreTurnedOff(t *testing.T) {
	g := NewWithT(t)
	idle := machines("a", 6)
	for i := range idle {
		idle[i].Idle = true
	}
	busy := machines("b", 6)
	plan := PlanCapacity(capacity(map[string]Demand{"a": {}, "b": {}}, idle, busy))
	g.Expect(moved(plan)).To(Equal(map[string]int{"off": 3}))
}
