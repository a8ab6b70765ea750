package jobs

import (
	"fmt"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// resources holds the resources of a job or a VM, or a sum of them. Its fields
// are wider than those of apiv1.Resources, so that a sum of wrongly declared
// sizes cannot overflow.
type resources struct{ cpuMillis, memoryMB, accelerators uint64 }

// resourcesOf converts r. A nil r gives zero resources.
func resourcesOf(r *apiv1.Resources) resources {
	return resources{uint64(r.GetCpuMillis()), uint64(r.GetMemoryMb()), uint64(r.GetAccelerators())}
}

func (a resources) add(b resources) resources {
	return resources{a.cpuMillis + b.cpuMillis, a.memoryMB + b.memoryMB, a.accelerators + b.accelerators}
}

// sub subtracts b field by field and stops at zero, because a VM may announce
// less capacity than the jobs that hold leases on the VM have reserved.
func (a resources) sub(b resources) resources {
	return resources{saturatingSub(a.cpuMillis, b.cpuMillis), saturatingSub(a.memoryMB, b.memoryMB), saturatingSub(a.accelerators, b.accelerators)}
}

// fitsIn reports whether no field of a is larger than that of b.
func (a resources) fitsIn(b resources) bool {
	return a.cpuMillis <= b.cpuMillis && a.memoryMB <= b.memoryMB && a.accelerators <= b.accelerators
}

func (a resources) String() string {
	return fmt.Sprintf("%d cpu millis, %d MB and %d accelerators", a.cpuMillis, a.memoryMB, a.accelerators)
}

// saturatingSub returns a - b, or 0 if b is larger.
func saturatingSub(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}
