// Package consensus implements the Raft algorithm as a deterministic state
// machine without I/O, clock or goroutines. A driver, replica.Node, passes in
// ticks and messages, and carries out the storage, sends and applies that Ready
// returns. The only randomness is the source in Config.
//
// A voter is a replica whose vote and log count towards quorums. A learner gets
// the log without counting, until it is promoted to a voter. The hard state is
// the term, the vote and the commit index.
package consensus

import (
	"errors"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Role is the role of a replica in its current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name of the role that logs and status pages show.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

const (
	defaultMaxInflight      = 64
	defaultMaxInflightBytes = 8 << 20
	defaultMaxMessageBytes  = 1 << 20
)

// Errors of Propose, ProposeConfChange and ReadIndex. When one of them is
// returned, nothing was appended to the log.
var (
	ErrNotLeader     = errors.New("replica is not the leader")
	ErrChangePending = errors.New("a membership change is not committed yet")
	ErrNotCaughtUp   = errors.New("learner has not caught up with the log")
	ErrInvalidChange = errors.New("membership change does not fit the group")
)

// Config holds the parameters of a Core.
type Config struct {
	// ID is the replica's own id. It must not be zero, which means no replica.
	ID uint64
	// ElectionTicks is the minimum number of ticks without a message from a
	// leader after which a voter starts an election. The actual timeout is
	// drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the number of ticks between a leader's heartbeats.
	HeartbeatTicks int
	// Rand draws the election timeouts.
	Rand *rand.Rand
	// MaxInflight is the maximum number of unacknowledged append messages to
	// one follower; zero means 64.
	MaxInflight int
	// MaxInflightBytes bounds the size of the entries in these messages. Only the
	// last message may exceed it. Zero means 8 MiB.
	MaxInflightBytes int
	// MaxMessageBytes is the maximum size of the entries of one append
	// message. A single larger entry is sent alone. Zero means 1 MiB.
	MaxMessageBytes int
}

// PersistentState is the state on disk that a replica restarts from.
type PersistentState struct {
	HardState *apiv1.HardState
	// Snapshot is nil for a replica that doesn't belong to a group yet.
	Snapshot *apiv1.SnapshotMeta
	// Entries is the log after the snapshot, without gaps.
	Entries []*apiv1.LogEntry
}

// ReadState reports that the read with Context, as passed to ReadIndex, may be
// served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is one batch of work for the driver. The driver sends
// MessagesBeforeSync at once, stores Snapshot, Entries and HardState, syncs them
// if MustSync is set, sends MessagesAfterSync, applies Snapshot and
// CommittedEntries, and then calls Advance.
type Ready struct {
	// HardState is nil if it didn't change since the last Ready.
	HardState *apiv1.HardState
	MustSync  bool
	// Entries replace all stored entries from the index of the first one on.
	Entries []*apiv1.LogEntry
	// Snapshot, if set, replaces the whole log and the replicated state.
	Snapshot *apiv1.Snapshot
	// MessagesBeforeSync need not wait for the sync: they are messages of a
	// leader, whose term is already stored, and pre-vote requests, which
	// commit the sender to nothing.
	MessagesBeforeSync []*apiv1.RaftMessage
	// MessagesAfterSync tell other replicas that what this Ready stores is
	// durable, so they must not be sent before the sync.
	MessagesAfterSync []*apiv1.RaftMessage
	CommittedEntries  []*apiv1.LogEntry
	ReadStates        []ReadState
}

// Core is the Raft state of one replica. Its methods must not be called
// concurrently. Invariants:
//   - the term never decreases, and a replica votes for at most one candidate
//     per term;
//   - log base <= snapshot <= applied <= committed <= last index of the log;
//   - a leader never overwrites entries of its log. It commits entries of its
//     own term by counting the replicas that hold them; entries of earlier
//     terms are committed along with a later entry of its own term;
//   - a group differs from the previous one by one replica, takes effect when
//     its entry is appended, and is proposed only once the previous one is
//     committed;
//   - the replica counts its own vote and its own log entries towards a quorum
//     only after Advance, when they are synced.
type Core struct {
	cfg      Config
	id       uint64
	role     Role
	term     uint64
	vote     uint64 // candidate voted for in this term, zero if none
	leader   uint64 // leader of this term, zero if unknown
	log      raftLog
	snapshot *apiv1.SnapshotMeta
	// groupHistory holds the group at the start of the log and the later ones,
	// ordered by index. The last one is in force.
	groupHistory []groupVersion

	// Timers, in ticks. electionElapsed restarts with each message from the
	// leader; at electionDeadline the replica starts an election.
	electionElapsed  int
	electionDeadline int
	heartbeatElapsed int

	// votes holds the replies to this replica's vote or pre-vote requests.
	votes map[uint64]bool
	// selfVotePending is set while the candidate's own vote isn't synced.
	selfVotePending bool
	// progressOf holds by id how far the leader has replicated its log to each
	// replica of the group, itself included; nil for other roles.
	progressOf map[uint64]*progress
	// noopIndex is the index of the empty entry that a leader appends when it is
	// elected, the first entry of its term.
	noopIndex uint64

	// readRound numbers the rounds of heartbeats that confirm reads; a new one
	// starts with the next Ready if readRoundNeeded is set.
	readRound       uint64
	readRoundNeeded bool
	pendingReads    []pendingRead

	// lastHardState is the hard state as of the last Ready. The fields after
	// it collect the work of the next one.
	lastHardState   *apiv1.HardState
	pendingSnapshot *apiv1.Snapshot
	beforeSync      []*apiv1.RaftMessage
	afterSync       []*apiv1.RaftMessage
	readStates      []ReadState
	// syncedIndex is the last index of the log at the last Advance.
	syncedIndex uint64
}

// New returns a core that starts as a follower with the given state.
func New(cfg Config, st PersistentState) *Core {
	if cfg.MaxInflight == 0 {
		cfg.MaxInflight = defaultMaxInflight
	}
	if cfg.MaxInflightBytes == 0 {
		cfg.MaxInflightBytes = defaultMaxInflightBytes
	}
	if cfg.MaxMessageBytes == 0 {
		cfg.MaxMessageBytes = defaultMaxMessageBytes
	}
	c := &Core{cfg: cfg, id: cfg.ID, snapshot: &apiv1.SnapshotMeta{}}
	if st.Snapshot != nil {
		c.snapshot = st.Snapshot
	}
	hs := st.HardState
	if hs == nil {
		hs = &apiv1.HardState{}
	}
	c.term, c.vote = hs.Term, hs.Vote
	c.log.reset(c.snapshot.Index, c.snapshot.Term)
	c.groupHistory = []groupVersion{{index: c.snapshot.Index, group: cloneGroup(c.snapshot.Group)}}
	c.log.append(st.Entries)
	c.applyConfChanges(st.Entries)
	if t := c.log.lastTerm(); t > c.term {
		// A crash while the work of a Ready was being stored can leave its
		// entries on disk without its hard state. No vote of the new term was
		// sent then.
		c.term, c.vote = t, 0
	}
	c.log.commitTo(hs.Commit)
	c.log.firstUnsynced = c.log.lastIndex() + 1
	c.syncedIndex = c.log.lastIndex()
	c.lastHardState = c.hardState()
	c.becomeFollower(c.term, 0)
	return c
}

// ID returns the id of the replica.
func (c *Core) ID() uint64 { return c.id }

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the id of the leader of the current term, or zero if it is
// unknown.
func (c *Core) LeaderID() uint64 { return c.leader }

// CommitIndex returns the highest log index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.committed }

// AppliedIndex returns the index of the last entry that the driver has applied.
func (c *Core) AppliedIndex() uint64 { return c.log.applied }

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() uint64 { return c.log.lastIndex() }

// LogBytes returns the size of the log entries in memory, see EntryBytes.
func (c *Core) LogBytes() int { return c.log.bytes }

// SnapshotIndex returns the index of the last entry that the newest snapshot
// includes.
func (c *Core) SnapshotIndex() uint64 { return c.snapshot.Index }

// Tick advances the timers by one tick. It may start an election, send
// heartbeats, or make a leader step down that has lost contact with a quorum.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionDeadline && c.isVoter(c.id) {
		c.startPreVote()
	}
}

