package membership

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// SetStandby sets the standby of a shard (the scheduler of one service), or removes
// the standby if the session id is zero. The standby is the session, the lease of an
// entry process, that has a mirror of the grants of the shard's host and becomes the
// host when the host's session expires. A grant is the permission to send one
// request to a minion; a mirror is a copy that is kept up to date. A proposal that
// isn't newer than the last applied one is refused, since the host may have made
// grants since then that the standby doesn't have. Repeating the last one has no
// effect.
func (s *State) SetStandby(cmd *apiv1.SetStandby) *result.Error {
	sh, err := s.currentShard(cmd.Service, cmd.Epoch)
	if err != nil {
		return err
	}
	if cmd.Sequence == sh.StandbySequence && cmd.SessionId == sh.StandbySessionId {
		return nil
	}
	switch {
	case cmd.Sequence <= sh.StandbySequence:
		return errInvalidStandby("standby proposal %d of shard %s is not newer than %d", cmd.Sequence, cmd.Service, sh.StandbySequence)
	case cmd.SessionId == 0:
	case sh.Recovering:
		return errInvalidStandby("shard %s is recovering, so its host may not know all grants", cmd.Service)
	case cmd.SessionId == sh.SessionId:
		return errInvalidStandby("session %d hosts shard %s and cannot be its standby", cmd.SessionId, cmd.Service)
	case !s.IsSessionLive(cmd.SessionId):
		return errInvalidStandby("session %d is not live and cannot be the standby of shard %s", cmd.SessionId, cmd.Service)
	}
	sh.StandbySequence = cmd.Sequence
	sh.StandbySessionId = cmd.SessionId
	return nil
}

func errInvalidStandby(format string, args ...any) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, format, args...)
}

// nextHost returns the session to which the shard is to be assigned, or zero if
// there is none. The standby comes first, because it doesn't have to wait for the
// end of earlier grants. A standby is always live, since expire removes expired ones.
func (s *State) nextHost(sh *shard) uint64 {
	if sh.StandbySessionId != 0 {
		return sh.StandbySessionId
	}
	return s.leastLoadedSession(sh.Service)
}

// mustKeepHost reports whether the shard must not move to balance the load. Its
// new host would have no mirror of the grants, and while expired sessions may
// still have grants it would have to wait for their deadlines. A shard without a
// standby may move nevertheless: there is no mirror that the move would make
// useless.
func (s *State) mustKeepHost(sh *shard) bool {
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
