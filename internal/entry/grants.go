package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

const (
	// Delay before the shard host, the process that runs the service's scheduler,
	// is called again after a failed call.
	acquireRetryDelay = 50 * time.Millisecond
	// Longest wait for a shard that has no reachable host. A handover to a new
	// host takes the TTL of the old host's session (lease with the control group)
	// and a margin (2.25 s) and, if the leader of the control group is lost as
	// well, one election.
	maxShardWait = 5 * time.Second
	// Interval at which a call to a shard host checks whether the shard has
	// moved to another one.
	hostCheckInterval = 250 * time.Millisecond
	// Retry-After of requests that are refused while the shard has no host.
	shardRetryAfter = 500 * time.Millisecond
	releaseTimeout  = 2 * time.Second
	releaseAttempts = 3
)

// grantKey identifies a grant, the permission by a shard's host to send one
// request to a minion, a process that serves the service. Grant ids are unique
// within one epoch of a shard only.
type grantKey struct {
	service string
	epoch   uint64
	id      uint64
}

// heldGrant is a grant that this entry process received and has not released. The
// times are readings of Options.Clock.
type heldGrant struct {
	*apiv1.Grant
	sessionID uint64        // session it was granted to
	host      string        // RPC address of the shard host that granted it
	startBy   time.Duration // the request must begin to be sent before it
	deadline  time.Duration // of the request
	received  time.Duration
}

func (h *heldGrant) key() grantKey { return grantKey{h.Service, h.Epoch, h.GrantId} }

// grantRegistry holds every grant of this entry process, so that a new host of a
// shard can count the slots in use. The registry's lock orders the reports to new
// hosts and the checks of grants: a grant is either in the report for a new
// epoch, or refused after it.
type grantRegistry struct {
	clock    clock.Clock
	mu       sync.Mutex
	minEpoch map[string]uint64 // fencing epoch by service; grants of lower epochs are refused
	held     map[grantKey]*heldGrant
}

func newGrantRegistry(c clock.Clock) *grantRegistry {
	return &grantRegistry{clock: c, minEpoch: map[string]uint64{}, held: map[grantKey]*heldGrant{}}
}

// add registers a new grant. It returns STALE_GRANT when the grant's epoch is
// stale or the grant is held already.
func (r *grantRegistry) add(h *heldGrant) *result.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkEpochLocked(h); err != nil {
		return err
	}
	if _, ok := r.held[h.key()]; ok {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_STALE_GRANT, "grant %d of epoch %d was received twice", h.GrantId, h.Epoch)
	}
	r.held[h.key()] = h
	return nil
}

// checkEpoch returns STALE_GRANT when a newer shard host has fenced the grant's
// epoch.
func (r *grantRegistry) checkEpoch(h *heldGrant) *result.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.checkEpochLocked(h)
}

func (r *grantRegistry) checkEpochLocked(h *heldGrant) *result.Error {
	if h.Epoch < r.minEpoch[h.Service] {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_STALE_GRANT, "the grant's epoch %d is older than %d", h.Epoch, r.minEpoch[h.Service])
	}
	return nil
}

func (r *grantRegistry) remove(h *heldGrant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.held, h.key())
}

// fenceAndReport refuses grants of the service with lower epochs from now on, and
// returns the grants held, sorted by epoch and id.
func (r *grantRegistry) fenceAndReport(service string, epoch uint64) []*apiv1.HeldGrant {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.minEpoch[service] = max(r.minEpoch[service], epoch)
	now := r.clock.Now()
	var list []*apiv1.HeldGrant
	for k, h := range r.held {
		if k.service != service {
			continue
		}
		list = append(list, &apiv1.HeldGrant{
			GrantId:     h.GrantId,
			Epoch:       h.Epoch,
			MinionId:    h.MinionId,
			Team:        h.Team,
			RemainingMs: uint32(max(h.deadline-now, 0).Milliseconds()),
		})
	}
	slices.SortFunc(list, func(a, b *apiv1.HeldGrant) int {
		if a.Epoch != b.Epoch {
			return int(a.Epoch) - int(b.Epoch)
		}
		return int(a.GrantId) - int(b.GrantId)
	})
	return list
}

// reportGrants handles Entry.ReportGrants, which a new shard host calls to learn
// of the grants of earlier epochs.
func (s *Server) reportGrants(_ context.Context, req *apiv1.ReportGrants) (*apiv1.GrantReport, error) {
	return &apiv1.GrantReport{
		SessionId: s.opts.Session.ID(),
		Grants:    s.grants.fenceAndReport(req.Service, req.Epoch),
	}, nil
}

// acquire obtains a grant from the shard host, which may queue the request. While
// the shard has no reachable host, it retries until the deadline or for
// maxShardWait. Every error is marked as not run, so that the caller may send the
// request again. avoid lists the minions where an earlier attempt failed.
func (s *Server) acquire(q *request, avoid []string) (*heldGrant, *result.Error) {
	start := s.opts.Clock.Now()
	wait := time.NewTimer(maxShardWait)
	defer wait.Stop()
	for {
		called := time.Now()
		h, err := s.acquireOnce(q, avoid)
		if time.Since(called) > maxShardWait {
			wait.Reset(maxShardWait) // the host was reached and queued the request
		}
		if err == nil {
			s.metrics.grantWait.Observe((s.opts.Clock.Now() - start).Seconds())
			return h, nil
		}
		if !isHandoverCode(err.Code) {
			err.NotRun = true
			return nil, err
		}
		select {
		case <-q.ctx.Done():
			return nil, deadlineTooShort()
		case <-wait.C:
			return nil, err
		case <-time.After(acquireRetryDelay):
		}
	}
}

