package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Load: a job whose tasks are larger than what is left of their account's limit, beside
// small ones. Guards against a job that waits for as long as the account runs anything,
// and against a round that exceeds the limit by more than one task.
func TestRoundExceedsTheLimitByOneTaskAtMost(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(&apiv1.Resources{CpuMillis: 5000})
	h.addMinion("m", 100_000)
	h.submit("small", "q", newStep(1, 2000))
	g.Expect(h.plan()).To(HaveLen(1))
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: h.plan()}}})
	h.submit("large", "q", newStep(3, 4000))
	g.Expect(h.plan()).To(HaveLen(1))
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: h.plan()}}})
	g.Expect(h.plan()).To(BeEmpty())
}

// Load: a gang of which only the last member exceeds the account's limit. Guards against
// a gang that never starts although the account runs nothing.
func TestGangMayExceedTheLimitByItsLastMember(t *testing.T) {
	g := NewWithT(t)
	for members, starts := range map[uint32]int{3: 3, 4: 0} {
		h := newHarness(&apiv1.Resources{CpuMillis: 5000})
		h.addMinion("m", 100_000)
		gang := newStep(members, 2000)
		gang.Gang = true
		h.submit("gang", "q", gang)
		g.Expect(h.plan()).To(HaveLen(starts))
	}
}

// Load: a backlog, and a task or gang with two crashes that exceeds its account's limit by
// one task. Guards against work that waits for ever in isolation, since only what stays
// within the limit gets a minion of its own.
func TestIsolatedWorkMayExceedTheLimitByOneTask(t *testing.T) {
	g := NewWithT(t)
	task := newStep(1, 100)
	task.Resources.MemoryMb = 60_000
	gang := newStep(2, 100)
	gang.Resources.MemoryMb, gang.Gang = 49_000, true
	for name, step := range map[string]*apiv1.BatchStep{"task": task, "gang": gang} {
		h := newLoadedPool(4)
		h.submitCrashed("deadly", 2, step)
		h.endRuns(1)
		h.round()
		h.endRuns(1)
		g.Expect(h.round()["deadly"]).To(HaveLen(int(step.Count)), name)
	}
}
