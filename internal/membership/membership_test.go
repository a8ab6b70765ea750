package membership

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// init fixes the seed of the property tests, so that every run has the same
// result. Flags of the command line override it.
func init() {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "400")
}

// config returns a configuration with one team "a", its limit and the services.
func config(limit uint32, services ...string) *objects.Index {
	set := &apiv1.ObjectSet{
		Limit: []*apiv1.Limit{{Name: "l", MaxRunning: limit}},
		Team:  []*apiv1.Team{{Name: "a", Limit: "l"}},
	}
	for _, s := range services {
		set.Service = append(set.Service, &apiv1.Service{Name: s})
	}
	return objects.NewIndex(set)
}

func openSession(process string, incarnation uint64) *apiv1.OpenSession {
	return &apiv1.OpenSession{ProcessId: process, RpcAddress: process, Incarnation: incarnation}
}

// Guards against a repeated command opening a second session (the lease of an entry
// process, which sends callers' requests to minions), and against a restarted process
// keeping the session of its previous incarnation, the lifetime before the restart.
func TestOpenSessionAgain(t *testing.T) {
	g := NewWithT(t)
	s := New()
	first, _ := s.OpenSession(1, openSession("p", 7))
	again, _ := s.OpenSession(2, openSession("p", 7))
	g.Expect(again.Id).To(Equal(first.Id))
	restarted, _ := s.OpenSession(3, openSession("p", 8))
	g.Expect(restarted.Id).NotTo(Equal(first.Id))
	g.Expect(s.IsSessionLive(first.Id)).To(BeFalse())
	s.ReleaseSessions(&apiv1.ReleaseSessions{SessionIds: []uint64{first.Id, restarted.Id}})
	g.Expect(s.Sessions()).To(HaveLen(1))
}

// Guards against a new session being assigned more than one shard (the scheduler of
// one service) of other live sessions, and against one session keeping all shards.
func TestNewSessionIsAssignedOneShard(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetConfig(1, config(10, "s1", "s2", "s3", "s4", "s5"))
	for i, want := range [][]int{{5}, {4, 1}, {3, 1, 1}, {2, 1, 1, 1}, {1, 1, 1, 1, 1}, {1, 1, 1, 1, 1}} {
		session, _ := s.OpenSession(uint64(i+2), openSession(fmt.Sprint("p", i), 1))
		counts := s.shardCounts()
		var got []int
		for id := uint64(1); id <= session.Id; id++ {
			if counts[id] > 0 {
				got = append(got, counts[id])
			}
		}
		g.Expect(got).To(ConsistOf(want))
		moved := 0
		for _, sh := range s.Shards() {
			if sh.AssignedIndex == uint64(i+2) {
				moved++
			}
		}
		g.Expect(moved).To(Equal([]int{5, 1, 1, 1, 1, 0}[i]))
	}
}

// Guards against a shard's recovery that ends too early. The new host waits for the
// shard's MaxDeadlineMs, so that the requests granted by earlier hosts have ended.
// This must cover requests granted before a published configuration lowered the
// maximum deadline.
func TestLongestDeadlineNeverFalls(t *testing.T) {
	g := NewWithT(t)
	s := New()
	for i, ms := range []uint32{5000, 9000, 1000} {
		ix := config(1, "s1")
		ix.Services["s1"].MaxDeadlineMs = ms
		s.SetConfig(uint64(i+1), ix)
	}
	g.Expect(s.Shards()[0].MaxDeadlineMs).To(BeEquivalentTo(9000))
}

// host simulates the process that hosts a service's shard. It starts requests only
// up to its ceiling, which it takes from its allotment, the part of the team's limit
// that the state gives the shard. running counts the requests that actually run; the
// state must ensure that the sum over all hosts stays within the team's limit.
type host struct {
	running, queued, ceiling uint32
	epoch, sequence          uint64
	granting                 bool
	sentReports              []*apiv1.ReportDemand
}

// fakeCluster simulates the hosts of two services and the leased jobs (those that
// hold a lease on a VM), which share the limit of one team.
type fakeCluster struct {
	state      *State
	index      uint64
	limit      uint32
	leasedJobs uint32
	hosts      map[string]*host
}

// totalRunning returns the number of requests and jobs that actually run.
func (c *fakeCluster) totalRunning() uint32 {
	sum := c.leasedJobs
	for _, h := range c.hosts {
		sum += h.running
	}
	return sum
}

