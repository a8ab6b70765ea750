// Package batchcore runs a control replica that manages batch jobs: a member of the
// control group, which replicates the state. An Adapter translates between it and
// the protocol of a platform. Package daemon/control runs the replica of the other
// kind of deployment.
package batchcore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batchservice"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/control"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
	"bergamotdrum.example/bergamotdrum/internal/observe"
	"bergamotdrum.example/bergamotdrum/internal/relay"
	"bergamotdrum.example/bergamotdrum/internal/replica"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// Section is the INI section with the process's settings.
const Section = "batch-control"

// stopTimeout is how long Stop waits for HTTP requests in flight.
const stopTimeout = time.Second

// Adapter implements a platform's protocol.
type Adapter struct {
	// NewMinions returns a client that sends calls to minions over at most the given
	// number of connections, and registers its metrics.
	NewMinions func(connections int, registry prometheus.Registerer) dispatch.MinionClient
	// NewProvider returns a client of the machine provider at address, or nil if
	// address is empty.
	NewProvider func(address string) dispatch.Provider
	// NewHandler returns the handler of the control listener, which serves
	// minions and operators.
	NewHandler func(c *batchservice.Client, log *logrus.Entry) http.Handler
	// MaxBodyBytes is the size of the largest body that the handler takes.
	MaxBodyBytes int64
}

// Daemon is a running control replica.
type Daemon struct {
	Process *observe.Process
	Node    *replica.Node

	// started is Node, for goroutines that may run before it is set.
	started       atomic.Pointer[replica.Node]
	cancel        context.CancelFunc
	rpcServer     *rpc.Server
	rpcClient     *rpc.Client
	leaderTracker *batchservice.LeaderTracker
	httpServers   []*http.Server
	descriptors   daemon.DescriptorBudget
}

// Start opens the listeners and the data folder, starts the replica and serves.
// It returns before the replica has found or joined its group. path is the
// settings file, which is watched for changes of the seeds.
func Start(path string, settings *apiv1.BatchControlSettings, a Adapter) (*Daemon, error) {
	daemon.LimitMemory(settings.MaxMemoryBytes)
	secret, err := daemon.ClusterSecret(settings.ClusterSecretFile, settings.AllowNoSecret)
	if err != nil {
		return nil, err
	}
	process, err := observe.NewProcess("batch-control", settings.ProcessId, settings.LogLevel)
	if err != nil {
		return nil, err
	}
	port, err := portOf(settings.RpcAddress)
	if err != nil {
		return nil, err
	}
	seeds, err := batchservice.RPCAddresses(settings.SeedAddresses, port)
	if err != nil {
		return nil, err
	}
	listeners, err := daemon.Listen(settings.RpcAddress, settings.ControlAddress, settings.AdminAddress)
	if err != nil {
		return nil, err
	}
	d := &Daemon{Process: process, rpcServer: rpc.NewServer(secret, process.Log), rpcClient: rpc.NewClient(secret)}
	if err := d.startReplica(settings, a, seeds); err != nil {
		for _, l := range listeners {
			l.Close()
		}
		d.rpcClient.Close()
		return nil, err
	}
	d.serve(path, settings, a, listeners)
	process.Log.WithFields(logrus.Fields{"rpc_address": settings.RpcAddress, "seeds": seeds, "first_start": settings.FirstStart}).Info("process started")
	return d, nil
}

// portOf returns the port of an rpc address (ip:port).
func portOf(address string) (uint32, error) {
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0, fmt.Errorf("rpc_address: %w", err)
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return 0, fmt.Errorf("rpc_address: %w", err)
	}
	return uint32(port), nil
}

