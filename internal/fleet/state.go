// Package fleet is the replicated sub-state of VMs, pools and operations on
// VMs, with the availability budget check and the pure planners.
package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// intentRetentionMS is how long a finished intent is kept, in log time, so
	// that a resend with its operation id is recognised.
	intentRetentionMS = 24 * 60 * 60 * 1000
	// maxFinishedIntents bounds the finished intents kept. The largest fleet
	// planned for has 3,200 VMs.
	maxFinishedIntents = 10_000
)

// State is the fleet as committed. Stored messages are never modified: a change
// stores a changed copy, so results of VMs and Intents stay valid as they were.
// It is not safe for concurrent use.
type State struct {
	vms     map[string]*apiv1.Vm
	ids     []string            // sorted
	pools   map[string][]string // VM ids per pool, sorted
	workers map[string]string   // worker id to VM id
	intents map[string]*apiv1.Intent
	// order holds operation ids in the order of their commit.
	order    []string
	finished int
}

// New returns an empty fleet.
func New() *State {
	return &State{
		vms:     map[string]*apiv1.Vm{},
		pools:   map[string][]string{},
		workers: map[string]string{},
		intents: map[string]*apiv1.Intent{},
	}
}

// VMs returns every VM, sorted by id. The messages must not be modified.
func (s *State) VMs() []*apiv1.Vm { return s.lookup(s.ids) }

// InPool returns the VMs of the pool, sorted by id.
func (s *State) InPool(pool string) []*apiv1.Vm { return s.lookup(s.pools[pool]) }

// VM returns the VM with the id.
func (s *State) VM(id string) (*apiv1.Vm, bool) {
	vm, ok := s.vms[id]
	return vm, ok
}

// VMByWorker returns the VM on which the worker runs.
func (s *State) VMByWorker(workerID string) (*apiv1.Vm, bool) {
	id, ok := s.workers[workerID]
	if !ok {
		return nil, false
	}
	return s.VM(id)
}

// Intents returns every intent that is kept, in the order of its commit. The
// messages must not be modified.
func (s *State) Intents() []*apiv1.Intent {
	list := make([]*apiv1.Intent, len(s.order))
	for i, id := range s.order {
		list[i] = s.intents[id]
	}
	return list
}

// LeavingVMs returns the VMs that must get no new work because of an operation
// or a quarantine, sorted by id.
func (s *State) LeavingVMs() []string {
	var list []string
	for _, id := range s.ids {
		if leaving(s.vms[id]) {
			list = append(list, id)
		}
	}
	return list
}

// Placeable reports whether jobs may start on the VM.
func (s *State) Placeable(vm string, ix *objects.Index) bool {
	v, ok := s.vms[vm]
	return ok && Placeable(v, ix)
}

// Placeable reports whether jobs may start on vm: a worker runs there, it is
// up, not leaving, not quarantined, and its availability zone is in service.
func Placeable(vm *apiv1.Vm, ix *objects.Index) bool {
	return vm.WorkerId != "" && Available(vm, ix)
}

// Available reports whether vm is not down for any cause.
func Available(vm *apiv1.Vm, ix *objects.Index) bool {
	return !vm.Down && !leaving(vm) && ix.IsZoneIn(vm.AvailabilityZone)
}

func leaving(vm *apiv1.Vm) bool { return vm.OperationId != "" || vm.Quarantined }

// Finished reports whether an intent in the phase has released its VM.
func Finished(phase apiv1.IntentPhase) bool {
	switch phase {
	case apiv1.IntentPhase_INTENT_PHASE_DONE, apiv1.IntentPhase_INTENT_PHASE_FAILED,
		apiv1.IntentPhase_INTENT_PHASE_CANCELED:
		return true
	}
	return false
}

// SetConfig forgets completed maintenance whose object was removed or set back
// to planned, so that it can run again. It is called after each publish.
func (s *State) SetConfig(ix *objects.Index) {
	keep := map[string]bool{}
	for _, m := range ix.Set.Maintenance {
		keep[m.Name] = m.State != apiv1.MaintenanceState_MAINTENANCE_STATE_PLANNED
	}
	stale := func(name string) bool { return !keep[name] }
	for _, id := range s.ids {
		if slices.ContainsFunc(s.vms[id].MaintenancesDone, stale) {
			s.change(id, func(vm *apiv1.Vm) {
				vm.MaintenancesDone = slices.DeleteFunc(vm.MaintenancesDone, stale)
			})
		}
	}
}

// Snapshot returns the whole sub-state in a deterministic order.
func (s *State) Snapshot() *apiv1.FleetSnapshot {
	return &apiv1.FleetSnapshot{Vms: s.VMs(), Intents: s.Intents()}
}

// Restore replaces the sub-state with the snapshot's.
func (s *State) Restore(snap *apiv1.FleetSnapshot) {
	*s = *New()
	for _, vm := range snap.GetVms() {
		s.add(proto.CloneOf(vm))
	}
	for _, in := range snap.GetIntents() {
		s.order = append(s.order, in.OperationId)
		s.intents[in.OperationId] = proto.CloneOf(in)
		if Finished(in.Phase) {
			s.finished++
		}
	}
}

func (s *State) lookup(ids []string) []*apiv1.Vm {
	list := make([]*apiv1.Vm, len(ids))
	for i, id := range ids {
		list[i] = s.vms[id]
	}
	return list
}

// add stores a VM that is not known yet.
func (s *State) add(vm *apiv1.Vm) {
	s.vms[vm.Id] = vm
	s.ids = insert(s.ids, vm.Id)
	s.pools[vm.Pool] = insert(s.pools[vm.Pool], vm.Id)
	s.setWorker(vm)
}

// change stores a changed copy of the VM and keeps the lookups in step.
func (s *State) change(id string, fn func(*apiv1.Vm)) {
	old := s.vms[id]
	vm := proto.CloneOf(old)
	fn(vm)
	s.vms[id] = vm
	if vm.Pool != old.Pool {
		s.pools[old.Pool] = remove(s.pools[old.Pool], id)
		s.pools[vm.Pool] = insert(s.pools[vm.Pool], id)
	}
	if vm.WorkerId != old.WorkerId {
		if s.workers[old.WorkerId] == id {
			delete(s.workers, old.WorkerId)
		}
		s.setWorker(vm)
	}
}

// setWorker maps the worker to vm and takes it from the VM it ran on before.
func (s *State) setWorker(vm *apiv1.Vm) {
	if vm.WorkerId == "" {
		return
	}
	before, ok := s.workers[vm.WorkerId]
	s.workers[vm.WorkerId] = vm.Id
	if ok && before != vm.Id {
		s.vms[before] = proto.CloneOf(s.vms[before])
		s.vms[before].WorkerId = ""
	}
}

func insert(list []string, id string) []string {
	i, found := slices.BinarySearch(list, id)
	if found {
		return list
	}
	return slices.Insert(list, i, id)
}

func remove(list []string, id string) []string {
	if i, found := slices.BinarySearch(list, id); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