// Propose appends a command to the leader's log and returns the index and term
// of its entry. The command is committed once Ready returns a committed entry
// with this index and term; an entry with the index and another term means that
// the command was lost. On other replicas Propose returns ErrNotLeader.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return c.appendOwn(apiv1.EntryKind_ENTRY_KIND_COMMAND, data), c.term, nil
}

// StepDown turns a leader into a follower of the same term, unless it is the
// only voter. On other replicas it does nothing.
func (c *Core) StepDown() {
	if c.role == Leader && (c.voterCount() > 1 || !c.isVoter(c.id)) {
		c.becomeFollower(c.term, 0)
	}
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.readRoundNeeded || c.pendingSnapshot != nil || len(c.beforeSync)+len(c.afterSync)+len(c.readStates) > 0 ||
		c.log.firstUnsynced <= c.log.lastIndex() || c.log.applied < c.log.committed ||
		c.selfVotePending || !proto.Equal(c.lastHardState, c.hardState())
}

// Ready returns the pending work. The driver must carry it out and call Advance
// before it calls any other method.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.startReadRound()
		c.broadcastEntries()
	}
	rd := Ready{
		Entries: c.log.entriesFrom(c.log.firstUnsynced), Snapshot: c.pendingSnapshot,
		MessagesBeforeSync: c.beforeSync, MessagesAfterSync: c.afterSync, ReadStates: c.readStates,
		CommittedEntries: c.log.entriesFrom(c.log.applied + 1)[:c.log.committed-c.log.applied],
	}
	hs := c.hardState()
	if !proto.Equal(hs, c.lastHardState) {
		rd.HardState = hs
	}
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil || hs.Term != c.lastHardState.Term || hs.Vote != c.lastHardState.Vote
	c.lastHardState = hs
	c.beforeSync, c.afterSync, c.readStates, c.pendingSnapshot = nil, nil, nil, nil
	return rd
}

// Advance is called by the driver when the work of the last Ready is stored,
// synced and applied.
func (c *Core) Advance() {
	c.syncedIndex = c.log.lastIndex()
	c.log.firstUnsynced = c.syncedIndex + 1
	c.log.applied = c.log.committed
	if c.selfVotePending {
		c.selfVotePending = false
		c.recordVote(c.id, true)
	}
	if p := c.progressOf[c.id]; c.role == Leader && p != nil {
		p.acknowledge(c.syncedIndex)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

func (c *Core) hardState() *apiv1.HardState {
	return &apiv1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// appendOwn appends an entry of the current term to the leader's log and returns
// its index.
func (c *Core) appendOwn(kind apiv1.EntryKind, data []byte) uint64 {
	e := &apiv1.LogEntry{Term: c.term, Index: c.log.lastIndex() + 1, Kind: kind, Data: data}
	c.log.append([]*apiv1.LogEntry{e})
	c.applyConfChanges([]*apiv1.LogEntry{e})
	return e.Index
}

// send queues a message for the next Ready, in the current term unless m names
// one.
func (c *Core) send(m *apiv1.RaftMessage) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
		apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.beforeSync = append(c.beforeSync, m)
	default:
		c.afterSync = append(c.afterSync, m)
	}
}
