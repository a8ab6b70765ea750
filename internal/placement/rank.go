package placement

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// order sorts the jobs that may have something to start: long-running ones
// first, then by priority, then those that can still meet their objective, by
// what they are worth for the work left, then the others by deadline.
func (p *planner) order() []*batch.Job {
	ranks := make([]rank, 0, len(p.in.State.ActiveJobs()))
	p.measureQueues()
	for _, j := range p.in.State.ActiveJobs() {
		if startable(j) {
			ranks = append(ranks, p.rank(j))
		}
	}
	slices.SortStableFunc(ranks, compareRanks)
	jobs := make([]*batch.Job, len(ranks))
	for i, r := range ranks {
		jobs[i] = r.job
	}
	return jobs
}

// startable tells whether a step has tasks that may start, if its occurrence is
// due.
func startable(j *batch.Job) bool {
	for k := range j.NumOccurrences() {
		for s := range j.Steps {
			if j.Waiting(k, uint32(s)) > 0 && j.StepReady(k, uint32(s)) {
				return true
			}
		}
	}
	return false
}

type rank struct {
	job *batch.Job
	// serving jobs have long-running tasks, whose users wait all the time.
	serving  bool
	priority uint32
	// class is 0 for jobs that can meet their objective, 1 for those that
	// can only be late, 2 for the rest.
	class int
	// gain is what the job is worth for the work it still needs, in
	// thousandths; it orders the jobs of class 0.
	gain     int64
	deadline int64
}

func compareRanks(a, b rank) int {
	if a.serving != b.serving {
		if a.serving {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.class, b.class), cmp.Compare(b.gain, a.gain), cmp.Compare(a.deadline, b.deadline))
}

// lateFactor times the objective is the time after which a result is worth
// nothing more.
const lateFactor = 3

func (p *planner) rank(j *batch.Job) rank {
	q := p.in.State.QueueOf(j)
	chain := longestChainMS(j)
	objective := chain*int64(q.GetStretchMilli())/1000 + int64(q.GetTargetLatencyMs())
	begin := j.DueMS(0)
	r := rank{job: j, priority: q.GetPriority(), deadline: begin + objective, serving: serves(j)}
	left := p.remainingChainMS(j)
	switch {
	case p.in.NowUnixMS+left <= begin+objective:
		r.gain = p.gain(j)
	case p.in.NowUnixMS+left <= begin+lateFactor*objective:
		r.class = 1
	default:
		r.class = 2
	}
	return r
}

// Parts of a job's worth, in thousandths: a fixed one, counted as a part of the
// mean work of its queue, and one that grows with its own work.
const (
	fixedWorth = 300
	workWorth  = 700
)

// gain favours jobs that are nearly done and small ones: when not everything
// can be on time, more of it is.
func (p *planner) gain(j *batch.Job) int64 {
	total, left := workMS(j)
	worth := fixedWorth*p.meanWork[j.Queue] + workWorth*total
	return worth / max(left, 1)
}

// measureQueues computes the mean work of each queue's active jobs.
func (p *planner) measureQueues() {
	count := map[string]int64{}
	p.meanWork = map[string]int64{}
	for _, j := range p.in.State.ActiveJobs() {
		total, _ := workMS(j)
		p.meanWork[j.Queue] += total
		count[j.Queue]++
	}
	for queue, n := range count {
		p.meanWork[queue] /= n
	}
}

// workMS is the estimated work of the job's first occurrence, whole and what is
// left of it, in thousandths of a core times milliseconds.
func workMS(j *batch.Job) (total, left int64) {
	for s, step := range j.Steps {
		each := int64(step.GetResources().GetCpuMillis()) * int64(max(step.EstimatedMs, 1))
		waiting, running := countTasks(j, 0, uint32(s))
		total += int64(step.Count) * each
		left += (waiting + running) * each
	}
	return total, left
}

func serves(j *batch.Job) bool {
	return slices.ContainsFunc(j.Steps, func(s *apiv1.BatchStep) bool { return s.LongRunning })
}

// longestChainMS is the longest chain of estimated work through the steps.
func longestChainMS(j *batch.Job) int64 {
	return chainMS(j, func(int) bool { return false })
}

// remainingChainMS leaves out the steps of the first occurrence that are done.
func (p *planner) remainingChainMS(j *batch.Job) int64 {
	return chainMS(j, func(step int) bool { return j.Progress(0, uint32(step)).Done == j.Steps[step].Count })
}

func chainMS(j *batch.Job, done func(step int) bool) int64 {
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
