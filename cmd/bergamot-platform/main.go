// Command bergamot-platform runs bergamotdrum's processes on a platform that
// provides the machines. The subcommand core runs a control replica on a VM with a
// disk; the subcommand front runs an entry for callers.
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

// settingsFlags are the arguments of both subcommands.
type settingsFlags struct {
	Settings string `arg:"" help:"INI file with the role's section."`
	Check    bool   `help:"Check the settings and exit."`
}

type coreCommand struct{ settingsFlags }

// Run runs a control replica. Kong calls it for the subcommand core.
func (c *coreCommand) Run() error {
	return daemon.Program[*apiv1.BatchControlSettings]{
		Section: batchcore.Section, Settings: &apiv1.BatchControlSettings{},
		Start: func(settings *apiv1.BatchControlSettings) (daemon.Service, error) {
			return batchcore.Start(c.Settings, settings, batchcore.Adapter{
				NewMinions: platform.NewMinionClient, NewProvider: platform.NewMachineProvider, NewHandler: platform.NewControlHandler,
				MaxBodyBytes: platform.MaxControlBodyBytes,
			})
		},
	}.Run(c.Settings, c.Check)
}

type frontCommand struct{ settingsFlags }

// Run runs an entry. Kong calls it for the subcommand front.
func (c *frontCommand) Run() error {
	return daemon.Program[*apiv1.BatchFrontSettings]{
		Section: batchfront.Section, Settings: &apiv1.BatchFrontSettings{},
		Start: func(settings *apiv1.BatchFrontSettings) (daemon.Service, error) {
			return batchfront.Start(c.Settings, settings, batchfront.Adapter{NewCallerHandler: platform.NewCallerHandler, NewReadinessHandler: platform.NewReadinessHandler})
		},
	}.Run(c.Settings, c.Check)
}

// gcPercent trades memory for processor time. The leader has a live heap of some
// tens of MiB on a VM with some hundreds, and garbage collection took a sixth of
// its processor time with the default of 100.
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
