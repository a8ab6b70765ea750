package measure

import (
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	burstLength = 120 * time.Second
	burstTurn   = 5 * time.Second
	burstMean   = 100 * time.Millisecond
	burstHigh   = 5.0
	burstLow    = 0.05
	// quietTurns of low demand follow each burst, as the queues have their
	// bursts in turn.
	quietTurns = 4
)

// peaks are the demand of a burst as a part of what the pool holds.
var peaks = []float64{1.1, 1.25, 1.5}

// BurstResult is how soon requests start under demand by turns.
type BurstResult struct {
	Service   string
	Priority  string
	Timeout   time.Duration
	Peak      float64
	Requests  int
	P50, P99  time.Duration
	Longest   time.Duration
	NotRunPct float64
	// IdealP99 is the wait in a single first-in first-out queue for all slots
	// without any refusal: no policy that keeps the slots busy does better for
	// equal requests.
	IdealP99 time.Duration
	// Violations of limits and slots.
	Violations int
}

// Burst measures one request queue of each priority, with the longest timeout
// that its service allows.
func Burst(ix *objects.Index, seed uint64) []BurstResult {
	var out []BurstResult
	seen := map[apiv1.Priority]bool{}
	for _, q := range ix.Set.Queue {
		if q.Service == "" || q.Open || seen[q.Priority] {
			continue
		}
		seen[q.Priority] = true
		timeout := time.Duration(ix.Services[q.Service].MaxDeadlineMs) * time.Millisecond
		for _, peak := range peaks {
			out = append(out, burst(ix, q, timeout, peak, seed))
		}
	}
	return out
}

func burst(ix *objects.Index, q *apiv1.Queue, timeout time.Duration, peak float64, seed uint64) BurstResult {
	s := newShardSim(seed, ix, q.Service)
	var waits []time.Duration
	requests, refused := 0, 0
	s.onStart = func(r *request, _ string) { waits = append(waits, s.now-r.enqueued) }
	mean := float64(slots) / burstMean.Seconds() * peak / burstHigh
	var arrive func()
	arrive = func() {
		requests++
		r := &request{
			team: q.Teams[s.rng.IntN(len(q.Teams))], queue: q.Name,
			length: s.serviceTime(burstMean), timeout: timeout,
		}
		r.done = func(started bool) {
			if !started {
				refused++
			}
		}
		s.submit(r)
		s.after(s.nextArrival(mean), arrive)
	}
	s.after(0, arrive)
	s.run(burstLength)
	out := BurstResult{
		Service: q.Service, Priority: priorityName(q.Priority), Timeout: timeout, Peak: peak, Requests: requests,
		NotRunPct: 100 * float64(refused) / float64(requests), Violations: s.overLimit + s.overSlots,
	}
	out.P50, out.P99, out.Longest = percentiles(waits)
	out.IdealP99 = idealWait(mean, seed)
	return out
}

// idealWait is the p99 wait of the same demand in one queue for all slots.
func idealWait(mean float64, seed uint64) time.Duration {
	b := &slotQueue{timeline: newTimeline(seed), free: slots, pick: firstIn, u: &usage{}}
	var waits []time.Duration
	b.onStart = func(r *request) { waits = append(waits, b.now-r.enqueued) }
	var arrive func()
	arrive = func() {
		b.submit(&request{length: b.serviceTime(burstMean), enqueued: b.now, done: func(bool) {}})
		b.after(b.nextArrival(mean), arrive)
	}
	b.after(0, arrive)
	b.run(burstLength)
	_, p99, _ := percentiles(waits)
	return p99
}

// nextArrival draws the time to the next request of the present turn.
func (t *timeline) nextArrival(meanPerSecond float64) time.Duration {
	rate := meanPerSecond * burstLow
	if int(t.now/burstTurn)%(quietTurns+1) == 0 {
		rate = meanPerSecond * burstHigh
	}
	wait := time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second))
	// A draw at the low rate must not skip over the next burst.
	left := burstTurn - t.now%burstTurn
	return min(wait, left)
}

func percentiles(waits []time.Duration) (p50, p99, longest time.Duration) {
	if len(waits) == 0 {
		return 0, 0, 0
	}
	slices.Sort(waits)
	at := func(p float64) time.Duration { return waits[int(p*float64(len(waits)-1))] }
	return at(0.5), at(0.99), waits[len(waits)-1]
}

func priorityName(p apiv1.Priority) string {
	switch p {
	case apiv1.Priority_PRIORITY_URGENT:
		return "urgent"
	case apiv1.Priority_PRIORITY_OVERNIGHT:
		return "overnight"
	default:
		return "normal"
	}
}
