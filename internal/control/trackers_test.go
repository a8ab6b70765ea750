package control

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/state"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

const testTTL = 2 * time.Second

// Guards against a leader that proposes the expiry of a session while the
// session's holder, an entry process that passes callers' requests on under the
// session, still takes the session as valid. Renewals arrive late, several times
// and out of order, and a new leader may take over at any time.
func TestSessionEndsOnTheEntryBeforeItExpiresOnTheLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newSessionTracker(testTTL + testTTL/8)
		committed := []*apiv1.Session{{Id: 1, Incarnation: 7}}
		var now, validUntil time.Duration
		tracker.sync(now, committed, time.Second)
		var inFlight []time.Duration // sending times of renewals
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"time", "send", "arrive", "leader", "expire"}).Draw(t, "step") {
			case "time":
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			case "send":
				inFlight = append(inFlight, now)
			case "arrive":
				if len(inFlight) == 0 {
					continue
				}
				sent := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")]
				if tracker.renew(now, &apiv1.RenewSession{SessionId: 1, Incarnation: 7}) {
					validUntil = max(validUntil, sent+testTTL)
				}
			case "leader":
				tracker = newSessionTracker(testTTL + testTTL/8)
				tracker.sync(now, committed, time.Second)
			case "expire":
				if len(tracker.startExpiry(now)) == 0 {
					continue
				}
				if validUntil > now {
					t.Fatalf("the session expires at %v and is valid on the entry until %v", now, validUntil)
				}
				if tracker.renew(now, &apiv1.RenewSession{SessionId: 1, Incarnation: 7}) {
					t.Fatal("a session was renewed after its expiry was proposed")
				}
				return
			}
		}
	})
}

// Guards against a configuration that is reported in force (used by every entry
// process with a live session) while one of them has an older version, and
// against waiting for an expired session.
func TestInForceWaitsForEveryLiveSession(t *testing.T) {
	g := NewWithT(t)
	tracker := newSessionTracker(testTTL)
	sessions := []*apiv1.Session{{Id: 1, ProcessId: "entry-1"}, {Id: 2, ProcessId: "entry-2"}}
	tracker.sync(0, sessions, time.Second)
	tracker.renew(0, &apiv1.RenewSession{SessionId: 1, ConfigVersion: 5})
	tracker.renew(0, &apiv1.RenewSession{SessionId: 2, ConfigVersion: 4})
	waiting, _ := tracker.notInForce(5)
	g.Expect(waiting).To(HaveLen(1))
	g.Expect(waiting[0].ProcessId).To(Equal("entry-2"))
	sessions[1].Expired = true
	tracker.sync(testTTL, sessions, time.Second)
	waiting, _ = tracker.notInForce(5)
	g.Expect(waiting).To(BeEmpty())
}

// Guards against a drain (the wait before an operation on a VM until the VM is
// idle) that ends while a request to the VM is in flight, or while an expired
// session's requests may still run.
func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	g := NewWithT(t)
	tracker := newSessionTracker(testTTL)
	sessions := []*apiv1.Session{{Id: 1}, {Id: 2}}
	tracker.sync(0, sessions, time.Second)
	tracker.renew(0, &apiv1.RenewSession{SessionId: 1, ViewVersion: 9})
	tracker.renew(0, &apiv1.RenewSession{SessionId: 2, ViewVersion: 8})
	g.Expect(tracker.drained("vm-1", 9)).To(BeFalse(), "session 2 has an older view")
	tracker.renew(0, &apiv1.RenewSession{SessionId: 2, ViewVersion: 9, BusyVms: []string{"vm-1"}})
	g.Expect(tracker.drained("vm-1", 9)).To(BeFalse(), "session 2 has a request in flight")
	g.Expect(tracker.drained("vm-2", 9)).To(BeTrue())
	sessions[1].Expired = true
	tracker.sync(0, sessions, time.Second)
	g.Expect(tracker.drained("vm-2", 9)).To(BeFalse(), "requests of session 2 may still run")
	tracker.sync(0, sessions[:1], time.Second)
	g.Expect(tracker.drained("vm-1", 9)).To(BeTrue())
}

// Guards against a job lease that is still valid on its worker when the leader
// proposes the lease's expiry, and against two starts of a non-repeatable job
// under one lease.
func TestLeaseEndsOnTheWorkerBeforeItExpiresOnTheLeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newWorkerTracker(testTTL + testTTL/8)
		job := &apiv1.Job{
			JobId: "j", State: apiv1.JobState_JOB_STATE_PLACED,
			Lease: &apiv1.JobLease{Epoch: 1, WorkerId: "w"},
		}
		var now, validUntil time.Duration
		tracker.leases["j"] = &leaseRenewal{epoch: 1, lastRenewed: now}
		starts := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"time", "heartbeat", "expire"}).Draw(t, "step") {
			case "time":
				now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			case "heartbeat":
				sent := max(0, now-time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay"))*time.Millisecond)
				if tracker.tryStart(now, job) {
					starts++
					validUntil = max(validUntil, sent+testTTL)
				}
			case "expire":
				if len(tracker.startLeaseExpiry(now)) == 0 {
					continue
				}
				if validUntil > now {
					t.Fatalf("the lease expires at %v and is valid on the worker until %v", now, validUntil)
				}
				if tracker.tryStart(now, job) {
					t.Fatal("a job was started after the expiry of its lease was proposed")
				}
				return
			}
			if starts > 1 {
				t.Fatal("the start of a non-repeatable job was sent twice")
			}
		}
	})
}

// Guards against a crash of the leader from concurrent writes to a map: the
// executor of operations on VMs asks from several goroutines whether the VMs of
// drains are idle.
func TestIsIdleIsSafeForConcurrentUse(t *testing.T) {
	s := New(Options{StateMachine: state.New(), Clock: &clock.Fake{}})
	l := newLeadership(s, t.Context())
	vms := &apiv1.ObserveVms{}
	var wg sync.WaitGroup
	for i := range 64 {
		vms.Observations = append(vms.Observations, &apiv1.VmObservation{Vm: fmt.Sprint("vm-", i), Pool: "p", AvailabilityZone: "z"})
	}
	s.opts.StateMachine.Apply(1, &apiv1.Command{Body: &apiv1.Command_ObserveVms{ObserveVms: vms}})
	for i := range 64 {
		wg.Go(func() {
			for range 200 {
				l.leavingViews.recordFirst(fmt.Sprint("op-", i), uint64(i))
				l.isIdle(&apiv1.Intent{OperationId: fmt.Sprint("op-", i), Vm: fmt.Sprint("vm-", i)})
			}
		})
	}
	wg.Wait()
	NewWithT(t).Expect(l.leavingViews.recordFirst("op-7", 99)).To(BeEquivalentTo(7))
}
