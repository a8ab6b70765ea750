// Package dispatch runs on the control leader. It keeps a session with each
// minion, drives the committed runs by orders to the minions, commits the ends
// that they report, plans new starts, and services machines in waves.
//
// What it relies on: a run is committed before its order leaves; an end is
// committed before the minion may forget it; a run is released only when its
// end was listed, when the minion has certainly refused it or never will start
// it, or when the minion's life or lease is certainly over.
package dispatch

import (
	"context"
	"fmt"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Target is the minion that an order is meant for.
type Target struct {
	Incarnation batch.Incarnation
	Address     string
}

// StartOrder starts a run.
type StartOrder struct {
	Run           batch.RunKey
	Specification string
	// Checkpoint and Ticket are empty when there is none.
	Checkpoint, Ticket string
	// LeaseUntilMS is on the minion's clock.
	LeaseUntilMS int64
	Token        uint64
}

// HoldRequest renews the minion's lease and collects ends.
type HoldRequest struct {
	Token uint64
	// LastAckedEnd is the number of the last end that is committed.
	LastAckedEnd uint64
	// LeaseUntilMS is on the minion's clock; zero renews nothing.
	LeaseUntilMS int64
	// MaxWait is how long the minion may hold the answer back until a run ends.
	MaxWait time.Duration
}

// HoldReply is a minion's account of its runs.
type HoldReply struct {
	StartedMS int64
	ClockMS   int64
	Running   []RunStatus
	Ended     []EndedRun
}

// RunStatus is a run as the minion sees it.
type RunStatus struct {
	Run        batch.RunKey
	Checkpoint string
	// SpeedPercent is the share of full speed at which it works.
	SpeedPercent int
	// Load is the tail latency in ms of a serving task, the cpu in use in
	// thousandths of a core of any other.
	Load int64
}

// EndedRun is an end that the minion lists until it is acknowledged.
type EndedRun struct {
	Number     uint64
	Run        batch.RunKey
	End        apiv1.RunEnd
	Checkpoint string
}

// RefusalReason tells why a minion did not carry out an order.
type RefusalReason int

// Reasons of refusals.
const (
	// RefusedFenced: the minion has seen a higher token.
	RefusedFenced RefusalReason = iota + 1
	// RefusedStaleRun: a run of this or a higher number was stopped or ended there.
	RefusedStaleRun
	// RefusedLeaseExpired: the lease of the order was over when it arrived.
	RefusedLeaseExpired
	// RefusedNoCapacity: the task does not fit.
	RefusedNoCapacity
	// RefusedInvalidTicket: the ticket is missing or not valid.
	RefusedInvalidTicket
	// RefusedUnhealthy: the minion takes no orders for the moment.
	RefusedUnhealthy
	// RefusedOtherIncarnation: another incarnation answers at the address.
	RefusedOtherIncarnation
	// RefusedInvalid: the minion does not accept the order as it is.
	RefusedInvalid
)

var refusalNames = [...]string{"", "fenced", "old run", "late", "no room", "ticket", "unhealthy", "other life", "invalid"}

// String returns the reason as logs show it.
func (r RefusalReason) String() string { return refusalNames[r] }

// Refusal is the answer of a minion that did nothing. Every other error of a
// Driver means that no answer came: the order may have been carried out, or
// may be later.
type Refusal struct {
	Reason RefusalReason
	// ClockMS is the minion's clock, zero when the answer had none.
	ClockMS int64
	Detail  string
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return fmt.Sprintf("minion refused the order (%s): %s", r.Reason, r.Detail)
}

// MinionClient gives orders to minions. Start and Stop return the minion's clock.
type MinionClient interface {
	Start(ctx context.Context, to Target, o StartOrder) (clockMS int64, err error)
	Stop(ctx context.Context, to Target, run batch.RunKey, token uint64) (clockMS int64, err error)
	Hold(ctx context.Context, to Target, o HoldRequest) (*HoldReply, error)
	Pace(ctx context.Context, to Target, run batch.RunKey, percent int, token uint64) error
}
