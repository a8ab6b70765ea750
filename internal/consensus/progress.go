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
	// inflight holds the unacknowledged append messages, in ascending order of their
	// entries, and inflightBytes is the size of all these entries.
	inflight      []inflightMessage
	inflightBytes int
	// snapshotRetryTicks is the number of ticks until a snapshot that wasn't
	// acknowledged is sent again.
	snapshotRetryTicks int
	// ticksSinceContact is the number of ticks since the last reply from the
	// replica in this term.
	ticksSinceContact int
	// readRound is the last round of heartbeats that the replica answered.
	readRound uint64
}

// inflightMessage is an append message that isn't acknowledged yet.
type inflightMessage struct {
	lastIndex uint64 // of its entries
	bytes     int    // size of its entries
}

// addInflight records that an append message was sent.
func (p *progress) addInflight(lastIndex uint64, bytes int) {
	p.inflight = append(p.inflight, inflightMessage{lastIndex, bytes})
	p.inflightBytes += bytes
}

// dropInflight removes the n oldest messages.
func (p *progress) dropInflight(n int) {
	for _, m := range p.inflight[:n] {
		p.inflightBytes -= m.bytes
	}
	p.inflight = p.inflight[n:]
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
	for n < len(p.inflight) && p.inflight[n].lastIndex <= index {
		n++
	}
	p.dropInflight(n)
}

// startProbing makes the leader check with the next append message whether the
// logs match just before next.
func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.probeSent = false
	p.inflight, p.inflightBytes = nil, 0
}

// isPaused reports whether flow control forbids sending another append message.
func (p *progress) isPaused(cfg *Config) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= cfg.MaxInflight || p.inflightBytes >= cfg.MaxInflightBytes
	}
	return true
}
