package jobs

import (
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// defaultMaxPlacements limits the size of the command that one call of Plan
	// writes to the log.
	defaultMaxPlacements = 512
	// maxEvaluations limits how often one call of Plan checks a job against a VM.
	// That many checks take about 50 ms.
	maxEvaluations = 8_000_000
	// maxPreemptingJobs limits the urgent jobs for which one call of Plan preempts
	// overnight jobs.
	maxPreemptingJobs = 16
	// maxRemainingRunMS is the longest remaining run time, in milliseconds, with
	// which a job runs to its end on a leaving VM, where an operation (a drain, a
	// move or a reboot) waits until no work is left. A job that needs longer is
	// evicted and continues elsewhere from its checkpoint.
	maxRemainingRunMS = 30_000
	// maxUnplaceable limits the entries per pool of planner.unplaceable.
	maxUnplaceable = 32
)

// PlanInput is the state for which Plan makes a plan. Plan does not modify it.
type PlanInput struct {
	// NowMS is the log time, the largest proposal time of a command so far, in Unix
	// milliseconds.
	NowMS int64
	// Jobs is in the order of submission. Ended jobs in it have no effect.
	Jobs []*apiv1.Job
	// VMs is sorted by id.
	VMs []*apiv1.Vm
	// Index holds the newest published configuration.
	Index *objects.Index
	// FreeSlots is how many more jobs each team may start within its limit. A team
	// that is absent may start none.
	FreeSlots map[string]uint32
	// MaxPlacements limits the placements of the plan. 0 or less stands for
	// defaultMaxPlacements.
	MaxPlacements int
}

// candidate is a VM with its leases, each a worker's right to run one job there, and
// its free resources.
type candidate struct {
	vm *apiv1.Vm
	// free is the capacity less what leases, placements of this plan and
	// reservations for urgent jobs take.
	free resources
	// zoneLeases counts the leases and placements of the VM's pool in its
	// availability zone. All candidates of that pool and zone share it.
	zoneLeases *int
	// stopping is the sum of the resources of leased jobs that were asked to stop.
	stopping resources
	// reserved is true if free resources of the VM are reserved for an urgent job
	// that waits for others to stop there.
	reserved bool
	// preemptible holds the leased jobs that may be throttled and preempted.
	preemptible []*apiv1.Job
}

// poolZone identifies the part of a pool in one availability zone.
type poolZone struct{ pool, zone string }

// planner holds the working state of one call of Plan.
type planner struct {
	in PlanInput
	// candidates holds the VMs of each pool on which jobs may start, sorted by id.
	candidates map[string][]*candidate
	// zoneLeases counts leases and placements.
	zoneLeases map[poolZone]*int
	teams      map[string]*teamState
	// unplaceable holds, per pool, resources that were found to fit on no
	// candidate.
	unplaceable map[string][]resources
	// urgentPools holds the pools in which an urgent job did not fit anywhere.
	urgentPools map[string]bool
	// evaluations counts the checks of a job against a VM.
	evaluations int
	// preemptions counts the urgent jobs for which others are preempted.
	preemptions int
	out         *apiv1.PlaceJobs
}

// teamState holds what the planner tracks of one team.
type teamState struct {
	name string
	// running counts leased jobs and this plan's placements.
	running, weight uint64
	// freeSlots is how many more jobs the team may start within its limit.
	freeSlots uint32
	// queue holds pending jobs of the priority being planned that have not been
	// tried yet, in the order of submission.
	queue []*apiv1.Job
}

// Plan chooses workers for pending jobs. Urgent jobs come first, then normal and
// overnight ones; within a priority, the team with the fewest running jobs
// relative to its weight; within a team, the order of submission. A job that fits
// on no VM does not hold up later ones. For an urgent job that fits on no VM,
// overnight jobs are throttled (told to run slower) and, by a later plan, preempted
// (told to save a checkpoint and stop).
//
// The plan also resumes throttled jobs that no longer need to be slow, and evicts
// jobs from leaving VMs. The plan takes effect by State.Place.
func Plan(in PlanInput) *apiv1.PlaceJobs {
	if in.MaxPlacements <= 0 {
		in.MaxPlacements = defaultMaxPlacements
	}
	p := newPlanner(in)
	for _, prio := range []apiv1.Priority{
		apiv1.Priority_PRIORITY_URGENT, apiv1.Priority_PRIORITY_NORMAL, apiv1.Priority_PRIORITY_OVERNIGHT,
	} {
		p.planPriority(prio)
	}
	p.resume()
	p.evict()
	return p.out
}

