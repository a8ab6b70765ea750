// Command bergamot-entry runs an entry process, which serves HTTP for callers and
// targets and hosts scheduler shards.
package main

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/daemon/entry"
)

func main() {
	daemon.Program[*apiv1.EntrySettings]{
		Name:        "bergamot-entry",
		Description: "Runs an entry process: HTTP for callers and targets, and scheduler shards.",
		Section:     "entry",
		Settings:    &apiv1.EntrySettings{},
		Start: func(settings *apiv1.EntrySettings) (daemon.Service, error) {
			return entry.Start(settings)
		},
	}.Main()
}
