package entry

import (
	"maps"
	"slices"
)

// BusyVMs returns the VMs to which this process has requests in flight, sorted.
// Drains wait until no process names the VM.
func (s *Server) BusyVMs() []string {
	s.grants.mu.Lock()
	defer s.grants.mu.Unlock()
	vms := map[string]bool{}
	for _, h := range s.grants.held {
		vms[h.Vm] = true
	}
	return slices.Sorted(maps.Keys(vms))
}
