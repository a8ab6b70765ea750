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

// Run implements the command.
func (c *maintenancePlanCommand) Run(ctx context.Context, a *app) error {
	if c.DrainTimeout < 0 || c.DrainTimeout > 24*time.Hour {
		return invalid("--drain-timeout must be from 0s to 24h")
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
			return invalid("maintenance %q exists already: choose another name", c.Name)
		}
		if ix.Pools[c.Pool] == nil {
			return notFound("pool", c.Pool)
		}
		ix.Set.Maintenance = append(ix.Set.Maintenance, m)
		return nil
	})
}

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

// Run implements the command.
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

// Run implements the command.
func (c *maintenancePauseCommand) Run(ctx context.Context, a *app) error {
	return a.setMaintenance(ctx, c.editFlags, c.Name, apiv1.MaintenanceState_MAINTENANCE_STATE_PAUSED, "pause")
}

func (a *app) setMaintenance(ctx context.Context, f editFlags, name string, state apiv1.MaintenanceState, word string) error {
	return a.edit(ctx, f, word+" maintenance "+name, func(ix *objects.Index) error {
		m := findMaintenance(ix, name)
		if m == nil {
			return notFound("maintenance", name)
		}
		m.State = state
		return nil
	})
}
