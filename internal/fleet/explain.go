package fleet

import (
	"fmt"
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Explain returns a text for operators with the state of the VM, the operation in
// progress on it, or else why maintenance or a move of it has not started.
func Explain(in CapacityInput, vmID string) string {
	w := newWavePlanner(in.WaveInput)
	vm, ok := w.vms[vmID]
	if !ok {
		return fmt.Sprintf("VM %s is not in the fleet; it enters with its first announcement", vmID)
	}
	parts := []string{explainState(in.WaveInput, vm)}
	if vm.OperationId != "" {
		return strings.Join(append(parts, explainOperation(in.WaveInput, vm)), "; ")
	}
	for _, m := range in.Index.Set.Maintenance {
		if text := w.explainMaintenance(m, vm); text != "" {
			parts = append(parts, text)
		}
	}
	return strings.Join(append(parts, explainMove(in, vm)), "; ")
}

func explainState(in WaveInput, vm *apiv1.Vm) string {
	state := "up"
	switch {
	case vm.Down:
		state = "down: its announcements expired"
	case vm.Quarantined:
		state = fmt.Sprintf("quarantined: its worker failed %d runs in a row", vm.ConsecutiveFailures)
	case !in.Index.IsZoneIn(vm.AvailabilityZone):
		state = "availability zone " + vm.AvailabilityZone + " is out"
	}
	return fmt.Sprintf("VM %s in pool %s is %s", vm.Id, vm.Pool, state)
}

func explainOperation(in WaveInput, vm *apiv1.Vm) string {
	i := slices.IndexFunc(in.Intents, func(it *apiv1.Intent) bool { return it.OperationId == vm.OperationId })
	if i < 0 {
		return "operation " + vm.OperationId + " is in progress"
	}
	it := in.Intents[i]
	text := fmt.Sprintf("operation %s (%s) is %s for %d s", it.OperationId, it.Kind, it.Phase, (in.NowMS-it.PhaseUnixMs)/1000)
	if n := in.load(vm.Id); it.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING && n > 0 {
		text += fmt.Sprintf(" and waits for %d leases and grants to end", n)
	}
	return text
}

// explainMaintenance says why the maintenance m has not started on vm. It returns an
// empty string if vm is not among the VMs that m still has to maintain.
func (w *wavePlanner) explainMaintenance(m *apiv1.Maintenance, vm *apiv1.Vm) string {
	targets := w.targets(m)
	if !slices.Contains(targets, vm) {
		return ""
	}
	prefix := "maintenance " + m.Name + " waits: "
	if m.State != apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING {
		return prefix + "its state is " + strings.ToLower(strings.TrimPrefix(m.State.String(), "MAINTENANCE_STATE_"))
	}
	if reason := w.blockReason(m, vm); reason != "" {
		return prefix + reason
	}
	if zone := w.activeZone(m, targets); zone != vm.AvailabilityZone {
		return prefix + "availability zone " + zone + " is in turn"
	}
	return "maintenance " + m.Name + " starts with the next round"
}

func explainMove(in CapacityInput, vm *apiv1.Vm) string {
	c := newCapacityPlanner(in)
	s, ok := c.pools[vm.Pool]
	switch {
	case c.spare == nil:
		return "no move: no pool is spare"
	case !ok:
		return "its pool was removed; it moves to the spare pool with the next round"
	case !Available(vm, in.Index):
		return "no move while the VM is down"
	case s.remaining <= s.pool.MinVms:
		return fmt.Sprintf("no move: pool %s keeps %d VMs and needs at least %d", vm.Pool, s.remaining, s.pool.MinVms)
	}
	if err := c.down[vm.Pool].check(vm, budgetOf(vm.Pool, in.Index)); err != nil {
		return "no move: " + err.Message
	}
	if s.policy == nil {
		return "free to move; no capacity policy of its pool asks for it"
	}
	return fmt.Sprintf("free to move; its pool has a demand of %d milli-VMs on %d VMs (grows above %d%%, shrinks below %d%%)",
		s.demand, s.up, s.policy.GrowAtPercent, s.policy.ShrinkAtPercent)
}
