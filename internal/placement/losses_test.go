package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// lose sets the number of unexplained losses of minions under each task of a job's
// first step, whose occurrence has begun.
func (h *harness) lose(id string, losses int) {
	st := h.state.Job(id).Occurrence(0).Steps[0]
	lostOn := func() []*apiv1.MinionLife {
		var out []*apiv1.MinionLife
		for i := range losses {
			out = append(out, &apiv1.MinionLife{Id: fmt.Sprint("lost", i)})
		}
		return out
	}
	st.GangLostOn = lostOn()
	for _, t := range st.Tasks {
		t.LostOn = lostOn()
	}
}

// Load: steady small work on two minions, and a task that minions were lost under.
// Guards against tasks that share minions although two losses, or a crash and a loss,
// count under one of them, and against one that waits for ever, while another job has
// an isolated task.
func TestTaskWithLossesRunsAlone(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for crashes := range uint32(3) {
			t.Run(fmt.Sprint("gang ", gang, ", crashes ", crashes), func(t *testing.T) {
				g, h := NewWithT(t), newHarness(nil)
				h.addMinion("m0", 10_000)
				h.addMinion("m1", 10_000)
				h.submit("a", "q", newStep(1, 1000))
				busy := h.round()["a"][0]
				step := newStep(1, 100)
				step.Gang = gang
				h.submitCrashed("lost", crashes, step)
				h.lose("lost", 2-int(crashes))
				h.submit("b", "q", newStep(1, 1000))
				starts := h.round()
				g.Expect(starts["lost"]).To(HaveLen(1))
				g.Expect(starts["lost"][0]).NotTo(Equal(busy))
				h.submit("c", "q", newStep(30, 1000))
				g.Expect(distinct(h.round()["c"])).To(Equal(map[string]bool{busy: true}))
			})
		}
	}
}
