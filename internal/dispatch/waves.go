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
	// drainAhead is how many machines beyond the free places of a wave are
	// emptied in advance.
	drainAhead = 1
	// relocationInterval is the time between two tasks that are moved off a machine;
	// the first may find no other place and come back.
	relocationInterval = 3 * time.Second
	// maxListAge is the age up to which the list tells what runs on a machine
	// that is ordered away.
	maxListAge = 200 * time.Millisecond
	// maxDrainTimeout is the longest wait for the tasks of a machine to end
	// before they are stopped.
	maxDrainTimeout = 6 * time.Second
	// minDrainTimeout lets short tasks end even when a wave is late.
	minDrainTimeout = 700 * time.Millisecond
)

// advanceWaves advances every open wave by one round. It returns the machines
// that are being emptied, and all that must stay where they are for now.
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
	nowMS = max(nowMS, time.Now().UnixMilli())
	unmovable = map[string]bool{}
	f.availability = f.taskAvailability()
	f.machinesDue = map[string]bool{}
	for _, w := range waves {
		f.trackServices(w)
	}
	for _, w := range waves {
		draining = append(draining, f.advanceWave(w, waves, nowMS)...)
		for _, sv := range w.Services {
			unmovable[sv.Machine] = unmovable[sv.Machine] || batch.MachineDown(sv.State)
			f.machinesDue[sv.Machine] = !batch.MaintenanceDone(sv.State)
		}
	}
	for _, id := range draining {
		unmovable[id] = true
	}
	return draining, unmovable
}

// trackServices has what the list tells about the machines of a wave committed;
// a later round sees it.
func (f *fleetManager) trackServices(w *apiv1.MaintenanceWave) {
	for _, sv := range w.Services {
		next := f.observedState(sv)
		if next == sv.State || !f.orders.tryLock(sv.Machine) {
			continue
		}
		change := &apiv1.MachineService{Machine: sv.Machine, State: next, OrderedUnixMs: sv.OrderedUnixMs, Term: sv.Term}
		f.d.wg.Go(func() {
			defer f.orders.unlock(sv.Machine)
			f.commitService(w.Number, change)
		})
	}
}

func (f *fleetManager) observedState(sv *apiv1.MachineService) apiv1.MachineServiceState {
	m, listed := f.machines[sv.Machine]
	switch {
	case batch.MaintenanceDone(sv.State):
		return sv.State
	case !listed:
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_GONE
	case sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED && m.State == MachineInMaintenance:
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
	case sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED && m.State == MachineUp && f.listedAfterOrder(sv.Machine):
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
	}
	return sv.State
}

// listedAfterOrder tells that the list is younger than the answer to the last
// order: a machine that it shows as up is back.
func (f *fleetManager) listedAfterOrder(machine string) bool {
	return f.listedAt > f.answeredAt[machine]
}

// commitService commits the state of a service.
func (f *fleetManager) commitService(wave uint64, sv *apiv1.MachineService) bool {
	cmd := &apiv1.UpdateServices{Wave: wave, Services: []*apiv1.MachineService{sv}}
	_, err := f.d.propose(f.d.ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateServices{UpdateServices: cmd}})
	log := f.d.log.WithFields(logrus.Fields{"wave": wave, "machine": sv.Machine, "state": sv.State.String()})
	if err != nil {
		if f.d.ctx.Err() == nil {
			log.WithError(err).Warn("progress of the wave was not committed")
		}
		return false
	}
	log.Info("machine service")
	return true
}

// machineLoad is what a machine runs, as far as its service is concerned.
type machineLoad struct {
	service *apiv1.MachineService
	// finite tasks end by themselves.
	finite []batch.RunKey
	// longRunning is one when it has long-running tasks.
	longRunning int
	// unknown: what is at work there is not known.
	unknown bool
	// steps are the long-running steps with tasks at work there.
	steps []stepLoad
}

