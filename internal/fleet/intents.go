package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// CreateIntents commits operations on VMs. Each is verified against the state
// at the commit, so plans made on an older state cannot break a budget. A
// resend with a known operation id changes nothing.
func (s *State) CreateIntents(logTimeMS int64, cmd *apiv1.CreateIntents, ix *objects.Index) []*apiv1.Rejection {
	s.prune(logTimeMS)
	var out []*apiv1.Rejection
	for _, in := range cmd.Intents {
		if _, known := s.intents[in.OperationId]; known {
			continue
		}
		if err := s.checkIntent(in, ix); err != nil {
			out = append(out, &apiv1.Rejection{Id: in.OperationId, Status: err.Status()})
			continue
		}
		s.create(logTimeMS, in)
	}
	return out
}

func (s *State) create(logTimeMS int64, planned *apiv1.Intent) {
	in := proto.CloneOf(planned)
	in.FromPool = s.vms[in.Vm].Pool
	in.Phase = apiv1.IntentPhase_INTENT_PHASE_DRAINING
	in.CreatedUnixMs = logTimeMS
	in.PhaseUnixMs = logTimeMS
	s.intents[in.OperationId] = in
	s.order = append(s.order, in.OperationId)
	s.change(in.Vm, func(vm *apiv1.Vm) { vm.OperationId = in.OperationId })
}

func (s *State) checkIntent(in *apiv1.Intent, ix *objects.Index) *result.Error {
	if in.OperationId == "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "intent without operation id")
	}
	vm, ok := s.vms[in.Vm]
	if !ok {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN, "VM %s is not in the fleet", in.Vm)
	}
	if vm.OperationId != "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_BUSY, "VM %s has operation %s in progress", vm.Id, vm.OperationId)
	}
	if in.FromPool != "" && in.FromPool != vm.Pool {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_BUSY, "VM %s is in pool %s and no longer in %s", vm.Id, vm.Pool, in.FromPool)
	}
	switch in.Kind {
	case apiv1.IntentKind_INTENT_KIND_MOVE:
		return s.checkMove(vm, in.ToPool, ix)
	case apiv1.IntentKind_INTENT_KIND_DRAIN, apiv1.IntentKind_INTENT_KIND_REBOOT:
		return s.checkBudget(vm, ix)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "intent of kind %s", in.Kind)
}

// checkMove verifies a move against the pool that vm leaves. A pool that was
// removed from the configuration has no budget and may be left at any time.
func (s *State) checkMove(vm *apiv1.Vm, to string, ix *objects.Index) *result.Error {
	if _, ok := ix.Pools[to]; !ok || to == vm.Pool {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "VM %s cannot move from pool %s to %q", vm.Id, vm.Pool, to)
	}
	from, ok := ix.Pools[vm.Pool]
	if !ok {
		return nil
	}
	if !Available(vm, ix) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_BUSY, "VM %s is down; repair it before a move", vm.Id)
	}
	if staying := s.staying(vm.Pool); staying <= int(from.MinVms) {
		return exceeded("pool %s keeps %d VMs and needs at least %d", vm.Pool, staying, from.MinVms)
	}
	return s.checkBudget(vm, ix)
}

// staying counts the VMs of the pool that no move takes away.
func (s *State) staying(pool string) int {
	n := 0
	for _, id := range s.pools[pool] {
		in := s.intents[s.vms[id].OperationId]
		if in.GetKind() != apiv1.IntentKind_INTENT_KIND_MOVE {
			n++
		}
	}
	return n
}

// AdvanceIntents moves intents to later phases. A resend of the phase reached
// changes nothing; a step back is rejected.
func (s *State) AdvanceIntents(logTimeMS int64, cmd *apiv1.AdvanceIntents, ix *objects.Index) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, a := range cmd.Advances {
		if err := s.advance(logTimeMS, a, ix); err != nil {
			out = append(out, &apiv1.Rejection{Id: a.OperationId, Status: err.Status()})
		}
	}
	s.prune(logTimeMS)
	return out
}

