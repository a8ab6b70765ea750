// Package dispatch runs batch tasks on minions and manages the machines that
// the minions run on. It works on the leader of the control group only: it
// keeps a session with each minion (not to be confused with the sessions of
// entry processes in package session), sends start and stop orders for the
// committed runs, commits the ends that minions report, plans new starts, moves
// machines between pools, and takes machines down for maintenance in waves. A
// wave is an operator's request for the maintenance of a list of machines.
//
// A machine is what a minion runs on, as the machine provider names it. VMs,
// the operators' unit in the other kind of deployment, belong to package fleet.
//
// A task is either long-running, which means that it runs until its job is
// canceled, or finite, which means that it ends by itself.
//
// An incarnation is one lifetime of a minion's process, from its start to its
// end; the schema calls it a life. A run is one execution of a task on an
// incarnation.
//
// Three rules keep runs from being lost and from being executed twice:
//   - A run is committed before its start order is sent.
//   - An end is committed before it is acknowledged to the minion, which may
//     forget it from then on.
//   - A run is released, so that its task may run elsewhere, only when the minion
//     has reported its end, when the minion has certainly refused it or will
//     certainly never start it, or when the incarnation or its lease has
//     certainly ended.
package dispatch

import (
	"context"
	"fmt"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Target is the minion incarnation that an order is meant for.
type Target struct {
	Incarnation batch.Incarnation
	Address     string
}

// StartOrder asks a minion to start a run.
type StartOrder struct {
	Run           batch.RunKey
	Specification string
	// Checkpoint is empty when there is none. Ticket is for the ticket policy of
	// the job's queue; the dispatcher leaves it empty.
	Checkpoint, Ticket string
	// LeaseUntilMS is the end of the lease on the minion's clock, in ms. The
	// minion stops all its runs when its lease ends.
	LeaseUntilMS int64
	// Token is the fencing token: a minion refuses orders with a lower token than
	// the highest one that it has seen.
	Token uint64
}

// HoldRequest is the request of a hold call: a long poll that renews the
// minion's lease and collects the ends of its runs. The minion may hold the
// answer back until a run ends.
type HoldRequest struct {
	Token uint64
	// LastAckedEnd is the number of the last end that is committed. The minion
	// forgets the ends up to it.
	LastAckedEnd uint64
	// LeaseUntilMS is the new end of the lease on the minion's clock, in ms; zero
	// leaves the lease as it is.
	LeaseUntilMS int64
	// MaxWait is how long the minion may hold the answer back while no run ends.
	MaxWait time.Duration
}

// HoldReply lists the runs of a minion.
type HoldReply struct {
	// StartedMS identifies the incarnation that answered: the Unix time in ms at
	// which it started.
	StartedMS int64
	// ClockMS is the minion's own clock in ms.
	ClockMS int64
	Running []RunStatus
	// Ended lists the ends that are not acknowledged yet.
	Ended []ReportedEnd
	// Unreadable has the errors of the first rows of Running and of Ended that could
	// not be read, nil when there are none. A run that is not listed may be in such a
	// row.
	Unreadable error
	// AckableEnd is set with Unreadable: the number of the last end before the first
	// unreadable one. Later ends must not be acknowledged, since the minion would
	// forget the unreadable one with them.
	AckableEnd uint64
}

// lastAckable returns the number of the last end that may be acknowledged once
// the reply's ends are committed, zero when there is none.
func (r *HoldReply) lastAckable() uint64 {
	if r.Unreadable != nil {
		return r.AckableEnd
	}
	last := uint64(0)
	for _, e := range r.Ended {
		last = max(last, e.EndNumber)
	}
	return last
}

// RunStatus is a minion's report of a run that is in progress.
type RunStatus struct {
	Run        batch.RunKey
	Checkpoint string
	// SpeedPercent is the speed at which the task works, in percent of full speed.
	SpeedPercent int
	// Load is the tail latency in ms of a task that serves requests, and the CPU
	// in use in thousandths of a core of any other task.
	Load int64
}

// ReportedEnd is the end of a run, as a minion reports it. The minion lists it
// until it is acknowledged.
type ReportedEnd struct {
	// EndNumber counts the ends of one incarnation. It is not the number of the
	// run.
	EndNumber  uint64
	Run        batch.RunKey
	End        apiv1.RunEnd
	Checkpoint string
}

// RefusalReason is why a minion did not carry out an order.
type RefusalReason int

// Reasons for refusals by minions.
const (
	// RefusedFenced means that the minion has seen a higher token.
	RefusedFenced RefusalReason = iota + 1
	// RefusedStaleRun means that a run of the same task with this or a higher
	// number has ended or was stopped on the minion.
	RefusedStaleRun
	// RefusedLeaseExpired means that the lease in the order had ended when the
	// order arrived.
	RefusedLeaseExpired
	// RefusedNoCapacity means that the minion's free resources are too small for
	// the task.
	RefusedNoCapacity
	// RefusedInvalidTicket means that the ticket is missing or invalid.
	RefusedInvalidTicket
	// RefusedUnhealthy means that the minion accepts no orders at present.
	RefusedUnhealthy
	// RefusedOtherIncarnation means that the order reached a process other than
	// the one it names. A minion that restarted under its id may not refuse in
	// this way; HoldReply.StartedMS tells such incarnations apart.
	RefusedOtherIncarnation
	// RefusedInvalid means that the minion does not accept the content of the
	// order.
	RefusedInvalid
	// NotSent means that this process could not send the order, since it lacked a
	// connection. It says nothing about the minion.
	NotSent
)

// refusalNames are also values of a metric's label.
var refusalNames = [...]string{"", "fenced", "old run", "late", "no room", "ticket", "unhealthy", "other life", "invalid", "not sent"}

// String returns the reason as logs and metrics show it.
func (r RefusalReason) String() string { return refusalNames[r] }

// Refusal is the error for an order that the minion certainly did not carry out.
// Any other error of a MinionClient means that no answer came: the order may
// have been carried out, or may be carried out later.
type Refusal struct {
	Reason RefusalReason
	// ClockMS is the minion's clock in ms, zero when the answer had none.
	ClockMS int64
	// Detail is for logs.
	Detail string
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("minion refused the order (%s): %s", r.Reason, r.Detail)
}

// MinionClient sends orders to minions. Its methods return a *Refusal when the
// minion refused the order. Start and Stop return the minion's clock in ms. The
// caller bounds each call by ctx; a hold call takes up to HoldRequest.MaxWait.
type MinionClient interface {
	Start(ctx context.Context, to Target, o StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, to Target, run batch.RunKey, token uint64) (clockMS int64, err error)
	Hold(ctx context.Context, to Target, o HoldRequest) (*HoldReply, error)
	// SetSpeed sets the speed of a run in percent of full speed.
	SetSpeed(ctx context.Context, to Target, run batch.RunKey, percent int, token uint64) error
	// Disconnect closes the connections to an incarnation that gets no more calls
	// from this leader.
	Disconnect(to Target)
}
