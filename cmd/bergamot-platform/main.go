// Command bergamot-platform runs bergamotdrum's processes on a platform that
// provides the machines: core on VMs with a disk, front on entry VMs.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/daemon/batchcore"
	"bergamotdrum.example/bergamotdrum/internal/daemon/batchfront"
	"bergamotdrum.example/bergamotdrum/platform"
)

const name = "bergamot-platform"

type settingsFlags struct {
	Settings string `arg:"" help:"INI file with the role's section."`
	Check    bool   `help:"Check the settings and exit."`
}

type coreCommand struct{ settingsFlags }

// Run runs a control replica.
func (c *coreCommand) Run() error {
	return daemon.Program[*apiv1.BatchControlSettings]{
		Section: batchcore.Section, Settings: &apiv1.BatchControlSettings{},
		Start: func(set *apiv1.BatchControlSettings) (func() error, error) {
			d, err := batchcore.Start(c.Settings, set, batchcore.Adapter{
				Minions: platform.NewMinionClient(), NewProvider: platform.NewMachineProvider, NewHandler: platform.NewControlHandler,
			})
			if err != nil {
				return nil, err
			}
			return d.Stop, nil
		},
	}.Run(c.Settings, c.Check)
}

type frontCommand struct{ settingsFlags }

// Run runs an entry.
func (c *frontCommand) Run() error {
	return daemon.Program[*apiv1.BatchFrontSettings]{
		Section: batchfront.Section, Settings: &apiv1.BatchFrontSettings{},
		Start: func(set *apiv1.BatchFrontSettings) (func() error, error) {
			d, err := batchfront.Start(c.Settings, set, batchfront.Adapter{NewCallerHandler: platform.NewCallerHandler, NewReadinessHandler: platform.NewReadinessHandler})
			if err != nil {
				return nil, err
			}
			return d.Stop, nil
		},
	}.Run(c.Settings, c.Check)
}

// gcPercent trades memory for processor time: the leader's live heap is some
// tens of MiB, its VM has some hundreds, and collections at the default took a
// sixth of its time.
const gcPercent = 300

func main() {
	debug.SetGCPercent(gcPercent)
	var cli struct {
		Core  coreCommand  `cmd:"" help:"Run a control replica on a VM with a disk."`
		Front frontCommand `cmd:"" help:"Run an entry for callers."`
	}
	ctx := kong.Parse(&cli, kong.Name(name), kong.Description("Runs bergamotdrum's processes on a platform."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		os.Exit(1)
	}
}
