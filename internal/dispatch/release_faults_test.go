package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a second run of a task that lasts, and against one that never runs again,
// under random losses and returns of minions, changes of the leader, lost calls and late
// ones. Leaders give far shorter leases than minions accept.
func TestRandomFaultsOfLongRunningTasks(t *testing.T) {
	for seed := range uint64(25) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, seed)
				defer func() { h.endTerm() }()
				h.restartWithLease(shortLease)
				for i := range 3 {
					h.announce(h.cluster.add(fmt.Sprint("m", i)))
				}
				h.submitLongRunning("job0", 4, 1)
				setLoss := func(percent int) {
					h.cluster.mu.Lock()
					defer h.cluster.mu.Unlock()
					h.cluster.lostRequestPercent, h.cluster.lostReplyPercent, h.cluster.delayedRequestPercent = percent, percent, percent
				}
				setLoss(4)
				for range 120 {
					h.injectFault()
					time.Sleep(500 * time.Millisecond)
				}
				setLoss(0)
				for i := range 3 {
					h.restart(fmt.Sprint("m", i))
				}
				h.minionWithRoom("spare") // the others may have lost theirs
				time.Sleep(40 * time.Second)
				NewWithT(t).Expect(h.runsOf("job0")).To(HaveLen(4))
			})
		})
	}
}
