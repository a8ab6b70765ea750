package jobs

import (
	"fmt"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// parkWorkers distinct workers that failed a job park it: by then the job,
	// not a worker, is to blame.
	parkWorkers = 3
	// parkFailures parks a job in a pool with fewer workers than parkWorkers.
	parkFailures = 10
)

// Report applies what workers tell about the runs whose lease they hold.
// Reports under any other epoch or worker are rejected and change nothing.
func (s *State) Report(logTimeMS int64, cmd *apiv1.ReportTasks, ix *objects.Index, w Workers, l TeamLimits) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, r := range cmd.Reports {
		j, err := s.held(r.JobId, r.Epoch)
		if err == nil && j.Lease.WorkerId != r.WorkerId {
			err = stale(r.JobId, r.Epoch)
		}
		if err != nil {
			out = reject(out, r.JobId, err)
			continue
		}
		s.report(logTimeMS, j, r, ix, w, l)
	}
	return out
}

// held returns the job when its lease has the epoch.
func (s *State) held(id string, epoch uint64) (*apiv1.Job, *result.Error) {
	j, ok := s.jobs[id]
	if !ok {
		return nil, notFound(id)
	}
	if j.Lease == nil || j.Lease.Epoch != epoch {
		return nil, stale(id, epoch)
	}
	return j, nil
}

func stale(id string, epoch uint64) *result.Error {
	return result.New(apiv1.ResultCode_RESULT_CODE_LEASE_STALE, "job %s has no lease with epoch %d on this worker", id, epoch)
}

func (s *State) report(logTimeMS int64, j *apiv1.Job, r *apiv1.TaskReport, ix *objects.Index, w Workers, l TeamLimits) {
	switch r.Event {
	case apiv1.TaskEvent_TASK_EVENT_RUNNING:
		s.running(logTimeMS, j)
	case apiv1.TaskEvent_TASK_EVENT_CHECKPOINT:
		s.checkpoint(logTimeMS, j, r.Data)
	case apiv1.TaskEvent_TASK_EVENT_DONE:
		w.RecordSuccess(j.Lease.Vm)
		s.done(logTimeMS, j, r.Data, l)
	case apiv1.TaskEvent_TASK_EVENT_FAILED:
		w.RecordFailure(j.Lease.Vm, j.JobId, ix)
		s.failed(logTimeMS, j, r, l)
	case apiv1.TaskEvent_TASK_EVENT_STOPPED:
		s.stopped(logTimeMS, s.checkpoint(logTimeMS, j, r.Data), l)
	}
}

func (s *State) running(logTimeMS int64, j *apiv1.Job) {
	if j.State != apiv1.JobState_JOB_STATE_PLACED {
		return
	}
	s.change(logTimeMS, j, func(j *apiv1.Job) { j.State = apiv1.JobState_JOB_STATE_RUNNING })
}

// checkpoint keeps data as the point to restart from. An empty or too large
// one leaves the checkpoint before it in place.
func (s *State) checkpoint(logTimeMS int64, j *apiv1.Job, data []byte) *apiv1.Job {
	if len(data) == 0 || len(data) > maxDataBytes {
		return j
	}
	return s.change(logTimeMS, j, func(j *apiv1.Job) { j.Checkpoint = data })
}

func (s *State) done(logTimeMS int64, j *apiv1.Job, data []byte, l TeamLimits) {
	reason := ""
	if len(data) > maxDataBytes {
		reason = fmt.Sprintf("result of %d bytes was not kept; at most %d are", len(data), maxDataBytes)
		data = nil
	}
	j = s.change(logTimeMS, j, func(j *apiv1.Job) { j.Result = data })
	s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_DONE, reason, l)
}

// failed returns a repeatable job to the queue until too many workers failed it.
func (s *State) failed(logTimeMS int64, j *apiv1.Job, r *apiv1.TaskReport, l TeamLimits) {
	j = s.change(logTimeMS, j, func(j *apiv1.Job) {
		j.Failures++
		if !slices.Contains(j.FailedWorkers, r.WorkerId) {
			j.FailedWorkers = append(slices.Clone(j.FailedWorkers), r.WorkerId)
		}
	})
	switch {
	case j.CancelRequested:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_CANCELED, "failed after the cancellation: "+r.Reason, l)
	case !j.Repeatable:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_FAILED, r.Reason, l)
	case len(j.FailedWorkers) >= parkWorkers || j.Failures >= parkFailures:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_PARKED,
			fmt.Sprintf("failed %d times on %d workers, last: %s", j.Failures, len(j.FailedWorkers), r.Reason), l)
	default:
		s.requeue(logTimeMS, j, "failed on "+r.WorkerId+": "+r.Reason, l)
	}
}

// stopped applies that nothing of the run is left on the worker.
func (s *State) stopped(logTimeMS int64, j *apiv1.Job, l TeamLimits) {
	s.lost(logTimeMS, j, "stopped by worker "+j.Lease.WorkerId, l)
}

// lost ends a run without result. Only a repeatable job may run again.
func (s *State) lost(logTimeMS int64, j *apiv1.Job, reason string, l TeamLimits) {
	switch {
	case j.CancelRequested:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_CANCELED, "canceled", l)
	case j.Repeatable:
		s.requeue(logTimeMS, j, reason, l)
	default:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_UNKNOWN, reason+"; the job may not be repeated", l)
	}
}

// ExpireLeases ends leases whose worker did not renew them. The proposer
// guarantees that the worker has stopped the task by then.
func (s *State) ExpireLeases(logTimeMS int64, cmd *apiv1.ExpireLeases, l TeamLimits) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, e := range cmd.Leases {
		j, err := s.held(e.JobId, e.Epoch)
		if err != nil {
			out = reject(out, e.JobId, err)
			continue
		}
		s.lost(logTimeMS, j, "lease of worker "+j.Lease.WorkerId+" expired", l)
	}
	return out
}

// Cancel ends waiting jobs at once and asks for the stop of running ones, which
// end when the worker has stopped them or their lease expires.
func (s *State) Cancel(logTimeMS int64, cmd *apiv1.CancelJobs, l TeamLimits) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, id := range cmd.JobIds {
		out = reject(out, id, s.cancel(logTimeMS, id, cmd.ClientAccount, l))
	}
	return out
}

func (s *State) cancel(logTimeMS int64, id, account string, l TeamLimits) *result.Error {
	j, ok := s.jobs[id]
	if !ok || (account != "" && j.ClientAccount != account) {
		return notFound(id)
	}
	switch {
	case j.State == apiv1.JobState_JOB_STATE_CANCELED || j.CancelRequested:
		return nil
	case Ended(j.State):
		return result.New(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "job %s has ended as %s", id, j.State)
	case j.Lease == nil:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_CANCELED, "canceled", l)
		return nil
	}
	s.change(logTimeMS, j, func(j *apiv1.Job) {
		j.CancelRequested = true
		j.State = apiv1.JobState_JOB_STATE_STOPPING
	})
	return nil
}
