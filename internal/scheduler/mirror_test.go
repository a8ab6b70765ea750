package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Guards against a mirror (the copy of a shard's grants on its standby, the
// process that is to take the shard over) that lacks a grant of the core, keeps
// an ended one, or has one that expires before the original. Old batches arrive
// again at random times.
func TestMirrorAgreesWithCore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const own = 9
		now := time.Duration(0)
		core := NewCore(now, "alerts", 5)
		core.SetConfig(now, testIndex(100), nil)
		core.StartGranting()
		copies := newMirrorStore()
		var sent []*apiv1.MirrorBatch
		mirrored := false
		send := func(batch *apiv1.MirrorBatch) {
			batch.Sequence, batch.SessionId = uint64(len(sent)+1), own
			sent = append(sent, batch)
			if err := copies.apply(now, own, batch); err != nil {
				rt.Fatalf("batch refused: %v", err)
			}
			compareMirror(rt, now, core, copies.shards["alerts"])
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "wait_us")) * 1100 * time.Microsecond
			switch rapid.IntRange(0, 6).Draw(rt, "kind") {
			case 0, 1:
				core.Announce(now, &apiv1.MinionAnnouncement{MinionId: "m", Service: "alerts", AvailabilityZone: "z1", Slots: testSlots})
				core.Enqueue(now, &apiv1.AcquireRequest{SessionId: 3, Team: "a", TimeoutMs: rapid.Uint32Range(1, 3000).Draw(rt, "timeout")})
				core.team(now, "a").ceiling = 100
				core.updateBlocked(now, core.team(now, "a"))
				core.Step(now)
			case 2:
				core.Release(now, &apiv1.ReleaseRequest{Epoch: 5, GrantId: rapid.Uint64Range(1, core.lastGrant+1).Draw(rt, "grant")})
			case 3:
				core.Tick(now)
			case 4:
				send(core.StartMirror(now))
				mirrored = true
			case 5:
				if mirrored {
					send(core.TakeChanges(now))
				}
			case 6:
				if len(sent) > 0 { // a duplicate of an earlier batch
					copies.apply(now, own, sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "again")])
				}
			}
		}
		if mirrored {
			send(core.TakeChanges(now))
		}
	})
}

func compareMirror(rt *rapid.T, now time.Duration, core *Core, m *shardMirror) {
	if len(m.grants) != len(core.grants) {
		rt.Fatalf("mirror has %d grants, core has %d", len(m.grants), len(core.grants))
	}
	for key, g := range core.grants {
		c := m.grants[key]
		if c == nil || c.expires < g.expires || c.grant.SessionId != g.session || c.grant.Team != g.team || c.grant.MinionId != g.minion.id {
			rt.Fatalf("%v: grant %v is mirrored as %v", now, key, c)
		}
	}
}

// Guards against a standby that acknowledges a batch of changed grants which it
// cannot apply, or a batch of a host whose epoch has ended.
func TestMirrorRefusesUnusableBatches(t *testing.T) {
	g := NewWithT(t)
	m := newMirrorStore()
	batch := func(epoch, sequence, session uint64, full bool) apiv1.ResultCode {
		err := m.apply(0, 9, &apiv1.MirrorBatch{Service: "alerts", Epoch: epoch, Sequence: sequence, SessionId: session, Full: full})
		if err == nil {
			return apiv1.ResultCode_RESULT_CODE_OK
		}
		return result.CodeOf(err)
	}
	g.Expect(batch(5, 1, 9, false)).To(Equal(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT), "no full batch yet")
	g.Expect(batch(5, 2, 8, true)).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_SESSION))
	g.Expect(batch(5, 2, 9, true)).To(Equal(apiv1.ResultCode_RESULT_CODE_OK))
	g.Expect(batch(5, 4, 9, false)).To(Equal(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT), "batch 3 is missing")
	g.Expect(batch(5, 1, 9, true)).To(Equal(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT), "delayed full batch")
	g.Expect(batch(4, 9, 9, true)).To(Equal(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE))
	_, ok := m.takeForShard(&apiv1.Shard{Service: "alerts", Epoch: 6, SessionId: 9, MirroredEpoch: 4}, 9)
	g.Expect(ok).To(BeFalse(), "another epoch is marked as mirrored")
	g.Expect(batch(5, 3, 9, false)).To(Equal(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE), "the shard has a new epoch")
}

