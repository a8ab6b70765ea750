package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

func coreIndex(teams int, outZones ...string) *objects.Index {
	set := &apiv1.ObjectSet{
		Limit:   []*apiv1.Limit{{Name: "l", MaxRunning: 1000}},
		Queue:   []*apiv1.Queue{{Name: "q", MaxDepth: 20, Priority: apiv1.Priority_PRIORITY_NORMAL}, {Name: "deep", MaxDepth: 100000, Priority: apiv1.Priority_PRIORITY_NORMAL}},
		Service: []*apiv1.Service{{Name: "s", SlotsPerMinion: 4, ConnectionsPerMinion: 64, EntryVms: 8, MaxDeadlineMs: 10000}},
	}
	for i := range teams {
		set.Team = append(set.Team, &apiv1.Team{Name: fmt.Sprint("t", i), Weight: uint32(i%5 + 1), Limit: "l"})
	}
	for _, z := range []string{"z0", "z1", "z2"} {
		state := apiv1.ZoneState_ZONE_STATE_IN
		if slices.Contains(outZones, z) {
			state = apiv1.ZoneState_ZONE_STATE_OUT
		}
		set.AvailabilityZone = append(set.AvailabilityZone, &apiv1.AvailabilityZone{Name: z, State: state})
	}
	return objects.NewIndex(set)
}

func testAnnouncement(i int, slots uint32) *apiv1.MinionAnnouncement {
	return &apiv1.MinionAnnouncement{
		MinionId: fmt.Sprint("m", i), Service: "s", Vm: fmt.Sprint("vm", i), Slots: slots,
		AvailabilityZone: fmt.Sprint("z", i%3), Rack: fmt.Sprint("r", i/3),
	}
}

// newTestCore returns a core that grants slots of minions to requests. The teams'
// ceilings, the most requests that the core lets run, are too high to matter.
func newTestCore(ix *objects.Index, teams int) *Core {
	c := NewCore(0, "s", 5)
	c.SetConfig(0, ix, nil)
	c.StartGranting()
	setCeilings(c, teams, 1000)
	return c
}

func setCeilings(c *Core, teams int, ceiling uint32) {
	answer := &apiv1.Allotments{}
	for i := range teams {
		answer.Allotments = append(answer.Allotments, &apiv1.Allotment{Team: fmt.Sprint("t", i), Amount: ceiling, Target: ceiling})
	}
	c.ApplyAllotments(0, c.Report(0).Sequence, answer)
}

func acquire(team int, timeout time.Duration) *apiv1.AcquireRequest {
	return &apiv1.AcquireRequest{Service: "s", SessionId: 1, Team: fmt.Sprint("t", team), Queue: "q", TimeoutMs: uint32(timeout.Milliseconds())}
}

// referenceShard is a reference implementation of Core's rules for grants. It
// computes free slots and running requests by scanning the grants.
type referenceShard struct {
	seen    map[string]time.Duration
	slots   map[string]uint32
	leaving map[string]bool
	out     map[string]bool
	ceiling uint32
	held    map[uint64]referenceGrant
	queued  map[uint64]referenceGrant
}

type referenceGrant struct {
	team, minion string
	deadline     time.Duration
}

// free returns the number of free slots of a minion, negative if it has more
// grants than slots.
func (n *referenceShard) free(now time.Duration, id string) int {
	if seen, ok := n.seen[id]; !ok || now-seen >= announceTimeout || n.leaving[id] || n.out["z"+fmt.Sprint(int(id[1]-'0')%3)] {
		return 0
	}
	free := int(min(4, n.slots[id]))
	for _, g := range n.held {
		if g.minion == id {
			free--
		}
	}
	return free
}

func (n *referenceShard) running(team string) (count uint32) {
	for _, g := range n.held {
		if g.team == team {
			count++
		}
	}
	return count
}

