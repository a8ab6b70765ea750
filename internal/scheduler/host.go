package scheduler

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

const (
	// tickInterval bounds the delay of expiries; grants are made at once when
	// a request, release or announcement arrives.
	tickInterval = 10 * time.Millisecond
	// retryShard is the time in which a caller finds the shard's next host, or
	// the same one with a newer view.
	retryShard = 200 * time.Millisecond
)

// Session is this process's session with the control group.
type Session interface {
	IsValid() bool
	ID() uint64
	Snapshot() *session.Snapshot
}

// Caller makes rpc calls; *rpc.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, method string, req, resp proto.Message) error
}

// Executor commits commands; *session.ControlClient implements it.
type Executor interface {
	Execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
}

// HostOptions are the parts a Host works with. All but Registry are required.
type HostOptions struct {
	// Server gets the Shard.* methods; register before it serves.
	Server  *rpc.Server
	Client  Caller
	Control Executor
	Session Session
	Clock   clock.Clock
	Log     *logrus.Entry
	// Registry is nil in tests.
	Registry prometheus.Registerer
}

// Host runs a core for each shard that the view assigns to this process.
type Host struct {
	o       HostOptions
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mirrors *mirrors

	mu       sync.Mutex
	shards   map[string]*hosted
	draining bool
}

// NewHost registers the Shard.* methods on o.Server. OnView must be registered
// with the session before it runs.
func NewHost(o HostOptions) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{o: o, ctx: ctx, cancel: cancel, shards: map[string]*hosted{}, mirrors: newMirrors()}
	h.metrics = newMetrics(h, o.Registry)
	if o.Server != nil {
		rpc.Register(o.Server, "Shard.Acquire", h.Acquire)
		rpc.Register(o.Server, "Shard.Release", h.Release)
		rpc.Register(o.Server, "Shard.Announce", h.Announce)
		rpc.Register(o.Server, "Shard.Mirror", h.Mirror)
	}
	return h
}

// Run drives the shards until ctx ends. Then it stops granting, answers what
// is queued as not run, and returns; releases are still served.
func (h *Host) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.drain()
			return nil
		case <-ticker.C:
			for _, sh := range h.list() {
				sh.tick()
			}
		}
	}
}

// OnView starts and stops shards as the view assigns them, and gives all of
// them the configuration. When it returns, nothing starts that the view
// forbids.
func (h *Host) OnView(snap *session.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.o.Session.ID()
	for service, sh := range h.shards {
		assigned := snap.Shard(service)
		if assigned == nil || assigned.SessionId != id || assigned.Epoch != sh.assigned.Epoch {
			delete(h.shards, service)
			sh.stop(handedOver(service))
		}
	}
	h.mirrors.forget(snap)
	for _, assigned := range snap.View.GetShards() {
		copies, copied := h.mirrors.take(assigned, id)
		if assigned.SessionId == id && id != 0 && h.shards[assigned.Service] == nil && !h.draining {
			h.shards[assigned.Service] = h.start(assigned, copies, copied)
		}
	}
	for _, sh := range h.shards {
		sh.setView(snap)
	}
}

// Dump returns the state of all shards hosted here.
func (h *Host) Dump() any {
	var out []*ShardDump
	for _, sh := range h.list() {
		out = append(out, sh.dump())
	}
	return out
}

func (h *Host) start(assigned *apiv1.Shard, copies []*mirrorCopy, copied bool) *hosted {
	ctx, cancel := context.WithCancel(h.ctx)
	sh := &hosted{
		host:     h,
		assigned: assigned,
		cancel:   cancel,
		core:     NewCore(h.o.Clock.Now(), assigned.Service, assigned.Epoch),
		waiters:  map[uint64]chan Outcome{},
		views:    make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		copies:   copies,
		copied:   copied,
		standby:  standby{paused: map[uint64]time.Duration{}},
		log:      h.o.Log.WithFields(logrus.Fields{"service": assigned.Service, "epoch": assigned.Epoch}),
	}
	h.wg.Go(func() { sh.recover(ctx) })
	return sh
}

func (h *Host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for _, sh := range h.list() {
		sh.stop(handedOver(sh.assigned.Service))
	}
	h.cancel()
	h.wg.Wait()
}

// list returns the hosted shards ordered by service.
func (h *Host) list() []*hosted {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*hosted, 0, len(h.shards))
	for _, service := range slices.Sorted(maps.Keys(h.shards)) {
		out = append(out, h.shards[service])
	}
	return out
}

func (h *Host) find(service string) (*hosted, *result.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sh, ok := h.shards[service]
	if !ok {
		return nil, unavailable("the shard of %s is not hosted here", service)
	}
	return sh, nil
}

func handedOver(service string) *result.Error {
	return unavailable("the shard of %s is handed over to another process", service)
}

func unavailable(format string, args ...any) *result.Error {
	err := result.NotRun(apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE, format, args...)
	err.RetryAfter = retryShard
	return err
}
