package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a wave that is late without a log that tells why: the machine's tasks
// can't be spared, it isn't listed, or others of the wave are down.
func TestWaitsOfWaveAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newWaveHarness(t)
		defer h.endTerm()
		hook := logtest.NewLocal(h.log.Logger)
		h.propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: &apiv1.MaintenanceWave{
			Number: 1, Machines: []string{"m0", "m1", "m2", "no-such"}, MaxDown: 1, DueUnixMs: time.Now().Add(20 * time.Second).UnixMilli(),
		}}})
		time.Sleep(waveWaitLogInterval)
		seen := map[maintenanceWait]int{}
		lines := 0
		for _, e := range hook.AllEntries() {
			if e.Message != waveWaitsMessage {
				continue
			}
			lines++
			g.Expect(e.Level).To(Equal(logrus.InfoLevel))
			for reason, n := range e.Data["reasons"].(map[maintenanceWait]int) {
				seen[reason] += n
			}
			if example, ok := e.Data["examples"].(map[maintenanceWait]string)[waitAvailability]; ok {
				g.Expect(example).To(ContainSubstring("step long-running.0.0"))
			}
		}
		g.Expect(lines).To(BeNumerically("<=", 2))
		g.Expect(seen).To(HaveKey(waitNotListed))
		g.Expect(seen).To(HaveKey(waitAvailability))
	})
}
