package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Load: many starts wait for a slot of one minion when it vanishes with long-running
// tasks. Guards against starts that renew the lease of a minion that doesn't answer, so
// that its runs are released late.
func TestWaitingStartsDoNotRenewTheLeaseOfASilentMinion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer func() { h.endTerm() }()
		h.restartWithLease(4 * time.Second)
		a := h.cluster.add("a")
		h.setCapacity(a, 100*taskCPUMillis)
		h.announce(a)
		h.submitLongRunning("job0", 3, 1)
		time.Sleep(2 * longestAccepted)
		g.Expect(h.runningOn(a)).To(Equal(3))
		h.setUnreachable(a, true)
		h.cluster.mu.Lock()
		a.kill()
		h.cluster.mu.Unlock()
		h.submit("job1", 40)
		h.commitStarts("job1", 40, a)
		b := h.cluster.add("b")
		h.setCapacity(b, 100*taskCPUMillis)
		h.announce(b)
		time.Sleep(maxDowntime)
		g.Expect(h.runsOn(b, "job0")).To(Equal(3))
	})
}

// runsOn returns the number of the job's runs that a minion executes.
func (h *harness) runsOn(m *fakeMinion, job string) (n int) {
	h.cluster.mu.Lock()
	defer h.cluster.mu.Unlock()
	for key := range m.running {
		if key.Job == job {
			n++
		}
	}
	return n
}
