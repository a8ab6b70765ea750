package batch

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against an older announcement of a minion that replaces a later one, when
// the two are committed in the other order, and against a minion that gets work
// again after one of them said that it drains.
func TestLaterAnnouncementStays(t *testing.T) {
	f := newFixture(t)
	announce := func(startedMS int64, sequence uint64, cpu uint32, draining bool) (uint32, bool) {
		f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{
			Life: Incarnation{"m", startedMS}.Message(), Capacity: &apiv1.Resources{CpuMillis: cpu}, Draining: draining, Sequence: sequence,
		}}}}})
		m := f.s.Minion("m")
		return m.Capacity.CpuMillis, m.Draining
	}
	expect := func(cpu uint32, draining bool) func(uint32, bool) {
		return func(gotCPU uint32, gotDraining bool) {
			t.Helper()
			f.Expect([]any{gotCPU, gotDraining}).To(Equal([]any{cpu, draining}))
		}
	}
	expect(4000, false)(announce(1, 2, 4000, false))
	expect(2000, false)(announce(1, 3, 2000, false))
	expect(2000, false)(announce(1, 2, 4000, false))
	expect(2000, true)(announce(1, 2, 4000, true))
	expect(3000, true)(announce(1, 4, 3000, false))
	expect(1000, false)(announce(2, 1, 1000, false))
}
