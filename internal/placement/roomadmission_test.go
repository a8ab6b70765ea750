package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// roomHarness is a harness with two pools, "p" and "other", of ten minions with 16 cores
// each, and with two queues that lead to the first, of which "urgent" goes first.
type roomHarness struct {
	*harness
	queue, urgent, other *apiv1.BatchQueue
	admission            *RoomAdmission
	lost                 map[string]bool
	arrivals             map[string][]Arrival
}

// newRoomHarness returns a harness with the accounts given, by their weights. The latency
// limit of a job of half a second is 1.25 s.
func newRoomHarness(weights map[string]uint32, limit *apiv1.Resources) *roomHarness {
	newQueue := func(name, pool string, priority uint32) *apiv1.BatchQueue {
		return &apiv1.BatchQueue{Name: name, PathPrefix: "/" + name + "/", Pool: pool, Priority: priority, MaxAttempts: 3, StretchMilli: 1500, TargetLatencyMs: 500}
	}
	h := &roomHarness{
		harness: &harness{state: batch.New(), health: map[batch.Incarnation]Health{}}, admission: NewRoomAdmission(), lost: map[string]bool{},
		queue: newQueue("q", "p", 1), urgent: newQueue("urgent", "p", 0), other: newQueue("o", "other", 1),
	}
	catalog := &apiv1.Catalog{Version: 1, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "other"}}, Queues: []*apiv1.BatchQueue{h.queue, h.urgent, h.other}}
	for name, weight := range weights {
		catalog.Accounts = append(catalog.Accounts, &apiv1.BatchAccount{Name: name, Weight: weight, Limit: limit})
	}
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: catalog}})
	for i := range 20 {
		pool := []string{"p", "other"}[i%2]
		inc := batch.Incarnation{ID: fmt.Sprintf("%s-%02d", pool, i/2), StartedMS: 1}
		h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{
			Life: inc.Message(), Pool: pool, AvailabilityZone: "z", Capacity: &apiv1.Resources{CpuMillis: 16_000, MemoryMb: 64_000},
		}}}}})
		h.health[inc] = Health{Usable: true}
	}
	h.forecast()
	return h
}

// forecast makes a new forecast from the state.
func (h *roomHarness) forecast() {
	h.admission.SetForecast(NewForecast(ForecastInput{
		State: h.state, NowUnixMS: nowMS, Arrivals: h.arrivals, TakesWork: func(m *apiv1.BatchMinion) bool { return !h.lost[m.Life.Id] },
	}))
}

// offer submits a job of eight tasks of a core and half a second if it is accepted.
func (h *roomHarness) offer(q *apiv1.BatchQueue, account, id string) Refusal {
	j := &apiv1.BatchJob{Id: id, Queue: q.Name, Account: account, AcceptedQueue: q, Steps: []*apiv1.BatchStep{newStep(8, 1000)}}
	r := h.admission.Decide(time.Minute, q, j)
	if r.Reason == "" {
		h.admission.Add(q, j)
		h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: j}})
	}
	return r
}

// flood offers jobs of an account and returns how many were accepted.
func (h *roomHarness) flood(q *apiv1.BatchQueue, account, id string, n int) (accepted int) {
	for i := range n {
		if h.offer(q, account, fmt.Sprint(id, i)).Reason == "" {
			accepted++
		}
	}
	return accepted
}

// Load: a queue's turn at several times what its pool holds. Guards against jobs that are
// accepted and wait until their result has no value, and against refusals in a pool that
// has room. In three times the limit less the job's own time the pool does 160 cores times
// 3.25 s, which is 130 jobs of 4 core-seconds.
func TestTurnBeyondTheRoomIsRefused(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1}, nil)
	accepted := h.flood(h.queue, "a", "j", 500)
	g.Expect(accepted).To(And(BeNumerically(">=", 30), BeNumerically("<", 130)))
	g.Expect(h.offer(h.other, "a", "elsewhere")).To(BeZero())
	h.forecast()
	g.Expect(h.offer(h.queue, "a", "again").Reason).NotTo(BeEmpty(), "the forecast from the state says the same")
}

// Load: one account at many times its usual. Guards against a flood that leaves no room
// for the few jobs of another account, and against one that gets more than its share once
// others come.
func TestFloodOfOneAccountLeavesOthersTheirShare(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"large": 1, "small": 1}, nil)
	h.flood(h.queue, "large", "flood", 500)
	g.Expect(h.flood(h.queue, "small", "few", 5)).To(Equal(5))
	g.Expect(h.offer(h.queue, "large", "more").Reason).NotTo(BeEmpty())
}

