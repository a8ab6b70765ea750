// Package entry runs an entry process from its settings. An entry process accepts
// callers' requests and passes them on to minions. It has a session with the control
// group, and may host shards, each of which grants the requests of one service.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/entry"
	"bergamotdrum.example/bergamotdrum/internal/observe"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/scheduler"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

// closeTimeout bounds the shutdown of the target and admin servers, which comes
// after the shards have been handed over and the session has been closed.
const closeTimeout = 5 * time.Second

// Daemon is a running entry process.
type Daemon struct {
	Process *observe.Process
	Session *session.Session
	Entry   *entry.Server

	settings     *apiv1.EntrySettings
	host         *scheduler.Host
	rpcServer    *rpc.Server
	rpcClient    *rpc.Client
	callerServer *http.Server
	targetServer *http.Server
	adminServer  *http.Server

	stopping    atomic.Bool
	stopHost    context.CancelFunc
	stopSession context.CancelFunc
	stopEntry   context.CancelFunc
	hostDone    sync.WaitGroup
	sessionDone sync.WaitGroup
}

// Start opens the listeners, serves, and begins a session with the control
// group in the background.
func Start(settings *apiv1.EntrySettings) (*Daemon, error) {
	daemon.LimitMemory(settings.MaxMemoryBytes)
	descriptors, err := daemon.DescriptorLimit(0)
	if err != nil {
		return nil, err
	}
	secret, err := daemon.ReadSecret(settings.ClusterSecretFile)
	if err != nil {
		return nil, err
	}
	process, err := observe.NewProcess("entry", settings.ProcessId, settings.LogLevel)
	if err != nil {
		return nil, err
	}
	listeners, err := daemon.Listen(settings.CallerAddress, settings.TargetAddress, settings.RpcAddress, settings.AdminAddress)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		Process:   process,
		settings:  settings,
		rpcServer: rpc.NewServer(secret, process.Log),
		rpcClient: rpc.NewClient(secret),
	}
	d.wire(daemon.PlanDescriptors(descriptors))
	d.serve(listeners)
	process.Log.WithField("caller_address", settings.CallerAddress).Info("entry process started")
	return d, nil
}

// wire creates the session, the shard host and the entry server and connects
// them to each other.
func (d *Daemon) wire(descriptors daemon.DescriptorBudget) {
	control := session.NewControlClient(d.rpcClient, d.settings.ControlAddresses)
	d.Session = session.New(session.Options{
		Control:          control,
		ProcessID:        d.settings.ProcessId,
		AvailabilityZone: d.settings.AvailabilityZone,
		RPCAddress:       d.settings.RpcAddress,
		RenewInterval:    daemon.Millis(d.settings.RenewIntervalMs),
		Clock:            clock.Boot{},
		Log:              d.Process.Log,
		Registry:         d.Process.Registry,
	})
	d.host = scheduler.NewHost(scheduler.HostOptions{
		RPCServer: d.rpcServer,
		RPCClient: d.rpcClient,
		Control:   control,
		Session:   d.Session,
		Clock:     clock.Boot{},
		Log:       d.Process.Log,
		Registry:  d.Process.Registry,
	})
	limits := daemon.ClientLimits{
		MaxBodyMemoryBytes: d.settings.MaxBodyMemoryBytes, MaxConnections: d.settings.MaxConnections,
		MaxMemoryBytes: d.settings.MaxMemoryBytes, MaxBodyBytes: int64(d.settings.MaxBodyBytes), Descriptors: descriptors.Limit - descriptors.Reserved,
	}
	d.Entry = entry.New(entry.Options{
		Session:      d.Session,
		Control:      control,
		RPCClient:    d.rpcClient,
		RPCServer:    d.rpcServer,
		Clock:        clock.Boot{},
		Log:          d.Process.Log,
		Registry:     d.Process.Registry,
		MaxBodyBytes: int64(d.settings.MaxBodyBytes), MaxBufferedBytes: limits.BodyMemory(), MaxConnections: limits.Connections(),
	})
	d.Session.OnView(d.host.OnView)
	d.Session.SetBusyVMsFunc(d.Entry.BusyVMs)
	d.Process.AddReadinessCheck(d.Session.Probe)
	d.Process.AddDumper("session", func() any { return d.Session.Dump() })
	d.Process.AddDumper("shards", d.host.Dump)
	d.Process.AddDumper("entry", d.Entry.Dump)
}

func (d *Daemon) serve(l []net.Listener) {
	d.callerServer = d.Entry.HTTPServer(d.closeWhenStopping(d.Entry.CallerHandler()))
	d.targetServer = d.Entry.HTTPServer(d.Entry.TargetHandler())
	d.adminServer = d.Process.AdminServer()
	hostCtx, stopHost := context.WithCancel(context.Background())
	sessionCtx, stopSession := context.WithCancel(context.Background())
	entryCtx, stopEntry := context.WithCancel(context.Background())
	d.stopHost, d.stopSession, d.stopEntry = stopHost, stopSession, stopEntry
	go d.logFailure("callers", func() error { return d.callerServer.Serve(l[0]) })
	go d.logFailure("targets", func() error { return d.targetServer.Serve(l[1]) })
	go d.logFailure("rpc", func() error { return d.rpcServer.Serve(l[2]) })
	go d.logFailure("admin", func() error { return d.adminServer.Serve(l[3]) })
	d.hostDone.Go(func() { d.logFailure("shard host", func() error { return d.host.Run(hostCtx) }) })
	d.sessionDone.Go(func() { d.logFailure("session", func() error { return d.Session.Run(sessionCtx) }) })
	go d.logFailure("worker reports", func() error { return d.Entry.Run(entryCtx) })
	go d.Process.DumpOnSignal(entryCtx)
	d.Process.SetReady(true)
}

// logFailure runs a part of the process and logs its error, unless the part was
// stopped.
func (d *Daemon) logFailure(name string, run func() error) {
	err := run()
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled) {
		d.Process.Log.WithError(err).WithField("part", name).Error("part of the process failed")
	}
}

// closeWhenStopping closes each connection after its next response once the
// process is stopping. Otherwise a caller could send a request at the moment in
// which the shutdown closes its idle connection, and would see a reset.
func (d *Daemon) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Failed implements daemon.Service.
func (d *Daemon) Failed() <-chan struct{} { return nil }

// Stop shuts down gracefully: it fails readiness, waits ready_delay for the load
// balancer to notice, drains the requests in flight, hands over the shards and
// closes the session. The shards serve other entry processes until the drain is
// over, so that their services are unavailable only during the handover. Stop sets
// no limit for the handover and the close of the session.
func (d *Daemon) Stop() error {
	d.stopping.Store(true)
	d.Process.SetReady(false)
	time.Sleep(daemon.Millis(d.settings.ReadyDelayMs))
	ctx, cancel := context.WithTimeout(context.Background(), daemon.Millis(d.settings.DrainTimeoutMs))
	defer cancel()
	errs := []error{d.Entry.Drain(ctx), d.callerServer.Shutdown(ctx)}
	d.stopHost()
	d.hostDone.Wait()
	d.stopSession()
	d.sessionDone.Wait()
	d.stopEntry()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	errs = append(errs, d.targetServer.Shutdown(closeCtx), d.adminServer.Shutdown(closeCtx))
	d.rpcServer.Close()
	d.rpcClient.Close()
	d.Process.Log.Info("entry process stopped")
	d.Process.Close()
	return errors.Join(errs...)
}
