package dispatch

import (
	"fmt"
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
	h.submitLongRunningOf("", id, tasks, maxUnavailable)
}

// submitLongRunningOf is submitLongRunning for a job of a client account.
func (h *harness) submitLongRunningOf(account, id string, tasks, maxUnavailable uint32) {
	h.cluster.mu.Lock()
	h.cluster.endless = true
	h.cluster.mu.Unlock()
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: id, Queue: "q", Account: account, AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p", MaxAttempts: 3},
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

// drain has a minion announce that it is about to end.
func (h *harness) drain(m *fakeMinion) {
	h.cluster.mu.Lock()
	record := m.record()
	h.cluster.mu.Unlock()
	record.Draining = true
	req := &apiv1.AnnounceMinionRequest{Minion: record, Sequence: uint64(time.Since(m.started).Milliseconds()) + 1}
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
		g.Expect(h.runningOn(a)).To(Equal(3))
		b := h.cluster.add("b")
		h.announce(b)
		time.Sleep(2 * longestAccepted)
		h.endTerm()
		h.startTerm()
		time.Sleep(500 * time.Millisecond)
		a.crash()
		time.Sleep(maxDowntime)
		g.Expect(h.runningOn(b)).To(Equal(3))
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
		g.Expect(h.runningOn(a)).To(Equal(3))
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
		h.submitLongRunning("job0", 4, 1)
		time.Sleep(2 * time.Second)
		b := h.cluster.add("b")
		h.announce(b)
		time.Sleep(time.Second)
		g.Expect(h.runningOn(a)).To(Equal(4))
		h.setCommitTime(20 * time.Millisecond)
		h.drain(a)
		for start := time.Now(); time.Since(start) < drainTime; time.Sleep(5 * time.Millisecond) {
			g.Expect(h.runningOn(a) + h.runningOn(b)).To(BeNumerically(">=", 3))
		}
		g.Expect(h.runningOn(b)).To(Equal(4))
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
		g.Expect(h.runningOn(next)).To(Equal(1))
	})
}

// Guards against a long-running task that is stopped on a draining minion although no
// other minion has room for it: it would be down for the rest of the minion's time.
func TestLongRunningTaskStaysWithoutRoomElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		a := h.cluster.add("a")
		h.announce(a)
		h.submitLongRunning("job0", 2, 2)
		h.submitLongRunning("job1", 1, 2)
		time.Sleep(2 * time.Second)
		b := h.cluster.add("b")
		h.setCapacity(b, 2*taskCPUMillis)
		h.announce(b)
		time.Sleep(time.Second)
		h.drain(a)
		time.Sleep(drainTime)
		g.Expect(h.runningOn(a)).To(Equal(1))
		g.Expect(h.runningOn(b)).To(Equal(2))
	})
}

// Guards against two tasks of different draining minions that are stopped for the same
// room elsewhere: the second one is looked at while the first one is on its way.
func TestRoomIsKeptForTaskOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		var minions []*fakeMinion
		for i := range 3 {
			m := h.cluster.add(fmt.Sprint("m", i))
			h.setCapacity(m, taskCPUMillis)
			h.announce(m)
			if i < 2 {
				h.submitLongRunning(fmt.Sprint("job", i), 1, 1)
			}
			time.Sleep(2 * time.Second)
			minions = append(minions, m)
		}
		h.setCommitTime(300 * time.Millisecond)
		h.drain(minions[0])
		time.Sleep(relocationCheckInterval + 10*time.Millisecond)
		h.drain(minions[1])
		time.Sleep(drainTime)
		g.Expect(h.runningOn(minions[1])).To(Equal(1))
		g.Expect(h.runningOn(minions[2])).To(Equal(1))
	})
}

// Guards against a wave that takes a machine down while a task of the same step is on
// its way from a draining minion, at any time of a round.
func TestWaveAwaitsTasksThatLeaveDrainingMinion(t *testing.T) {
	for offset := time.Duration(0); offset <= 3*fleetInterval; offset += 3 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			h, p := newWaveHarness(t)
			defer h.endTerm()
			h.setCommitTime(5 * time.Millisecond)
			for i := range 3 {
				if m := h.cluster.minions[fmt.Sprint("m", i)]; h.runningOn(m) > 0 {
					h.drain(m)
					break
				}
			}
			time.Sleep(offset)
			h.startWave()
			time.Sleep(30 * time.Second)
			p.mu.Lock()
			defer p.mu.Unlock()
			g.Expect(p.maintained).To(ConsistOf("m0", "m1", "m2"))
			for i, interrupted := range p.interrupted {
				if interrupted > 0 {
					g.Expect(interrupted+p.unavailable[i]).To(BeNumerically("<=", 1), "%s", p.maintained[i])
				}
			}
		})
	}
}

// Guards against a long-running task that is not relocated from a draining minion because
// its account's limit was lowered meanwhile: once it is stopped, the account is below the
// limit, and the task may start again.
func TestTaskOfAccountAboveItsLimitLeavesDrainingMinion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		limit := func(version uint64, cpuMillis uint32) {
			h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
				Version: version, Pools: []*apiv1.BatchPool{{Name: "p"}}, Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3}},
				Accounts: []*apiv1.BatchAccount{{Name: "account", Limit: &apiv1.Resources{CpuMillis: cpuMillis}}},
			}}})
		}
		limit(2, 10*taskCPUMillis)
		a := h.cluster.add("a")
		h.announce(a)
		h.submitLongRunningOf("account", "job0", 2, 1)
		time.Sleep(2 * time.Second)
		b := h.cluster.add("b")
		h.announce(b)
		time.Sleep(time.Second)
		g.Expect(h.runningOn(a)).To(Equal(2))
		limit(3, taskCPUMillis*3/2)
		h.drain(a)
		time.Sleep(drainTime)
		g.Expect(h.runningOn(b)).To(Equal(2))
	})
}
