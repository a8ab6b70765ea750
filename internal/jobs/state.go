// Package jobs is the replicated sub-state of jobs and their leases, with the
// pure planner that places pending jobs on workers.
package jobs

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// retentionMS is how long an ended job is kept, in log time.
	retentionMS = 24 * 60 * 60 * 1000
	// maxEnded bounds the ended jobs kept, and with them the snapshot.
	maxEnded = 20_000
)

// TeamLimits counts running jobs against the upper limits of teams.
type TeamLimits interface {
	// AcquireJob returns false when the team is at its limit.
	AcquireJob(team string) bool
	ReleaseJob(team string)
}

// Workers is what jobs need to know of the fleet.
type Workers interface {
	// VMByWorker returns the VM on which the worker runs.
	VMByWorker(workerID string) (*apiv1.Vm, bool)
	// Placeable reports whether jobs may start on the VM.
	Placeable(vm string, ix *objects.Index) bool
	// InPool returns the VMs of the pool, sorted by id.
	InPool(pool string) []*apiv1.Vm
	RecordSuccess(vm string)
	// RecordFailure may quarantine the VM's worker within the budget.
	RecordFailure(vm, jobID string, ix *objects.Index)
}

var _ Workers = (*fleet.State)(nil)

// State is every job as committed. Stored messages are never modified: a change
// stores a changed copy, so results of Get and List stay valid as they were.
// It is not safe for concurrent use.
type State struct {
	jobs map[string]*apiv1.Job
	// order holds job ids in the order of submission; dropped ones are left in
	// it until they outnumber the others.
	order []string
	// ended holds ids in the order in which the jobs ended.
	ended     []string
	lastEnded uint64
	// forgottenMS is the latest time in the id of a dropped job.
	forgottenMS int64
	loads       map[string]*load // per VM
	// pending counts per queue, urgent counts pending urgent jobs per pool.
	pending map[string]uint32
	urgent  map[string]int
	// dataBytes is what payloads, checkpoints and results take together.
	dataBytes int
}

// load is what the leases on one VM add up to.
type load struct {
	used amount
	jobs map[string]struct{}
}

// New returns an empty sub-state.
func New() *State {
	return &State{
		jobs:    map[string]*apiv1.Job{},
		loads:   map[string]*load{},
		pending: map[string]uint32{},
		urgent:  map[string]int{},
	}
}

// Get returns the job with the id. The message must not be modified.
func (s *State) Get(jobID string) (*apiv1.Job, bool) {
	j, ok := s.jobs[jobID]
	return j, ok
}

// List returns every job in the order of submission. The messages must not be
// modified.
func (s *State) List() []*apiv1.Job {
	return s.filter(func(*apiv1.Job) bool { return true })
}

// Live returns the jobs that have not ended, in the order of submission.
func (s *State) Live() []*apiv1.Job {
	return s.filter(func(j *apiv1.Job) bool { return !Ended(j.State) })
}

// LeasedOn returns the jobs that hold a lease on the VM, sorted by id.
func (s *State) LeasedOn(vm string) []*apiv1.Job {
	l, ok := s.loads[vm]
	if !ok {
		return nil
	}
	list := make([]*apiv1.Job, 0, len(l.jobs))
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		list = append(list, s.jobs[id])
	}
	return list
}

// LeaseCount returns the number of leases held on the VM.
func (s *State) LeaseCount(vm string) int {
	if l, ok := s.loads[vm]; ok {
		return len(l.jobs)
	}
	return 0
}

// Ended reports whether a job in the state never runs again.
func Ended(state apiv1.JobState) bool {
	switch state {
	case apiv1.JobState_JOB_STATE_DONE, apiv1.JobState_JOB_STATE_FAILED, apiv1.JobState_JOB_STATE_CANCELED,
		apiv1.JobState_JOB_STATE_PARKED, apiv1.JobState_JOB_STATE_UNKNOWN:
		return true
	}
	return false
}

// Snapshot returns the whole sub-state in a deterministic order.
func (s *State) Snapshot() *apiv1.JobsSnapshot {
	return &apiv1.JobsSnapshot{Jobs: s.List(), ForgottenUnixMs: s.forgottenMS, LastEndedSequence: s.lastEnded}
}

// Restore replaces the sub-state with the snapshot's.
func (s *State) Restore(snap *apiv1.JobsSnapshot) {
	*s = *New()
	s.forgottenMS = snap.GetForgottenUnixMs()
	s.lastEnded = snap.GetLastEndedSequence()
	for _, j := range snap.GetJobs() {
		s.order = append(s.order, j.JobId)
		s.put(proto.CloneOf(j))
		if Ended(j.State) {
			s.ended = append(s.ended, j.JobId)
		}
	}
	slices.SortFunc(s.ended, func(a, b string) int {
		return cmp.Compare(s.jobs[a].EndedSequence, s.jobs[b].EndedSequence)
	})
}

