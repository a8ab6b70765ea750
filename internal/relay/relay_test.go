package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
)

// bubbleClock measures the time since start, in a synctest bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() time.Duration { return time.Since(c.start) }

// recorder answers calls to minions, or none while silent, and counts them.
type recorder struct {
	mu                   sync.Mutex
	silent               bool
	err                  error
	starts, stops, holds int
	// holdTime is how long hold calls are held back.
	holdTime time.Duration
}

func (r *recorder) record(ctx context.Context, count *int) error {
	r.mu.Lock()
	*count++
	silent, err := r.silent, r.err
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (r *recorder) Start(ctx context.Context, _ dispatch.Target, _ dispatch.StartOrder) (int64, error) {
	return 7, r.record(ctx, &r.starts)
}

func (r *recorder) Stop(ctx context.Context, _ dispatch.Target, _ batch.RunKey, _ uint64) (int64, error) {
	return 7, r.record(ctx, &r.stops)
}

func (r *recorder) Hold(ctx context.Context, _ dispatch.Target, o dispatch.HoldRequest) (*dispatch.HoldReply, error) {
	err := r.record(ctx, &r.holds)
	sleep(ctx, min(r.holdTime, o.MaxWait))
	return testReply, err
}

func (r *recorder) SetSpeed(context.Context, dispatch.Target, batch.RunKey, int, uint64) error {
	return nil
}
func (r *recorder) Disconnect(dispatch.Target) {}

func (r *recorder) counts() [3]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return [3]int{r.starts, r.stops, r.holds}
}

func (r *recorder) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
}

var (
	testRun    = batch.RunKey{TaskRef: batch.TaskRef{Job: "j", Occurrence: 1, Step: 2, Index: 3}, Number: 4}
	testTarget = dispatch.Target{Incarnation: batch.Incarnation{ID: "m", StartedMS: 5}, Address: "10.0.0.1:80"}
	testReply  = &dispatch.HoldReply{
		StartedMS: 5, ClockMS: 7, AckableEnd: 3, Unreadable: errors.New("row 2"),
		Running: []dispatch.RunStatus{{Run: testRun, Checkpoint: "c", SpeedPercent: 41, Load: 12}},
		Ended:   []dispatch.ReportedEnd{{EndNumber: 3, Run: testRun, End: apiv1.RunEnd_RUN_END_LEASE_EXPIRED, Checkpoint: "d"}},
	}
	testHold  = dispatch.HoldRequest{Token: 9, LastAckedEnd: 2, LeaseUntilMS: 11, MaxWait: time.Second}
	testStart = dispatch.StartOrder{Run: testRun, Specification: "s", Checkpoint: "c", LeaseUntilMS: 11, Token: 9}
)

// group is a leader with replicas that make its calls.
type group struct {
	*Client
	network *fakes.StreamNetwork
	leader  *recorder
	// term is the latest term that the replicas know; the leader's is 3.
	term     atomic.Uint64
	replicas map[string]*recorder
}

// play runs fn in a bubble, with a leader and the replicas at the given addresses.
func play(t *testing.T, fn func(t *testing.T, g *WithT, p *group), addresses ...string) {
	synctest.Test(t, func(t *testing.T) {
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		c := bubbleClock{time.Now()}
		p := &group{network: fakes.NewStreamNetwork(), leader: &recorder{}, replicas: map[string]*recorder{}}
		for _, a := range addresses {
			p.replicas[a] = &recorder{}
		}
		p.network.Serve = func(ctx context.Context, address string, s *fakes.Stream) {
			NewServer(p.replicas[address], c, p.term.Load).Serve(ctx, s)
		}
		p.Client = NewClient(Options{
			Direct: p.leader, Peers: func() []string { return addresses }, Clock: c, Log: logrus.NewEntry(quiet),
			Open: func(ctx context.Context, address string) (Stream, error) { return p.network.Open(ctx, address) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx, 3); close(done) }()
		time.Sleep(time.Second)
		fn(t, NewWithT(t), p)
		cancel()
		<-done
		p.network.Close()
	})
}

func within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// Guards against an answer of a minion that reaches the leader as another one.
func TestAnswersPassUnchanged(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, p *group) {
		replica := p.replicas["a"]
		reply, err := p.Hold(t.Context(), testTarget, testHold)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(reply.Unreadable).To(MatchError("row 2"))
		want := *testReply
		want.Unreadable, reply.Unreadable = nil, nil
		g.Expect(reply).To(Equal(&want))
		clockMS, err := p.Start(t.Context(), testTarget, testStart)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(clockMS).To(BeNumerically("==", 7))
		for reason := dispatch.RefusedFenced; reason < dispatch.NotSent; reason++ {
			replica.err = &dispatch.Refusal{Reason: reason, ClockMS: 8, Detail: "no"}
			_, err := p.Start(t.Context(), testTarget, testStart)
			g.Expect(err).To(Equal(replica.err))
		}
		replica.err = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
		_, err = p.Stop(t.Context(), testTarget, testRun, 9)
		g.Expect(err).To(MatchError(syscall.ECONNREFUSED))
		replica.err = errors.New("reset")
		_, err = p.Start(t.Context(), testTarget, testStart)
		_, refused := errors.AsType[*dispatch.Refusal](err)
		g.Expect(err).To(HaveOccurred())
		g.Expect(refused).To(BeFalse(), "the order may have been carried out")
		g.Expect(p.leader.counts()).To(Equal([3]int{}))
	}, "a")
}

