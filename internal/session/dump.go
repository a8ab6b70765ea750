package session

import "time"

// Dump is the part about the session, the process's lease with the control
// group, in the state dump that operators request from a process.
type Dump struct {
	ID            uint64        `json:"id"`
	Valid         bool          `json:"valid"`
	RemainingNS   time.Duration `json:"remaining_ns"` // validity left, zero when expired
	ViewVersion   uint64        `json:"view_version"` // of the received view, a part of the replicated state
	ConfigVersion uint64        `json:"config_version"`
}

// Dump returns the current state of the session.
func (s *Session) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.validUntil - s.opts.Clock.Now()
	return Dump{
		ID:            s.id,
		Valid:         s.id != 0 && remaining > 0,
		RemainingNS:   max(remaining, 0),
		ViewVersion:   s.viewVersion,
		ConfigVersion: s.configVersion,
	}
}

// SetBusyVMsFunc sets the function that returns the ids of the busy VMs, those for
// which this process holds a grant (the permission to send one request to a
// minion). Each renewal reports them. It must be called before Run; fn must be
// safe for concurrent use with the rest of the process.
func (s *Session) SetBusyVMsFunc(fn func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyVMs = fn
}
