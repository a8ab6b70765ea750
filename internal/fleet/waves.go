package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// defaultDrainTimeout applies to moves, to repairs, and to maintenance objects
	// that set no timeout or were removed meanwhile.
	defaultDrainTimeout = 60 * time.Second
	// maxAttempts is the number of failed operations of one maintenance object on
	// one VM after which the VM is skipped, so that one broken VM does not block
	// its availability zone. Failures are counted from the kept intents (recorded
	// operations on VMs), so the VM is tried again once these are dropped, see
	// intentRetentionMS.
	maxAttempts = 3
	// retryWaitMS is the time, in milliseconds, from a failed operation to the next
	// attempt on the same VM. It is measured in log time, the largest proposal time
	// of the commands applied.
	retryWaitMS = 60 * 1000
	// repairWaitMS is the log time, in milliseconds, between two repair reboots of
	// a VM. The wait matters if a reboot fails or if the VM's worker, which runs
	// jobs, is quarantined again after each reboot.
	repairWaitMS = 10 * 60 * 1000
)

// WaveInput is the state for which maintenance and repairs are planned.
type WaveInput struct {
	// NowMS is the log time, in Unix milliseconds, or the leader's clock if that
	// clock is ahead of the log time.
	NowMS int64
	// VMs are all VMs, sorted by id.
	VMs []*apiv1.Vm
	// Intents are the intents in progress and the finished ones still kept.
	Intents []*apiv1.Intent
	Index   *objects.Index
	// Load returns the number of job leases on a VM. The VMs with the lowest load
	// are selected first. A nil Load counts as 0 for every VM.
	Load func(vm string) int
}

func (in WaveInput) load(vm string) int {
	if in.Load == nil {
		return 0
	}
	return in.Load(vm)
}

// operationIDs generates the operation ids of one round (pass) of a planner. An id
// contains the number of intents kept for its VM, which makes it unique even while
// the log time does not advance, as after the leader's clock stepped back. A reused
// id would be taken for a duplicate submission.
type operationIDs struct {
	nowMS     int64
	keptPerVM map[string]int // number of intents kept for each VM
}

func (in WaveInput) operationIDs() operationIDs {
	ids := operationIDs{in.NowMS, map[string]int{}}
	for _, it := range in.Intents {
		ids.keptPerVM[it.Vm]++
	}
	return ids
}

// newID returns the id of the operation that is planned for vm in this round. There
// is at most one for each prefix.
func (ids operationIDs) newID(prefix, vm string) string {
	return fmt.Sprintf("%s.%s.%d.%d", prefix, vm, ids.nowMS, ids.keptPerVM[vm])
}

type attemptKey struct{ maintenance, vm string }

// attempts are the failed operations of one maintenance object on one VM.
type attempts struct {
	failed int
	lastMS int64 // log time of the last failure, in Unix milliseconds
}

// wavePlanner plans one round for all maintenance objects together, because
// objects of the same pool share its budget.
type wavePlanner struct {
	in     WaveInput
	vms    map[string]*apiv1.Vm
	byPool map[string][]*apiv1.Vm
	down   map[string]*downCount
	// active holds the VMs with an operation in progress or planned, per
	// maintenance object.
	active   map[string][]*apiv1.Vm
	attempts map[attemptKey]attempts
	// planned holds the ids of the VMs with an operation planned in this round.
	planned map[string]bool
	ids     operationIDs
	intents []*apiv1.Intent
}

func newWavePlanner(in WaveInput) *wavePlanner {
	w := &wavePlanner{
		in:       in,
		vms:      make(map[string]*apiv1.Vm, len(in.VMs)),
		byPool:   map[string][]*apiv1.Vm{},
		down:     map[string]*downCount{},
		active:   map[string][]*apiv1.Vm{},
		attempts: map[attemptKey]attempts{},
		planned:  map[string]bool{},
		ids:      in.operationIDs(),
	}
	for _, vm := range in.VMs {
		w.vms[vm.Id] = vm
		w.byPool[vm.Pool] = append(w.byPool[vm.Pool], vm)
	}
	for pool, vms := range w.byPool {
		w.down[pool] = countDown(vms, in.Index)
	}
	for _, it := range in.Intents {
		w.recordIntent(it)
	}
	return w
}

