package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against a task that waits without a log that tells why, and against a log line
// in each round.
func TestReasonsOfWaitingTasksAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		h.announce(h.cluster.add("m0"))
		time.Sleep(2 * time.Second)
		hook := logtest.NewLocal(h.log.Logger)
		h.cluster.endless = true
		h.submit("job0", 5)
		time.Sleep(3 * waitLogInterval)
		lines := 0
		for _, e := range hook.AllEntries() {
			if e.Message != waitingTasksMessage {
				continue
			}
			lines++
			g.Expect(e.Data).To(HaveKeyWithValue("pool", "p"))
			g.Expect(e.Data).To(HaveKeyWithValue("finite", map[string]int{"cpu": 1}))
			g.Expect(e.Data).To(HaveKeyWithValue("examples", HaveKeyWithValue("cpu", HavePrefix("job0.0.0."))))
		}
		g.Expect(lines).To(BeNumerically("~", 3, 1))
	})
}
