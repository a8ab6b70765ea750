package placement

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the demand of jobs that are late already counting like that of
// jobs which can still be on time. The queue's limit is one and a half times the
// critical path of 0.5 s, plus 0.5 s.
func TestLateJobsAreALesserDemand(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.submit("j", "q", newStep(4, 1000))
	const slack = 750
	estimate := int64(h.state.Job("j").Steps[0].EstimatedMs)
	d := Demands(h.state, nowMS+slack)["p"]
	g.Expect(d.Ready).To(BeNumerically("==", 4000))
	g.Expect(d.Late).To(BeZero())
	d = Demands(h.state, nowMS+slack+1)["p"]
	g.Expect(d.Ready).To(BeZero())
	g.Expect(d.Late).To(Equal(4000 * estimate / lateDrainMS))
	g.Expect(d.ArrivalRate).To(BeZero())
}

// Load: tasks that need much memory and little CPU. Guards against a pool that is sized by
// CPU alone, where hundreds of tasks wait for memory beside idle cores.
func TestDemandCountsTheScarcestResource(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 16_000)
	h.state.Minion("m").Capacity.MemoryMb = 32_000
	step := newStep(10, 1000)
	step.Resources.MemoryMb = 8000
	h.submit("j", "q", step)
	d := Demands(h.state, nowMS)["p"]
	g.Expect(d.Ready).To(BeNumerically("==", 40_000), "a quarter of a machine each")
	g.Expect(d.FiniteCPU).To(Equal(d.Ready))
}
