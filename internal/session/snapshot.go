// Package session keeps an entry process's session with the control group and
// the view that is in force while the session is valid.
package session

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// Snapshot is one view with its configuration indexed. It is immutable.
type Snapshot struct {
	View  *apiv1.View
	Index *objects.Index
}

// Shard returns the assignment of the service's shard, nil when there is none.
func (s *Snapshot) Shard(service string) *apiv1.Shard {
	for _, shard := range s.View.GetShards() {
		if shard.Service == service {
			return shard
		}
	}
	return nil
}

// Session returns the session with the id, nil when it is released.
func (s *Snapshot) Session(id uint64) *apiv1.Session {
	for _, session := range s.View.GetSessions() {
		if session.Id == id {
			return session
		}
	}
	return nil
}
