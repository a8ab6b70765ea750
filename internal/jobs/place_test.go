package jobs

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
)

// referenceAccepts is the reference implementation of the verification that Place
// makes for each placement of a job on a worker. It adds up the leases of the VM and
// of the team from the list of jobs.
func referenceAccepts(s *State, vms []*apiv1.Vm, p *apiv1.Placement, limit int) bool {
	j, known := s.Get(p.JobId)
	if !known || j.State != apiv1.JobState_JOB_STATE_PENDING || j.Epoch != p.ExpectedEpoch {
		return false
	}
	for _, vm := range vms {
		if vm.WorkerId != p.WorkerId {
			continue
		}
		running, cpu, memory, accelerators := 1, j.Resources.CpuMillis, j.Resources.MemoryMb, j.Resources.Accelerators
		for _, o := range s.List() {
			if o.Lease != nil && o.Team == j.Team {
				running++
			}
			if o.GetLease().GetVm() == vm.Id {
				cpu, memory, accelerators = cpu+o.Resources.CpuMillis, memory+o.Resources.MemoryMb, accelerators+o.Resources.Accelerators
			}
		}
		fits := cpu <= vm.Capacity.CpuMillis && memory <= vm.Capacity.MemoryMb && accelerators <= vm.Capacity.Accelerators
		return fits && running <= limit && vm.Pool == j.Pool && !vm.Down && vm.OperationId == "" && !vm.Quarantined && vm.AvailabilityZone != "z2"
	}
	return false
}

// Guards against placements of a plan made on an older state that exceed the
// capacity of a VM or the limit of a team, or start a job on a VM that is down,
// leaving (an operation waits until no work runs there) or quarantined, or whose zone
// is out of service.
func TestPlaceMatchesReference(t *testing.T) {
	setRapidChecks(3000, 0)
	rapid.Check(t, func(t *rapid.T) {
		ix, f, s := testIndex(2), fleet.New(), New()
		limits := &teamLimits{max: 3, running: map[string]uint32{}}
		for i := range 6 {
			observe(f, ix, fmt.Sprint("vm", i), []string{"p0", "p0", "p1"}[i%3], fmt.Sprint("z", rapid.IntRange(0, 5).Draw(t, "zone")%3), &apiv1.Resources{CpuMillis: 5, MemoryMb: 5, Accelerators: 2})
		}
		for i := range 10 {
			need := drawResources(t, "need", 4)
			need.CpuMillis++
			team := fmt.Sprint("t", i%2)
			if _, err := s.Submit(startMS, &apiv1.SubmitJob{JobId: jobID(startMS, i), Team: team, Queue: "p0-2", Repeatable: true, Resources: need}, ix, f); err != nil {
				t.Fatal(err)
			}
		}
		for range 25 {
			vm, n := rapid.IntRange(0, 6).Draw(t, "vm"), rapid.IntRange(0, 9).Draw(t, "job")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				f.Observe(startMS, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{Vm: fmt.Sprint("vm", vm), Down: true}}}, ix)
			case 1:
				f.CreateIntents(startMS, &apiv1.CreateIntents{Intents: []*apiv1.Intent{{OperationId: fmt.Sprint("o", vm), Vm: fmt.Sprint("vm", vm), Kind: apiv1.IntentKind_INTENT_KIND_DRAIN}}}, ix)
			case 2:
				for i := range 5 {
					f.RecordFailure(fmt.Sprint("vm", vm), fmt.Sprint(i), ix)
				}
			case 3:
				s.ExpireLeases(startMS, &apiv1.ExpireLeases{Leases: []*apiv1.JobEpoch{{JobId: jobID(startMS, n), Epoch: 1}}}, limits)
			}
			p := &apiv1.Placement{JobId: jobID(startMS, n), WorkerId: fmt.Sprint("w-vm", vm), ExpectedEpoch: rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "epoch")}
			want := referenceAccepts(s, f.VMs(), p, 3)
			rejected := s.Place(startMS, &apiv1.PlaceJobs{Placements: []*apiv1.Placement{p}}, ix, f, limits)
			if got := len(rejected) == 0; got != want {
				t.Fatalf("placement %v accepted: %v, want %v (%v)", p, got, want, rejected)
			}
		}
	})
}
