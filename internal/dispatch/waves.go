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
	// lookahead is how many machines beyond the free places of a wave are
	// emptied in advance.
	lookahead = 1
	// relievePause is the time between two tasks that are moved off a machine;
	// the first may find no other place and come back.
	relievePause = 3 * time.Second
	// freshList is the age up to which the list tells what runs on a machine
	// that is ordered away.
	freshList = 200 * time.Millisecond
	// emptyPatience is the longest wait for the tasks of a machine to end
	// before they are stopped.
	emptyPatience = 6 * time.Second
	// minEmptyPatience lets short tasks end even when a wave is late.
	minEmptyPatience = 700 * time.Millisecond
)

// serviceWaves advances every open wave by one round. It returns the machines
// that are being emptied, and all that must stay where they are for now.
func (f *fleetManager) serviceWaves() (reserve []string, busy map[string]bool) {
	var waves []*apiv1.MaintenanceWave
	var nowMS int64
	f.d.o.Machine.Read(func(st *state.State) {
		for _, w := range st.Batch.OpenWaves() {
			waves = append(waves, &apiv1.MaintenanceWave{
				Number: w.Number, MaxDown: w.MaxDown, DueUnixMs: w.DueUnixMs, Services: slices.Clone(w.Services),
			})
		}
		nowMS = st.LogTimeMS
	})
	nowMS = max(nowMS, time.Now().UnixMilli())
	busy = map[string]bool{}
	f.tasks = f.taskAvailability()
	f.due = map[string]bool{}
	for _, w := range waves {
		f.trackServices(w)
	}
	for _, w := range waves {
		reserve = append(reserve, f.advanceWave(w, waves, nowMS)...)
		for _, sv := range w.Services {
			busy[sv.Machine] = busy[sv.Machine] || batch.MachineDown(sv.State)
			f.due[sv.Machine] = !batch.MaintenanceDone(sv.State)
		}
	}
	for _, id := range reserve {
		busy[id] = true
	}
	return reserve, busy
}

