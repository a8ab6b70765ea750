package consensus

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

func (c *Core) becomeFollower(term, leader uint64) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	c.role, c.leader = Follower, leader
	c.votes, c.peers = nil, nil
	c.selfVotePending = false
	c.reads, c.needRound = nil, false
	c.resetElection()
}

func (c *Core) resetElection() {
	c.electionElapsed = 0
	c.electionDeadline = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
}

// campaign asks for pre-votes. They change no term anywhere, so a replica that
// was cut off does not disturb the group when it returns.
func (c *Core) campaign() {
	c.role, c.leader = PreCandidate, 0
	c.resetElection()
	c.votes = map[uint64]bool{}
	c.requestVotes(apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, c.term+1)
	c.recordVote(c.id, true)
}

func (c *Core) becomeCandidate() {
	c.role = Candidate
	c.term++
	c.vote = c.id
	c.resetElection()
	c.votes = map[uint64]bool{}
	// Its own vote counts only once it is synced.
	c.selfVotePending = true
	c.requestVotes(apiv1.MessageKind_MESSAGE_KIND_VOTE, c.term)
}

func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.id
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.votes = nil
	c.round = 0
	c.peers = map[uint64]*progress{}
	c.syncPeers()
	c.peers[c.id].acknowledge(c.taken)
	c.noopIndex = c.appendOwn(apiv1.EntryKind_ENTRY_KIND_NOOP, nil)
}

func (c *Core) requestVotes(kind apiv1.MessageKind, term uint64) {
	for _, r := range c.group().Replicas {
		if r.Learner || r.Id == c.id {
			continue
		}
		c.send(&apiv1.RaftMessage{Kind: kind, To: r.Id, Term: term, LogIndex: c.log.last(), LogTerm: c.log.lastTerm()})
	}
}

func (c *Core) recordVote(from uint64, granted bool) {
	if _, ok := c.votes[from]; !ok && c.votes != nil {
		c.votes[from] = granted
	}
	yes, no := 0, 0
	for id, g := range c.votes {
		switch {
		case !c.isVoter(id):
		case g:
			yes++
		default:
			no++
		}
	}
	quorum := c.quorum()
	switch {
	case yes >= quorum && c.role == PreCandidate:
		c.becomeCandidate()
	case yes >= quorum && c.role == Candidate:
		c.becomeLeader()
	case no >= quorum:
		c.becomeFollower(c.term, 0)
	}
}

// hearsLeader tells whether a leader was heard within the election timeout.
// Votes are refused meanwhile, so that a removed or partly cut-off replica
// cannot depose a leader that has a quorum.
func (c *Core) hearsLeader() bool {
	return c.role == Leader || c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

func (c *Core) handlePreVote(m *apiv1.RaftMessage) {
	free := m.Term > c.term || c.vote == m.From || c.vote == 0
	grant := free && !c.hearsLeader() && c.log.upToDate(m.LogIndex, m.LogTerm)
	reply := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

func (c *Core) handleVote(m *apiv1.RaftMessage) {
	free := c.vote == m.From || c.vote == 0 && c.leader == 0
	grant := free && c.log.upToDate(m.LogIndex, m.LogTerm)
	if grant {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !grant})
}

// Step takes one message. Messages of earlier terms change nothing.
func (c *Core) Step(m *apiv1.RaftMessage) {
	if m.To != c.id || m.From == c.id {
		return
	}
	if m.Term < c.term {
		c.rejectOldTerm(m)
		return
	}
	if m.Term > c.term && !c.enterTerm(m) {
		return
	}
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.handlePreVote(m)
	case apiv1.MessageKind_MESSAGE_KIND_VOTE:
		c.handleVote(m)
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		// A grant for another term answers an earlier attempt.
		if c.role == PreCandidate && (m.Reject || m.Term == c.term+1) {
			c.recordVote(m.From, !m.Reject)
		}
	case apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		if c.role == Candidate {
			c.recordVote(m.From, !m.Reject)
		}
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
		apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.stepFromLeader(m)
	default:
		c.stepReply(m)
	}
}

// enterTerm takes over the higher term of m. It returns false when m must be
// dropped.
func (c *Core) enterTerm(m *apiv1.RaftMessage) bool {
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return m.Term == c.term+1
		}
	case apiv1.MessageKind_MESSAGE_KIND_VOTE:
		if c.hearsLeader() {
			return false
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// rejectOldTerm tells a leader or candidate of an earlier term about the
// present one, so that it follows.
func (c *Core) rejectOldTerm(m *apiv1.RaftMessage) {
	kind := apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND, apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
		apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		kind = apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	case apiv1.MessageKind_MESSAGE_KIND_VOTE:
		kind = apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY
	default:
		return
	}
	c.send(&apiv1.RaftMessage{Kind: kind, To: m.From, Reject: true})
}
