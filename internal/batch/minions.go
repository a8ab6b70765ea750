package batch

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// observeMinions records minions (worker processes) that announced themselves,
// and incarnations (lifetimes of a minion's process) that are gone, which means
// that they have ended. An announcement of an earlier incarnation than the
// recorded one, or one without an id, is ignored. Runs (executions of tasks) on an incarnation that is
// gone end as lost.
func (s *State) observeMinions(logTimeMS int64, cmd *apiv1.ObserveMinions) {
	for _, m := range cmd.Minions {
		if m.Life.GetId() == "" {
			continue
		}
		known := s.minions[m.Life.Id]
		if known == nil || known.Life.BornUnixMs <= m.Life.BornUnixMs {
			s.minions[m.Life.Id] = m
		}
	}
	for _, gone := range cmd.Gone {
		incarnation := IncarnationOf(gone)
		for _, r := range s.loads[incarnation].Runs() {
			s.endRun(logTimeMS, &apiv1.EndedRun{Task: r.Ref.Name(), Run: r.Run.Number, End: apiv1.RunEnd_RUN_END_LOST})
		}
		if m := s.minions[incarnation.ID]; m != nil && IncarnationOf(m.Life) == incarnation {
			delete(s.minions, incarnation.ID)
		}
	}
}

// Minion returns the latest incarnation of a minion, nil when it is not known.
func (s *State) Minion(id string) *apiv1.BatchMinion { return s.minions[id] }

// Minions returns all minions ordered by id.
func (s *State) Minions() []*apiv1.BatchMinion {
	out := make([]*apiv1.BatchMinion, 0, len(s.minions))
	for _, id := range sortedKeys(s.minions) {
		out = append(out, s.minions[id])
	}
	return out
}