func (s *State) filter(keep func(*apiv1.Job) bool) []*apiv1.Job {
	list := make([]*apiv1.Job, 0, len(s.jobs))
	for _, id := range s.order {
		if j, ok := s.jobs[id]; ok && keep(j) {
			list = append(list, j)
		}
	}
	return list
}

// change stores a changed copy of the job and returns it.
func (s *State) change(logTimeMS int64, old *apiv1.Job, fn func(*apiv1.Job)) *apiv1.Job {
	j := shallowCopy(old)
	fn(j)
	j.ChangedUnixMs = logTimeMS
	s.put(j)
	return j
}

// put stores the job and keeps the counters in step.
func (s *State) put(j *apiv1.Job) {
	if old, ok := s.jobs[j.JobId]; ok {
		s.count(old, false)
	}
	s.jobs[j.JobId] = j
	s.count(j, true)
}

func (s *State) count(j *apiv1.Job, add bool) {
	if size := len(j.Payload) + len(j.Checkpoint) + len(j.Result); add {
		s.dataBytes += size
	} else {
		s.dataBytes -= size
	}
	if j.State == apiv1.JobState_JOB_STATE_PENDING {
		s.countPending(j, add)
	}
	if j.Lease == nil {
		return
	}
	l := s.loads[j.Lease.Vm]
	if l == nil {
		l = &load{jobs: map[string]struct{}{}}
		s.loads[j.Lease.Vm] = l
	}
	if add {
		l.used = l.used.plus(amountOf(j.Resources))
		l.jobs[j.JobId] = struct{}{}
		return
	}
	l.used = l.used.minus(amountOf(j.Resources))
	delete(l.jobs, j.JobId)
	if len(l.jobs) == 0 {
		delete(s.loads, j.Lease.Vm)
	}
}

func (s *State) countPending(j *apiv1.Job, add bool) {
	urgent := j.Priority == apiv1.Priority_PRIORITY_URGENT
	if add {
		s.pending[j.Queue]++
		if urgent {
			s.urgent[j.Pool]++
		}
		return
	}
	s.pending[j.Queue]--
	if urgent {
		s.urgent[j.Pool]--
	}
}

// end ends the job, frees what it held and drops records that are too old.
func (s *State) end(logTimeMS int64, j *apiv1.Job, state apiv1.JobState, reason string, l TeamLimits) {
	s.release(j, l)
	s.lastEnded++
	s.change(logTimeMS, j, func(j *apiv1.Job) {
		j.State = state
		j.Reason = reason
		j.Lease = nil
		j.Payload = nil
		j.Checkpoint = nil
		j.EndedSequence = s.lastEnded
	})
	s.ended = append(s.ended, j.JobId)
	s.prune(logTimeMS)
}

// requeue returns the job to its place in the queue.
func (s *State) requeue(logTimeMS int64, j *apiv1.Job, reason string, l TeamLimits) {
	s.release(j, l)
	s.change(logTimeMS, j, func(j *apiv1.Job) {
		j.State = apiv1.JobState_JOB_STATE_PENDING
		j.Reason = reason
		j.Lease = nil
		j.PreemptRequested = false
	})
}

func (s *State) release(j *apiv1.Job, l TeamLimits) {
	if j.Lease != nil {
		l.ReleaseJob(j.Team)
	}
}

// prune drops ended jobs that are too old or too many, first ended first.
func (s *State) prune(logTimeMS int64) {
	for len(s.ended) > 0 {
		j := s.jobs[s.ended[0]]
		if len(s.ended) <= maxEnded && logTimeMS-j.ChangedUnixMs <= retentionMS {
			break
		}
		s.ended = s.ended[1:]
		s.count(j, false)
		delete(s.jobs, j.JobId)
		if ms, ok := idTimeMS(j.JobId); ok {
			s.forgottenMS = max(s.forgottenMS, ms)
		}
	}
	s.dropResults()
	if len(s.order) > 2*len(s.jobs)+100 {
		s.order = slices.DeleteFunc(s.order, func(id string) bool { return s.jobs[id] == nil })
	}
}

// dropResults drops the oldest results while the data takes more than half of
// its bound, so that results that nobody fetches leave room for new jobs.
func (s *State) dropResults() {
	for _, id := range s.ended {
		if s.dataBytes <= maxTotalDataBytes/2 {
			return
		}
		if j := s.jobs[id]; len(j.Result) > 0 {
			c := shallowCopy(j)
			c.Result = nil
			c.Reason = "the result is no longer kept"
			s.put(c)
		}
	}
}

// shallowCopy copies the fields of j but not what they refer to, because a
// payload may be large and is never modified.
func shallowCopy(j *apiv1.Job) *apiv1.Job {
	c := &apiv1.Job{}
	j.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		c.ProtoReflect().Set(fd, v)
		return true
	})
	return c
}
