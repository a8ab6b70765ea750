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

// vmSilence is how long a VM may announce nothing before it counts as down.
// Workers and minions announce every second.
const vmSilence = 5 * time.Second

// stopGrace is how long a worker may renew the lease of a task that it was
// asked to stop. After that the lease runs out, which ends the task.
const stopGrace = 30 * time.Second

// workerTracker knows when each VM was last heard of and each job lease last
// renewed.
type workerTracker struct {
	mu     sync.Mutex
	ttl    time.Duration
	seen   map[string]time.Duration
	leases map[string]*leaseRenewal
}

type leaseRenewal struct {
	epoch   uint64
	renewed time.Duration
	// ending is set before the expiry is proposed; no renewal succeeds after.
	ending bool
	// stopping is when the job was first seen in state STOPPING; zero before.
	stopping time.Duration
	// startSent is set when a job that may not be repeated was handed out.
	startSent bool
}

func newWorkerTracker(ttl time.Duration) *workerTracker {
	return &workerTracker{
		ttl:    ttl,
		seen:   map[string]time.Duration{},
		leases: map[string]*leaseRenewal{},
	}
}

// sync follows the committed VMs and leases; new ones get a full TTL.
func (t *workerTracker) sync(now time.Duration, st *state.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range st.Fleet.VMs() {
		if _, ok := t.seen[vm.Id]; !ok {
			t.seen[vm.Id] = now
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
			r = &leaseRenewal{epoch: job.Lease.Epoch, renewed: now}
			t.leases[job.JobId] = r
		}
		if job.State == apiv1.JobState_JOB_STATE_STOPPING && r.stopping == 0 {
			r.stopping = now
		}
	}
	for id := range t.leases {
		if !current[id] {
			delete(t.leases, id)
		}
	}
}

// observe notes the announcements and returns those that change a committed
// VM.
func (t *workerTracker) observe(now time.Duration, st *state.State, batch *apiv1.WorkerBatch) []*apiv1.VmObservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []*apiv1.VmObservation
	for _, hb := range batch.Heartbeats {
		o := &apiv1.VmObservation{
			Vm: hb.Vm, Pool: hb.Pool, AvailabilityZone: hb.AvailabilityZone, Rack: hb.Rack,
			Capacity: hb.Capacity, WorkerId: hb.WorkerId, Down: hb.Leaving,
		}
		t.seen[hb.Vm] = now
		if differs(st, o) {
			changed = append(changed, o)
		}
	}
	for _, o := range batch.MinionVms {
		t.seen[o.Vm] = now
		if differs(st, o) {
			changed = append(changed, o)
		}
	}
	return changed
}

// differs compares with the committed record; the pool is not compared, since
// an observation never changes it, and a minion's announcement does not say
// what its VM's worker can hold.
func differs(st *state.State, o *apiv1.VmObservation) bool {
	vm, ok := st.Fleet.VM(o.Vm)
	if !ok || vm.Down != o.Down || vm.AvailabilityZone != o.AvailabilityZone || vm.Rack != o.Rack {
		return true
	}
	if o.WorkerId == "" {
		return false
	}
	return vm.WorkerId != o.WorkerId || !proto.Equal(vm.Capacity, o.Capacity)
}

// renew extends the leases that match the committed ones.
func (t *workerTracker) renew(now time.Duration, st *state.State, heartbeats []*apiv1.WorkerHeartbeat) {
	for _, hb := range heartbeats {
		for _, lease := range hb.Leases {
			if !t.renewable(now, st, hb.WorkerId, lease) {
				continue
			}
			t.mu.Lock()
			r := t.leases[lease.JobId]
			if r == nil || r.epoch != lease.Epoch {
				r = &leaseRenewal{epoch: lease.Epoch}
				t.leases[lease.JobId] = r
			}
			r.renewed = max(r.renewed, now)
			t.mu.Unlock()
		}
	}
}

// renewable reports whether the lease is committed for this worker, not about
// to expire and not of a task that ignores its stop.
func (t *workerTracker) renewable(now time.Duration, st *state.State, workerID string, lease *apiv1.JobEpoch) bool {
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
	return !r.ending && (r.stopping == 0 || now-r.stopping <= stopGrace)
}

// mayStart reports whether a placed job may be handed to its worker. A job
// that may be repeated is handed out until the worker holds it; one that may
// not is handed out once per lease. The worker counts its lease from the
// heartbeat that the start answers, which arrived at now, so the leader's TTL
// must not end earlier.
func (t *workerTracker) mayStart(now time.Duration, job *apiv1.Job) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.leases[job.JobId]
	if r == nil || r.epoch != job.Lease.Epoch || r.ending {
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
	r.renewed = max(r.renewed, now)
	return true
}

func (t *workerTracker) expiredLeases(now time.Duration) []*apiv1.JobEpoch {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*apiv1.JobEpoch
	for id, r := range t.leases {
		if now-r.renewed > t.ttl {
			r.ending = true
			out = append(out, &apiv1.JobEpoch{JobId: id, Epoch: r.epoch})
		}
	}
	slices.SortFunc(out, func(a, b *apiv1.JobEpoch) int { return strings.Compare(a.JobId, b.JobId) })
	return out
}

// silentVMs returns the VMs that announced nothing for too long. A VM is
// reported once; the next announcement makes it known again.
func (t *workerTracker) silentVMs(now time.Duration, st *state.State) []*apiv1.VmObservation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var down []*apiv1.VmObservation
	for _, vm := range st.Fleet.VMs() {
		last, ok := t.seen[vm.Id]
		if vm.Down || !ok || now-last <= vmSilence {
			continue
		}
		down = append(down, &apiv1.VmObservation{
			Vm: vm.Id, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack,
			Capacity: vm.Capacity, WorkerId: vm.WorkerId, Down: true,
		})
	}
	return down
}

func (t *workerTracker) vmAges(now time.Duration) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ages(now, t.seen, func(seen time.Duration) time.Duration { return seen })
}

func (t *workerTracker) leaseAges(now time.Duration) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ages(now, t.leases, func(r *leaseRenewal) time.Duration { return r.renewed })
}
