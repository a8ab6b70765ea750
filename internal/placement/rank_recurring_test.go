package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// submitRecurring adds a job of account "a" to queue "q" whose occurrences are due in
// intervals from firstDueMS.
func (h *harness) submitRecurring(firstDueMS int64, id string, repetitions, intervalMS uint32, steps ...*apiv1.BatchStep) {
	h.applyAt(nowMS, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: id, Queue: "q", Account: "a", Steps: steps, AcceptedQueue: h.state.Catalog().Queues[0],
		FirstDueUnixMs: firstDueMS, Repetitions: repetitions, IntervalMs: intervalMS,
	}}})
}

// Guards against a recurring job that waits behind late work of its pool, although the
// occurrence that is due now can be on time: only the first occurrence is over.
func TestRecurringJobIsRankedByTheOccurrenceThatIsDue(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	m := h.addMinion("m", 1000)
	h.submitRecurring(nowMS-20_000, "recurring", 2, 20_000, newStep(1, 1000))
	first := &apiv1.TaskName{JobId: "recurring"}
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: []*apiv1.StartedRun{{Task: first, Run: 1, Minion: m.Message()}}}}})
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Ends: []*apiv1.EndedRun{{Task: first, Run: 1, End: apiv1.RunEnd_RUN_END_DONE}}}}})
	h.submitAt(nowMS-2000, "late", "q", newStep(1, 1000))
	g.Expect(minionsByJob(h.plan())).To(Equal(map[string][]string{"recurring": {"m"}}))
}
