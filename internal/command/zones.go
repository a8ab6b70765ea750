package command

import (
	"context"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

type zoneCommands struct {
	Out zoneOutCommand `cmd:"" help:"Start nothing more in an availability zone."`
	In  zoneInCommand  `cmd:"" help:"Let work start in an availability zone again."`
}

type zoneOutCommand struct {
	Name string `arg:"" help:"Availability zone."`
	editFlags
}

func (zoneOutCommand) Help() string {
	return `When the command ends with exit code 0, no entry starts work in the zone any more. Work that runs
there is not stopped.

Example:
  bergamotctl zone out az-b --comment "cooling fault"`
}

// Run publishes the zone's state as out.
func (c *zoneOutCommand) Run(ctx context.Context, a *app) error {
	return a.setZone(ctx, c.editFlags, c.Name, apiv1.ZoneState_ZONE_STATE_OUT, "out")
}

type zoneInCommand struct {
	Name string `arg:"" help:"Availability zone."`
	editFlags
}

func (zoneInCommand) Help() string {
	return `Example:
  bergamotctl zone in az-b`
}

// Run publishes the zone's state as in.
func (c *zoneInCommand) Run(ctx context.Context, a *app) error {
	return a.setZone(ctx, c.editFlags, c.Name, apiv1.ZoneState_ZONE_STATE_IN, "in")
}

// setZone publishes a new state of an availability zone. The direction, "in" or
// "out", is used in the default comment of the version.
func (a *app) setZone(ctx context.Context, f editFlags, name string, state apiv1.ZoneState, direction string) error {
	return a.edit(ctx, f, "zone "+name+" "+direction, func(ix *objects.Index) error {
		zone := ix.Zones[name]
		if zone == nil {
			return notFound("availability_zone", name)
		}
		zone.State = state
		return nil
	})
}
