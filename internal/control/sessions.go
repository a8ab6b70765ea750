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

// longPoll is how long a renewal with the newest view is held. It must stay
// well under the session TTL, which counts from the time the renewal was sent.
const longPoll = 400 * time.Millisecond

// sessionTracker knows when each session was last renewed and which versions
// its process has in force.
type sessionTracker struct {
	mu      sync.Mutex
	ttl     time.Duration
	live    map[uint64]*liveSession
	release map[uint64]time.Duration
	// changed is closed and replaced when an acknowledgement or expiry may end
	// a wait for "in force".
	changed chan struct{}
}

type liveSession struct {
	processID   string
	zone        string
	incarnation uint64
	renewed     time.Duration
	// ending is set before the expiry is proposed; no renewal succeeds after.
	ending        bool
	viewVersion   uint64
	configVersion uint64
	busyVMs       []string
}

func newSessionTracker(ttl time.Duration) *sessionTracker {
	return &sessionTracker{
		ttl:     ttl,
		live:    map[uint64]*liveSession{},
		release: map[uint64]time.Duration{},
		changed: make(chan struct{}),
	}
}

// sync follows the committed sessions: new ones get a full TTL, expired ones a
// release time.
func (t *sessionTracker) sync(now time.Duration, committed []*apiv1.Session, releaseAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[uint64]bool, len(committed))
	for _, s := range committed {
		seen[s.Id] = true
		if s.Expired {
			t.syncExpired(now, s.Id, releaseAfter)
			continue
		}
		if t.live[s.Id] == nil {
			t.live[s.Id] = &liveSession{processID: s.ProcessId, zone: s.AvailabilityZone, incarnation: s.Incarnation, renewed: now}
		}
	}
	for id := range t.live {
		if !seen[id] {
			delete(t.live, id)
			t.notify()
		}
	}
	for id := range t.release {
		if !seen[id] {
			delete(t.release, id)
		}
	}
}

func (t *sessionTracker) syncExpired(now time.Duration, id uint64, releaseAfter time.Duration) {
	if t.live[id] != nil {
		delete(t.live, id)
		t.notify()
	}
	if _, ok := t.release[id]; !ok {
		t.release[id] = now + releaseAfter
	}
}

func (t *sessionTracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// renew records a renewal that arrived at now. The arrival is not before the
// time the entry counts from, so the leader's TTL ends after the entry's.
func (t *sessionTracker) renew(now time.Duration, req *apiv1.RenewSession) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live[req.SessionId]
	if s == nil || s.ending || s.incarnation != req.Incarnation {
		return false
	}
	s.renewed = max(s.renewed, now)
	s.busyVMs = req.BusyVms
	if req.ConfigVersion > s.configVersion || req.ViewVersion > s.viewVersion {
		s.configVersion = max(s.configVersion, req.ConfigVersion)
		s.viewVersion = max(s.viewVersion, req.ViewVersion)
		t.notify()
	}
	return true
}

// expired marks and returns the sessions whose TTL has passed.
func (t *sessionTracker) expired(now time.Duration) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []uint64
	for id, s := range t.live {
		if now-s.renewed > t.ttl {
			s.ending = true
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forget stops renewals of sessions that their own process closes.
func (t *sessionTracker) forget(ids []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		if s := t.live[id]; s != nil {
			s.ending = true
		}
	}
}

func (t *sessionTracker) releasable(now time.Duration) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []uint64
	for id, at := range t.release {
		if now >= at {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// waitingFor returns the sessions that have not acknowledged the configuration
// version, and a channel that is closed on progress.
func (t *sessionTracker) waitingFor(configVersion uint64) ([]*apiv1.WaitingSession, <-chan struct{}) {
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

// drained reports whether no process sends to the VM any more: each live one
// acknowledged a view in which the VM is leaving and has nothing in flight.
func (t *sessionTracker) drained(vm string, leavingSince uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.live {
		if s.viewVersion < leavingSince || slices.Contains(s.busyVMs, vm) {
			return false
		}
	}
	// A request of an expired session may still run until the release.
	return len(t.release) == 0
}

// renewSession answers after a quorum has confirmed the leadership, which
// makes the renewal valid from the time it was sent.
func (s *Server) renewSession(ctx context.Context, req *apiv1.RenewSession) (*apiv1.SessionRenewal, error) {
	l, err := s.leader()
	if err != nil {
		return nil, err
	}
	l.syncSession(req.SessionId)
	if !l.sessions.renew(s.o.Clock.Now(), req) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_SESSION_EXPIRED, "session %d has expired; open a new one", req.SessionId)
	}
	if err := s.node.Barrier(ctx); err != nil {
		return nil, err
	}
	view, config := l.awaitView(ctx, req.ViewVersion)
	s.m.renewals.Inc()
	return &apiv1.SessionRenewal{
		TtlMs:         uint32(s.o.SessionTTL.Milliseconds()),
		ViewVersion:   view,
		ConfigVersion: config,
	}, nil
}

// syncSession makes a session known that was committed since the last round
// of expire.
func (l *leadership) syncSession(id uint64) {
	l.sessions.mu.Lock()
	known := l.sessions.live[id] != nil
	l.sessions.mu.Unlock()
	if known {
		return
	}
	l.syncSessions()
}

// awaitView holds a renewal until the view changes or the long poll ends.
func (l *leadership) awaitView(ctx context.Context, have uint64) (view, config uint64) {
	timer := time.NewTimer(longPoll)
	defer timer.Stop()
	for {
		view, config, changed := l.s.o.StateMachine.ViewVersion()
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
// force. It returns the sessions still missing when ctx ends.
func (l *leadership) waitInForce(ctx context.Context, version uint64) []*apiv1.WaitingSession {
	l.syncSessions() // sessions opened since the last round count too
	for {
		waiting, changed := l.sessions.waitingFor(version)
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

// lookup returns when the session was last renewed and the configuration
// version its process has in force.
func (t *sessionTracker) lookup(id uint64) (renewed time.Duration, configVersion uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.live[id]
	if s == nil {
		return 0, 0, false
	}
	return s.renewed, s.configVersion, true
}

func (t *sessionTracker) ages(now time.Duration) map[uint64]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ages(now, t.live, func(s *liveSession) time.Duration { return s.renewed })
}