func (d *Daemon) startReplica(settings *apiv1.BatchControlSettings, a Adapter, seeds []string) error {
	limit, err := daemon.DescriptorLimit(settings.MaxDescriptors)
	if err != nil {
		return err
	}
	budget := daemon.PlanDescriptors(limit)
	d.descriptors = budget
	d.Process.Log.WithFields(logrus.Fields{"limit": budget.Limit, "reserved": budget.Reserved, "minion_calls": budget.MinionCalls}).Info("file descriptors divided")
	stateMachine := state.New()
	direct := a.NewMinions(budget.MinionCalls, d.Process.Registry)
	relay.NewServer(direct, clock.Boot{}, d.term).Register(d.rpcServer)
	minions := relay.NewClient(relay.Options{
		Direct: direct, Open: d.openRelayStream, Peers: d.otherReplicas, Clock: clock.Boot{}, Log: d.Process.Log, Registry: d.Process.Registry,
	})
	service := batchservice.New(batchservice.Options{
		StateMachine: stateMachine, Log: d.Process.Log, Registry: d.Process.Registry,
		Dispatch: dispatch.Options{
			Minions: minions, Clock: clock.Boot{},
			Lease: min(daemon.Millis(settings.LeaseMs), daemon.Millis(settings.MaxLeaseMs)), MaxLease: daemon.Millis(settings.MaxLeaseMs), Retention: daemon.Millis(settings.JobRetentionMs),
			MaxAnnouncementAge: daemon.Millis(settings.MaxAnnouncementAgeMs),
			MaxJobMemory:       int64(daemon.ShareOfMemory(settings.MaxJobMemoryBytes, settings.MaxMemoryBytes)),
			Fleet: dispatch.FleetOptions{
				Provider: a.NewProvider(settings.ProviderAddress), Holder: settings.ProcessId,
				TakeoverDelay: daemon.Millis(settings.OrderTakeoverMs), MaintenanceTime: daemon.Millis(settings.ServiceTimeMs), OrdersPerSecond: int(settings.OrdersPerSecond),
			},
		},
	})
	service.Register(d.rpcServer)
	node, err := replica.Start(replica.Options{
		DataFolder: settings.DataFolder, RPCAddress: settings.RpcAddress,
		ControlAddresses: seeds, DesiredVoters: int(2*settings.ToleratedLosses + 1), Bootstrap: settings.FirstStart,
		HeartbeatInterval: daemon.Millis(settings.HeartbeatIntervalMs), ElectionTimeout: daemon.Millis(settings.ElectionTimeoutMs),
		SnapshotEntries: uint64(settings.SnapshotEntries), MaxLogBytes: int(daemon.ShareOfMemory(settings.MaxLogBytes, settings.MaxMemoryBytes)),
		StateMachine: stateMachine, RPCServer: d.rpcServer, RPCClient: d.rpcClient,
		Clock: clock.Boot{}, Log: d.Process.Log, Registry: d.Process.Registry,
		OnLeader: func(ctx context.Context) {
			var wg sync.WaitGroup
			defer wg.Wait()
			wg.Go(func() {
				if term, ok := d.awaitTerm(ctx); ok {
					minions.Run(ctx, term)
				}
			})
			service.OnLeader(ctx)
		},
	})
	if err != nil {
		return err
	}
	d.Node = node
	d.started.Store(node)
	service.SetNode(node)
	d.leaderTracker = batchservice.NewLeaderTracker(d.rpcClient, seeds, d.Process.Log)
	d.Process.AddDumper("replica", func() any { return node.Status() })
	d.Process.AddDumper("state", func() any { return control.DumpState(stateMachine) })
	d.Process.AddReadinessCheck(d.leaderTracker.CheckReady)
	for pattern, page := range batchservice.Pages(stateMachine, service) {
		d.Process.AddPage(pattern, page)
	}
	return nil
}

// openRelayStream opens the stream on which a replica gets calls to minions.
func (d *Daemon) openRelayStream(ctx context.Context, address string) (relay.Stream, error) {
	return d.rpcClient.OpenStream(ctx, address, relay.Method)
}

// term returns the latest term that the replica knows, zero before it has started.
func (d *Daemon) term() uint64 {
	if node := d.started.Load(); node != nil {
		return node.Status().Term
	}
	return 0
}

