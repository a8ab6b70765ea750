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
