package dispatch

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// runsOf returns the committed runs of a job.
func (h *harness) runsOf(id string) []batch.RunKey {
	var out []batch.RunKey
	h.node.machine.Read(func(s *state.State) {
		for _, inc := range s.Batch.LoadedIncarnations() {
			for _, r := range s.Batch.LoadOf(inc).Runs() {
				if r.Job.Id == id {
					out = append(out, r.Key())
				}
			}
		}
	})
	return out
}

// setUnreachable cuts a minion off from the leader, or connects it again.
func (h *harness) setUnreachable(m *fakeMinion, unreachable bool) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	m.unreachable = unreachable
}

// Guards against work that is stopped or started again although its minion was
// only silent for 1.5 s of its lease of 4 s, also when the leader changes in
// that time.
func TestSilentMinionKeepsItsRuns(t *testing.T) {
	const silence = 1500 * time.Millisecond
	for name, leaderless := range map[string]time.Duration{"same leader": -1, "leader changes": 0, "leader changes after an election": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 1)
				defer func() { h.endTerm() }()
				h.endTerm()
				h.lease, h.cluster.maxLease, h.cluster.endless = 4*time.Second, 6*time.Second, true
				h.startTerm()
				silent := h.cluster.add("a")
				h.announce(silent)
				h.announce(h.cluster.add("b"))
				h.submit("job0", 3)
				for range 5 {
					time.Sleep(3 * time.Second)
					before := h.runsOf("job0")
					g.Expect(before).To(HaveLen(3))
					h.setUnreachable(silent, true)
					if leaderless >= 0 {
						h.endTerm()
						time.Sleep(leaderless)
						h.startTerm()
					}
					time.Sleep(silence - max(leaderless, 0))
					h.setUnreachable(silent, false)
					time.Sleep(2 * time.Second)
					g.Expect(h.runsOf("job0")).To(Equal(before))
				}
				g.Expect(h.cluster.starts).To(Equal(3))
			})
		})
	}
}

// Guards against a run that is stopped because a hold reply doesn't list it that
// was requested before the start order timed out: the minion may have begun the
// run after it wrote the reply.
func TestEarlierReplyDoesNotStopUncertainRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: 1}})
		key := batch.RunKey{TaskRef: batch.TaskRef{Job: "job0"}, Number: 1}
		o := &runOrder{state: orderUncertain, answeredAt: 2 * time.Second}
		s.orders[key] = o
		s.reconcile(&HoldReply{}, time.Second, 3*time.Second)
		g.Expect(o.stopRequested).To(BeFalse(), "the reply was requested before the start order timed out")
		s.reconcile(&HoldReply{}, 3*time.Second, 4*time.Second)
		g.Expect(o.stopRequested).To(BeTrue())
	})
}

// Guards against a second session of the same incarnation, after a change of its
// address, that takes the lease as over while the first session's last renewal
// still holds on a minion with a slow clock.
func TestNextSessionAwaitsTheLeaseOfTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		time.Sleep(10 * testMaxLease) // leases of earlier leaders are over
		target := Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: 1}}
		first := newSession(h.dispatcher, target)
		now := h.dispatcher.clock.Now()
		first.lease.observeClock(1000, now)
		first.lease.extend(now, testLease)
		g.Expect(newSession(h.dispatcher, target).lease.endsBy).To(BeNumerically(">=", first.lease.endsBy))
	})
}

// Guards against the loss of a minion's runs, or of the end that it can't be
// read from, because one row of its replies is malformed.
func TestUnreadableRowConcernsOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		s := newSession(h.dispatcher, Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: 1}})
		run := func(index uint32) batch.RunKey {
			return batch.RunKey{TaskRef: batch.TaskRef{Job: "job0", Index: index}, Number: 1}
		}
		for i := range uint32(3) {
			s.orders[run(i)] = &runOrder{state: orderStarted}
		}
		reply := &HoldReply{
			StartedMS: 1, Running: []RunStatus{{Run: run(0)}},
			Ended: []ReportedEnd{{EndNumber: 6, Run: run(1), End: apiv1.RunEnd_RUN_END_DONE}},
			// The end of the third run, number 5, cannot be read.
			Unreadable: errors.New("row"), AckableEnd: 4,
		}
		ends := s.reconcile(reply, time.Second, 2*time.Second)
		g.Expect(ends).To(HaveLen(1))
		g.Expect(s.orders[run(2)].stopRequested).To(BeFalse())
		g.Expect(reply.lastAckable()).To(BeNumerically("==", 4))
	})
}

// Guards against stop orders to a minion that doesn't answer, which take the
// connections that other minions need, and against connections that stay open
// after the minion's incarnation has ended.
func TestSilentMinionGetsNoStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.endTerm()
		h.lease, h.cluster.maxLease, h.cluster.endless = 4*time.Second, 6*time.Second, true
		h.startTerm()
		m := h.cluster.add("a")
		h.announce(m)
		h.submit("job0", 3)
		time.Sleep(2 * h.cluster.maxLease)
		h.setUnreachable(m, true)
		time.Sleep(holdWait + holdGrace + retryDelay)
		stops := func() int {
			h.cluster.mu.Lock()
			defer h.cluster.mu.Unlock()
			return h.cluster.stops
		}
		before := stops()
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: "job0", AnyAccount: true}}})
		time.Sleep(2 * h.cluster.maxLease)
		g.Expect(stops()).To(Equal(before))
		g.Expect(h.cluster.disconnected).To(HaveKey(batch.Incarnation{ID: "a", StartedMS: m.startedMS}))
	})
}

