// Package measure drives the pure decision modules with generated demand,
// service times and failures, and reports how the policy does. Equal seeds give
// equal results; there is no network, clock or goroutine in it.
package measure

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/membership"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/scheduler"
)

const (
	minionsPerService = 10
	slotsPerMinion    = 8
	slots             = minionsPerService * slotsPerMinion
	rackSize          = 4
	// reportInterval is how often a shard reports demand.
	reportInterval = 100 * time.Millisecond
	tickInterval   = 50 * time.Millisecond
	announceEvery  = time.Second
	// spread is the sigma of the lognormal service times: the 5th and the 95th
	// percentile are a factor of 10 apart.
	spread = 0.7
)

// event is one thing that happens at a time; equal times keep their order.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// timeline runs events in order.
type timeline struct {
	now    time.Duration
	seq    int
	events eventHeap
	rng    *rand.Rand
}

func newTimeline(seed uint64) *timeline {
	return &timeline{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (t *timeline) after(d time.Duration, fn func()) {
	t.seq++
	heap.Push(&t.events, event{t.now + d, t.seq, fn})
}

func (t *timeline) every(d time.Duration, fn func()) {
	t.after(d, func() {
		fn()
		t.every(d, fn)
	})
}

func (t *timeline) run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.fn()
	}
	t.now = until
}

// serviceTime draws a lognormal time with the mean.
func (t *timeline) serviceTime(mean time.Duration) time.Duration {
	x := math.Exp(t.rng.NormFloat64()*spread - spread*spread/2)
	return max(time.Millisecond, time.Duration(float64(mean)*x))
}

// request is one unit of work of the generated demand.
type request struct {
	team, queue string
	length      time.Duration
	timeout     time.Duration
	enqueued    time.Duration
	// done is called when the request ended or was refused.
	done func(started bool)
}

// shardSim is one shard with its minions.
type shardSim struct {
	*timeline
	ix      *objects.Index
	service string
	members *membership.State
	core    *scheduler.Core
	epoch   uint64
	tickets map[uint64]*request
	// down minions neither announce nor finish anything.
	down map[string]bool
	// hosted is false while the shard has no granting host.
	hosted bool
	// onRun is called for each piece of work done, with where it ran.
	onRun   func(r *request, zone string, start, end time.Duration)
	onStart func(r *request, zone string)
	refused map[apiv1.ResultCode]int
	running map[string]uint32
	// Violations of invariants, all of which must stay 0.
	overLimit, overSlots int
	slotsUsed            map[string]int
	// open holds the grants not yet released, which a standby mirrors.
	open map[uint64]*openGrant
}

// openGrant is a grant as a standby knows it.
type openGrant struct {
	grant    *apiv1.Grant
	deadline time.Duration
	// inZone is true when an entry process of the zone that fails holds it.
	inZone bool
	// lost is set when that process is lost; the grant is never released.
	lost bool
}

func newShardSim(seed uint64, ix *objects.Index, service string) *shardSim {
	s := &shardSim{
		timeline: newTimeline(seed), ix: ix, service: service, members: membership.New(),
		tickets: map[uint64]*request{}, down: map[string]bool{}, hosted: true,
		refused: map[apiv1.ResultCode]int{}, running: map[string]uint32{}, slotsUsed: map[string]int{},
		open:  map[uint64]*openGrant{},
		onRun: func(*request, string, time.Duration, time.Duration) {}, onStart: func(*request, string) {},
	}
	s.openSession(1, "entry-1")
	s.members.SetConfig(2, ix)
	s.newHost(0)
	s.announce()
	s.every(announceEvery, s.announce)
	s.every(tickInterval, func() {
		if s.hosted {
			s.handle(s.core.Tick(s.now))
		}
	})
	s.every(reportInterval, s.report)
	return s
}

func (s *shardSim) openSession(index uint64, process string) {
	_, err := s.members.OpenSession(index, &apiv1.OpenSession{
		ProcessId: process, Incarnation: index, RpcAddress: "127.0.0.1:1", AvailabilityZone: zoneOf(s.ix, 1),
	})
	if err != nil {
		panic(err) // the arguments are constant
	}
}

func (s *shardSim) shardEpoch() uint64 {
	for _, shard := range s.members.Shards() {
		if shard.Service == s.service {
			return shard.Epoch
		}
	}
	return 0
}

func (s *shardSim) newHost(epoch uint64) {
	if epoch == 0 {
		epoch = s.shardEpoch()
	}
	s.epoch = epoch
	s.core = scheduler.NewCore(s.now, s.service, epoch)
	s.core.SetConfig(s.now, s.ix, nil)
	s.core.AddReported(s.now, s.mirrored())
	s.members.FinishRecovery(&apiv1.FinishRecovery{Service: s.service, Epoch: epoch, Demands: s.core.RecoveredDemands(s.now)})
	s.core.StartGranting()
	s.hosted = true
}

