package placement

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// equivalence converts what a task takes of a minion to CPU, so that demands and
// capacities of several resources can be compared: a task that takes a quarter of the
// memory of a machine and a tenth of its CPU leaves room for three more like it, as if it
// took a quarter of the CPU.
type equivalence struct {
	// total is the capacity of all minions.
	total batch.Usage
}

// newEquivalence returns the equivalence on the recorded minions. Without any, only CPU
// counts.
func newEquivalence(st *batch.State) equivalence {
	var e equivalence
	for _, m := range st.Minions() {
		e.total = e.total.Add(batch.Usage{
			CPUMillis: int64(m.Capacity.GetCpuMillis()), MemoryMB: int64(m.Capacity.GetMemoryMb()), Accelerators: int64(m.Capacity.GetAccelerators()),
		}, 1)
	}
	return e
}

// cpuMillis returns the CPU that stands for the usage, in thousandths of a core: that of
// the resource of which it takes the largest share.
func (e equivalence) cpuMillis(u batch.Usage) int64 {
	cpu := u.CPUMillis
	if e.total.MemoryMB > 0 {
		cpu = max(cpu, mulDiv(u.MemoryMB, e.total.CPUMillis, e.total.MemoryMB, maxArrivingCPU))
	}
	if e.total.Accelerators > 0 {
		cpu = max(cpu, mulDiv(u.Accelerators, e.total.CPUMillis, e.total.Accelerators, maxArrivingCPU))
	}
	return cpu
}

// maxStepWork bounds the work of one step of a job, so that the sum of all jobs stays below
// the largest int64. It is more than a fleet does in a month.
const maxStepWork = 1 << 45

// stepWork returns the work of some tasks of a step, in thousandths of a core times
// milliseconds.
func (e equivalence) stepWork(step *apiv1.BatchStep, tasks int64) int64 {
	return mulDiv(e.cpuMillis(batch.ResourcesOnMinion(step)), tasks*int64(step.EstimatedMs), 1, maxStepWork)
}