// isHandoverCode reports whether the code is that of an error which ceases once
// this process's view, its copy of the replicated state that entry processes
// receive, shows the shard's new host.
func isHandoverCode(code apiv1.ResultCode) bool {
	switch code {
	case apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE, apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, apiv1.ResultCode_RESULT_CODE_STALE_GRANT:
		return true
	}
	return false
}

// acquireOnce calls the shard host that the current view shows, and registers the
// grant.
func (s *Server) acquireOnce(q *request, avoid []string) (*heldGrant, *result.Error) {
	if !s.opts.Session.IsValid() {
		return nil, noSession()
	}
	shard := s.opts.Session.Snapshot().Shard(q.service)
	host := s.shardHost(q.service)
	if shard == nil || host == nil {
		return nil, shardUnavailable(q.service, errors.New("no live session hosts it"))
	}
	left := q.deadline - s.opts.Clock.Now()
	if left <= 0 {
		return nil, deadlineTooShort()
	}
	h := &heldGrant{Grant: &apiv1.Grant{}, sessionID: s.opts.Session.ID(), host: host.RpcAddress, deadline: q.deadline}
	ctx, stop := s.contextUntilMoved(q.ctx, shard)
	defer stop()
	err := s.opts.RPCClient.Call(ctx, host.RpcAddress, "Shard.Acquire", &apiv1.AcquireRequest{
		Service:       q.service,
		Epoch:         shard.Epoch,
		SessionId:     h.sessionID,
		Team:          q.identity.team,
		ClientAccount: q.identity.account,
		Queue:         q.queue,
		Priority:      q.priority,
		TimeoutMs:     uint32(max(left.Milliseconds(), 1)),
		AvoidMinions:  avoid,
	}, h.Grant)
	if err != nil {
		return nil, s.acquireError(q, err)
	}
	h.received = s.opts.Clock.Now()
	h.startBy = h.received + time.Duration(h.StartWithinMs)*time.Millisecond
	if err := s.grants.add(h); err != nil {
		return nil, err
	}
	return h, nil
}

// contextUntilMoved returns a context that ends when the view shows a newer epoch
// of the shard, so that a call to a lost host does not last until its connection
// times out. The caller must call the returned function.
func (s *Server) contextUntilMoved(ctx context.Context, shard *apiv1.Shard) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex // the timer's function must not run before timer is assigned
	mu.Lock()
	defer mu.Unlock()
	var timer *time.Timer
	timer = time.AfterFunc(hostCheckInterval, func() {
		mu.Lock()
		defer mu.Unlock()
		if s.opts.Session.Snapshot().Shard(shard.Service).GetEpoch() != shard.Epoch {
			cancel()
			return
		}
		if ctx.Err() == nil {
			timer.Reset(hostCheckInterval)
		}
	})
	return ctx, func() { cancel(); timer.Stop() }
}

// acquireError converts an error of a call to Shard.Acquire.
func (s *Server) acquireError(q *request, err error) *result.Error {
	if q.ctx.Err() != nil {
		return deadlineTooShort()
	}
	if _, ok := errors.AsType[*rpc.TransportError](err); ok {
		return shardUnavailable(q.service, err)
	}
	return result.From(err)
}

// release ends the grant, and reports the outcome to the shard host in the
// background. If every attempt fails, the host counts the slot as used until the
// request's deadline.
func (s *Server) release(h *heldGrant, outcome apiv1.GrantOutcome) {
	s.grants.remove(h)
	req := &apiv1.ReleaseRequest{
		Service:   h.Service,
		Epoch:     h.Epoch,
		GrantId:   h.GrantId,
		SessionId: h.sessionID,
		Outcome:   outcome,
		UsedMs:    uint32((s.opts.Clock.Now() - h.received).Milliseconds()),
	}
	s.metrics.outcomes.WithLabelValues(h.Service, outcomeLabel(outcome)).Inc()
	s.inFlight.runBackground(func() { s.sendRelease(h.host, req) })
}

// sendRelease calls the current shard host: after a handover the new host counts
// the grant, because this entry process reported it. If there is no host, it calls
// grantedBy, the address of the host that made the grant.
func (s *Server) sendRelease(grantedBy string, req *apiv1.ReleaseRequest) {
	for range releaseAttempts {
		host := grantedBy
		if current := s.shardHost(req.Service); current != nil {
			host = current.RpcAddress
		}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err := s.opts.RPCClient.Call(ctx, host, "Shard.Release", req, &apiv1.Empty{})
		cancel()
		if _, ok := errors.AsType[*rpc.TransportError](err); !ok {
			return // released, or the host does not know the grant
		}
	}
	s.opts.Log.WithField("service", req.Service).Warn("failed to release a grant; the shard host counts its slot as used until the request's deadline")
}

// shardHost returns the live session that hosts the service's shard, or nil.
func (s *Server) shardHost(service string) *apiv1.Session {
	snap := s.opts.Session.Snapshot()
	host := snap.Session(snap.Shard(service).GetSessionId())
	if host.GetExpired() {
		return nil
	}
	return host
}

// shardUnavailable returns the error for a shard without a reachable host.
func shardUnavailable(service string, err error) *result.Error {
	e := result.NotRun(apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE, "the scheduler shard of service %q is not reachable: %v", service, err)
	e.RetryAfter = shardRetryAfter
	return e
}

func deadlineTooShort() *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_DEADLINE_TOO_SHORT, "no slot became free within the request's timeout")
}
