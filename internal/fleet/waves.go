package fleet

import (
	"cmp"
	"fmt"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// maxAttempts failed operations of one maintenance object on one VM end the
	// attempts, so that one broken VM does not hold up its zone.
	maxAttempts = 3
	// retryWaitMS is the log time between two attempts.
	retryWaitMS = 60 * 1000
	// repairWaitMS is the log time between two reboots of a VM whose reboot
	// failed, or whose worker is quarantined again and again.
	repairWaitMS = 10 * 60 * 1000
)

// WaveInput is the state that waves are planned for.
type WaveInput struct {
	// NowMS is the log time.
	NowMS int64
	// VMs sorted by id.
	VMs     []*apiv1.Vm
	Intents []*apiv1.Intent
	Index   *objects.Index
	// Load is the number of leases and grants on a VM; VMs with the least are
	// taken first. It may be nil.
	Load func(vm string) int
}

func (in WaveInput) load(vm string) int {
	if in.Load == nil {
		return 0
	}
	return in.Load(vm)
}

// operationIDs makes ids for one planning round. The number of intents kept for
// the VM makes an id unique while log time stands still, which it does after the
// leader's clock stepped back; a reused id would be taken for a resend.
type operationIDs struct {
	nowMS int64
	kept  map[string]int
}

func (in WaveInput) operationIDs() operationIDs {
	ids := operationIDs{in.NowMS, map[string]int{}}
	for _, it := range in.Intents {
		ids.kept[it.Vm]++
	}
	return ids
}

func (ids operationIDs) next(prefix, vm string) string {
	return fmt.Sprintf("%s.%s.%d.%d", prefix, vm, ids.nowMS, ids.kept[vm])
}

type attemptKey struct{ maintenance, vm string }

type attempts struct {
	failed int
	lastMS int64
}

// wave plans all maintenance objects over one state, because objects of the
// same pool share its budget.
type wave struct {
	in     WaveInput
	vms    map[string]*apiv1.Vm
	byPool map[string][]*apiv1.Vm
	down   map[string]*downCount
	// active holds the VMs in progress per maintenance object.
	active   map[string][]*apiv1.Vm
	attempts map[attemptKey]attempts
	// taken holds the VMs planned in this round.
	taken map[string]bool
	ids   operationIDs
	out   []*apiv1.Intent
}

func newWave(in WaveInput) *wave {
	w := &wave{
		in:       in,
		vms:      make(map[string]*apiv1.Vm, len(in.VMs)),
		byPool:   map[string][]*apiv1.Vm{},
		down:     map[string]*downCount{},
		active:   map[string][]*apiv1.Vm{},
		attempts: map[attemptKey]attempts{},
		taken:    map[string]bool{},
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
		w.record(it)
	}
	return w
}

func (w *wave) record(it *apiv1.Intent) {
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

// PlanWaves returns new intents for the maintenance objects that are running:
// as many as the availability budget and max_parallel allow, one availability
// zone at a time.
func PlanWaves(in WaveInput) []*apiv1.Intent {
	w := newWave(in)
	for _, m := range in.Index.Set.Maintenance {
		if m.State == apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING {
			w.plan(m)
		}
	}
	return w.out
}

// PlanCancellations returns the cancellation of drains whose maintenance object
// is no longer running. Operations that the platform carries out go on.
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

// PlanRepairs returns reboots of VMs whose worker is quarantined. They need no
// budget, because such a VM counts as down already.
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
				OperationId: ids.next("repair", vm.Id),
				Vm:          vm.Id, FromPool: vm.Pool, Kind: apiv1.IntentKind_INTENT_KIND_REBOOT,
			})
		}
	}
	return out
}

func (w *wave) plan(m *apiv1.Maintenance) {
	targets := w.targets(m)
	zone := w.zone(m, targets)
	for _, vm := range targets {
		if vm.AvailabilityZone == zone && w.held(m, vm) == "" {
			w.take(m, vm)
		}
	}
}

// targets returns the VMs that m still has to maintain: first those that are
// down already, because their repair needs no budget, then the least loaded.
func (w *wave) targets(m *apiv1.Maintenance) []*apiv1.Vm {
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

// zone returns the availability zone that m works in: the one with operations
// in progress, else the first by name in which something can start.
func (w *wave) zone(m *apiv1.Maintenance, targets []*apiv1.Vm) string {
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
		if (zone == "" || vm.AvailabilityZone < zone) && w.held(m, vm) == "" {
			zone = vm.AvailabilityZone
		}
	}
	return zone
}

// held tells why vm cannot start now for a reason other than its availability
// zone. It is empty when vm can start.
func (w *wave) held(m *apiv1.Maintenance, vm *apiv1.Vm) string {
	if vm.OperationId != "" || w.taken[vm.Id] {
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
	if err := w.down[vm.Pool].allows(vm, budgetOf(vm.Pool, w.in.Index)); err != nil {
		return err.Message
	}
	return ""
}

func (w *wave) take(m *apiv1.Maintenance, vm *apiv1.Vm) {
	if Available(vm, w.in.Index) {
		w.down[vm.Pool].add(vm)
	}
	w.taken[vm.Id] = true
	w.active[m.Name] = append(w.active[m.Name], vm)
	w.out = append(w.out, &apiv1.Intent{
		OperationId: w.ids.next("wave."+m.Name, vm.Id),
		Vm:          vm.Id, Kind: m.Action, FromPool: vm.Pool, Maintenance: m.Name,
	})
}