// replaceHosts resets the host of each shard whose epoch has grown, which it does
// when the shard gets a new owner, or that no session hosts now (SessionId 0).
// Running requests go on; the next host counts them in its recovery.
func (c *fakeCluster) replaceHosts() {
	for _, sh := range c.state.Shards() {
		h := c.hosts[sh.Service]
		if h.epoch != sh.Epoch || sh.SessionId == 0 {
			*h = host{running: h.running, queued: h.queued, epoch: sh.Epoch, sentReports: h.sentReports}
		}
	}
}

// report sends a report of the service's demand, its running and waiting requests,
// from its host. If answered is false the reply is lost, so that the host keeps its
// earlier ceiling.
func (c *fakeCluster) report(service string, answered bool) {
	h := c.hosts[service]
	h.sequence++
	running := h.running
	if !h.granting {
		running = 0 // the host has not counted the running requests yet
	}
	cmd := &apiv1.ReportDemand{Service: service, Epoch: h.epoch, Sequence: h.sequence, Demands: []*apiv1.TeamDemand{
		{Team: "a", Running: running, Wanted: running + h.queued, Ceiling: h.ceiling},
	}}
	// A host should send no reports before it has finished its recovery. A report
	// sent earlier is a mistake that the state must refuse, and isn't repeated.
	if h.granting {
		h.sentReports = append(h.sentReports, cmd)
	}
	out, err := c.state.ReportDemand(cmd)
	if err != nil || !answered {
		return
	}
	h.ceiling = 0
	for _, a := range out.Allotments {
		h.ceiling = min(a.Amount, a.Target)
	}
}

// recover finishes the recovery of the service's host, in which the host counts the
// running requests. The host then lets requests start up to that number.
func (c *fakeCluster) recover(service string) {
	h := c.hosts[service]
	err := c.state.FinishRecovery(&apiv1.FinishRecovery{
		Service: service, Epoch: h.epoch,
		Demands: []*apiv1.TeamDemand{{Team: "a", Running: h.running}},
	})
	if err == nil && !h.granting {
		h.granting = true
		h.ceiling = h.running
	}
}

// step performs one random action and checks that nothing starts above the limit.
func (c *fakeCluster) step(rt *rapid.T) {
	c.index++
	service := rapid.SampledFrom([]string{"s1", "s2"}).Draw(rt, "service")
	session := rapid.Uint64Range(1, c.state.lastSessionID+1).Draw(rt, "session")
	h := c.hosts[service]
	switch rapid.IntRange(0, 16).Draw(rt, "action") {
	case 0, 1, 2, 15, 16:
		if h.granting && h.running < h.ceiling && h.queued > 0 {
			h.running++
			h.queued--
			if total := c.totalRunning(); total > c.limit {
				rt.Fatalf("request started above the limit: %d running, limit %d", total, c.limit)
			}
		}
	case 3:
		h.running -= min(1, h.running)
	case 4, 13, 14:
		h.queued = rapid.SampledFrom([]uint32{0, 0, 1, 8}).Draw(rt, "queued")
	case 5, 6:
		c.report(service, rapid.Bool().Draw(rt, "answered"))
	case 7:
		if len(h.sentReports) > 0 {
			c.state.ReportDemand(rapid.SampledFrom(h.sentReports[max(0, len(h.sentReports)-4):]).Draw(rt, "old"))
		}
	case 8:
		c.state.ExpireSessions(c.index, &apiv1.ExpireSessions{SessionIds: []uint64{session}})
	case 9:
		c.state.OpenSession(c.index, openSession(rapid.SampledFrom([]string{"p1", "p2"}).Draw(rt, "process"), c.index))
	case 10:
		c.recover(service)
	case 11:
		if c.state.AcquireJob("a") {
			c.leasedJobs++
			if total := c.totalRunning(); total > c.limit {
				rt.Fatalf("job started above the limit: %d running, limit %d", total, c.limit)
			}
		}
	default:
		if c.leasedJobs > 0 {
			c.leasedJobs--
			c.state.ReleaseJob("a")
		}
	}
	c.replaceHosts()
}

// Guards against exceeding a team's limit across several services while shards
// change hosts, also repeatedly, and demand reports are lost, delayed or repeated.
// The limit is compared with the number of requests and jobs that actually run.
func TestRunningNeverAboveLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := &fakeCluster{state: New(), limit: rapid.Uint32Range(1, 12).Draw(rt, "limit"), hosts: map[string]*host{"s1": {}, "s2": {}}}
		c.state.SetConfig(1, config(c.limit, "s1", "s2"))
		c.index = 1
		for range 200 {
			c.step(rt)
			if held := c.state.teams["a"].allocated(); held > c.limit {
				rt.Fatalf("amounts and leased jobs add up to %d, limit %d", held, c.limit)
			}
			for service, h := range c.hosts {
				if a := c.state.teams["a"].allotment(service).amount; a < h.running {
					rt.Fatalf("service %s runs %d requests with an amount of %d", service, h.running, a)
				}
			}
			restored := New()
			restored.Restore(c.state.Snapshot())
			if !proto.Equal(restored.Snapshot(), c.state.Snapshot()) {
				rt.Fatalf("snapshot differs after restore")
			}
			c.state = restored
		}
	})
}

