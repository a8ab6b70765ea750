package scheduler

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// init sets a fixed seed for rapid; the flag on the command line overrides it.
func init() { flag.Set("rapid.seed", "7") }

// step is one randomly drawn action of a test. Which fields it uses depends on
// the kind.
type step struct {
	kind, process, service, team, n int
	wait, run                       time.Duration
}

const (
	stepLoad = iota
	stepPartition
	stepReconnect
	stepLimit
	stepJob
	stepKill
	stepRestart
	stepKillHost
	stepKillHostAndStandby
	stepPartitionHost
	stepLoseMirrorBatches
	stepDeliverMirrorBatches
)

func drawSteps(rt *rapid.T, count int) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			kind:    rapid.SampledFrom([]int{stepLoad, stepLoad, stepLoad, stepPartition, stepReconnect, stepLimit, stepJob, stepKillHost, stepKillHostAndStandby, stepKill, stepRestart, stepRestart, stepPartitionHost, stepLoseMirrorBatches, stepDeliverMirrorBatches, stepDeliverMirrorBatches}).Draw(rt, "kind"),
			process: rapid.IntRange(0, 2).Draw(rt, "process"),
			service: rapid.IntRange(0, 1).Draw(rt, "service"),
			team:    rapid.IntRange(0, 1).Draw(rt, "team"),
			n:       rapid.IntRange(1, 12).Draw(rt, "n"),
			wait:    time.Duration(rapid.IntRange(0, 3000).Draw(rt, "wait")) * time.Millisecond,
			run:     time.Duration(rapid.IntRange(10, 8000).Draw(rt, "run")) * time.Millisecond,
		}
	}), count, count).Draw(rt, "steps")
}

// perform executes a step.
func (c *fakeCluster) perform(s step) {
	p := c.procs[s.process]
	team := []string{"a", "b"}[s.team]
	switch s.kind {
	case stepLoad:
		for range s.n {
			go p.request(testServices[s.service], team, testDeadline, s.run)
		}
	case stepPartition:
		p.setPartitioned(true)
	case stepReconnect:
		p.setPartitioned(false)
	case stepKill:
		p.kill()
	case stepRestart:
		p.restart()
	case stepKillHost:
		c.withHost(testServices[s.service], false, (*fakeProcess).kill)
	case stepKillHostAndStandby:
		c.withHost(testServices[s.service], true, (*fakeProcess).kill)
	case stepPartitionHost:
		c.withHost(testServices[s.service], false, func(p *fakeProcess) {
			p.setPartitioned(true)
			p.setLosesMirrorBatches(s.n%2 == 0)
		})
	case stepLoseMirrorBatches:
		p.setLosesMirrorBatches(true)
	case stepDeliverMirrorBatches:
		p.setLosesMirrorBatches(false)
	case stepLimit:
		c.publish(uint32(s.n))
	case stepJob:
		c.changeJobs(team, s.n%2 == 0)
	}
}

// withHost calls f with the entry process that hosts the shard (the scheduler) of
// the service, and then, if requested, with the shard's standby, the process that
// is to take the shard over.
func (c *fakeCluster) withHost(service string, standby bool, f func(*fakeProcess)) {
	c.mu.Lock()
	snap := c.view()
	c.mu.Unlock()
	shard := snap.Shard(service)
	ids := []uint64{shard.SessionId}
	if standby {
		ids = append(ids, shard.StandbySessionId)
	}
	for _, id := range ids {
		if p := c.processAt(snap.Session(id).GetRpcAddress()); p != nil {
			f(p)
		}
	}
}

// runSteps executes the steps on a cluster under load. It returns the violations
// seen, and whether requests start again after all faults have ended.
func runSteps(t *testing.T, seed uint64, limit uint32, steps []step) (violations []string, recovered bool) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newCluster(seed, 3, limit)
		c.faultsEnabled = true
		go c.runLeader(ctx)
		for _, p := range c.procs {
			go p.run(ctx)
		}
		for i := range 24 {
			go c.procs[i%3].generateLoad(ctx, testServices[i/3%2], []string{"a", "b"}[i/6%2])
		}
		time.Sleep(time.Second)
		for _, s := range steps {
			c.perform(s)
			time.Sleep(s.wait)
		}
		c.mu.Lock()
		c.faultsEnabled = false
		c.mu.Unlock()
		for i, p := range c.procs {
			p.setPartitioned(false)
			p.setLosesMirrorBatches(false)
			p.restart()
			c.changeJobs([]string{"a", "b", "a"}[i], false)
		}
		c.publish(100)
		time.Sleep(20 * time.Second)
		recovered = true
		for _, s := range testServices {
			if err := c.procs[0].request(s, "a", testDeadline, time.Millisecond); err != nil {
				recovered = false
				c.violations = append(c.violations, fmt.Sprintf("request failed after the faults ended: %v", err))
			}
		}
		cancel()
		time.Sleep(2 * testDeadline)
		violations = c.violations
		t.Logf("standby proposals %d, mirrored hand-overs %d, starts %d", c.standbyProposals, c.mirroredHandovers, c.started)
	})
	return violations, recovered
}

