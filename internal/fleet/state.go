// Package fleet is the part of the replicated state that holds VMs, the pools
// they are in, and the intents: recorded operations (moves, drains or reboots) on
// VMs. It refuses intents that exceed an availability budget, the most VMs of a pool,
// zone or rack that may be down at once, and plans maintenance, repairs and moves
// between pools.
//
// A VM is the operators' unit of pools and maintenance; workers, which run jobs,
// and minions, which serve requests, run on VMs. The planners are pure functions;
// their intents take effect once they are committed with State.CreateIntents. Log
// time is the largest proposal time of the commands applied, in Unix milliseconds;
// it never decreases.
package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// intentRetentionMS is how long a finished intent is kept, in milliseconds of
	// log time, so that a duplicate submission with its operation id is recognized.
	intentRetentionMS = 24 * 60 * 60 * 1000
	// maxFinishedIntents bounds the finished intents kept. It allows about three
	// for each VM of the largest fleet that is planned for, 3,200 VMs.
	maxFinishedIntents = 10_000
)

// State is the fleet after the commands applied so far. Stored messages are never
// modified: a change stores a changed copy, so that earlier results of VMs and
// Intents remain unchanged. It is not safe for concurrent use.
type State struct {
	vms     map[string]*apiv1.Vm
	ids     []string            // sorted
	pools   map[string][]string // VM ids per pool, sorted
	workers map[string]string   // worker id to VM id
	intents map[string]*apiv1.Intent
	// intentOrder holds the operation ids of all intents in the order of their
	// commit.
	intentOrder     []string
	finishedIntents int // number of intents in a finished phase
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
func (s *State) VMs() []*apiv1.Vm { return s.vmsByID(s.ids) }

// InPool returns the VMs of the pool, sorted by id.
func (s *State) InPool(pool string) []*apiv1.Vm { return s.vmsByID(s.pools[pool]) }

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

// Intents returns the intents in progress and the finished ones that are still
// kept, in the order of their commit. The messages must not be modified.
func (s *State) Intents() []*apiv1.Intent {
	list := make([]*apiv1.Intent, len(s.intentOrder))
	for i, id := range s.intentOrder {
		list[i] = s.intents[id]
	}
	return list
}

// LeavingVMs returns the sorted ids of the leaving VMs, which must get no new work
// because of an operation or a quarantine.
func (s *State) LeavingVMs() []string {
	var list []string
	for _, id := range s.ids {
		if isLeaving(s.vms[id]) {
			list = append(list, id)
		}
	}
	return list
}

// Placeable reports whether jobs may start on the VM with the id. The result is false
// for an unknown VM.
func (s *State) Placeable(vm string, ix *objects.Index) bool {
	v, ok := s.vms[vm]
	return ok && Placeable(v, ix)
}

// Placeable reports whether jobs may start on vm: a worker runs there and the VM
// is available.
func Placeable(vm *apiv1.Vm, ix *objects.Index) bool {
	return vm.WorkerId != "" && Available(vm, ix)
}

// Available reports whether vm is up, has no operation in progress, is not
// quarantined, and its availability zone is in service. A VM that is not available
// counts as down in availability budgets.
func Available(vm *apiv1.Vm, ix *objects.Index) bool {
	return !vm.Down && !isLeaving(vm) && ix.IsZoneIn(vm.AvailabilityZone)
}

// isLeaving reports whether vm must get no new work because of an operation in
// progress or a quarantine.
func isLeaving(vm *apiv1.Vm) bool { return vm.OperationId != "" || vm.Quarantined }

// Finished reports whether an intent in this phase is over and has released its
// VM.
func Finished(phase apiv1.IntentPhase) bool {
	switch phase {
	case apiv1.IntentPhase_INTENT_PHASE_DONE, apiv1.IntentPhase_INTENT_PHASE_FAILED,
		apiv1.IntentPhase_INTENT_PHASE_CANCELED:
		return true
	}
	return false
}

// SetConfig must be called after each publish of a configuration. It removes a
// maintenance object from the completed ones of each VM if the object was removed
// or set back to planned, so that the maintenance can run again.
func (s *State) SetConfig(ix *objects.Index) {
	keep := map[string]bool{}
	for _, m := range ix.Set.Maintenance {
		keep[m.Name] = m.State != apiv1.MaintenanceState_MAINTENANCE_STATE_PLANNED
	}
	stale := func(name string) bool { return !keep[name] }
	for _, id := range s.ids {
		if slices.ContainsFunc(s.vms[id].MaintenancesDone, stale) {
			s.updateVM(id, func(vm *apiv1.Vm) {
				vm.MaintenancesDone = slices.DeleteFunc(vm.MaintenancesDone, stale)
			})
		}
	}
}

// Snapshot returns the whole fleet state in a deterministic order. It shares
// messages with the state, which must not be modified.
func (s *State) Snapshot() *apiv1.FleetSnapshot {
	return &apiv1.FleetSnapshot{Vms: s.VMs(), Intents: s.Intents()}
}

// Restore replaces the fleet state with a copy of the snapshot.
func (s *State) Restore(snap *apiv1.FleetSnapshot) {
	*s = *New()
	for _, vm := range snap.GetVms() {
		s.addVM(proto.CloneOf(vm))
	}
	for _, it := range snap.GetIntents() {
		s.intentOrder = append(s.intentOrder, it.OperationId)
		s.intents[it.OperationId] = proto.CloneOf(it)
		if Finished(it.Phase) {
			s.finishedIntents++
		}
	}
}

// vmsByID returns the VMs with the ids, in the order of ids.
func (s *State) vmsByID(ids []string) []*apiv1.Vm {
	list := make([]*apiv1.Vm, len(ids))
	for i, id := range ids {
		list[i] = s.vms[id]
	}
	return list
}

// addVM stores a new VM.
func (s *State) addVM(vm *apiv1.Vm) {
	s.vms[vm.Id] = vm
	s.ids = insertSorted(s.ids, vm.Id)
	s.pools[vm.Pool] = insertSorted(s.pools[vm.Pool], vm.Id)
	s.setWorker(vm)
}

// updateVM calls fn on a copy of the VM, stores the copy, and updates the indexes
// by pool and worker.
func (s *State) updateVM(id string, fn func(*apiv1.Vm)) {
	old := s.vms[id]
	vm := proto.CloneOf(old)
	fn(vm)
	s.vms[id] = vm
	if vm.Pool != old.Pool {
		s.pools[old.Pool] = removeSorted(s.pools[old.Pool], id)
		s.pools[vm.Pool] = insertSorted(s.pools[vm.Pool], id)
	}
	if vm.WorkerId != old.WorkerId {
		if s.workers[old.WorkerId] == id {
			delete(s.workers, old.WorkerId)
		}
		s.setWorker(vm)
	}
}

// setWorker maps the worker of vm to vm. If the worker was mapped to another VM, that
// VM has no worker any more.
func (s *State) setWorker(vm *apiv1.Vm) {
	if vm.WorkerId == "" {
		return
	}
	previous, ok := s.workers[vm.WorkerId]
	s.workers[vm.WorkerId] = vm.Id
	if ok && previous != vm.Id {
		s.vms[previous] = proto.CloneOf(s.vms[previous])
		s.vms[previous].WorkerId = ""
	}
}

// insertSorted inserts id into the sorted list, unless it is there already.
func insertSorted(list []string, id string) []string {
	i, found := slices.BinarySearch(list, id)
	if found {
		return list
	}
	return slices.Insert(list, i, id)
}

// removeSorted removes id from the sorted list, if it is there.
func removeSorted(list []string, id string) []string {
	if i, found := slices.BinarySearch(list, id); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