// recordIntent adds an intent of a maintenance object to the active VMs or to the
// failed attempts.
func (w *wavePlanner) recordIntent(it *apiv1.Intent) {
	vm, ok := w.vms[it.Vm]
	if !ok || it.Maintenance == "" {
		return
	}
	if !Finished(it.Phase) {
		w.active[it.Maintenance] = append(w.active[it.Maintenance], vm)
	}
	if it.Phase == apiv1.IntentPhase_INTENT_PHASE_FAILED {
		key := attemptKey{it.Maintenance, it.Vm}
		w.attempts[key] = attempts{w.attempts[key].failed + 1, max(w.attempts[key].lastMS, it.PhaseUnixMs)}
	}
}

// PlanWaves returns the next intents of the maintenance objects that are running: as
// many as max_parallel (the object's limit on operations in progress) and the
// availability budget (the most VMs of a pool, zone or rack that may be down at
// once) allow. Each object works in one availability zone at a time. A wave is the
// operations that one object starts there in one planning round; package batch calls
// a whole numbered request of an operator a wave.
func PlanWaves(in WaveInput) []*apiv1.Intent {
	w := newWavePlanner(in)
	for _, m := range in.Index.Set.Maintenance {
		if m.State == apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING {
			w.planMaintenance(m)
		}
	}
	return w.intents
}

// PlanCancellations returns advances that cancel the draining intents of
// maintenance objects that are no longer running. Operations that the platform
// carries out already are not canceled.
func PlanCancellations(in WaveInput) []*apiv1.IntentAdvance {
	running := map[string]bool{"": true}
	for _, m := range in.Index.Set.Maintenance {
		running[m.Name] = m.State == apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING
	}
	var out []*apiv1.IntentAdvance
	for _, it := range in.Intents {
		if it.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING && !running[it.Maintenance] {
			out = append(out, &apiv1.IntentAdvance{
				OperationId: it.OperationId,
				Phase:       apiv1.IntentPhase_INTENT_PHASE_CANCELED,
				Reason:      "maintenance " + it.Maintenance + " is not running",
			})
		}
	}
	return out
}

// DrainTimeout returns how long an operation waits for its VM to become empty. After
// this time the operation starts although work is still running there.
func DrainTimeout(it *apiv1.Intent, ix *objects.Index) time.Duration {
	for _, m := range ix.Set.Maintenance {
		if m.Name == it.Maintenance && m.DrainTimeoutMs > 0 {
			return time.Duration(m.DrainTimeoutMs) * time.Millisecond
		}
	}
	return defaultDrainTimeout
}

// PlanRepairs returns reboots of VMs whose worker is quarantined. These reboots use
// no further availability budget, because such a VM already counts as down.
func PlanRepairs(in WaveInput) []*apiv1.Intent {
	var out []*apiv1.Intent
	ids := in.operationIDs()
	failedMS := map[string]int64{}
	for _, it := range in.Intents {
		if it.Phase == apiv1.IntentPhase_INTENT_PHASE_FAILED {
			failedMS[it.Vm] = max(failedMS[it.Vm], it.PhaseUnixMs)
		}
	}
	for _, vm := range in.VMs {
		last := max(vm.LastMaintainedUnixMs, failedMS[vm.Id])
		if vm.Quarantined && vm.OperationId == "" && in.NowMS-last >= repairWaitMS {
			out = append(out, &apiv1.Intent{
				OperationId: ids.newID("repair", vm.Id),
				Vm:          vm.Id, FromPool: vm.Pool, Kind: apiv1.IntentKind_INTENT_KIND_REBOOT,
			})
		}
	}
	return out
}

