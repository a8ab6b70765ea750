package membership

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// SetStandby names the session that gets the shard when its host's session
// expires, or none. A proposal that is not newer than the last applied one is
// refused: the host may have let grants go unmirrored since.
func (s *State) SetStandby(cmd *apiv1.SetStandby) *result.Error {
	sh, err := s.current(cmd.Service, cmd.Epoch)
	if err != nil {
		return err
	}
	if cmd.Sequence == sh.StandbySequence && cmd.SessionId == sh.StandbySessionId {
		return nil
	}
	switch {
	case cmd.Sequence <= sh.StandbySequence:
		return refuseStandby("standby proposal %d of shard %s is not newer than %d", cmd.Sequence, cmd.Service, sh.StandbySequence)
	case cmd.SessionId == 0:
	case sh.Recovering:
		return refuseStandby("shard %s is recovering, so its host may not know all grants", cmd.Service)
	case cmd.SessionId == sh.SessionId:
		return refuseStandby("session %d hosts shard %s and cannot be its standby", cmd.SessionId, cmd.Service)
	case !s.IsSessionLive(cmd.SessionId):
		return refuseStandby("session %d is not live and cannot be the standby of shard %s", cmd.SessionId, cmd.Service)
	}
	sh.StandbySequence = cmd.Sequence
	sh.StandbySessionId = cmd.SessionId
	return nil
}

func refuseStandby(format string, args ...any) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, format, args...)
}

// nextHost prefers the standby, which needs no wait for earlier grants. Expiry
// of its session has cleared it, so a standby that is set is live.
func (s *State) nextHost(sh *shard) uint64 {
	if sh.StandbySessionId != 0 {
		return sh.StandbySessionId
	}
	return s.leastLoaded(sh.Service)
}

// keepsHost reports whether a move for balance would lose the mirror while
// expired sessions may still hold grants: the new host would have to wait for
// their deadlines.
func (s *State) keepsHost(sh *shard) bool {
	if sh.StandbySessionId == 0 {
		return false
	}
	for _, session := range s.sessions {
		if session.Expired {
			return true
		}
	}
	return false
}
