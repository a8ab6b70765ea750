package batchservice

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// Guards against a read that accepts a confirmation which began before the read
// arrived, and against a separate confirmation for each of many concurrent reads.
func TestReadsShareALaterConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var confirmations atomic.Int32
		b := newReadBarrier(func(context.Context) error {
			confirmations.Add(1)
			time.Sleep(10 * time.Millisecond)
			return nil
		})
		start := time.Now()
		first := make(chan time.Duration, 1)
		go func() {
			g.Expect(b.wait(t.Context())).To(Succeed())
			first <- time.Since(start)
		}()
		time.Sleep(5 * time.Millisecond)
		later := make(chan time.Duration, 20)
		for range 20 {
			go func() {
				g.Expect(b.wait(t.Context())).To(Succeed())
				later <- time.Since(start)
			}()
		}
		g.Expect(<-first).To(Equal(10 * time.Millisecond))
		for range 20 {
			g.Expect(<-later).To(Equal(20 * time.Millisecond))
		}
		g.Expect(confirmations.Load()).To(BeNumerically("==", 2))
	})
}

// Guards against a read that succeeds on a leader that has lost its quorum.
func TestReadFailsWithItsConfirmation(t *testing.T) {
	g := NewWithT(t)
	errDeposed := errors.New("not leader")
	b := newReadBarrier(func(context.Context) error { return errDeposed })
	g.Expect(b.wait(t.Context())).To(MatchError(errDeposed))
}

// Guards against a caller that is told that the outcome of its call is unknown
// when nothing was proposed yet: the call waited for its confirmation in vain.
func TestReadWithoutConfirmationHasNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newReadBarrier(func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		err := b.wait(ctx)
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_QUORUM))
		g.Expect(result.From(err).NotRun).To(BeTrue())
		time.Sleep(2 * confirmTimeout)
	})
}

// Guards against a job id that makes task names ambiguous: a task's name joins
// the job id and numbers with dots.
func TestJobIDs(t *testing.T) {
	g := NewWithT(t)
	g.Expect(isValidJobID("5c0e7a21d94b36f8")).To(BeTrue())
	for _, id := range []string{"", "5c0e7a21d94b36f", "5c0e7a21d94b36f8.0", "5c0e7a21d94b36fx"} {
		g.Expect(isValidJobID(id)).To(BeFalse(), id)
	}
}

// Guards against a tracker that returns to the leader of an earlier term, or
// forgets the known members when its seeds are replaced.
func TestLeaderTrackerKeepsTheLatestTerm(t *testing.T) {
	g := NewWithT(t)
	tracker := NewLeaderTracker(nil, []string{"seed:1"}, discardLogger())
	g.Expect(tracker.CheckReady()).NotTo(Succeed())
	tracker.Observe(&apiv1.ReplicaInfo{LeaderAddress: "b:1", Term: 5, GroupAddresses: []string{"a:1", "b:1"}}, "a:1")
	tracker.Observe(&apiv1.ReplicaInfo{LeaderAddress: "a:1", Term: 4, GroupAddresses: []string{"a:1"}}, "c:1")
	g.Expect(tracker.leader).To(Equal("b:1"))
	g.Expect(tracker.CheckReady()).To(Succeed())
	tracker.SetSeeds([]string{"other:1"})
	g.Expect(tracker.addresses()).To(Equal([]string{"a:1", "b:1", "other:1"}))
}

// cutOffClient fails each call like a network that loses all packets.
type cutOffClient struct{}

func (cutOffClient) Call(ctx context.Context, address, _ string, _, _ proto.Message) error {
	<-ctx.Done()
	return &rpc.TransportError{Address: address, Err: ctx.Err()}
}

// Guards against callers that wait for a search for the leader in a process that is
// cut off from all replicas, while another process could serve them.
func TestCutOffProcessRefusesCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		tracker := NewLeaderTracker(cutOffClient{}, []string{"seed:1", "seed:2"}, discardLogger())
		tracker.recordOutcome(nil)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { tracker.Run(ctx) })
		time.Sleep(2 * isolationTimeout)
		start := time.Now()
		c := NewClient(tracker)
		_, err := c.Get(t.Context(), &apiv1.QueueCall{})
		for _, err := range []error{err, c.Submit(t.Context(), &apiv1.QueueCall{}, &apiv1.BatchJob{})} {
			g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_QUORUM))
			g.Expect(result.From(err).NotRun).To(BeTrue())
		}
		g.Expect(time.Since(start)).To(BeZero())
		tracker.recordOutcome(nil)
		g.Expect(tracker.CheckConnected()).To(Succeed())
		cancel()
		running.Wait()
	})
}

// Guards against using the port of a seed address, which is a control port, as
// the rpc port.
func TestSeedsUseTheRPCPort(t *testing.T) {
	g := NewWithT(t)
	g.Expect(RPCAddresses([]string{"10.0.0.1:8345", "10.0.0.2:8345"}, 7000)).To(Equal([]string{"10.0.0.1:7000", "10.0.0.2:7000"}))
	_, err := RPCAddresses([]string{"10.0.0.1"}, 7000)
	g.Expect(err).To(HaveOccurred())
}
