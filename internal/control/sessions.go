package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// longPollTimeout bounds how long the reply to a renewal waits for a newer view.
// It must be well below the session TTL, which counts from the time at which the
// renewal was sent.
const longPollTimeout = 400 * time.Millisecond

// sessionTracker is the leader's record of when each session was last renewed,
// and which view and configuration its process acts on. A session lets an entry
// process pass callers' requests on while it is renewed in time. The view is the
// part of the replicated state that entry processes get, see state.State.View.
// Times are readings of the leader's boot clock.
type sessionTracker struct {
	mu        sync.Mutex
	ttl       time.Duration
	live      map[uint64]*liveSession
	releaseAt map[uint64]time.Duration // by expired session
	// changed is closed and replaced when a session acknowledges a version of the
	// view or the configuration, or ends, so that a wait for a configuration to
	// be in force (acknowledged by every live session) may be over.
	changed chan struct{}
}

// liveSession is a session that is not committed as expired.
type liveSession struct {
	processID   string
	zone        string
	incarnation uint64
	lastRenewed time.Duration
	// expiring is set before the expiry is proposed. No renewal succeeds after
	// that.
	expiring      bool
	viewVersion   uint64
	configVersion uint64
	busyVMs       []string // VMs to which the process has requests in flight
}

// newSessionTracker returns a tracker for which a session expires ttl after its
// last renewal. ttl includes the margin for clock drift.
func newSessionTracker(ttl time.Duration) *sessionTracker {
	return &sessionTracker{
		ttl:       ttl,
		live:      map[uint64]*liveSession{},
		releaseAt: map[uint64]time.Duration{},
		changed:   make(chan struct{}),
	}
}

// sync updates the tracker from the committed sessions. A new session gets a
// full TTL. An expired one is due for release (its removal from the state) after
// releaseAfter, when none of its requests can still run.
func (t *sessionTracker) sync(now time.Duration, committed []*apiv1.Session, releaseAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[uint64]bool, len(committed))
	for _, s := range committed {
		seen[s.Id] = true
		if s.Expired {
			t.markExpired(now, s.Id, releaseAfter)
			continue
		}
		if t.live[s.Id] == nil {
			t.live[s.Id] = &liveSession{processID: s.ProcessId, zone: s.AvailabilityZone, incarnation: s.Incarnation, lastRenewed: now}
		}
	}
	for id := range t.live {
		if !seen[id] {
			delete(t.live, id)
			t.notify()
		}
	}
	for id := range t.releaseAt {
		if !seen[id] {
			delete(t.releaseAt, id)
		}
	}
}

func (t *sessionTracker) markExpired(now time.Duration, id uint64, releaseAfter time.Duration) {
	if t.live[id] != nil {
		delete(t.live, id)
		t.notify()
	}
	if _, ok := t.releaseAt[id]; !ok {
		t.releaseAt[id] = now + releaseAfter
	}
}

// notify wakes the callers that wait on changed. t.mu is held.
func (t *sessionTracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// renew records a renewal that arrived at now. It returns false if the session is
// unknown, has expired or is about to, or belongs to another incarnation
// (lifetime) of the process. The entry process counts its TTL from the time at
// which it sent the renewal, which is not after its arrival, so the leader's TTL
// ends later.
func (t *sessionTracker) renew(now time.Duration, req *apiv1.RenewSession) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live[req.SessionId]
	if s == nil || s.expiring || s.incarnation != req.Incarnation {
		return false
	}
	s.lastRenewed = max(s.lastRenewed, now)
	s.busyVMs = req.BusyVms
	if req.ConfigVersion > s.configVersion || req.ViewVersion > s.viewVersion {
		s.configVersion = max(s.configVersion, req.ConfigVersion)
		s.viewVersion = max(s.viewVersion, req.ViewVersion)
		t.notify()
	}
	return true
}