// When a shard's host is lost, the requests that the lost process itself runs
// have no release and no report. Guards against a new host that waits for the
// deadlines of these requests although it has their grants in its mirror, and
// against one that frees their slots.
func TestStandbyGrantsWithoutWaitingForDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(1, 3, 100)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(3 * testDeadline)
		defer cancel()
		go c.runLeader(ctx)
		for _, p := range c.procs {
			go p.run(ctx)
		}
		time.Sleep(5 * time.Second)
		host, other := c.hostAndUninvolved("alerts")
		const lost = 2*testSlots - 1 // all slots of the 2 minions but one
		for range lost {
			go host.request("alerts", "a", testDeadline, testDeadline)
			time.Sleep(100 * time.Millisecond)
		}
		held, _ := host.currentHost().findShard("alerts")
		g.Expect(held.dump().Grants).To(Equal(lost))
		g.Expect(held.dump().Standby).NotTo(BeZero())
		start := c.Now()
		host.kill()
		for c.successor("alerts", host) == nil && c.Now() < start+testDeadline {
			time.Sleep(10 * time.Millisecond)
		}
		next := c.successor("alerts", host)
		t.Logf("the successor grants %v after the loss", c.Now()-start)
		g.Expect(next).NotTo(BeNil(), "no successor grants before the deadline of the lost requests")
		g.Expect(next.dump().Grants).To(Equal(lost), "each lost request keeps its slot")
		g.Expect(other.request("alerts", "a", testDeadline, time.Millisecond)).To(Succeed())
		g.Expect(next.dump().Grants).To(Equal(lost), "the free slot is granted while the lost requests run")
		g.Expect(c.violations).To(BeEmpty())
	})
}

// hostAndUninvolved returns the process that hosts the shard and one that is
// neither its host nor its standby.
func (c *fakeCluster) hostAndUninvolved(service string) (host, other *fakeProcess) {
	c.mu.Lock()
	snap := c.view()
	c.mu.Unlock()
	shard := snap.Shard(service)
	for _, p := range c.procs {
		switch p.ID() {
		case shard.SessionId:
			host = p
		case shard.StandbySessionId:
		default:
			other = p
		}
	}
	return host, other
}

// successor returns the shard on a process other than lost that grants, or nil.
func (c *fakeCluster) successor(service string, lost *fakeProcess) *hostedShard {
	for _, p := range c.procs {
		if p == lost {
			continue
		}
		sh, err := p.currentHost().findShard(service)
		if err != nil {
			continue
		}
		sh.mu.Lock()
		granting := sh.core.granting
		sh.mu.Unlock()
		if granting {
			return sh
		}
	}
	return nil
}

// Guards against a slot of a minion that is used twice after a host was partitioned
// from the control group (the replicas that assign shards to hosts): because the old
// host delivers a grant (the permission to send one request to a minion) that its
// standby, which takes the shard over, has not acknowledged, or because the new
// host does not count the slots of acknowledged grants as taken.
func TestPartitionedHostDeliversOnlyMirroredGrants(t *testing.T) {
	for _, losesBatches := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(1, 3, 100)
			ctx, cancel := context.WithCancel(context.Background())
			defer time.Sleep(3 * testDeadline)
			defer cancel()
			go c.runLeader(ctx)
			for _, p := range c.procs {
				go p.run(ctx)
			}
			time.Sleep(5 * time.Second)
			host, other := c.hostAndUninvolved("alerts")
			runRequests := func(p *fakeProcess, run time.Duration) {
				for range 2 * testSlots {
					go p.request("alerts", "a", testDeadline, run)
				}
				time.Sleep(500 * time.Millisecond)
			}
			runRequests(host, 400*time.Millisecond) // until the allotments match the demand
			time.Sleep(350 * time.Millisecond)
			host.setPartitioned(true)
			host.setLosesMirrorBatches(losesBatches)
			before := c.startedCount()
			runRequests(other, testDeadline)
			if losesBatches {
				g.Expect(c.startedCount()).To(Equal(before), "a grant was delivered without acknowledgement")
			} else {
				g.Expect(c.startedCount()).To(BeNumerically(">", before))
			}
			time.Sleep(testTTL + testMargin + time.Second)
			next := c.successor("alerts", host)
			g.Expect(next).NotTo(BeNil())
			runRequests(other, testDeadline)
			g.Expect(c.startedCount()).To(Equal(before+2*testSlots), "each slot is used exactly once")
			g.Expect(c.violations).To(BeEmpty())
		})
	}
}

func (c *fakeCluster) startedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}
