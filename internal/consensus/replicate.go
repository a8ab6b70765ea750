package consensus

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// installTimeoutFactor times the election timeout passes before a snapshot
// that was not answered is sent again.
const installTimeoutFactor = 4

func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.silentTicks++
		if p.state == installing {
			p.installTicks--
			if p.installTicks <= 0 {
				p.probe(p.next)
			}
		}
	}
	if !c.hearsQuorum() {
		c.becomeFollower(c.term, 0)
		return
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

func (c *Core) hearsQuorum() bool {
	n := 0
	for _, r := range c.group().Replicas {
		if !r.Learner && (r.Id == c.id || c.IsReachable(r.Id)) {
			n++
		}
	}
	return n >= c.quorum()
}

// IsReachable tells whether this leader heard the replica within an election
// timeout.
func (c *Core) IsReachable(id uint64) bool {
	p := c.peers[id]
	return c.role == Leader && p != nil && p.silentTicks < c.cfg.ElectionTicks
}

// TicksSinceContact returns for how many ticks this leader has not heard the replica,
// zero on other replicas.
func (c *Core) TicksSinceContact(id uint64) int {
	p := c.peers[id]
	if c.role != Leader || p == nil {
		return 0
	}
	return p.silentTicks
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	for _, r := range c.group().Replicas {
		if r.Id == c.id {
			continue
		}
		// A follower's log is known to match only up to its match index.
		commit := min(c.peers[r.Id].match, c.log.committed)
		c.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: r.Id, Commit: commit, ReadRound: c.round})
	}
}

func (c *Core) broadcastEntries() {
	for _, r := range c.group().Replicas {
		if r.Id != c.id {
			c.sendEntries(r.Id)
		}
	}
}

// sendEntries sends all entries the replica lacks, as far as flow control
// allows.
func (c *Core) sendEntries(id uint64) {
	p := c.peers[id]
	for p.next <= c.log.last() && !p.paused(c.cfg.MaxInflight) {
		c.sendAppend(id, p)
	}
}

// sendAppend sends one message, with no entries when there are none to send.
func (c *Core) sendAppend(id uint64, p *progress) {
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	entries := c.log.limited(p.next, c.cfg.MaxMessageBytes)
	c.send(&apiv1.RaftMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, To: id,
		LogIndex: prev, LogTerm: prevTerm, Entries: entries, Commit: c.log.committed,
	})
	if p.state == probing {
		p.probeSent = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

// sendSnapshot announces the newest snapshot; the driver adds the data.
func (c *Core) sendSnapshot(id uint64, p *progress) {
	p.state = installing
	p.installTicks = installTimeoutFactor * c.cfg.ElectionTicks
	c.send(&apiv1.RaftMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id,
		Snapshot: &apiv1.Snapshot{Meta: c.snapshot},
	})
}

// stepReply handles what followers answer to this leader.
func (c *Core) stepReply(m *apiv1.RaftMessage) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.silentTicks = 0
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		if m.Reject {
			c.handleReject(m, p)
			return
		}
		c.handleAcknowledge(m, p)
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		c.handleAcknowledge(m, p)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		c.handleHeartbeatReply(m, p)
	}
}

func (c *Core) handleAcknowledge(m *apiv1.RaftMessage, p *progress) {
	if m.LogIndex > c.log.last() {
		return
	}
	grown := p.acknowledge(m.LogIndex)
	switch {
	case p.state == installing && p.match >= c.log.base:
		p.probe(p.match + 1)
	case p.state == probing && (grown || p.probeSent && m.LogIndex == p.next-1):
		p.probe(p.match + 1)
		p.state = replicating
	}
	if grown {
		c.advanceCommit()
	}
	if c.role == Leader {
		c.sendEntries(m.From)
	}
}

// handleReject steps back to where the logs may match. Rejections that are
// answered already or answer an older probe are dropped.
func (c *Core) handleReject(m *apiv1.RaftMessage, p *progress) {
	stale := m.LogIndex <= p.match || p.state == probing && m.LogIndex != p.next-1
	if stale || p.state == installing {
		return
	}
	p.probe(min(m.HintIndex, m.LogIndex-1) + 1)
	c.sendEntries(m.From)
}

// handleHeartbeatReply confirms reads and repeats appends that may be lost.
func (c *Core) handleHeartbeatReply(m *apiv1.RaftMessage, p *progress) {
	p.round = max(p.round, m.ReadRound)
	c.confirmReads()
	if p.match >= c.log.last() || p.state == installing {
		return
	}
	// Even an empty append makes a follower that missed one reject it and show
	// where it stands.
	if len(p.inflight) >= c.cfg.MaxInflight {
		p.inflight = p.inflight[1:]
	}
	c.sendAppend(m.From, p)
}

// advanceCommit commits what a quorum of voters has synced. Entries of earlier
// terms are committed only through one of this term, since a quorum that holds
// them does not keep another leader from overwriting them.
func (c *Core) advanceCommit() {
	index := c.quorumIndex(func(p *progress) uint64 { return p.match })
	if t, ok := c.log.term(index); !ok || t != c.term || index <= c.log.committed {
		return
	}
	c.log.commitTo(index)
	c.confirmReads()
	if !c.isVoter(c.id) && c.groupIndex() <= c.log.committed {
		// A leader that removed itself tells the others the commit, then stops.
		c.broadcastHeartbeat()
		c.becomeFollower(c.term, 0)
	}
}

// MatchIndex returns the last index that the leader knows to be synced on the
// replica, zero when it is not the leader or does not know.
func (c *Core) MatchIndex(id uint64) uint64 {
	if c.role != Leader {
		return 0
	}
	if id == c.id {
		return c.log.committed
	}
	p := c.peers[id]
	if p == nil {
		return 0
	}
	return p.match
}
