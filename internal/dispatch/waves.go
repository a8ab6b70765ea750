package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// drainAhead is how many machines beyond the remaining budget of a wave (the
	// machines of a maintenance request that may still go down) are drained in
	// advance, that is, get no new work.
	drainAhead = 1
	// maxListAge is how long after its arrival the list of machines is recent enough
	// to start maintenance.
	maxListAge = 200 * time.Millisecond
	// maxDrainTimeout is the longest time that a machine's finite tasks, which end
	// by themselves, are awaited before they are stopped.
	maxDrainTimeout = 6 * time.Second
	// minDrainTimeout is the shortest such time. It lets short tasks end even when
	// the wave is late.
	minDrainTimeout = 700 * time.Millisecond
)

// advanceWaves advances every open wave (a list of machines to be maintained,
// not all of which are) by one round of the fleet manager, that is, one pass of
// its loop. It returns the machines that are draining, and the set of all
// machines that must stay in their pool for now.
func (f *fleetManager) advanceWaves() (draining []string, unmovable map[string]bool) {
	var waves []*apiv1.MaintenanceWave
	var nowMS int64
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, w := range st.Batch.OpenWaves() {
			waves = append(waves, &apiv1.MaintenanceWave{
				Number: w.Number, MaxDown: w.MaxDown, DueUnixMs: w.DueUnixMs, Services: slices.Clone(w.Services),
			})
		}
		nowMS = st.LogTimeMS
	})
	// Log time, the largest time stamped on an applied command, does not advance
	// while nothing is committed.
	nowMS = max(nowMS, time.Now().UnixMilli())
	unmovable = map[string]bool{}
	f.availabilityMu.Lock()
	defer f.availabilityMu.Unlock()
	f.availability = f.taskAvailability()
	f.machinesDue = map[string]bool{}
	for _, w := range waves {
		f.trackMaintenance(w)
	}
	for _, w := range waves {
		draining = append(draining, f.advanceWave(w, waves, nowMS)...)
		for _, sv := range w.Services {
			unmovable[sv.Machine] = unmovable[sv.Machine] || batch.IsDownForMaintenance(sv.State)
			f.machinesDue[sv.Machine] = !batch.MaintenanceDone(sv.State)
		}
	}
	for _, id := range draining {
		unmovable[id] = true
	}
	return draining, unmovable
}

// trackMaintenance starts commits of the maintenance states that the provider's
// list shows for the machines of a wave. A later round reads them from the
// state.
func (f *fleetManager) trackMaintenance(w *apiv1.MaintenanceWave) {
	for _, sv := range w.Services {
		next := f.observedState(w.Number, sv)
		if next == sv.State || !f.orders.tryLock(sv.Machine) {
			continue
		}
		change := &apiv1.MachineService{Machine: sv.Machine, State: next, OrderedUnixMs: sv.OrderedUnixMs, Term: sv.Term}
		f.d.wg.Go(func() {
			defer f.orders.unlock(sv.Machine)
			f.commitMaintenance(w.Number, change)
		})
	}
}

// commitMaintenance commits the maintenance state of a machine and reports
// whether that succeeded. It logs the result.
func (f *fleetManager) commitMaintenance(wave uint64, sv *apiv1.MachineService) bool {
	cmd := &apiv1.UpdateServices{Wave: wave, Services: []*apiv1.MachineService{sv}}
	_, err := f.d.propose(f.d.ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: cmd}})
	log := f.d.log.WithFields(logrus.Fields{"wave": wave, "machine": sv.Machine, "state": sv.State.String()})
	if err != nil {
		if f.d.ctx.Err() == nil {
			log.WithError(err).Warn("maintenance state was not committed")
		}
		return false
	}
	log.Info("machine service")
	return true
}

// machineLoad is what a machine runs, as far as it matters for its maintenance.
type machineLoad struct {
	// maintenance is the committed state of the machine's maintenance.
	maintenance *apiv1.MachineService
	// incarnation is that of the machine's minion, zero if it has none.
	incarnation batch.Incarnation
	// finite lists the runs (executions) of tasks that end by themselves.
	finite []batch.RunKey
	// longRunningRank is 1 when the machine has long-running tasks, else 0.
	longRunningRank int
	// unknown is set when it is not known which tasks are available (can do their
	// work) on the machine.
	unknown bool
	// steps are the long-running steps that limit their unavailable tasks and have
	// tasks on the machine.
	steps []stepLoad
}

// stepLoad lists the tasks of one long-running step on a machine. Tasks that were
// not available when the minion last answered may be so now.
type stepLoad struct {
	step batch.TaskRef
	// maxUnavailable is how many tasks of the step may be unavailable at the same
	// time.
	maxUnavailable int
	runs           []batch.RunKey
	// starting is how many of runs were not available, and so are counted among the
	// step's unavailable tasks.
	starting int
}

