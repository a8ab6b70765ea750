package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	shortLease = 2 * time.Second
	longLease  = 8 * time.Second
)

// recordedLease returns the recorded longest lease in ms.
func (h *harness) recordedLease() (ms uint32) {
	h.node.machine.Read(func(s *state.State) { ms = s.Batch.LongestLeaseMS() })
	return ms
}

// forgetLeaseRecord leaves the state as a leader of an earlier version leaves it.
func (h *harness) forgetLeaseRecord() {
	cmd := &apiv1.RecordLongestLease{ReplacesMs: h.recordedLease()}
	h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_RecordLongestLease{RecordLongestLease: cmd}})
}

// startOnSilentMinion runs the tasks of job0 on a minion under leases of the given
// length, cuts it off and ends the term. Another minion has room for them. The fake
// cluster fails the test if a task starts there while it runs on the first one.
func (h *harness) startOnSilentMinion(lease time.Duration) (silent, other *fakeMinion) {
	h.restartWithLease(lease)
	silent = h.cluster.add("a")
	h.announce(silent)
	h.submitLongRunning("job0", 3, 1)
	time.Sleep(2 * longestAccepted)
	other = h.cluster.add("b")
	h.announce(other)
	time.Sleep(time.Second)
	h.setUnreachable(silent, true)
	h.endTerm()
	return silent, other
}

// Guards against a second run of a task after lease was lowered: the
// leader's own leases are shorter than those that its predecessor gave, also when
// another leader with short leases was between the two.
func TestShorterLeaseAwaitsTheLongerOnes(t *testing.T) {
	for name, terms := range map[string]int{"next leader": 0, "second leader": 1, "third leader": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 1)
				defer func() { h.endTerm() }()
				h.restartWithLease(shortLease)
				time.Sleep(time.Second)
				_, other := h.startOnSilentMinion(longLease)
				g.Expect(h.recordedLease()).To(BeNumerically("==", longLease.Milliseconds()))
				h.lease = shortLease
				h.startTerm()
				for range terms {
					time.Sleep(shortLease)
					h.endTerm()
					h.startTerm()
				}
				time.Sleep(2 * longestAccepted)
				g.Expect(h.runningOn(other)).To(Equal(3))
				g.Expect(h.recordedLease()).To(BeNumerically("==", shortLease.Milliseconds()))
			})
		})
	}
}

// Guards against a leader that gives longer leases than a later one takes into account,
// since it has not recorded them.
func TestLongerLeaseIsRecordedBeforeItIsGiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(shortLease)
		a := h.cluster.add("a")
		h.announce(a)
		time.Sleep(2 * longestAccepted)
		given := func() int64 {
			h.cluster.mu.Lock()
			defer h.cluster.mu.Unlock()
			return a.leaseUntilMS - a.clock()
		}
		h.node.mu.Lock()
		h.node.leaseRecordFails = true
		h.node.mu.Unlock()
		h.restartWithLease(longLease)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			g.Expect(given()).To(BeNumerically("<=", shortLease.Milliseconds()))
		}
		g.Expect(given()).To(BeNumerically(">", 0), "it goes on with the recorded length")
		h.node.mu.Lock()
		h.node.leaseRecordFails = false
		h.node.mu.Unlock()
		time.Sleep(5 * time.Second)
		g.Expect(h.recordedLease()).To(BeNumerically("==", longLease.Milliseconds()))
		g.Expect(given()).To(BeNumerically(">", shortLease.Milliseconds()))
	})
}

// Guards against a second run of a task after an upgrade: a leader of a version that
// records no lease has given long ones, and short terms follow.
func TestStateWithoutRecordMeansTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		_, other := h.startOnSilentMinion(longLease)
		h.forgetLeaseRecord()
		h.lease = shortLease
		for range 2 {
			h.startTerm()
			time.Sleep(time.Second)
			h.endTerm()
		}
		h.startTerm()
		time.Sleep(2 * longestAccepted)
		g.Expect(h.runningOn(other)).To(Equal(3))
		g.Expect(h.recordedLease()).To(BeNumerically("==", shortLease.Milliseconds()))
	})
}

// Guards against a second run of a task that a new leader starts on an idle minion: the
// minion still holds the long lease of an earlier leader, which nobody recorded.
func TestIdleMinionMayHoldAnUnrecordedLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(longLease)
		silent := h.cluster.add("a")
		h.announce(silent)
		time.Sleep(2 * longestAccepted)
		h.endTerm()
		h.forgetLeaseRecord()
		h.lease = shortLease
		h.startTerm()
		h.announce(silent)
		h.submitLongRunning("job0", 3, 1)
		time.Sleep(time.Second)
		g.Expect(h.runningOn(silent)).To(Equal(3))
		h.setUnreachable(silent, true)
		other := h.cluster.add("b")
		h.announce(other)
		time.Sleep(2 * longestAccepted)
		g.Expect(h.runningOn(other)).To(Equal(3))
	})
}

// Guards against a second run of a task on a minion that started again under its id:
// a delayed renewal for its earlier incarnation gave it the longest lease that it
// accepts, whatever leaders give.
func TestYoungIncarnationMayHoldTheLongestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(shortLease)
		h.announce(h.cluster.add("a"))
		time.Sleep(2 * longestAccepted)
		next := h.cluster.add("a")
		h.cluster.mu.Lock()
		next.extendLease(time.Hour.Milliseconds())
		h.cluster.mu.Unlock()
		h.announce(next)
		h.submitLongRunning("job0", 3, 1)
		time.Sleep(3 * time.Second)
		g.Expect(h.runningOn(next)).To(Equal(3))
		h.setUnreachable(next, true)
		h.endTerm()
		h.startTerm()
		other := h.cluster.add("b")
		h.announce(other)
		time.Sleep(2 * longestAccepted)
		g.Expect(h.runningOn(other)).To(Equal(3))
	})
}
