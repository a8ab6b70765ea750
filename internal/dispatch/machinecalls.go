package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// machineCall is one order for a machine, with what follows from its answer.
type machineCall struct {
	// machine is the machine's id; name describes the order in the log.
	machine, name string
	// incarnation is the one that the order ends, with the machine going down.
	// When a repeated order finds that the first one was carried out, another
	// incarnation may run on the machine already, and must not be released.
	incarnation batch.Incarnation
	// affected is the incarnation that is on the machine when the order is sent, zero
	// if none is known.
	affected batch.Incarnation
	// listedAt is when the list was requested that affected was taken from.
	listedAt time.Duration
	send     func(ctx context.Context, o MachineOrder) error
	// maintenance, the state of the machine's maintenance, and its wave are set
	// for an order of maintenance, not for a move.
	maintenance *apiv1.MachineService
	wave        uint64
	// commitFirst is set when maintenance is to be committed before the order is
	// sent.
	commitFirst bool
}

// outcome is the result of a machineCall. The order was carried out when done is
// set, and certainly was not when refused is set. When neither is set, it may
// have been.
type outcome struct{ done, refused bool }

// withTarget returns the call with what the list of machines says about its machine.
// A move ends the incarnation that it was planned for.
func (f *fleetManager) withTarget(c machineCall) machineCall {
	c.affected, c.listedAt = c.incarnation, f.listedAt
	if c.maintenance != nil {
		c.affected = f.incarnationOn(c.machine)
	}
	return c
}

// sendOrder sends an order in the background, so that a slow provider doesn't
// delay the rounds and with them other machines. It returns false when the order
// can't be sent now, since it must wait for earlier ones or the leader is not
// confirmed.
func (f *fleetManager) sendOrder(c machineCall) bool {
	if !f.d.leadershipConfirmed() || !f.orders.tryBegin(c.machine, f.d.clock.Now()) {
		return false
	}
	c = f.withTarget(c)
	f.d.wg.Go(func() { f.orders.recordAnswer(machineAnswer{c, f.executeOrder(c)}) })
	return true
}

var (
	// errNotSent means that an order was not sent, since it could not be committed or
	// the leader is not confirmed.
	errNotSent = errors.New("order was not sent")
	// errTasksNeeded means that an order was not sent, since it might end tasks that
	// have to stay available, or that are not known.
	errTasksNeeded = errors.New("order was not sent: it might make too many tasks unavailable")
)

// executeOrder commits the order if it has to be, sends it, releases the runs on
// the machine, and commits the state that follows from the answer. It returns
// the error of the order. The commit may take long, so what the order would end is
// checked after it.
func (f *fleetManager) executeOrder(c machineCall) error {
	if c.commitFirst && !f.commitMaintenance(c.wave, c.maintenance) || !f.d.leadershipConfirmed() {
		return errNotSent
	}
	earlierUntil, ok := f.beginEnding(c)
	if !ok {
		return errTasksNeeded
	}
	return f.executeChecked(c, earlierUntil)
}

// executeChecked is the part of executeOrder after the check. An earlier order for the
// machine may be carried out until earlierUntil.
func (f *fleetManager) executeChecked(c machineCall, earlierUntil time.Duration) error {
	first := f.d.markOrdered(c.incarnation)
	written, err := f.callProvider(c)
	notCarriedOut := outcomeOf(err).refused || !written && errors.Is(err, ErrNotPermitted)
	if notCarriedOut {
		f.ending.expireAt(c.affected, earlierUntil)
	} else {
		f.ending.expireAt(c.affected, f.d.clock.Now()+lateOrderTime)
	}
	if first && notCarriedOut {
		f.d.unmarkOrdered(c.incarnation)
	}
	if err == nil {
		f.endIncarnation(c.incarnation)
	}
	if c.maintenance == nil {
		return err
	}
	if next := maintenanceAfterAnswer(c.maintenance, outcomeOf(err)); next != nil {
		f.commitMaintenance(c.wave, next)
	}
	return err
}

// callProvider sends an order to the provider, in the name of this leader. written is
// set when the client may have written the order.
func (f *fleetManager) callProvider(c machineCall) (written bool, err error) {
	ctx, cancel := context.WithTimeout(f.d.ctx, providerTimeout)
	defer cancel()
	var permitted atomic.Bool
	order := MachineOrder{Machine: c.machine, Holder: f.opts.Holder, Token: f.d.term, Permitted: func() bool {
		if !f.d.leadershipConfirmed() {
			return false
		}
		// The client may ask again when it has written a part of the order.
		if !permitted.Load() && f.mayEnd(c) {
			permitted.Store(true)
		}
		return permitted.Load()
	}}
	err = c.send(ctx, order)
	return permitted.Load(), err
}

// recordOutcome records and logs how an order ended. The logged error tells
// whether the order was refused, was not sent, or may have been carried out.
func (f *fleetManager) recordOutcome(c machineCall, err error) outcome {
	log := f.d.log.WithFields(logrus.Fields{"machine": c.machine, "order": c.name, "list_age_ms": (f.d.clock.Now() - f.listedAt).Milliseconds()})
	if err == nil {
		log.Info("machine order carried out")
		f.answeredAt[c.machine] = f.d.clock.Now()
		return outcome{done: true}
	}
	log.WithError(err).Info("machine order failed")
	f.failedAt[c.machine] = f.d.clock.Now()
	return outcomeOf(err)
}

// outcomeOf returns the outcome that an error means. An order refused as fenced
// counts as unknown: a later leader has taken over.
func outcomeOf(err error) outcome {
	refusal, refused := errors.AsType[*ProviderRefusal](err)
	return outcome{done: err == nil, refused: refused && refusal.Reason != ProviderFenced}
}

// failedRecently reports whether an order for the machine failed within
// failedOrderBackoff.
func (f *fleetManager) failedRecently(machine string) bool {
	at, ok := f.failedAt[machine]
	return ok && f.d.clock.Now()-at < failedOrderBackoff
}
