package fleet

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// CreateIntents starts the intents, the recorded operations (moves, drains or
// reboots) on VMs, and returns those that are rejected. A VM with an operation in
// progress is leaving: it gets no new work. Each intent is checked against the state
// at the commit, so that a plan made on an older state cannot exceed an availability
// budget, the most VMs of a pool, zone or rack that may be down at once. An intent
// whose operation id is already known is a duplicate submission and changes nothing.
func (s *State) CreateIntents(logTimeMS int64, cmd *apiv1.CreateIntents, ix *objects.Index) []*apiv1.Rejection {
	s.pruneFinished(logTimeMS)
	var out []*apiv1.Rejection
	for _, it := range cmd.Intents {
		if _, known := s.intents[it.OperationId]; known {
			continue
		}
		if err := s.checkIntent(it, ix); err != nil {
			out = append(out, &apiv1.Rejection{Id: it.OperationId, Status: err.Status()})
			continue
		}
		s.addIntent(logTimeMS, it)
	}
	return out
}

// addIntent stores a copy of an intent that passed checkIntent, in the draining
// phase, and marks its VM as busy.
func (s *State) addIntent(logTimeMS int64, planned *apiv1.Intent) {
	it := proto.CloneOf(planned)
	it.FromPool = s.vms[it.Vm].Pool
	it.Phase = apiv1.IntentPhase_INTENT_PHASE_DRAINING
	it.CreatedUnixMs = logTimeMS
	it.PhaseUnixMs = logTimeMS
	s.intents[it.OperationId] = it
	s.intentOrder = append(s.intentOrder, it.OperationId)
	s.updateVM(it.Vm, func(vm *apiv1.Vm) { vm.OperationId = it.OperationId })
}

// checkIntent returns nil if the operation may start now, and otherwise why it is
// rejected.
func (s *State) checkIntent(it *apiv1.Intent, ix *objects.Index) *result.Error {
	if it.OperationId == "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "intent without operation id")
	}
	vm, ok := s.vms[it.Vm]
	if !ok {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN, "VM %s is not in the fleet", it.Vm)
	}
	if vm.OperationId != "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_BUSY, "VM %s has operation %s in progress", vm.Id, vm.OperationId)
	}
	if it.FromPool != "" && it.FromPool != vm.Pool {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_BUSY, "VM %s is in pool %s and no longer in %s", vm.Id, vm.Pool, it.FromPool)
	}
	switch it.Kind {
	case apiv1.IntentKind_INTENT_KIND_MOVE:
		return s.checkMove(vm, it.ToPool, ix)
	case apiv1.IntentKind_INTENT_KIND_DRAIN, apiv1.IntentKind_INTENT_KIND_REBOOT:
		return s.checkBudget(vm, ix)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "intent of kind %s", it.Kind)
}

// checkMove checks a move to the pool named to against the minimum size and the
// budget of the pool that vm leaves. A pool that was removed from the
// configuration has neither, so a VM may leave it at any time.
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
	if remaining := s.remaining(vm.Pool); remaining <= int(from.MinVms) {
		return budgetExceeded("pool %s keeps %d VMs and needs at least %d", vm.Pool, remaining, from.MinVms)
	}
	return s.checkBudget(vm, ix)
}

// remaining returns the number of VMs in the pool, available or not, that no move
// in progress takes away.
func (s *State) remaining(pool string) int {
	n := 0
	for _, id := range s.pools[pool] {
		it := s.intents[s.vms[id].OperationId]
		if it.GetKind() != apiv1.IntentKind_INTENT_KIND_MOVE {
			n++
		}
	}
	return n
}

// AdvanceIntents moves intents to later phases and returns the advances that are
// rejected. An advance to the phase that the intent is already in changes
// nothing; one to an earlier phase is rejected.
func (s *State) AdvanceIntents(logTimeMS int64, cmd *apiv1.AdvanceIntents, ix *objects.Index) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, a := range cmd.Advances {
		if err := s.advance(logTimeMS, a, ix); err != nil {
			out = append(out, &apiv1.Rejection{Id: a.OperationId, Status: err.Status()})
		}
	}
	s.pruneFinished(logTimeMS)
	return out
}

// advance moves one intent to a later phase. A move whose destination pool was
// removed meanwhile ends as failed, and its VM stays in its pool.
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
	it := proto.CloneOf(old)
	it.Phase = a.Phase
	it.Reason = a.Reason
	it.PhaseUnixMs = logTimeMS
	s.intents[it.OperationId] = it
	if Finished(it.Phase) {
		s.finishedIntents++
		s.release(logTimeMS, it, old.Phase)
	}
	return nil
}

// canAdvance reports whether an intent may go from one phase to the other. An
// operation that the platform may have started cannot be canceled.
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
// until it is observed up. The announcements that it made before the reboot may not
// have expired yet, so otherwise another VM could be taken down within the budget
// while this one still boots.
func (s *State) release(logTimeMS int64, it *apiv1.Intent, before apiv1.IntentPhase) {
	s.updateVM(it.Vm, func(vm *apiv1.Vm) {
		vm.OperationId = ""
		operated := before == apiv1.IntentPhase_INTENT_PHASE_OPERATING
		if operated && it.Kind == apiv1.IntentKind_INTENT_KIND_REBOOT {
			vm.Down = true
		}
		if it.Phase == apiv1.IntentPhase_INTENT_PHASE_DONE {
			recordCompletion(logTimeMS, vm, it)
		}
	})
}

// recordCompletion updates vm after the operation succeeded. A reboot also ends a
// quarantine.
func recordCompletion(logTimeMS int64, vm *apiv1.Vm, it *apiv1.Intent) {
	if it.Maintenance != "" && !slices.Contains(vm.MaintenancesDone, it.Maintenance) {
		vm.MaintenancesDone = append(vm.MaintenancesDone, it.Maintenance)
	}
	if it.Kind == apiv1.IntentKind_INTENT_KIND_MOVE {
		vm.Pool = it.ToPool
		vm.LastMovedUnixMs = logTimeMS
		return
	}
	vm.LastMaintainedUnixMs = logTimeMS
	if it.Kind == apiv1.IntentKind_INTENT_KIND_REBOOT {
		vm.Quarantined = false
		clearFailures(vm)
	}
}

// pruneFinished drops finished intents that are older than intentRetentionMS, and
// the earliest committed ones while there are more than maxFinishedIntents.
func (s *State) pruneFinished(logTimeMS int64) {
	excess := s.finishedIntents - maxFinishedIntents
	s.intentOrder = slices.DeleteFunc(s.intentOrder, func(id string) bool {
		it := s.intents[id]
		if !Finished(it.Phase) {
			return false
		}
		if excess <= 0 && logTimeMS-it.PhaseUnixMs <= intentRetentionMS {
			return false
		}
		excess--
		s.finishedIntents--
		delete(s.intents, id)
		return true
	})
}
