// Package membership is the part of the replicated state that holds the
// entries' sessions, the assignment of shards to them, and the division of
// team limits among the shards and the running jobs. It is pure: equal
// commands give equal states.
package membership

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// State holds sessions, shards and allotments.
type State struct {
	sessions      map[uint64]*apiv1.Session
	lastSessionID uint64
	shards        map[string]*shard
	teams         map[string]*team
}

type shard struct {
	*apiv1.Shard
	// Sequence of the newest demand report of this epoch.
	sequence uint64
}

// New returns an empty state.
func New() *State {
	return &State{
		sessions: map[uint64]*apiv1.Session{},
		shards:   map[string]*shard{},
		teams:    map[string]*team{},
	}
}

// SetConfig takes over the services and limits of a published configuration.
// The shard of a service that is gone is retired: it stays until its running
// work is reported as ended, because that work still counts against limits.
func (s *State) SetConfig(index uint64, ix *objects.Index) {
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
	s.dropRetired()
	s.assignOrphans(index)
}

// Sessions returns copies of all sessions, live and expired, ordered by id.
func (s *State) Sessions() []*apiv1.Session {
	out := make([]*apiv1.Session, 0, len(s.sessions))
	for _, id := range sortedKeys(s.sessions) {
		out = append(out, proto.CloneOf(s.sessions[id]))
	}
	return out
}

// Shards returns copies of all shards, ordered by service.
func (s *State) Shards() []*apiv1.Shard {
	out := make([]*apiv1.Shard, 0, len(s.shards))
	for _, name := range sortedKeys(s.shards) {
		out = append(out, proto.CloneOf(s.shards[name].Shard))
	}
	return out
}

// IsSessionLive reports whether the session is open and not expired.
func (s *State) IsSessionLive(id uint64) bool {
	session, ok := s.sessions[id]
	return ok && !session.Expired
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