// stepLoad is the tasks of one long-running step on a machine.
type stepLoad struct {
	step batch.TaskRef
	// maxUnavailable is how many of its tasks may be away.
	maxUnavailable int
	runs           []batch.RunKey
}

// advanceWave orders the services that may begin now and returns the machines
// to empty for the next ones.
func (f *fleetManager) advanceWave(w *apiv1.MaintenanceWave, open []*apiv1.MaintenanceWave, nowMS int64) []string {
	loads := f.loads(w)
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
	for _, l := range loads {
		if l.unknown || !f.availability.allowsMaintenance(l) {
			f.relocateTask(l, budget)
			continue
		}
		if taken >= budget+drainAhead {
			break
		}
		taken++
		draining = append(draining, l.service.Machine)
		if taken <= budget && !blockedByOtherWave(l.service.Machine, w, open, down) && f.drained(l, timeout) && f.ensureFreshList() {
			f.availability.markUnavailable(l)
			down[l.service.Machine] = true
			starting = append(starting, l.service)
		}
	}
	f.startMaintenance(w, starting)
	return draining
}

func remainingBudget(w *apiv1.MaintenanceWave, down map[string]bool) int {
	return int(w.MaxDown) - int(batch.DownInWave(w, down))
}

// blockedByOtherWave tells that another wave that the machine belongs to has no place
// left for it.
func blockedByOtherWave(machine string, w *apiv1.MaintenanceWave, open []*apiv1.MaintenanceWave, down map[string]bool) bool {
	return slices.ContainsFunc(open, func(other *apiv1.MaintenanceWave) bool {
		member := func(sv *apiv1.MachineService) bool { return sv.Machine == machine }
		return other.Number != w.Number && remainingBudget(other, down) <= 0 && slices.ContainsFunc(other.Services, member)
	})
}

// ensureFreshList tells whether the list may be acted on; otherwise it is read
// again in the next round.
func (f *fleetManager) ensureFreshList() bool {
	if f.d.clock.Now()-f.listedAt < maxListAge {
		return true
	}
	f.listOutdated = true
	return false
}

// relocateTask moves one task of a step that has too many on the machine.
func (f *fleetManager) relocateTask(l machineLoad, budget int) {
	last, relieved := f.relocatedAt[l.service.Machine]
	now := f.d.clock.Now()
	if l.unknown || budget <= 0 || relieved && now-last < relocationInterval {
		return
	}
	if run, ok := f.availability.nextRelocation(l); ok {
		f.relocatedAt[l.service.Machine] = now
		f.d.stopRun(run)
	}
}

// compareLoads puts machines with long-running tasks first, since their steps
// let them go only one after the other, then those that are being emptied, then
// those with the least to end.
func (f *fleetManager) compareLoads(a, b machineLoad) int {
	return cmp.Or(cmp.Compare(b.longRunning, a.longRunning), cmp.Compare(f.drainingRank(a), f.drainingRank(b)), cmp.Compare(len(a.finite), len(b.finite)))
}

func (f *fleetManager) drainingRank(l machineLoad) int {
	if _, ok := f.drainingSince[l.service.Machine]; ok {
		return 0
	}
	return 1
}

// drained tells whether no finite task is left on the machine. Those that take
// too long are stopped: their ends, and what they saved, must be known before
// the minion is gone.
func (f *fleetManager) drained(l machineLoad, timeout time.Duration) bool {
	since, ok := f.drainingSince[l.service.Machine]
	if ok && f.d.clock.Now()-since > timeout {
		for _, run := range l.finite {
			f.d.stopRun(run)
		}
	}
	return len(l.finite) == 0
}

// patience shares the time left evenly among the services left.
func (f *fleetManager) drainTimeout(w *apiv1.MaintenanceWave, nowMS int64, left int) time.Duration {
	rounds := max((left+int(w.MaxDown)-1)/max(int(w.MaxDown), 1), 1)
	share := time.Duration(w.DueUnixMs-nowMS) * time.Millisecond / time.Duration(rounds)
	return min(max(share-f.opts.MaintenanceTime-activeListInterval, minDrainTimeout), maxDrainTimeout)
}

