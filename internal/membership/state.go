// Package membership is the part of the replicated state that holds the sessions
// of entry processes, the assignment of shards to these sessions, and the division
// of team limits among shards and leased jobs.
//
// An entry process takes callers' requests and sends them to minions; a session is
// its lease with the control group. A shard is the scheduler of one service. Its
// host is the process of the session to which the shard is assigned. A grant is the
// shard's permission to send one request to a minion; an allotment is the part of a
// team's limit on running requests that the shard may use. Each assignment starts a
// new epoch, at whose start the host recovers: it counts the requests that earlier
// hosts have granted and that may still run.
//
// The package does no I/O and reads no clock: the same sequence of commands always
// results in the same state.
package membership

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// State holds the sessions, shards and allotments. Its methods must not be called
// concurrently.
type State struct {
	sessions      map[uint64]*apiv1.Session
	lastSessionID uint64
	shards        map[string]*shard
	teams         map[string]*team
}

// shard is the shard of one service.
type shard struct {
	*apiv1.Shard
	// reportSequence is the sequence number of the newest report of the service's
	// demand (running and waiting requests) in this epoch.
	reportSequence uint64
}

// New returns an empty state.
func New() *State {
	return &State{
		sessions: map[uint64]*apiv1.Session{},
		shards:   map[string]*shard{},
		teams:    map[string]*team{},
	}
}

// SetConfig applies the services and limits of a published configuration; index is
// the log index of the command. The shard of a service that is no longer configured
// is retiring: it stays until its host has reported that none of its requests run,
// because running requests still count against limits.
func (s *State) SetConfig(logIndex uint64, ix *objects.Index) {
	for _, name := range sortedKeys(s.shards) {
		_, configured := ix.Services[name]
		s.shards[name].Retiring = !configured
	}
	for _, name := range sortedKeys(ix.Services) {
		if s.shards[name] == nil {
			s.shards[name] = &shard{Shard: &apiv1.Shard{Service: name}}
		}
		sh := s.shards[name]
		sh.MaxDeadlineMs = max(sh.MaxDeadlineMs, ix.Services[name].MaxDeadlineMs)
	}
	for _, name := range sortedKeys(ix.Teams) {
		s.team(name)
	}
	for _, name := range sortedKeys(s.teams) {
		s.teams[name].limit = ix.MaxRunning(name)
		s.rebalanceTeam(name)
	}
	s.removeRetired()
	s.assignUnhosted(logIndex)
}

// Sessions returns copies of all sessions, live and expired, in order of id.
func (s *State) Sessions() []*apiv1.Session {
	out := make([]*apiv1.Session, 0, len(s.sessions))
	for _, id := range sortedKeys(s.sessions) {
		out = append(out, proto.CloneOf(s.sessions[id]))
	}
	return out
}

// Shards returns copies of all shards, in order of service name.
func (s *State) Shards() []*apiv1.Shard {
	out := make([]*apiv1.Shard, 0, len(s.shards))
	for _, name := range sortedKeys(s.shards) {
		out = append(out, proto.CloneOf(s.shards[name].Shard))
	}
	return out
}

// IsSessionLive reports whether the session exists and isn't expired.
func (s *State) IsSessionLive(id uint64) bool {
	session, ok := s.sessions[id]
	return ok && !session.Expired
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
