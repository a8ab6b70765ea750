package jobs

import (
	"cmp"
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

// referencePlanner plans by recomputing everything from the plan so far at each step.
type referencePlanner struct {
	in       PlanInput
	out      *apiv1.PlaceJobs
	placed   map[string]string // VM by job
	tried    map[string]bool
	reserved map[string]resources // room kept for urgent jobs, by VM
}

func (n *referencePlanner) vmOf(j *apiv1.Job) string {
	return cmp.Or(n.placed[j.JobId], j.GetLease().GetVm())
}

func (n *referencePlanner) free(vm *apiv1.Vm, stopping bool) resources {
	r, later := resourcesOf(vm.Capacity), resources{}
	for _, j := range n.in.Jobs {
		if n.vmOf(j) == vm.Id {
			r = r.sub(resourcesOf(j.Resources))
			if stopping && j.State == apiv1.JobState_JOB_STATE_STOPPING {
				later = later.add(resourcesOf(j.Resources))
			}
		}
	}
	return r.sub(n.reserved[vm.Id]).add(later)
}

func (n *referencePlanner) usable(vm *apiv1.Vm) bool {
	return vm.Pool == "p0" && !vm.Down && vm.OperationId == "" && vm.AvailabilityZone != "z2"
}

func (n *referencePlanner) share(team string) float64 {
	running := 0.0
	for _, j := range n.in.Jobs {
		if j.Team == team && n.vmOf(j) != "" {
			running++
		}
	}
	return running / float64(n.in.Index.Teams[team].Weight)
}

// nextJob returns the pending job that is due: by share, team and submission.
func (n *referencePlanner) nextJob(prio int) *apiv1.Job {
	due := slices.DeleteFunc(slices.Clone(n.in.Jobs), func(j *apiv1.Job) bool {
		return j.State != apiv1.JobState_JOB_STATE_PENDING || int(j.Priority) != prio || n.tried[j.JobId] || n.in.FreeSlots[j.Team] == 0
	})
	return firstMin(due, func(a, b *apiv1.Job) int {
		return cmp.Or(cmp.Compare(n.share(a.Team), n.share(b.Team)), cmp.Compare(a.Team, b.Team))
	})
}

// firstMin returns the first firstMin element, nil when there is none.
func firstMin[T any](list []*T, order func(a, b *T) int) *T {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, order)
}

// rankKey orders VMs: workers that failed the job last, then accelerators, then zones.
func (n *referencePlanner) rankKey(j *apiv1.Job, vm *apiv1.Vm) []int {
	k := []int{0, int(n.free(vm, false).accelerators), 0}
	if slices.Contains(j.FailedWorkers, vm.WorkerId) {
		k[0] = 1
	}
	if j.Resources.Accelerators == 0 && k[1] > 0 {
		k[1] = 1
	}
	for _, o := range n.in.Jobs {
		for _, v := range n.in.VMs {
			if n.vmOf(o) == v.Id && v.AvailabilityZone == vm.AvailabilityZone {
				k[2]++
			}
		}
	}
	return k
}

func (n *referencePlanner) bestVM(j *apiv1.Job) *apiv1.Vm {
	fit := slices.DeleteFunc(slices.Clone(n.in.VMs), func(vm *apiv1.Vm) bool {
		return !n.usable(vm) || !resourcesOf(j.Resources).fitsIn(n.free(vm, false))
	})
	return firstMin(fit, func(a, b *apiv1.Vm) int { return slices.Compare(n.rankKey(j, a), n.rankKey(j, b)) })
}

// victims returns the fewest jobs that make room for j on vm: throttled ones
// first, then those that changed last.
func (n *referencePlanner) victims(j *apiv1.Job, vm *apiv1.Vm) (chosen []*apiv1.Job, ok bool) {
	list := slices.DeleteFunc(slices.Clone(n.in.Jobs), func(o *apiv1.Job) bool {
		return o.GetLease().GetVm() != vm.Id || !o.Repeatable || o.Priority != 3 || o.State != apiv1.JobState_JOB_STATE_RUNNING
	})
	slices.SortStableFunc(list, func(a, b *apiv1.Job) int { return int(b.ChangedUnixMs - a.ChangedUnixMs) })
	slices.SortStableFunc(list, func(a, b *apiv1.Job) int { return countFullSpeed(a) - countFullSpeed(b) })
	room := n.free(vm, true)
	for len(list) > 0 && !resourcesOf(j.Resources).fitsIn(room) {
		room = room.add(resourcesOf(list[0].Resources))
		chosen, list = append(chosen, list[0]), list[1:]
	}
	return chosen, resourcesOf(j.Resources).fitsIn(room)
}

func (n *referencePlanner) preemptFor(j *apiv1.Job) bool {
	var best *apiv1.Vm
	var victims []*apiv1.Job
	for _, vm := range n.in.VMs {
		_, claimed := n.reserved[vm.Id]
		v, ok := n.victims(j, vm)
		order := cmp.Or(cmp.Compare(len(v), len(victims)), cmp.Compare(countFullSpeed(v...), countFullSpeed(victims...)))
		if ok && !claimed && n.usable(vm) && (best == nil || order < 0) {
			best, victims = vm, v
		}
	}
	if best == nil {
		return false
	}
	n.reserved[best.Id] = resourcesOf(j.Resources)
	for _, v := range victims {
		if v.Lease.Throttled {
			n.out.PreemptJobIds = append(n.out.PreemptJobIds, v.JobId)
		} else {
			n.out.ThrottleJobIds = append(n.out.ThrottleJobIds, v.JobId)
		}
	}
	return true
}

func referencePlan(in PlanInput) *apiv1.PlaceJobs {
	n := &referencePlanner{in: in, out: &apiv1.PlaceJobs{}, placed: map[string]string{}, tried: map[string]bool{}, reserved: map[string]resources{}}
	waits := false
	for prio := 1; prio <= 3; prio++ {
		for j := n.nextJob(prio); j != nil; j = n.nextJob(prio) {
			n.tried[j.JobId] = true
			vm := n.bestVM(j)
			if vm != nil {
				n.placed[j.JobId] = vm.Id
				n.out.Placements = append(n.out.Placements, &apiv1.Placement{JobId: j.JobId, WorkerId: vm.WorkerId, ExpectedEpoch: j.Epoch})
			}
			waits = waits || (prio == 1 && vm == nil)
			if vm != nil || (prio == 1 && n.preemptFor(j)) {
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
func TestPlanMatchesReference(t *testing.T) {
	setRapidChecks(10_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		got := Plan(in)
		want := referencePlan(in)
		if !proto.Equal(got, want) {
			t.Fatalf("plan:\n%v\nwant:\n%v", got, want)
		}
	})
}
