package consensus

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// stepFromLeader handles a message from the leader of the current term.
func (c *Core) stepFromLeader(m *apiv1.RaftMessage) {
	if c.role == Leader {
		panic("consensus: two leaders in one term")
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(c.term, m.From)
	}
	c.electionElapsed = 0
	switch m.Kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND:
		c.handleAppend(m)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
		c.log.commitTo(m.Commit)
		c.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_REPLY, To: m.From, ReadRound: m.ReadRound})
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.handleSnapshot(m)
	}
}

// handleAppend appends the entries of m if the log contains the entry before
// them. Otherwise it rejects m with a hint where the logs may match.
func (c *Core) handleAppend(m *apiv1.RaftMessage) {
	reply := &apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.From}
	switch t, ok := c.log.term(m.LogIndex); {
	case m.LogIndex < c.log.committed:
		// Every leader has all committed entries, so the logs match up to the
		// commit index.
		reply.LogIndex = c.log.committed
	case !ok || t != m.LogTerm:
		reply.Reject, reply.LogIndex = true, m.LogIndex
		reply.HintIndex = c.log.conflictHint(m.LogIndex)
	default:
		c.appendFrom(m.Entries)
		reply.LogIndex = m.LogIndex + uint64(len(m.Entries))
		c.log.commitTo(min(m.Commit, reply.LogIndex))
	}
	c.send(reply)
}

// appendFrom appends the entries that the log lacks. It truncates the log only at
// an entry with a different term: a delayed message may contain just the first
// of the entries that were already acknowledged, and the others must stay.
func (c *Core) appendFrom(entries []*apiv1.LogEntry) {
	for i, e := range entries {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			c.log.truncate(e.Index)
			c.revertGroups(e.Index)
		}
		c.log.append(entries[i:])
		c.applyConfChanges(entries[i:])
		return
	}
}

// handleSnapshot installs a snapshot that is newer than the committed log. If the
// log contains the snapshot's last entry, it only commits up to there.
func (c *Core) handleSnapshot(m *apiv1.RaftMessage) {
	meta := m.Snapshot.GetMeta()
	if meta.GetIndex() > c.log.committed {
		if t, ok := c.log.term(meta.Index); ok && t == meta.Term {
			c.log.commitTo(meta.Index)
		} else {
			c.installSnapshot(m.Snapshot)
		}
	}
	c.send(&apiv1.RaftMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT_REPLY, To: m.From, LogIndex: c.log.committed})
}

func (c *Core) installSnapshot(s *apiv1.Snapshot) {
	c.pendingSnapshot = s
	c.snapshot = s.Meta
	c.log.reset(s.Meta.Index, s.Meta.Term)
	c.groupHistory = []groupVersion{{index: s.Meta.Index, group: cloneGroup(s.Meta.Group)}}
}

// SnapshotMetaAt returns the metadata for a snapshot of the state after the entry
// at index, which must be applied and not below the newest compaction.
func (c *Core) SnapshotMetaAt(index uint64) *apiv1.SnapshotMeta {
	t, _ := c.log.term(index)
	return &apiv1.SnapshotMeta{Index: index, Term: t, Group: cloneGroup(c.groupAtIndex(index))}
}

// Compact is called when the snapshot with meta, taken of applied state, is
// synced. It drops the log entries up to the snapshot, except for the last ones: at
// most keepEntries, of at most keepBytes in total. With the entries that are kept,
// followers that lag a little behind don't need a snapshot.
func (c *Core) Compact(meta *apiv1.SnapshotMeta, keepEntries, keepBytes int) {
	if meta.Index <= c.snapshot.Index || meta.Index > c.log.applied {
		return
	}
	c.snapshot = meta
	c.log.compact(c.log.startOfTail(meta.Index, keepEntries, keepBytes))
	c.compactGroups(c.log.base)
}
