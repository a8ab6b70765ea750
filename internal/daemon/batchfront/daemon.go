// Package batchfront wires an entry for batch jobs on a platform.
package batchfront

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batchservice"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/observe"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

// Section is the INI section of the settings.
const Section = "batch-front"

// HandlerOptions are what an adapter needs to serve callers.
type HandlerOptions struct {
	Client *batchservice.Client
	Log    *logrus.Entry
	// SearchTimeout bounds the search for the control leader.
	SearchTimeout time.Duration
	MaxBodyBytes  int64
}

// Adapter speaks a platform's protocol.
type Adapter struct {
	// NewCallerHandler serves callers, Ready the balancer.
	NewCallerHandler    func(HandlerOptions) http.Handler
	NewReadinessHandler func(check func() error) http.Handler
}

// Daemon is a running entry.
type Daemon struct {
	Process *observe.Process

	settings      *apiv1.BatchFrontSettings
	cancel        context.CancelFunc
	rpcClient     *rpc.Client
	leaderTracker *batchservice.LeaderTracker
	callerServer  *http.Server
	otherServers  []*http.Server
}

// Start opens the listeners.
func Start(path string, set *apiv1.BatchFrontSettings, a Adapter) (*Daemon, error) {
	secret, err := daemon.ClusterSecret(set.ClusterSecretFile, set.AllowNoSecret)
	if err != nil {
		return nil, err
	}
	process, err := observe.NewProcess("batch-front", set.ProcessId, set.LogLevel)
	if err != nil {
		return nil, err
	}
	seeds, err := batchservice.RPCAddresses(set.SeedAddresses, set.ControlRpcPort)
	if err != nil {
		return nil, err
	}
	listeners, err := daemon.Listen(set.CallerAddress, set.ReadyAddress, set.AdminAddress)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(secret)
	d := &Daemon{
		Process: process, settings: set, rpcClient: client,
		leaderTracker: batchservice.NewLeaderTracker(client, seeds, process.Log),
	}
	process.AddReadinessCheck(d.leaderTracker.CheckReady)
	d.serve(path, a, listeners)
	process.Log.WithFields(logrus.Fields{"caller_address": set.CallerAddress, "seeds": seeds}).Info("process started")
	return d, nil
}

func (d *Daemon) serve(path string, a Adapter, listeners []net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.callerServer = daemon.NewHTTPServer(a.NewCallerHandler(HandlerOptions{
		Client: batchservice.NewClient(d.leaderTracker.ControlClient()), Log: d.Process.Log,
		SearchTimeout: daemon.Millis(d.settings.SearchTimeoutMs), MaxBodyBytes: int64(d.settings.MaxBodyBytes),
	}))
	readyServer := daemon.NewHTTPServer(a.NewReadinessHandler(d.Process.CheckReady))
	adminServer := d.Process.AdminServer()
	d.otherServers = []*http.Server{readyServer, adminServer}
	go daemon.Serve(d.Process.Log, "callers", func() error { return d.callerServer.Serve(listeners[0]) })
	go daemon.Serve(d.Process.Log, "ready", func() error { return readyServer.Serve(listeners[1]) })
	go daemon.Serve(d.Process.Log, "admin", func() error { return adminServer.Serve(listeners[2]) })
	go d.Process.DumpOnSignal(ctx)
	go d.leaderTracker.Run(ctx)
	go daemon.SettingsReloader[*apiv1.BatchFrontSettings]{
		Path: path, Section: Section, Log: d.Process.Log,
		New:   func() *apiv1.BatchFrontSettings { return &apiv1.BatchFrontSettings{} },
		Apply: d.apply,
	}.Run(ctx)
	d.Process.SetReady(true)
}

func (d *Daemon) apply(next *apiv1.BatchFrontSettings) {
	seeds, err := batchservice.RPCAddresses(next.SeedAddresses, next.ControlRpcPort)
	if err != nil {
		d.Process.Log.WithError(err).Error("changed seeds are refused; those in use stay")
		return
	}
	d.leaderTracker.SetSeeds(seeds)
}

// Stop fails readiness, asks callers to leave with their next answer, waits
// for the balancer to notice and lets requests in flight end.
func (d *Daemon) Stop() error {
	d.Process.Log.Info("process stops")
	d.Process.SetReady(false)
	d.callerServer.SetKeepAlivesEnabled(false)
	time.Sleep(daemon.Millis(d.settings.ReadyDelayMs))
	ctx, cancel := context.WithTimeout(context.Background(), daemon.Millis(d.settings.DrainTimeoutMs))
	defer cancel()
	errs := []error{d.callerServer.Shutdown(ctx)}
	for _, s := range d.otherServers {
		errs = append(errs, s.Close())
	}
	d.rpcClient.Close()
	d.cancel()
	d.Process.Log.Info("process stopped")
	d.Process.Close()
	return errors.Join(errs...)
}
