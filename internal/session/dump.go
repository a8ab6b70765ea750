package session

import "time"

// Dump is the session's part of the state dump.
type Dump struct {
	ID            uint64        `json:"id"`
	Valid         bool          `json:"valid"`
	RemainingNS   time.Duration `json:"remaining_ns"`
	ViewVersion   uint64        `json:"view_version"`
	ConfigVersion uint64        `json:"config_version"`
}

// Dump returns the current state of the session.
func (s *Session) Dump() Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := s.validUntil - s.o.Clock.Now()
	return Dump{
		ID:            s.id,
		Valid:         s.id != 0 && remaining > 0,
		RemainingNS:   max(remaining, 0),
		ViewVersion:   s.viewVersion,
		ConfigVersion: s.configVersion,
	}
}

// SetBusyVMs sets the source of the VMs that renewals report as busy. It must
// be called before Run.
func (s *Session) SetBusyVMs(fn func() []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busyVMs = fn
}
