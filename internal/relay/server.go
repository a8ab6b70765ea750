// Package relay spreads the leader's calls to minions over the replicas of the control
// group. The leader alone decides, keeps the sessions and the leases, and records every
// order before it is sent; a replica makes the call and returns the answer. So a relayed
// call differs from one of the leader only in what the network does to it:
//
//   - A replica makes each call once, and the leader gives it to one replica. A call whose
//     stream is lost counts as one without answer, not as one that wasn't made.
//   - A replica makes no call that was given to it more than maxCallAge ago. It knows the
//     age without common clocks: the leader sends back the replica's own time, with how
//     long it has had it. Both are read on clocks that count a suspension.
//   - A replica makes no call of a leader whose term it knows to be over. The fencing token
//     and the end of the lease are the leader's, so that a minion refuses orders of a
//     deposed leader as those on its own connections.
//   - A replica that is suspended, slow or cut off is not taken for silent minions: their
//     hold calls are made by the leader itself, within the same call.
package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

const (
	// Method names the streams on which the leader gives calls to a replica.
	Method = "Relay.Calls"
	// maxCallAge is the time after which a replica doesn't make a call any more.
	maxCallAge = 500 * time.Millisecond
	// pause is the shortest time between two messages of a side, so that one message
	// carries several calls or answers.
	pause = 8 * time.Millisecond
	// heartbeatInterval is the longest time between two messages of a side.
	heartbeatInterval = 100 * time.Millisecond
	// silenceTimeout is the time without a message after which a side closes the stream.
	silenceTimeout = 600 * time.Millisecond
)

// Stream carries messages between the leader and a replica; *rpc.Stream implements it.
type Stream interface {
	Send(m proto.Message, timeout time.Duration) error
	Receive(m proto.Message, timeout time.Duration) error
	Close() error
}

// Server makes the calls that the leader gives to this replica.
type Server struct {
	minions dispatch.MinionClient
	clock   clock.Clock
	term    func() uint64
}

// NewServer returns a server that calls through minions. term returns the latest term
// that this replica knows.
func NewServer(minions dispatch.MinionClient, c clock.Clock, term func() uint64) *Server {
	return &Server{minions, c, term}
}

// Register adds the server's method to srv.
func (s *Server) Register(srv *rpc.Server) {
	rpc.RegisterStream(srv, Method, func(ctx context.Context, stream *rpc.Stream) { s.Serve(ctx, stream) })
}

// outbox collects what is sent to the leader next.
type outbox struct {
	mu       sync.Mutex
	received uint64
	answers  []*apiv1.RelayedAnswer
	wake     chan struct{}
}

func (o *outbox) update(fn func()) {
	o.mu.Lock()
	fn()
	o.mu.Unlock()
	wakeUp(o.wake)
}

func (o *outbox) take(now time.Duration) *apiv1.RelayAnswers {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := &apiv1.RelayAnswers{ReplicaTimeUs: now.Microseconds(), Received: o.received, Answers: o.answers}
	o.answers = nil
	return m
}

// wakeUp sends a signal unless one is waiting.
func wakeUp(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// sendLoop sends a message after each signal of wake, and each heartbeatInterval, until
// ctx ends or sending fails.
func sendLoop(ctx context.Context, stream Stream, wake <-chan struct{}, next func() proto.Message) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		if stream.Send(next(), silenceTimeout) != nil {
			return
		}
		sleep(ctx, pause)
		timer.Reset(heartbeatInterval)
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Serve makes the calls of a leader until the stream or ctx ends. Then it gives the
// calls in progress up.
func (s *Server) Serve(ctx context.Context, stream Stream) {
	ctx, cancel := context.WithCancel(ctx)
	out := &outbox{wake: make(chan struct{}, 1)}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stream.Close()
	defer cancel()
	wg.Go(func() {
		defer stream.Close()
		sendLoop(ctx, stream, out.wake, func() proto.Message { return out.take(s.clock.Now()) })
	})
	for {
		m := &apiv1.RelayCalls{}
		if stream.Receive(m, silenceTimeout) != nil {
			return
		}
		receivedAt := s.clock.Now()
		// The leader can't have sent the message before it had this replica's time.
		sentAt := time.Duration(m.ReplicaTimeUs+int64(m.HeldUs)) * time.Microsecond
		for _, t := range m.Disconnected {
			s.minions.Disconnect(targetOf(t))
		}
		out.update(func() { out.received = m.Number })
		deposed := m.Term < s.term()
		for _, c := range m.Calls {
			wg.Go(func() {
				answer := errDeposed(c.Id)
				if !deposed {
					answer = s.call(ctx, c, sentAt, receivedAt)
				}
				out.update(func() { out.answers = append(out.answers, answer) })
			})
		}
	}
}

// call makes a call that the leader sent at or after sentAt, unless it is too old.
func (s *Server) call(ctx context.Context, c *apiv1.RelayedCall, sentAt, receivedAt time.Duration) *apiv1.RelayedAnswer {
	now := s.clock.Now()
	if now-sentAt > maxCallAge {
		return answerMessage(c.Id, 0, &dispatch.Refusal{Reason: dispatch.NotSent, Detail: "the call reached the replica too late"})
	}
	timeout := time.Duration(c.TimeoutMs)*time.Millisecond - (now - receivedAt)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return carryOut(ctx, s.minions, c)
}

// errDeposed is the answer to a call of a leader that another one has replaced.
func errDeposed(id uint64) *apiv1.RelayedAnswer {
	return answerMessage(id, 0, &dispatch.Refusal{Reason: dispatch.NotSent, Detail: "the leader was replaced"})
}
