package batch

import apiv1 "bergamotdrum.example/bergamotdrum/api/v1"

// A start is committed before its order is sent, and the minion may refuse the order or
// never receive it. So a job counts as begun only once a minion has listed a run of it
// (an execution of a task), as running or as ended, or has confirmed a start order.

// markBegun records that a minion has begun a task of the job.
func (j *Job) markBegun() {
	if j.State == apiv1.BatchState_BATCH_STATE_QUEUED {
		j.State = apiv1.BatchState_BATCH_STATE_RUNNING
	}
}

// showsBegun reports whether an end of a run shows that the minion had begun it. The
// leader infers the other ends without the minion's word.
func showsBegun(end apiv1.RunEnd) bool {
	switch end {
	case apiv1.RunEnd_RUN_END_DONE, apiv1.RunEnd_RUN_END_FAILED, apiv1.RunEnd_RUN_END_STOPPED,
		apiv1.RunEnd_RUN_END_LEASE_EXPIRED, apiv1.RunEnd_RUN_END_GANG_BROKEN, apiv1.RunEnd_RUN_END_GANG_INCOMPLETE:
		return true
	}
	return false
}

// markListed records which active runs their incarnations have listed.
func (s *State) markListed(listed []*apiv1.ListedRun) {
	for _, l := range listed {
		ref := RefOf(l.Task)
		j := s.jobs[ref.Job]
		if j == nil {
			continue
		}
		_, _, task := j.task(ref)
		for _, r := range task.GetRuns() {
			r.Listed = r.Listed || r.Number == l.Run
		}
	}
}
