package dispatch

import (
	"context"
	"errors"
	"fmt"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// MachineState is the state of a machine according to the provider.
type MachineState int

// States of machines.
const (
	// MachineUp means that the machine works in its pool.
	MachineUp MachineState = iota + 1
	// MachineMoving means that the machine is moving to another pool.
	MachineMoving
	// MachineInMaintenance means that the machine is away for maintenance.
	MachineInMaintenance
	// MachineOutOfOperation means that the machine is down for another reason than
	// maintenance.
	MachineOutOfOperation
)

// Machine is an entry in the provider's list of the machines that minions run
// on. Orders for a machine end the minion on it; the machine starts a new one
// later.
type Machine struct {
	ID, Pool         string
	State            MachineState
	AvailabilityZone string
	Labels           []string
	Capacity         *apiv1.Resources
	// MinionID is empty while no minion runs on it.
	MinionID string
}

// MachineList is one complete reading of the provider's list of machines.
type MachineList struct {
	// Machines holds the entries that can be used.
	Machines []Machine
	// Unusable holds the ids of machines whose entries can't be used otherwise.
	Unusable []string
	// Unnamed counts the entries that don't tell which machine they are for. While
	// there is one, any machine may be in the list.
	Unnamed int
}

// MachineOrder says which machine an order is for and who gives it.
type MachineOrder struct {
	Machine string
	// Holder names the process that gives the order.
	Holder string
	// Token is a fencing token that grows with each new leader: the provider
	// refuses orders with a lower token than the highest one that it has seen.
	Token uint64
	// Permitted reports whether the order may still be given. A client asks it
	// again immediately before it writes the order, since the process may have been
	// suspended, or have waited for a connection, since the order was made.
	Permitted func() bool
}

// ErrNotPermitted means that an order was not sent, because its giver's permission
// had ended.
var ErrNotPermitted = errors.New("order is no longer permitted")

// ProviderRefusalReason is why the provider did not carry out an order.
type ProviderRefusalReason int

// Reasons for refusals by the provider.
const (
	// ProviderFenced means that the provider has seen a higher token.
	ProviderFenced ProviderRefusalReason = iota + 1
	// ProviderBusy means that the machine is not up, or is about to leave its pool.
	ProviderBusy
	// ProviderNotInWave means that the machine does not belong to the wave, the
	// list of machines to be maintained that the order names.
	ProviderNotInWave
	// ProviderNoSuchMachine means that there is no such machine, or that it cannot
	// join the pool.
	ProviderNoSuchMachine
	// ProviderThrottled means that the provider got too many calls.
	ProviderThrottled
)

// ProviderRefusal is the error for a call that changed nothing, since the
// provider refused it. After any other error the order may have been carried
// out.
type ProviderRefusal struct{ Reason ProviderRefusalReason }

// Error implements the error interface.
func (r *ProviderRefusal) Error() string {
	names := [...]string{"", "fenced", "busy", "not in the wave", "unknown machine or pool", "throttled"}
	return fmt.Sprintf("provider refused the order: %s", names[r.Reason])
}

// Provider manages the machines that minions run on. Move and StartMaintenance
// return nil when the order was carried out, by this call or an earlier one, and
// a *ProviderRefusal when the provider refused it. The caller bounds each call
// by ctx.
type Provider interface {
	// Machines returns all machines. It fails when a part of the list can't be read.
	Machines(ctx context.Context) (MachineList, error)
	// Move moves a machine to another pool.
	Move(ctx context.Context, o MachineOrder, pool string) error
	// StartMaintenance takes a machine of a wave down for its maintenance.
	StartMaintenance(ctx context.Context, o MachineOrder, wave uint64) error
}
