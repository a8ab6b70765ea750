// Command bergamot-entry runs an entry process: HTTP for callers and targets, and scheduler shards.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/daemon/entry"
)

var cli struct {
	Settings string `arg:"" help:"INI file with a [entry] section."`
	Check    bool   `help:"Check the settings and exit."`
}

func main() {
	kong.Parse(&cli, kong.Name("bergamot-entry"), kong.Description("Runs an entry process: HTTP for callers and targets, and scheduler shards."))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bergamot-entry:", err)
		os.Exit(1)
	}
}

func run() error {
	set := &apiv1.EntrySettings{}
	if err := daemon.LoadSettings(cli.Settings, "entry", set); err != nil {
		return err
	}
	if cli.Check {
		fmt.Println("settings are valid")
		return nil
	}
	ctx, cancel := daemon.StopSignal()
	defer cancel()
	d, err := entry.Start(set)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return d.Stop()
}
