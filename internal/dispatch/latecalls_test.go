package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// restartMinion starts the minion of an id again, at its address. A call that was meant
// for its earlier incarnation gives it the longest lease that it accepts.
func (h *harness) restartMinion(id string) *fakeMinion {
	next := h.cluster.add(id)
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	next.extendLease(time.Hour.Milliseconds())
	return next
}

// loseMinion adds a minion and cuts it off until its lease has ended and it is removed.
func (h *harness) loseMinion(id string) {
	m := h.cluster.add(id)
	h.announce(m)
	time.Sleep(2 * longestAccepted)
	h.setUnreachable(m, true)
	time.Sleep(2 * shortLease)
}

// takeWork has a minion run the three tasks of job0.
func (h *harness) takeWork(m *fakeMinion) {
	h.announce(m)
	h.submitLongRunning("job0", 3, 1)
	time.Sleep(3 * time.Second)
}

// Guards against a second run of a task that runs on a minion which started again under
// its id: a call for the incarnation before, which is repeated or late, has given it a
// longer lease than its leader's renewals.
func TestLateCallForEarlierIncarnationGivesNoSecondRun(t *testing.T) {
	for name, restart := range map[string]func(h *harness) *fakeMinion{
		"restart during a term": func(h *harness) *fakeMinion {
			h.announce(h.cluster.add("a"))
			time.Sleep(2 * longestAccepted)
			next := h.restartMinion("a")
			h.takeWork(next)
			return next
		},
		"return after the earlier incarnation was removed": func(h *harness) *fakeMinion {
			h.loseMinion("a")
			next := h.restartMinion("a")
			h.takeWork(next)
			return next
		},
		"return to another leader than the one that removed it": func(h *harness) *fakeMinion {
			h.loseMinion("a")
			h.endTerm()
			h.startTerm()
			time.Sleep(2 * longestAccepted)
			next := h.restartMinion("a")
			h.takeWork(next)
			return next
		},
		"change of the leader while the time of day is wrong": func(h *harness) *fakeMinion {
			first := h.cluster.add("a")
			first.startedMS -= 2 * time.Hour.Milliseconds()
			h.announce(first)
			time.Sleep(2 * longestAccepted)
			next := h.restartMinion("a")
			next.startedMS -= time.Hour.Milliseconds()
			h.takeWork(next)
			h.setUnreachable(next, true)
			h.endTerm()
			h.startTerm()
			return next
		},
		"change of the address": func(h *harness) *fakeMinion {
			h.announce(h.cluster.add("a"))
			time.Sleep(2 * longestAccepted)
			next := h.restartMinion("a")
			h.takeWork(next)
			h.cluster.mu.Lock()
			next.address, next.unreachable = "a2", true
			h.cluster.minions["a2"] = next
			delete(h.cluster.minions, "a")
			h.cluster.mu.Unlock()
			h.announce(next)
			return next
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 1)
				defer func() { h.endTerm() }()
				h.restartWithLease(shortLease)
				next := restart(h)
				g.Expect(h.runningOn(next)).To(Equal(3))
				h.setUnreachable(next, true)
				other := h.cluster.add("b")
				h.announce(other)
				time.Sleep(2 * longestAccepted)
				g.Expect(h.runningOn(other)).To(Equal(3))
			})
		})
	}
}

// Guards against tasks that stay down for the longest lease that minions accept, because
// their minion started again under its id some time ago.
func TestRestartedMinionIsReleasedAsOthersAfterTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(shortLease)
		h.announce(h.cluster.add("a"))
		time.Sleep(time.Second)
		next := h.restartMinion("a")
		h.takeWork(next)
		time.Sleep(longestLease(longestAccepted) + 2*holdWait)
		h.endTerm()
		h.startTerm()
		other := h.cluster.add("b")
		h.announce(other)
		time.Sleep(2 * shortLease)
		h.setUnreachable(next, true)
		time.Sleep(longestLease(shortLease) + time.Second)
		g.Expect(h.runningOn(other)).To(Equal(3))
	})
}

// Guards against a task that is down for longer than maxDowntime because it was started
// on a minion which had just started again under its id, although another one had room,
// and against one that waits for such a minion to become like others.
func TestMinionThatJustRestartedIsTheLastChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(shortLease)
		h.announce(h.cluster.add("a"))
		time.Sleep(time.Second)
		other := h.cluster.add("b")
		h.setCapacity(other, taskCPUMillis)
		h.announce(other)
		next := h.restartMinion("a")
		h.announce(next)
		time.Sleep(3 * time.Second)
		h.submitLongRunning("job0", 2, 1)
		time.Sleep(time.Second)
		g.Expect(h.runningOn(other)).To(Equal(1))
		g.Expect(h.runningOn(next)).To(Equal(1), "no other one has room")
	})
}

// Guards against a state that grows with each minion that has ever ended.
func TestEndedIncarnationsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(shortLease)
		ended := func() (out []batch.Incarnation) {
			h.node.machine.Read(func(s *state.State) { out = s.Batch.UnusedEnded() })
			return out
		}
		lost := h.cluster.add("a")
		h.announce(lost)
		time.Sleep(time.Second)
		h.setUnreachable(lost, true)
		time.Sleep(2 * longestAccepted)
		g.Expect(ended()).To(HaveLen(1))
		h.endTerm()
		h.startTerm()
		time.Sleep(lateCallTime)
		g.Expect(ended()).To(HaveLen(1), "this leader has known of it for less than lateCallTime")
		time.Sleep(3 * forgetInterval)
		g.Expect(ended()).To(BeEmpty())
	})
}
