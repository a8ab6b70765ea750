package jobs

import (
	"fmt"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// amount is a sum of resources. It is wider than the declared sizes, so wrong
// sizes cannot make a sum wrap around.
type amount struct{ cpuMillis, memoryMB, accelerators uint64 }

func amountOf(r *apiv1.Resources) amount {
	return amount{uint64(r.GetCpuMillis()), uint64(r.GetMemoryMb()), uint64(r.GetAccelerators())}
}

func (a amount) plus(b amount) amount {
	return amount{a.cpuMillis + b.cpuMillis, a.memoryMB + b.memoryMB, a.accelerators + b.accelerators}
}

// minus stops at zero: a VM's capacity may be announced smaller than its leases.
func (a amount) minus(b amount) amount {
	return amount{less(a.cpuMillis, b.cpuMillis), less(a.memoryMB, b.memoryMB), less(a.accelerators, b.accelerators)}
}

func (a amount) fits(in amount) bool {
	return a.cpuMillis <= in.cpuMillis && a.memoryMB <= in.memoryMB && a.accelerators <= in.accelerators
}

func (a amount) String() string {
	return fmt.Sprintf("%d cpu millis, %d MB and %d accelerators", a.cpuMillis, a.memoryMB, a.accelerators)
}

func less(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
