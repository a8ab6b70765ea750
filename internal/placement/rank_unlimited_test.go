package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a job without a latency limit that never starts, since newer ones of
// its queue go before it as long as they arrive.
func TestOldestJobWithoutLimitGoesFirst(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 1000)
	h.submitAt(nowMS-60_000, "old", "low", newStep(1, 1000))
	h.submitAt(nowMS-1000, "new", "low", newStep(1, 1000))
	g.Expect(minionsByJob(h.plan())).To(Equal(map[string][]string{"old": {"m"}}))
}
