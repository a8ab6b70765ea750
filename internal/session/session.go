package session

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// DefaultRenewInterval is the time between the starts of two renewals.
	DefaultRenewInterval = 500 * time.Millisecond
	// closeTimeout bounds the commands that close the session at the end of Run.
	closeTimeout = 2 * time.Second
	// retryDelay is the wait after a failed open or renewal.
	retryDelay = 50 * time.Millisecond
	// operationTimeout bounds one open, or one renewal with the fetch of the view,
	// with the attempts at all replicas.
	operationTimeout = 3 * time.Second
)

// ControlGroup is the part of ControlClient that a session needs. The control
// group are the replicas that keep the replicated state; the view is the part of
// this state that entry processes receive. An error of RenewSession with the
// result code SESSION_EXPIRED ends the session.
type ControlGroup interface {
	Execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
	RenewSession(ctx context.Context, req *apiv1.RenewSession) (*apiv1.SessionRenewal, error)
	GetView(ctx context.Context, req *apiv1.GetView) (*apiv1.View, error)
}

// Options configures a session. Registry may be nil.
type Options struct {
	Control          ControlGroup
	ProcessID        string
	AvailabilityZone string
	RPCAddress       string        // ip:port at which other processes reach this one
	RenewInterval    time.Duration // DefaultRenewInterval when zero
	Clock            clock.Clock   // must go on while the machine is suspended
	Log              *logrus.Entry
	Registry         prometheus.Registerer
}

// Session is this entry process's session with the control group, a lease that
// expires unless it is renewed. An entry process takes callers' requests, sends
// them to minions and hosts shards, the schedulers of one service each. A process
// that lost its session opens another one with a new id. A Session is safe for
// concurrent use.
type Session struct {
	opts        Options
	incarnation uint64 // random number of this process start
	metrics     *metrics
	snapshot    atomic.Pointer[Snapshot] // the last fetched view

	mu         sync.Mutex
	id         uint64        // zero when no session is open
	validUntil time.Duration // as a reading of Options.Clock
	listeners  []func(*Snapshot)
	busyVMs    func() []string // see SetBusyVMsFunc; nil when busy VMs are not reported
	// Versions of the view and of the configuration in the last snapshot for which
	// all listeners have returned. Each renewal sends them to tell the leader that
	// this process acts on them. The view version is set to zero for each new
	// session, so that the first renewal fetches a view.
	viewVersion   uint64
	configVersion uint64
}

// New returns a session that is opened by Run.
func New(o Options) *Session {
	if o.RenewInterval == 0 {
		o.RenewInterval = DefaultRenewInterval
	}
	var b [8]byte
	rand.Read(b[:])
	s := &Session{opts: o, incarnation: binary.BigEndian.Uint64(b[:]), metrics: newMetrics(o.Registry)}
	s.snapshot.Store(&Snapshot{View: &apiv1.View{}, Index: objects.NewIndex(nil)})
	return s
}

// IsValid reports whether the session is open and not expired. The process must
// not admit a request or start work without a valid session.
func (s *Session) IsValid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != 0 && s.opts.Clock.Now() < s.validUntil
}

// Probe is a readiness probe. It returns nil while the session is valid.
func (s *Session) Probe() error {
	if !s.IsValid() {
		return errors.New("no valid session with the control group")
	}
	return nil
}

// ID returns the id of the open session, or zero if none is open.
func (s *Session) ID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Snapshot returns the current snapshot, the last one that was fetched. It is
// never nil; before the first fetch it is empty.
func (s *Session) Snapshot() *Snapshot { return s.snapshot.Load() }

// OnView adds a listener that gets each new view as a snapshot. Run's goroutine
// calls the listener, which delays renewals: a renewal acknowledges the versions
// of a snapshot to the leader only after all listeners have returned. OnView must
// be called before Run.
func (s *Session) OnView(fn func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, fn)
}

// Run keeps a session open until ctx ends and then closes it. The returned error
// is that of closing it.
func (s *Session) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.open(ctx); err != nil {
			s.opts.Log.WithError(err).Warn("cannot open a session with the control group")
			sleep(ctx, retryDelay)
			continue
		}
		s.renewUntilLost(ctx)
	}
	return s.close()
}

