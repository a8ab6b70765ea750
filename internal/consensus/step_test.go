package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// newCore returns replica 1 of a group with the given number of voters, which has
// stored the entries after a snapshot at index 1.
func newCore(voters int, entries ...*apiv1.LogEntry) *Core {
	group := &apiv1.GroupConfig{}
	for i := range voters {
		group.Replicas = append(group.Replicas, &apiv1.Replica{Id: uint64(i + 1), RpcAddress: "x"})
	}
	return New(Config{ID: 1, ElectionTicks: electionTicks, HeartbeatTicks: 2, Rand: rand.New(rand.NewPCG(1, 1))}, PersistentState{
		HardState: &apiv1.HardState{Term: 2, Commit: 1},
		Snapshot:  &apiv1.SnapshotMeta{Index: 1, Term: 1, Group: group},
		Entries:   entries,
	})
}

// drainReady carries out all pending work and returns the confirmed reads.
func drainReady(c *Core) (reads []ReadState) {
	for c.HasReady() {
		reads = append(reads, c.Ready().ReadStates...)
		c.Advance()
	}
	return reads
}

// stepReply passes the reply m of replica 2 to c, in the term that c expects.
func stepReply(c *Core, kind apiv1.MessageKind, m *apiv1.RaftMessage) {
	m.Kind, m.From, m.To, m.Term = kind, 2, 1, c.Term()
	if kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY {
		m.Term++
	}
	c.Step(m)
}

// newLeader returns replica 1 of three as the leader of term 3.
func newLeader(g *WithT, entries ...*apiv1.LogEntry) *Core {
	c := newCore(3, entries...)
	for c.Role() == Follower {
		c.Tick()
	}
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, &apiv1.RaftMessage{})
	drainReady(c)
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, &apiv1.RaftMessage{})
	g.Expect(c.Role()).To(Equal(Leader))
	return c
}

// Guards against a commit for which the leader counts its own copy of an entry
// before it is synced: a crash could lose the entry on a quorum.
func TestLeaderCountsItselfOnlyAfterSync(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(g)
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 1))
	drainReady(c)
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 2))
}

// Guards against a candidate that counts its own vote before it is synced: after a
// crash it could vote again in the same term.
func TestCandidateCountsItsVoteOnlyAfterSync(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	for c.Role() == Follower {
		c.Tick()
	}
	g.Expect(c.Role()).To(Equal(Candidate))
	drainReady(c)
	g.Expect(c.Role()).To(Equal(Leader))
}

// Guards against committing an entry of an earlier term by counting the replicas
// that hold it: even if a quorum does, a later leader may overwrite it.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(g, &apiv1.LogEntry{Term: 2, Index: 2, Kind: apiv1.EntryKind_ENTRY_KIND_COMMAND})
	drainReady(c)
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 1))
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 3})
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 3))
}

// Guards against a read that is confirmed by the reply to a heartbeat sent before
// the read started: another leader may have committed entries in between.
func TestReadIsConfirmedOnlyByLaterRound(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(g)
	drainReady(c)
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	g.Expect(c.ReadIndex(7)).To(Succeed())
	g.Expect(drainReady(c)).To(BeEmpty())
	first := c.readRound
	g.Expect(c.ReadIndex(8)).To(Succeed())
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, &apiv1.RaftMessage{ReadRound: first - 1})
	g.Expect(drainReady(c)).To(BeEmpty())
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, &apiv1.RaftMessage{ReadRound: first})
	g.Expect(drainReady(c)).To(Equal([]ReadState{{Context: 7, Index: 2}}))
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, &apiv1.RaftMessage{ReadRound: first + 1})
	g.Expect(drainReady(c)).To(Equal([]ReadState{{Context: 8, Index: 2}}))
}

// Guards against a new leader that changes the group while a change by an earlier
// leader may still be committed: quorums of the two groups might not overlap.
func TestChangeWaitsForLeadersOwnEntry(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(g)
	drainReady(c)
	change := &apiv1.ConfChange{Kind: apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, Replica: &apiv1.Replica{Id: 3}}
	_, _, err := c.ProposeConfChange(change)
	g.Expect(errors.Is(err, ErrChangePending)).To(BeTrue())
	stepReply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	_, _, err = c.ProposeConfChange(change)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a vote that is sent before it is synced when the term is already
// stored, as it is after a refused vote request of that term.
func TestVoteInKnownTermIsSynced(t *testing.T) {
	g := NewWithT(t)
	c := newCore(3, &apiv1.LogEntry{Term: 2, Index: 2, Kind: apiv1.EntryKind_ENTRY_KIND_COMMAND})
	requestVote := func(from, index uint64) Ready {
		c.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: from, To: 1, Term: 5, LogIndex: index, LogTerm: 2})
		rd := c.Ready()
		c.Advance()
		return rd
	}
	g.Expect(requestVote(2, 1).MessagesAfterSync[0].Reject).To(BeTrue())
	rd := requestVote(3, 2)
	g.Expect(rd.MessagesAfterSync[0].Reject).To(BeFalse())
	g.Expect(rd.MustSync).To(BeTrue())
	g.Expect(rd.HardState.Vote).To(BeNumerically("==", 3))
}

// Guards against a leader that is being removed and can't give up the leadership,
// since only one other voter is left.
func TestLeaderOutsideItsGroupStepsDown(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(g)
	c.groupHistory = append(c.groupHistory, groupVersion{index: c.LastIndex(), group: &apiv1.GroupConfig{Replicas: []*apiv1.Replica{{Id: 2, RpcAddress: "x"}}}})
	c.StepDown()
	g.Expect(c.Role()).To(Equal(Follower))
}
