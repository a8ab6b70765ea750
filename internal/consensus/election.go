package consensus

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// becomeFollower makes the replica a follower in term. A leader of zero means
// that the leader of the term is unknown. Reads that aren't confirmed yet are
// dropped.
func (c *Core) becomeFollower(term, leader uint64) {
	if term != c.term {
		c.term, c.vote = term, 0
	}
	c.role, c.leader = Follower, leader
	c.votes, c.progressOf = nil, nil
	c.selfVotePending = false
	c.pendingReads, c.readRoundNeeded = nil, false
	c.resetElectionTimer()
}

// resetElectionTimer draws a new random timeout, so that replicas rarely start
// elections at the same time.
func (c *Core) resetElectionTimer() {
	c.electionElapsed = 0
	c.electionDeadline = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
}

// startPreVote asks the voters whether they would vote for this replica. No
// replica changes its term for a pre-vote, so a replica that was partitioned
// doesn't depose a working leader when it reconnects.
func (c *Core) startPreVote() {
	c.role, c.leader = PreCandidate, 0
	c.resetElectionTimer()
	c.votes = map[uint64]bool{}
	c.requestVotes(apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, c.term+1)
	c.recordVote(c.id, true)
}

// becomeCandidate starts an election in a new term after a quorum of pre-votes.
func (c *Core) becomeCandidate() {
	c.role = Candidate
	c.term++
	c.vote = c.id
	c.resetElectionTimer()
	c.votes = map[uint64]bool{}
	// The replica's own vote counts only once it is synced: after a crash it
	// could otherwise vote for another candidate of the same term.
	c.selfVotePending = true
	c.requestVotes(apiv1.MessageKind_MESSAGE_KIND_VOTE, c.term)
}

// becomeLeader appends an empty entry of the new term: entries of earlier terms
// can only be committed along with one of the leader's own term.
func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.id
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.votes = nil
	c.readRound = 0
	c.progressOf = map[uint64]*progress{}
	c.syncProgress()
	c.progressOf[c.id].acknowledge(c.syncedIndex)
	c.noopIndex = c.appendOwn(apiv1.EntryKind_ENTRY_KIND_NOOP, nil)
}

// requestVotes sends vote or pre-vote requests for term to all other voters.
func (c *Core) requestVotes(kind apiv1.MessageKind, term uint64) {
	for _, r := range c.group().Replicas {
		if r.Learner || r.Id == c.id {
			continue
		}
		c.send(&apiv1.RaftMessage{Kind: kind, To: r.Id, Term: term, LogIndex: c.log.lastIndex(), LogTerm: c.log.lastTerm()})
	}
}

// recordVote counts a reply to this replica's vote or pre-vote requests and
// takes the next step once a quorum has granted or refused them.
func (c *Core) recordVote(from uint64, granted bool) {
	if _, ok := c.votes[from]; !ok && c.votes != nil {
		c.votes[from] = granted
	}
	grants, refusals := 0, 0
	for id, g := range c.votes {
		switch {
		case !c.isVoter(id):
		case g:
			grants++
		default:
			refusals++
		}
	}
	quorum := c.quorum()
	switch {
	case grants >= quorum && c.role == PreCandidate:
		c.becomeCandidate()
	case grants >= quorum && c.role == Candidate:
		c.becomeLeader()
	case refusals >= quorum:
		c.becomeFollower(c.term, 0)
	}
}

// hasActiveLeader reports whether this replica leads or has received a message
// from the leader within the minimum election timeout. Votes of higher terms and
// pre-votes are refused meanwhile, so that a removed or partly partitioned
// replica cannot depose a leader that has a quorum.
func (c *Core) hasActiveLeader() bool {
	return c.role == Leader || c.leader != 0 && c.electionElapsed < c.cfg.ElectionTicks
}

// handlePreVote replies without storing a vote. A grant carries the term that
// was asked for, a refusal the term of this replica.
func (c *Core) handlePreVote(m *apiv1.RaftMessage) {
	canVote := m.Term > c.term || c.vote == m.From || c.vote == 0
	grant := canVote && !c.hasActiveLeader() && c.log.upToDate(m.LogIndex, m.LogTerm)
	reply := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	c.send(reply)
}

// handleVote grants the vote to at most one candidate per term, and only to one
// whose log is up to date.
func (c *Core) handleVote(m *apiv1.RaftMessage) {
	canVote := c.vote == m.From || c.vote == 0 && c.leader == 0
	grant := canVote && c.log.upToDate(m.LogIndex, m.LogTerm)
	if grant {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_VOTE_REPLY, To: m.From, Reject: !grant})
}

// Step handles a message from another replica. Requests of an earlier term are
// rejected and change nothing; messages for another replica are ignored.
func (c *Core) Step(m *apiv1.RaftMessage) {
	if m.To != c.id || m.From == c.id {
		return
	}
	if m.Term < c.term {
		c.rejectOldTerm(m)
		return
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		c.handlePreVote(m)
	case apiv1.MessageKind_MESSAGE_KIND_VOTE:
		c.handleVote(m)
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		// A grant for another term is a reply to an earlier pre-vote.
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
		c.stepFromFollower(m)
	}
}

// adoptTerm becomes a follower in the higher term of m, unless m requests or
// grants a pre-vote, or requests a vote while there is an active leader. It
// returns false if m must be dropped.
func (c *Core) adoptTerm(m *apiv1.RaftMessage) bool {
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return true
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			return m.Term == c.term+1
		}
	case apiv1.MessageKind_MESSAGE_KIND_VOTE:
		if c.hasActiveLeader() {
			return false
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// rejectOldTerm replies to a leader or candidate of an earlier term with the
// current term, so that the sender becomes a follower. Replies of an earlier
// term are dropped.
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