// Load: all accounts at once, each more than its share. Guards against room that goes to
// whoever sends first and most. Of the work that the pool does within the slack of 0.75 s,
// 25 jobs, three quarters are the share of the heavier account.
func TestAccountsGetRoomByWeight(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"three": 3, "one": 1}, nil)
	h.flood(h.queue, "one", "first", 200)
	g.Expect(h.flood(h.queue, "three", "three", 200)).To(BeNumerically("~", 19, 1))
	g.Expect(h.offer(h.queue, "one", "more").Reason).NotTo(BeEmpty())
}

// Load: a turn that begins while machines are on their way to the pool. Guards against
// refusals of jobs that can be done once the machines are there.
func TestMachinesOnTheirWayCount(t *testing.T) {
	g := NewWithT(t)
	accepted := func(arrivals map[string][]Arrival) int {
		h := newRoomHarness(map[string]uint32{"a": 1}, nil)
		h.arrivals = arrivals
		h.forecast()
		return h.flood(h.queue, "a", "j", 1000)
	}
	without := accepted(nil)
	g.Expect(accepted(map[string][]Arrival{"p": {{CPUMillis: 320_000, InMS: 1000}}})).To(BeNumerically(">=", 2*without))
	g.Expect(accepted(map[string][]Arrival{"p": {{CPUMillis: 320_000, InMS: 60_000}}})).To(Equal(without), "too late for these jobs")
}

// Load: a quarter of a pool lost in a burst, at a new leader that has only the state.
// Guards against jobs that are accepted as if the lost minions still ran tasks, and against
// a new leader that accepts what is too much since it doesn't know the backlog.
func TestLostMinionsAndBacklogCountAtANewLeader(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1}, nil)
	full := h.flood(h.queue, "a", "j", 500)
	for i := range 3 {
		h.lost[fmt.Sprintf("p-%02d", i)] = true
	}
	h.admission = NewRoomAdmission()
	h.forecast()
	g.Expect(h.flood(h.queue, "a", "new-leader", 100)).To(BeZero())

	fresh := newRoomHarness(map[string]uint32{"a": 1}, nil)
	fresh.lost = h.lost
	fresh.forecast()
	g.Expect(fresh.flood(fresh.queue, "a", "j", 500)).To(BeNumerically("<", full*8/10))
}

// Load: an account that sends more than its limit lets run. Guards against jobs that are
// accepted and wait for the limit while the fleet is idle, and against callers that all
// return at the same time.
func TestJobsBeyondTheAccountsLimitAreRefused(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1, "b": 1}, &apiv1.Resources{CpuMillis: 16_000})
	accepted := h.flood(h.queue, "a", "j", 20)
	g.Expect(accepted).To(Equal(3), "16 cores do three jobs of 4 core-seconds within 0.75 s of slack")
	first := h.offer(h.queue, "a", "beyond")
	g.Expect(first.Reason).To(Equal(ReasonLimit))
	g.Expect(h.offer(h.queue, "a", "further").RetryAfter).To(BeNumerically(">", first.RetryAfter))
	g.Expect(h.offer(h.queue, "b", "other")).To(BeZero())
}

// Load: refused callers of two priorities. Guards against returns at the same moment, and
// against urgent callers that are asked to wait for less urgent ones.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1}, nil)
	h.flood(h.urgent, "a", "urgent", 500)
	first := h.offer(h.queue, "a", "first").RetryAfter
	for i := range 50 {
		h.offer(h.queue, "a", fmt.Sprint("next", i))
	}
	g.Expect(h.offer(h.queue, "a", "last").RetryAfter).To(BeNumerically(">", first))
	g.Expect(h.offer(h.urgent, "a", "more-urgent").RetryAfter).To(BeNumerically("<", h.offer(h.queue, "a", "after").RetryAfter))
}

// Guards against refusals where nothing is known: of a pool without recorded minions, and
// before the first forecast.
func TestNothingIsRefusedWithoutAForecast(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1}, nil)
	job := &apiv1.BatchJob{Account: "a", Steps: []*apiv1.BatchStep{newStep(1000, 16_000)}}
	g.Expect(NewRoomAdmission().Decide(0, h.queue, job)).To(BeZero())
	unknown := &apiv1.BatchQueue{Name: "n", Pool: "new", StretchMilli: 1500, TargetLatencyMs: 500}
	g.Expect(h.admission.Decide(0, unknown, job)).To(BeZero())
}

