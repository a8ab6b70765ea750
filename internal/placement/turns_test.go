package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// submitAs adds a job of an account to queue "q" of a roomHarness.
func (h *roomHarness) submitAs(account, id string, submittedMS int64, steps ...*apiv1.BatchStep) {
	h.applyAt(submittedMS, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: id, Queue: h.queue.Name, Account: account, AcceptedQueue: h.queue, Steps: steps,
	}}})
}

// Load: one account at eight times its usual. Guards against the few jobs of a small
// account that wait behind the flood of a large one, whose jobs are newer.
func TestFewJobsDoNotWaitBehindAFlood(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"large": 1, "small": 1}, nil)
	h.submitAs("small", "few", nowMS, newStep(4, 100))
	for i := range 50 {
		h.submitAs("large", fmt.Sprintf("flood%02d", i), nowMS+1, newStep(4, 100))
	}
	starts := Plan(Input{State: h.state, NowUnixMS: nowMS + 1, Health: h.health, MaxStarts: 8})
	g.Expect(minionsByJob(starts)).To(HaveKeyWithValue("few", HaveLen(4)))
}

// Guards against turns that start anew each round: an account that has had much of the
// pool yields to one that has had nothing, also under a new leader.
func TestAccountThatUsedMuchYields(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"used": 1, "new": 1}, nil)
	h.submitAs("used", "before", nowMS, newStep(4, 16_000))
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: h.plan()}}})
	ends := &apiv1.UpdateRuns{}
	for i := range uint32(4) {
		ends.Ends = append(ends.Ends, &apiv1.EndedRun{Task: &apiv1.TaskName{JobId: "before", Index: i}, Run: 1, End: apiv1.RunEnd_RUN_END_DONE})
	}
	h.applyAt(nowMS+500, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: ends}})
	h.state.Restore(h.state.Snapshot()) // as a new leader has it
	h.submitAs("new", "older", nowMS+500, newStep(4, 100))
	h.submitAs("used", "newer", nowMS+501, newStep(4, 100))
	starts := Plan(Input{State: h.state, NowUnixMS: nowMS + 501, Health: h.health, MaxStarts: 4})
	g.Expect(minionsByJob(starts)).To(HaveKey("older"))
}

// Guards against worthless work of an urgent queue that holds up a less urgent job which
// can still be on time.
func TestWorthlessJobsYieldToLessUrgentOnes(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 1000)
	h.submitAt(nowMS-60_000, "worthless", "q", newStep(1, 1000))
	h.submitAt(nowMS, "less-urgent", "low", newStep(1, 1000))
	g.Expect(minionsByJob(h.plan())).To(Equal(map[string][]string{"less-urgent": {"m"}}))
}

// Guards against shares that aren't in proportion to the weights, that exceed the amount
// or what is wanted, and against an unused share that isn't lent.
func TestWeightedShares(t *testing.T) {
	g := NewWithT(t)
	weights := map[string]int64{"a": 1, "b": 3, "c": 1}
	shares := weightedShares(100, map[string]int64{"a": 1000, "b": 1000, "c": 5}, func(name string) int64 { return weights[name] })
	g.Expect(shares["c"]).To(BeNumerically("==", 5))
	g.Expect(shares["a"]).To(BeNumerically("~", 24, 1))
	g.Expect(shares["a"] + shares["b"] + shares["c"]).To(BeNumerically("==", 100))
}
