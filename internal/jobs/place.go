package jobs

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Place applies a plan made by Plan: a lease, a worker's right to run a job, for
// each placement, and requests to leased jobs to run slower, to run at full
// speed again, or to stop. The plan may have been made on an older state, so
// each part is verified. Parts that no longer hold are rejected and change
// nothing.
func (s *State) Place(logTimeMS int64, cmd *apiv1.PlaceJobs, ix *objects.Index, w Workers, l TeamLimits) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, p := range cmd.Placements {
		out = appendRejection(out, p.JobId, s.place(logTimeMS, p, ix, w, l))
	}
	for _, id := range cmd.ResumeJobIds {
		out = appendRejection(out, id, s.resume(logTimeMS, id))
	}
	for _, id := range cmd.EvictJobIds {
		out = appendRejection(out, id, s.evict(logTimeMS, id, w))
	}
	for _, id := range cmd.ThrottleJobIds {
		out = appendRejection(out, id, s.throttle(logTimeMS, id))
	}
	for _, id := range cmd.PreemptJobIds {
		out = appendRejection(out, id, s.preempt(logTimeMS, id))
	}
	return out
}

// appendRejection appends a rejection of the job to out, unless err is nil.
func appendRejection(out []*apiv1.Rejection, id string, err *result.Error) []*apiv1.Rejection {
	if err == nil {
		return out
	}
	return append(out, &apiv1.Rejection{Id: id, Status: err.Status()})
}

// place leases a pending job to the worker under the job's next epoch and counts the
// job against its team's limit. All errors say that the job was not run.
func (s *State) place(logTimeMS int64, p *apiv1.Placement, ix *objects.Index, w Workers, l TeamLimits) *result.Error {
	j, ok := s.jobs[p.JobId]
	if !ok {
		return notFound(p.JobId)
	}
	if j.State != apiv1.JobState_JOB_STATE_PENDING || j.Epoch != p.ExpectedEpoch {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_LEASE_STALE,
			"job %s is %s at epoch %d, not pending at epoch %d", j.JobId, j.State, j.Epoch, p.ExpectedEpoch)
	}
	vm, err := s.eligibleVM(j, p.WorkerId, ix, w)
	if err != nil {
		return err
	}
	if !l.AcquireJob(j.Team) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_TEAM_LIMIT, "team %s is at its limit", j.Team)
	}
	s.update(logTimeMS, j, func(j *apiv1.Job) {
		j.Epoch++
		j.State = apiv1.JobState_JOB_STATE_PLACED
		j.Reason = ""
		j.Lease = &apiv1.JobLease{Epoch: j.Epoch, WorkerId: p.WorkerId, Vm: vm.Id}
	})
	return nil
}

// eligibleVM returns the worker's VM if the job may start there, and otherwise
// an error that says why not.
func (s *State) eligibleVM(j *apiv1.Job, workerID string, ix *objects.Index, w Workers) (*apiv1.Vm, *result.Error) {
	vm, ok := w.VMByWorker(workerID)
	if !ok {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN, "worker %q is not known", workerID)
	}
	if vm.Pool != j.Pool {
		return nil, noCapacity("worker %s is in pool %s, not in %s", workerID, vm.Pool, j.Pool)
	}
	if !ix.IsZoneIn(vm.AvailabilityZone) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_ZONE_OUT, "availability zone %s is out", vm.AvailabilityZone)
	}
	if !w.Placeable(vm.Id, ix) {
		return nil, noCapacity("VM %s is down, leaving or quarantined", vm.Id)
	}
	free := s.freeOn(vm)
	if need := resourcesOf(j.Resources); !need.fitsIn(free) {
		return nil, noCapacity("VM %s has %s free; the job needs %s", vm.Id, free, need)
	}
	return vm, nil
}

// freeOn returns the VM's capacity less the resources of the jobs leased on it.
func (s *State) freeOn(vm *apiv1.Vm) resources {
	free := resourcesOf(vm.Capacity)
	if l, ok := s.leases[vm.Id]; ok {
		free = free.sub(l.reserved)
	}
	return free
}