// awaitTerm returns the term of this replica, which leads, or false when ctx ends before
// the replica is known here.
func (d *Daemon) awaitTerm(ctx context.Context) (term uint64, ok bool) {
	for d.started.Load() == nil {
		select {
		case <-ctx.Done():
			return 0, false
		case <-time.After(time.Millisecond):
		}
	}
	return d.term(), true
}

// otherReplicas returns the rpc addresses of the group's replicas without this one.
func (d *Daemon) otherReplicas() []string {
	node := d.started.Load()
	if node == nil {
		return nil
	}
	status := node.Status()
	var out []string
	for _, r := range status.Group.GetReplicas() {
		if r.Id != status.ReplicaID {
			out = append(out, r.RpcAddress)
		}
	}
	return out
}

func (d *Daemon) serve(path string, settings *apiv1.BatchControlSettings, a Adapter, listeners []net.Listener) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	controlServer := daemon.NewHTTPServer(a.NewHandler(batchservice.NewReplicaClient(d.leaderTracker.ControlClient(), settings.ControlAddress), d.Process.Log))
	daemon.LimitClients(controlServer, daemon.ClientLimits{
		Listener: "control", MaxBodyMemoryBytes: settings.MaxBodyMemoryBytes, MaxConnections: settings.MaxConnections,
		MaxMemoryBytes: settings.MaxMemoryBytes, MaxBodyBytes: a.MaxBodyBytes, Descriptors: d.descriptors.Limit - d.descriptors.Reserved - d.descriptors.MinionCalls,
	}, d.Process.Log, d.Process.Registry)
	adminServer := d.Process.AdminServer()
	d.httpServers = []*http.Server{controlServer, adminServer}
	go daemon.Serve(d.Process.Log, "rpc", func() error { return d.rpcServer.Serve(listeners[0]) })
	go daemon.Serve(d.Process.Log, "control", func() error { return controlServer.Serve(listeners[1]) })
	go daemon.Serve(d.Process.Log, "admin", func() error { return adminServer.Serve(listeners[2]) })
	go d.Process.DumpOnSignal(ctx)
	go d.leaderTracker.Run(ctx)
	go d.observeOwnReplica(ctx)
	port, _ := portOf(settings.RpcAddress) // checked in Start
	go daemon.SettingsReloader[*apiv1.BatchControlSettings]{
		Path: path, Section: Section, Log: d.Process.Log,
		New:   func() *apiv1.BatchControlSettings { return &apiv1.BatchControlSettings{} },
		Apply: func(next *apiv1.BatchControlSettings) { d.setSeeds(next.SeedAddresses, port) },
	}.Run(ctx)
	d.Process.SetReady(true)
}

// ownReplicaInterval is the time between two reads of the leader that the local
// replica knows. The local replica knows it before a remote one could be asked.
const ownReplicaInterval = 50 * time.Millisecond

// observeOwnReplica passes the leader that the local replica knows to the leader
// tracker until ctx ends.
func (d *Daemon) observeOwnReplica(ctx context.Context) {
	ticker := time.NewTicker(ownReplicaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.leaderTracker.Observe(d.Node.Info(), "own replica")
		}
	}
}

func (d *Daemon) setSeeds(addresses []string, port uint32) {
	seeds, err := batchservice.RPCAddresses(addresses, port)
	if err != nil {
		d.Process.Log.WithError(err).Error("changed seed addresses are invalid; keeping those in use")
		return
	}
	d.leaderTracker.SetSeeds(seeds)
}

// Failed implements daemon.Service. The replica stops by itself after a failed write.
func (d *Daemon) Failed() <-chan struct{} { return d.Node.Done() }

// Stop waits up to stopTimeout for HTTP requests in flight, then stops the
// replica. The data folder keeps the replica's state for the next start.
func (d *Daemon) Stop() error {
	d.Process.Log.Info("process stops")
	d.Process.SetReady(false)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var errs []error
	for _, s := range d.httpServers {
		errs = append(errs, s.Shutdown(ctx))
	}
	d.Node.Stop()
	d.rpcServer.Close()
	d.rpcClient.Close()
	d.cancel()
	d.Process.Log.Info("process stopped")
	d.Process.Close()
	return errors.Join(errs...)
}