// resendOrders repeats the orders that have no answer yet.
func (f *fleetManager) resendOrders(w *apiv1.MaintenanceWave) []string {
	var machines []string
	for _, sv := range w.Services {
		if sv.State != apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED {
			continue
		}
		machines = append(machines, sv.Machine)
		if !f.failedRecently(sv.Machine) && !f.orders.isPending(sv.Machine) {
			f.orderMaintenance(w, sv, false)
		}
	}
	return machines
}

// loads returns the machines that are up and still need their service.
func (f *fleetManager) loads(w *apiv1.MaintenanceWave) []machineLoad {
	var out []machineLoad
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, sv := range w.Services {
			m, listed := f.machines[sv.Machine]
			due := sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED && !f.orders.isPending(sv.Machine)
			if !due || !listed || m.State != MachineUp || f.movingTo[sv.Machine] != "" || f.failedRecently(sv.Machine) {
				continue
			}
			out = append(out, f.loadOf(st.Batch, sv, m))
		}
	})
	return out
}

func (f *fleetManager) loadOf(st *batch.State, sv *apiv1.MachineService, m Machine) machineLoad {
	l := machineLoad{service: sv}
	minion := st.Minion(m.MinionID)
	if minion == nil {
		// What runs on a machine whose minion is not known is not known either.
		l.unknown = !st.Pool(m.Pool).GetSpare()
		return l
	}
	inc := batch.IncarnationOf(minion.Life)
	for _, r := range st.LoadOf(inc).Runs() {
		if !r.Step.LongRunning {
			l.finite = append(l.finite, r.Key())
			continue
		}
		l.longRunning = 1
		switch {
		case r.Step.MaxUnavailable == 0:
		case !f.availability.responsive[inc]:
			// Its tasks may well be at work behind answers that are late.
			l.unknown = true
		case f.availability.available[r.Ref]:
			l.add(r)
		}
	}
	return l
}

// add counts a task at work; the runs of a load come ordered by step.
func (l *machineLoad) add(r *batch.ActiveRun) {
	step := r.Ref.StepRef()
	if n := len(l.steps); n == 0 || l.steps[n-1].step != step {
		l.steps = append(l.steps, stepLoad{step: step, maxUnavailable: int(r.Step.MaxUnavailable)})
	}
	last := &l.steps[len(l.steps)-1]
	last.runs = append(last.runs, r.Key())
}

// begin orders services; each is committed before its order leaves.
func (f *fleetManager) startMaintenance(w *apiv1.MaintenanceWave, services []*apiv1.MachineService) {
	for _, sv := range services {
		f.maintainedIncarnation[sv.Machine] = f.incarnationOn(sv.Machine)
		f.orderMaintenance(w, &apiv1.MachineService{
			Machine: sv.Machine, State: apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED,
			OrderedUnixMs: time.Now().UnixMilli(), Term: f.d.term,
		}, true)
	}
}

// give sends the order of a service; one that must wait is sent by a later
// round.
func (f *fleetManager) orderMaintenance(w *apiv1.MaintenanceWave, sv *apiv1.MachineService, commitFirst bool) {
	f.sendOrder(machineCall{
		machine: sv.Machine, name: "service", incarnation: f.maintainedIncarnation[sv.Machine], service: sv, wave: w.Number, commitFirst: commitFirst,
		call: func(ctx context.Context) error {
			return f.opts.Provider.StartMaintenance(ctx, f.newOrder(sv.Machine), w.Number)
		},
	})
}

// serviceAfter returns the state of a service after the answer to its order,
// nil while that is not known.
func serviceAfterAnswer(sv *apiv1.MachineService, out outcome) *apiv1.MachineService {
	next := apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED
	switch {
	case out.done:
		next = apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
	case !out.refused:
		return nil
	}
	return &apiv1.MachineService{Machine: sv.Machine, State: next, OrderedUnixMs: sv.OrderedUnixMs, Term: sv.Term}
}
