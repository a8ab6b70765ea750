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
	// Bounds the command that closes the session at the end of Run.
	closeTimeout = 2 * time.Second
	// Pause after a failed open or renewal.
	retryPause = 50 * time.Millisecond
	// Bounds one open, renewal or view fetch over all replicas.
	stepTimeout = 3 * time.Second
)

// Group is the part of Control that a session needs.
type Group interface {
	Execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
	RenewSession(ctx context.Context, req *apiv1.RenewSession) (*apiv1.SessionRenewal, error)
	GetView(ctx context.Context, req *apiv1.GetView) (*apiv1.View, error)
}

// Options configures a session. Registry may be nil.
type Options struct {
	Control          Group
	ProcessID        string
	AvailabilityZone string
	RPCAddress       string
	RenewInterval    time.Duration // DefaultRenewInterval when zero
	Clock            clock.Clock
	Log              *logrus.Entry
	Registry         prometheus.Registerer
}

// Session is this process's session with the control group.
type Session struct {
	o           Options
	incarnation uint64
	metrics     *metrics
	snapshot    atomic.Pointer[Snapshot]

	mu         sync.Mutex
	id         uint64        // zero when no session is open
	validUntil time.Duration // on the clock
	listeners  []func(*Snapshot)
	busyVMs    func() []string // nil when nothing is reported
	// Versions of the snapshot; viewVersion restarts with each session.
	viewVersion   uint64
	configVersion uint64
}

// New returns a session that Run opens.
func New(o Options) *Session {
	if o.RenewInterval == 0 {
		o.RenewInterval = DefaultRenewInterval
	}
	var b [8]byte
	rand.Read(b[:])
	s := &Session{o: o, incarnation: binary.BigEndian.Uint64(b[:]), metrics: newMetrics(o.Registry)}
	s.snapshot.Store(&Snapshot{View: &apiv1.View{}, Index: objects.NewIndex(nil)})
	return s
}

// Valid reports whether the session holds now. Nothing may be admitted or
// started while it does not.
func (s *Session) Valid() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id != 0 && s.o.Clock.Now() < s.validUntil
}

// Probe is a readiness probe; it returns nil while the session is valid.
func (s *Session) Probe() error {
	if !s.Valid() {
		return errors.New("no valid session with the control group")
	}
	return nil
}

// ID returns the id of the open session, zero when there is none.
func (s *Session) ID() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Snapshot returns the view in force. It is never nil.
func (s *Session) Snapshot() *Snapshot { return s.snapshot.Load() }

// OnView adds a listener that runs for each new snapshot before its versions
// are acknowledged. It must be called before Run.
func (s *Session) OnView(fn func(*Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, fn)
}

// Run keeps a session open until ctx ends, then closes it.
func (s *Session) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := s.open(ctx); err != nil {
			s.o.Log.WithError(err).Warn("session could not be opened")
			pause(ctx, retryPause)
			continue
		}
		s.hold(ctx)
	}
	return s.close()
}

func (s *Session) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	cmd := &apiv1.Command{Body: &apiv1.Command_OpenSession{OpenSession: &apiv1.OpenSession{
		ProcessId:        s.o.ProcessID,
		AvailabilityZone: s.o.AvailabilityZone,
		RpcAddress:       s.o.RPCAddress,
		Incarnation:      s.incarnation,
	}}}
	res, err := s.o.Control.Execute(ctx, cmd)
	if err != nil {
		return err
	}
	id := res.GetSession().GetId()
	if id == 0 {
		return errors.New("the control group opened a session without an id")
	}
	s.begin(id)
	s.o.Log.WithField("session_id", id).Info("session opened")
	return nil
}

func (s *Session) begin(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = id
	s.validUntil = 0
	s.viewVersion = 0
	s.metrics.opened.Inc()
}

// hold renews until the session is lost or ctx ends.
func (s *Session) hold(ctx context.Context) {
	for ctx.Err() == nil {
		sent := time.Now()
		newView, err := s.renew(ctx)
		switch {
		case err == nil && newView:
			// The next renewal acknowledges the new versions at once.
		case err == nil:
			pause(ctx, s.o.RenewInterval-time.Since(sent))
		case result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_SESSION_EXPIRED:
			s.o.Log.WithError(err).Warn("session expired")
			s.lose()
			return
		default:
			s.metrics.failures.Inc()
			s.o.Log.WithError(err).Warn("session renewal failed")
			pause(ctx, retryPause)
		}
	}
}

// renew sends one renewal, puts the leader's view in force and only then
// extends the validity: a process that cannot fetch a newer view must not go
// on with the old one.
func (s *Session) renew(ctx context.Context) (newView bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	sent := s.o.Clock.Now()
	req := s.renewal()
	resp, err := s.o.Control.RenewSession(ctx, req)
	if err != nil {
		return false, err
	}
	if resp.ViewVersion < req.ViewVersion {
		return false, fmt.Errorf("the leader's view version %d is older than %d in force", resp.ViewVersion, req.ViewVersion)
	}
	if resp.ViewVersion != req.ViewVersion || resp.ConfigVersion != req.ConfigVersion || req.ViewVersion == 0 {
		if err := s.fetch(ctx, resp); err != nil {
			return false, err
		}
		newView = true
	}
	s.extend(req.SessionId, sent+time.Duration(resp.TtlMs)*time.Millisecond)
	return newView, nil
}

func (s *Session) renewal() *apiv1.RenewSession {
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

func (s *Session) extend(id uint64, until time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id == id {
		s.validUntil = max(s.validUntil, until)
	}
}

func (s *Session) lose() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = 0
	s.validUntil = 0
}

func (s *Session) close() error {
	id := s.ID()
	s.lose()
	if id == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	ids := []uint64{id}
	_, err := s.o.Control.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_ExpireSessions{
		ExpireSessions: &apiv1.ExpireSessions{SessionIds: ids},
	}})
	if err != nil {
		return fmt.Errorf("close session %d: %w", id, err)
	}
	if s.busyVMs == nil || len(s.busyVMs()) > 0 {
		return nil // requests may still run; the leader waits out their deadlines
	}
	// Nothing runs under this session any more, so the shards that it hosted
	// need not wait for deadlines.
	_, err = s.o.Control.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_ReleaseSessions{
		ReleaseSessions: &apiv1.ReleaseSessions{SessionIds: ids},
	}})
	if err != nil {
		return fmt.Errorf("release session %d: %w", id, err)
	}
	s.o.Log.WithField("session_id", id).Info("session closed")
	return nil
}
