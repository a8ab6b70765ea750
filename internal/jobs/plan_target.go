package jobs

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// target returns the best VM with room for the job, nil when there is none.
func (p *planner) target(j *apiv1.Job, need amount) *candidate {
	if slices.ContainsFunc(p.misfits[j.Pool], func(m amount) bool { return m.fits(need) }) {
		return nil
	}
	var best *candidate
	var bestRank rank
	for _, c := range p.byPool[j.Pool] {
		p.evaluations++
		if !need.fits(c.free) {
			continue
		}
		r := rankOf(j, need, c)
		if best == nil || r.less(bestRank) {
			best, bestRank = c, r
		}
	}
	if best == nil && len(p.misfits[j.Pool]) < maxMisfits {
		// Room only shrinks during a round, so larger jobs need not be tried.
		p.misfits[j.Pool] = append(p.misfits[j.Pool], need)
	}
	return best
}

// rank orders the VMs that a job fits on; the least is the best, and the first
// VM by id wins among equals.
type rank struct {
	failedBefore bool
	accelerators uint64
	zoneLeases   int
}

// rankOf prefers workers that have not failed the job, then packs accelerators
// (jobs that need some go where the fewest are free, other jobs go where none
// is free), then spreads over availability zones.
func rankOf(j *apiv1.Job, need amount, c *candidate) rank {
	accelerators := c.free.accelerators
	if need.accelerators == 0 {
		accelerators = min(accelerators, 1)
	}
	return rank{
		failedBefore: slices.Contains(j.FailedWorkers, c.vm.WorkerId),
		accelerators: accelerators,
		zoneLeases:   *c.zone,
	}
}

func (r rank) less(o rank) bool {
	if r.failedBefore != o.failedBefore {
		return o.failedBefore
	}
	if r.accelerators != o.accelerators {
		return r.accelerators < o.accelerators
	}
	return r.zoneLeases < o.zoneLeases
}

// takeRoom chooses the VM on which the fewest overnight jobs must give way to
// the urgent job j, and throttles those that run at full speed or stops those
// that are throttled. What is free there is kept for j.
func (p *planner) takeRoom(t *teamState, j *apiv1.Job, need amount) {
	if p.preempting >= maxPreemptingJobs || t.slots == 0 {
		return
	}
	var best *candidate
	var victims []*apiv1.Job
	for _, c := range p.byPool[j.Pool] {
		p.evaluations++
		v, ok := c.givingWay(need)
		if ok && (best == nil || fewer(v, victims)) {
			best, victims = c, v
		}
	}
	if best == nil {
		return
	}
	p.preempting++
	// The job counts against its team's slots like a placement, so that a team
	// at its limit takes no room that it cannot use.
	t.slots--
	best.claimed = true
	best.free = best.free.minus(need)
	for _, v := range victims {
		if v.Lease.Throttled {
			p.out.PreemptJobIds = append(p.out.PreemptJobIds, v.JobId)
		} else {
			p.out.ThrottleJobIds = append(p.out.ThrottleJobIds, v.JobId)
		}
	}
}

// givingWay returns the jobs that must leave c to make room. None are needed
// when stopping jobs free enough.
func (c *candidate) givingWay(need amount) ([]*apiv1.Job, bool) {
	if c.claimed {
		return nil, false
	}
	room := c.free.plus(c.stopping)
	var chosen []*apiv1.Job
	slices.SortFunc(c.victims, victimOrder)
	for _, v := range c.victims {
		if need.fits(room) {
			break
		}
		room = room.plus(amountOf(v.Resources))
		chosen = append(chosen, v)
	}
	return chosen, need.fits(room)
}

// victimOrder puts throttled jobs first, so that the next round goes on with the
// same jobs, then those that changed last, which lose the least work.
func victimOrder(a, b *apiv1.Job) int {
	return cmp.Or(
		cmp.Compare(fullSpeed(a), fullSpeed(b)),
		cmp.Compare(b.ChangedUnixMs, a.ChangedUnixMs),
		cmp.Compare(a.JobId, b.JobId),
	)
}

// fewer compares by number, then by how many still run at full speed.
func fewer(a, b []*apiv1.Job) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return fullSpeed(a...) < fullSpeed(b...)
}

func fullSpeed(list ...*apiv1.Job) int {
	n := 0
	for _, j := range list {
		if !j.Lease.Throttled {
			n++
		}
	}
	return n
}

// resume ends the throttling in pools where no urgent job waits for room any
// more. A round that ended early does not know that.
func (p *planner) resume() {
	if p.spent() {
		return
	}
	for _, j := range p.in.Jobs {
		if j.Lease.GetThrottled() && j.State != apiv1.JobState_JOB_STATE_STOPPING && !p.urgent[j.Pool] {
			p.out.ResumeJobIds = append(p.out.ResumeJobIds, j.JobId)
		}
	}
}

// evict stops repeatable jobs that would hold up an operation on their VM.
func (p *planner) evict() {
	leaving := map[string]bool{}
	for _, vm := range p.in.VMs {
		leaving[vm.Id] = vm.OperationId != ""
	}
	for _, j := range p.in.Jobs {
		if j.Lease == nil || !j.Repeatable || j.State == apiv1.JobState_JOB_STATE_STOPPING || !leaving[j.Lease.Vm] {
			continue
		}
		// A job past its declared time has a wrong declaration.
		left := j.ChangedUnixMs + int64(j.DeclaredRunMs) - p.in.NowMS
		if left < 0 || left > evictAfterMS {
			p.out.EvictJobIds = append(p.out.EvictJobIds, j.JobId)
		}
	}
}
