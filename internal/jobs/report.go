package jobs

import (
	"fmt"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// parkAfterWorkers is the number of distinct workers on which a job may fail
	// before the job is parked, which means that it is not run again. After failures
	// on that many workers the fault is taken to lie in the job and not in a worker.
	parkAfterWorkers = 3
	// parkAfterFailures is the number of failed runs after which a job is parked
	// regardless of the number of workers. This limit is needed in pools with fewer
	// workers than parkAfterWorkers.
	parkAfterFailures = 10
)

// Report applies the workers' reports on runs, the executions of jobs. A worker may
// report on a run only while it holds the job's lease, the right to run the job,
// which is numbered by an epoch. A report with another epoch or from another worker
// is rejected and changes nothing.
func (s *State) Report(logTimeMS int64, cmd *apiv1.ReportTasks, ix *objects.Index, w Workers, l TeamLimits) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, r := range cmd.Reports {
		j, err := s.jobWithLease(r.JobId, r.Epoch)
		if err == nil && j.Lease.WorkerId != r.WorkerId {
			err = staleLease(r.JobId, r.Epoch)
		}
		if err != nil {
			out = appendRejection(out, r.JobId, err)
			continue
		}
		s.applyReport(logTimeMS, j, r, ix, w, l)
	}
	return out
}

// jobWithLease returns the job if it is leased with the epoch. Otherwise it
// returns JOB_NOT_FOUND or LEASE_STALE.
func (s *State) jobWithLease(id string, epoch uint64) (*apiv1.Job, *result.Error) {
	j, ok := s.jobs[id]
	if !ok {
		return nil, notFound(id)
	}
	if j.Lease == nil || j.Lease.Epoch != epoch {
		return nil, staleLease(id, epoch)
	}
	return j, nil
}

func staleLease(id string, epoch uint64) *result.Error {
	return result.New(apiv1.ResultCode_RESULT_CODE_LEASE_STALE, "job %s has no lease with epoch %d on this worker", id, epoch)
}

// applyReport applies one report, which is known to come from the holder of the
// job's lease.
func (s *State) applyReport(logTimeMS int64, j *apiv1.Job, r *apiv1.TaskReport, ix *objects.Index, w Workers, l TeamLimits) {
	switch r.Event {
	case apiv1.TaskEvent_TASK_EVENT_RUNNING:
		s.markRunning(logTimeMS, j)
	case apiv1.TaskEvent_TASK_EVENT_CHECKPOINT:
		s.saveCheckpoint(logTimeMS, j, r.Data)
	case apiv1.TaskEvent_TASK_EVENT_DONE:
		w.RecordSuccess(j.Lease.Vm)
		s.complete(logTimeMS, j, r.Data, l)
	case apiv1.TaskEvent_TASK_EVENT_FAILED:
		w.RecordFailure(j.Lease.Vm, j.JobId, ix)
		s.fail(logTimeMS, j, r, l)
	case apiv1.TaskEvent_TASK_EVENT_STOPPED:
		s.confirmStopped(logTimeMS, s.saveCheckpoint(logTimeMS, j, r.Data), l)
	}
}

// markRunning records that the worker has started the job. A job that was asked
// to stop in the meantime stays stopping.
func (s *State) markRunning(logTimeMS int64, j *apiv1.Job) {
	if j.State != apiv1.JobState_JOB_STATE_PLACED {
		return
	}
	s.update(logTimeMS, j, func(j *apiv1.Job) { j.State = apiv1.JobState_JOB_STATE_RUNNING })
}

// saveCheckpoint stores data as the checkpoint from which the next run continues.
// Empty data, and data above maxDataBytes, leave the previous checkpoint in place.
func (s *State) saveCheckpoint(logTimeMS int64, j *apiv1.Job, data []byte) *apiv1.Job {
	if len(data) == 0 || len(data) > maxDataBytes {
		return j
	}
	return s.update(logTimeMS, j, func(j *apiv1.Job) { j.Checkpoint = data })
}

// complete ends a job that has succeeded and stores its result. A result above
// maxDataBytes is dropped and the job's reason says so.
func (s *State) complete(logTimeMS int64, j *apiv1.Job, data []byte, l TeamLimits) {
	reason := ""
	if len(data) > maxDataBytes {
		reason = fmt.Sprintf("result of %d bytes was not kept; at most %d are", len(data), maxDataBytes)
		data = nil
	}
	j = s.update(logTimeMS, j, func(j *apiv1.Job) { j.Result = data })
	s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_DONE, reason, l)
}

// fail counts a failed run. A repeatable job returns to the queue until it has
// failed often enough to be parked; any other job ends as failed. A job whose
// cancellation was requested ends as canceled.
func (s *State) fail(logTimeMS int64, j *apiv1.Job, r *apiv1.TaskReport, l TeamLimits) {
	j = s.update(logTimeMS, j, func(j *apiv1.Job) {
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
	case len(j.FailedWorkers) >= parkAfterWorkers || j.Failures >= parkAfterFailures:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_PARKED,
			fmt.Sprintf("failed %d times on %d workers, last: %s", j.Failures, len(j.FailedWorkers), r.Reason), l)
	default:
		s.requeue(logTimeMS, j, "failed on "+r.WorkerId+": "+r.Reason, l)
	}
}

// confirmStopped ends a run of which, by the worker's report, nothing is left on
// the worker.
func (s *State) confirmStopped(logTimeMS int64, j *apiv1.Job, l TeamLimits) {
	s.interrupt(logTimeMS, j, "stopped by worker "+j.Lease.WorkerId, l)
}

// interrupt ends a run that gave no result. A repeatable job returns to the
// queue. Any other job may have done part of its work, so it must not run again
// and its outcome is unknown. A job whose cancellation was requested ends as
// canceled.
func (s *State) interrupt(logTimeMS int64, j *apiv1.Job, reason string, l TeamLimits) {
	switch {
	case j.CancelRequested:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_CANCELED, "canceled", l)
	case j.Repeatable:
		s.requeue(logTimeMS, j, reason, l)
	default:
		s.end(logTimeMS, j, apiv1.JobState_JOB_STATE_UNKNOWN, reason+"; the job may not be repeated", l)
	}
}

// ExpireLeases ends leases that their worker did not renew. The leader that proposes
// the command guarantees, by waiting longer than the lease lasts, that the worker
// has stopped the run by then. A lease that has ended or been replaced meanwhile is
// rejected.
func (s *State) ExpireLeases(logTimeMS int64, cmd *apiv1.ExpireLeases, l TeamLimits) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, e := range cmd.Leases {
		j, err := s.jobWithLease(e.JobId, e.Epoch)
		if err != nil {
			out = appendRejection(out, e.JobId, err)
			continue
		}
		s.interrupt(logTimeMS, j, "lease of worker "+j.Lease.WorkerId+" expired", l)
	}
	return out
}

// Cancel ends pending jobs at once and requests the stop of leased ones, which
// end when the worker has stopped them or their lease expires. A job of another
// client account is rejected as not found; an empty account in cmd, as operators
// send it, allows every job.
func (s *State) Cancel(logTimeMS int64, cmd *apiv1.CancelJobs, l TeamLimits) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, id := range cmd.JobIds {
		out = appendRejection(out, id, s.cancel(logTimeMS, id, cmd.ClientAccount, l))
	}
	return out
}

// cancel cancels one job. Canceling it again has no effect and is no error.
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
	s.update(logTimeMS, j, func(j *apiv1.Job) {
		j.CancelRequested = true
		j.State = apiv1.JobState_JOB_STATE_STOPPING
	})
	return nil
}
