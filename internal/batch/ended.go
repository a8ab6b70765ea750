package batch

import apiv1 "bergamotdrum.example/bergamotdrum/api/v1"

// endedIncarnations are the incarnations (lifetimes of a minion's process) under one id
// that have ended and for which calls may still be carried out: the network delays
// calls, and a call names only the id. A later incarnation under the id doesn't know
// how long the lease in such a call was meant to last, since its clock starts anew.
type endedIncarnations struct {
	// firstMS is the start of the earliest of them and lastMS that of the latest, in
	// Unix milliseconds.
	firstMS, lastMS int64
}

// noteEnded records that an incarnation of a minion has ended.
func (s *State) noteEnded(inc Incarnation) {
	ended, known := s.ended[inc.ID]
	if !known {
		ended.firstMS = inc.StartedMS
	}
	ended.lastMS = inc.StartedMS
	s.ended[inc.ID] = ended
}

// forgetEnded removes the ended incarnations of an id, of which last is the latest. It
// does nothing when another one has ended since.
func (s *State) forgetEnded(last Incarnation) {
	if ended, known := s.ended[last.ID]; known && ended.lastMS == last.StartedMS {
		delete(s.ended, last.ID)
	}
}

// EndedBefore returns the latest incarnation that has ended under the id of inc, if
// calls for another incarnation than inc itself may still reach inc.
func (s *State) EndedBefore(inc Incarnation) (last Incarnation, ok bool) {
	ended, known := s.ended[inc.ID]
	if !known || ended == (endedIncarnations{inc.StartedMS, inc.StartedMS}) {
		return Incarnation{}, false
	}
	return Incarnation{ID: inc.ID, StartedMS: ended.lastMS}, true
}

// MayHoldLateLease reports whether an incarnation may have got the longest lease from a call
// for another one under its id, which had ended before.
func (s *State) MayHoldLateLease(inc Incarnation) bool {
	ended, known := s.ended[inc.ID]
	return known && ended.firstMS != inc.StartedMS
}

// UnusedEnded returns the latest ended incarnation of each id that is recorded, unless
// the present incarnation of the id may get calls for it. They are ordered by id.
func (s *State) UnusedEnded() []Incarnation {
	var out []Incarnation
	for _, id := range sortedKeys(s.ended) {
		if m := s.minions[id]; m != nil {
			if _, ok := s.EndedBefore(IncarnationOf(m.Life)); ok {
				continue
			}
		}
		out = append(out, Incarnation{ID: id, StartedMS: s.ended[id].lastMS})
	}
	return out
}

// snapshotEnded returns the ended incarnations for a snapshot.
func (s *State) snapshotEnded() []*apiv1.EndedLives {
	var out []*apiv1.EndedLives
	for _, id := range sortedKeys(s.ended) {
		out = append(out, &apiv1.EndedLives{Id: id, FirstBornUnixMs: s.ended[id].firstMS, LastBornUnixMs: s.ended[id].lastMS})
	}
	return out
}

// restoreEnded restores the ended incarnations from a snapshot.
func (s *State) restoreEnded(snap []*apiv1.EndedLives) {
	for _, e := range snap {
		s.ended[e.Id] = endedIncarnations{e.FirstBornUnixMs, e.LastBornUnixMs}
	}
}
