package dispatch

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// waveWaitLogInterval is the time between two logs of why machines of a wave wait.
	waveWaitLogInterval = 2 * time.Second
	waveWaitsMessage    = "machines wait for maintenance"
)

// maintenanceWait is why the maintenance of a machine isn't ordered in this round. The text
// is the name of a log field.
type maintenanceWait string

const (
	waitNotListed    maintenanceWait = "not_listed"
	waitNotUp        maintenanceWait = "not_up"
	waitMoving       maintenanceWait = "moving_to_pool"
	waitOrderPending maintenanceWait = "order_pending"
	waitOrderFailed  maintenanceWait = "order_failed"
	// waitUnknown means that it isn't known which tasks the maintenance would end.
	waitUnknown maintenanceWait = "tasks_unknown"
	// waitAvailability means that too many tasks of a step would be unavailable.
	waitAvailability maintenanceWait = "tasks_needed"
	waitLimit        maintenanceWait = "limit_of_wave"
	waitOtherWave    maintenanceWait = "limit_of_other_wave"
	waitDraining     maintenanceWait = "tasks_end"
	waitList         maintenanceWait = "list_too_old"
)

// waveWaits holds why the machines of a wave wait in one round.
type waveWaits struct {
	counts map[maintenanceWait]int
	// examples describes the first machine of each reason.
	examples map[maintenanceWait]string
}

func (w *waveWaits) add(reason maintenanceWait, example string) {
	if w.counts == nil {
		w.counts, w.examples = map[maintenanceWait]int{}, map[maintenanceWait]string{}
	}
	if w.counts[reason] == 0 {
		w.examples[reason] = example
	}
	w.counts[reason]++
}

// addBlocked adds a machine whose tasks don't permit its maintenance.
func (w *waveWaits) addBlocked(t taskAvailability, l machineLoad) {
	machine := l.maintenance.Machine
	switch {
	case l.unknown:
		w.add(waitUnknown, machine)
	case w.counts[waitAvailability] > 0:
		w.add(waitAvailability, "")
	default:
		w.add(waitAvailability, machine+": "+t.neededStep(l))
	}
}

// logWaits logs why machines of a wave wait, every waveWaitLogInterval.
func (f *fleetManager) logWaits(w *apiv1.MaintenanceWave, waits waveWaits) {
	now := f.d.clock.Now()
	if last, logged := f.waitsLoggedAt[w.Number]; len(waits.counts) == 0 || logged && now-last < waveWaitLogInterval {
		return
	}
	f.waitsLoggedAt[w.Number] = now
	f.d.log.WithFields(logrus.Fields{"wave": w.Number, "reasons": waits.counts, "examples": waits.examples}).Info(waveWaitsMessage)
}

// mayNotBeOrdered returns why a machine gets no order whatever it runs, or "".
func (f *fleetManager) mayNotBeOrdered(machine string) maintenanceWait {
	m, listed := f.machines[machine]
	switch {
	case f.orders.isPending(machine):
		return waitOrderPending
	case !listed:
		return waitNotListed
	case m.State != MachineUp:
		return waitNotUp
	case f.movingTo[machine] != "":
		return waitMoving
	case f.failedRecently(machine):
		return waitOrderFailed
	}
	return ""
}

// neededStep describes the step whose tasks keep a machine from its maintenance.
func (t taskAvailability) neededStep(l machineLoad) string {
	for _, s := range l.steps {
		if !t.allowsEnd(s) {
			return fmt.Sprintf("step %s has %d tasks here, %d of them starting, %d unavailable and %d allowed",
				s.step, len(s.runs), s.starting, t.unavailable[s.step], s.maxUnavailable)
		}
	}
	return "no step"
}
