// Package session has the client of the control group, the replicas that keep
// the replicated state, and an entry process's session with this group. An entry
// process takes callers' requests, sends them to minions and hosts shards, the
// schedulers of one service each. The session is valid until its time to live
// (TTL) after the last renewal. While the session is valid the process may act on
// the last view that it received. The view is the part of the replicated state
// that entry processes get.
package session

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// Snapshot is one version of the view (the sessions, the shards and the
// configuration, as the control group sends them to entry processes) with an
// index that finds the objects of its configuration by name. It is immutable, and
// has nothing to do with the snapshots of the replicated log.
type Snapshot struct {
	View  *apiv1.View
	Index *objects.Index
}

// Shard returns the assignment of the service's shard to an entry process, or nil
// if the view contains none.
func (s *Snapshot) Shard(service string) *apiv1.Shard {
	for _, shard := range s.View.GetShards() {
		if shard.Service == service {
			return shard
		}
	}
	return nil
}

// Session returns the session with the given id, or nil if the view does not
// contain it, for example after its release.
func (s *Snapshot) Session(id uint64) *apiv1.Session {
	for _, session := range s.View.GetSessions() {
		if session.Id == id {
			return session
		}
	}
	return nil
}