// startExpiry marks the sessions whose TTL has passed as expiring and returns
// their ids, sorted.
func (t *sessionTracker) startExpiry(now time.Duration) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []uint64
	for id, s := range t.live {
		if now-s.lastRenewed > t.ttl {
			s.expiring = true
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// markExpiring prevents further renewals of sessions that their own process
// closes.
func (t *sessionTracker) markExpiring(ids []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if s := t.live[id]; s != nil {
			s.expiring = true
		}
	}
}

// dueForRelease returns the ids of the expired sessions whose requests can no
// longer run, sorted.
func (t *sessionTracker) dueForRelease(now time.Duration) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []uint64
	for id, at := range t.releaseAt {
		if now >= at {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// notInForce returns the live sessions that have not acknowledged the
// configuration version, and a channel that is closed when this may have changed.
func (t *sessionTracker) notInForce(configVersion uint64) ([]*apiv1.WaitingSession, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var waiting []*apiv1.WaitingSession
	for id, s := range t.live {
		if s.configVersion < configVersion {
			waiting = append(waiting, &apiv1.WaitingSession{
				SessionId: id, ProcessId: s.processID, AvailabilityZone: s.zone, ConfigVersion: s.configVersion,
			})
		}
	}
	slices.SortFunc(waiting, func(a, b *apiv1.WaitingSession) int { return cmp.Compare(a.SessionId, b.SessionId) })
	return waiting, t.changed
}

// drained reports whether no process sends requests to the VM any more: each one
// with a live session has acknowledged the view version leavingSince, one in which
// the VM is leaving (gets no new work), or a later one, and has no request to the
// VM in flight.
func (t *sessionTracker) drained(vm string, leavingSince uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.live {
		if s.viewVersion < leavingSince || slices.Contains(s.busyVMs, vm) {
			return false
		}
	}
	// Requests of an expired session may run until the session is released.
	return len(t.releaseAt) == 0
}

// renewSession renews a session and replies with the versions of the view and
// the configuration. It replies only after a quorum has confirmed the leadership:
// otherwise another leader might already have expired the session. The renewal
// is then valid from the time at which it was sent.
func (s *Server) renewSession(ctx context.Context, req *apiv1.RenewSession) (*apiv1.SessionRenewal, error) {
	l, err := s.leader()
	if err != nil {
		return nil, err
	}
	l.ensureSessionKnown(req.SessionId)
	if !l.sessions.renew(s.opts.Clock.Now(), req) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_SESSION_EXPIRED, "session %d has expired; open a new one", req.SessionId)
	}
	if err := s.node.Barrier(ctx); err != nil {
		return nil, err
	}
	view, config := l.awaitView(ctx, req.ViewVersion)
	s.metrics.renewals.Inc()
	return &apiv1.SessionRenewal{
		TtlMs:         uint32(s.opts.SessionTTL.Milliseconds()),
		ViewVersion:   view,
		ConfigVersion: config,
	}, nil
}

// ensureSessionKnown updates the tracker if it does not know the session, which
// may have been committed since the last expiry check (leadership.expire).
func (l *leadership) ensureSessionKnown(id uint64) {
	l.sessions.mu.Lock()
	known := l.sessions.live[id] != nil
	l.sessions.mu.Unlock()
	if known {
		return
	}
	l.syncSessions()
}

// awaitView waits until the view version differs from have, or until
// longPollTimeout. It returns the current versions.
func (l *leadership) awaitView(ctx context.Context, have uint64) (view, config uint64) {
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	for {
		view, config, changed := l.server.opts.StateMachine.ViewVersion()
		if view != have {
			return view, config
		}
		select {
		case <-changed:
		case <-timer.C:
			return view, config
		case <-ctx.Done():
			return view, config
		case <-l.ctx.Done():
			return view, config
		}
	}
}

// waitInForce waits until every live session has the configuration version in
// force, and then returns nil. When ctx or the leadership ends, it returns the
// sessions that do not have it in force yet.
func (l *leadership) waitInForce(ctx context.Context, version uint64) []*apiv1.WaitingSession {
	l.syncSessions() // includes sessions opened since the last expiry check
	for {
		waiting, changed := l.sessions.notInForce(version)
		if len(waiting) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return waiting
		case <-l.ctx.Done():
			return waiting
		}
	}
}

// lookup returns when a live session was last renewed and which configuration
// version its process has in force.
func (t *sessionTracker) lookup(id uint64) (renewed time.Duration, configVersion uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live[id]
	if s == nil {
		return 0, 0, false
	}
	return s.lastRenewed, s.configVersion, true
}

// ages returns the time since the last renewal by session id.
func (t *sessionTracker) ages(now time.Duration) map[uint64]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ages(now, t.live, func(s *liveSession) time.Duration { return s.lastRenewed })
}
