package batchservice

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// Guards against a read that is served from a confirmation which began before
// the read arrived, and against one confirmation for each read.
func TestReadsShareALaterConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var confirmations atomic.Int32
		b := newReadBarrier(func(context.Context) error {
			confirmations.Add(1)
			time.Sleep(10 * time.Millisecond)
			return nil
		})
		began := time.Now()
		first := make(chan time.Duration, 1)
		go func() {
			g.Expect(b.wait(t.Context())).To(Succeed())
			first <- time.Since(began)
		}()
		time.Sleep(5 * time.Millisecond)
		later := make(chan time.Duration, 20)
		for range 20 {
			go func() {
				g.Expect(b.wait(t.Context())).To(Succeed())
				later <- time.Since(began)
			}()
		}
		g.Expect(<-first).To(Equal(10 * time.Millisecond))
		for range 20 {
			g.Expect(<-later).To(Equal(20 * time.Millisecond))
		}
		g.Expect(confirmations.Load()).To(BeNumerically("==", 2))
	})
}

// Guards against a read that succeeds on a leader without a quorum.
func TestReadFailsWithItsConfirmation(t *testing.T) {
	g := NewWithT(t)
	deposed := errors.New("not leader")
	b := newReadBarrier(func(context.Context) error { return deposed })
	g.Expect(b.wait(t.Context())).To(MatchError(deposed))
}

// Guards against a job id that would name tasks which minions cannot tell
// apart.
func TestJobIDs(t *testing.T) {
	g := NewWithT(t)
	g.Expect(validJobID("5c0e7a21d94b36f8")).To(BeTrue())
	for _, id := range []string{"", "5c0e7a21d94b36f", "5c0e7a21d94b36f8.0", "5c0e7a21d94b36fx"} {
		g.Expect(validJobID(id)).To(BeFalse(), id)
	}
}

// Guards against a tracker that goes back to the leader of an earlier term, or
// loses the group when its seeds are replaced.
func TestFollowerKeepsTheLatestTerm(t *testing.T) {
	g := NewWithT(t)
	tracker := NewLeaderTracker(nil, []string{"seed:1"}, quietLog())
	g.Expect(tracker.CheckReady()).NotTo(Succeed())
	tracker.Observe(&apiv1.ReplicaInfo{LeaderAddress: "b:1", Term: 5, GroupAddresses: []string{"a:1", "b:1"}}, "a:1")
	tracker.Observe(&apiv1.ReplicaInfo{LeaderAddress: "a:1", Term: 4, GroupAddresses: []string{"a:1"}}, "c:1")
	g.Expect(tracker.leader).To(Equal("b:1"))
	g.Expect(tracker.CheckReady()).To(Succeed())
	tracker.SetSeeds([]string{"other:1"})
	g.Expect(tracker.addresses()).To(Equal([]string{"a:1", "b:1", "other:1"}))
}

// Guards against seeds whose control port is taken for the rpc port.
func TestSeedsUseTheRPCPort(t *testing.T) {
	g := NewWithT(t)
	g.Expect(RPCAddresses([]string{"10.0.0.1:8345", "10.0.0.2:8345"}, 7000)).To(Equal([]string{"10.0.0.1:7000", "10.0.0.2:7000"}))
	_, err := RPCAddresses([]string{"10.0.0.1"}, 7000)
	g.Expect(err).To(HaveOccurred())
}
