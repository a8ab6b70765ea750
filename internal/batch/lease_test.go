package batch

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a new leader that takes leases as over too early: the record of the
// longest lease is gone after a restart, or a command that was delayed overwrites a
// later one.
func TestLongestLeaseIsReplacedOnlyWhenKnown(t *testing.T) {
	f := newFixture(t)
	record := func(longest, replaces uint32) uint32 {
		cmd := &apiv1.RecordLongestLease{LongestMs: longest, ReplacesMs: replaces}
		f.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_RecordLongestLease{RecordLongestLease: cmd}})
		return f.s.LongestLeaseMS()
	}
	f.Expect(record(4000, 0)).To(BeEquivalentTo(4000))
	f.Expect(record(8000, 4000)).To(BeEquivalentTo(8000))
	f.Expect(record(2000, 4000)).To(BeEquivalentTo(8000))
	snap := f.s.Snapshot()
	f.s = New()
	f.s.Restore(snap)
	f.Expect(f.s.LongestLeaseMS()).To(BeEquivalentTo(8000))
}