// advanceWave starts the maintenance that may start now and returns the machines
// that are draining or have an order without an answer. open holds all open waves,
// w included.
func (f *fleetManager) advanceWave(w *apiv1.MaintenanceWave, open []*apiv1.MaintenanceWave, nowMS int64) []string {
	loads, waits := f.loads(w)
	defer func() { f.logWaits(w, waits) }()
	slices.SortStableFunc(loads, f.compareLoads)
	down := batch.DownMachines(open)
	for _, machine := range f.orders.pendingMachines() {
		down[machine] = down[machine] || f.movingTo[machine] == ""
	}
	budget := remainingBudget(w, down)
	draining := f.resendOrders(w)
	timeout := f.drainTimeout(w, nowMS, len(loads))
	taken := 0
	var starting []*apiv1.MachineService
	for i, l := range loads {
		machine := l.maintenance.Machine
		if l.unknown || !f.availability.allowsMaintenance(l) {
			waits.addBlocked(f.availability, l)
			f.relocateTask(l, budget)
			continue
		}
		if taken >= budget+drainAhead {
			for _, later := range loads[i:] {
				waits.add(waitLimit, later.maintenance.Machine)
			}
			break
		}
		taken++
		draining = append(draining, machine)
		switch {
		case taken > budget:
			waits.add(waitLimit, machine)
		case blockedByOtherWave(machine, w, open, down):
			waits.add(waitOtherWave, machine)
		case !f.drain(l, timeout):
			waits.add(waitDraining, machine)
		case !f.ensureFreshList(l.incarnation):
			waits.add(waitList, machine)
		default:
			f.availability.markUnavailable(l)
			down[machine] = true
			starting = append(starting, l.maintenance)
		}
	}
	f.startMaintenance(w, starting)
	return draining
}

// remainingBudget returns how many more machines of a wave may go down. Machines
// that are down for another wave count too.
func remainingBudget(w *apiv1.MaintenanceWave, down map[string]bool) int {
	return int(w.MaxDown) - int(batch.DownInWave(w, down))
}

// blockedByOtherWave reports whether the machine also belongs to another open
// wave that has no remaining budget.
func blockedByOtherWave(machine string, w *apiv1.MaintenanceWave, open []*apiv1.MaintenanceWave, down map[string]bool) bool {
	return slices.ContainsFunc(open, func(other *apiv1.MaintenanceWave) bool {
		member := func(sv *apiv1.MachineService) bool { return sv.Machine == machine }
		return other.Number != w.Number && remainingBudget(other, down) <= 0 && slices.ContainsFunc(other.Services, member)
	})
}

// ensureFreshList reports whether the list of machines is recent enough to start
// the maintenance of the machine on which it shows an incarnation. If not, the next
// round reads it again. A list may take long to arrive: while it did, the machine may
// have got another minion, unless the one that it shows still answers.
func (f *fleetManager) ensureFreshList(inc batch.Incarnation) bool {
	now := f.d.clock.Now()
	if now-f.receivedAt < maxListAge && (f.answersRecently(inc, now) || now-f.listedAt < maxOrderAge) {
		return true
	}
	f.listOutdated = true
	return false
}

// compareLoads orders machines for maintenance: first those with long-running
// tasks, since the limits of their steps make them go one after the other, then
// those that are draining, then those with the fewest finite tasks.
func (f *fleetManager) compareLoads(a, b machineLoad) int {
	return cmp.Or(cmp.Compare(b.longRunningRank, a.longRunningRank), cmp.Compare(f.drainingRank(a), f.drainingRank(b)), cmp.Compare(len(a.finite), len(b.finite)))
}

// drainingRank returns 0 for a machine that is draining, else 1.
func (f *fleetManager) drainingRank(l machineLoad) int {
	if _, ok := f.drainingSince[l.maintenance.Machine]; ok {
		return 0
	}
	return 1
}

// drain reports whether the machine has got no new work for a whole round and no
// finite task is left on it, and stops those that are left after timeout. They are
// stopped rather than ended with the machine, since their ends and checkpoints must
// be known before the minion is gone.
func (f *fleetManager) drain(l machineLoad, timeout time.Duration) bool {
	since, ok := f.drainingSince[l.maintenance.Machine]
	if ok && f.d.clock.Now()-since > timeout {
		for _, run := range l.finite {
			f.d.stopRun(run)
		}
	}
	// A planning round may have started a task on a minion that got work until now.
	reserved := l.incarnation == (batch.Incarnation{}) || f.isReserved(l.incarnation)
	return reserved && len(l.finite) == 0
}

// drainTimeout returns how long finite tasks are awaited on each machine. The
// machines that are left go down in batches of max_down at a time; the time
// until the wave's deadline is divided evenly among the batches.
func (f *fleetManager) drainTimeout(w *apiv1.MaintenanceWave, nowMS int64, left int) time.Duration {
	batches := max((left+int(w.MaxDown)-1)/max(int(w.MaxDown), 1), 1)
	share := time.Duration(w.DueUnixMs-nowMS) * time.Millisecond / time.Duration(batches)
	return min(max(share-f.opts.MaintenanceTime-activeListInterval, minDrainTimeout), maxDrainTimeout)
}