// trackServices has what the list tells about the machines of a wave committed;
// a later round sees it.
func (f *fleetManager) trackServices(w *apiv1.MaintenanceWave) {
	for _, sv := range w.Services {
		next := f.observedState(sv)
		if next == sv.State || !f.orders.hold(sv.Machine) {
			continue
		}
		change := &apiv1.MachineService{Machine: sv.Machine, State: next, OrderedUnixMs: sv.OrderedUnixMs, Term: sv.Term}
		f.d.wg.Go(func() {
			defer f.orders.release(sv.Machine)
			f.updateServices(w.Number, change)
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
	case sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED && m.State == MachineInService:
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
	case sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED && m.State == MachineUp && f.listedAfterOrder(sv.Machine):
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
	}
	return sv.State
}

// listedAfterOrder tells that the list is younger than the answer to the last
// order: a machine that it shows as up is back.
func (f *fleetManager) listedAfterOrder(machine string) bool {
	return f.listedAt > f.ordered[machine]
}

// updateServices commits the state of a service.
func (f *fleetManager) updateServices(wave uint64, sv *apiv1.MachineService) bool {
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
	// serving is one when it has long-running tasks.
	serving int
	// unknown: what is at work there is not known.
	unknown bool
	// steps are the long-running steps with tasks at work there.
	steps []stepLoad
}

// stepLoad is the tasks of one long-running step on a machine.
type stepLoad struct {
	step batch.TaskRef
	// limit is how many of its tasks may be away.
	limit int
	runs  []batch.RunKey
}

// advanceWave orders the services that may begin now and returns the machines
// to empty for the next ones.
func (f *fleetManager) advanceWave(w *apiv1.MaintenanceWave, open []*apiv1.MaintenanceWave, nowMS int64) []string {
	loads := f.loads(w)
	slices.SortStableFunc(loads, f.compareLoads)
	down := batch.DownMachines(open)
	for _, machine := range f.orders.machines() {
		down[machine] = down[machine] || f.movingTo[machine] == ""
	}
	places := freePlaces(w, down)
	reserve := f.retryOrders(w)
	patience := f.patience(w, nowMS, len(loads))
	taken := 0
	var begin []*apiv1.MachineService
	for _, l := range loads {
		if l.unknown || !f.tasks.allows(l) {
			f.relieve(l, places)
			continue
		}
		if taken >= places+lookahead {
			break
		}
		taken++
		reserve = append(reserve, l.service.Machine)
		if taken <= places && !heldByOther(l.service.Machine, w, open, down) && f.empty(l, patience) && f.listIsFresh() {
			f.tasks.take(l)
			down[l.service.Machine] = true
			begin = append(begin, l.service)
		}
	}
	f.begin(w, begin)
	return reserve
}

func freePlaces(w *apiv1.MaintenanceWave, down map[string]bool) int {
	return int(w.MaxDown) - int(batch.DownInWave(w, down))
}

// heldByOther tells that another wave that the machine belongs to has no place
// left for it.
func heldByOther(machine string, w *apiv1.MaintenanceWave, open []*apiv1.MaintenanceWave, down map[string]bool) bool {
	return slices.ContainsFunc(open, func(other *apiv1.MaintenanceWave) bool {
		member := func(sv *apiv1.MachineService) bool { return sv.Machine == machine }
		return other.Number != w.Number && freePlaces(other, down) <= 0 && slices.ContainsFunc(other.Services, member)
	})
}

// listIsFresh tells whether the list may be acted on; otherwise it is read
// again in the next round.
func (f *fleetManager) listIsFresh() bool {
	if f.d.clock.Now()-f.listedAt < freshList {
		return true
	}
	f.stale = true
	return false
}

// relieve moves one task of a step that has too many on the machine.
func (f *fleetManager) relieve(l machineLoad, places int) {
	at, relieved := f.relievedAt[l.service.Machine]
	now := f.d.clock.Now()
	if l.unknown || places <= 0 || relieved && now-at < relievePause {
		return
	}
	if run, ok := f.tasks.surplus(l); ok {
		f.relievedAt[l.service.Machine] = now
		f.d.stopRun(run)
	}
}

// compareLoads puts machines with long-running tasks first, since their steps
// let them go only one after the other, then those that are being emptied, then
// those with the least to end.
func (f *fleetManager) compareLoads(a, b machineLoad) int {
	return cmp.Or(cmp.Compare(b.serving, a.serving), cmp.Compare(f.reservedRank(a), f.reservedRank(b)), cmp.Compare(len(a.finite), len(b.finite)))
}

func (f *fleetManager) reservedRank(l machineLoad) int {
	if _, ok := f.reservedAt[l.service.Machine]; ok {
		return 0
	}
	return 1
}

// empty tells whether no finite task is left on the machine. Those that take
// too long are stopped: their ends, and what they saved, must be known before
// the minion is gone.
func (f *fleetManager) empty(l machineLoad, patience time.Duration) bool {
	since, ok := f.reservedAt[l.service.Machine]
	if ok && f.d.clock.Now()-since > patience {
		for _, run := range l.finite {
			f.d.stopRun(run)
		}
	}
	return len(l.finite) == 0
}

// patience shares the time left evenly among the services left.
func (f *fleetManager) patience(w *apiv1.MaintenanceWave, nowMS int64, left int) time.Duration {
	rounds := max((left+int(w.MaxDown)-1)/max(int(w.MaxDown), 1), 1)
	each := time.Duration(w.DueUnixMs-nowMS) * time.Millisecond / time.Duration(rounds)
	return min(max(each-f.o.ServiceTime-listInterval, minEmptyPatience), emptyPatience)
}

// retryOrders repeats the orders that have no answer yet.
func (f *fleetManager) retryOrders(w *apiv1.MaintenanceWave) []string {
	var machines []string
	for _, sv := range w.Services {
		if sv.State != apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED {
			continue
		}
		machines = append(machines, sv.Machine)
		if !f.refusedLately(sv.Machine) && !f.orders.open(sv.Machine) {
			f.give(w, sv, false)
		}
	}
	return machines
}

// loads returns the machines that are up and still need their service.
func (f *fleetManager) loads(w *apiv1.MaintenanceWave) []machineLoad {
	var out []machineLoad
	f.d.o.Machine.Read(func(st *state.State) {
		for _, sv := range w.Services {
			m, listed := f.machines[sv.Machine]
			waits := sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED && !f.orders.open(sv.Machine)
			if !waits || !listed || m.State != MachineUp || f.movingTo[sv.Machine] != "" || f.refusedLately(sv.Machine) {
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
	life := batch.IncarnationOf(minion.Life)
	for _, r := range st.LoadOf(life).Runs() {
		if !r.Step.LongRunning {
			l.finite = append(l.finite, r.Key())
			continue
		}
		l.serving = 1
		switch {
		case r.Step.MaxUnavailable == 0:
		case !f.tasks.heard[life]:
			// Its tasks may well be at work behind answers that are late.
			l.unknown = true
		case f.tasks.working[r.Ref]:
			l.add(r)
		}
	}
	return l
}

// add counts a task at work; the runs of a load come ordered by step.
func (l *machineLoad) add(r *batch.ActiveRun) {
	step := r.Ref.StepRef()
	if n := len(l.steps); n == 0 || l.steps[n-1].step != step {
		l.steps = append(l.steps, stepLoad{step: step, limit: int(r.Step.MaxUnavailable)})
	}
	last := &l.steps[len(l.steps)-1]
	last.runs = append(last.runs, r.Key())
}

// begin orders services; each is committed before its order leaves.
func (f *fleetManager) begin(w *apiv1.MaintenanceWave, services []*apiv1.MachineService) {
	for _, sv := range services {
		f.servicedLife[sv.Machine] = f.lifeOn(sv.Machine)
		f.give(w, &apiv1.MachineService{
			Machine: sv.Machine, State: apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED,
			OrderedUnixMs: time.Now().UnixMilli(), Term: f.d.term,
		}, true)
	}
}

// give sends the order of a service; one that must wait is sent by a later
// round.
func (f *fleetManager) give(w *apiv1.MaintenanceWave, sv *apiv1.MachineService, uncommitted bool) {
	f.send(machineCall{
		machine: sv.Machine, what: "service", life: f.servicedLife[sv.Machine], service: sv, wave: w.Number, uncommitted: uncommitted,
		give: func(ctx context.Context) error { return f.o.Provider.Service(ctx, f.order(sv.Machine), w.Number) },
	})
}

// serviceAfter returns the state of a service after the answer to its order,
// nil while that is not known.
func serviceAfter(sv *apiv1.MachineService, out outcome) *apiv1.MachineService {
	next := apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED
	switch {
	case out.done:
		next = apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
	case !out.refused:
		return nil
	}
	return &apiv1.MachineService{Machine: sv.Machine, State: next, OrderedUnixMs: sv.OrderedUnixMs, Term: sv.Term}
}
