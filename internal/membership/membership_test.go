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

// init fixes the seed; the command line overrides it.
func init() {
	flag.Set("rapid.seed", "7")
	flag.Set("rapid.checks", "400")
}

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

func open(process string, incarnation uint64) *apiv1.OpenSession {
	return &apiv1.OpenSession{ProcessId: process, RpcAddress: process, Incarnation: incarnation}
}

// Guards against a resend opening a second session and against a restarted
// process keeping its old one.
func TestOpenSessionAgain(t *testing.T) {
	g := NewWithT(t)
	s := New()
	first, _ := s.OpenSession(1, open("p", 7))
	again, _ := s.OpenSession(2, open("p", 7))
	g.Expect(again.Id).To(Equal(first.Id))
	restarted, _ := s.OpenSession(3, open("p", 8))
	g.Expect(restarted.Id).NotTo(Equal(first.Id))
	g.Expect(s.IsSessionLive(first.Id)).To(BeFalse())
	s.ReleaseSessions(&apiv1.ReleaseSessions{SessionIds: []uint64{first.Id, restarted.Id}})
	g.Expect(s.Sessions()).To(HaveLen(1))
}

// Guards against a new session drawing more than one shard, and against one
// session keeping all of them.
func TestNewSessionDrawsOneShard(t *testing.T) {
	g := NewWithT(t)
	s := New()
	s.SetConfig(1, config(10, "s1", "s2", "s3", "s4", "s5"))
	for i, want := range [][]int{{5}, {4, 1}, {3, 1, 1}, {2, 1, 1, 1}, {1, 1, 1, 1, 1}, {1, 1, 1, 1, 1}} {
		session, _ := s.OpenSession(uint64(i+2), open(fmt.Sprint("p", i), 1))
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

// Guards against a recovery that waits too short for requests granted before a
// publish lowered the longest deadline.
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

// host is a shard host that keeps the rules; running is the truth that the
// state must bound.
type host struct {
	running, queued, ceiling uint32
	epoch, sequence          uint64
	granting                 bool
	old                      []*apiv1.ReportDemand
}

type world struct {
	s     *State
	index uint64
	limit uint32
	jobs  uint32
	hosts map[string]*host
}

func (w *world) totalRunning() uint32 {
	sum := w.jobs
	for _, h := range w.hosts {
		sum += h.running
	}
	return sum
}

// sync gives each shard that was assigned again to a new host. What runs goes
// on and is counted by it.
func (w *world) sync() {
	for _, sh := range w.s.Shards() {
		h := w.hosts[sh.Service]
		if h.epoch != sh.Epoch || sh.SessionId == 0 {
			*h = host{running: h.running, queued: h.queued, epoch: sh.Epoch, old: h.old}
		}
	}
}

func (w *world) report(service string, answered bool) {
	h := w.hosts[service]
	h.sequence++
	running := h.running
	if !h.granting {
		running = 0 // it has not counted yet
	}
	cmd := &apiv1.ReportDemand{Service: service, Epoch: h.epoch, Sequence: h.sequence, Demands: []*apiv1.TeamDemand{
		{Team: "a", Running: running, Wanted: running + h.queued, Ceiling: h.ceiling},
	}}
	if h.granting { // a host reports nothing before, except by mistake
		h.old = append(h.old, cmd)
	}
	out, err := w.s.ReportDemand(cmd)
	if err != nil || !answered {
		return
	}
	h.ceiling = 0
	for _, a := range out.Allotments {
		h.ceiling = min(a.Amount, a.Target)
	}
}

func (w *world) recover(service string) {
	h := w.hosts[service]
	err := w.s.FinishRecovery(&apiv1.FinishRecovery{
		Service: service, Epoch: h.epoch,
		Demands: []*apiv1.TeamDemand{{Team: "a", Running: h.running}},
	})
	if err == nil && !h.granting {
		h.granting = true
		h.ceiling = h.running
	}
}

func (w *world) step(rt *rapid.T) {
	w.index++
	service := rapid.SampledFrom([]string{"s1", "s2"}).Draw(rt, "service")
	session := rapid.Uint64Range(1, w.s.lastSessionID+1).Draw(rt, "session")
	h := w.hosts[service]
	switch rapid.IntRange(0, 16).Draw(rt, "action") {
	case 0, 1, 2, 15, 16:
		if h.granting && h.running < h.ceiling && h.queued > 0 {
			h.running++
			h.queued--
			if total := w.totalRunning(); total > w.limit {
				rt.Fatalf("started above the limit: %d of %d", total, w.limit)
			}
		}
	case 3:
		h.running -= min(1, h.running)
	case 4, 13, 14:
		h.queued = rapid.SampledFrom([]uint32{0, 0, 1, 8}).Draw(rt, "queued")
	case 5, 6:
		w.report(service, rapid.Bool().Draw(rt, "answered"))
	case 7:
		if len(h.old) > 0 {
			w.s.ReportDemand(rapid.SampledFrom(h.old[max(0, len(h.old)-4):]).Draw(rt, "old"))
		}
	case 8:
		w.s.ExpireSessions(w.index, &apiv1.ExpireSessions{SessionIds: []uint64{session}})
	case 9:
		w.s.OpenSession(w.index, open(rapid.SampledFrom([]string{"p1", "p2"}).Draw(rt, "process"), w.index))
	case 10:
		w.recover(service)
	case 11:
		if w.s.AcquireJob("a") {
			w.jobs++
			if total := w.totalRunning(); total > w.limit {
				rt.Fatalf("job above the limit: %d of %d", total, w.limit)
			}
		}
	default:
		if w.jobs > 0 {
			w.jobs--
			w.s.ReleaseJob("a")
		}
	}
	w.sync()
}

// Guards against a limit being exceeded over several services while shards
// change hosts, also twice in a row, and reports are lost, late or repeated.
// The naive version is the count of what really runs.
func TestRunningNeverAboveLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{s: New(), limit: rapid.Uint32Range(1, 12).Draw(rt, "limit"), hosts: map[string]*host{"s1": {}, "s2": {}}}
		w.s.SetConfig(1, config(w.limit, "s1", "s2"))
		w.index = 1
		for range 200 {
			w.step(rt)
			if held := w.s.teams["a"].held(); held > w.limit {
				rt.Fatalf("amounts and jobs are %d, limit %d", held, w.limit)
			}
			for service, h := range w.hosts {
				if a := w.s.teams["a"].allotment(service).amount; a < h.running {
					rt.Fatalf("%s runs %d with an amount of %d", service, h.running, a)
				}
			}
			restored := New()
			restored.Restore(w.s.Snapshot())
			if !proto.Equal(restored.Snapshot(), w.s.Snapshot()) {
				rt.Fatalf("snapshot differs after restore")
			}
			w.s = restored
		}
	})
}

