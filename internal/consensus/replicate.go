package consensus

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// A snapshot that isn't acknowledged within this many times
// Config.ElectionTicks is sent again.
const snapshotRetryFactor = 4

// tickLeader sends heartbeats and retries snapshots when they are due. A leader
// without an active quorum steps down.
func (c *Core) tickLeader() {
	for _, p := range c.progressOf {
		p.ticksSinceContact++
		if p.state == installingSnapshot {
			p.snapshotRetryTicks--
			if p.snapshotRetryTicks <= 0 {
				p.startProbing(p.next)
			}
		}
	}
	if !c.hasActiveQuorum() {
		c.becomeFollower(c.term, 0)
		return
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
}

// hasActiveQuorum reports whether a quorum of voters, this leader included, is
// reachable.
func (c *Core) hasActiveQuorum() bool {
	n := 0
	for _, r := range c.group().Replicas {
		if !r.Learner && (r.Id == c.id || c.IsReachable(r.Id)) {
			n++
		}
	}
	return n >= c.quorum()
}

// IsReachable reports whether this replica leads and the other replica with id
// has replied to it within the last Config.ElectionTicks ticks.
func (c *Core) IsReachable(id uint64) bool {
	p := c.progressOf[id]
	return c.role == Leader && p != nil && p.ticksSinceContact < c.cfg.ElectionTicks
}

// TicksSinceContact returns the number of ticks since the replica with id last
// replied to this leader or, if it never did, since it joined the group. It returns
// zero if this replica doesn't lead or the id is unknown.
func (c *Core) TicksSinceContact(id uint64) int {
	p := c.progressOf[id]
	if c.role != Leader || p == nil {
		return 0
	}
	return p.ticksSinceContact
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	for _, r := range c.group().Replicas {
		if r.Id == c.id {
			continue
		}
		// The follower may have conflicting entries above its match index.
		commit := min(c.progressOf[r.Id].match, c.log.committed)
		c.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: r.Id, Commit: commit, ReadRound: c.readRound})
	}
}

func (c *Core) broadcastEntries() {
	for _, r := range c.group().Replicas {
		if r.Id != c.id {
			c.sendEntries(r.Id)
		}
	}
}

// sendEntries sends the entries that the replica lacks, as far as flow control
// permits.
func (c *Core) sendEntries(id uint64) {
	p := c.progressOf[id]
	for p.next <= c.log.lastIndex() && !p.isPaused(&c.cfg) {
		c.sendAppend(id, p)
	}
}

// sendAppend sends one append message, which is empty if the replica lacks no
// entries, or a snapshot if the entries it lacks are compacted.
func (c *Core) sendAppend(id uint64, p *progress) {
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	entries := c.log.entriesUpToSize(p.next, c.cfg.MaxMessageBytes)
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
		p.addInflight(p.next-1, sizeOf(entries))
	}
}

// sendSnapshot queues a message with the metadata of the newest snapshot. The
// driver, which sends the messages of a core, adds the data when it sends the
// message.
func (c *Core) sendSnapshot(id uint64, p *progress) {
	p.state = installingSnapshot
	p.snapshotRetryTicks = snapshotRetryFactor * c.cfg.ElectionTicks
	c.send(&apiv1.RaftMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id,
		Snapshot: &apiv1.Snapshot{Meta: c.snapshot},
	})
}

// stepFromFollower handles a follower's reply to this leader.
func (c *Core) stepFromFollower(m *apiv1.RaftMessage) {
	p := c.progressOf[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		if m.Reject {
			c.handleReject(m, p)
			return
		}
		c.handleAck(m, p)
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY:
		c.handleAck(m, p)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY:
		c.handleHeartbeatReply(m, p)
	}
}

// handleAck handles the reply that the replica has synced the log up to the
// message's index, and sends further entries.
func (c *Core) handleAck(m *apiv1.RaftMessage, p *progress) {
	if m.LogIndex > c.log.lastIndex() {
		return
	}
	advanced := p.acknowledge(m.LogIndex)
	switch {
	case p.state == installingSnapshot && p.match >= c.log.base:
		p.startProbing(p.match + 1)
	case p.state == probing && (advanced || p.probeSent && m.LogIndex == p.next-1):
		p.startProbing(p.match + 1)
		p.state = replicating
	}
	if advanced {
		c.advanceCommit()
	}
	if c.role == Leader {
		c.sendEntries(m.From)
	}
}

// handleReject handles the reply that the logs don't match at the message's
// index. It goes back to where they may match, as the follower's hint says.
// Outdated rejections are dropped: those below the known match and those of an
// earlier probe.
func (c *Core) handleReject(m *apiv1.RaftMessage, p *progress) {
	stale := m.LogIndex <= p.match || p.state == probing && m.LogIndex != p.next-1
	if stale || p.state == installingSnapshot {
		return
	}
	p.startProbing(min(m.HintIndex, m.LogIndex-1) + 1)
	c.sendEntries(m.From)
}

// handleHeartbeatReply counts the reply towards pending reads and sends another
// append message to a follower that lags, since earlier ones may have been lost.
func (c *Core) handleHeartbeatReply(m *apiv1.RaftMessage, p *progress) {
	p.readRound = max(p.readRound, m.ReadRound)
	c.confirmReads()
	if p.match >= c.log.lastIndex() || p.state == installingSnapshot {
		return
	}
	// A follower that missed an append message rejects the next one, even an
	// empty one, and returns the index from which it needs entries. The oldest
	// message in flight is given up so that one more may be sent.
	if p.state == replicating && p.isPaused(&c.cfg) {
		p.dropInflight(1)
	}
	c.sendAppend(m.From, p)
}

// advanceCommit commits the entries that a quorum of voters has synced. Entries of
// earlier terms are committed only along with one of the current term: even if a
// quorum has them, another leader could still be elected and overwrite them.
func (c *Core) advanceCommit() {
	index := c.quorumValue(func(p *progress) uint64 { return p.match })
	if t, ok := c.log.term(index); !ok || t != c.term || index <= c.log.committed {
		return
	}
	c.log.commitTo(index)
	c.confirmReads()
	if !c.isVoter(c.id) && c.latestGroupIndex() <= c.log.committed {
		// A leader whose own removal is committed informs the other replicas of
		// the commit index and then steps down.
		c.broadcastHeartbeat()
		c.becomeFollower(c.term, 0)
	}
}

// MatchIndex returns the last log index that the replica with id is known to have
// synced; for the leader itself it returns the commit index. It returns zero if
// this replica doesn't lead or the id is unknown.
func (c *Core) MatchIndex(id uint64) uint64 {
	if c.role != Leader {
		return 0
	}
	if id == c.id {
		return c.log.committed
	}
	p := c.progressOf[id]
	if p == nil {
		return 0
	}
	return p.match
}
