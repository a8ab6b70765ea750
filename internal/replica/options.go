// Package replica runs a consensus core over the data folder and rpc, and
// applies what commits to a state machine.
package replica

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

const (
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout   = 500 * time.Millisecond
	defaultSnapshotEntries   = 10_000
	// ticksPerHeartbeat sets how finely election timeouts are spread; with one
	// tick a heartbeat, replicas would often start elections together.
	ticksPerHeartbeat = 4
)

// StateMachine is the replicated state. Apply, Snapshot and Restore are called
// by one goroutine, in the order of the log.
type StateMachine interface {
	Apply(index uint64, cmd *apiv1.Command) *apiv1.CommandResult
	Snapshot() *apiv1.StateSnapshot
	Restore(*apiv1.StateSnapshot) error
}

// Options sets up a replica.
type Options struct {
	DataFolder string
	RPCAddress string
	// ControlAddresses are the rpc addresses of all replicas, this one included;
	// with DesiredVoters set, of some replicas that know the group.
	ControlAddresses []string
	// DesiredVoters is the number of voters that the group grows to from replicas that
	// join at any address; a silent voter then gives its place to a learner.
	// With zero only ControlAddresses vote.
	DesiredVoters int
	// Bootstrap lets this replica form a new group when no replica belongs to
	// one.
	Bootstrap bool
	// HeartbeatInterval is 100 ms when zero.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the least time without a leader before an election,
	// 500 ms when zero; the actual time is random below twice this.
	ElectionTimeout time.Duration
	// SnapshotEntries is the number of entries between snapshots, 10,000 when
	// zero.
	SnapshotEntries uint64
	StateMachine    StateMachine
	// RPCServer gets the Raft methods; call Serve only after Start.
	RPCServer *rpc.Server
	RPCClient *rpc.Client
	Clock     clock.Clock
	Log       *logrus.Entry
	// Registry may be nil.
	Registry prometheus.Registerer
	// OnLeader runs in a goroutine once this replica leads and has applied its
	// own first entry; ctx ends when it no longer leads. A later run starts only
	// when the earlier one has returned.
	OnLeader func(ctx context.Context)
}

func (o *Options) setDefaults() error {
	if o.StateMachine == nil || o.RPCServer == nil || o.RPCClient == nil || o.DataFolder == "" {
		return fmt.Errorf("replica needs a data folder, state machine, server and client")
	}
	if o.DesiredVoters == 0 && !slices.Contains(o.ControlAddresses, o.RPCAddress) {
		return fmt.Errorf("rpc address %q is not among the control addresses", o.RPCAddress)
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = defaultElectionTimeout
	}
	if o.ElectionTimeout < 2*o.HeartbeatInterval {
		return fmt.Errorf("election timeout %s must be at least twice the heartbeat interval %s", o.ElectionTimeout, o.HeartbeatInterval)
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(quiet)
	}
	return nil
}

func (o *Options) tick() time.Duration {
	return max(o.HeartbeatInterval/ticksPerHeartbeat, time.Millisecond)
}

// Status is the state of a replica at one moment.
type Status struct {
	ReplicaID uint64
	// ClusterID is zero while the replica belongs to no group.
	ClusterID     uint64
	LeaderID      uint64
	LeaderAddress string
	Role          consensus.Role
	Term          uint64
	Commit        uint64
	Applied       uint64
	// Group must not be changed.
	Group *apiv1.GroupConfig
}
