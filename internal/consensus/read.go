package consensus

// pendingRead waits until a quorum has answered a heartbeat of its round.
type pendingRead struct {
	context uint64
	index   uint64
	// round is zero until the next round starts.
	round uint64
}

// ReadIndex asks for a confirmation that this replica leads. Ready returns a
// ReadState with the same context once a quorum has answered a heartbeat that
// was sent after this call; a change of leadership drops it.
func (c *Core) ReadIndex(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	// A new leader knows the commit index only once its own entry commits.
	index := max(c.log.committed, c.noopIndex)
	c.reads = append(c.reads, pendingRead{context: context, index: index})
	c.needRound = true
	return nil
}

// startRound begins one heartbeat round for all reads that wait for one.
func (c *Core) startRound() {
	if !c.needRound {
		return
	}
	c.needRound = false
	c.round++
	for i := range c.reads {
		if c.reads[i].round == 0 {
			c.reads[i].round = c.round
		}
	}
	if p := c.peers[c.id]; p != nil {
		p.round = c.round
	}
	c.broadcastHeartbeat()
	c.confirmReads()
}

// confirmReads releases reads in order. Heartbeats of earlier rounds don't
// count: their answers may have been given before another leader committed.
func (c *Core) confirmReads() {
	confirmed := c.quorumIndex(func(p *progress) uint64 { return p.round })
	n := 0
	for n < len(c.reads) {
		r := c.reads[n]
		if r.round == 0 || r.round > confirmed || c.noopIndex > c.log.committed {
			break
		}
		c.done = append(c.done, ReadState{Context: r.context, Index: r.index})
		n++
	}
	c.reads = c.reads[n:]
}
