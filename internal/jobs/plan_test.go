package jobs

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

func drawResources(t *rapid.T, label string, most uint32) *apiv1.Resources {
	n := rapid.Uint32Range(0, most)
	return &apiv1.Resources{CpuMillis: n.Draw(t, label+" cpu"), MemoryMb: n.Draw(t, label+" memory"), Accelerators: n.Draw(t, label+" accelerators") / 2}
}

// drawInput returns VMs of two pools in three zones, of which z2 is out, with
// pending and running jobs. Some leases overcommit their VM, as after a VM
// announced less.
func drawInput(t *rapid.T) PlanInput {
	in := PlanInput{NowMS: 10, Index: testIndex(3), FreeSlots: map[string]uint32{}}
	for i := range 3 {
		in.FreeSlots[fmt.Sprint("t", i)] = rapid.Uint32Range(0, 4).Draw(t, "slots")
	}
	for i := range rapid.IntRange(1, 7).Draw(t, "vms") {
		id := fmt.Sprint("vm", i)
		in.VMs = append(in.VMs, &apiv1.Vm{
			Id: id, WorkerId: "w-" + id, Pool: rapid.SampledFrom([]string{"p0", "p0", "p1"}).Draw(t, "pool"),
			AvailabilityZone: rapid.SampledFrom([]string{"z0", "z0", "z1", "z1", "z2"}).Draw(t, "zone"),
			Capacity:         drawResources(t, "capacity", 8), Down: rapid.IntRange(0, 9).Draw(t, "down") == 0,
			OperationId: rapid.SampledFrom([]string{"", "", "", "operation"}).Draw(t, "operation"),
		})
	}
	for i := range rapid.IntRange(0, 14).Draw(t, "jobs") {
		j := &apiv1.Job{
			JobId: jobID(startMS, i), Team: rapid.SampledFrom([]string{"t0", "t1", "t2"}).Draw(t, "team"), Pool: "p0",
			Priority: apiv1.Priority(rapid.IntRange(1, 3).Draw(t, "priority")), Resources: drawResources(t, "need", 5),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), State: apiv1.JobState_JOB_STATE_PENDING,
			Epoch: 1, ChangedUnixMs: rapid.Int64Range(0, 3).Draw(t, "changed"), DeclaredRunMs: rapid.SampledFrom([]uint32{5, 30_010, 30_020}).Draw(t, "declared"),
		}
		if rapid.Bool().Draw(t, "leased") {
			vm := rapid.SampledFrom(in.VMs).Draw(t, "on")
			j.Lease = &apiv1.JobLease{Epoch: 1, WorkerId: vm.WorkerId, Vm: vm.Id, Throttled: rapid.Bool().Draw(t, "throttled")}
			j.State = rapid.SampledFrom([]apiv1.JobState{apiv1.JobState_JOB_STATE_RUNNING, apiv1.JobState_JOB_STATE_STOPPING}).Draw(t, "state")
		} else if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
			j.FailedWorkers = []string{in.VMs[0].WorkerId}
		}
		in.Jobs = append(in.Jobs, j)
	}
	return in
}

// naive plans by recomputing everything from the plan so far at each step.
type naive struct {
	in    PlanInput
	out   *apiv1.PlaceJobs
	tried map[string]bool
	kept  map[string]*apiv1.Resources // room kept for urgent jobs, per VM
}

func (n *naive) placedOn(j *apiv1.Job) string {
	for _, p := range n.out.Placements {
		if p.JobId == j.JobId {
			return p.WorkerId[2:]
		}
	}
	return j.GetLease().GetVm()
}

func (n *naive) room(vm *apiv1.Vm, withStopping bool) [3]int {
	r := [3]int{int(vm.Capacity.CpuMillis), int(vm.Capacity.MemoryMb), int(vm.Capacity.Accelerators)}
	sub := func(x *apiv1.Resources) {
		r[0], r[1], r[2] = max(r[0]-int(x.GetCpuMillis()), 0), max(r[1]-int(x.GetMemoryMb()), 0), max(r[2]-int(x.GetAccelerators()), 0)
	}
	for _, j := range n.in.Jobs {
		if n.placedOn(j) == vm.Id {
			sub(j.Resources)
		}
	}
	sub(n.kept[vm.Id])
	for _, j := range n.in.Jobs {
		if withStopping && j.GetLease().GetVm() == vm.Id && j.State == apiv1.JobState_JOB_STATE_STOPPING {
			r = sum(r, j.Resources)
		}
	}
	return r
}

func sum(r [3]int, x *apiv1.Resources) [3]int {
	return [3]int{r[0] + int(x.CpuMillis), r[1] + int(x.MemoryMb), r[2] + int(x.Accelerators)}
}

func within(x *apiv1.Resources, r [3]int) bool {
	return int(x.CpuMillis) <= r[0] && int(x.MemoryMb) <= r[1] && int(x.Accelerators) <= r[2]
}

func (n *naive) usable(vm *apiv1.Vm) bool {
	return vm.Pool == "p0" && !vm.Down && vm.OperationId == "" && vm.AvailabilityZone != "z2"
}

