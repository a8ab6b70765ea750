package membership

import (
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// OpenSession opens a session, the lease of an entry process, which takes callers'
// requests and sends them to minions. OpenSession also assigns the shards (the
// schedulers of one service each) that have no host, and moves at most one other
// shard to the new session; logIndex is the log index of the command. If this
// incarnation (lifetime) of the process has a live session, the command is a
// duplicate and returns that session. A live session of another incarnation of the
// process expires.
//
// The session of a process without id or address fails with INVALID_ARGUMENT.
func (s *State) OpenSession(logIndex uint64, cmd *apiv1.OpenSession) (*apiv1.Session, *result.Error) {
	if cmd.ProcessId == "" || cmd.RpcAddress == "" {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "a session needs a process id and an rpc address")
	}
	for _, id := range sortedKeys(s.sessions) {
		old := s.sessions[id]
		if old.Expired || old.ProcessId != cmd.ProcessId {
			continue
		}
		if old.Incarnation == cmd.Incarnation {
			return proto.CloneOf(old), nil
		}
		s.expire(id)
	}
	s.lastSessionID++
	session := &apiv1.Session{
		Id:               s.lastSessionID,
		ProcessId:        cmd.ProcessId,
		AvailabilityZone: cmd.AvailabilityZone,
		RpcAddress:       cmd.RpcAddress,
		Incarnation:      cmd.Incarnation,
		OpenedIndex:      logIndex,
	}
	s.sessions[session.Id] = session
	s.assignUnhosted(logIndex)
	s.moveOneShardTo(logIndex, session.Id)
	return proto.CloneOf(session), nil
}

// ExpireSessions ends live sessions and assigns their shards to other sessions;
// logIndex is the log index of the command. Ids of unknown or expired sessions are
// ignored. Expired sessions are kept until ReleaseSessions deletes them, because
// requests that their processes granted may still run. While no session is live, the
// shards have no host.
func (s *State) ExpireSessions(logIndex uint64, cmd *apiv1.ExpireSessions) {
	for _, id := range cmd.SessionIds {
		s.expire(id)
	}
	s.assignUnhosted(logIndex)
}

// ReleaseSessions deletes expired sessions. Ids of live sessions are ignored.
func (s *State) ReleaseSessions(cmd *apiv1.ReleaseSessions) {
	for _, id := range cmd.SessionIds {
		if session, ok := s.sessions[id]; ok && session.Expired {
			delete(s.sessions, id)
		}
	}
}

// expire marks a session as expired, leaves its shards without a host and removes
// it as a standby.
func (s *State) expire(id uint64) {
	session, ok := s.sessions[id]
	if !ok || session.Expired {
		return
	}
	session.Expired = true
	for _, sh := range s.shards {
		if sh.StandbySessionId == id {
			sh.StandbySessionId = 0
		}
		if sh.SessionId == id {
			sh.SessionId = 0
			sh.Recovering = true
		}
	}
}
