package batch

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

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

// Guards against a leader that doesn't update its orders for a minion whose load
// changed: any load that differs from that at an earlier revision has to be listed
// as changed since then, also after a snapshot is restored.
func TestChangedLoadsAreListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		_, _ = s.Apply(nowMS, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: testCatalog(1)}})
		active := func() []RunKey {
			var out []RunKey
			for _, inc := range s.LoadedIncarnations() {
				for _, r := range s.LoadOf(inc).Runs() {
					out = append(out, r.Key())
				}
			}
			return out
		}
		var revisions []uint64
		var loads []map[Incarnation]string
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			_, _ = s.Apply(nowMS, drawCommand(t, i, active()))
			switch rapid.IntRange(0, 19).Draw(t, "restore") {
			case 0:
				s.Restore(restored(t, s).Snapshot())
			case 1:
				s.Restore(&apiv1.BatchSnapshot{Catalog: testCatalog(1)})
			}
			now := describeLoads(s)
			for from, before := range loads {
				changed, complete := s.ChangedSince(revisions[from])
				for inc := range mergedKeys(before, now) {
					if complete && before[inc] != now[inc] && !slices.Contains(changed, inc) {
						t.Fatalf("%v changed from %q to %q and is not listed in %v", inc, before[inc], now[inc], changed)
					}
				}
			}
			revisions, loads = append(revisions, s.Revision()), append(loads, now)
		}
	})
}

// describeLoads returns the runs on each incarnation, and which are obsolete.
func describeLoads(s *State) map[Incarnation]string {
	out := map[Incarnation]string{}
	for _, inc := range s.LoadedIncarnations() {
		for _, r := range s.LoadOf(inc).Runs() {
			out[inc] += fmt.Sprint(r.Key(), r.Obsolete(), " ")
		}
	}
	return out
}

func mergedKeys(a, b map[Incarnation]string) map[Incarnation]bool {
	out := map[Incarnation]bool{}
	for k := range a {
		out[k] = true
	}
	for k := range b {
		out[k] = true
	}
	return out
}

// Guards against changes that are lost when the list of the latest ones is cut: a
// revision that is too old must be answered as unknown, not with a part.
func TestOldChangesAreNotListed(t *testing.T) {
	g := NewWithT(t)
	s := New()
	for i := range 3 * maxLoggedChanges {
		s.markChanged(Incarnation{ID: "m", StartedMS: int64(i)})
		if i%97 != 0 {
			continue
		}
		back := min(s.revision, maxLoggedChanges)
		changed, complete := s.ChangedSince(s.revision - back)
		g.Expect(complete).To(BeTrue())
		g.Expect(changed).To(HaveLen(int(back)))
		g.Expect(changed[0].StartedMS).To(BeEquivalentTo(i + 1 - int(back)))
	}
	_, complete := s.ChangedSince(0)
	g.Expect(complete).To(BeFalse())
	_, complete = s.ChangedSince(s.revision + 1)
	g.Expect(complete).To(BeFalse(), "a state that was replaced by an older one")
}

// Guards against orders that stay as they were before a snapshot replaced the state.
func TestRestoredLoadsCountAsChanged(t *testing.T) {
	f := newFixture(t)
	f.submit("j", "a", step(1))
	f.Expect(f.start(ref("j", 0, 0), 1, "m1")).To(BeTrue())
	before := f.s.Revision()
	f.s.Restore(&apiv1.BatchSnapshot{Catalog: testCatalog(1)})
	_, complete := f.s.ChangedSince(before)
	f.Expect(complete).To(BeFalse())
}
