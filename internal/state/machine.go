package state

import (
	"fmt"
	"sync"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// Machine is the replicated state machine, not a machine of the fleet. It guards a
// State for one writer, the replica's apply loop, and many readers.
type Machine struct {
	mu    sync.RWMutex
	state *State
	// changed is closed and replaced whenever the view changes, the part of the
	// state that State.View returns for entry processes.
	changed chan struct{}
	// batchChanged gets a signal after each batch command. The channel's buffer
	// holds one signal.
	batchChanged chan struct{}
}

// New returns a machine with an empty state.
func New() *Machine {
	return &Machine{state: newState(), changed: make(chan struct{}), batchChanged: make(chan struct{}, 1)}
}

// Apply implements replica.StateMachine. It applies the command at the index in the
// log and returns its result.
func (m *Machine) Apply(index uint64, cmd *apiv1.Command) *apiv1.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.ViewVersion
	res := m.state.apply(index, cmd)
	if m.state.ViewVersion != before {
		m.notifyView()
	}
	if cmd.GetBatch() != nil {
		m.notifyBatch()
	}
	return res
}

func (m *Machine) notifyBatch() {
	select {
	case m.batchChanged <- struct{}{}:
	default:
	}
}

// BatchChanged returns the channel that gets a signal after changes of the batch
// state. Several changes may share a signal. Only one goroutine, the batch
// dispatcher, may receive from it.
func (m *Machine) BatchChanged() <-chan struct{} { return m.batchChanged }

// notifyView wakes all waiters for a view change. The caller holds mu.
func (m *Machine) notifyView() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Read runs fn under a read lock. fn must not modify the state or keep a reference
// to it.
func (m *Machine) Read(fn func(*State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(m.state)
}

// ViewVersion returns the versions of the view and of the configuration, and a
// channel that is closed when the view changes.
func (m *Machine) ViewVersion() (view, config uint64, changed <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.ViewVersion, m.state.Publish.Current().Version, m.changed
}

// Snapshot implements replica.StateMachine. Later commands do not change the
// returned message, but it may share memory with the state and must not be modified.
func (m *Machine) Snapshot() *apiv1.StateSnapshot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	s := m.state
	return &apiv1.StateSnapshot{
		AppliedIndex:  s.AppliedIndex,
		LogTimeUnixMs: s.LogTimeMS,
		ViewVersion:   s.ViewVersion,
		Publish:       s.Publish.Snapshot(),
		Membership:    s.Membership.Snapshot(),
		Ledger:        s.Ledger.Snapshot(),
		Jobs:          s.Jobs.Snapshot(),
		Fleet:         s.Fleet.Snapshot(),
		Batch:         s.Batch.Snapshot(),
	}
}

// Restore implements replica.StateMachine. It replaces the whole state with the
// snapshot's. On an error the state is unchanged.
func (m *Machine) Restore(snap *apiv1.StateSnapshot) error {
	s := newState()
	s.AppliedIndex = snap.AppliedIndex
	s.LogTimeMS = snap.LogTimeUnixMs
	s.ViewVersion = snap.ViewVersion
	if err := s.Publish.Restore(snap.Publish); err != nil {
		return fmt.Errorf("restore configuration: %w", err)
	}
	s.Membership.Restore(snap.Membership)
	s.Jobs.Restore(snap.Jobs)
	s.Fleet.Restore(snap.Fleet)
	s.Batch.Restore(snap.Batch)
	if err := s.Ledger.Restore(snap.Ledger); err != nil {
		return fmt.Errorf("restore request ledger: %w", err)
	}
	s.Index = objects.NewIndex(s.Publish.Current().Objects)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.notifyView()
	return nil
}