func (s *Session) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	cmd := &apiv1.Command{Body: &apiv1.Command_OpenSession{OpenSession: &apiv1.OpenSession{
		ProcessId:        s.opts.ProcessID,
		AvailabilityZone: s.opts.AvailabilityZone,
		RpcAddress:       s.opts.RPCAddress,
		Incarnation:      s.incarnation,
	}}}
	res, err := s.opts.Control.Execute(ctx, cmd)
	if err != nil {
		return err
	}
	id := res.GetSession().GetId()
	if id == 0 {
		return errors.New("control group returned a session without an id")
	}
	s.setOpen(id)
	s.opts.Log.WithField("session_id", id).Info("session opened")
	return nil
}

// setOpen records a new session, which is valid only after its first renewal.
func (s *Session) setOpen(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id
	s.validUntil = 0
	s.viewVersion = 0
	s.metrics.opened.Inc()
}

// renewUntilLost renews the session until it has expired or ctx ends.
func (s *Session) renewUntilLost(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		newView, err := s.renew(ctx)
		switch {
		case err == nil && newView:
			// Renew at once, to acknowledge the new versions to the leader.
		case err == nil:
			sleep(ctx, s.opts.RenewInterval-time.Since(sent))
		case result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_SESSION_EXPIRED:
			s.opts.Log.WithError(err).Warn("session expired")
			s.invalidate()
			return
		default:
			s.metrics.failures.Inc()
			s.opts.Log.WithError(err).Warn("session renewal failed")
			sleep(ctx, retryDelay)
		}
	}
}

// renew sends one renewal, fetches the leader's view if it is newer and only
// then extends the validity: a process that cannot fetch the newer view must not
// continue with the old one. The validity counts from the time when the renewal
// was sent; the leader counts from the later time when it received the renewal.
func (s *Session) renew(ctx context.Context) (newView bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	sent := s.opts.Clock.Now()
	req := s.newRenewal()
	resp, err := s.opts.Control.RenewSession(ctx, req)
	if err != nil {
		return false, err
	}
	if resp.ViewVersion < req.ViewVersion {
		return false, fmt.Errorf("view version %d of the leader is older than the current version %d", resp.ViewVersion, req.ViewVersion)
	}
	if resp.ViewVersion != req.ViewVersion || resp.ConfigVersion != req.ConfigVersion || req.ViewVersion == 0 {
		if err := s.fetchView(ctx, resp); err != nil {
			return false, err
		}
		newView = true
	}
	s.extendValidity(req.SessionId, sent+time.Duration(resp.TtlMs)*time.Millisecond)
	return newView, nil
}

// newRenewal returns a renewal that acknowledges to the leader the versions of
// the view and of the configuration on which this process acts.
func (s *Session) newRenewal() *apiv1.RenewSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := &apiv1.RenewSession{
		SessionId:     s.id,
		Incarnation:   s.incarnation,
		ViewVersion:   s.viewVersion,
		ConfigVersion: s.configVersion,
	}
	if s.busyVMs != nil {
		req.BusyVms = s.busyVMs()
	}
	return req
}

// extendValidity extends the session unless another one was opened meanwhile.
// Late answers don't shorten the validity.
func (s *Session) extendValidity(id uint64, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.validUntil = max(s.validUntil, until)
	}
}

func (s *Session) invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = 0
	s.validUntil = 0
}

// close expires the session, under which nothing may start any more. If the
// process reports its busy VMs and has none, close also releases the session,
// which says that nothing runs under it any more, so that the new hosts of its
// shards need not wait.
func (s *Session) close() error {
	id := s.ID()
	s.invalidate()
	if id == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	ids := []uint64{id}
	_, err := s.opts.Control.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_ExpireSessions{
		ExpireSessions: &apiv1.ExpireSessions{SessionIds: ids},
	}})
	if err != nil {
		return fmt.Errorf("close session %d: %w", id, err)
	}
	if s.busyVMs == nil || len(s.busyVMs()) > 0 {
		// Requests may still run, or the process doesn't report whether any do, so
		// the leader releases the session after their deadlines.
		return nil
	}
	// Nothing runs under this session any more, so the shards that it hosted
	// need not wait for the deadlines of requests.
	_, err = s.opts.Control.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_ReleaseSessions{
		ReleaseSessions: &apiv1.ReleaseSessions{SessionIds: ids},
	}})
	if err != nil {
		return fmt.Errorf("release session %d: %w", id, err)
	}
	s.opts.Log.WithField("session_id", id).Info("session closed")
	return nil
}
