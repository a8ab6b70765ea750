package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// explain returns why tasks of pool "p" wait after a round of at most maxStarts starts.
func (h *harness) explain(maxStarts int) TaskWaits {
	var waiting map[string]TaskWaits
	Plan(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: maxStarts, Waiting: &waiting})
	return waiting["p"]
}

// Guards against logs that give a wrong reason, or none, for a task that waits.
func TestWaitingTasksAreExplained(t *testing.T) {
	long := func(count, cpu uint32) *apiv1.BatchStep {
		s := newStep(count, cpu)
		s.LongRunning = true
		return s
	}
	for name, c := range map[string]struct {
		change    func(s *apiv1.BatchStep, h *harness)
		maxStarts int
		want      map[WaitReason]int
	}{
		"no usable minion": {func(_ *apiv1.BatchStep, h *harness) { h.health = nil }, 9, map[WaitReason]int{WaitMinions: 3}},
		"label":            {func(s *apiv1.BatchStep, _ *harness) { s.RequiredLabel = "gpu" }, 9, map[WaitReason]int{WaitLabel: 3}},
		"size":             {func(s *apiv1.BatchStep, _ *harness) { s.Resources.CpuMillis = 9000 }, 9, map[WaitReason]int{WaitSize: 3}},
		"cpu":              {func(s *apiv1.BatchStep, _ *harness) { s.Resources.CpuMillis = 2000 }, 9, map[WaitReason]int{WaitCPU: 1}},
		"memory":           {func(s *apiv1.BatchStep, _ *harness) { s.Resources.MemoryMb = 40_000 }, 9, map[WaitReason]int{WaitMemory: 1}},
		"tasks per minion": {func(s *apiv1.BatchStep, _ *harness) { s.MaxPerMinion = 1 }, 9, map[WaitReason]int{WaitTasksPerMinion: 2}},
		"account": {func(s *apiv1.BatchStep, h *harness) {
			h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
				Version: 2, Pools: h.state.Catalog().Pools, Queues: h.state.Catalog().Queues,
				Accounts: []*apiv1.BatchAccount{{Name: "a", Limit: &apiv1.Resources{CpuMillis: 1000}}},
			}}})
		}, 9, map[WaitReason]int{WaitAccount: 2}},
		"starts": {func(*apiv1.BatchStep, *harness) {}, 2, map[WaitReason]int{WaitStarts: 1}},
		"none":   {func(*apiv1.BatchStep, *harness) {}, 9, nil},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(nil)
			h.addMinion("m", 5000)
			step := long(3, 1000)
			c.change(step, h)
			h.submit("j", "q", step)
			waits := h.explain(c.maxStarts)
			g.Expect(waits.LongRunning).To(Equal(c.want))
			for reason := range c.want {
				g.Expect(waits.Examples).To(HaveKeyWithValue(reason, HaveField("Job", "j")))
			}
			g.Expect(waits.Finite).To(BeEmpty())
		})
	}
}

// Guards against an explanation that takes long: it stops after a number of steps.
func TestExplanationIsBounded(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	for i := range 2 * maxExplainedSteps {
		h.submit(batch.TaskRef{Index: uint32(i)}.String(), "q", newStep(1, 1000))
	}
	g.Expect(h.explain(9).Finite).To(Equal(map[WaitReason]int{WaitMinions: maxExplainedSteps}))
}
