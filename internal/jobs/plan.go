package jobs

import (
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// defaultMaxPlacements bounds one round's command in the log.
	defaultMaxPlacements = 512
	// maxEvaluations bounds the VMs looked at in one round, about 50 ms.
	maxEvaluations = 8_000_000
	// maxPreemptingJobs bounds the urgent jobs per round that take room from
	// overnight ones.
	maxPreemptingJobs = 16
	// evictAfterMS is the time that a job on a leaving VM may still need; a job
	// that needs longer continues elsewhere from its checkpoint.
	evictAfterMS = 30_000
	// maxMisfits bounds the sizes remembered as not fitting, per pool.
	maxMisfits = 32
)

// PlanInput is the state that a plan is made for. Plan changes none of it.
type PlanInput struct {
	// NowMS is the log time.
	NowMS int64
	// Jobs in the order of submission; ended ones are passed over.
	Jobs []*apiv1.Job
	// VMs sorted by id.
	VMs   []*apiv1.Vm
	Index *objects.Index
	// FreeSlots is how many more jobs each team may start; none when absent.
	FreeSlots map[string]uint32
	// MaxPlacements bounds the placements of the round, 0 for the default.
	MaxPlacements int
}

// candidate is a VM that may take jobs, with what is free on it.
type candidate struct {
	vm   *apiv1.Vm
	free amount
	// zone counts the leases of the pool in the VM's availability zone.
	zone *int
	// stopping is held by jobs that were asked to stop.
	stopping amount
	// claimed is true when an urgent job waits for room on this VM.
	claimed bool
	victims []*apiv1.Job
}

type poolZone struct{ pool, zone string }

type planner struct {
	in      PlanInput
	byPool  map[string][]*candidate
	zones   map[poolZone]*int
	teams   map[string]*teamState
	misfits map[string][]amount
	// urgent holds the pools in which an urgent job waits for room.
	urgent      map[string]bool
	evaluations int
	preempting  int
	out         *apiv1.PlaceJobs
}

type teamState struct {
	name            string
	running, weight uint64
	slots           uint32
	queue           []*apiv1.Job
}

// Plan chooses workers for pending jobs: urgent jobs first, within a priority
// the team with the least running relative to its weight, within a team the
// order of submission. A job that fits nowhere does not hold up later ones. An
// urgent job that fits nowhere takes room from overnight jobs.
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

func newPlanner(in PlanInput) *planner {
	p := &planner{
		in:      in,
		byPool:  map[string][]*candidate{},
		zones:   map[poolZone]*int{},
		teams:   map[string]*teamState{},
		misfits: map[string][]amount{},
		urgent:  map[string]bool{},
		out:     &apiv1.PlaceJobs{},
	}
	byID := make(map[string]*candidate, len(in.VMs))
	for _, vm := range in.VMs {
		c := &candidate{vm: vm, free: amountOf(vm.Capacity), zone: p.zone(poolZone{vm.Pool, vm.AvailabilityZone})}
		byID[vm.Id] = c
		if fleet.Placeable(vm, in.Index) {
			p.byPool[vm.Pool] = append(p.byPool[vm.Pool], c)
		}
	}
	for _, j := range in.Jobs {
		if j.Lease != nil {
			p.countLease(j, byID[j.Lease.Vm])
		}
	}
	return p
}

func (p *planner) countLease(j *apiv1.Job, c *candidate) {
	p.team(j.Team).running++
	if c == nil {
		return
	}
	*p.zone(poolZone{j.Pool, c.vm.AvailabilityZone})++
	c.free = c.free.minus(amountOf(j.Resources))
	switch {
	case j.State == apiv1.JobState_JOB_STATE_STOPPING:
		c.stopping = c.stopping.plus(amountOf(j.Resources))
	case j.Priority == apiv1.Priority_PRIORITY_OVERNIGHT && j.Repeatable:
		c.victims = append(c.victims, j)
	}
}

// zone returns the counter of leases per pool and availability zone.
func (p *planner) zone(key poolZone) *int {
	n, ok := p.zones[key]
	if !ok {
		n = new(int)
		p.zones[key] = n
	}
	return n
}

func (p *planner) team(name string) *teamState {
	t, ok := p.teams[name]
	if !ok {
		// A team that was removed from the configuration has the least weight.
		weight := uint64(max(p.in.Index.Teams[name].GetWeight(), 1))
		t = &teamState{name: name, weight: weight, slots: p.in.FreeSlots[name]}
		p.teams[name] = t
	}
	return t
}

// planPriority serves the queues of one priority, team by team.
func (p *planner) planPriority(prio apiv1.Priority) {
	waiting := p.queues(prio)
	for len(waiting) > 0 && !p.spent() {
		i := leastRunning(waiting)
		t := waiting[i]
		j := t.queue[0]
		t.queue = t.queue[1:]
		p.planJob(t, j)
		if len(t.queue) == 0 || t.slots == 0 {
			waiting = slices.Delete(waiting, i, i+1)
		}
	}
}

// queues fills the teams' queues and returns the teams that may start a job,
// sorted by name.
func (p *planner) queues(prio apiv1.Priority) []*teamState {
	var waiting []*teamState
	for _, t := range p.teams {
		t.queue = nil
	}
	for _, j := range p.in.Jobs {
		if j.State != apiv1.JobState_JOB_STATE_PENDING || j.Priority != prio {
			continue
		}
		t := p.team(j.Team)
		if t.slots == 0 {
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

// leastRunning returns the index of the team with the least running relative to
// its weight, the first of equal ones.
func leastRunning(teams []*teamState) int {
	best := 0
	for i, t := range teams {
		if t.running*teams[best].weight < teams[best].running*t.weight {
			best = i
		}
	}
	return best
}

func (p *planner) spent() bool {
	return len(p.out.Placements) >= p.in.MaxPlacements || p.evaluations >= maxEvaluations
}

func (p *planner) planJob(t *teamState, j *apiv1.Job) {
	need := amountOf(j.Resources)
	c := p.target(j, need)
	if c == nil {
		if j.Priority == apiv1.Priority_PRIORITY_URGENT {
			p.urgent[j.Pool] = true
			p.takeRoom(t, j, need)
		}
		return
	}
	c.free = c.free.minus(need)
	*c.zone++
	t.running++
	t.slots--
	p.out.Placements = append(p.out.Placements, &apiv1.Placement{
		JobId: j.JobId, WorkerId: c.vm.WorkerId, ExpectedEpoch: j.Epoch,
	})
}
