// Package jobs keeps the jobs and their leases in the replicated state of the
// control service, and plans which pending jobs start on which workers.
//
// A job runs on a worker under a lease. Each lease gets a new fencing epoch, one
// more than the job had before; it has nothing to do with the epochs of shards, the
// schedulers of requests. One execution of a job is a run, which the schema's
// messages call a task. A report or placement that names another epoch is rejected.
//
// Every replica applies the same committed commands through the methods of
// State, so these must be deterministic: they read no clock and do no I/O. Time
// is log time: the largest proposal time among the commands applied so far, in
// Unix milliseconds. Plan and Explain only read, and the leader calls Plan.
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
	// retentionMS is how long an ended job is kept, in milliseconds of log time.
	retentionMS = 24 * 60 * 60 * 1000
	// maxEndedJobs limits how many ended jobs are kept, and with them the size
	// of the snapshot.
	maxEndedJobs = 20_000
)

// TeamLimits counts the leased jobs of each team against the team's limit.
type TeamLimits interface {
	// AcquireJob counts one more leased job of the team. It returns false and
	// counts nothing if the team is at its limit.
	AcquireJob(team string) bool
	// ReleaseJob counts one leased job of the team less.
	ReleaseJob(team string)
}

// Workers gives access to the VMs of the fleet and the workers that run on them.
type Workers interface {
	// VMByWorker returns the VM on which the worker runs.
	VMByWorker(workerID string) (*apiv1.Vm, bool)
	// Placeable reports whether jobs may start on the VM: it has a worker, is up
	// and not quarantined, no operation waits for it to be empty, and its
	// availability zone is in service.
	Placeable(vm string, ix *objects.Index) bool
	// InPool returns the VMs of the pool, sorted by id.
	InPool(pool string) []*apiv1.Vm
	// RecordSuccess ends the VM's series of consecutive failed runs.
	RecordSuccess(vm string)
	// RecordFailure counts a failed run on the VM. After several in a row it
	// quarantines the VM's worker if the availability budget, the most VMs of a pool,
	// zone or rack that may be down at once, allows one more.
	RecordFailure(vm, jobID string, ix *objects.Index)
}

var _ Workers = (*fleet.State)(nil)

// State holds every committed job. Stored messages are never modified: an update
// stores a changed copy, so messages returned by Get and List do not change
// afterwards. State is not safe for concurrent use.
type State struct {
	jobs map[string]*apiv1.Job
	// order holds job ids in the order of submission. Ids of dropped jobs stay in
	// the list until prune finds that they outnumber the others.
	order []string
	// ended holds the ids of ended jobs in the order in which the jobs ended.
	ended []string
	// lastEnded is the EndedSequence of the job that ended last.
	lastEnded uint64
	// forgottenMS is the latest time, in Unix milliseconds, in the UUIDv7 of a
	// dropped job. A new id with that time or an earlier one may have belonged to
	// a dropped job.
	forgottenMS int64
	// leases is keyed by VM id and has no entry for a VM without leases.
	leases map[string]*vmLeases
	// pendingByQueue counts the pending jobs of each queue.
	pendingByQueue map[string]uint32
	// urgentByPool counts the pending urgent jobs of each pool.
	urgentByPool map[string]int
	// dataBytes is the total size of all payloads, checkpoints and results.
	dataBytes int
}

// vmLeases holds the jobs leased on one VM and the sum of their resources.
type vmLeases struct {
	reserved resources
	jobIDs   map[string]struct{}
}

