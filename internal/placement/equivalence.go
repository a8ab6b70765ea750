package placement

import (
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
