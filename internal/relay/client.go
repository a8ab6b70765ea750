package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
)

const (
	// replicaGrace is how much longer than its wait a hold call may take at a replica. It
	// is shorter than what the leader allows, so that the leader can make the call itself.
	replicaGrace = 400 * time.Millisecond
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 2 * time.Second
	// directTime is how long the leader calls a minion itself that didn't answer a
	// replica.
	directTime = 10 * time.Second
	// peersInterval is the time between two readings of the replicas.
	peersInterval = 200 * time.Millisecond
)

// errLost means that a call may have been made, and its answer won't arrive.
var errLost = errors.New("the replica that makes the call gave no answer in time")

// Opener opens a stream to the replica at an address.
type Opener func(ctx context.Context, address string) (Stream, error)

// Options configure a Client.
type Options struct {
	// Direct makes the calls of this process.
	Direct dispatch.MinionClient
	Open   Opener
	// Peers returns the rpc addresses of the other replicas.
	Peers func() []string
	Clock clock.Clock
	Log   *logrus.Entry
	// Registry may be nil.
	Registry prometheus.Registerer
}

// Client implements dispatch.MinionClient for the leader. Each minion has one replica
// that calls it, of those that are usable; without one the leader calls it itself.
type Client struct {
	o     Options
	calls *prometheus.CounterVec
	links prometheus.Gauge

	mu     sync.RWMutex
	byPeer map[string]*link
	// directUntil holds until when the leader calls an incarnation itself.
	directUntil map[batch.Incarnation]time.Duration
}

// NewClient returns a client that has no streams until Run is called.
func NewClient(o Options) *Client {
	c := &Client{
		o: o, byPeer: map[string]*link{}, directUntil: map[batch.Incarnation]time.Duration{},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_minion_calls_total", Help: "Calls to minions by the process that makes them, leader or replica.",
		}, []string{"by"}),
		links: prometheus.NewGauge(prometheus.GaugeOpts{Name: "bergamot_relay_streams", Help: "Open streams to replicas that make calls to minions."}),
	}
	if o.Registry != nil {
		o.Registry.MustRegister(c.calls, c.links)
	}
	return c
}

// Run keeps streams to the other replicas until ctx ends. It is called while this
// replica leads, with its term.
func (c *Client) Run(ctx context.Context, term uint64) {
	var wg sync.WaitGroup
	cancels := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		wanted := map[string]bool{}
		for _, address := range c.o.Peers() {
			wanted[address] = true
			if cancels[address] == nil {
				linkCtx, cancel := context.WithCancel(ctx)
				cancels[address] = cancel
				l := newLink(address, term, c.o.Clock)
				c.setLink(address, l)
				wg.Go(func() { l.run(linkCtx, c.o.Open, c.streamChanged) })
			}
		}
		for address, cancel := range cancels {
			if !wanted[address] {
				cancel()
				delete(cancels, address)
				c.setLink(address, nil)
			}
		}
		sleep(ctx, peersInterval)
	}
	for address, cancel := range cancels {
		cancel()
		c.setLink(address, nil)
	}
	wg.Wait()
}

func (c *Client) streamChanged(address string, isOpen bool) {
	if isOpen {
		c.links.Inc()
	} else {
		c.links.Dec()
	}
	c.o.Log.WithFields(logrus.Fields{"replica": address, "open": isOpen}).Info("stream for calls to minions changed")
}

func (c *Client) setLink(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == nil {
		delete(c.byPeer, address)
		return
	}
	c.byPeer[address] = l
}

// linkFor returns the stream to the replica that calls an incarnation, nil if this
// process does. When a replica stops being prompt, only its minions get another one. If
// none is prompt, the delay may be this process's own, which its own calls would add to.
func (c *Client) linkFor(inc batch.Incarnation) *link {
	now := c.o.Clock.Now()
	c.mu.RLock()
	defer c.mu.RUnlock()
	if now < c.directUntil[inc] {
		return nil
	}
	var best *link
	bestPrompt, highest := false, uint64(0)
	for _, l := range c.byPeer {
		isOpen, prompt := l.status(now)
		weight := l.weight(inc.ID)
		if isOpen && (best == nil || prompt && !bestPrompt || prompt == bestPrompt && weight > highest) {
			best, bestPrompt, highest = l, prompt, weight
		}
	}
	return best
}

