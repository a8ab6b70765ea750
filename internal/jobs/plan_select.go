package jobs

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// bestCandidate returns the best VM by rank with enough free resources for the job,
// or nil if there is none.
func (p *planner) bestCandidate(j *apiv1.Job, need resources) *candidate {
	if slices.ContainsFunc(p.unplaceable[j.Pool], func(m resources) bool { return m.fitsIn(need) }) {
		return nil
	}
	var best *candidate
	var bestRank rank
	for _, c := range p.candidates[j.Pool] {
		p.evaluations++
		if !need.fitsIn(c.free) {
			continue
		}
		r := rankOf(j, need, c)
		if best == nil || r.less(bestRank) {
			best, bestRank = c, r
		}
	}
	if best == nil && len(p.unplaceable[j.Pool]) < maxUnplaceable {
		// Free resources only shrink while a plan is made, so a job that needs as
		// much or more will not fit either.
		p.unplaceable[j.Pool] = append(p.unplaceable[j.Pool], need)
	}
	return best
}

// rank orders the VMs that a job fits on. The least rank is the best; among equal
// ranks the first VM by id is taken.
type rank struct {
	failedBefore bool
	accelerators uint64
	zoneLeases   int
}

// rankOf returns the rank of c for j. It prefers workers on which the job has not
// failed. It then packs accelerators: jobs that need some go where the fewest are
// free, other jobs go where none is free. It then spreads the pool's jobs over
// availability zones.
func rankOf(j *apiv1.Job, need resources, c *candidate) rank {
	accelerators := c.free.accelerators
	if need.accelerators == 0 {
		accelerators = min(accelerators, 1)
	}
	return rank{
		failedBefore: slices.Contains(j.FailedWorkers, c.vm.WorkerId),
		accelerators: accelerators,
		zoneLeases:   *c.zoneLeases,
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

// preemptFor chooses the VM on which the fewest overnight jobs must be preempted
// for the urgent job j. It throttles those of them that run at full speed, stops
// those that are throttled (made to run slower) already, and reserves free resources
// of the VM for j.
func (p *planner) preemptFor(t *teamState, j *apiv1.Job, need resources) {
	if p.preemptions >= maxPreemptingJobs || t.freeSlots == 0 {
		return
	}
	var best *candidate
	var victims []*apiv1.Job
	for _, c := range p.candidates[j.Pool] {
		p.evaluations++
		v, ok := c.victimsFor(need)
		if ok && (best == nil || fewer(v, victims)) {
			best, victims = c, v
		}
	}
	if best == nil {
		return
	}
	p.preemptions++
	// The job counts against its team's limit like a placement. Otherwise jobs
	// could be preempted for a team that has reached its limit and cannot use
	// the resources that these jobs free.
	t.freeSlots--
	best.reserved = true
	best.free = best.free.sub(need)
	for _, v := range victims {
		if v.Lease.Throttled {
			p.out.PreemptJobIds = append(p.out.PreemptJobIds, v.JobId)
		} else {
			p.out.ThrottleJobIds = append(p.out.ThrottleJobIds, v.JobId)
		}
	}
}

// victimsFor returns the jobs that must be preempted on c to free the needed
// resources, and whether that is possible. No job must be preempted if what is free
// and what the stopping jobs will free is enough.
func (c *candidate) victimsFor(need resources) ([]*apiv1.Job, bool) {
	if c.reserved {
		return nil, false
	}
	free := c.free.add(c.stopping)
	var chosen []*apiv1.Job
	slices.SortFunc(c.preemptible, compareVictims)
	for _, v := range c.preemptible {
		if need.fitsIn(free) {
			break
		}
		free = free.add(resourcesOf(v.Resources))
		chosen = append(chosen, v)
	}
	return chosen, need.fitsIn(free)
}

// compareVictims puts throttled jobs first, so that the next plan continues with
// the jobs that an earlier one chose. Jobs that changed last come next, because
// they lose the least work.
func compareVictims(a, b *apiv1.Job) int {
	return cmp.Or(
		cmp.Compare(countFullSpeed(a), countFullSpeed(b)),
		cmp.Compare(b.ChangedUnixMs, a.ChangedUnixMs),
		cmp.Compare(a.JobId, b.JobId),
	)
}

// fewer reports whether a has fewer jobs than b or, with as many jobs, fewer that
// run at full speed.
func fewer(a, b []*apiv1.Job) bool {
	if len(a) != len(b) {
		return len(a) < len(b)
	}
	return countFullSpeed(a...) < countFullSpeed(b...)
}

// countFullSpeed returns how many of the leased jobs are not throttled.
func countFullSpeed(list ...*apiv1.Job) int {
	n := 0
	for _, j := range list {
		if !j.Lease.Throttled {
			n++
		}
	}
	return n
}

// resume ends the throttling of jobs in pools where no urgent job waits for
// resources any more. A plan that reached its limits has not tried every job, so
// it may have missed an urgent job that waits, and resumes none.
func (p *planner) resume() {
	if p.limitReached() {
		return
	}
	for _, j := range p.in.Jobs {
		if j.Lease.GetThrottled() && j.State != apiv1.JobState_JOB_STATE_STOPPING && !p.urgentPools[j.Pool] {
			p.out.ResumeJobIds = append(p.out.ResumeJobIds, j.JobId)
		}
	}
}

// evict stops repeatable jobs that would delay an operation on their VM: jobs with
// more than maxRemainingRunMS of their declared run time left.
func (p *planner) evict() {
	// A VM is leaving while an operation (a drain, a move or a reboot) waits for it
	// to be empty.
	leaving := map[string]bool{}
	for _, vm := range p.in.VMs {
		leaving[vm.Id] = vm.OperationId != ""
	}
	for _, j := range p.in.Jobs {
		if j.Lease == nil || !j.Repeatable || j.State == apiv1.JobState_JOB_STATE_STOPPING || !leaving[j.Lease.Vm] {
			continue
		}
		// A job past its declared run time was declared wrongly, so its remaining
		// time is not known and it is evicted too.
		remainingMS := j.ChangedUnixMs + int64(j.DeclaredRunMs) - p.in.NowMS
		if remainingMS < 0 || remainingMS > maxRemainingRunMS {
			p.out.EvictJobIds = append(p.out.EvictJobIds, j.JobId)
		}
	}
}