// Guards against more requests than slots or limits allow while shards change
// hosts and messages are lost, delayed, duplicated and reordered.
func TestSlotsAndLimitsHoldDuringHandover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt, 25)
		violations, _ := runSteps(t, rapid.Uint64().Draw(rt, "seed"), rapid.SampledFrom([]uint32{6, 100}).Draw(rt, "limit"), steps)
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

// Guards against a shard's new host that never starts granting, and against one
// that waits until the expired sessions of entry processes are released,
// which takes the longest request timeout of all services instead of that of the
// shard's own service.
func TestHostGrantsAfterRecovery(t *testing.T) {
	violations, recovered := runSteps(t, 1, 6, []step{
		{kind: stepLoad, n: 12, run: time.Second, wait: 5 * time.Second},
		{kind: stepPartition, process: 0},
		{kind: stepPartition, process: 1, wait: 3 * time.Second},
	})
	g := NewWithT(t)
	g.Expect(violations).To(BeEmpty())
	g.Expect(recovered).To(BeTrue())
}

// Guards against a shutdown that leaves waiting entry processes without an
// answer, and against grants by a host whose session, the lease with the control
// group, is not valid.
func TestHostStopsGrantingOnShutdownAndWithoutSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(1, 1, 4)
		p := c.procs[0]
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(2 * testDeadline)
		defer cancel()
		go c.runLeader(ctx)
		go p.run(ctx)
		time.Sleep(time.Second)
		g.Expect(p.request("alerts", "a", testDeadline, time.Millisecond)).To(Succeed())
		answers := make(chan error, 20)
		sendRequests := func() {
			for range 10 {
				go func() { answers <- p.request("alerts", "a", testDeadline, 10*time.Second) }()
			}
			time.Sleep(500 * time.Millisecond) // until the allotments match the demand
		}
		sendRequests()
		p.setPartitioned(true)
		time.Sleep(testTTL + testMargin)
		for range 6 { // the limit lets 4 of the 10 run
			answer := <-answers
			g.Expect(answer).To(HaveOccurred())
			err := result.From(answer)
			g.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE))
			g.Expect(err.NotRun).To(BeTrue())
		}
		_, err := p.host.Acquire(ctx, &apiv1.AcquireRequest{Service: "alerts", Epoch: p.snap.Shard("alerts").Epoch, Team: "b", TimeoutMs: 1000})
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE))
		p.setPartitioned(false)
		time.Sleep(4 * testDeadline)
		for range 4 {
			g.Expect(<-answers).To(Succeed())
		}
		sendRequests()
		cancel()
		time.Sleep(time.Second)
		for range 6 {
			answer := <-answers
			g.Expect(answer).To(HaveOccurred())
			err := result.From(answer)
			g.Expect(err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE))
			g.Expect(err.RetryAfter).To(Equal(retryShard))
		}
	})
}

// Guards against a slot that stays occupied after the entry process has
// stopped waiting for it.
func TestAbandonedRequestFreesItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(1, 1, 1)
		p := c.procs[0]
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(2 * testDeadline)
		defer cancel()
		go c.runLeader(ctx)
		go p.run(ctx)
		time.Sleep(time.Second)
		sh, _ := p.host.findShard("alerts")
		req := &apiv1.AcquireRequest{Service: "alerts", Epoch: sh.assigned.Epoch, SessionId: p.ID(), Team: "a", TimeoutMs: 5000}
		for range 3 {
			ticket, answer, err := sh.enqueue(req)
			g.Expect(err).To(BeNil())
			time.Sleep(500 * time.Millisecond)
			sh.abandon(ticket, answer)
		}
		g.Expect(sh.dump().Grants).To(BeZero())
		g.Expect(sh.dump().Queued).To(BeZero())
	})
}
