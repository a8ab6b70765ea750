// Package state composes the replicated sub-states into the state machine that
// the control group applies its log to.
package state

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/jobs"
	"bergamotdrum.example/bergamotdrum/internal/ledger"
	"bergamotdrum.example/bergamotdrum/internal/membership"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/publish"
)

// State is the replicated state. Every replica that applied the same log
// prefix holds the same State.
type State struct {
	AppliedIndex uint64
	// LogTimeMS is the largest proposal time applied, in Unix milliseconds. It
	// never steps back, even when a new leader's clock is behind.
	LogTimeMS int64
	// ViewVersion is the index of the last command that changed the view.
	ViewVersion uint64
	// Index is the configuration in force, indexed.
	Index      *objects.Index
	Publish    *publish.State
	Membership *membership.State
	Ledger     *ledger.State
	Jobs       *jobs.State
	Fleet      *fleet.State
	Batch      *batch.State
}

func newState() *State {
	return &State{
		Index:      objects.NewIndex(nil),
		Publish:    publish.New(),
		Membership: membership.New(),
		Ledger:     ledger.New(),
		Jobs:       jobs.New(),
		Fleet:      fleet.New(),
		Batch:      batch.New(),
	}
}

// View returns what entry processes need to know. The configuration is left
// out when the caller has its version.
func (s *State) View(haveConfigVersion uint64) *apiv1.View {
	current := s.Publish.Current()
	view := &apiv1.View{
		Version:       s.ViewVersion,
		ConfigVersion: current.Version,
		Sessions:      s.Membership.Sessions(),
		Shards:        s.Membership.Shards(),
		LeavingVms:    s.Fleet.LeavingVMs(),
	}
	if haveConfigVersion != current.Version {
		view.Config = current
	}
	return view
}

// trackLeaving runs fn and reports whether the set of leaving VMs changed.
func (s *State) trackLeaving(fn func()) bool {
	before := s.Fleet.LeavingVMs()
	fn()
	return !slices.Equal(before, s.Fleet.LeavingVMs())
}

// MaxDeadlineMS returns the longest request timeout of any service in the
// configurations kept. A request admitted under an older configuration may
// still be running.
func (s *State) MaxDeadlineMS() uint32 {
	longest := uint32(0)
	for _, c := range s.Publish.History() {
		for _, svc := range c.GetObjects().GetService() {
			longest = max(longest, svc.MaxDeadlineMs)
		}
	}
	return longest
}
