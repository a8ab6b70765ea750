// Package consensus is a Raft core without I/O, clock, goroutines or global
// randomness: ticks, messages and a seeded random source come in, and Ready
// hands out what must be stored, sent and applied.
package consensus

import (
	"errors"
	"math/rand/v2"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Role is what a replica is in its current term.
type Role int

// Roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in logs and status pages.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

const (
	defaultMaxInflight     = 64
	defaultMaxMessageBytes = 1 << 20
)

// Errors of proposals and reads; nothing was appended when they are returned.
var (
	ErrNotLeader     = errors.New("replica is not the leader")
	ErrChangePending = errors.New("a membership change is not committed yet")
	ErrNotCaughtUp   = errors.New("learner has not caught up with the log")
	ErrInvalidChange = errors.New("membership change does not fit the group")
)

// Config sets up a core.
type Config struct {
	ID uint64
	// ElectionTicks is the least number of ticks without a leader before an
	// election; the actual number is random below twice this.
	ElectionTicks  int
	HeartbeatTicks int
	Rand           *rand.Rand
	// MaxInflight bounds the append messages to a follower that are not
	// acknowledged yet; zero means 64.
	MaxInflight int
	// MaxMessageBytes bounds the entries of one message, which has at least
	// one entry; zero means 1 MiB.
	MaxMessageBytes int
}

// PersistentState is the synced state that a core starts from.
type PersistentState struct {
	HardState *apiv1.HardState
	// Snapshot is nil for a replica that belongs to no group yet.
	Snapshot *apiv1.SnapshotMeta
	// Entries follow the snapshot without gaps.
	Entries []*apiv1.LogEntry
}

// ReadState tells that the read Context may be served once Index is applied.
type ReadState struct {
	Context uint64
	Index   uint64
}

// Ready is the work of one round. The driver sends MessagesBeforeSync at once,
// stores Snapshot, Entries and HardState and syncs them when MustSync is set,
// sends MessagesAfterSync, applies Snapshot and CommittedEntries, and then
// calls Advance.
type Ready struct {
	HardState *apiv1.HardState
	MustSync  bool
	// Entries overwrite stored entries from the first one's index on.
	Entries []*apiv1.LogEntry
	// Snapshot replaces the whole log and state.
	Snapshot *apiv1.Snapshot
	// MessagesBeforeSync holds messages of a leader, whose term is stored already, and
	// pre-votes, which promise nothing. They don't wait for the sync.
	MessagesBeforeSync []*apiv1.RaftMessage
	// MessagesAfterSync holds messages that promise what this Ready stores.
	MessagesAfterSync []*apiv1.RaftMessage
	CommittedEntries  []*apiv1.LogEntry
	ReadStates        []ReadState
}

// Core is the state of one replica. Invariants:
//   - term and vote never go back; a replica votes once per term;
//   - base <= snapshot <= applied <= committed <= last index of the log;
//   - a leader never overwrites its log; only entries of its own term are
//     committed by counting, earlier ones with them;
//   - a group differs from the one before by one replica, takes effect when
//     its entry is appended, and follows only a committed one;
//   - the replica counts itself, as voter or holder of entries, after Advance.
type Core struct {
	cfg      Config
	id       uint64
	role     Role
	term     uint64
	vote     uint64
	leader   uint64
	log      raftLog
	snapshot *apiv1.SnapshotMeta
	groups   []groupAt

	electionElapsed  int
	electionDeadline int
	heartbeatElapsed int

	votes           map[uint64]bool
	selfVotePending bool
	peers           map[uint64]*progress
	// noopIndex is the first entry of the leader's own term.
	noopIndex uint64

	round     uint64
	needRound bool
	reads     []pendingRead

	stored  *apiv1.HardState
	install *apiv1.Snapshot
	early   []*apiv1.RaftMessage
	late    []*apiv1.RaftMessage
	done    []ReadState
	// taken is the last log index handed out for storage.
	taken uint64
}

// New returns a follower with the stored state.
func New(cfg Config, st PersistentState) *Core {
	if cfg.MaxInflight == 0 {
		cfg.MaxInflight = defaultMaxInflight
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
	c.groups = []groupAt{{index: c.snapshot.Index, group: cloneGroup(c.snapshot.Group)}}
	c.log.append(st.Entries)
	c.addGroups(st.Entries)
	if t := c.log.lastTerm(); t > c.term {
		// A batch that was cut off ended before its hard state.
		c.term, c.vote = t, 0
	}
	c.log.commitTo(hs.Commit)
	c.log.unstable = c.log.last() + 1
	c.taken = c.log.last()
	c.stored = c.hardState()
	c.becomeFollower(c.term, 0)
	return c
}

// ID returns the replica id.
func (c *Core) ID() uint64 { return c.id }

// Role returns the present role.
func (c *Core) Role() Role { return c.role }

// Term returns the present term.
func (c *Core) Term() uint64 { return c.term }

// LeaderID returns the id of the leader of this term, zero when unknown.
func (c *Core) LeaderID() uint64 { return c.leader }

// CommitIndex returns the highest index known to be committed.
func (c *Core) CommitIndex() uint64 { return c.log.committed }

// AppliedIndex returns the highest index handed out for application.
func (c *Core) AppliedIndex() uint64 { return c.log.applied }

// LastIndex returns the index of the last entry of the log.
func (c *Core) LastIndex() uint64 { return c.log.last() }

// SnapshotIndex returns the index of the newest snapshot.
func (c *Core) SnapshotIndex() uint64 { return c.snapshot.Index }

// Tick advances the core's time by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionDeadline && c.isVoter(c.id) {
		c.campaign()
	}
}