// planMaintenance plans the operations of the maintenance object m in the
// availability zone that m works in now.
func (w *wavePlanner) planMaintenance(m *apiv1.Maintenance) {
	targets := w.targets(m)
	zone := w.activeZone(m, targets)
	for _, vm := range targets {
		if vm.AvailabilityZone == zone && w.blockReason(m, vm) == "" {
			w.schedule(m, vm)
		}
	}
}

// targets returns the VMs that m still has to maintain. VMs that are not available
// come first, because their maintenance uses no further budget, then the others by
// increasing load.
func (w *wavePlanner) targets(m *apiv1.Maintenance) []*apiv1.Vm {
	var list []*apiv1.Vm
	for _, vm := range w.byPool[m.Pool] {
		listed := len(m.Vms) == 0 || slices.Contains(m.Vms, vm.Id)
		if listed && !slices.Contains(vm.MaintenancesDone, m.Name) {
			list = append(list, vm)
		}
	}
	order := func(vm *apiv1.Vm) int {
		if !Available(vm, w.in.Index) {
			return -1
		}
		return w.in.load(vm.Id)
	}
	slices.SortStableFunc(list, func(a, b *apiv1.Vm) int { return cmp.Compare(order(a), order(b)) })
	return list
}

// activeZone returns the availability zone that m works in: the one with operations
// in progress, else the first by name in which an operation can start. The result is
// empty if no operation can start anywhere.
func (w *wavePlanner) activeZone(m *apiv1.Maintenance, targets []*apiv1.Vm) string {
	zone := ""
	for _, vm := range w.active[m.Name] {
		if zone == "" || vm.AvailabilityZone < zone {
			zone = vm.AvailabilityZone
		}
	}
	if zone != "" {
		return zone
	}
	for _, vm := range targets {
		if (zone == "" || vm.AvailabilityZone < zone) && w.blockReason(m, vm) == "" {
			zone = vm.AvailabilityZone
		}
	}
	return zone
}

// blockReason returns why m cannot start on vm now, apart from vm's availability
// zone not being active. The reason is empty if m can start.
func (w *wavePlanner) blockReason(m *apiv1.Maintenance, vm *apiv1.Vm) string {
	if vm.OperationId != "" || w.planned[vm.Id] {
		return "another operation is in progress on the VM"
	}
	if a := w.attempts[attemptKey{m.Name, vm.Id}]; a.failed >= maxAttempts {
		return fmt.Sprintf("failed %d times; repair the VM, then set the maintenance to planned and to running again", a.failed)
	} else if a.failed > 0 && w.in.NowMS-a.lastMS < retryWaitMS {
		return "the last attempt failed; the next one follows after a minute"
	}
	if n := len(w.active[m.Name]); m.MaxParallel > 0 && n >= int(m.MaxParallel) {
		return fmt.Sprintf("max_parallel %d is reached", m.MaxParallel)
	}
	if !Available(vm, w.in.Index) {
		return ""
	}
	if err := w.down[vm.Pool].check(vm, budgetOf(vm.Pool, w.in.Index)); err != nil {
		return err.Message
	}
	return ""
}

// schedule plans the operation of m on vm and counts it against the budget and
// max_parallel.
func (w *wavePlanner) schedule(m *apiv1.Maintenance, vm *apiv1.Vm) {
	if Available(vm, w.in.Index) {
		w.down[vm.Pool].add(vm)
	}
	w.planned[vm.Id] = true
	w.active[m.Name] = append(w.active[m.Name], vm)
	w.intents = append(w.intents, &apiv1.Intent{
		OperationId: w.ids.newID("wave."+m.Name, vm.Id),
		Vm:          vm.Id, Kind: m.Action, FromPool: vm.Pool, Maintenance: m.Name,
	})
}
