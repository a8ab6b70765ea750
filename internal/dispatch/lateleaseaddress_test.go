package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run of a task on a silent minion that may hold the longest
// lease, from a call for its earlier incarnation, when another writer announces a later
// incarnation at another address: the session that replaces the silent one's must know of
// that lease.
func TestAnnouncedRestartAtAnotherAddressAwaitsTheLateLease(t *testing.T) {
	testAnnouncedRestartAwaitsTheLateLease(t, "a2")
}

// Guards against the same when the later incarnation is announced at the address of the
// silent one first, and at another one while the runs wait for the end of the lease: the
// session that is replaced then must not release them.
func TestAnnouncedChangeOfAddressDuringRestartAwaitsTheLateLease(t *testing.T) {
	testAnnouncedRestartAwaitsTheLateLease(t, "a", "a2")
}

// testAnnouncedRestartAwaitsTheLateLease has a later incarnation of a silent minion
// announced at one address after the other.
func testAnnouncedRestartAwaitsTheLateLease(t *testing.T, addresses ...string) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(shortLease)
		h.announce(h.cluster.add("a"))
		time.Sleep(2 * longestAccepted)
		silent := h.restartMinion("a")
		h.takeWork(silent)
		g.Expect(h.runningOn(silent)).To(Equal(3))
		other := h.cluster.add("b")
		h.announce(other)
		h.setUnreachable(silent, true)
		later := *silent
		later.startedMS = time.Now().UnixMilli()
		// The fake cluster fails the test if a task starts on another minion meanwhile.
		for _, later.address = range addresses {
			h.announce(&later)
			time.Sleep(holdWait + 2*holdGrace) // the session notices it by then
		}
		time.Sleep(3 * longestAccepted)
		g.Expect(h.runningOn(other)).To(Equal(3))
	})
}