// checkStep fails the test if an outcome of a step is wrong, or if a request
// stays queued that could have been granted or has expired.
func (n *referenceShard) checkStep(rt *rapid.T, now time.Duration, outcomes []Outcome) {
	for id, g := range n.held {
		if now >= g.deadline+grantExpiryMargin {
			delete(n.held, id)
		}
	}
	for _, out := range outcomes {
		q, ok := n.queued[out.Ticket]
		delete(n.queued, out.Ticket)
		switch {
		case !ok:
			rt.Fatalf("outcome for ticket %d, which is not queued", out.Ticket)
		case out.Err != nil && now < q.deadline:
			rt.Fatalf("queued request refused %v before its deadline", q.deadline-now)
		case out.Err != nil:
			continue
		case now >= q.deadline || n.free(now, out.Grant.MinionId) <= 0 || n.running(q.team) >= n.ceiling:
			rt.Fatalf("grant %v is not allowed: %d free slots, team runs %d of %d", out.Grant, n.free(now, out.Grant.MinionId), n.running(q.team), n.ceiling)
		}
		q.minion = out.Grant.MinionId
		n.held[out.Grant.GrantId] = q
	}
	for _, q := range n.queued {
		if now >= q.deadline {
			rt.Fatalf("a request is still queued %v after its deadline", now-q.deadline)
		}
		for id := range n.seen {
			if n.free(now, id) > 0 && n.running(q.team) < n.ceiling {
				rt.Fatalf("a request of team %s waits although minion %s has %d free slots", q.team, id, n.free(now, id))
			}
		}
	}
}

// Guards against grants that the reference implementation does not allow, and
// against requests that wait although a slot is free.
func TestGrantsMatchReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const teams = 3
		c := newTestCore(coreIndex(teams), teams)
		n := &referenceShard{
			seen: map[string]time.Duration{}, slots: map[string]uint32{}, leaving: map[string]bool{}, out: map[string]bool{},
			ceiling: 1000, held: map[uint64]referenceGrant{}, queued: map[uint64]referenceGrant{},
		}
		now := time.Duration(0)
		for range 120 {
			now += time.Duration(rapid.IntRange(0, 600).Draw(rt, "pause")) * time.Millisecond
			n.checkStep(rt, now, c.Tick(now))
			i := rapid.IntRange(0, 5).Draw(rt, "i")
			switch rapid.IntRange(0, 9).Draw(rt, "action") {
			case 0, 1, 2, 3:
				timeout := time.Duration(rapid.IntRange(1, 9000).Draw(rt, "timeout")) * time.Millisecond
				if ticket, err := c.Enqueue(now, acquire(i%teams, timeout)); err == nil {
					n.queued[ticket] = referenceGrant{team: fmt.Sprint("t", i%teams), deadline: now + timeout}
				}
			case 4, 5:
				m := testAnnouncement(i, rapid.Uint32Range(0, 6).Draw(rt, "slots"))
				m.Leaving = rapid.IntRange(0, 4).Draw(rt, "leaving") == 0
				c.Announce(now, m)
				n.seen[m.MinionId], n.slots[m.MinionId], n.leaving[m.MinionId] = now, m.Slots, m.Leaving
			case 6:
				zone := fmt.Sprint("z", i%3)
				n.out = map[string]bool{zone: i > 2}
				outZones := []string{}
				if i > 2 {
					outZones = append(outZones, zone)
				}
				c.SetConfig(now, coreIndex(teams, outZones...), nil)
			case 7:
				n.ceiling = uint32(i + 1)
				setCeilings(c, teams, n.ceiling)
			default:
				id := uint64(rapid.IntRange(1, 40).Draw(rt, "grant"))
				c.Release(now, &apiv1.ReleaseRequest{Epoch: 5, GrantId: id, SessionId: 1, Outcome: apiv1.GrantOutcome_GRANT_OUTCOME_DONE})
				delete(n.held, id)
			}
			n.checkStep(rt, now, c.Step(now))
		}
	})
}

// grantOne enqueues a request and returns its grant, which the next step must
// make.
func grantOne(g *WithT, c *Core, now time.Duration, req *apiv1.AcquireRequest) *apiv1.Grant {
	_, err := c.Enqueue(now, req)
	g.Expect(err).To(BeNil())
	out := c.Step(now)
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].Grant).NotTo(BeNil())
	return out[0].Grant
}

