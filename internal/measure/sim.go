// Package measure runs the packages that make decisions (scheduler, membership and
// fleet) with generated demand, service times and failures, and reports how well
// their policies work. It uses no network, clock or goroutine, so equal seeds give
// equal results. The command bergamot-measure calls it.
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
	// demandReportInterval is the interval between a shard's reports of its demand.
	demandReportInterval = 100 * time.Millisecond
	tickInterval         = 50 * time.Millisecond
	announceInterval     = time.Second
	// serviceTimeSigma is the sigma of the lognormal service times. With it the 95th
	// percentile is 10 times the 5th.
	serviceTimeSigma = 0.7
)

// event is a function to call at a simulated time. Events at the same time are
// called in the order in which they were added.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventHeap is a heap.Interface with the next event on top.
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

// timeline holds the simulated time, the events to come and the source of random
// numbers.
type timeline struct {
	now    time.Duration
	seq    int
	events eventHeap
	rng    *rand.Rand
}

func newTimeline(seed uint64) *timeline {
	return &timeline{rng: rand.New(rand.NewPCG(seed, seed))}
}

// after calls fn once d has passed.
func (t *timeline) after(d time.Duration, fn func()) {
	t.seq++
	heap.Push(&t.events, event{t.now + d, t.seq, fn})
}

// every calls fn at intervals of d.
func (t *timeline) every(d time.Duration, fn func()) {
	t.after(d, func() {
		fn()
		t.every(d, fn)
	})
}

// run calls the events up to the given time.
func (t *timeline) run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.fn()
	}
	t.now = until
}

// serviceTime returns a random service time from a lognormal distribution with the
// given mean, at least 1 ms.
func (t *timeline) serviceTime(mean time.Duration) time.Duration {
	x := math.Exp(t.rng.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2)
	return max(time.Millisecond, time.Duration(float64(mean)*x))
}

// request is a generated request.
type request struct {
	team, queue string
	serviceTime time.Duration
	timeout     time.Duration
	enqueued    time.Duration
	// done is called when the request has ended, with true, or was refused, with
	// false.
	done func(started bool)
}

// shardSim simulates one shard, its minions and the entry processes that send
// requests to it; these share one session.
type shardSim struct {
	*timeline
	ix               *objects.Index
	service          string
	members          *membership.State
	core             *scheduler.Core
	epoch            uint64
	requestsByTicket map[uint64]*request
	// zonesDown holds the zones whose minions neither announce themselves nor
	// complete requests.
	zonesDown map[string]bool
	// hasHost is false while the shard has no host that grants requests.
	hasHost bool
	// onRun is called for each completed request, with the zone in which it ran;
	// onStart is called when a request starts.
	onRun         func(r *request, zone string, start, end time.Duration)
	onStart       func(r *request, zone string)
	refusals      map[apiv1.ResultCode]int
	runningByTeam map[string]uint32
	// How often a team exceeded its limit and a minion its slots; both must stay 0.
	overLimit, overSlots int
	slotsUsedByMinion    map[string]int
	// openGrants holds the grants that have not been released, which a standby
	// mirrors. The key is the epoch in the upper 32 bits and the grant id below.
	openGrants map[uint64]*openGrant
}

// openGrant is a grant as the shard's standby mirrors it.
type openGrant struct {
	grant    *apiv1.Grant
	deadline time.Duration
	// inLostZone is set if an entry process of the zone that fails holds the grant.
	// The zone of the entry process is random.
	inLostZone bool
	// holderLost is set when that entry process is lost; the grant is then never
	// released.
	holderLost bool
}

func newShardSim(seed uint64, ix *objects.Index, service string) *shardSim {
	s := &shardSim{
		timeline: newTimeline(seed), ix: ix, service: service, members: membership.New(),
		requestsByTicket: map[uint64]*request{}, zonesDown: map[string]bool{}, hasHost: true,
		refusals: map[apiv1.ResultCode]int{}, runningByTeam: map[string]uint32{}, slotsUsedByMinion: map[string]int{},
		openGrants: map[uint64]*openGrant{},
		onRun:      func(*request, string, time.Duration, time.Duration) {}, onStart: func(*request, string) {},
	}
	s.openSession(1, "entry-1")
	s.members.SetConfig(2, ix)
	s.startHost(0)
	s.announceMinions()
	s.every(announceInterval, s.announceMinions)
	s.every(tickInterval, func() {
		if s.hasHost {
			s.handleOutcomes(s.core.Tick(s.now))
		}
	})
	s.every(demandReportInterval, s.reportDemand)
	return s
}

