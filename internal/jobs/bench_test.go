package jobs

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// benchInput returns the input of Plan for a number of VMs: 2 pending and 4 running
// jobs per VM, of 16 teams.
func benchInput(vms int) PlanInput {
	in := PlanInput{Index: testIndex(16), FreeSlots: map[string]uint32{}}
	for i := range 16 {
		in.FreeSlots[fmt.Sprint("t", i)] = 1000
	}
	for i := range vms {
		in.VMs = append(in.VMs, &apiv1.Vm{
			Id: fmt.Sprintf("vm%05d", i), WorkerId: fmt.Sprint("w", i), Pool: fmt.Sprint("p", i%2), AvailabilityZone: fmt.Sprint("z", i%2),
			Capacity: &apiv1.Resources{CpuMillis: 64_000, MemoryMb: 256_000, Accelerators: uint32(i % 2)},
		})
	}
	for i := range 6 * vms {
		vm := in.VMs[i%vms]
		j := &apiv1.Job{
			JobId: jobID(startMS, i), ClientAccount: "account", Team: fmt.Sprint("t", i%16), Queue: vm.Pool + "-2", Pool: vm.Pool,
			Priority: apiv1.Priority(1 + i%3), State: apiv1.JobState_JOB_STATE_PENDING,
			Resources: &apiv1.Resources{CpuMillis: 16_000, MemoryMb: 1000}, Repeatable: true, DeclaredRunMs: 60_000,
		}
		if i < 4*vms {
			j.State = apiv1.JobState_JOB_STATE_RUNNING
			j.Epoch = 1
			j.Lease = &apiv1.JobLease{Epoch: 1, Vm: vm.Id, WorkerId: vm.WorkerId}
			j.Resources.CpuMillis = 12_000
		}
		in.Jobs = append(in.Jobs, j)
	}
	return in
}

// BenchmarkPlan measures one call of Plan for 200 and 3200 VMs.
func BenchmarkPlan(b *testing.B) {
	for _, vms := range []int{200, 3200} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			in := benchInput(vms)
			placed := 0
			for b.Loop() {
				placed = len(Plan(in).Placements)
			}
			b.ReportMetric(float64(placed), "placements/op")
		})
	}
}

// BenchmarkSnapshotPerJob reports the bytes that a job takes in a snapshot.
func BenchmarkSnapshotPerJob(b *testing.B) {
	in := benchInput(200)
	size := 0
	for b.Loop() {
		size = proto.Size(&apiv1.JobsSnapshot{Jobs: in.Jobs})
	}
	b.ReportMetric(float64(size)/float64(len(in.Jobs)), "bytes/job")
}