func release(c *Core, now time.Duration, g *apiv1.Grant, outcome apiv1.GrantOutcome) {
	c.Release(now, &apiv1.ReleaseRequest{Epoch: g.Epoch, GrantId: g.GrantId, SessionId: 1, Outcome: outcome})
}

// Guards against requests being concentrated in one availability zone while
// others have the same load per slot.
func TestPlacementSpreads(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(coreIndex(1), 1)
	for i := range 6 { // minions with consecutive names share a zone
		m := testAnnouncement(i, 4)
		m.AvailabilityZone = fmt.Sprint("z", i/2)
		c.Announce(0, m)
	}
	c.Tick(0)
	zones := []string{}
	for range 6 {
		grant := grantOne(g, c, 0, acquire(0, time.Second))
		zones = append(zones, grant.AvailabilityZone)
	}
	g.Expect(zones[:3]).To(ConsistOf("z0", "z1", "z2"))
	g.Expect(zones[3:]).To(ConsistOf("z0", "z1", "z2"))
}

// Guards against a failing minion that still gets requests, against a stalled
// connection being counted as a failure of the minion, and against most
// minions being avoided (given no requests for a while) at the same time.
func TestFailingMinionIsAvoided(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(coreIndex(1), 1)
	now := time.Second
	announce := func() {
		for i := range 3 {
			c.Announce(now, testAnnouncement(i, 1))
		}
	}
	fail := func(bad string, outcome apiv1.GrantOutcome, count int) (granted int) {
		for range count {
			announce()
			grant := grantOne(g, c, now, acquire(0, time.Second))
			result := apiv1.GrantOutcome_GRANT_OUTCOME_DONE
			if grant.MinionId == bad {
				granted++
				result = outcome
			}
			now += 10 * time.Millisecond
			release(c, now, grant, result)
		}
		return granted
	}
	g.Expect(fail("m0", apiv1.GrantOutcome_GRANT_OUTCOME_CONNECTION_SILENT, 30)).To(Equal(10))
	g.Expect(fail("m0", apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED, 60)).To(Equal(failuresToAvoid))
	first := c.minions["m0"].avoidedUntil
	g.Expect(first).To(BeNumerically(">", now))
	now = first
	g.Expect(fail("m0", apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED, 60)).To(Equal(1))
	g.Expect(c.minions["m0"].avoidedUntil - first).To(BeNumerically(">=", 2*avoidBase))
	fail("m1", apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED, 30)
	g.Expect(c.minions["m1"].avoidedUntil).To(BeZero())
}

// Guards against starts above a team's lowered limit after the view (the state that
// entry processes receive) that lowers it, and before the allotments, the shard's
// parts of the limits, that were computed with the lower limit. The answer to a
// demand report made before the view must not allow such starts either.
func TestLoweredLimitStopsStarts(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(coreIndex(1), 1)
	c.Announce(0, testAnnouncement(0, 4))
	grantOne(g, c, 0, acquire(0, time.Second))
	inProgress := c.Report(0).Sequence
	lower := coreIndex(1)
	lower.Set.Limit[0].MaxRunning = 500
	c.SetConfig(0, objects.NewIndex(lower.Set), nil)
	c.ApplyAllotments(0, inProgress, &apiv1.Allotments{Allotments: []*apiv1.Allotment{{Team: "t0", Amount: 1000, Target: 1000}}})
	_, err := c.Enqueue(0, acquire(0, time.Second))
	g.Expect(err).To(BeNil())
	g.Expect(c.Step(0)).To(BeEmpty())
	setCeilings(c, 1, 500)
	g.Expect(c.Step(0)).To(HaveLen(1))
}

