// Package replica runs one member of a replicated group. It connects a consensus
// core (Raft) with the log in the data folder and with the other members over
// rpc, and applies committed entries to a state machine. A voter counts towards
// quorums; a learner gets the log without counting, until it is promoted.
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
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

const (
	defaultHeartbeatInterval = 100 * time.Millisecond
	defaultElectionTimeout   = 500 * time.Millisecond
	defaultSnapshotEntries   = 10_000
	defaultSnapshotBytes     = 8 << 20
	// ticksPerHeartbeat is the resolution of the random election timeouts. With
	// one tick per heartbeat, replicas would often start elections at the same
	// time.
	ticksPerHeartbeat = 4
)

// StateMachine is the replicated state. One goroutine calls its methods, Apply in
// the order of the log.
type StateMachine interface {
	// Apply executes the committed command at the log index.
	Apply(index uint64, cmd *apiv1.Command) *apiv1.CommandResult
	// Snapshot returns the whole state. The caller is done with it before the
	// next Apply.
	Snapshot() *apiv1.StateSnapshot
	// Restore replaces the whole state.
	Restore(*apiv1.StateSnapshot) error
}

// dataFolder is the part of a storage.Folder that a replica uses.
type dataFolder interface {
	ReplicaID() uint64
	ClusterID() uint64
	SetClusterID(id uint64) error
	Save(hs *apiv1.HardState, entries []*apiv1.LogEntry, sync bool) error
	WriteSnapshot(s *apiv1.Snapshot) error
	UseSnapshot(meta *apiv1.SnapshotMeta, replaceLog bool) error
	ReadSnapshot() (*apiv1.Snapshot, error)
	Close()
}

func openFolder(path string) (dataFolder, *storage.Contents, error) { return storage.Open(path) }

// Options configures a replica.
type Options struct {
	DataFolder string
	RPCAddress string // ip:port at which the other replicas reach this one
	// ControlAddresses are, for a fixed group, the rpc addresses of all replicas,
	// including this one. For a growing group they are the seed addresses: those
	// of some replicas that know the group. See DesiredVoters.
	ControlAddresses []string
	// DesiredVoters chooses one of two modes. When zero, the group is fixed: its
	// voters are the replicas at ControlAddresses. Otherwise the group grows to
	// this number of voters: replicas join at any address, and a learner replaces
	// a voter that timed out.
	DesiredVoters int
	// Bootstrap allows this replica to form a new group when no replica belongs
	// to one yet.
	Bootstrap bool
	// HeartbeatInterval is the time between the leader's heartbeats, 100 ms when
	// zero.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a leader before an election,
	// 500 ms when zero. The actual time is random, less than twice this.
	ElectionTimeout time.Duration
	// SnapshotEntries is the number of log entries between two snapshots, 10,000
	// when zero.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the log entries between two snapshots, 8 MiB when
	// zero. It is the size of the last snapshot if that is larger.
	SnapshotBytes int
	// MaxLogBytes bounds the log entries in memory and on the disk: beyond it commands are
	// refused until a snapshot covers entries. When zero, the bound is a multiple of
	// SnapshotBytes, or of the last snapshot if that is larger.
	MaxLogBytes  int
	StateMachine StateMachine
	// RPCServer gets the Raft methods from Start. It must not serve before Start
	// has returned.
	RPCServer *rpc.Server
	RPCClient *rpc.Client
	Clock     clock.Clock   // clock.Boot when nil
	Log       *logrus.Entry // discarded when nil
	// Registry gets the replica's metrics; it may be nil.
	Registry prometheus.Registerer
	// openFolder opens the data folder, with storage.Open when nil.
	openFolder func(path string) (dataFolder, *storage.Contents, error)
	// OnLeader is called in a goroutine when this replica has become leader and
	// has applied the first entry of its term, and so all earlier ones. Its ctx
	// ends when the replica no longer leads. The next call starts only after the
	// earlier one has returned. It may be nil.
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
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.openFolder == nil {
		o.openFolder = openFolder
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		o.Log = logrus.NewEntry(discard)
	}
	return nil
}

// tick is the interval of the core's ticks.
func (o *Options) tick() time.Duration {
	return max(o.HeartbeatInterval/ticksPerHeartbeat, time.Millisecond)
}

// Status is the state of a replica at one moment. It is part of the state dump,
// which shows the names of the fields.
type Status struct {
	ReplicaID uint64
	// ClusterID is zero while the replica belongs to no group.
	ClusterID     uint64
	LeaderID      uint64
	LeaderAddress string
	Role          consensus.Role
	Term          uint64
	Commit        uint64 // highest log index known to be committed
	Applied       uint64 // highest log index applied to the state machine
	// LogBytes is the size of the log entries in memory, MaxLogBytes the size from which
	// on commands are refused.
	LogBytes, MaxLogBytes int
	// Group is the latest group in the log, committed or not. It must not be
	// modified.
	Group *apiv1.GroupConfig
}
