// Package dev runs a control replica and an entry, which passes callers' requests on
// to minions, in one process, with fake minions, workers (which run jobs) and
// platform (which operates VMs), to try out the system.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/daemon/control"
	"bergamotdrum.example/bergamotdrum/internal/daemon/entry"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
)

const (
	startTimeout   = 30 * time.Second
	dataFolderMode = 0o700
	minionCount    = 2
	workerCount    = 2
	// operationDuration is the duration of an operation of the fake platform.
	operationDuration = 2 * time.Second
)

// Options configure a run.
type Options struct {
	// Folder is the data folder. If it is empty a temporary folder is used, which
	// is removed at the end.
	Folder string
	// Stay keeps the processes running after the demo until ctx ends.
	Stay bool
	// Verbose sets the log level to info instead of error.
	Verbose bool
	// Out receives the demo's output.
	Out io.Writer
}

// Run starts all processes, publishes a configuration, sends one request, runs
// one job, and stops gracefully.
func Run(ctx context.Context, o Options) error {
	folder := o.Folder
	if folder == "" {
		dir, err := os.MkdirTemp("", "bergamot-dev-")
		if err != nil {
			return fmt.Errorf("create a temporary folder: %w", err)
		}
		defer os.RemoveAll(dir)
		folder = dir
	}
	if err := os.MkdirAll(folder, dataFolderMode); err != nil {
		return fmt.Errorf("create the data folder: %w", err)
	}
	level := "error"
	if o.Verbose {
		level = "info"
	}
	env, err := newEnvironment(folder, level)
	if err != nil {
		return err
	}
	stopPlatform, err := startPlatform(env)
	if err != nil {
		return err
	}
	defer stopPlatform()
	controlDaemon, err := control.Start(env.control)
	if err != nil {
		return err
	}
	defer controlDaemon.Stop()
	entryDaemon, err := entry.Start(env.entry)
	if err != nil {
		return err
	}
	defer entryDaemon.Stop()
	stopFakes, err := startFakes(ctx, env)
	if err != nil {
		return err
	}
	defer stopFakes()
	return runDemo(ctx, env, o)
}

// startPlatform serves the API of a fake platform, whose operations end after
// operationDuration and do nothing. The returned function stops it.
func startPlatform(env *environment) (func(), error) {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, fmt.Errorf("listen for the fake platform: %w", err)
	}
	env.control.PlatformUrl = "http://" + l.Addr().String()
	server := daemon.NewHTTPServer(fakes.NewPlatform(fakes.PlatformOptions{OperationDuration: operationDuration}))
	go server.Serve(l)
	return func() { server.Close() }, nil
}

// startFakes starts fake minions and workers, which announce themselves to the
// entry. The returned function stops them.
func startFakes(ctx context.Context, env *environment) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	target := "http://" + env.entry.TargetAddress
	var running []*fakes.Minion
	for i := range minionCount {
		m, err := fakes.StartMinion(fakes.MinionOptions{
			Announcement: &apiv1.MinionAnnouncement{
				MinionId: fmt.Sprintf("minion-%d", i+1), Service: serviceName, Vm: fmt.Sprintf("vm-%d", i+1),
				AvailabilityZone: zoneName, Rack: "rack-1", Slots: 8, Connections: 64, Pool: poolName,
			},
			AnnounceURLs: []string{target},
		})
		if err != nil {
			cancel()
			return nil, err
		}
		running = append(running, m)
	}
	for i := range workerCount {
		w := fakes.NewWorker(fakes.WorkerOptions{
			WorkerID: fmt.Sprintf("worker-%d", i+1), VM: fmt.Sprintf("vm-%d", i+1), Pool: poolName,
			Zone: zoneName, Rack: "rack-1",
			Capacity:  &apiv1.Resources{CpuMillis: 16000, MemoryMb: 32 << 10, Accelerators: 1},
			EntryURLs: []string{target},
		})
		go w.Run(ctx)
	}
	return func() {
		cancel()
		for _, m := range running {
			m.Close()
		}
	}, nil
}
