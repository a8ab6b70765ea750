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

// fakeReplicas maps an address to the function that answers calls to it.
type fakeReplicas map[string]func(method string, resp proto.Message) error

func (r fakeReplicas) Call(_ context.Context, address, method string, _, resp proto.Message) error {
	return r[address](method, resp)
}

// notLeader refuses calls and redirects them to leader.
func notLeader(leader string) func(string, proto.Message) error {
	return func(string, proto.Message) error {
		e := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "not the leader")
		e.LeaderAddress = leader
		return e
	}
}

// loseAnswer counts calls, which fail as if the answer had been lost.
func loseAnswer(calls *int) func(string, proto.Message) error {
	return func(string, proto.Message) error {
		*calls++
		return &rpc.TransportError{Address: "a", MaybeSent: true, Err: io.ErrUnexpectedEOF}
	}
}

// Guards against a client that keeps sending calls to a replica that is no
// longer the leader.
func TestControlFollowsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		answered := 0
		unreachable := func(string, proto.Message) error { return &rpc.TransportError{Address: "a", Err: io.EOF} }
		r := fakeReplicas{"a": unreachable, "b": notLeader("c"), "c": func(string, proto.Message) error { answered++; return nil }}
		c := NewControlClient(r, []string{"a", "b"})
		_, err := c.GetJob(t.Context(), &apiv1.GetJob{})
		g.Expect(err).NotTo(HaveOccurred())
		r["c"], r["b"] = notLeader("b"), r["c"]
		_, err = c.GetJob(t.Context(), &apiv1.GetJob{})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(answered).To(Equal(2))
	})
}

// Guards against a command that is committed twice, or reported as failed,
// because the answer to it was lost: only an idempotent command may be sent again,
// and the error says that the outcome is unknown.
func TestLostAnswerIsUnknownAndSentAgainOnlyWhenIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		calls := 0
		c := NewControlClient(fakeReplicas{"a": loseAnswer(&calls)}, []string{"a"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_ReportDemand{}})
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN))
		g.Expect(result.From(err).NotRun).To(BeFalse())
		g.Expect(calls).To(Equal(1))
		_, err = c.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_StartRequest{}})
		_, isUnknown := errors.AsType[*UnknownOutcomeError](err)
		g.Expect(isUnknown).To(BeTrue())
		g.Expect(calls).To(BeNumerically(">", 2))
	})
}

// Guards against a caller that is told that nothing ran although it may have: the
// answer to a call was lost, and its repetition is refused because the state has
// changed meanwhile, for example since the caller's key was withdrawn.
func TestRefusalAfterLostAnswerIsUnknown(t *testing.T) {
	for code, want := range map[apiv1.ResultCode]apiv1.ResultCode{
		apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED:  apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
		apiv1.ResultCode_RESULT_CODE_UNKNOWN_QUEUE:    apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
		apiv1.ResultCode_RESULT_CODE_QUEUE_FULL:       apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
		apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN:    apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
		apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT: apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT,
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			calls := 0
			refuse := func(string, proto.Message) error { return result.NotRun(code, "no") }
			r := fakeReplicas{"a": loseAnswer(&calls), "b": refuse}
			c := NewControlClient(r, []string{"a", "b"})
			err := c.Invoke(t.Context(), "Batch.Submit", &apiv1.Empty{}, &apiv1.Empty{})
			g.Expect(result.CodeOf(err)).To(Equal(want), code.String())
			g.Expect(result.From(err).NotRun).To(Equal(want == code), code.String())
			c = NewControlClient(r, []string{"b"})
			err = c.Invoke(t.Context(), "Batch.Submit", &apiv1.Empty{}, &apiv1.Empty{})
			g.Expect(result.CodeOf(err)).To(Equal(code), "no answer was lost")
			c = NewControlClient(r, []string{"a", "b"})
			err = c.Query(t.Context(), "Batch.Get", &apiv1.Empty{}, &apiv1.Empty{})
			g.Expect(result.CodeOf(err)).To(Equal(code), "a query changes nothing")
		})
	}
}

// fakeControlGroup implements ControlGroup with answers that the test sets.
type fakeControlGroup struct {
	mu            sync.Mutex
	opened        uint64
	closed        []uint64
	renewals      []*apiv1.RenewSession
	view          *apiv1.View
	viewError     error
	expired       bool
	duringRenewal func() // runs during each renewal if set
}

func (f *fakeControlGroup) Execute(_ context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
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

func (f *fakeControlGroup) RenewSession(_ context.Context, r *apiv1.RenewSession) (*apiv1.SessionRenewal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.duringRenewal != nil {
		f.duringRenewal()
	}
	f.renewals = append(f.renewals, r)
	if f.expired {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_SESSION_EXPIRED, "expired")
	}
	return &apiv1.SessionRenewal{TtlMs: 2000, ViewVersion: f.view.Version, ConfigVersion: f.view.ConfigVersion}, nil
}