// mirrored returns the grants of earlier epochs that may still run.
func (s *shardSim) mirrored() *apiv1.GrantReport {
	report := &apiv1.GrantReport{SessionId: 1}
	for _, key := range slices.Sorted(maps.Keys(s.open)) {
		held := s.open[key]
		if held.deadline <= s.now {
			delete(s.open, key)
			continue
		}
		report.Grants = append(report.Grants, &apiv1.HeldGrant{
			GrantId: held.grant.GrantId, Epoch: held.grant.Epoch, MinionId: held.grant.MinionId, Team: held.grant.Team,
			RemainingMs: uint32((held.deadline - s.now).Milliseconds()),
		})
	}
	return report
}

func zoneOf(ix *objects.Index, i int) string {
	zones := ix.Set.AvailabilityZone
	return zones[i%len(zones)].Name
}

func minionName(i int) string { return "minion-" + string(rune('a'+i)) }

func (s *shardSim) announce() {
	for i := range minionsPerService {
		if s.down[zoneOf(s.ix, i)] || !s.hosted {
			continue
		}
		s.core.Announce(s.now, &apiv1.MinionAnnouncement{
			MinionId: minionName(i), Service: s.service, Vm: minionName(i), AvailabilityZone: zoneOf(s.ix, i),
			Rack: "rack-" + string(rune('0'+i/rackSize)), Slots: slotsPerMinion, Connections: 64, Address: "127.0.0.1:1",
		})
	}
}

func (s *shardSim) report() {
	if !s.hosted || !s.core.DemandChanged(s.now) {
		return
	}
	cmd := s.core.Report(s.now)
	out, err := s.members.ReportDemand(cmd)
	if err == nil {
		s.core.ApplyAllotments(s.now, cmd.Sequence, out)
	}
	s.handle(s.core.Step(s.now))
}

func (s *shardSim) submit(r *request) {
	r.enqueued = s.now
	if !s.hosted {
		s.refuse(r, apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE)
		return
	}
	ticket, err := s.core.Enqueue(s.now, &apiv1.AcquireRequest{
		Service: s.service, Epoch: s.epoch, SessionId: 1, Team: r.team, Queue: r.queue,
		TimeoutMs: uint32(r.timeout.Milliseconds()),
	})
	if err != nil {
		s.refuse(r, err.Code)
		return
	}
	s.tickets[ticket] = r
	s.handle(s.core.Step(s.now))
}

func (s *shardSim) refuse(r *request, code apiv1.ResultCode) {
	s.refused[code]++
	r.done(false)
}

func (s *shardSim) handle(outcomes []scheduler.Outcome) {
	for _, o := range outcomes {
		r := s.tickets[o.Ticket]
		delete(s.tickets, o.Ticket)
		if o.Err != nil {
			s.refuse(r, o.Err.Code)
			continue
		}
		s.start(r, o.Grant)
	}
}

func (s *shardSim) start(r *request, g *apiv1.Grant) {
	start := s.now
	held := &openGrant{grant: g, deadline: r.enqueued + r.timeout, inZone: s.rng.IntN(len(s.ix.Set.AvailabilityZone)) == 0}
	s.open[g.Epoch<<32|g.GrantId] = held
	s.onStart(r, g.AvailabilityZone)
	s.running[r.team]++
	s.slotsUsed[g.MinionId]++
	if s.running[r.team] > s.ix.MaxRunning(r.team) {
		s.overLimit++
	}
	if s.slotsUsed[g.MinionId] > slotsPerMinion {
		s.overSlots++
	}
	// The entry cuts a request at its deadline.
	length := min(r.length, r.enqueued+r.timeout-s.now)
	s.after(length, func() {
		s.running[r.team]--
		s.slotsUsed[g.MinionId]--
		outcome := apiv1.GrantOutcome_GRANT_OUTCOME_DONE
		if s.down[g.AvailabilityZone] {
			outcome = apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED
		} else {
			s.onRun(r, g.AvailabilityZone, start, s.now)
		}
		if !held.lost {
			delete(s.open, g.Epoch<<32|g.GrantId)
		}
		if s.hosted && !held.lost {
			s.core.Release(s.now, &apiv1.ReleaseRequest{
				Service: s.service, Epoch: g.Epoch, GrantId: g.GrantId, SessionId: 1, Outcome: outcome,
			})
			s.handle(s.core.Step(s.now))
		}
		r.done(true)
	})
}