// Guards against a division that exceeds what is available, gives a service with
// demand nothing although there is enough for each, or isn't proportional to the
// demands.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		available := rapid.Uint32Range(0, 50).Draw(rt, "available")
		demands := rapid.SliceOfN(rapid.Uint32Range(0, 30), 1, 6).Draw(rt, "wants")
		amounts := rapid.SliceOfN(rapid.Uint32Range(0, 9), len(demands), len(demands)).Draw(rt, "held")
		out := divide(available, demands, amounts)
		total, divided, withDemand := uint32(0), uint32(0), uint32(0)
		for i := range demands {
			withDemand += min(1, demands[i])
			total += demands[i]
			divided += out[i]
		}
		if divided > available || (total >= available && divided != available) {
			rt.Fatalf("divided %d of %d available for a total demand of %d", divided, available, total)
		}
		for i, w := range demands {
			switch {
			case total <= available && out[i] < w:
				rt.Fatalf("demand %d got %d although all demands fit", w, out[i])
			case total > available && out[i] > w:
				rt.Fatalf("demand %d got %d although not all demands fit", w, out[i])
			case available >= withDemand && w > 0 && out[i] == 0:
				rt.Fatalf("demand %d got none of %d available", w, available)
			case total > available && available >= withDemand && w > 0:
				exact := 1 + float64(available-withDemand)*float64(w-1)/float64(total-withDemand)
				if d := float64(out[i]) - exact; d > 1 || d < -1 {
					rt.Fatalf("demand %d got %d, exact proportion %f", w, out[i], exact)
				}
			}
		}
	})
}

// Guards against an idle service keeping an amount (of the team's limit) that
// another service needs, and against removing the shard of a removed service while
// its requests still run.
func TestAmountsFollowDemandAndRemoval(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCluster{state: New(), limit: 8, hosts: map[string]*host{"s1": {queued: 20}, "s2": {}}}
	c.state.SetConfig(1, config(8, "s1", "s2"))
	c.state.OpenSession(2, openSession("p", 1))
	c.replaceHosts()
	c.recover("s1")
	c.recover("s2")
	c.report("s1", true)
	g.Expect(c.hosts["s1"].ceiling).To(BeEquivalentTo(8))
	c.hosts["s2"].queued = 4
	c.report("s2", true)
	c.report("s1", true) // the reply has the lower target
	c.report("s1", true) // acknowledges the lower target
	c.report("s2", true)
	g.Expect(c.hosts["s2"].ceiling).To(BeEquivalentTo(2))
	c.hosts["s2"].running = 1
	c.report("s2", true)
	c.state.SetConfig(3, config(8, "s1"))
	c.report("s2", true)
	c.report("s2", true)
	g.Expect(c.state.Shards()).To(HaveLen(2))
	c.hosts["s2"].running = 0
	c.report("s2", true)
	g.Expect(c.state.Shards()).To(HaveLen(1))
}

// Guards against an idle service keeping more than idleHeadroom of the limit, and
// against its keeping even this when another service needs all of the limit.
func TestIdleServiceKeepsLittle(t *testing.T) {
	g := NewWithT(t)
	c := &fakeCluster{state: New(), limit: 20, hosts: map[string]*host{"s1": {queued: 10}, "s2": {}}}
	c.state.SetConfig(1, config(20, "s1", "s2"))
	c.state.OpenSession(2, openSession("p", 1))
	c.replaceHosts()
	c.recover("s1")
	c.recover("s2")
	c.report("s1", true)
	c.hosts["s1"].queued = 0
	c.report("s1", true)
	g.Expect(c.hosts["s1"].ceiling).To(BeEquivalentTo(idleHeadroom))
	c.hosts["s2"].queued = 40
	c.report("s2", true)
	c.report("s1", true)
	c.report("s1", true)
	c.report("s2", true)
	g.Expect(c.hosts["s1"].ceiling).To(BeZero())
	g.Expect(c.hosts["s2"].ceiling).To(BeEquivalentTo(20))
}