func (s *State) advance(logTimeMS int64, a *apiv1.IntentAdvance, ix *objects.Index) *result.Error {
	old, ok := s.intents[a.OperationId]
	if !ok {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "operation %s is not known", a.OperationId)
	}
	if old.Phase == a.Phase {
		return nil
	}
	if !canAdvance(old.Phase, a.Phase) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_BUSY, "operation %s is %s and cannot become %s", a.OperationId, old.Phase, a.Phase)
	}
	if a.Phase == apiv1.IntentPhase_INTENT_PHASE_DONE && old.Kind == apiv1.IntentKind_INTENT_KIND_MOVE {
		if _, exists := ix.Pools[old.ToPool]; !exists {
			a = &apiv1.IntentAdvance{
				OperationId: a.OperationId, Phase: apiv1.IntentPhase_INTENT_PHASE_FAILED,
				Reason: "pool " + old.ToPool + " was removed during the move",
			}
		}
	}
	in := proto.CloneOf(old)
	in.Phase = a.Phase
	in.Reason = a.Reason
	in.PhaseUnixMs = logTimeMS
	s.intents[in.OperationId] = in
	if Finished(in.Phase) {
		s.finished++
		s.release(logTimeMS, in, old.Phase)
	}
	return nil
}

// canAdvance holds the phase order. An operation that the platform may have
// started cannot be canceled.
func canAdvance(from, to apiv1.IntentPhase) bool {
	switch from {
	case apiv1.IntentPhase_INTENT_PHASE_DRAINING:
		return to == apiv1.IntentPhase_INTENT_PHASE_OPERATING ||
			to == apiv1.IntentPhase_INTENT_PHASE_CANCELED || to == apiv1.IntentPhase_INTENT_PHASE_FAILED
	case apiv1.IntentPhase_INTENT_PHASE_OPERATING:
		return to == apiv1.IntentPhase_INTENT_PHASE_DONE || to == apiv1.IntentPhase_INTENT_PHASE_FAILED
	}
	return false
}

// release ends the operation on the VM. After a reboot the VM counts as down
// until it is observed up: its announcements may not have expired yet, and the
// budget it held would otherwise be free while it still boots.
func (s *State) release(logTimeMS int64, in *apiv1.Intent, before apiv1.IntentPhase) {
	s.change(in.Vm, func(vm *apiv1.Vm) {
		vm.OperationId = ""
		operated := before == apiv1.IntentPhase_INTENT_PHASE_OPERATING
		if operated && in.Kind == apiv1.IntentKind_INTENT_KIND_REBOOT {
			vm.Down = true
		}
		if in.Phase == apiv1.IntentPhase_INTENT_PHASE_DONE {
			complete(logTimeMS, vm, in)
		}
	})
}

func complete(logTimeMS int64, vm *apiv1.Vm, in *apiv1.Intent) {
	if in.Maintenance != "" && !slices.Contains(vm.MaintenancesDone, in.Maintenance) {
		vm.MaintenancesDone = append(vm.MaintenancesDone, in.Maintenance)
	}
	if in.Kind == apiv1.IntentKind_INTENT_KIND_MOVE {
		vm.Pool = in.ToPool
		vm.LastMovedUnixMs = logTimeMS
		return
	}
	vm.LastMaintainedUnixMs = logTimeMS
	if in.Kind == apiv1.IntentKind_INTENT_KIND_REBOOT {
		vm.Quarantined = false
		clearFailures(vm)
	}
}

// prune drops finished intents that are too old or too many, oldest first.
func (s *State) prune(logTimeMS int64) {
	excess := s.finished - maxFinishedIntents
	s.order = slices.DeleteFunc(s.order, func(id string) bool {
		in := s.intents[id]
		if !Finished(in.Phase) {
			return false
		}
		if excess <= 0 && logTimeMS-in.PhaseUnixMs <= intentRetentionMS {
			return false
		}
		excess--
		s.finished--
		delete(s.intents, id)
		return true
	})
}
