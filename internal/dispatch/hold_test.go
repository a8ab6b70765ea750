package dispatch

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// countedHolds counts the hold calls to minions.
type countedHolds struct {
	benchMinions
	holds atomic.Int64
}

func (c *countedHolds) Hold(ctx context.Context, to Target, o HoldRequest) (*HoldReply, error) {
	c.holds.Add(1)
	return c.benchMinions.Hold(ctx, to, o)
}

// Load: a large fleet of which little works. Guards against hold calls to idle minions
// that take the processor from starts, and against minions that count as silent
// because they are asked less often.
func TestIdleMinionsOfLargeFleetAreAskedLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const minions, seconds = 1000, 10
		quiet := logrus.New()
		quiet.SetOutput(io.Discard)
		node := &fakeNode{machine: state.New()}
		client := &countedHolds{benchMinions: benchMinions{}}
		observed := &apiv1.ObserveMinions{}
		for i := range minions {
			id := fmt.Sprintf("m%05d", i)
			client.benchMinions[id] = &benchMinion{running: map[batch.RunKey]bool{}, changed: make(chan struct{}, 1)}
			observed.Minions = append(observed.Minions, &apiv1.BatchMinion{
				Life: &apiv1.MinionLife{Id: id, BornUnixMs: 1}, Address: id, Pool: "p", Capacity: &apiv1.Resources{CpuMillis: 64_000},
			})
		}
		_, err := node.Propose(t.Context(), &apiv1.Command{Body: &apiv1.Command_Batch{Batch: &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: observed}}}})
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(t.Context())
		d := New(ctx, 1, Options{
			Minions: client, StateMachine: node.machine, Node: node, Clock: bubbleClock{time.Now()}, Log: logrus.NewEntry(quiet),
			Lease: 4 * time.Second, MaxLease: 6 * time.Second, Retention: time.Hour,
		}, NewMetrics(nil))
		done := make(chan struct{})
		go func() { d.Run(); close(done) }()
		time.Sleep(4 * time.Second)
		client.holds.Store(0)
		for range seconds * 10 {
			time.Sleep(100 * time.Millisecond)
			now := d.clock.Now()
			for _, s := range d.sessionList() {
				g.Expect(s.usable(now)).To(BeTrue())
			}
		}
		g.Expect(client.holds.Load()).To(BeNumerically("<=", minions*seconds*6/10))
		cancel()
		<-done
	})
}