func (s *shardSim) openSession(index uint64, process string) {
	_, err := s.members.OpenSession(index, &apiv1.OpenSession{
		ProcessId: process, Incarnation: index, RpcAddress: "127.0.0.1:1", AvailabilityZone: zoneOf(s.ix, 1),
	})
	if err != nil {
		panic(err) // cannot happen: the arguments are valid
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

// startHost starts a host of the shard, which recovers the grants of earlier epochs
// from their mirror. Epoch 0 stands for the shard's epoch in the membership state.
func (s *shardSim) startHost(epoch uint64) {
	if epoch == 0 {
		epoch = s.shardEpoch()
	}
	s.epoch = epoch
	s.core = scheduler.NewCore(s.now, s.service, epoch)
	s.core.SetConfig(s.now, s.ix, nil)
	s.core.AddReported(s.now, s.mirroredGrants())
	s.members.FinishRecovery(&apiv1.FinishRecovery{Service: s.service, Epoch: epoch, Demands: s.core.RecoveredDemands(s.now)})
	s.core.StartGranting()
	s.hasHost = true
}

// mirroredGrants returns the open grants whose requests may still run, and drops
// those whose deadline has passed.
func (s *shardSim) mirroredGrants() *apiv1.GrantReport {
	report := &apiv1.GrantReport{SessionId: 1}
	for _, key := range slices.Sorted(maps.Keys(s.openGrants)) {
		held := s.openGrants[key]
		if held.deadline <= s.now {
			delete(s.openGrants, key)
			continue
		}
		report.Grants = append(report.Grants, &apiv1.HeldGrant{
			GrantId: held.grant.GrantId, Epoch: held.grant.Epoch, MinionId: held.grant.MinionId, Team: held.grant.Team,
			RemainingMs: uint32((held.deadline - s.now).Milliseconds()),
		})
	}
	return report
}

// zoneOf returns the zone of minion or rack i; zones are assigned in turn.
func zoneOf(ix *objects.Index, i int) string {
	zones := ix.Set.AvailabilityZone
	return zones[i%len(zones)].Name
}

func minionName(i int) string { return "minion-" + string(rune('a'+i)) }

func (s *shardSim) announceMinions() {
	for i := range minionsPerService {
		if s.zonesDown[zoneOf(s.ix, i)] || !s.hasHost {
			continue
		}
		s.core.Announce(s.now, &apiv1.MinionAnnouncement{
			MinionId: minionName(i), Service: s.service, Vm: minionName(i), AvailabilityZone: zoneOf(s.ix, i),
			Rack: "rack-" + string(rune('0'+i/rackSize)), Slots: slotsPerMinion, Connections: 64, Address: "127.0.0.1:1",
		})
	}
}

// reportDemand reports the shard's demand to the membership state if it changed and
// applies the allotments that follow.
func (s *shardSim) reportDemand() {
	if !s.hasHost || !s.core.DemandChanged(s.now) {
		return
	}
	cmd := s.core.Report(s.now)
	out, err := s.members.ReportDemand(cmd)
	if err == nil {
		s.core.ApplyAllotments(s.now, cmd.Sequence, out)
	}
	s.handleOutcomes(s.core.Step(s.now))
}

func (s *shardSim) submit(r *request) {
	r.enqueued = s.now
	if !s.hasHost {
		s.refuseRequest(r, apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE)
		return
	}
	ticket, err := s.core.Enqueue(s.now, &apiv1.AcquireRequest{
		Service: s.service, Epoch: s.epoch, SessionId: 1, Team: r.team, Queue: r.queue,
		TimeoutMs: uint32(r.timeout.Milliseconds()),
	})
	if err != nil {
		s.refuseRequest(r, err.Code)
		return
	}
	s.requestsByTicket[ticket] = r
	s.handleOutcomes(s.core.Step(s.now))
}

func (s *shardSim) refuseRequest(r *request, code apiv1.ResultCode) {
	s.refusals[code]++
	r.done(false)
}

// handleOutcomes starts or refuses the requests on which the scheduler decided.
func (s *shardSim) handleOutcomes(outcomes []scheduler.Outcome) {
	for _, o := range outcomes {
		r := s.requestsByTicket[o.Ticket]
		delete(s.requestsByTicket, o.Ticket)
		if o.Err != nil {
			s.refuseRequest(r, o.Err.Code)
			continue
		}
		s.startRequest(r, o.Grant)
	}
}

// startRequest runs a granted request and releases the grant at its end.
func (s *shardSim) startRequest(r *request, g *apiv1.Grant) {
	start := s.now
	held := &openGrant{grant: g, deadline: r.enqueued + r.timeout, inLostZone: s.rng.IntN(len(s.ix.Set.AvailabilityZone)) == 0}
	s.openGrants[g.Epoch<<32|g.GrantId] = held
	s.onStart(r, g.AvailabilityZone)
	s.runningByTeam[r.team]++
	s.slotsUsedByMinion[g.MinionId]++
	if s.runningByTeam[r.team] > s.ix.MaxRunning(r.team) {
		s.overLimit++
	}
	if s.slotsUsedByMinion[g.MinionId] > slotsPerMinion {
		s.overSlots++
	}
	// The entry process aborts a request at its deadline.
	length := min(r.serviceTime, r.enqueued+r.timeout-s.now)
	s.after(length, func() {
		s.runningByTeam[r.team]--
		s.slotsUsedByMinion[g.MinionId]--
		outcome := apiv1.GrantOutcome_GRANT_OUTCOME_DONE
		if s.zonesDown[g.AvailabilityZone] {
			outcome = apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED
		} else {
			s.onRun(r, g.AvailabilityZone, start, s.now)
		}
		if !held.holderLost {
			delete(s.openGrants, g.Epoch<<32|g.GrantId)
		}
		if s.hasHost && !held.holderLost {
			s.core.Release(s.now, &apiv1.ReleaseRequest{
				Service: s.service, Epoch: g.Epoch, GrantId: g.GrantId, SessionId: 1, Outcome: outcome,
			})
			s.handleOutcomes(s.core.Step(s.now))
		}
		r.done(true)
	})
}
