package session

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

// replicas answers calls by address.
type replicas map[string]func(method string, resp proto.Message) error

func (r replicas) Call(_ context.Context, address, method string, _, resp proto.Message) error {
	return r[address](method, resp)
}

func notLeader(leader string) func(string, proto.Message) error {
	return func(string, proto.Message) error {
		e := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "not the leader")
		e.LeaderAddress = leader
		return e
	}
}

func lost(calls *int) func(string, proto.Message) error {
	return func(string, proto.Message) error {
		*calls++
		return &rpc.TransportError{Address: "a", Sent: true, Err: io.ErrUnexpectedEOF}
	}
}

// Guards against a client that stays with a replica that no longer leads.
func TestControlFollowsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		served := 0
		unreachable := func(string, proto.Message) error { return &rpc.TransportError{Address: "a", Err: io.EOF} }
		r := replicas{"a": unreachable, "b": notLeader("c"), "c": func(string, proto.Message) error { served++; return nil }}
		c := NewControl(r, []string{"a", "b"})
		_, err := c.GetJob(t.Context(), &apiv1.GetJob{})
		g.Expect(err).NotTo(HaveOccurred())
		r["c"], r["b"] = notLeader("b"), r["c"]
		_, err = c.GetJob(t.Context(), &apiv1.GetJob{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(served).To(Equal(2))
	})
}

// Guards against a command that is committed twice, or reported as failed,
// after its answer was lost.
func TestLostAnswerIsUnknownAndSentAgainOnlyWhenIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		calls := 0
		c := NewControl(replicas{"a": lost(&calls)}, []string{"a"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_ReportDemand{}})
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN))
		g.Expect(result.From(err).NotRun).To(BeFalse())
		g.Expect(calls).To(Equal(1))
		_, err = c.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_StartRequest{}})
		_, isLost := errors.AsType[*LostAnswer](err)
		g.Expect(isLost).To(BeTrue())
		g.Expect(calls).To(BeNumerically(">", 2))
	})
}

// group is a leader whose answers the test sets.
type group struct {
	mu        sync.Mutex
	opened    uint64
	closed    []uint64
	acks      []*apiv1.RenewSession
	view      *apiv1.View
	viewError error
	expired   bool
	duration  func() // runs during each renewal
}

func (f *group) Execute(_ context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := cmd.GetExpireSessions(); e != nil {
		f.closed = append(f.closed, e.SessionIds...)
		return &apiv1.CommandResult{}, nil
	}
	f.opened++
	f.expired = false
	return &apiv1.CommandResult{Body: &apiv1.CommandResult_Session{Session: &apiv1.Session{Id: f.opened}}}, nil
}

func (f *group) RenewSession(_ context.Context, r *apiv1.RenewSession) (*apiv1.SessionRenewal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.duration != nil {
		f.duration()
	}
	f.acks = append(f.acks, r)
	if f.expired {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_SESSION_EXPIRED, "expired")
	}
	return &apiv1.SessionRenewal{TtlMs: 2000, ViewVersion: f.view.Version, ConfigVersion: f.view.ConfigVersion}, nil
}

func (f *group) GetView(context.Context, *apiv1.GetView) (*apiv1.View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return proto.CloneOf(f.view), f.viewError
}

func (f *group) set(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func (f *group) lastAck() *apiv1.RenewSession {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acks[len(f.acks)-1]
}

func viewOf(version, config uint64) *apiv1.View {
	return &apiv1.View{Version: version, ConfigVersion: config, Config: &apiv1.Config{Version: config}}
}

// synctestClock follows the bubble's time.
type synctestClock struct{ began time.Time }

func (c synctestClock) Now() time.Duration { return time.Since(c.began) }

func run(t *testing.T, f *group, c clock.Clock, before func(*Session)) (*Session, func() error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Options{Control: f, Clock: c, Log: logrus.NewEntry(log), ProcessID: "entry-1"})
	if before != nil {
		before(s)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	synctest.Wait()
	return s, func() error { cancel(); return <-ended }
}

// Guards against a session that outlives what the leader counts: validity
// starts when the renewal is sent, not when it is answered, and it is counted
// on a clock that runs through a suspend.
func TestValidityCountsFromTheTimeSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := &clock.Fake{}
		f := &group{view: viewOf(1, 1)}
		f.duration = func() { // the first renewal is slow; no later one succeeds
			c.Advance(1500 * time.Millisecond)
			f.duration = func() { f.viewError = errors.New("unreachable"); f.view = viewOf(2, 1) }
		}
		s, stop := run(t, f, c, nil)
		g.Expect(s.Valid()).To(BeTrue())
		c.Advance(499 * time.Millisecond)
		g.Expect(s.Valid()).To(BeTrue())
		c.Advance(time.Millisecond)
		g.Expect(s.Valid()).To(BeFalse())
		g.Expect(stop()).To(Succeed())
		g.Expect(f.closed).To(Equal([]uint64{1}))
	})
}

// Guards against an entry that stays valid on a view it could not replace, and
// against versions that are acknowledged before the listeners have run.
func TestNewViewIsInForceBeforeItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &group{view: viewOf(1, 1)}
		release := make(chan struct{})
		s, stop := run(t, f, synctestClock{time.Now()}, func(s *Session) {
			s.OnView(func(n *Snapshot) {
				if n.View.Version == 2 {
					<-release
				}
			})
		})
		f.set(func() { f.view = viewOf(2, 2) })
		time.Sleep(time.Second)
		g.Expect(f.lastAck().ViewVersion).To(BeEquivalentTo(1))
		time.Sleep(2 * time.Second)
		g.Expect(s.Valid()).To(BeFalse())
		close(release)
		synctest.Wait()
		g.Expect(f.lastAck().ConfigVersion).To(BeEquivalentTo(2))
		g.Expect(s.Valid()).To(BeTrue())

		f.set(func() { f.viewError = errors.New("unreachable"); f.view = viewOf(3, 3) })
		time.Sleep(3 * time.Second)
		g.Expect(s.Valid()).To(BeFalse())
		g.Expect(stop()).To(Succeed())
	})
}

// Guards against a configuration that reverts, also across sessions.
func TestOlderVersionsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &group{view: viewOf(5, 5)}
		s, stop := run(t, f, synctestClock{time.Now()}, nil)
		f.set(func() { f.view = viewOf(4, 5) })
		time.Sleep(3 * time.Second)
		g.Expect(s.Valid()).To(BeFalse())
		f.set(func() { f.view = viewOf(9, 4); f.expired = true })
		time.Sleep(3 * time.Second)
		g.Expect(s.Snapshot().View.ConfigVersion).To(BeEquivalentTo(5))
		g.Expect(s.Valid()).To(BeFalse())
		f.set(func() { f.view = viewOf(1, 6) }) // views restart with a session
		time.Sleep(time.Second)
		g.Expect(s.Valid()).To(BeTrue())
		g.Expect(s.ID()).To(BeEquivalentTo(2))
		g.Expect(stop()).To(Succeed())
	})
}
