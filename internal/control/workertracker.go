package control

import (
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// announceTimeout is the time without an announcement after which a VM counts as
// down. Workers and minions announce every second. The entry processes use the same
// time for minions (package scheduler).
const announceTimeout = 5 * time.Second

// stopGracePeriod is how long a worker may renew the lease of a run, one
// execution of a job, that it was asked to stop. After that the lease expires, which
// ends the run.
const stopGracePeriod = 30 * time.Second

// workerTracker is the leader's record of when each VM was last announced, by its
// worker, which runs jobs, or a minion, which serves callers' requests, and when
// each job lease, which lets one worker run the job, was last renewed. Times are
// readings of the leader's boot clock.
type workerTracker struct {
	mu            sync.Mutex
	ttl           time.Duration
	lastAnnounced map[string]time.Duration
	leases        map[string]*leaseRenewal
}

// leaseRenewal is the leader's record of one job lease.
type leaseRenewal struct {
	epoch       uint64 // of the lease; each new lease of a job has a higher one
	lastRenewed time.Duration
	// expiring is set before the expiry is proposed. No renewal succeeds after
	// that.
	expiring bool
	// stoppingSince is when the job was first seen in state STOPPING, or zero.
	stoppingSince time.Duration
	// startSent is set once the start of the job is sent under this lease.
	startSent bool
}

func newWorkerTracker(ttl time.Duration) *workerTracker {
	return &workerTracker{
		ttl:           ttl,
		lastAnnounced: map[string]time.Duration{},
		leases:        map[string]*leaseRenewal{},
	}
}

// sync updates the tracker from the committed VMs and leases. New ones get the
// full time until they expire.
func (t *workerTracker) sync(now time.Duration, st *state.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range st.Fleet.VMs() {
		if _, ok := t.lastAnnounced[vm.Id]; !ok {
			t.lastAnnounced[vm.Id] = now
		}
	}
	current := map[string]bool{}
	for _, job := range st.Jobs.Live() {
		if job.Lease == nil {
			continue
		}
		current[job.JobId] = true
		r := t.leases[job.JobId]
		if r == nil || r.epoch != job.Lease.Epoch {
			r = &leaseRenewal{epoch: job.Lease.Epoch, lastRenewed: now}
			t.leases[job.JobId] = r
		}
		if job.State == apiv1.JobState_JOB_STATE_STOPPING && r.stoppingSince == 0 {
			r.stoppingSince = now
		}
	}
	for id := range t.leases {
		if !current[id] {
			delete(t.leases, id)
		}
	}
}

// observe records the announcements of a batch. It returns those that differ from
// the committed state of their VM.
func (t *workerTracker) observe(now time.Duration, st *state.State, batch *apiv1.WorkerBatch) []*apiv1.VmObservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []*apiv1.VmObservation
	for _, hb := range batch.Heartbeats {
		o := &apiv1.VmObservation{
			Vm: hb.Vm, Pool: hb.Pool, AvailabilityZone: hb.AvailabilityZone, Rack: hb.Rack,
			Capacity: hb.Capacity, WorkerId: hb.WorkerId, Down: hb.Leaving,
		}
		t.lastAnnounced[hb.Vm] = now
		if changesVM(st, o) {
			changed = append(changed, o)
		}
	}
	for _, o := range batch.MinionVms {
		t.lastAnnounced[o.Vm] = now
		if changesVM(st, o) {
			changed = append(changed, o)
		}
	}
	return changed
}

// changesVM reports whether an observation differs from the committed state of
// its VM. The pool is not compared, since an observation never changes it. The
// worker and the capacity are compared only if the observation is from a worker:
// the announcement of a minion contains neither.
func changesVM(st *state.State, o *apiv1.VmObservation) bool {
	vm, ok := st.Fleet.VM(o.Vm)
	if !ok || vm.Down != o.Down || vm.AvailabilityZone != o.AvailabilityZone || vm.Rack != o.Rack {
		return true
	}
	if o.WorkerId == "" {
		return false
	}
	return vm.WorkerId != o.WorkerId || !proto.Equal(vm.Capacity, o.Capacity)
}

