package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

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
// left with less than its reserve: an eighth of an equal share of all machines, at
// least one.
func TestIdleMachinesArePoweredOff(t *testing.T) {
	g := NewWithT(t)
	for machines, reserve := range map[int]int{6: 1, 16: 2} {
		idle := newMachines("a", machines)
		for i := range idle {
			idle[i].Idle = true
		}
		busy := newMachines("b", machines)
		plan := PlanCapacity(newCapacityInput(map[string]Demand{"a": {}, "b": {}}, idle, busy))
		g.Expect(movesByPool(plan)).To(Equal(map[string]int{"off": machines - reserve}))
	}
}

// Load: one queue's backlog of jobs that are late already takes the whole fleet
// while another queue's turn begins. Guards against jobs that could be on time and
// wait behind that backlog.
func TestLateBacklogYieldsToJobsOnTime(t *testing.T) {
	g := NewWithT(t)
	busy := newMachines("a", 10)
	for i := range busy {
		busy[i].Runs = i
	}
	in := newCapacityInput(map[string]Demand{"a": {Late: 300_000}, "b": {Ready: 4000}}, busy, newMachines("b", 1))
	plan := PlanCapacity(in)
	g.Expect(movesByPool(plan)).To(Equal(map[string]int{"b": 1}), "the machine without runs moves")
	var reserved []string
	for _, inc := range plan.Reserve {
		reserved = append(reserved, inc.ID)
	}
	g.Expect(reserved).To(Equal([]string{"a1", "a2"}), "the machines with the fewest runs are emptied")
}

// Load: the demand of all queues exceeds the fleet. Guards against a large demand
// that starves a small one, and against machines that move to and fro between two
// pools that both lack some.
func TestScarceFleetIsShared(t *testing.T) {
	g := NewWithT(t)
	in := newCapacityInput(map[string]Demand{"a": {Ready: 90_000}, "b": {Ready: 2000}, "c": {Ready: 70_000}},
		newMachines("a", 10), newMachines("b", 1), newMachines("c", 3))
	plan := PlanCapacity(in)
	g.Expect(movesByPool(plan)).To(Equal(map[string]int{"b": 1, "c": 3}))
	for _, m := range plan.Moves {
		g.Expect(m.Machine).To(HavePrefix("a"))
	}
	in = newCapacityInput(in.Demands, newMachines("a", 6), newMachines("b", 2), newMachines("c", 6))
	g.Expect(PlanCapacity(in).Moves).To(BeEmpty())
}

// Guards against shares that exceed the amount or what a pool wants, that leave
// something over while a pool wants more, or that give a pool less than an equal
// share although it wants that much.
func TestMaxMinShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wanted := rapid.MapOfN(rapid.StringN(1, 3, 3), rapid.Int64Range(0, 1000), 1, 8).Draw(t, "wanted")
		amount := rapid.Int64Range(-10, 4000).Draw(t, "amount")
		shares := maxMinShares(amount, wanted)
		sum, total := int64(0), int64(0)
		for pool, w := range wanted {
			sum, total = sum+shares[pool], total+w
			if shares[pool] > w || shares[pool] < min(w, max(amount, 0)/int64(len(wanted))) {
				t.Fatalf("%s wants %d and gets %d", pool, w, shares[pool])
			}
		}
		if sum != min(total, max(amount, 0)) {
			t.Fatalf("%d of %d are shared, %d are wanted", sum, amount, total)
		}
	})
}

// Guards against a shortage that is not seen because machines count with a
// capacity that their minions don't have at present.
func TestShrunkMachinesCountWithPresentCapacity(t *testing.T) {
	g := NewWithT(t)
	shrunk := newMachines("a", 5)
	in := newCapacityInput(map[string]Demand{"a": {Ready: 4000}}, shrunk, newMachines("off", 8))
	g.Expect(PlanCapacity(in).Moves).To(BeEmpty())
	for i := range shrunk {
		in.Machines[i].ShrunkCPUMillis = machineCPU / 2
	}
	plan := PlanCapacity(in)
	g.Expect(plan.Pools["a"].SupplyCPU).To(BeEquivalentTo(5 * machineCPU / 2))
	g.Expect(movesByPool(plan)["a"]).To(BeNumerically(">=", 2))
}

// Guards against jobs that are refused at the beginning of a pool's turn although idle
// machines of others come within their time, and against machines that are promised to two
// pools that both need them.
func TestSpareCPUIsWhatOthersDoNotDemand(t *testing.T) {
	g := NewWithT(t)
	in := CapacityInput{
		Demands: map[string]Demand{"busy": {Running: 3000}, "turn": {Ready: 1000}},
		Machines: []Machine{
			{ID: "a", Pool: "busy", CPUMillis: 4000, Available: true},
			{ID: "b", Pool: "turn", CPUMillis: 1000, Available: true},
			{ID: "c", Pool: "off", CPUMillis: 2000, Available: true},
			{ID: "d", Pool: "off", CPUMillis: 2000},
		},
	}
	g.Expect(SpareCPU(in)).To(Equal(map[string]int64{"turn": 3000, "busy": 2000}))
	in.Demands["turn"] = Demand{Ready: 10_000}
	g.Expect(SpareCPU(in)).To(Equal(map[string]int64{"turn": 3000}))
}