// Guards against keeping a ceiling (the most requests of a team that the shard lets
// run) that was computed with a configuration which this process never saw: the
// limits 1, 7 and 2 were published, and the views
// that this process received have 1 and 2. The answer arrives before or after
// the view with 2.
func TestCeilingOfUnseenLimitIsDiscarded(t *testing.T) {
	limit := func(n uint32) *objects.Index {
		ix := coreIndex(1)
		ix.Set.Limit[0].MaxRunning = n
		return ix
	}
	answer := &apiv1.Allotments{Allotments: []*apiv1.Allotment{{Team: "t0", Amount: 3, Target: 3, Limit: 7}}}
	for _, answerLast := range []bool{false, true} {
		g := NewWithT(t)
		c := newTestCore(limit(1), 1)
		setCeilings(c, 1, 0)
		c.Announce(0, testAnnouncement(0, 4))
		_, err := c.Enqueue(0, acquire(0, time.Second))
		g.Expect(err).To(BeNil())
		sequence := c.Report(0).Sequence
		if answerLast {
			c.SetConfig(0, limit(2), nil)
		}
		c.ApplyAllotments(0, sequence, answer)
		if !answerLast {
			c.SetConfig(0, limit(2), nil)
		}
		g.Expect(c.Step(0)).To(BeEmpty())
	}
}

// Guards against refusing requests that can start in time, and against queueing
// requests that cannot.
func TestAdmission(t *testing.T) {
	g := NewWithT(t)
	c := newTestCore(coreIndex(2), 2)
	code := func(now time.Duration, req *apiv1.AcquireRequest) apiv1.ResultCode {
		if _, err := c.Enqueue(now, req); err != nil {
			g.Expect(err.NotRun).To(BeTrue())
			return err.Code
		}
		return apiv1.ResultCode_RESULT_CODE_OK
	}
	g.Expect(code(announceTimeout, acquire(0, time.Second))).To(Equal(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY))
	now := announceTimeout
	c.Announce(now, testAnnouncement(0, 1))
	for range minObservations {
		grant := grantOne(g, c, now, acquire(0, time.Second))
		now += time.Second
		c.Announce(now, testAnnouncement(0, 1))
		release(c, now, grant, apiv1.GrantOutcome_GRANT_OUTCOME_DONE)
	}
	grantOne(g, c, now, acquire(0, 10*time.Second))
	g.Expect(code(now, acquire(0, 100*time.Millisecond))).To(Equal(apiv1.ResultCode_RESULT_CODE_DEADLINE_TOO_SHORT))
	g.Expect(code(now, acquire(0, 5*time.Second))).To(Equal(apiv1.ResultCode_RESULT_CODE_OK))
	setCeilings(c, 2, 0)
	now += 5 * time.Second
	c.Announce(now, testAnnouncement(0, 1))
	g.Expect(c.Step(now)[0].Err.Code).To(Equal(apiv1.ResultCode_RESULT_CODE_TEAM_LIMIT))
	for range 20 {
		c.Enqueue(now, acquire(1, 10*time.Second))
	}
	c.slotTimes = slotTimeEstimate{}
	for len(c.waiting) < 20 {
		c.Enqueue(now, acquire(1, 10*time.Second))
	}
	g.Expect(code(now, acquire(0, 10*time.Second))).To(Equal(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL))
}

func BenchmarkGrant(b *testing.B) {
	for _, teams := range []int{5, 500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			c := newTestCore(coreIndex(teams), teams)
			requests := make([]*apiv1.AcquireRequest, teams)
			for i := range teams {
				requests[i] = acquire(i, 10*time.Second)
				requests[i].Queue = "deep"
				c.Enqueue(0, requests[i])
			}
			for i := range 10 {
				c.Announce(0, testAnnouncement(i, 4))
			}
			held := c.Step(0)
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * 50 * time.Microsecond
				if i%10000 == 0 {
					for m := range 10 {
						c.Announce(now, testAnnouncement(m, 4))
					}
				}
				oldest := held[0].Grant
				held = held[1:]
				release(c, now, oldest, apiv1.GrantOutcome_GRANT_OUTCOME_DONE)
				held = append(held, c.Step(now)...)
				for len(c.waiting) < teams {
					c.Enqueue(now, requests[i%teams])
				}
			}
		})
	}
}