// Guards against a division that exceeds what is available, starves a service
// or strays from the proportion.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		available := rapid.Uint32Range(0, 50).Draw(rt, "available")
		wants := rapid.SliceOfN(rapid.Uint32Range(0, 30), 1, 6).Draw(rt, "wants")
		held := rapid.SliceOfN(rapid.Uint32Range(0, 9), len(wants), len(wants)).Draw(rt, "held")
		out := divide(available, wants, held)
		total, given, users := uint32(0), uint32(0), uint32(0)
		for i := range wants {
			users += min(1, wants[i])
			total += wants[i]
			given += out[i]
		}
		if given > available || (total >= available && given != available) {
			rt.Fatalf("gave %d of %d for wants of %d", given, available, total)
		}
		for i, w := range wants {
			switch {
			case total <= available && out[i] < w:
				rt.Fatalf("want %d got %d although all fits", w, out[i])
			case total > available && out[i] > w:
				rt.Fatalf("want %d got %d although not all fits", w, out[i])
			case available >= users && w > 0 && out[i] == 0:
				rt.Fatalf("want %d got none of %d", w, available)
			case total > available && available >= users && w > 0:
				exact := 1 + float64(available-users)*float64(w-1)/float64(total-users)
				if d := float64(out[i]) - exact; d > 1 || d < -1 {
					rt.Fatalf("want %d got %d, exact part %f", w, out[i], exact)
				}
			}
		}
	})
}

// Guards against an idle service holding what another one needs, and against
// the shard of a removed service vanishing while its work runs.
func TestAmountsFollowDemandAndRemoval(t *testing.T) {
	g := NewWithT(t)
	w := &world{s: New(), limit: 8, hosts: map[string]*host{"s1": {queued: 20}, "s2": {}}}
	w.s.SetConfig(1, config(8, "s1", "s2"))
	w.s.OpenSession(2, open("p", 1))
	w.sync()
	w.recover("s1")
	w.recover("s2")
	w.report("s1", true)
	g.Expect(w.hosts["s1"].ceiling).To(BeEquivalentTo(8))
	w.hosts["s2"].queued = 4
	w.report("s2", true)
	w.report("s1", true) // learns the lower target
	w.report("s1", true) // acknowledges it
	w.report("s2", true)
	g.Expect(w.hosts["s2"].ceiling).To(BeEquivalentTo(2))
	w.hosts["s2"].running = 1
	w.report("s2", true)
	w.s.SetConfig(3, config(8, "s1"))
	w.report("s2", true)
	w.report("s2", true)
	g.Expect(w.s.Shards()).To(HaveLen(2))
	w.hosts["s2"].running = 0
	w.report("s2", true)
	g.Expect(w.s.Shards()).To(HaveLen(1))
}

// Guards against an idle service keeping more than a little of the limit, and
// that little when another service needs it.
func TestIdleServiceKeepsLittle(t *testing.T) {
	g := NewWithT(t)
	w := &world{s: New(), limit: 20, hosts: map[string]*host{"s1": {queued: 10}, "s2": {}}}
	w.s.SetConfig(1, config(20, "s1", "s2"))
	w.s.OpenSession(2, open("p", 1))
	w.sync()
	w.recover("s1")
	w.recover("s2")
	w.report("s1", true)
	w.hosts["s1"].queued = 0
	w.report("s1", true)
	g.Expect(w.hosts["s1"].ceiling).To(BeEquivalentTo(idleHeadroom))
	w.hosts["s2"].queued = 40
	w.report("s2", true)
	w.report("s1", true)
	w.report("s1", true)
	w.report("s2", true)
	g.Expect(w.hosts["s1"].ceiling).To(BeZero())
	g.Expect(w.hosts["s2"].ceiling).To(BeEquivalentTo(20))
}
