package dispatch

import (
	"context"
	"fmt"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// MachineState is what the platform says of a machine.
type MachineState int

// States of machines.
const (
	MachineUp MachineState = iota + 1
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// Machine is a row of the platform's list. A minion is one life of it.
type Machine struct {
	ID, Pool         string
	State            MachineState
	AvailabilityZone string
	Labels           []string
	Capacity         *apiv1.Resources
	// MinionID is empty while no minion runs on it.
	MinionID string
}

// MachineOrder identifies who orders something for a machine.
type MachineOrder struct {
	Machine string
	// Holder is the ordering process; Token grows with each new leader.
	Holder string
	Token  uint64
}

// ProviderRefusalReason tells why the platform did not carry out an order.
type ProviderRefusalReason int

// Reasons of the platform's refusals.
const (
	ProviderFenced ProviderRefusalReason = iota + 1
	// ProviderBusy: the machine is not up, or is leaving.
	ProviderBusy
	// ProviderNotInWave: the machine does not belong to the wave.
	ProviderNotInWave
	// ProviderNoSuchMachine: there is no such machine, or it cannot join the pool.
	ProviderNoSuchMachine
	// ProviderThrottled: too many calls.
	ProviderThrottled
)

// ProviderRefusal is an answer of the platform that did nothing. Every other
// error means that the order may have been carried out.
type ProviderRefusal struct{ Reason ProviderRefusalReason }

// Error implements the error interface.
func (r *ProviderRefusal) Error() string {
	names := [...]string{"", "fenced", "busy", "not in the wave", "unknown machine or pool", "throttled"}
	return fmt.Sprintf("platform refused the order: %s", names[r.Reason])
}

// Provider is the platform that runs the machines.
type Provider interface {
	// Machines returns the whole list.
	Machines(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, o MachineOrder, pool string) error
	StartMaintenance(ctx context.Context, o MachineOrder, wave uint64) error
}
