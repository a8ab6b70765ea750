package batch

import apiv1 "bergamotdrum.example/bergamotdrum/api/v1"

// recordLongestLease replaces the record of the longest lease that leaders give to
// minions (worker processes that run tasks), unless the record isn't the one to be
// replaced: the proposing leader then has to decide anew.
func (s *State) recordLongestLease(cmd *apiv1.RecordLongestLease) {
	if s.longestLeaseMS == cmd.ReplacesMs {
		s.longestLeaseMS = cmd.LongestMs
	}
}

// LongestLeaseMS returns the recorded length of the longest lease that any leader may
// have given to a minion, in ms. It is zero when no leader has recorded one: leaders
// of earlier versions don't.
func (s *State) LongestLeaseMS() uint32 { return s.longestLeaseMS }

// AnyMinions reports whether a minion is recorded or has runs. Leaders give leases
// to no others, and a minion is removed only when its lease has ended or its process
// has.
func (s *State) AnyMinions() bool { return len(s.minions) > 0 || len(s.loads) > 0 }
