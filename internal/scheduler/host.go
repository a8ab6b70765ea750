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
	// tickInterval bounds the delay of expiries. Grants do not wait for a tick:
	// they are made when a request, a release of a grant or a minion's announcement
	// arrives. A grant is the permission to send one request to one minion.
	tickInterval = 10 * time.Millisecond
	// retryShard is the retry-after time when the shard, the scheduler of one
	// service, is unavailable here. In this time an entry process learns the shard's
	// next host, or this process receives a newer view.
	retryShard = 200 * time.Millisecond
)

// Session is this entry process's session, its lease with the control group;
// *session.Session implements it.
type Session interface {
	IsValid() bool
	ID() uint64
	Snapshot() *session.Snapshot
}

// RPCClient makes rpc calls; *rpc.Client implements it.
type RPCClient interface {
	Call(ctx context.Context, address, method string, req, resp proto.Message) error
}

// Executor commits commands; *session.ControlClient implements it.
type Executor interface {
	Execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
}

// HostOptions are the dependencies of a Host. All but RPCServer and Registry are
// required.
type HostOptions struct {
	// RPCServer is where NewHost registers the Shard.* methods, so it must not
	// serve yet. It is nil in tests.
	RPCServer *rpc.Server
	RPCClient RPCClient
	Control   Executor
	Session   Session
	Clock     clock.Clock
	Log       *logrus.Entry
	// Registry gets the metrics. It is nil in tests.
	Registry prometheus.Registerer
}

// Host runs a core for each shard that the view (the part of the replicated
// state that entry processes get) assigns to this process. It also keeps the
// mirrors (the copies of the grants) of the shards for which this process is the
// standby, the process that is to take the shard over.
type Host struct {
	opts    HostOptions
	metrics *metrics
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mirrors *mirrorStore

	mu       sync.Mutex
	shards   map[string]*hostedShard
	draining bool
}

// NewHost returns a host without shards and registers the Shard.* methods on
// o.RPCServer. The caller must register OnView with the session before the
// session runs.
func NewHost(o HostOptions) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{opts: o, ctx: ctx, cancel: cancel, shards: map[string]*hostedShard{}, mirrors: newMirrorStore()}
	h.metrics = newMetrics(h, o.Registry)
	if o.RPCServer != nil {
		rpc.Register(o.RPCServer, "Shard.Acquire", h.Acquire)
		rpc.Register(o.RPCServer, "Shard.Release", h.Release)
		rpc.Register(o.RPCServer, "Shard.Announce", h.Announce)
		rpc.Register(o.RPCServer, "Shard.Mirror", h.Mirror)
	}
	return h
}

// Run ticks the shards until ctx ends. Then it stops granting, refuses all
// queued requests as not run, and returns nil. Releases are still served after
// that.
func (h *Host) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.drain()
			return nil
		case <-ticker.C:
			for _, sh := range h.listShards() {
				sh.tick()
			}
		}
	}
}

// OnView applies a view of the control group: it starts and stops shards
// according to their assignments and sets the configuration of all of them. The
// session calls it for each view, before it acknowledges the view. When OnView
// returns, no grant is made that the view does not allow.
func (h *Host) OnView(snap *session.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.opts.Session.ID()
	for service, sh := range h.shards {
		assigned := snap.Shard(service)
		if assigned == nil || assigned.SessionId != id || assigned.Epoch != sh.assigned.Epoch {
			delete(h.shards, service)
			sh.stop(handedOverError(service))
		}
	}
	h.mirrors.invalidateRemoved(snap)
	for _, assigned := range snap.View.GetShards() {
		copies, hasMirror := h.mirrors.takeForShard(assigned, id)
		if assigned.SessionId == id && id != 0 && h.shards[assigned.Service] == nil && !h.draining {
			h.shards[assigned.Service] = h.startShard(assigned, copies, hasMirror)
		}
	}
	for _, sh := range h.shards {
		sh.setView(snap)
	}
}

// Dump returns the state of all shards hosted here, as a []*ShardDump for the
// state dump.
func (h *Host) Dump() any {
	var out []*ShardDump
	for _, sh := range h.listShards() {
		out = append(out, sh.dump())
	}
	return out
}

// startShard starts the recovery of a shard assigned to this process. The copies
// are the previous host's grants if hasMirror.
func (h *Host) startShard(assigned *apiv1.Shard, copies []*mirrorCopy, hasMirror bool) *hostedShard {
	ctx, cancel := context.WithCancel(h.ctx)
	sh := &hostedShard{
		host:          h,
		assigned:      assigned,
		cancel:        cancel,
		core:          NewCore(h.opts.Clock.Now(), assigned.Service, assigned.Epoch),
		waiters:       map[uint64]chan Outcome{},
		viewChanged:   make(chan struct{}, 1),
		grantsChanged: make(chan struct{}, 1),
		mirrorCopies:  copies,
		hasMirror:     hasMirror,
		standby:       standby{excludedUntil: map[uint64]time.Duration{}},
		log:           h.opts.Log.WithFields(logrus.Fields{"service": assigned.Service, "epoch": assigned.Epoch}),
	}
	h.wg.Go(func() { sh.recover(ctx) })
	return sh
}

// drain stops all shards, accepts no new ones, and waits for the goroutines of
// the host.
func (h *Host) drain() {
	h.mu.Lock()
	h.draining = true
	h.mu.Unlock()
	for _, sh := range h.listShards() {
		sh.stop(handedOverError(sh.assigned.Service))
	}
	h.cancel()
	h.wg.Wait()
}

// listShards returns the hosted shards ordered by service.
func (h *Host) listShards() []*hostedShard {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*hostedShard, 0, len(h.shards))
	for _, service := range slices.Sorted(maps.Keys(h.shards)) {
		out = append(out, h.shards[service])
	}
	return out
}

// findShard returns the hosted shard of a service, or a SHARD_UNAVAILABLE error.
func (h *Host) findShard(service string) (*hostedShard, *result.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sh, ok := h.shards[service]
	if !ok {
		return nil, unavailableError("the shard of %s is not hosted here", service)
	}
	return sh, nil
}

func handedOverError(service string) *result.Error {
	return unavailableError("the shard of %s is handed over to another process", service)
}

func unavailableError(format string, args ...any) *result.Error {
	err := result.NotRun(apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE, format, args...)
	err.RetryAfter = retryShard
	return err
}
