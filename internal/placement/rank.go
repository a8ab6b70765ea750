package placement

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// jobOrder returns the jobs that have tasks to start, in the order in which the
// planning round places them: jobs with long-running tasks first, then by the
// queue's priority (0 is the most urgent). Within a priority, jobs that can
// still meet their latency limit come first, in the order of setTurns.
func (p *planner) jobOrder() []jobRank {
	ranks := make([]jobRank, 0, len(p.in.State.ActiveJobs()))
	for _, j := range p.in.State.ActiveJobs() {
		if next, ok := nextOccurrence(j); ok {
			ranks = append(ranks, p.rankJob(j, next))
		}
	}
	p.setTurns(ranks)
	slices.SortStableFunc(ranks, compareRanks)
	return ranks
}

// jobsOf returns the jobs of ranks, in their order.
func jobsOf(ranks []jobRank) []*batch.Job {
	jobs := make([]*batch.Job, len(ranks))
	for i, r := range ranks {
		jobs[i] = r.job
	}
	return jobs
}

// alternatePools reorders jobs so that the pools take turns, one job each, and
// keeps the order within each pool. When the starts of a round don't suffice for
// all, many small jobs of one pool don't keep the machines of another idle. Pools
// whose next job is late wait until no other pool has one that can be on time.
func (p *planner) alternatePools(ranks []jobRank) []*batch.Job {
	byPool := map[string][]jobRank{}
	var pools []string
	for _, r := range ranks {
		pool := p.in.State.QueueOf(r.job).GetPool()
		if byPool[pool] == nil {
			pools = append(pools, pool)
		}
		byPool[pool] = append(byPool[pool], r)
	}
	out := make([]*batch.Job, 0, len(ranks))
	for class := onTime; len(out) < len(ranks); class++ {
		for added := true; added; {
			added = false
			for _, pool := range pools {
				if next := byPool[pool]; len(next) > 0 && next[0].lateness <= class {
					out, byPool[pool], added = append(out, next[0].job), next[1:], true
				}
			}
		}
	}
	return out
}

// nextOccurrence returns the first occurrence (one repetition of a recurring job) of
// which some step has waiting tasks, and the steps that it depends on are done. It
// doesn't check whether the occurrence is due, and returns false if there is none.
func nextOccurrence(j *batch.Job) (occurrence uint32, ok bool) {
	for k := range j.NumOccurrences() {
		for s := range j.Steps {
			if j.Waiting(k, uint32(s)) > 0 && j.StepReady(k, uint32(s)) {
				return k, true
			}
		}
	}
	return 0, false
}

// jobRank is the sort key of a job in jobOrder.
type jobRank struct {
	job *batch.Job
	// occurrence is the repetition that is next.
	occurrence uint32
	// The job has long-running tasks. They serve users for as long as they run,
	// so every moment without them counts.
	isLongRunning bool
	priority      uint32
	lateness      lateness
	// Some task of the occurrence has been started.
	begun bool
	// The job has no latency limit.
	isUnlimited bool
	// turn and order are the position among jobs that are equal otherwise, lower ones
	// first. turn is set by setTurns.
	turn, order int64
}

// compareRanks orders the job to place first as the lower one. Jobs whose result has no
// value any more come last, whatever their priority. When not all jobs can be on time,
// those that are begun and then done late are wasted, so begun jobs come first. Jobs
// without a latency limit follow those with one, the oldest first, since they would wait
// for as long as newer ones arrive. The choice between jobs doesn't depend on their size.
func compareRanks(a, b jobRank) int {
	return cmp.Or(
		compareBool(!a.isLongRunning, !b.isLongRunning),
		compareBool(a.lateness == worthless, b.lateness == worthless),
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.lateness, b.lateness),
		compareBool(!a.begun, !b.begun),
		compareBool(a.isUnlimited && !a.begun, b.isUnlimited && !b.begun),
		cmp.Compare(a.turn, b.turn),
		cmp.Compare(a.order, b.order),
	)
}

// rankJob computes the rank of a job by one occurrence. Long-running jobs, and those of a
// queue without a latency limit, are always on time.
func (p *planner) rankJob(j *batch.Job, occurrence uint32) jobRank {
	q := p.in.State.QueueOf(j)
	limit := latencyLimitMS(q, j.BatchJob)
	dueMS := j.DueMS(occurrence)
	r := jobRank{
		job: j, occurrence: occurrence, priority: q.GetPriority(), isLongRunning: hasLongRunning(j.BatchJob),
		begun: j.Occurrence(occurrence) != nil,
	}
	r.isUnlimited = r.isLongRunning || limit == 0
	remaining := p.remainingCriticalPathMS(j, occurrence)
	switch {
	case r.isUnlimited:
		r.lateness = onTime
	case p.in.NowUnixMS+remaining <= dueMS+limit:
		r.lateness = onTime
	case p.in.NowUnixMS+remaining <= dueMS+lateFactor*limit:
		r.lateness = late
	default:
		r.lateness = worthless
	}
	switch {
	case r.begun || r.lateness == worthless:
		r.order = dueMS + limit
	case r.isUnlimited:
		r.order = dueMS
	default:
		r.order = -dueMS
	}
	return r
}

// hasLongRunning reports whether any step of the job is long-running: its tasks
// run until the job is canceled.
func hasLongRunning(j *apiv1.BatchJob) bool {
	return slices.ContainsFunc(j.Steps, func(s *apiv1.BatchStep) bool { return s.LongRunning })
}

// criticalPathMS returns the estimated duration of the longest chain of
// dependent steps, in milliseconds.
func criticalPathMS(j *apiv1.BatchJob) int64 {
	return criticalPathWithoutMS(j, func(int) bool { return false })
}

// remainingCriticalPathMS is criticalPathMS without the steps of an occurrence that are
// done.
func (p *planner) remainingCriticalPathMS(j *batch.Job, occurrence uint32) int64 {
	return criticalPathWithoutMS(j.BatchJob, func(step int) bool { return j.Progress(occurrence, uint32(step)).Done == j.Steps[step].Count })
}

// criticalPathWithoutMS returns the critical path in milliseconds, with done
// steps counted as 0. Steps depend only on steps before them in the list.
func criticalPathWithoutMS(j *apiv1.BatchJob, done func(step int) bool) int64 {
	ends := make([]int64, len(j.Steps))
	longest := int64(0)
	for i, step := range j.Steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		if !done(i) {
			ends[i] += int64(step.EstimatedMs)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
