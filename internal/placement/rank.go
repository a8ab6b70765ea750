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
// still meet their latency limit come first, by value per remaining work, then
// the others by deadline.
func (p *planner) jobOrder() []*batch.Job {
	ranks := make([]jobRank, 0, len(p.in.State.ActiveJobs()))
	p.computeMeanWork()
	for _, j := range p.in.State.ActiveJobs() {
		if hasStartableTasks(j) {
			ranks = append(ranks, p.rankJob(j))
		}
	}
	slices.SortStableFunc(ranks, compareRanks)
	jobs := make([]*batch.Job, len(ranks))
	for i, r := range ranks {
		jobs[i] = r.job
	}
	return jobs
}

// alternatePools reorders jobs so that the pools take turns, one job each, and
// keeps the order within each pool. When the starts of a round don't suffice for
// all, many small jobs of one pool don't keep the machines of another idle.
func (p *planner) alternatePools(jobs []*batch.Job) []*batch.Job {
	byPool := map[string][]*batch.Job{}
	var pools []string
	for _, j := range jobs {
		pool := p.in.State.QueueOf(j).GetPool()
		if byPool[pool] == nil {
			pools = append(pools, pool)
		}
		byPool[pool] = append(byPool[pool], j)
	}
	out := make([]*batch.Job, 0, len(jobs))
	for i := 0; len(out) < len(jobs); i++ {
		for _, pool := range pools {
			if i < len(byPool[pool]) {
				out = append(out, byPool[pool][i])
			}
		}
	}
	return out
}

// hasStartableTasks reports whether some step of the job has waiting tasks, and
// the steps that it depends on are done. It doesn't check whether the occurrence
// (one repetition of a recurring job) is due.
func hasStartableTasks(j *batch.Job) bool {
	for k := range j.NumOccurrences() {
		for s := range j.Steps {
			if j.Waiting(k, uint32(s)) > 0 && j.StepReady(k, uint32(s)) {
				return true
			}
		}
	}
	return false
}

// jobRank is the sort key of a job in jobOrder.
type jobRank struct {
	job *batch.Job
	// The job has long-running tasks. They serve users for as long as they run,
	// so every moment without them counts.
	isLongRunning bool
	priority      uint32
	lateness      lateness
	// The job's value divided by its remaining work, in thousandths. Only set
	// for jobs that can be on time.
	valuePerWork int64
	// The time in Unix milliseconds at which the latency limit ends.
	deadline int64
}

// compareRanks orders the job to place first as the lower one.
func compareRanks(a, b jobRank) int {
	if a.isLongRunning != b.isLongRunning {
		if a.isLongRunning {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.lateness, b.lateness), cmp.Compare(b.valuePerWork, a.valuePerWork), cmp.Compare(a.deadline, b.deadline))
}

// rankJob computes the rank of a job by its first occurrence.
func (p *planner) rankJob(j *batch.Job) jobRank {
	q := p.in.State.QueueOf(j)
	limit := latencyLimitMS(q, j)
	dueMS := j.DueMS(0)
	r := jobRank{job: j, priority: q.GetPriority(), deadline: dueMS + limit, isLongRunning: hasLongRunning(j)}
	remaining := p.remainingCriticalPathMS(j)
	switch {
	case p.in.NowUnixMS+remaining <= dueMS+limit:
		r.lateness, r.valuePerWork = onTime, p.valuePerWork(j)
	case p.in.NowUnixMS+remaining <= dueMS+lateFactor*limit:
		r.lateness = late
	default:
		r.lateness = worthless
	}
	return r
}

// A job's value is the sum of these parts, in thousandths: fixedValue of the
// mean work of the jobs in its queue, whatever its size, and workValue of its
// own work.
const (
	fixedValue = 300
	workValue  = 700
)

// valuePerWork returns the value of a job divided by its remaining work, in
// thousandths. It is higher for jobs that are nearly done and for small ones:
// when not all jobs can be on time, this order gets more of them done on time.
func (p *planner) valuePerWork(j *batch.Job) int64 {
	total, remaining := estimatedWork(j)
	value := fixedValue*p.meanWork[j.Queue] + workValue*total
	return value / max(remaining, 1)
}

// computeMeanWork sets p.meanWork to the mean work of each queue's active jobs.
func (p *planner) computeMeanWork() {
	count := map[string]int64{}
	p.meanWork = map[string]int64{}
	for _, j := range p.in.State.ActiveJobs() {
		total, _ := estimatedWork(j)
		p.meanWork[j.Queue] += total
		count[j.Queue]++
	}
	for queue, n := range count {
		p.meanWork[queue] /= n
	}
}

// estimatedWork returns the estimated work of the job's first occurrence, in
// total and of the tasks that are not done, in thousandths of a core times
// milliseconds.
func estimatedWork(j *batch.Job) (total, remaining int64) {
	for s, step := range j.Steps {
		perTask := int64(step.GetResources().GetCpuMillis()) * int64(max(step.EstimatedMs, 1))
		waiting, running := countTasks(j, 0, uint32(s))
		total += int64(step.Count) * perTask
		remaining += (waiting + running) * perTask
	}
	return total, remaining
}

// hasLongRunning reports whether any step of the job is long-running: its tasks
// run until the job is canceled.
func hasLongRunning(j *batch.Job) bool {
	return slices.ContainsFunc(j.Steps, func(s *apiv1.BatchStep) bool { return s.LongRunning })
}

// criticalPathMS returns the estimated duration of the longest chain of
// dependent steps, in milliseconds.
func criticalPathMS(j *batch.Job) int64 {
	return criticalPathWithoutMS(j, func(int) bool { return false })
}

// remainingCriticalPathMS is criticalPathMS without the steps of the first
// occurrence that are done.
func (p *planner) remainingCriticalPathMS(j *batch.Job) int64 {
	return criticalPathWithoutMS(j, func(step int) bool { return j.Progress(0, uint32(step)).Done == j.Steps[step].Count })
}

// criticalPathWithoutMS returns the critical path in milliseconds, with done
// steps counted as 0. Steps depend only on steps before them in the list.
func criticalPathWithoutMS(j *batch.Job, done func(step int) bool) int64 {
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
