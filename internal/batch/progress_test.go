package batch

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a leader that does not notice that a run (one execution of a
// task) on a minion started, ended or became obsolete, that is, is no longer
// needed: the leader recomputes the orders for a minion only when the revision
// of the minion's load differs.
func TestRevisionFollowsWhatIsWanted(t *testing.T) {
	f := newFixture(t)
	f.submit("j", "a", step(2))
	incarnation := Incarnation{ID: "m1", StartedMS: 1}
	seen := map[uint64]bool{}
	expectNew := func(what string) {
		revision := f.s.RevisionOf(incarnation)
		f.Expect(seen[revision]).To(BeFalse(), what)
		seen[revision] = true
	}
	expectNew("nothing runs")
	f.Expect(f.start(ref("j", 0, 0), 1, "m1")).To(BeTrue())
	expectNew("a run began")
	f.Expect(f.start(ref("j", 0, 1), 1, "m1")).To(BeTrue())
	expectNew("another run began")
	f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: &apiv1.CancelBatchJob{JobId: "j", AnyAccount: true}}})
	expectNew("the job was canceled")
	f.end(ref("j", 0, 0), 1, done)
	expectNew("a run ended")
}
