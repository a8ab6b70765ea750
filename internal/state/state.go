// Package state combines the parts of the replicated state, such as membership,
// jobs and fleet, into the state machine to which the replicas of the control group
// apply their log.
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

// State is the replicated state. All replicas that have applied the same prefix of
// the log have equal States.
type State struct {
	// AppliedIndex is the index of the last command applied.
	AppliedIndex uint64
	// LogTimeMS is the log time: the largest proposal time of the commands applied,
	// in Unix milliseconds. It never decreases, even if a new leader's clock is
	// behind.
	LogTimeMS int64
	// ViewVersion is the log index of the last command that changed the view, see
	// View.
	ViewVersion uint64
	// Index gives access by name to the objects of the current configuration.
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

// View returns the view, the part of the state that entry processes receive: the
// sessions, the shards, the VMs that get no new work, and the configuration. An
// entry process takes callers' requests and sends them to minions; a session is its
// lease with the control group; a shard is the scheduler of one service, hosted by
// an entry process. The configuration is omitted if the caller already has it, that
// is, if its version is haveConfigVersion.
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

// leavingVMsChangedBy runs fn and reports whether it changed the set of leaving VMs,
// which get no new work. The set is part of the view.
func (s *State) leavingVMsChangedBy(fn func()) bool {
	before := s.Fleet.LeavingVMs()
	fn()
	return !slices.Equal(before, s.Fleet.LeavingVMs())
}

// MaxDeadlineMS returns the longest request timeout of any service, in milliseconds, in
// all configurations under which requests may still be running. A request that was
// admitted under an older one may be.
func (s *State) MaxDeadlineMS() uint32 { return s.Publish.LongestDeadlineMS(s.LogTimeMS) }
