package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// maxDowntime is how long after the end of its last run a long-running task has
	// to run again while there is room for it.
	maxDowntime = 6 * time.Second
	// drainTime is how long a minion that drains goes on at least.
	drainTime = 2 * time.Second
	// longestAccepted is the longest lease that minions accept in these tests. Leaders
	// give a shorter one.
	longestAccepted = 10 * time.Second
)

// submitLongRunning submits a job of tasks that run until it is canceled, of which
// maxUnavailable may be unavailable at the same time.
func (h *harness) submitLongRunning(id string, tasks, maxUnavailable uint32) {
	h.cluster.mu.Lock()
	h.cluster.endless = true
	h.cluster.mu.Unlock()
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: id, Queue: "q", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p", MaxAttempts: 3},
		Steps: []*apiv1.BatchStep{{
			Count: tasks, Resources: &apiv1.Resources{CpuMillis: taskCPUMillis}, LongRunning: true, MaxUnavailable: maxUnavailable,
		}},
	}}})
}

// restartWithLease begins a term whose leader gives leases of the given length to
// minions that accept up to longestAccepted.
func (h *harness) restartWithLease(lease time.Duration) {
	h.endTerm()
	h.lease, h.cluster.maxLease = lease, longestAccepted
	h.startTerm()
}

// running returns how many runs a minion executes.
func (h *harness) running(m *fakeMinion) int {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	m.advance()
	return len(m.running)
}

// drain has a minion announce that it is about to end.
func (h *harness) drain(m *fakeMinion) {
	h.cluster.mu.Lock()
	record := m.record()
	h.cluster.mu.Unlock()
	record.Draining = true
	req := &apiv1.AnnounceMinionRequest{Minion: record, Sequence: uint64(time.Now().UnixMilli()) + 1}
	if err := h.dispatcher.Announce(h.t.Context(), req); err != nil {
		h.t.Error(err)
	}
}

// Guards against long-running tasks that stay down for the longest lease that minions
// accept, since the leader is new, although leaders give shorter leases.
func TestNewLeaderWaitsForTheLeasesThatWereGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(4 * time.Second)
		a := h.cluster.add("a")
		h.announce(a)
		h.submitLongRunning("job0", 3, 1)
		time.Sleep(2 * time.Second)
		g.Expect(h.running(a)).To(Equal(3))
		b := h.cluster.add("b")
		h.announce(b)
		time.Sleep(2 * longestAccepted)
		h.endTerm()
		h.startTerm()
		time.Sleep(500 * time.Millisecond)
		a.crash()
		time.Sleep(maxDowntime)
		g.Expect(h.running(b)).To(Equal(3))
	})
}

// Guards against the release of runs that still execute: a minion that has sent its
// notice of leaving goes on for a while, and the link to it refuses connections.
// Neither the notice nor the refusal says that its process has ended.
func TestRefusedConnectionAfterNoticeReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(4 * time.Second)
		a := h.cluster.add("a")
		h.announce(a)
		h.submitLongRunning("job0", 3, 1)
		time.Sleep(2 * longestAccepted)
		leaves := &apiv1.AnnounceMinionRequest{Minion: &apiv1.BatchMinion{Life: &apiv1.MinionLife{Id: "a"}}, Leaves: true}
		g.Expect(h.dispatcher.Announce(t.Context(), leaves)).To(Succeed())
		h.cluster.mu.Lock()
		a.refuses = true
		h.cluster.mu.Unlock()
		// The fake cluster fails the test if a task starts while it runs.
		h.announce(h.cluster.add("b"))
		time.Sleep(2 * time.Second)
		g.Expect(h.running(a)).To(Equal(3))
		time.Sleep(maxDowntime)
		g.Expect(h.runsOf("job0")).To(HaveLen(3))
		h.cluster.mu.Lock()
		defer h.cluster.mu.Unlock()
		g.Expect(h.cluster.starts).To(Equal(6))
	})
}

// Guards against long-running tasks that stay on a draining minion until it ends,
// and are down until its lease has ended, although another minion has room. They
// move one after the other when only one may be unavailable.
func TestLongRunningTasksLeaveDrainingMinion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		a := h.cluster.add("a")
		h.announce(a)
		h.submitLongRunning("job0", 3, 1)
		time.Sleep(2 * time.Second)
		b := h.cluster.add("b")
		h.announce(b)
		time.Sleep(time.Second)
		g.Expect(h.running(a)).To(Equal(3))
		h.drain(a)
		for start := time.Now(); time.Since(start) < drainTime; time.Sleep(10 * time.Millisecond) {
			g.Expect(h.running(a) + h.running(b)).To(BeNumerically(">=", 2))
		}
		g.Expect(h.running(b)).To(Equal(3))
	})
}

// Guards against a minion that never gets work, since a notice of leaving of its
// earlier incarnation, which the network delayed, counts for the present one. Its
// later announcements say that it is ready.
func TestDelayedNoticeOfLeavingDoesNotConcernNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.announce(h.cluster.add("a"))
		time.Sleep(time.Second)
		next := h.cluster.add("a")
		h.announce(next)
		time.Sleep(time.Second)
		leaves := &apiv1.AnnounceMinionRequest{Minion: &apiv1.BatchMinion{Life: &apiv1.MinionLife{Id: "a"}}, Leaves: true}
		g.Expect(h.dispatcher.Announce(t.Context(), leaves)).To(Succeed())
		h.submitLongRunning("job0", 1, 1)
		for range 10 {
			time.Sleep(time.Second)
			h.announce(next)
		}
		g.Expect(h.running(next)).To(Equal(1))
	})
}
