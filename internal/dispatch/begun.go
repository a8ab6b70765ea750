package dispatch

import (
	"maps"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// begunDelay is how long a job that has begun, or a run that is listed, waits for other
// changes to be committed with, so that short jobs don't need a commit more.
const begunDelay = 50 * time.Millisecond

// reportBegun has it committed that a minion has begun the run, once for each session.
// Sessions of the next leader do so again, since it may be uncommitted. The caller holds mu.
func (s *session) reportBegun(key batch.RunKey, o *runOrder) {
	if o.begunReported {
		return
	}
	o.begunReported = true
	s.d.ends.addBegun(key.Job)
}

// reportListed has it committed that the incarnation has listed the run of a long-running
// task, so that a later leader knows it too. The caller holds mu.
func (s *session) reportListed(key batch.RunKey, o *runOrder) {
	if o.listed {
		return
	}
	o.listed = true
	if o.isLongRunning {
		s.d.ends.addListed(key)
	}
}

// addBegun adds a job of which a minion has begun a task.
func (q *endQueue) addBegun(job string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.reports.begun) == 0 {
		q.reports.begun = map[string]bool{}
		time.AfterFunc(begunDelay, q.wake)
	}
	q.reports.begun[job] = true
}

// addListed adds a run that its incarnation has listed.
func (q *endQueue) addListed(key batch.RunKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.reports.listed) == 0 {
		time.AfterFunc(begunDelay, q.wake)
	}
	q.reports.listed = append(q.reports.listed, &apiv1.ListedRun{Task: key.Name(), Run: key.Number})
}

// queuedJobs returns the jobs among those that have begun and those of the ends of which
// no minion is known to have begun a task in the committed state.
func (d *Dispatcher) queuedJobs(begun map[string]bool, ends []*apiv1.EndedRun) []string {
	ids := slices.Sorted(maps.Keys(begun))
	for _, e := range ends {
		ids = append(ids, e.Task.JobId)
	}
	return d.jobsOf(slices.Values(ids), func(j *batch.Job) bool { return j.State == apiv1.BatchState_BATCH_STATE_QUEUED })
}
