package dispatch

import (
	"context"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// missingListsOfGone is how many lists in a row lack a machine that has left the fleet.
// A single one of several pages may miss a machine when another leaves between the
// readings of two pages.
const missingListsOfGone = 2

// refreshMachines reads the list of machines when it is too old. It returns
// false, after a log, when the list cannot be read.
func (f *fleetManager) refreshMachines() bool {
	now := f.d.clock.Now()
	open := f.openMaintenance()
	interval := idleListInterval
	if len(f.movingTo) > 0 || len(open) > 0 {
		interval = activeListInterval
	}
	if f.machines != nil && !f.listOutdated && now-f.listedAt < interval {
		return true
	}
	ctx, cancel := context.WithTimeout(f.d.ctx, providerTimeout)
	defer cancel()
	list, err := f.opts.Provider.Machines(ctx)
	if err != nil {
		if f.d.ctx.Err() == nil {
			f.d.log.WithError(err).Warn("list of machines could not be read")
		}
		return false
	}
	f.recordList(list)
	f.countMissing(open)
	f.listedAt, f.receivedAt, f.listOutdated = now, f.d.clock.Now(), false
	return true
}

// recordList replaces the list of machines. It logs the entries that can't be used when
// their number changes.
func (f *fleetManager) recordList(list MachineList) {
	unusable, unnamed := len(f.unusable), f.unnamed
	f.machines = make(map[string]Machine, len(list.Machines))
	for _, m := range list.Machines {
		f.machines[m.ID] = m
	}
	f.unusable, f.unnamed = map[string]bool{}, list.Unnamed
	for _, id := range list.Unusable {
		f.unusable[id] = true
	}
	if len(f.unusable) != unusable || f.unnamed != unnamed {
		f.d.log.WithFields(logrus.Fields{"unusable": list.Unusable, "unnamed": list.Unnamed}).Warn("number of unusable entries in the list of machines changed")
	}
	f.d.recordMachines(list.Machines)
}

// isMissing reports whether no entry of the list is for the machine. It isn't known of
// a machine whose entry can't be read.
func (f *fleetManager) isMissing(machine string) bool {
	_, listed := f.machines[machine]
	return !listed && !f.unusable[machine] && f.unnamed == 0
}

// countMissing counts the lists that lack a machine. open is the maintenance that was
// open when the list was requested.
func (f *fleetManager) countMissing(open []machineInWave) {
	missing := map[machineInWave]int{}
	for _, m := range open {
		if f.isMissing(m.machine) {
			missing[m] = f.missingLists[m] + 1
		}
	}
	f.missingLists = missing
}

// openMaintenance returns the machines of the waves that are not completed whose
// maintenance is not over. Each such wave has one.
func (f *fleetManager) openMaintenance() []machineInWave {
	var open []machineInWave
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, w := range st.Batch.OpenWaves() {
			for _, sv := range w.Services {
				if !batch.MaintenanceDone(sv.State) {
					open = append(open, machineInWave{w.Number, sv.Machine})
				}
			}
		}
	})
	return open
}

// observedState returns the maintenance state of a machine of a wave according to
// its committed state and the provider's lists.
func (f *fleetManager) observedState(wave uint64, sv *apiv1.MachineService) apiv1.MachineServiceState {
	m, listed := f.machines[sv.Machine]
	switch {
	case batch.MaintenanceDone(sv.State):
		return sv.State
	case f.leftBeforeMaintenance(wave, sv.Machine):
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_GONE
	case !listed:
		return sv.State
	case f.sawStart(wave, sv):
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
	case sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED && m.State == MachineUp && f.listedAfterOrder(sv.Machine):
		return apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
	}
	return sv.State
}

// leftBeforeMaintenance reports whether the lists that were requested since a wave was
// accepted show that a machine of it has left the fleet. A list that was requested
// before may lack a machine that was added since. While there are too few lists, the
// next round reads another one.
func (f *fleetManager) leftBeforeMaintenance(wave uint64, machine string) bool {
	if !f.isMissing(machine) {
		return false
	}
	left := f.missingLists[machineInWave{wave, machine}] >= missingListsOfGone
	f.listOutdated = f.listOutdated || !left
	return left
}

// listedAfterOrder reports whether the list was requested after the machine's
// last order was carried out. If so, a machine that it shows as up is back.
func (f *fleetManager) listedAfterOrder(machine string) bool {
	return f.listedAt > f.answeredAt[machine]
}