// relay has a replica make a call to a minion. relayed is false when this process is
// to make it: there is no replica for it, or the call was certainly not made.
func (c *Client) relay(ctx context.Context, to dispatch.Target, call *apiv1.RelayedCall, timeout time.Duration) (a *apiv1.RelayedAnswer, relayed bool, err error) {
	l := c.linkFor(to.Incarnation)
	if l == nil {
		return nil, false, nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	call.TimeoutMs = uint32(max(timeout.Milliseconds(), 1))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err = l.call(ctx, call)
	if refusal, refused := errors.AsType[*dispatch.Refusal](err); refused && refusal.Reason == dispatch.NotSent {
		return nil, false, err
	}
	c.calls.WithLabelValues("replica").Inc()
	return a, true, err
}

// Start implements dispatch.MinionClient.
func (c *Client) Start(ctx context.Context, to dispatch.Target, o dispatch.StartOrder) (int64, error) {
	a, relayed, err := c.relay(ctx, to, startCall(to, o), defaultCallTimeout)
	if relayed {
		return a.GetClockMs(), err
	}
	if ctx.Err() != nil {
		return 0, errNotSent
	}
	c.calls.WithLabelValues("leader").Inc()
	return c.o.Direct.Start(ctx, to, o)
}

// Stop implements dispatch.MinionClient. A minion that didn't answer is called by this
// process next.
func (c *Client) Stop(ctx context.Context, to dispatch.Target, run batch.RunKey, token uint64) (int64, error) {
	a, relayed, err := c.relay(ctx, to, stopCall(to, run, token), defaultCallTimeout)
	if relayed {
		if isNoAnswer(err) {
			c.callDirectly(to)
		}
		return a.GetClockMs(), err
	}
	if ctx.Err() != nil {
		return 0, errNotSent
	}
	c.calls.WithLabelValues("leader").Inc()
	return c.o.Direct.Stop(ctx, to, run, token)
}

// Hold implements dispatch.MinionClient. A hold call changes nothing when it is made
// twice, so a minion that doesn't answer a replica is called by this process before it
// counts as silent.
func (c *Client) Hold(ctx context.Context, to dispatch.Target, o dispatch.HoldRequest) (*dispatch.HoldReply, error) {
	a, relayed, err := c.relay(ctx, to, holdCall(to, o), o.MaxWait+replicaGrace)
	switch {
	case relayed && !isNoAnswer(err):
		if err != nil {
			return nil, err
		}
		return holdReply(a), nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	case relayed:
		c.callDirectly(to)
		o.MaxWait = 0
	}
	c.calls.WithLabelValues("leader").Inc()
	return c.o.Direct.Hold(ctx, to, o)
}

// isNoAnswer reports whether a relayed call got no answer of the minion.
func isNoAnswer(err error) bool { return errors.Is(err, errNoAnswer) || errors.Is(err, errLost) }

// callDirectly has this process call an incarnation for some time.
func (c *Client) callDirectly(to dispatch.Target) {
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directUntil[to.Incarnation] = now + directTime
}

// SetSpeed implements dispatch.MinionClient.
func (c *Client) SetSpeed(ctx context.Context, to dispatch.Target, run batch.RunKey, percent int, token uint64) error {
	return c.o.Direct.SetSpeed(ctx, to, run, percent, token)
}

// Disconnect implements dispatch.MinionClient.
func (c *Client) Disconnect(to dispatch.Target) {
	c.o.Direct.Disconnect(to)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.directUntil, to.Incarnation)
	for _, l := range c.byPeer {
		l.disconnect(to)
	}
}
