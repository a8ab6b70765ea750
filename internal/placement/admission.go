package placement

import (
	"maps"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Admission decides whether a new job is accepted while the leader can't start all
// tasks that it is asked to start. A job that can't be started in time is refused at
// once: it would only hold up others, or be done when its result has no value.
type Admission struct {
	// Waiting is the number of tasks that wait for their start, by pool (see
	// WaitingTasks).
	Waiting map[string]int64
	// StartsPerSecond is how many tasks the leader can start.
	StartsPerSecond float64
	// returning holds, by pool, the tasks of refused jobs whose callers are yet to come
	// back.
	returning map[string]returningTasks
}

// returningTasks is a number of tasks at some time. It falls as the pool's tasks are
// started, since callers are asked to come back at that rate.
type returningTasks struct {
	tasks float64
	at    time.Duration
}

// WaitingTasks returns the number of tasks that wait for their start, by pool, the
// later steps of jobs included. Jobs that are late count too, since they are accepted;
// those that are always admitted don't.
func WaitingTasks(st *batch.State) map[string]int64 {
	out := map[string]int64{}
	for _, j := range st.ActiveJobs() {
		q := st.QueueOf(j)
		if IsAlwaysAdmitted(q, j.BatchJob) {
			continue
		}
		for s := range j.Steps {
			out[q.GetPool()] += int64(j.Waiting(0, uint32(s)))
		}
	}
	return out
}

// IsAlwaysAdmitted reports whether a job of the queue is accepted whatever waits: it
// starts before others, later, or has no latency limit that it could keep.
func IsAlwaysAdmitted(q *apiv1.BatchQueue, j *apiv1.BatchJob) bool {
	return j.Repetitions > 0 || hasLongRunning(j) || latencyLimitMS(q, j) <= criticalPathMS(j)
}

// Decide returns zero when a job for the queue can be started in time at now. Else it
// returns after how long the caller may come back: when the pool's tasks that are too
// many have been started, and those of the callers that were refused before. When the
// leader can't start the tasks of all pools, the pools share its starts.
func (a *Admission) Decide(now time.Duration, q *apiv1.BatchQueue, j *apiv1.BatchJob) time.Duration {
	if IsAlwaysAdmitted(q, j) {
		return 0
	}
	slackMS := latencyLimitMS(q, j) - criticalPathMS(j)
	startable := int64(a.StartsPerSecond * float64(slackMS) / 1000)
	wanted := maps.Clone(a.Waiting)
	wanted[q.Pool] += taskCount(j)
	share := maxMinShares(startable, wanted)[q.Pool]
	if share >= wanted[q.Pool] {
		return 0
	}
	perSecond := float64(max(share, 1)) * 1000 / float64(slackMS)
	before := a.returning[q.Pool]
	returning := max(before.tasks-perSecond*(now-before.at).Seconds(), 0)
	if a.returning == nil {
		a.returning = map[string]returningTasks{}
	}
	a.returning[q.Pool] = returningTasks{returning + float64(taskCount(j)), now}
	return time.Duration((float64(wanted[q.Pool]-share) + returning) / perSecond * float64(time.Second))
}

// Add counts the tasks of a job that is accepted.
func (a *Admission) Add(q *apiv1.BatchQueue, j *apiv1.BatchJob) {
	a.Waiting[q.Pool] += taskCount(j)
}

func taskCount(j *apiv1.BatchJob) int64 {
	n := int64(0)
	for _, s := range j.Steps {
		n += int64(s.Count)
	}
	return n
}
