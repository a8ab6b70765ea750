package consensus

// pendingRead is a read that is confirmed once a quorum has answered a heartbeat
// of its round or a later one.
type pendingRead struct {
	context uint64
	index   uint64 // index that must be applied before the read is served
	// readRound is zero until the round for this read starts.
	readRound uint64
}

// ReadIndex requests a linearizable read. Ready returns a ReadState with the same
// context once a quorum has answered a heartbeat that was sent after this call,
// which confirms that this replica still leads. If the replica loses the
// leadership before, the read is dropped without a ReadState. On replicas that
// don't lead, ReadIndex returns ErrNotLeader.
func (c *Core) ReadIndex(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// A new leader may not know the commit index of earlier terms until its own
	// first entry is committed.
	index := max(c.log.committed, c.noopIndex)
	c.pendingReads = append(c.pendingReads, pendingRead{context: context, index: index})
	c.readRoundNeeded = true
	return nil
}

// startReadRound starts one round of heartbeats for all reads that arrived since
// the last one.
func (c *Core) startReadRound() {
	if !c.readRoundNeeded {
		return
	}
	c.readRoundNeeded = false
	c.readRound++
	for i := range c.pendingReads {
		if c.pendingReads[i].readRound == 0 {
			c.pendingReads[i].readRound = c.readRound
		}
	}
	if p := c.progressOf[c.id]; p != nil {
		p.readRound = c.readRound
	}
	c.broadcastHeartbeat()
	c.confirmReads()
}

// confirmReads hands out reads in order, up to the first one whose round isn't
// answered by a quorum. Answers to earlier rounds don't count: they may have been
// sent before another leader was elected and committed entries.
func (c *Core) confirmReads() {
	confirmed := c.quorumValue(func(p *progress) uint64 { return p.readRound })
	n := 0
	for n < len(c.pendingReads) {
		r := c.pendingReads[n]
		if r.readRound == 0 || r.readRound > confirmed || c.noopIndex > c.log.committed {
			break
		}
		c.readStates = append(c.readStates, ReadState{Context: r.context, Index: r.index})
		n++
	}
	c.pendingReads = c.pendingReads[n:]
}
