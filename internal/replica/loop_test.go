package replica

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Guards against a leader that steps down under load: its loop always has calls and
// messages to take, and must still notice the time that passes.
func TestLeaderWithManyCallsStaysLeader(t *testing.T) {
	g := NewWithT(t)
	c := newClusterWith(t, 3, func(o *Options) { o.ElectionTimeout, o.HeartbeatInterval = 500*time.Millisecond, 100*time.Millisecond })
	leader := c.leader()
	term := leader.node.Status().Term
	for _, m := range c.members {
		m.saveTime.Store(int64(60 * time.Millisecond))
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			for ctx.Err() == nil {
				_, _ = leader.node.Propose(ctx, publish("a")) // fails once the test ends
			}
		})
	}
	time.Sleep(8 * time.Second)
	status := leader.node.Status()
	cancel()
	wg.Wait()
	g.Expect(status.Role).To(Equal(consensus.Leader))
	g.Expect(status.Term).To(Equal(term))
}

// Guards against a leader with a slow disk that goes on to lead, so that every commit
// takes as long as its syncs, while the disks of the other replicas are fast.
func TestLeaderWithSlowDiskIsReplaced(t *testing.T) {
	g := NewWithT(t)
	c := newClusterWith(t, 3, func(o *Options) { o.ElectionTimeout, o.HeartbeatInterval = 500*time.Millisecond, 100*time.Millisecond })
	slow := c.leader()
	slow.saveTime.Store(int64(250 * time.Millisecond))
	g.Eventually(func() bool {
		c.propose("a")
		return c.leader() != slow
	}, eventuallyTimeout).Should(BeTrue())
	g.Consistently(func() bool {
		c.propose("a")
		return c.leader() != slow
	}, 2*time.Second).Should(BeTrue())
}

// Guards against a caller that is told of an unknown outcome, and may not repeat its
// call, although the command was never proposed: the loop was busy until the caller's
// time was over.
func TestCommandThatWasNotProposedIsNotRun(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	entered, blocked := make(chan struct{}), make(chan struct{})
	go func() {
		_ = leader.node.runInLoop(context.Background(), func() { close(entered); <-blocked })
	}()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := leader.node.Propose(ctx, publish("late"))
	close(blocked)
	g.Expect(err).To(HaveOccurred())
	g.Expect(result.From(err).NotRun).To(BeTrue(), "%v", err)
	c.proposeMany("after", 3)
	g.Expect(leader.stateMachine.applied()).NotTo(ContainElement("late"))
}
