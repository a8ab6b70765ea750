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

// waitReason is why the maintenance of a machine isn't ordered in this round. The text
// is the name of a log field.
type waitReason string

const (
	waitNotListed    waitReason = "not_listed"
	waitNotUp        waitReason = "not_up"
	waitMoving       waitReason = "moving_to_pool"
	waitOrderPending waitReason = "order_pending"
	waitOrderFailed  waitReason = "order_failed"
	// waitUnknown means that it isn't known which tasks the maintenance would end.
	waitUnknown waitReason = "tasks_unknown"
	// waitAvailability means that too many tasks of a step would be unavailable.
	waitAvailability waitReason = "tasks_needed"
	waitLimit        waitReason = "limit_of_wave"
	waitOtherWave    waitReason = "limit_of_other_wave"
	waitDraining     waitReason = "tasks_end"
	waitList         waitReason = "list_too_old"
)

// waveWaits holds why the machines of a wave wait in one round.
type waveWaits struct {
	counts map[waitReason]int
	// examples describes one machine of each reason.
	examples map[waitReason]string
}

func (w *waveWaits) add(reason waitReason, example string) {
	if w.counts == nil {
		w.counts, w.examples = map[waitReason]int{}, map[waitReason]string{}
	}
	w.counts[reason]++
	w.examples[reason] = example
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
func (f *fleetManager) mayNotBeOrdered(machine string) waitReason {
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

// waitReason returns why a machine whose tasks don't permit its maintenance waits, and
// the machine, with the step that is the reason.
func (t taskAvailability) waitReason(l machineLoad) (waitReason, string) {
	machine := l.maintenance.Machine
	if l.unknown {
		return waitUnknown, machine
	}
	for _, s := range l.steps {
		if !t.allowsEnd(s) {
			return waitAvailability, fmt.Sprintf("%s: step %s has %d tasks here, %d of them starting, %d unavailable and %d allowed",
				machine, s.step, len(s.runs), s.starting, t.unavailable[s.step], s.maxUnavailable)
		}
	}
	return waitAvailability, machine
}
