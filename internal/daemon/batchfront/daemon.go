// Package batchfront runs a process that accepts callers' requests for batch
// jobs and forwards them to the control leader (see package batchservice). An
// Adapter translates between it and the protocol of a platform.
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

// Section is the INI section with the process's settings.
const Section = "batch-front"

// HandlerOptions configure the callers' handler of an Adapter.
type HandlerOptions struct {
	Client *batchservice.Client
	Log    *logrus.Entry
	// SearchTimeout bounds the call to the control leader that a request leads to,
	// the search for the leader included.
	SearchTimeout time.Duration
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64
}

// Adapter implements a platform's protocol.
type Adapter struct {
	// NewCallerHandler returns the handler of callers' requests.
	NewCallerHandler func(HandlerOptions) http.Handler
	// NewReadinessHandler returns the handler of the load balancer's health
	// checks. The process is ready while check returns nil.
	NewReadinessHandler func(check func() error) http.Handler
}

// Daemon is a running batch front process.
type Daemon struct {
	Process *observe.Process

	settings      *apiv1.BatchFrontSettings
	cancel        context.CancelFunc
	rpcClient     *rpc.Client
	leaderTracker *batchservice.LeaderTracker
	callerServer  *http.Server
	otherServers  []*http.Server
}

// Start opens the listeners and serves. path is the settings file, which is
// watched for changes of the seeds.
func Start(path string, settings *apiv1.BatchFrontSettings, a Adapter) (*Daemon, error) {
	daemon.LimitMemory(settings.MaxMemoryBytes)
	secret, err := daemon.ClusterSecret(settings.ClusterSecretFile, settings.AllowNoSecret)
	if err != nil {
		return nil, err
	}
	process, err := observe.NewProcess("batch-front", settings.ProcessId, settings.LogLevel)
	if err != nil {
		return nil, err
	}
	seeds, err := batchservice.RPCAddresses(settings.SeedAddresses, settings.ControlRpcPort)
	if err != nil {
		return nil, err
	}
	descriptors, err := daemon.DescriptorLimit(settings.MaxDescriptors)
	if err != nil {
		return nil, err
	}
	listeners, err := daemon.Listen(settings.CallerAddress, settings.ReadyAddress, settings.AdminAddress)
	if err != nil {
		return nil, err
	}
	client := rpc.NewClient(secret)
	d := &Daemon{
		Process: process, settings: settings, rpcClient: client,
		leaderTracker: batchservice.NewLeaderTracker(client, seeds, process.Log),
	}
	process.AddReadinessCheck(d.leaderTracker.CheckReady)
	d.serve(path, a, listeners, daemon.PlanDescriptors(descriptors))
	process.Log.WithFields(logrus.Fields{"caller_address": settings.CallerAddress, "seeds": seeds}).Info("process started")
	return d, nil
}

func (d *Daemon) serve(path string, a Adapter, listeners []net.Listener, descriptors daemon.DescriptorBudget) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.callerServer = daemon.NewHTTPServer(a.NewCallerHandler(HandlerOptions{
		Client: batchservice.NewClient(d.leaderTracker), Log: d.Process.Log,
		SearchTimeout: daemon.Millis(d.settings.SearchTimeoutMs), MaxBodyBytes: int64(d.settings.MaxBodyBytes),
	}))
	daemon.LimitClients(d.callerServer, daemon.ClientLimits{
		Listener: "callers", MaxBodyMemoryBytes: d.settings.MaxBodyMemoryBytes, MaxConnections: d.settings.MaxConnections,
		MaxMemoryBytes: d.settings.MaxMemoryBytes, MaxBodyBytes: int64(d.settings.MaxBodyBytes), Descriptors: descriptors.Limit - descriptors.Reserved,
	}, d.Process.Log, d.Process.Registry)
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

// apply takes over changed seed addresses; other settings need a restart.
func (d *Daemon) apply(next *apiv1.BatchFrontSettings) {
	seeds, err := batchservice.RPCAddresses(next.SeedAddresses, next.ControlRpcPort)
	if err != nil {
		d.Process.Log.WithError(err).Error("changed seed addresses are invalid; keeping those in use")
		return
	}
	d.leaderTracker.SetSeeds(seeds)
}

// Failed implements daemon.Service.
func (d *Daemon) Failed() <-chan struct{} { return nil }

// Stop shuts down gracefully: it fails readiness, disables keep-alive on callers'
// connections, waits ready_delay for the load balancer to notice, and waits up
// to drain_timeout for requests in flight.
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