// next returns the pending job that is due: priority, then share, then order.
func (n *naive) next(prio int) *apiv1.Job {
	var best *apiv1.Job
	share := func(team string) float64 {
		running := 0
		for _, j := range n.in.Jobs {
			if j.Team == team && n.placedOn(j) != "" {
				running++
			}
		}
		return float64(running) / float64(n.in.Index.Teams[team].Weight)
	}
	for _, j := range n.in.Jobs {
		if j.State != apiv1.JobState_JOB_STATE_PENDING || int(j.Priority) != prio || n.tried[j.JobId] || n.in.FreeSlots[j.Team] == 0 {
			continue
		}
		if best == nil || share(j.Team) < share(best.Team) || (share(j.Team) == share(best.Team) && j.Team < best.Team) {
			best = j
		}
	}
	return best
}

func (n *naive) target(j *apiv1.Job) *apiv1.Vm {
	key := func(vm *apiv1.Vm) [3]int {
		k := [3]int{0, n.room(vm, false)[2], 0}
		if slices.Contains(j.FailedWorkers, vm.WorkerId) {
			k[0] = 1
		}
		if j.Resources.Accelerators == 0 && k[1] > 0 {
			k[1] = 1
		}
		for _, o := range n.in.Jobs {
			for _, v := range n.in.VMs {
				if n.placedOn(o) == v.Id && v.AvailabilityZone == vm.AvailabilityZone {
					k[2]++
				}
			}
		}
		return k
	}
	var best *apiv1.Vm
	for _, vm := range n.in.VMs {
		k := key(vm)
		if n.usable(vm) && within(j.Resources, n.room(vm, false)) && (best == nil || slices.Compare(k[:], slices.Clone(func() []int { b := key(best); return b[:] }())) < 0) {
			best = vm
		}
	}
	return best
}

func (n *naive) takeRoom(j *apiv1.Job) bool {
	var best *apiv1.Vm
	var victims []*apiv1.Job
	full := func(list []*apiv1.Job) int {
		return len(slices.DeleteFunc(slices.Clone(list), func(v *apiv1.Job) bool { return v.Lease.Throttled }))
	}
	for _, vm := range n.in.VMs {
		if !n.usable(vm) || n.kept[vm.Id] != nil {
			continue
		}
		var chosen []*apiv1.Job
		list := slices.DeleteFunc(slices.Clone(n.in.Jobs), func(o *apiv1.Job) bool {
			return o.GetLease().GetVm() != vm.Id || !o.Repeatable || o.Priority != 3 || o.State != apiv1.JobState_JOB_STATE_RUNNING
		})
		slices.SortStableFunc(list, func(a, b *apiv1.Job) int { return int(b.ChangedUnixMs - a.ChangedUnixMs) })
		slices.SortStableFunc(list, func(a, b *apiv1.Job) int { return full([]*apiv1.Job{a}) - full([]*apiv1.Job{b}) })
		room := n.room(vm, true)
		for len(list) > 0 && !within(j.Resources, room) {
			room = sum(room, list[0].Resources)
			chosen, list = append(chosen, list[0]), list[1:]
		}
		better := best == nil || len(chosen) < len(victims) || (len(chosen) == len(victims) && full(chosen) < full(victims))
		if within(j.Resources, room) && better {
			best, victims = vm, chosen
		}
	}
	if best == nil {
		return false
	}
	n.kept[best.Id] = j.Resources
	for _, v := range victims {
		if v.Lease.Throttled {
			n.out.PreemptJobIds = append(n.out.PreemptJobIds, v.JobId)
		} else {
			n.out.ThrottleJobIds = append(n.out.ThrottleJobIds, v.JobId)
		}
	}
	return true
}

func naivePlan(in PlanInput) *apiv1.PlaceJobs {
	n := &naive{in: in, out: &apiv1.PlaceJobs{}, tried: map[string]bool{}, kept: map[string]*apiv1.Resources{}}
	waits := false
	for prio := 1; prio <= 3; prio++ {
		for j := n.next(prio); j != nil; j = n.next(prio) {
			n.tried[j.JobId] = true
			vm := n.target(j)
			if vm != nil {
				n.out.Placements = append(n.out.Placements, &apiv1.Placement{JobId: j.JobId, WorkerId: vm.WorkerId, ExpectedEpoch: j.Epoch})
			}
			waits = waits || (prio == 1 && vm == nil)
			if vm != nil || (prio == 1 && n.takeRoom(j)) {
				in.FreeSlots[j.Team]--
			}
		}
	}
	for _, j := range in.Jobs {
		if j.Lease == nil || j.State == apiv1.JobState_JOB_STATE_STOPPING {
			continue
		}
		if j.Lease.Throttled && !waits {
			n.out.ResumeJobIds = append(n.out.ResumeJobIds, j.JobId)
		}
		for _, vm := range in.VMs {
			if end := j.ChangedUnixMs + int64(j.DeclaredRunMs); vm.Id == j.Lease.Vm && vm.OperationId != "" && j.Repeatable && (end < 10 || end > 30_010) {
				n.out.EvictJobIds = append(n.out.EvictJobIds, j.JobId)
			}
		}
	}
	return n.out
}

// Guards against a planner whose shortcuts (remembered misfits, counters kept
// per VM, zone and team) choose otherwise than the rules say.
func TestPlanMatchesNaive(t *testing.T) {
	checks(10_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		got := Plan(in)
		want := naivePlan(in)
		if !proto.Equal(got, want) {
			t.Fatalf("plan:\n%v\nwant:\n%v", got, want)
		}
	})
}
