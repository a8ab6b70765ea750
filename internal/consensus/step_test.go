package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// newCore returns replica 1 of a group with the stored entries after the
// initial snapshot.
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

func flush(c *Core) (reads []ReadState) {
	for c.HasReady() {
		reads = append(reads, c.Ready().ReadStates...)
		c.Advance()
	}
	return reads
}

func reply(c *Core, kind apiv1.MessageKind, m *apiv1.RaftMessage) {
	m.Kind, m.From, m.To, m.Term = kind, 2, 1, c.Term()
	if kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY {
		m.Term++
	}
	c.Step(m)
}

// lead makes replica 1 of three the leader of term 3.
func lead(g *WithT, entries ...*apiv1.LogEntry) *Core {
	c := newCore(3, entries...)
	for c.Role() == Follower {
		c.Tick()
	}
	reply(c, apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, &apiv1.RaftMessage{})
	flush(c)
	reply(c, apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, &apiv1.RaftMessage{})
	g.Expect(c.Role()).To(Equal(Leader))
	return c
}

// Guards against a commit that rests on entries the leader has not synced.
func TestLeaderCountsItselfOnlyAfterSync(t *testing.T) {
	g := NewWithT(t)
	c := lead(g)
	reply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 1))
	flush(c)
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 2))
}

// Guards against a candidate that counts a vote it may forget in a crash.
func TestCandidateCountsItsVoteOnlyAfterSync(t *testing.T) {
	g := NewWithT(t)
	c := newCore(1)
	for c.Role() == Follower {
		c.Tick()
	}
	g.Expect(c.Role()).To(Equal(Candidate))
	flush(c)
	g.Expect(c.Role()).To(Equal(Leader))
}

// Guards against committing an entry of an earlier term by counting: a quorum
// that holds it can still elect a leader that overwrites it.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	g := NewWithT(t)
	c := lead(g, &apiv1.LogEntry{Term: 2, Index: 2, Kind: apiv1.EntryKind_ENTRY_KIND_COMMAND})
	flush(c)
	reply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 1))
	reply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 3})
	g.Expect(c.CommitIndex()).To(BeNumerically("==", 3))
}

// Guards against a read confirmed by the answer to a heartbeat sent before the
// read began.
func TestReadIsConfirmedOnlyByLaterRound(t *testing.T) {
	g := NewWithT(t)
	c := lead(g)
	flush(c)
	reply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	g.Expect(c.ReadIndex(7)).To(Succeed())
	g.Expect(flush(c)).To(BeEmpty())
	first := c.round
	g.Expect(c.ReadIndex(8)).To(Succeed())
	reply(c, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, &apiv1.RaftMessage{ReadRound: first - 1})
	g.Expect(flush(c)).To(BeEmpty())
	reply(c, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, &apiv1.RaftMessage{ReadRound: first})
	g.Expect(flush(c)).To(Equal([]ReadState{{Context: 7, Index: 2}}))
	reply(c, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, &apiv1.RaftMessage{ReadRound: first + 1})
	g.Expect(flush(c)).To(Equal([]ReadState{{Context: 8, Index: 2}}))
}

// Guards against a new leader that changes the group while a change of an
// earlier leader may still commit: the two groups might not overlap.
func TestChangeWaitsForLeadersOwnEntry(t *testing.T) {
	g := NewWithT(t)
	c := lead(g)
	flush(c)
	change := &apiv1.ConfChange{Kind: apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE, Replica: &apiv1.Replica{Id: 3}}
	_, _, err := c.ProposeConfChange(change)
	g.Expect(errors.Is(err, ErrChangePending)).To(BeTrue())
	reply(c, apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, &apiv1.RaftMessage{LogIndex: 2})
	_, _, err = c.ProposeConfChange(change)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a vote that is sent before it is synced, in a term that was
// stored with a refusal.
func TestVoteInKnownTermIsSynced(t *testing.T) {
	g := NewWithT(t)
	c := newCore(3, &apiv1.LogEntry{Term: 2, Index: 2, Kind: apiv1.EntryKind_ENTRY_KIND_COMMAND})
	vote := func(from, index uint64) Ready {
		c.Step(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE, From: from, To: 1, Term: 5, LogIndex: index, LogTerm: 2})
		rd := c.Ready()
		c.Advance()
		return rd
	}
	g.Expect(vote(2, 1).MessagesAfterSync[0].Reject).To(BeTrue())
	rd := vote(3, 2)
	g.Expect(rd.MessagesAfterSync[0].Reject).To(BeFalse())
	g.Expect(rd.MustSync).To(BeTrue())
	g.Expect(rd.HardState.Vote).To(BeNumerically("==", 3))
}
