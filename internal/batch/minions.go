package batch

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// observeMinions records minions (worker processes) that announced themselves,
// and incarnations (lifetimes of a minion's process) that are gone, which means
// that they have ended. An announcement that names no minion to use is ignored, and so
// is one that is older than the recorded one, except that it drains: an incarnation
// that drains is about to end and never gets work again. A corrected entry replaces that of
// its incarnation. Runs (executions of tasks) on
// an incarnation that is gone end as lost. Losses of incarnations that answered again
// are cleared. Incarnations that have ended stay recorded until they are forgotten.
func (s *State) observeMinions(logTimeMS int64, cmd *apiv1.ObserveMinions) {
	for _, m := range cmd.Minions {
		if recordFault(m, logTimeMS) != NoFault {
			continue
		}
		known := s.minions[m.Life.Id]
		switch {
		case known == nil || known.Life.BornUnixMs < m.Life.BornUnixMs || !ValidRecord(known, logTimeMS):
			s.setMinion(m)
		case known.Life.BornUnixMs == m.Life.BornUnixMs:
			s.setMinion(laterAnnouncement(known, m))
		}
	}
	for _, m := range cmd.Corrected {
		known := s.minions[m.GetLife().GetId()]
		if known != nil && IncarnationOf(known.Life) == IncarnationOf(m.Life) && recordFault(m, logTimeMS) == NoFault {
			s.setMinion(m)
		}
	}
	for _, life := range cmd.Answered {
		s.clearLosses(IncarnationOf(life))
	}
	for _, gone := range cmd.Gone {
		incarnation := IncarnationOf(gone)
		for _, r := range s.loads[incarnation].Runs() {
			s.endRun(logTimeMS, &apiv1.EndedRun{Task: r.Ref.Name(), Run: r.Run.Number, End: apiv1.RunEnd_RUN_END_LOST}, nil)
		}
		if m := s.minions[incarnation.ID]; m != nil && IncarnationOf(m.Life) == incarnation {
			s.removeMinion(incarnation.ID)
			s.noteEnded(incarnation)
		}
	}
	for _, last := range cmd.Forgotten {
		s.forgetEnded(IncarnationOf(last))
	}
}

// laterAnnouncement returns the later of two announcements of one incarnation, the
// second one if they have the same number. It drains if one of the two does.
func laterAnnouncement(a, b *apiv1.BatchMinion) *apiv1.BatchMinion {
	later := b
	if a.Sequence > b.Sequence {
		later = a
	}
	if draining := a.Draining || b.Draining; draining != later.Draining {
		later = proto.CloneOf(later)
		later.Draining = draining
	}
	return later
}

// Minion returns the latest incarnation of a minion, nil when it is not known.
func (s *State) Minion(id string) *apiv1.BatchMinion { return s.minions[id] }

// Minions returns all minions ordered by id. The caller must not change the slice,
// and must not use it after the next command.
func (s *State) Minions() []*apiv1.BatchMinion { return s.orderedMinions }

// MinionsRevision returns a number that increases whenever a minion is recorded or
// removed. It is local to the process and not replicated.
func (s *State) MinionsRevision() uint64 { return s.minionsRevision }

// setMinion adds a minion, or replaces the record of the same id.
func (s *State) setMinion(m *apiv1.BatchMinion) {
	if known := s.minions[m.Life.Id]; known != nil && IncarnationOf(known.Life) != IncarnationOf(m.Life) {
		s.noteEnded(IncarnationOf(known.Life))
	}
	s.minions[m.Life.Id] = m
	s.minionsRevision++
	i, known := s.minionIndex(m.Life.Id)
	if known {
		s.orderedMinions[i] = m
		return
	}
	s.orderedMinions = slices.Insert(s.orderedMinions, i, m)
}

func (s *State) removeMinion(id string) {
	delete(s.minions, id)
	s.minionsRevision++
	if i, known := s.minionIndex(id); known {
		s.orderedMinions = slices.Delete(s.orderedMinions, i, i+1)
	}
}

// minionIndex returns the position of an id among the ordered minions, and reports
// whether it is there.
func (s *State) minionIndex(id string) (int, bool) {
	return slices.BinarySearchFunc(s.orderedMinions, id, func(m *apiv1.BatchMinion, id string) int {
		return strings.Compare(m.Life.Id, id)
	})
}
