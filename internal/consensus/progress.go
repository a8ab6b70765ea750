package consensus

type progressState int

const (
	// probing sends one append at a time until the follower's log matches.
	probing progressState = iota
	// replicating sends ahead of the acknowledgements, up to MaxInflight.
	replicating
	// installing waits for the follower to store a snapshot.
	installing
)

// progress is what a leader knows about one replica's log. Invariants:
// match < next; the replica has synced all entries up to match.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// probeSent stops further probes until a reply or a heartbeat reply.
	probeSent bool
	// inflight holds the last index of each append that is not acknowledged.
	inflight []uint64
	// installTicks counts down to the next attempt to send a snapshot.
	installTicks int
	// silentTicks counts ticks since the replica was last heard in this term.
	silentTicks int
	round       uint64
}

func (p *progress) acknowledge(index uint64) bool {
	p.release(index)
	grown := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	return grown
}

func (p *progress) release(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = p.inflight[n:]
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.probeSent = false
	p.inflight = nil
}

func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	}
	return true
}
