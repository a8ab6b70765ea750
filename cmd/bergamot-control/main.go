// Command bergamot-control runs one replica of the control group, which elects a
// leader and keeps the replicated state.
package main

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/daemon/control"
)

func main() {
	daemon.Program[*apiv1.ControlSettings]{
		Name:        "bergamot-control",
		Description: "Runs one replica of the control group.",
		Section:     "control",
		Settings:    &apiv1.ControlSettings{},
		Start: func(settings *apiv1.ControlSettings) (daemon.Service, error) {
			return control.Start(settings)
		},
	}.Main()
}