// newPlanner returns a planner with the current leases counted.
func newPlanner(in PlanInput) *planner {
	p := &planner{
		in:          in,
		candidates:  map[string][]*candidate{},
		zoneLeases:  map[poolZone]*int{},
		teams:       map[string]*teamState{},
		unplaceable: map[string][]resources{},
		urgentPools: map[string]bool{},
		out:         &apiv1.PlaceJobs{},
	}
	byID := make(map[string]*candidate, len(in.VMs))
	for _, vm := range in.VMs {
		c := &candidate{vm: vm, free: resourcesOf(vm.Capacity), zoneLeases: p.zoneCounter(poolZone{vm.Pool, vm.AvailabilityZone})}
		byID[vm.Id] = c
		if fleet.Placeable(vm, in.Index) {
			p.candidates[vm.Pool] = append(p.candidates[vm.Pool], c)
		}
	}
	for _, j := range in.Jobs {
		if j.Lease != nil {
			p.countLease(j, byID[j.Lease.Vm])
		}
	}
	return p
}

// countLease counts the lease of j for its team, and for its VM and zone unless
// c is nil, which means that the VM is not known.
func (p *planner) countLease(j *apiv1.Job, c *candidate) {
	p.team(j.Team).running++
	if c == nil {
		return
	}
	*p.zoneCounter(poolZone{j.Pool, c.vm.AvailabilityZone})++
	c.free = c.free.sub(resourcesOf(j.Resources))
	switch {
	case j.State == apiv1.JobState_JOB_STATE_STOPPING:
		c.stopping = c.stopping.add(resourcesOf(j.Resources))
	case j.Priority == apiv1.Priority_PRIORITY_OVERNIGHT && j.Repeatable:
		c.preemptible = append(c.preemptible, j)
	}
}

// zoneCounter returns the counter of leases in a part of a pool.
func (p *planner) zoneCounter(key poolZone) *int {
	n, ok := p.zoneLeases[key]
	if !ok {
		n = new(int)
		p.zoneLeases[key] = n
	}
	return n
}

// team returns the state of the team, which it adds at the first call.
func (p *planner) team(name string) *teamState {
	t, ok := p.teams[name]
	if !ok {
		// A team that was removed from the configuration has the least weight.
		weight := uint64(max(p.in.Index.Teams[name].GetWeight(), 1))
		t = &teamState{name: name, weight: weight, freeSlots: p.in.FreeSlots[name]}
		p.teams[name] = t
	}
	return t
}

// planPriority plans the pending jobs of one priority. Each step takes the next
// job of the team with the lowest share, its running jobs relative to its weight.
func (p *planner) planPriority(prio apiv1.Priority) {
	waiting := p.fillQueues(prio)
	for len(waiting) > 0 && !p.limitReached() {
		i := lowestShare(waiting)
		t := waiting[i]
		j := t.queue[0]
		t.queue = t.queue[1:]
		p.planJob(t, j)
		if len(t.queue) == 0 || t.freeSlots == 0 {
			waiting = slices.Delete(waiting, i, i+1)
		}
	}
}

// fillQueues fills the teams' queues with the pending jobs of the priority. It
// returns the teams that have such jobs and may start more, sorted by name.
func (p *planner) fillQueues(prio apiv1.Priority) []*teamState {
	var waiting []*teamState
	for _, t := range p.teams {
		t.queue = nil
	}
	for _, j := range p.in.Jobs {
		if j.State != apiv1.JobState_JOB_STATE_PENDING || j.Priority != prio {
			continue
		}
		t := p.team(j.Team)
		if t.freeSlots == 0 {
			continue
		}
		if len(t.queue) == 0 {
			waiting = append(waiting, t)
		}
		t.queue = append(t.queue, j)
	}
	slices.SortFunc(waiting, func(a, b *teamState) int { return strings.Compare(a.name, b.name) })
	return waiting
}

// lowestShare returns the index of the team with the fewest running jobs relative
// to its weight, and the lowest such index among equals.
func lowestShare(teams []*teamState) int {
	best := 0
	for i, t := range teams {
		if t.running*teams[best].weight < teams[best].running*t.weight {
			best = i
		}
	}
	return best
}

// limitReached reports whether the plan has reached its limit of placements or
// evaluations.
func (p *planner) limitReached() bool {
	return len(p.out.Placements) >= p.in.MaxPlacements || p.evaluations >= maxEvaluations
}

// planJob places j on the best candidate. If j fits on none and is urgent, other
// jobs are preempted for it.
func (p *planner) planJob(t *teamState, j *apiv1.Job) {
	need := resourcesOf(j.Resources)
	c := p.bestCandidate(j, need)
	if c == nil {
		if j.Priority == apiv1.Priority_PRIORITY_URGENT {
			p.urgentPools[j.Pool] = true
			p.preemptFor(t, j, need)
		}
		return
	}
	c.free = c.free.sub(need)
	*c.zoneLeases++
	t.running++
	t.freeSlots--
	p.out.Placements = append(p.out.Placements, &apiv1.Placement{
		JobId: j.JobId, WorkerId: c.vm.WorkerId, ExpectedEpoch: j.Epoch,
	})
}
