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

// drawResources draws up to most of CPU and memory, and up to half of it in
// accelerators.
func drawResources(t *rapid.T, label string, most uint32) *apiv1.Resources {
	n := rapid.Uint32Range(0, most)
	return &apiv1.Resources{CpuMillis: n.Draw(t, label+" cpu"), MemoryMb: n.Draw(t, label+" memory"), Accelerators: n.Draw(t, label+" accelerators") / 2}
}

// drawInput returns VMs of two pools in three zones, of which z2 is out of service,
// with pending and leased jobs. The leases may exceed the capacity of their VM, as
// happens when a VM announces less capacity than before.
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

// referencePlanner is the reference implementation of Plan, which chooses workers
// for pending jobs. At each step it computes everything anew from its input and the
// plan so far.
type referencePlanner struct {
	in       PlanInput
	out      *apiv1.PlaceJobs
	placed   map[string]string    // VM id by job id
	tried    map[string]bool      // by job id
	reserved map[string]resources // for urgent jobs that wait, by VM id
}

// vmOf returns the VM on which j is placed or leased, or "" if there is none.
func (p *referencePlanner) vmOf(j *apiv1.Job) string {
	return cmp.Or(p.placed[j.JobId], j.GetLease().GetVm())
}

// free returns the free resources of vm. If stopping is true it includes those
// that jobs asked to stop will free.
func (p *referencePlanner) free(vm *apiv1.Vm, stopping bool) resources {
	r, later := resourcesOf(vm.Capacity), resources{}
	for _, j := range p.in.Jobs {
		if p.vmOf(j) == vm.Id {
			r = r.sub(resourcesOf(j.Resources))
			if stopping && j.State == apiv1.JobState_JOB_STATE_STOPPING {
				later = later.add(resourcesOf(j.Resources))
			}
		}
	}
	return r.sub(p.reserved[vm.Id]).add(later)
}

// usable reports whether jobs may start on vm. All jobs are for pool p0.
func (p *referencePlanner) usable(vm *apiv1.Vm) bool {
	return vm.Pool == "p0" && !vm.Down && vm.OperationId == "" && vm.AvailabilityZone != "z2"
}

// share returns the number of the team's leased and placed jobs relative to its
// weight.
func (p *referencePlanner) share(team string) float64 {
	running := 0.0
	for _, j := range p.in.Jobs {
		if j.Team == team && p.vmOf(j) != "" {
			running++
		}
	}
	return running / float64(p.in.Index.Teams[team].Weight)
}

// nextJob returns the pending job to be tried next: the first by share of its
// team, then team name, then order of submission.
func (p *referencePlanner) nextJob(prio int) *apiv1.Job {
	due := slices.DeleteFunc(slices.Clone(p.in.Jobs), func(j *apiv1.Job) bool {
		return j.State != apiv1.JobState_JOB_STATE_PENDING || int(j.Priority) != prio || p.tried[j.JobId] || p.in.FreeSlots[j.Team] == 0
	})
	return firstMin(due, func(a, b *apiv1.Job) int {
		return cmp.Or(cmp.Compare(p.share(a.Team), p.share(b.Team)), cmp.Compare(a.Team, b.Team))
	})
}

// firstMin returns the first of the least elements, or nil if list is empty.
func firstMin[T any](list []*T, order func(a, b *T) int) *T {
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, order)
}

// rankKey returns the key by which VMs are ordered for j: first whether the job
// has failed on the VM's worker, then free accelerators, then leases in the zone.
func (p *referencePlanner) rankKey(j *apiv1.Job, vm *apiv1.Vm) []int {
	k := []int{0, int(p.free(vm, false).accelerators), 0}
	if slices.Contains(j.FailedWorkers, vm.WorkerId) {
		k[0] = 1
	}
	if j.Resources.Accelerators == 0 && k[1] > 0 {
		k[1] = 1
	}
	for _, o := range p.in.Jobs {
		for _, v := range p.in.VMs {
			if p.vmOf(o) == v.Id && v.AvailabilityZone == vm.AvailabilityZone {
				k[2]++
			}
		}
	}
	return k
}

// bestVM returns the first VM by rankKey on which j fits, or nil.
func (p *referencePlanner) bestVM(j *apiv1.Job) *apiv1.Vm {
	fit := slices.DeleteFunc(slices.Clone(p.in.VMs), func(vm *apiv1.Vm) bool {
		return !p.usable(vm) || !resourcesOf(j.Resources).fitsIn(p.free(vm, false))
	})
	return firstMin(fit, func(a, b *apiv1.Vm) int { return slices.Compare(p.rankKey(j, a), p.rankKey(j, b)) })
}

