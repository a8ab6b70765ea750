// Command bergamot-measure measures the scheduling policy on generated demand and
// failures and prints the results as Markdown tables.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"bergamotdrum.example/bergamotdrum/internal/measure"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

var cli struct {
	Seed    uint64   `default:"1" help:"Seed of the generated demand."`
	Folders []string `arg:"" help:"Folders with object sets."`
}

func main() {
	kong.Parse(&cli, kong.Name("bergamot-measure"), kong.Description("Measures the policy on generated demand and failures."))
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bergamot-measure:", err)
		os.Exit(1)
	}
}

// run prints one report for each folder of object sets.
func run() error {
	for _, folder := range cli.Folders {
		set, problems := objects.ParseFolder(folder)
		if err := settings.JoinErrors(settings.WithoutWarnings(problems)); err != nil {
			return err
		}
		if err := measure.Report(os.Stdout, folder, objects.NewIndex(set), cli.Seed); err != nil {
			return err
		}
	}
	return nil
}