// throttle marks an overnight job to run slower. The job's declared resources stay
// reserved in full, because the worker guarantees no limit on what the job then
// uses. Throttling a throttled job has no effect and is no error.
func (s *State) throttle(logTimeMS int64, id string) *result.Error {
	j, err := s.preemptibleJob(id)
	if err != nil || j.Lease.Throttled {
		return err
	}
	s.setThrottled(logTimeMS, j, true)
	return nil
}

// resume lets a throttled job run at full speed again.
func (s *State) resume(logTimeMS int64, id string) *result.Error {
	j, ok := s.jobs[id]
	if !ok {
		return notFound(id)
	}
	if j.Lease.GetThrottled() {
		s.setThrottled(logTimeMS, j, false)
	}
	return nil
}

// setThrottled replaces the lease by a copy, because stored messages are never
// modified. The job must be leased.
func (s *State) setThrottled(logTimeMS int64, j *apiv1.Job, throttled bool) {
	s.update(logTimeMS, j, func(j *apiv1.Job) {
		j.Lease = &apiv1.JobLease{Epoch: j.Lease.Epoch, WorkerId: j.Lease.WorkerId, Vm: j.Lease.Vm, Throttled: throttled}
	})
}

// evict asks a repeatable job to checkpoint and stop, because an operation (a drain,
// a move or a reboot) waits until no work runs on the job's VM. A job that may not
// be repeated runs to its end. Evicting a job that is already stopping has no effect
// and is no error.
func (s *State) evict(logTimeMS int64, id string, w Workers) *result.Error {
	j, ok := s.jobs[id]
	if !ok {
		return notFound(id)
	}
	if j.State == apiv1.JobState_JOB_STATE_STOPPING {
		return nil
	}
	vm, ok := w.VMByWorker(j.Lease.GetWorkerId())
	if j.Lease == nil || !j.Repeatable || !ok || vm.OperationId == "" {
		return noCapacity("job %s is not a repeatable job on a VM that is leaving", id)
	}
	s.requestStop(logTimeMS, j)
	return nil
}

// requestStop marks the job as stopping, so that the worker is told to save a
// checkpoint of the job and to stop it. The job then returns to the queue.
func (s *State) requestStop(logTimeMS int64, j *apiv1.Job) {
	s.update(logTimeMS, j, func(j *apiv1.Job) {
		j.State = apiv1.JobState_JOB_STATE_STOPPING
		j.PreemptRequested = true
	})
}

// preempt asks a throttled overnight job to checkpoint and stop, so that an
// urgent job can start. A job that may not be repeated is never preempted: it
// could not start again. Preempting a job that is already stopping has no effect
// and is no error.
func (s *State) preempt(logTimeMS int64, id string) *result.Error {
	j, err := s.preemptibleJob(id)
	if err != nil || j.State == apiv1.JobState_JOB_STATE_STOPPING {
		return err
	}
	if !j.Repeatable || !j.Lease.Throttled {
		return noCapacity("job %s is not repeatable or not throttled yet and cannot be preempted", id)
	}
	s.requestStop(logTimeMS, j)
	return nil
}

// preemptibleJob returns the job if it is a leased overnight job and an urgent
// job waits for its pool, and otherwise an error.
func (s *State) preemptibleJob(id string) (*apiv1.Job, *result.Error) {
	j, ok := s.jobs[id]
	if !ok {
		return nil, notFound(id)
	}
	if j.Lease == nil || j.Priority != apiv1.Priority_PRIORITY_OVERNIGHT {
		return nil, noCapacity("job %s is not a running overnight job", id)
	}
	if s.urgentByPool[j.Pool] == 0 {
		return nil, noCapacity("no urgent job waits for pool %s", j.Pool)
	}
	return j, nil
}

func noCapacity(format string, args ...any) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, format, args...)
}

func notFound(id string) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "job %s is not known", id)
}
