package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
)

const (
	// maxLinkDelay is the age of an unconfirmed message from which other replicas are
	// preferred: this one may be suspended, slow or cut off.
	maxLinkDelay = 150 * time.Millisecond
	// reconnectPause is the time between two attempts to open a stream.
	reconnectPause = 250 * time.Millisecond
)

// link is the leader's stream to one replica.
type link struct {
	address string
	// term is the leader's.
	term  uint64
	clock clock.Clock
	wake  chan struct{}

	mu     sync.Mutex
	isOpen bool
	lastID uint64
	// queue holds the calls that are not sent yet, pending all without an answer.
	queue        []*apiv1.RelayedCall
	pending      map[uint64]*pendingCall
	disconnected []*apiv1.RelayTarget
	// replicaTimeUS is the time that the replica's last message carried, on its clock.
	// heardAt is when that arrived, on this process's.
	replicaTimeUS int64
	heardAt       time.Duration
	// sent counts the messages, unconfirmed holds when those were sent that the replica
	// hasn't confirmed.
	sent        uint64
	unconfirmed []time.Duration
}

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	// sent is set once the call may have left this process.
	sent bool
	// answer gets nil when the stream is lost; it has a buffer of one.
	answer chan *apiv1.RelayedAnswer
}

func newLink(address string, term uint64, c clock.Clock) *link {
	return &link{address: address, term: term, clock: c, wake: make(chan struct{}, 1), pending: map[uint64]*pendingCall{}}
}

// run keeps a stream open until ctx ends.
func (l *link) run(ctx context.Context, open Opener, changed func(address string, isOpen bool)) {
	for ctx.Err() == nil {
		if stream, err := open(ctx, l.address); err == nil {
			l.serve(ctx, stream, changed)
		}
		sleep(ctx, reconnectPause)
	}
}

// serve sends and receives until the stream or ctx ends.
func (l *link) serve(ctx context.Context, stream Stream, changed func(address string, isOpen bool)) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	var wg sync.WaitGroup
	defer l.lose()
	defer wg.Wait()
	defer stream.Close()
	defer stop()
	defer cancel()
	for first := true; ; first = false {
		m := &apiv1.RelayAnswers{}
		// A replica of an earlier version, without such streams, doesn't send its time.
		if stream.Receive(m, silenceTimeout) != nil || ctx.Err() != nil || m.ReplicaTimeUs == 0 {
			break
		}
		l.receive(m)
		if first {
			changed(l.address, true)
			defer changed(l.address, false)
			wg.Go(func() {
				defer stream.Close()
				sendLoop(ctx, stream, l.wake, func() proto.Message { return l.take() })
			})
		}
	}
}

// receive takes a message of the replica.
func (l *link) receive(m *apiv1.RelayAnswers) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isOpen = true
	l.replicaTimeUS, l.heardAt = m.ReplicaTimeUs, l.clock.Now()
	if confirmed := m.Received + uint64(len(l.unconfirmed)); confirmed > l.sent && m.Received <= l.sent {
		l.unconfirmed = l.unconfirmed[confirmed-l.sent:]
	}
	for _, a := range m.Answers {
		if p := l.pending[a.Id]; p != nil {
			delete(l.pending, a.Id)
			p.answer <- a
		}
	}
}

// take returns the next message to the replica.
func (l *link) take() *apiv1.RelayCalls {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.sent++
	l.unconfirmed = append(l.unconfirmed, now)
	m := &apiv1.RelayCalls{
		Number: l.sent, Term: l.term, ReplicaTimeUs: l.replicaTimeUS, HeldUs: uint64((now - l.heardAt).Microseconds()), Disconnected: l.disconnected,
	}
	for _, c := range l.queue {
		if p := l.pending[c.Id]; p != nil {
			p.sent = true
			m.Calls = append(m.Calls, c)
		}
	}
	l.queue, l.disconnected = nil, nil
	return m
}

// lose ends the calls of a stream that has ended.
func (l *link) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isOpen, l.sent = false, 0
	l.queue, l.disconnected, l.unconfirmed = nil, nil, nil
	for id, p := range l.pending {
		delete(l.pending, id)
		p.answer <- nil
	}
}

// status reports whether the stream is open and whether the replica confirms messages in
// time.
func (l *link) status(now time.Duration) (isOpen, prompt bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isOpen, len(l.unconfirmed) == 0 || now-l.unconfirmed[0] < maxLinkDelay
}

// weight returns the rank of this replica for a minion.
func (l *link) weight(minionID string) uint64 { return xxhash.Sum64String(l.address + "/" + minionID) }

// call has the replica make a call and returns its answer. The error is a refusal with
// the reason NotSent if the call certainly hasn't left this process.
func (l *link) call(ctx context.Context, c *apiv1.RelayedCall) (*apiv1.RelayedAnswer, error) {
	p := &pendingCall{answer: make(chan *apiv1.RelayedAnswer, 1)}
	if !l.enqueue(c, p) {
		return nil, errNotSent
	}
	select {
	case a := <-p.answer:
		if a == nil {
			return nil, l.lost(p)
		}
		return a, answerError(a)
	case <-ctx.Done():
		l.mu.Lock()
		delete(l.pending, c.Id)
		l.mu.Unlock()
		return nil, l.lost(p)
	}
}

var errNotSent = &dispatch.Refusal{Reason: dispatch.NotSent, Detail: "the stream to the replica is lost"}

func (l *link) lost(p *pendingCall) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.sent {
		return errLost
	}
	return errNotSent
}

// enqueue queues a call and reports whether the stream is open.
func (l *link) enqueue(c *apiv1.RelayedCall, p *pendingCall) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOpen {
		return false
	}
	l.lastID++
	c.Id = l.lastID
	l.pending[c.Id] = p
	l.queue = append(l.queue, c)
	wakeUp(l.wake)
	return true
}

// disconnect has the replica close its connections to an incarnation.
func (l *link) disconnect(to dispatch.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isOpen {
		l.disconnected = append(l.disconnected, targetMessage(to))
	}
}