func (f *fakeControlGroup) GetView(context.Context, *apiv1.GetView) (*apiv1.View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return proto.CloneOf(f.view), f.viewError
}

// set runs fn, which changes fields, under the lock.
func (f *fakeControlGroup) set(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
}

func (f *fakeControlGroup) lastRenewal() *apiv1.RenewSession {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewals[len(f.renewals)-1]
}

func newView(version, config uint64) *apiv1.View {
	return &apiv1.View{Version: version, ConfigVersion: config, Config: &apiv1.Config{Version: config}}
}

// synctestClock reads the fake time of the test's synctest bubble.
type synctestClock struct{ start time.Time }

func (c synctestClock) Now() time.Duration { return time.Since(c.start) }

// startSession runs a session after configure and returns it with a function
// that ends Run and returns its error.
func startSession(t *testing.T, f *fakeControlGroup, c clock.Clock, configure func(*Session)) (*Session, func() error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := New(Options{Control: f, Clock: c, Log: logrus.NewEntry(log), ProcessID: "entry-1"})
	if configure != nil {
		configure(s)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	synctest.Wait()
	return s, func() error { cancel(); return <-ended }
}

// Guards against a session (the lease of a process with the control group) that
// is valid for longer than the group's leader assumes: the validity counts from
// the time when the renewal was sent, not answered, and on a clock that goes on
// while the machine is suspended.
func TestValidityCountsFromTheTimeSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := &clock.Fake{}
		f := &fakeControlGroup{view: newView(1, 1)}
		f.duringRenewal = func() { // the first renewal is slow; no later one succeeds
			c.Advance(1500 * time.Millisecond)
			f.duringRenewal = func() { f.viewError = errors.New("unreachable"); f.view = newView(2, 1) }
		}
		s, stop := startSession(t, f, c, nil)
		g.Expect(s.IsValid()).To(BeTrue())
		c.Advance(499 * time.Millisecond)
		g.Expect(s.IsValid()).To(BeTrue())
		c.Advance(time.Millisecond)
		g.Expect(s.IsValid()).To(BeFalse())
		g.Expect(stop()).To(Succeed())
		g.Expect(f.closed).To(Equal([]uint64{1}))
	})
}

// Guards against a session that stays valid with an old view (the part of the
// replicated state that the process receives) when the newer one could not be
// fetched, and against a renewal that acknowledges a view's versions to the leader
// before all listeners have returned.
func TestNewViewIsInForceBeforeItIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeControlGroup{view: newView(1, 1)}
		release := make(chan struct{})
		s, stop := startSession(t, f, synctestClock{time.Now()}, func(s *Session) {
			s.OnView(func(n *Snapshot) {
				if n.View.Version == 2 {
					<-release
				}
			})
		})
		f.set(func() { f.view = newView(2, 2) })
		time.Sleep(time.Second)
		g.Expect(f.lastRenewal().ViewVersion).To(BeEquivalentTo(1))
		time.Sleep(2 * time.Second)
		g.Expect(s.IsValid()).To(BeFalse())
		close(release)
		synctest.Wait()
		g.Expect(f.lastRenewal().ConfigVersion).To(BeEquivalentTo(2))
		g.Expect(s.IsValid()).To(BeTrue())

		f.set(func() { f.viewError = errors.New("unreachable"); f.view = newView(3, 3) })
		time.Sleep(3 * time.Second)
		g.Expect(s.IsValid()).To(BeFalse())
		g.Expect(stop()).To(Succeed())
	})
}

// Guards against an older configuration that replaces a newer one, also in a new
// session, and against an older view within one session.
func TestOlderVersionsAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := &fakeControlGroup{view: newView(5, 5)}
		s, stop := startSession(t, f, synctestClock{time.Now()}, nil)
		f.set(func() { f.view = newView(4, 5) })
		time.Sleep(3 * time.Second)
		g.Expect(s.IsValid()).To(BeFalse())
		f.set(func() { f.view = newView(9, 4); f.expired = true })
		time.Sleep(3 * time.Second)
		g.Expect(s.Snapshot().View.ConfigVersion).To(BeEquivalentTo(5))
		g.Expect(s.IsValid()).To(BeFalse())
		f.set(func() { f.view = newView(1, 6) }) // accepted: a new session has acknowledged no view yet
		time.Sleep(time.Second)
		g.Expect(s.IsValid()).To(BeTrue())
		g.Expect(s.ID()).To(BeEquivalentTo(2))
		g.Expect(stop()).To(Succeed())
	})
}
