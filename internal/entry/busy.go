package entry

import (
	"maps"
	"slices"
)

// BusyVMs returns, sorted, the VMs for which this process holds a grant, that
// is, may send a request to a minion there or has one in flight. The process
// reports them to the control group, which waits until no process reports a VM
// before it ends the VM's drain, the wait for the VM to be empty.
func (s *Server) BusyVMs() []string {
	s.grants.mu.Lock()
	defer s.grants.mu.Unlock()
	vms := map[string]bool{}
	for _, h := range s.grants.held {
		vms[h.Vm] = true
	}
	return slices.Sorted(maps.Keys(vms))
}