// victims returns the jobs to preempt on vm so that j fits, and whether it then
// fits. Throttled jobs are taken first, then those that changed last.
func (p *referencePlanner) victims(j *apiv1.Job, vm *apiv1.Vm) (chosen []*apiv1.Job, ok bool) {
	list := slices.DeleteFunc(slices.Clone(p.in.Jobs), func(o *apiv1.Job) bool {
		return o.GetLease().GetVm() != vm.Id || !o.Repeatable || o.Priority != 3 || o.State != apiv1.JobState_JOB_STATE_RUNNING
	})
	slices.SortStableFunc(list, func(a, b *apiv1.Job) int { return int(b.ChangedUnixMs - a.ChangedUnixMs) })
	slices.SortStableFunc(list, func(a, b *apiv1.Job) int { return countFullSpeed(a) - countFullSpeed(b) })
	free := p.free(vm, true)
	for len(list) > 0 && !resourcesOf(j.Resources).fitsIn(free) {
		free = free.add(resourcesOf(list[0].Resources))
		chosen, list = append(chosen, list[0]), list[1:]
	}
	return chosen, resourcesOf(j.Resources).fitsIn(free)
}

// preemptFor prepares room for j, which does not start in this plan, on the VM with
// the fewest victims, among equals the one with the fewest at full speed. Victims at
// full speed are only throttled (slowed down); those that an earlier plan throttled
// are preempted, which frees their resources. For the rest of this plan the VM's
// resources that j needs are reserved. It reports whether there is such a VM.
func (p *referencePlanner) preemptFor(j *apiv1.Job) bool {
	var best *apiv1.Vm
	var victims []*apiv1.Job
	for _, vm := range p.in.VMs {
		_, reserved := p.reserved[vm.Id]
		v, ok := p.victims(j, vm)
		order := cmp.Or(cmp.Compare(len(v), len(victims)), cmp.Compare(countFullSpeed(v...), countFullSpeed(victims...)))
		if ok && !reserved && p.usable(vm) && (best == nil || order < 0) {
			best, victims = vm, v
		}
	}
	if best == nil {
		return false
	}
	p.reserved[best.Id] = resourcesOf(j.Resources)
	for _, v := range victims {
		if v.Lease.Throttled {
			p.out.PreemptJobIds = append(p.out.PreemptJobIds, v.JobId)
		} else {
			p.out.ThrottleJobIds = append(p.out.ThrottleJobIds, v.JobId)
		}
	}
	return true
}

// referencePlan returns the plan that Plan must make for in. It decrements
// in.FreeSlots.
func referencePlan(in PlanInput) *apiv1.PlaceJobs {
	p := &referencePlanner{in: in, out: &apiv1.PlaceJobs{}, placed: map[string]string{}, tried: map[string]bool{}, reserved: map[string]resources{}}
	waits := false
	for prio := 1; prio <= 3; prio++ {
		for j := p.nextJob(prio); j != nil; j = p.nextJob(prio) {
			p.tried[j.JobId] = true
			vm := p.bestVM(j)
			if vm != nil {
				p.placed[j.JobId] = vm.Id
				p.out.Placements = append(p.out.Placements, &apiv1.Placement{JobId: j.JobId, WorkerId: vm.WorkerId, ExpectedEpoch: j.Epoch})
			}
			waits = waits || (prio == 1 && vm == nil)
			if vm != nil || (prio == 1 && p.preemptFor(j)) {
				in.FreeSlots[j.Team]--
			}
		}
	}
	for _, j := range in.Jobs {
		if j.Lease == nil || j.State == apiv1.JobState_JOB_STATE_STOPPING {
			continue
		}
		if j.Lease.Throttled && !waits {
			p.out.ResumeJobIds = append(p.out.ResumeJobIds, j.JobId)
		}
		// Jobs on a leaving VM, where an operation waits until no work is left, are
		// evicted if their declared end is before NowMS, which drawInput sets to 10,
		// or more than 30,000 ms after NowMS.
		for _, vm := range in.VMs {
			if end := j.ChangedUnixMs + int64(j.DeclaredRunMs); vm.Id == j.Lease.Vm && vm.OperationId != "" && j.Repeatable && (end < 10 || end > 30_010) {
				p.out.EvictJobIds = append(p.out.EvictJobIds, j.JobId)
			}
		}
	}
	return p.out
}

// Guards against a planner that departs from its rules because of its shortcuts:
// the remembered unplaceable resources, and the counters per VM, zone and team.
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
