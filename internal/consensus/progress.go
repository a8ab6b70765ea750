package consensus

// progressState says how a leader sends log entries to a replica.
type progressState int

const (
	// In state probing the leader doesn't know where the logs match. It sends
	// one append message and waits for the reply.
	probing progressState = iota
	// In state replicating the leader sends up to Config.MaxInflight append
	// messages without waiting for their replies.
	replicating
	// In state installingSnapshot the leader sends no entries until the replica
	// has stored a snapshot.
	installingSnapshot
)

// progress is a leader's view of the log of one replica. Invariant: match < next.
type progress struct {
	// match is the last index up to which the replica is known to have synced
	// the leader's log.
	match uint64
	// next is the index of the next entry to send.
	next  uint64
	state progressState
	// probeSent is set in state probing while the reply to an append message is
	// outstanding. The reply to a heartbeat lets the leader send another one.
	probeSent bool
	// inflight holds the index of the last entry of each unacknowledged append
	// message, in ascending order.
	inflight []uint64
	// snapshotRetryTicks is the number of ticks until a snapshot that wasn't
	// acknowledged is sent again.
	snapshotRetryTicks int
	// ticksSinceContact is the number of ticks since the last reply from the
	// replica in this term.
	ticksSinceContact int
	// readRound is the last round of heartbeats that the replica answered.
	readRound uint64
}

// acknowledge records that the replica has synced the log up to index. It reports
// whether match advanced.
func (p *progress) acknowledge(index uint64) bool {
	p.releaseInflight(index)
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	return advanced
}

// releaseInflight removes the messages that are acknowledged by index.
func (p *progress) releaseInflight(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}

// startProbing makes the leader check with the next append message whether the
// logs match just before next.
func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.probeSent = false
	p.inflight = nil
}

// isPaused reports whether flow control forbids sending another append message.
func (p *progress) isPaused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}
