package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// Guards against a task that counts as available again, so that another one of its step
// is ended, although the stop of its relocation was sent: only the answer was lost, and
// the minion may have carried it out or may still do so.
func TestRelocationWhoseStopWasSentIsNotAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := newSpreadWaveHarness(t)
		defer h.endTerm()
		m, _ := h.minionOf("m0")
		d := h.dispatcher
		s := d.session(batch.Incarnation{ID: "m0", StartedMS: m.startedMS})
		var run batch.RunKey
		h.node.machine.Read(func(st *state.State) { run = st.Batch.LoadOf(s.target.Incarnation).Runs()[0].Key() })
		g.Expect(d.fleet.availableTasks()).To(HaveLen(longRunningTasks))
		s.mu.Lock()
		o := s.orders[run]
		o.state, o.stopRequested, o.relocating = orderStopping, true, true
		s.mu.Unlock()
		g.Expect(s.decideStop(run, o)).To(Equal(stopSend))
		// The stop is sent and not answered. Another task becomes unavailable.
		other, _ := h.minionOf("m1")
		other.crash()
		time.Sleep(time.Second)
		g.Expect(s.decideStop(run, o)).To(Equal(stopWait))
		g.Expect(d.fleet.availableTasks()).NotTo(HaveKey(run.TaskRef))
		h.announce(h.cluster.add("m1"))
		time.Sleep(3 * time.Second)
		g.Expect(s.decideStop(run, o)).To(Equal(stopSend))
	})
}