// resendOrders repeats the committed maintenance orders whose answer is not known,
// for instance those of an earlier leader. It returns the machines that such
// orders are for, also when one of them is not repeated now: the first one may not
// have been carried out, so what the next one ends is checked again. That isn't known
// of a machine without a usable entry in the list.
func (f *fleetManager) resendOrders(w *apiv1.MaintenanceWave) []string {
	var machines []string
	for _, sv := range w.Services {
		if sv.State != apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED {
			continue
		}
		machines = append(machines, sv.Machine)
		_, listed := f.machines[sv.Machine]
		if !listed || f.failedRecently(sv.Machine) || f.orders.isPending(sv.Machine) {
			continue
		}
		call := f.maintenanceCall(w, sv, false)
		if f.mayEnd(f.withTarget(call)) {
			f.sendOrder(call)
		} else {
			f.listOutdated = f.listOutdated || f.d.clock.Now()-f.receivedAt >= maxListAge
		}
	}
	return machines
}

// loads returns the loads of the machines of a wave that still need maintenance
// and may get an order now, and why others may not.
func (f *fleetManager) loads(w *apiv1.MaintenanceWave) (out []machineLoad, waits waveWaits) {
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, sv := range w.Services {
			if sv.State != apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED {
				continue
			}
			if reason := f.mayNotBeOrdered(sv.Machine); reason != "" {
				waits.add(reason, sv.Machine)
				continue
			}
			out = append(out, f.loadOf(st.Batch, sv, f.machines[sv.Machine]))
		}
	})
	return out, waits
}

// loadOf returns the load of one machine. It is called while the state is locked
// for reading.
func (f *fleetManager) loadOf(st *batch.State, sv *apiv1.MachineService, m Machine) machineLoad {
	l := machineLoad{maintenance: sv}
	minion := st.Minion(m.MinionID)
	if minion == nil {
		// A machine in a spare pool is powered off and has no minion. On any other
		// machine, an unknown minion may have tasks.
		l.unknown = !st.Pool(m.Pool).GetSpare()
		return l
	}
	inc := batch.IncarnationOf(minion.Life)
	l.incarnation = inc
	for _, r := range st.LoadOf(inc).Runs() {
		if !r.Step.LongRunning {
			l.finite = append(l.finite, r.Key())
			continue
		}
		l.longRunningRank = 1
		switch {
		case r.Step.MaxUnavailable == 0:
		case !f.availability.usable[inc]:
			// The minion hasn't answered normally of late, so it isn't known which of
			// the minion's long-running tasks are available (can do their work). The
			// machine gets no maintenance until that is known.
			l.unknown = true
		default:
			l.add(r, f.availability.available[r.Ref])
		}
	}
	return l
}

// add records a task of a long-running step. The runs of a machine are added in
// order of their steps.
func (l *machineLoad) add(r *batch.ActiveRun, available bool) {
	step := r.Ref.StepRef()
	if n := len(l.steps); n == 0 || l.steps[n-1].step != step {
		l.steps = append(l.steps, stepLoad{step: step, maxUnavailable: int(r.Step.MaxUnavailable)})
	}
	last := &l.steps[len(l.steps)-1]
	last.runs = append(last.runs, r.Key())
	if !available {
		last.starting++
	}
}

// startMaintenance orders the maintenance of machines. Each order is committed
// before it is sent.
func (f *fleetManager) startMaintenance(w *apiv1.MaintenanceWave, machines []*apiv1.MachineService) {
	for _, sv := range machines {
		f.stopClearing(sv.Machine, f.d.clock.Now())
		f.maintainedIncarnation[sv.Machine] = f.incarnationOn(sv.Machine)
		f.sendOrder(f.maintenanceCall(w, &apiv1.MachineService{
			Machine: sv.Machine, State: apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED,
			OrderedUnixMs: time.Now().UnixMilli(), Term: f.d.term,
		}, true))
	}
}

// maintenanceCall returns the order for the maintenance of a machine. If it can't be
// sent, a later round repeats it.
func (f *fleetManager) maintenanceCall(w *apiv1.MaintenanceWave, sv *apiv1.MachineService, commitFirst bool) machineCall {
	return machineCall{
		machine: sv.Machine, name: "service", incarnation: f.maintainedIncarnation[sv.Machine], maintenance: sv, wave: w.Number, commitFirst: commitFirst,
		send: func(ctx context.Context, o MachineOrder) error {
			return f.opts.Provider.StartMaintenance(ctx, o, w.Number)
		},
	}
}

// maintenanceAfterAnswer returns the maintenance state that follows from the
// outcome of the order, or nil when the outcome is not known.
func maintenanceAfterAnswer(sv *apiv1.MachineService, out outcome) *apiv1.MachineService {
	next := apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED
	switch {
	case out.done:
		next = apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
	case !out.refused:
		return nil
	}
	return &apiv1.MachineService{Machine: sv.Machine, State: next, OrderedUnixMs: sv.OrderedUnixMs, Term: sv.Term}
}
