// Command bergamot-dev runs every role in one process, with built-in fakes of
// minions, workers and the platform. It sends one request and one job and prints
// their results.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/daemon/dev"
)

var cli struct {
	Stay    bool   `help:"Keep running until a signal and print the addresses."`
	Folder  string `help:"Data folder; a temporary one that is removed at the end when empty."`
	Verbose bool   `help:"Show the JSON logs of all roles."`
}

func main() {
	kong.Parse(&cli, kong.Name("bergamot-dev"), kong.Description("Runs all roles with built-in fakes, serves one request and one job."))
	ctx, cancel := daemon.SignalContext()
	defer cancel()
	err := dev.Run(ctx, dev.Options{Folder: cli.Folder, Stay: cli.Stay, Verbose: cli.Verbose, Out: os.Stdout})
	if err != nil {
		fmt.Fprintln(os.Stderr, "bergamot-dev:", err)
		os.Exit(1)
	}
}
