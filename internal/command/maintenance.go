package command

import (
	"context"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

type maintenanceCommand struct {
	Plan  maintenancePlanCommand  `cmd:"" help:"Add a maintenance of a pool."`
	Start maintenanceStartCommand `cmd:"" help:"Start or resume a maintenance."`
	Pause maintenancePauseCommand `cmd:"" help:"Start no further VM of a maintenance."`
}

type maintenancePlanCommand struct {
	Name         string        `arg:"" help:"Name of the maintenance."`
	Pool         string        `help:"Pool to maintain." required:""`
	VMs          []string      `help:"VMs to maintain, comma separated; every VM of the pool when left out." name:"vms"`
	Action       string        `help:"reboot or drain." enum:"reboot,drain" default:"reboot"`
	MaxParallel  uint32        `help:"VMs down at once; 0 for as many as the availability budget allows."`
	DrainTimeout time.Duration `help:"How long a VM may take to finish its work." default:"60s"`
	Start        bool          `help:"Start it at once."`
	editFlags
}

func (maintenancePlanCommand) Help() string {
	return `Adds a maintenance object. VMs are drained one availability zone at a time, never more than the
availability budget of the pool allows.

Examples:
  bergamotctl maintenance plan kernel-dec --pool wards
  bergamotctl maintenance plan fan-17 --pool wards --vms wards-17 --action drain --start`
}

// Run publishes a new maintenance object in the state planned, or running with
// --start. The error is INVALID_ARGUMENT if the name is in use and NOT_FOUND if
// the pool does not exist.
func (c *maintenancePlanCommand) Run(ctx context.Context, a *app) error {
	if c.DrainTimeout < 0 || c.DrainTimeout > 24*time.Hour {
		return invalidArgument("--drain-timeout must be from 0s to 24h")
	}
	m := &apiv1.Maintenance{
		Name: c.Name, Pool: c.Pool, Vms: c.VMs, MaxParallel: c.MaxParallel,
		Action: apiv1.IntentKind_INTENT_KIND_REBOOT, State: apiv1.MaintenanceState_MAINTENANCE_STATE_PLANNED,
		DrainTimeoutMs: uint32(c.DrainTimeout.Milliseconds()),
	}
	if c.Action == "drain" {
		m.Action = apiv1.IntentKind_INTENT_KIND_DRAIN
	}
	if c.Start {
		m.State = apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING
	}
	return a.edit(ctx, c.editFlags, "plan maintenance "+c.Name, func(ix *objects.Index) error {
		if findMaintenance(ix, c.Name) != nil {
			return invalidArgument("maintenance %q exists already: choose another name", c.Name)
		}
		if ix.Pools[c.Pool] == nil {
			return notFound("pool", c.Pool)
		}
		ix.Set.Maintenance = append(ix.Set.Maintenance, m)
		return nil
	})
}

// findMaintenance returns the maintenance with the given name, or nil.
func findMaintenance(ix *objects.Index, name string) *apiv1.Maintenance {
	for _, m := range ix.Set.Maintenance {
		if m.Name == name {
			return m
		}
	}
	return nil
}

type maintenanceStartCommand struct {
	Name string `arg:"" help:"Name of the maintenance."`
	editFlags
}

func (maintenanceStartCommand) Help() string {
	return `Example:
  bergamotctl maintenance start kernel-dec`
}

// Run sets the state of the maintenance to running.
func (c *maintenanceStartCommand) Run(ctx context.Context, a *app) error {
	return a.setMaintenance(ctx, c.editFlags, c.Name, apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING, "start")
}

type maintenancePauseCommand struct {
	Name string `arg:"" help:"Name of the maintenance."`
	editFlags
}

func (maintenancePauseCommand) Help() string {
	return `VMs that the platform works on already are finished.

Example:
  bergamotctl maintenance pause kernel-dec`
}

// Run sets the state of the maintenance to paused.
func (c *maintenancePauseCommand) Run(ctx context.Context, a *app) error {
	return a.setMaintenance(ctx, c.editFlags, c.Name, apiv1.MaintenanceState_MAINTENANCE_STATE_PAUSED, "pause")
}

// setMaintenance publishes a new state of a maintenance. The verb is used in the
// default comment of the version.
func (a *app) setMaintenance(ctx context.Context, f editFlags, name string, state apiv1.MaintenanceState, verb string) error {
	return a.edit(ctx, f, verb+" maintenance "+name, func(ix *objects.Index) error {
		m := findMaintenance(ix, name)
		if m == nil {
			return notFound("maintenance", name)
		}
		m.State = state
		return nil
	})
}
