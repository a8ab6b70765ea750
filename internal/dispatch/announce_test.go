package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// Guards against an announcement that is acknowledged although its content was
// not committed: the minion repeats it, with the same number, after a failure.
func TestRepeatedAnnouncementIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		m := h.cluster.add("a")
		h.announce(m)
		record := m.record()
		record.Draining = true
		req := &apiv1.AnnounceMinionRequest{Minion: record, Sequence: uint64(time.Since(m.started).Milliseconds()) + 1}
		h.node.setDeposed(true)
		g.Expect(h.dispatcher.Announce(t.Context(), req)).NotTo(Succeed())
		h.node.setDeposed(false)
		g.Expect(h.dispatcher.Announce(t.Context(), req)).To(Succeed())
		draining := false
		h.node.machine.Read(func(s *state.State) { draining = s.Batch.Minion("a").Draining })
		g.Expect(draining).To(BeTrue())
	})
}

// Guards against new work for a minion that has left, after a restart of the
// leader: an announcement from before, which the network delayed, arrives at the
// next leader.
func TestMinionThatLeftGetsNoWorkFromTheNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		m := h.cluster.add("a")
		h.announce(m)
		time.Sleep(maxNoticeDelay) // the notice can't be a delayed one of an earlier incarnation
		leaves := &apiv1.AnnounceMinionRequest{Minion: &apiv1.BatchMinion{Life: &apiv1.MinionLife{Id: "a"}}, Leaves: true}
		g.Expect(h.dispatcher.Announce(t.Context(), leaves)).To(Succeed())
		h.endTerm()
		h.startTerm()
		h.announce(m) // says that the minion is ready
		h.submit("job0", 1)
		time.Sleep(5 * time.Second)
		g.Expect(h.cluster.starts).To(BeZero())
		h.cluster.mu.Lock()
		m.kill()
		m.unreachable = true
		h.cluster.mu.Unlock()
		time.Sleep(5 * testMaxLease)
		h.announce(m)
		h.announce(h.cluster.add("b"))
		time.Sleep(3 * time.Second)
		g.Expect(h.completed(1)).To(Equal(1))
	})
}

// Guards against starts that bring a minion over its capacity after it has shrunk:
// an announcement from before, which the network delayed, arrives at the next
// leader.
func TestNextLeaderKeepsTheLaterCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.cluster.endless = true
		m := h.cluster.add("a")
		delayed := &apiv1.AnnounceMinionRequest{Minion: m.record(), Sequence: uint64(time.Since(m.started).Milliseconds())}
		time.Sleep(time.Second)
		h.setCapacity(m, 2*taskCPUMillis)
		h.announce(m)
		time.Sleep(shrinkGrace + time.Second)
		h.endTerm()
		h.startTerm()
		g.Expect(h.dispatcher.Announce(t.Context(), delayed)).To(Succeed())
		h.submit("job0", 4)
		time.Sleep(5 * time.Second)
		g.Expect(h.runningOn(m)).To(Equal(2))
	})
}