// Checks the invariants of admission with random jobs: accounts above their share never
// take more than the plannable room, an account without work gets a small job in, and
// no retry time is negative.
func FuzzRoomAdmission(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 200, 100, 50, 25})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		h := newRoomHarness(map[string]uint32{"a": 1, "b": 7, "c": 50, "idle": 1}, nil)
		p := h.admission.forecast.pools["p"]
		for i, b := range data {
			account := []string{"a", "b", "c"}[int(b)%3]
			step := newStep(uint32(b)%32+1, uint32(b)*60+100)
			j := &apiv1.BatchJob{Id: fmt.Sprint(i), Account: account, Steps: []*apiv1.BatchStep{step}}
			queue := []*apiv1.BatchQueue{h.queue, h.urgent}[i%2]
			before := p.ahead(queue.Priority)
			work, limit, path := h.admission.forecast.jobWork(j), latencyLimitMS(queue, j), criticalPathMS(j)
			belowShare := h.admission.belowShare(time.Minute, p, queue, account, work, p.plannable(limit-path))
			r := h.admission.Decide(time.Minute, queue, j)
			g.Expect(r.RetryAfter).To(BeNumerically(">=", 0))
			if r.Reason != "" {
				g.Expect(belowShare).To(BeFalse(), "an account below its share is refused")
				continue
			}
			if !belowShare && before != (queuedWork{}) {
				g.Expect(before.onTime + work).To(BeNumerically("<=", p.plannable(lateFactor*limit-path)))
			}
			h.admission.Add(queue, j)
		}
		small := &apiv1.BatchJob{Id: "idle", Account: "idle", Steps: []*apiv1.BatchStep{newStep(1, 100)}}
		g.Expect(h.admission.Decide(time.Minute, h.urgent, small)).To(BeZero())
	})
}

// Guards against a job that is refused in calm, and again each time it comes back, since
// it alone is more than the pool or the account's limit does within the slack: machines
// come for it, its steps run in waves, and nobody else waits.
func TestLargeJobIsAcceptedInCalm(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1}, &apiv1.Resources{CpuMillis: 16_000})
	large := &apiv1.BatchJob{Id: "large", Account: "a", Steps: []*apiv1.BatchStep{newStep(5000, 1000)}}
	g.Expect(h.admission.Decide(0, h.queue, large)).To(BeZero())
	h.admission.Add(h.queue, large)
	g.Expect(h.admission.Decide(0, h.queue, large).Reason).To(Equal(ReasonLimit))
}

// Guards against sums that overflow, so that a pool seems to have no room or its backlog
// seems negative: the largest estimates, widths and latency limits that a job may have.
func TestLargestJobsDoNotOverflowTheForecast(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1}, nil)
	step := newStep(maxUint16, 4_000_000_000)
	step.Resources.MemoryMb, step.EstimatedMs = 4_000_000_000, 4_000_000_000
	huge := &apiv1.BatchQueue{Name: "huge", Pool: "p", Priority: 1, StretchMilli: 4_000_000_000, TargetLatencyMs: 4_000_000_000}
	for i := range 50 {
		j := &apiv1.BatchJob{Id: fmt.Sprint(i), Account: "a", Steps: []*apiv1.BatchStep{step, step, step}}
		h.admission.Decide(0, huge, j)
		h.admission.Add(huge, j)
	}
	sum := h.admission.forecast.pools["p"].ahead(1)
	g.Expect(sum.onTime).To(BeNumerically(">", 0))
	g.Expect(h.admission.forecast.pools["p"].capacity(1 << 53)).To(BeNumerically(">", 0))
	g.Expect(h.admission.forecast.accounts["a"].queued.MemoryMB).To(BeNumerically(">", 0))
	g.Expect(h.offer(h.queue, "a", "small").Reason).NotTo(BeEmpty())
}

const maxUint16 = 1<<16 - 1

// Load: a turn far beyond the room of a small pool. Guards against a pool that gets no
// machines for the jobs that it refuses, and refuses them for as long as they come.
func TestRefusedWorkIsDemand(t *testing.T) {
	g := NewWithT(t)
	h := newRoomHarness(map[string]uint32{"a": 1}, nil)
	accepted := h.flood(h.queue, "a", "j", 300)
	// Each job takes 4 core-seconds.
	g.Expect(h.admission.RefusedCPU(time.Minute)).To(HaveKeyWithValue("p", int64(300-accepted)*4000))
	g.Expect(h.admission.RefusedCPU(time.Minute + 1500*time.Millisecond)).To(HaveKey("p"))
	g.Expect(h.admission.RefusedCPU(time.Minute + 3*time.Second)).To(BeEmpty())
}