// Guards against an order that a replica gives long after the leader did: it was
// suspended meanwhile, and another leader may have ordered otherwise.
func TestSuspendedReplicaGivesNoOldOrder(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, p *group) {
		p.network.Suspend("a", 5*time.Second)
		ctx, cancel := within(400 * time.Millisecond)
		defer cancel()
		_, err := p.Start(ctx, testTarget, testStart)
		_, refused := errors.AsType[*dispatch.Refusal](err)
		g.Expect(err).To(HaveOccurred())
		g.Expect(refused).To(BeFalse(), "the leader can't know that it wasn't sent")
		time.Sleep(10 * time.Second)
		g.Expect(p.replicas["a"].counts()).To(Equal([3]int{}))
		g.Expect(p.leader.counts()).To(Equal([3]int{}), "the order would go out twice")
	}, "a")
}

// Guards against minions that count as silent because the replica that calls them is
// suspended or cut off: their tasks would be started again elsewhere.
func TestLostReplicaIsNotASilentMinion(t *testing.T) {
	for name, fault := range map[string]func(p *group){
		"suspended": func(p *group) { p.network.Suspend("a", time.Minute) },
		"cut off":   func(p *group) { p.network.Cut("a") },
		"no path to the minion": func(p *group) {
			p.replicas["a"].setSilent(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(t *testing.T, g *WithT, p *group) {
				p.replicas["a"].holdTime = time.Second
				held := make(chan error)
				hold := func(d time.Duration) {
					ctx, cancel := within(d)
					defer cancel()
					_, err := p.Hold(ctx, testTarget, testHold)
					held <- err
				}
				const longest = time.Second + 800*time.Millisecond // what the leader gives a hold call
				go hold(longest)
				time.Sleep(500 * time.Millisecond)
				fault(p)
				g.Expect(<-held).To(Succeed(), "the call in progress")
				go hold(longest)
				g.Expect(<-held).To(Succeed(), "the next call")
				_, _ = p.Stop(t.Context(), testTarget, testRun, 9)
				_, err := p.Stop(t.Context(), testTarget, testRun, 9)
				g.Expect(err).NotTo(HaveOccurred(), "stops find a way")
			}, "a")
		})
	}
}

// Guards against an order that a replica gives for a leader that it knows to be replaced.
func TestReplicaGivesNoOrderOfAnEarlierTerm(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, p *group) {
		p.term.Store(3)
		_, err := p.Start(t.Context(), testTarget, testStart)
		g.Expect(err).NotTo(HaveOccurred())
		p.term.Store(4)
		_, _ = p.Start(t.Context(), testTarget, testStart)
		g.Expect(p.replicas["a"].counts()).To(Equal([3]int{1, 0, 0}))
	}, "a")
}

// Guards against an order whose stream was lost and that counts as not given, so that
// its task starts a second time.
func TestOrderOnALostStreamMayHaveBeenGiven(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, p *group) {
		p.replicas["a"].setSilent(true)
		answer := make(chan error)
		go func() {
			_, err := p.Start(context.Background(), testTarget, testStart)
			answer <- err
		}()
		time.Sleep(100 * time.Millisecond)
		p.network.Cut("a")
		err := <-answer
		_, refused := errors.AsType[*dispatch.Refusal](err)
		g.Expect(err).To(HaveOccurred())
		g.Expect(refused).To(BeFalse())
		g.Expect(p.leader.counts()).To(Equal([3]int{}), "the order would go out twice")
		_, err = p.Start(t.Context(), testTarget, testStart)
		g.Expect(err).NotTo(HaveOccurred(), "without a replica the leader calls")
		g.Expect(p.leader.counts()).To(Equal([3]int{1, 0, 0}))
	}, "a")
}

// Guards against orders that wait for a slow replica while others are prompt, and
// against a leader that makes all calls itself when it is slow, not the replicas.
func TestPromptReplicasAreChosen(t *testing.T) {
	play(t, func(t *testing.T, g *WithT, p *group) {
		p.network.Suspend("a", 400*time.Millisecond)
		time.Sleep(maxLinkDelay + heartbeatInterval + 2*pause)
		targets := map[*link]int{}
		for i := range 200 {
			targets[p.linkFor(batch.Incarnation{ID: fmt.Sprint("m", i)})]++
		}
		g.Expect(targets).To(HaveLen(2))
		g.Expect(targets[p.byPeer["a"]]).To(BeZero())
		for _, address := range []string{"a", "b", "c"} {
			p.network.Suspend(address, 400*time.Millisecond)
		}
		time.Sleep(maxLinkDelay + heartbeatInterval + 2*pause)
		g.Expect(p.linkFor(testTarget.Incarnation)).NotTo(BeNil())
		time.Sleep(time.Second)
		clear(targets)
		for i := range 200 {
			targets[p.linkFor(batch.Incarnation{ID: fmt.Sprint("m", i)})]++
		}
		g.Expect(targets).To(HaveLen(3))
		for _, n := range targets {
			g.Expect(n).To(BeNumerically(">", 30), "minions are spread")
		}
	}, "a", "b", "c")
}