// renew records the renewal of those leases in the heartbeats that are renewable.
func (t *workerTracker) renew(now time.Duration, st *state.State, heartbeats []*apiv1.WorkerHeartbeat) {
	for _, hb := range heartbeats {
		for _, lease := range hb.Leases {
			if !t.isRenewable(now, st, hb.WorkerId, lease) {
				continue
			}
			t.mu.Lock()
			r := t.leases[lease.JobId]
			if r == nil || r.epoch != lease.Epoch {
				r = &leaseRenewal{epoch: lease.Epoch}
				t.leases[lease.JobId] = r
			}
			r.lastRenewed = max(r.lastRenewed, now)
			t.mu.Unlock()
		}
	}
}

// isRenewable reports whether a worker may renew the lease: it is the committed
// one for this worker, its expiry is not proposed, and its run was not asked to
// stop longer than stopGracePeriod ago.
func (t *workerTracker) isRenewable(now time.Duration, st *state.State, workerID string, lease *apiv1.JobEpoch) bool {
	job, ok := st.Jobs.Get(lease.JobId)
	if !ok || job.Lease == nil || job.Lease.Epoch != lease.Epoch || job.Lease.WorkerId != workerID {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leases[lease.JobId]
	if r == nil || r.epoch != lease.Epoch {
		return true
	}
	return !r.expiring && (r.stoppingSince == 0 || now-r.stoppingSince <= stopGracePeriod)
}

// tryStart reports whether the instruction to start the job may be sent to its
// worker, and records that it is sent. For a repeatable job it is sent until the
// worker holds the lease, for other jobs once per lease. The worker counts its
// lease from the time at which it sent the heartbeat that this answers. The
// heartbeat arrived at now, from which the leader's TTL counts, so that the
// leader's TTL does not end before the worker's lease.
func (t *workerTracker) tryStart(now time.Duration, job *apiv1.Job) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leases[job.JobId]
	if r == nil || r.epoch != job.Lease.Epoch || r.expiring {
		return false
	}
	placed := job.State == apiv1.JobState_JOB_STATE_PLACED
	restart := job.Repeatable && job.State == apiv1.JobState_JOB_STATE_RUNNING
	if !placed && !restart {
		return false
	}
	if !job.Repeatable && r.startSent {
		return false
	}
	r.startSent = true
	r.lastRenewed = max(r.lastRenewed, now)
	return true
}

// startLeaseExpiry marks the leases whose TTL has passed as expiring and returns
// them, sorted by job id.
func (t *workerTracker) startLeaseExpiry(now time.Duration) []*apiv1.JobEpoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*apiv1.JobEpoch
	for id, r := range t.leases {
		if now-r.lastRenewed > t.ttl {
			r.expiring = true
			out = append(out, &apiv1.JobEpoch{JobId: id, Epoch: r.epoch})
		}
	}
	slices.SortFunc(out, func(a, b *apiv1.JobEpoch) int { return strings.Compare(a.JobId, b.JobId) })
	return out
}

// timedOutVMs returns observations that the VMs without an announcement within
// announceTimeout are down. VMs that are committed as down are left out, until an
// announcement has brought them up again.
func (t *workerTracker) timedOutVMs(now time.Duration, st *state.State) []*apiv1.VmObservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var down []*apiv1.VmObservation
	for _, vm := range st.Fleet.VMs() {
		last, ok := t.lastAnnounced[vm.Id]
		if vm.Down || !ok || now-last <= announceTimeout {
			continue
		}
		down = append(down, &apiv1.VmObservation{
			Vm: vm.Id, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack,
			Capacity: vm.Capacity, WorkerId: vm.WorkerId, Down: true,
		})
	}
	return down
}

// vmAges returns the time since the last announcement by VM.
func (t *workerTracker) vmAges(now time.Duration) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ages(now, t.lastAnnounced, func(seen time.Duration) time.Duration { return seen })
}

// leaseAges returns the time since the last renewal by job id.
func (t *workerTracker) leaseAges(now time.Duration) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ages(now, t.leases, func(r *leaseRenewal) time.Duration { return r.lastRenewed })
}