// Guards against the runs of an earlier leader that are stopped as uncommitted because
// a minion lists them to a new session before the planning loop has synced it.
func TestNewSessionKnowsCommittedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		h.cluster.endless = true
		m := h.cluster.add("a")
		h.announce(m)
		h.submit("job0", 3)
		time.Sleep(3 * time.Second)
		before := h.runsOf("job0")
		g.Expect(before).To(HaveLen(3))
		h.endTerm()
		ctx, cancel := context.WithCancel(t.Context())
		d := New(ctx, h.term+1, h.dispatcher.opts, h.metrics)
		defer func() {
			cancel()
			d.wg.Wait()
		}()
		d.openSessions([]sessionTarget{{Target: Target{Incarnation: batch.Incarnation{ID: "a", StartedMS: m.startedMS}, Address: m.address}, recorded: true}})
		time.Sleep(500 * time.Millisecond)
		h.cluster.mu.Lock()
		defer h.cluster.mu.Unlock()
		g.Expect(m.running).To(HaveLen(3))
	})
}

// Guards against tasks of a silent minion that stay down for longer than its lease,
// since its end is noticed only when the last call to it has timed out.
func TestSilentMinionIsReleasedWhenItsLeaseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(4 * time.Second)
		a := h.cluster.add("a")
		h.announce(a)
		h.submitLongRunning("job0", 3, 1)
		time.Sleep(2 * longestAccepted)
		b := h.cluster.add("b")
		h.announce(b)
		time.Sleep(time.Second)
		// The silence begins at each phase of the hold calls.
		for i := range 10 {
			time.Sleep(5*time.Second + time.Duration(i)*130*time.Millisecond)
			h.setUnreachable(a, true)
			synctest.Wait() // an answer that arrives at this moment renews the lease
			leaseEnd := h.leaseEnd(a)
			time.Sleep(time.Until(leaseEnd) + 300*time.Millisecond)
			g.Expect(h.runningOn(b)).To(Equal(3), "silence %d", i)
			a, b = b, h.cluster.add(fmt.Sprint("next", i))
			h.announce(b)
		}
	})
}

// leaseEnd returns when the leader takes the lease of a minion as ended.
func (h *harness) leaseEnd(m *fakeMinion) time.Time {
	h.dispatcher.mu.Lock()
	s := h.dispatcher.sessions[batch.Incarnation{ID: m.id, StartedMS: m.startedMS}]
	h.dispatcher.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return h.start.Add(s.lease.endsBy)
}

// Guards against a lease that lapses, with all runs on the minion, because its renewal
// waits for the commit of an end, which takes longer than the lease on a busy leader.
func TestSlowCommitOfEndsRenewsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		h.cluster.endless = true
		m := h.cluster.add("a")
		h.announce(m)
		h.submit("job0", 3)
		time.Sleep(2 * time.Second)
		runs := h.runsOf("job0")
		g.Expect(runs).To(HaveLen(3))
		h.setCommitTime(3 * testMaxLease)
		h.cluster.mu.Lock()
		m.finish(runs[0], apiv1.RunEnd_RUN_END_DONE)
		h.cluster.mu.Unlock()
		for range 6 * testMaxLease / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			h.cluster.mu.Lock()
			m.advance()
			_, first := m.running[runs[1]]
			_, second := m.running[runs[2]]
			h.cluster.mu.Unlock()
			g.Expect(first && second).To(BeTrue(), "the lease has lapsed")
		}
	})
}

// Guards against a lease that lapses after a change of the leader, because its first
// renewal by the new leader waits for the commit of the ends that the minion lists.
func TestNextLeaderRenewsLeaseBeforeCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.cluster.endless = true
		m := h.cluster.add("a")
		h.announce(m)
		h.submit("job0", 3)
		time.Sleep(2 * time.Second)
		runs := h.runsOf("job0")
		g.Expect(runs).To(HaveLen(3))
		h.endTerm()
		h.cluster.mu.Lock()
		m.finish(runs[0], apiv1.RunEnd_RUN_END_DONE)
		left := time.Duration(m.leaseUntilMS-m.clock()) * time.Millisecond
		h.cluster.mu.Unlock()
		h.setCommitTime(testMaxLease)
		time.Sleep(left - 100*time.Millisecond)
		h.startTerm()
		for range 2 * testMaxLease / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			h.cluster.mu.Lock()
			m.advance()
			running := len(m.running)
			h.cluster.mu.Unlock()
			g.Expect(running).To(Equal(2), "the lease has lapsed")
		}
	})
}

// Guards against a leader that stops to renew leases although a quorum confirms it,
// since a busy process takes 0.7 s for each confirmation.
func TestSlowConfirmationsKeepTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		h.node.mu.Lock()
		h.node.confirmTime = 700 * time.Millisecond
		h.node.mu.Unlock()
		time.Sleep(2 * time.Second)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			g.Expect(h.dispatcher.leadershipConfirmed()).To(BeTrue())
		}
		h.node.setDeposed(true)
		time.Sleep(leadershipTTL)
		g.Expect(h.dispatcher.leadershipConfirmed()).To(BeFalse(), "a confirmation counts from its request")
	})
}