// Propose appends a command to the leader's log and returns its index and
// term. The command is committed only when Ready hands it out with this term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	return c.appendOwn(apiv1.EntryKind_ENTRY_KIND_COMMAND, data), c.term, nil
}

// StepDown makes a leader a follower of the same term, unless it is the only
// voter.
func (c *Core) StepDown() {
	if c.role == Leader && c.voterCount() > 1 {
		c.becomeFollower(c.term, 0)
	}
}

// HasReady tells whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.needRound || c.install != nil || len(c.early)+len(c.late)+len(c.done) > 0 ||
		c.log.unstable <= c.log.last() || c.log.applied < c.log.committed ||
		c.selfVotePending || !proto.Equal(c.stored, c.hardState())
}

// Ready returns the present round of work. No other method may be called
// before Advance.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.startRound()
		c.broadcastEntries()
	}
	rd := Ready{
		Entries: c.log.from(c.log.unstable), Snapshot: c.install,
		MessagesBeforeSync: c.early, MessagesAfterSync: c.late, ReadStates: c.done,
		CommittedEntries: c.log.from(c.log.applied + 1)[:c.log.committed-c.log.applied],
	}
	hs := c.hardState()
	if !proto.Equal(hs, c.stored) {
		rd.HardState = hs
	}
	rd.MustSync = len(rd.Entries) > 0 || rd.Snapshot != nil || hs.Term != c.stored.Term || hs.Vote != c.stored.Vote
	c.stored = hs
	c.early, c.late, c.done, c.install = nil, nil, nil, nil
	return rd
}

// Advance tells that the work of the last Ready is stored, synced and applied.
func (c *Core) Advance() {
	c.taken = c.log.last()
	c.log.unstable = c.taken + 1
	c.log.applied = c.log.committed
	if c.selfVotePending {
		c.selfVotePending = false
		c.recordVote(c.id, true)
	}
	if p := c.peers[c.id]; c.role == Leader && p != nil {
		p.acknowledge(c.taken)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

func (c *Core) hardState() *apiv1.HardState {
	return &apiv1.HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

func (c *Core) appendOwn(kind apiv1.EntryKind, data []byte) uint64 {
	e := &apiv1.LogEntry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.append([]*apiv1.LogEntry{e})
	c.addGroups([]*apiv1.LogEntry{e})
	return e.Index
}

func (c *Core) send(m *apiv1.RaftMessage) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
		apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.early = append(c.early, m)
	default:
		c.late = append(c.late, m)
	}
}
