// Command bergamot-control runs one replica of the control group.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/daemon/control"
)

var cli struct {
	Settings string `arg:"" help:"INI file with a [control] section."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	kong.Parse(&cli, kong.Name("bergamot-control"), kong.Description("Runs one replica of the control group."))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bergamot-control:", err)
		os.Exit(1)
	}
}

func run() error {
	set := &apiv1.ControlSettings{}
	if err := daemon.LoadSettings(cli.Settings, "control", set); err != nil {
		return err
	}
	if cli.Check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, cancel := daemon.StopSignal()
	defer cancel()
	d, err := control.Start(set)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return d.Stop()
}