// New returns an empty State.
func New() *State {
	return &State{
		jobs:           map[string]*apiv1.Job{},
		leases:         map[string]*vmLeases{},
		pendingByQueue: map[string]uint32{},
		urgentByPool:   map[string]int{},
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

// Live returns the jobs that have not ended, in the order of submission. The
// messages must not be modified.
func (s *State) Live() []*apiv1.Job {
	return s.filter(func(j *apiv1.Job) bool { return !Ended(j.State) })
}

// LeasedOn returns the jobs that hold a lease on the VM, sorted by id. The
// messages must not be modified.
func (s *State) LeasedOn(vm string) []*apiv1.Job {
	l, ok := s.leases[vm]
	if !ok {
		return nil
	}
	list := make([]*apiv1.Job, 0, len(l.jobIDs))
	for _, id := range slices.Sorted(maps.Keys(l.jobIDs)) {
		list = append(list, s.jobs[id])
	}
	return list
}

// LeaseCount returns the number of jobs that hold a lease on the VM.
func (s *State) LeaseCount(vm string) int {
	if l, ok := s.leases[vm]; ok {
		return len(l.jobIDs)
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

// Snapshot returns the whole state. Jobs are in the order of submission, so that
// equal states give equal snapshots.
func (s *State) Snapshot() *apiv1.JobsSnapshot {
	return &apiv1.JobsSnapshot{Jobs: s.List(), ForgottenUnixMs: s.forgottenMS, LastEndedSequence: s.lastEnded}
}

// Restore replaces the state with that of the snapshot, which it copies.
func (s *State) Restore(snap *apiv1.JobsSnapshot) {
	*s = *New()
	s.forgottenMS = snap.GetForgottenUnixMs()
	s.lastEnded = snap.GetLastEndedSequence()
	for _, j := range snap.GetJobs() {
		s.order = append(s.order, j.JobId)
		s.store(proto.CloneOf(j))
		if Ended(j.State) {
			s.ended = append(s.ended, j.JobId)
		}
	}
	slices.SortFunc(s.ended, func(a, b string) int {
		return cmp.Compare(s.jobs[a].EndedSequence, s.jobs[b].EndedSequence)
	})
}

// filter returns the jobs for which keep returns true, in the order of
// submission.
func (s *State) filter(keep func(*apiv1.Job) bool) []*apiv1.Job {
	list := make([]*apiv1.Job, 0, len(s.jobs))
	for _, id := range s.order {
		if j, ok := s.jobs[id]; ok && keep(j) {
			list = append(list, j)
		}
	}
	return list
}

// update stores a copy of the job that fn has changed, sets its time of change
// and returns it.
func (s *State) update(logTimeMS int64, old *apiv1.Job, fn func(*apiv1.Job)) *apiv1.Job {
	j := shallowCopy(old)
	fn(j)
	j.ChangedUnixMs = logTimeMS
	s.store(j)
	return j
}

// store adds the job, or replaces it, and updates the counters.
func (s *State) store(j *apiv1.Job) {
	if old, ok := s.jobs[j.JobId]; ok {
		s.adjustCounters(old, false)
	}
	s.jobs[j.JobId] = j
	s.adjustCounters(j, true)
}

// adjustCounters adds the job to the totals of data, pending jobs and leases, or
// subtracts it if add is false.
func (s *State) adjustCounters(j *apiv1.Job, add bool) {
	if size := len(j.Payload) + len(j.Checkpoint) + len(j.Result); add {
		s.dataBytes += size
	} else {
		s.dataBytes -= size
	}
	if j.State == apiv1.JobState_JOB_STATE_PENDING {
		s.adjustPending(j, add)
	}
	if j.Lease == nil {
		return
	}
	l := s.leases[j.Lease.Vm]
	if l == nil {
		l = &vmLeases{jobIDs: map[string]struct{}{}}
		s.leases[j.Lease.Vm] = l
	}
	if add {
		l.reserved = l.reserved.add(resourcesOf(j.Resources))
		l.jobIDs[j.JobId] = struct{}{}
		return
	}
	l.reserved = l.reserved.sub(resourcesOf(j.Resources))
	delete(l.jobIDs, j.JobId)
	if len(l.jobIDs) == 0 {
		delete(s.leases, j.Lease.Vm)
	}
}

// adjustPending adds the pending job to the counts of its queue and pool, or
// subtracts it if add is false.
func (s *State) adjustPending(j *apiv1.Job, add bool) {
	urgent := j.Priority == apiv1.Priority_PRIORITY_URGENT
	if add {
		s.pendingByQueue[j.Queue]++
		if urgent {
			s.urgentByPool[j.Pool]++
		}
		return
	}
	s.pendingByQueue[j.Queue]--
	if urgent {
		s.urgentByPool[j.Pool]--
	}
}

// end moves the job to a final state, drops its lease, payload and checkpoint,
// and then drops ended jobs that are no longer kept.
func (s *State) end(logTimeMS int64, j *apiv1.Job, state apiv1.JobState, reason string, l TeamLimits) {
	s.releaseFromTeamLimit(j, l)
	s.lastEnded++
	s.update(logTimeMS, j, func(j *apiv1.Job) {
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

// requeue drops the job's lease and makes the job pending again. The job keeps its
// place in the order of submission.
func (s *State) requeue(logTimeMS int64, j *apiv1.Job, reason string, l TeamLimits) {
	s.releaseFromTeamLimit(j, l)
	s.update(logTimeMS, j, func(j *apiv1.Job) {
		j.State = apiv1.JobState_JOB_STATE_PENDING
		j.Reason = reason
		j.Lease = nil
		j.PreemptRequested = false
	})
}

// releaseFromTeamLimit stops counting the job against its team's limit if it is
// leased.
func (s *State) releaseFromTeamLimit(j *apiv1.Job, l TeamLimits) {
	if j.Lease != nil {
		l.ReleaseJob(j.Team)
	}
}

// prune drops ended jobs that are older than retentionMS or exceed maxEndedJobs,
// in the order in which they ended.
func (s *State) prune(logTimeMS int64) {
	for len(s.ended) > 0 {
		j := s.jobs[s.ended[0]]
		if len(s.ended) <= maxEndedJobs && logTimeMS-j.ChangedUnixMs <= retentionMS {
			break
		}
		s.ended = s.ended[1:]
		s.adjustCounters(j, false)
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

// dropResults drops the results of the jobs that ended first while the data of all
// jobs exceeds half of maxTotalDataBytes. Otherwise results that nobody fetches
// would keep new jobs out.
func (s *State) dropResults() {
	for _, id := range s.ended {
		if s.dataBytes <= maxTotalDataBytes/2 {
			return
		}
		if j := s.jobs[id]; len(j.Result) > 0 {
			c := shallowCopy(j)
			c.Result = nil
			c.Reason = "the result is no longer kept"
			s.store(c)
		}
	}
}

// shallowCopy copies the fields of j but not the data that they refer to. A
// payload may be large and is never modified, so copies can share it.
func shallowCopy(j *apiv1.Job) *apiv1.Job {
	c := &apiv1.Job{}
	j.ProtoReflect().Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		c.ProtoReflect().Set(fd, v)
		return true
	})
	return c
}
