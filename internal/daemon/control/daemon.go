// Package control runs a control replica of the fleet from its settings: a member of
// the control group, which replicates the state. Package daemon/batchcore runs the
// replica of the other kind of deployment, which manages batch jobs.
package control

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/control"
	"bergamotdrum.example/bergamotdrum/internal/daemon"
	"bergamotdrum.example/bergamotdrum/internal/observe"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/replica"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/settings"
	"bergamotdrum.example/bergamotdrum/internal/state"
	"bergamotdrum.example/bergamotdrum/internal/vmapi"
)

// stopTimeout is how long Stop waits for operators' requests in flight.
const stopTimeout = 10 * time.Second

// Daemon is a running control replica.
type Daemon struct {
	Process *observe.Process
	Node    *replica.Node
	Control *control.Server

	cancel      context.CancelFunc
	rpcServer   *rpc.Server
	rpcClient   *rpc.Client
	httpServers []*http.Server
}

// Start opens the listeners and the data folder, starts the replica and serves.
// It returns before the replica has found or joined its group.
func Start(cfg *apiv1.ControlSettings) (*Daemon, error) {
	secret, err := daemon.ReadSecret(cfg.ClusterSecretFile)
	if err != nil {
		return nil, err
	}
	process, err := observe.NewProcess("control", cfg.ProcessId, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	keys, problems := operator.OpenKeyFile(cfg.OperatorKeysFile, func(p []settings.Problem) {
		process.Log.WithError(settings.JoinErrors(p)).Error("operators' key file cannot be used; all operators are refused")
	})
	if err := settings.JoinErrors(problems); err != nil {
		return nil, err
	}
	addresses, err := operatorAddresses(cfg)
	if err != nil {
		return nil, err
	}
	descriptors, err := daemon.DescriptorLimit(0)
	if err != nil {
		return nil, err
	}
	listeners, err := daemon.Listen(cfg.RpcAddress, cfg.OperatorAddress, cfg.AdminAddress)
	if err != nil {
		return nil, err
	}
	d := &Daemon{Process: process, rpcServer: rpc.NewServer(secret, process.Log), rpcClient: rpc.NewClient(secret)}
	if err := d.startReplica(cfg, keys, addresses); err != nil {
		for _, l := range listeners {
			l.Close()
		}
		d.rpcClient.Close()
		return nil, err
	}
	d.serve(listeners[0], listeners[1], listeners[2], daemon.PlanDescriptors(descriptors))
	process.Log.WithField("rpc_address", cfg.RpcAddress).Info("control replica started")
	return d, nil
}

// operatorAddresses maps the rpc address of each control replica to the address
// of its operator listener.
func operatorAddresses(cfg *apiv1.ControlSettings) (map[string]string, error) {
	m := map[string]string{cfg.RpcAddress: cfg.OperatorAddress}
	if len(cfg.OperatorAddresses) == 0 {
		return m, nil
	}
	if len(cfg.OperatorAddresses) != len(cfg.ControlAddresses) {
		return nil, fmt.Errorf("operator_addresses has %d entries and control_addresses %d; list both in the same order", len(cfg.OperatorAddresses), len(cfg.ControlAddresses))
	}
	for i, a := range cfg.ControlAddresses {
		m[a] = cfg.OperatorAddresses[i]
	}
	return m, nil
}

func (d *Daemon) startReplica(cfg *apiv1.ControlSettings, keys control.OperatorKeys, addresses map[string]string) error {
	stateMachine := state.New()
	var platform vmapi.Platform
	if cfg.PlatformUrl != "" {
		platform = vmapi.NewClient(cfg.PlatformUrl)
	}
	d.Control = control.New(control.Options{
		StateMachine:      stateMachine,
		Clock:             clock.Boot{},
		Log:               d.Process.Log,
		SessionTTL:        daemon.Millis(cfg.SessionTtlMs),
		ExpiryMargin:      daemon.Millis(cfg.SessionMarginMs),
		LeaseTTL:          daemon.Millis(cfg.LeaseTtlMs),
		Platform:          platform,
		OperatorKeys:      keys,
		OperatorAddresses: addresses,
		Registry:          d.Process.Registry,
		Dump:              d.Process.Dump,
	})
	d.Control.Register(d.rpcServer)
	node, err := replica.Start(replica.Options{
		DataFolder:        cfg.DataFolder,
		RPCAddress:        cfg.RpcAddress,
		ControlAddresses:  cfg.ControlAddresses,
		Bootstrap:         cfg.Bootstrap,
		HeartbeatInterval: daemon.Millis(cfg.HeartbeatIntervalMs),
		ElectionTimeout:   daemon.Millis(cfg.ElectionTimeoutMs),
		SnapshotEntries:   uint64(cfg.SnapshotEntries),
		StateMachine:      stateMachine,
		RPCServer:         d.rpcServer,
		RPCClient:         d.rpcClient,
		Clock:             clock.Boot{},
		Log:               d.Process.Log,
		Registry:          d.Process.Registry,
		OnLeader:          d.Control.OnLeader,
	})
	if err != nil {
		return err
	}
	d.Node = node
	d.Control.SetNode(node)
	d.Process.AddDumper("replica", func() any { return node.Status() })
	d.Process.AddDumper("state", func() any { return control.DumpState(stateMachine) })
	d.Process.AddDumper("leadership", func() any { return d.Control.DumpLeadership() })
	d.Process.AddReadinessCheck(func() error {
		if node.Status().LeaderID == 0 {
			return errors.New("no leader of the control group is known")
		}
		return nil
	})
	return nil
}

func (d *Daemon) serve(rpcListener, operatorListener, admin net.Listener, descriptors daemon.DescriptorBudget) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	operators := daemon.NewHTTPServer(d.Control.OperatorHandler())
	daemon.LimitClients(operators, daemon.ClientLimits{
		Listener: "operators", MaxBodyBytes: control.MaxOperatorBodyBytes, Descriptors: descriptors.Limit - descriptors.Reserved,
	}, d.Process.Log, d.Process.Registry)
	adminServer := d.Process.AdminServer()
	d.httpServers = []*http.Server{operators, adminServer}
	go daemon.Serve(d.Process.Log, "rpc", func() error { return d.rpcServer.Serve(rpcListener) })
	go daemon.Serve(d.Process.Log, "operators", func() error { return operators.Serve(operatorListener) })
	go daemon.Serve(d.Process.Log, "admin", func() error { return adminServer.Serve(admin) })
	go d.Process.DumpOnSignal(ctx)
	d.Process.SetReady(true)
}

// Failed implements daemon.Service. The replica stops by itself after a failed write.
func (d *Daemon) Failed() <-chan struct{} { return d.Node.Done() }

// Stop fails readiness, waits up to stopTimeout for operators' requests, and
// stops the replica. The data folder keeps the replica's state for the next
// start.
func (d *Daemon) Stop() error {
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
	d.Process.Log.Info("control replica stopped")
	d.Process.Close()
	return errors.Join(errs...)
}
