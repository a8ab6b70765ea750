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
	// meanLoad is the mean demand of the queue as a part of its pool; five
	// times of it is half as much again as the pool holds.
	meanLoad  = 0.3
	burstHigh = 5.0
	burstLow  = 0.05
	// quietTurns of low demand follow each burst, as the queues have their
	// bursts in turn.
	quietTurns = 4
)

// BurstResult is how soon requests start under demand by turns.
type BurstResult struct {
	Service   string
	Priority  string
	Timeout   time.Duration
	Requests  int
	P50, P99  time.Duration
	Longest   time.Duration
	NotRunPct float64
	// Violations of limits and slots.
	Violations int
}

// Burst measures every request queue with one tablet-like timeout and with the
// longest that its service allows.
func Burst(ix *objects.Index, seed uint64) []BurstResult {
	var out []BurstResult
	for _, q := range ix.Set.Queue {
		if q.Service == "" || q.Open {
			continue
		}
		longest := time.Duration(ix.Services[q.Service].MaxDeadlineMs) * time.Millisecond
		out = append(out, burst(ix, q, longest, seed))
		if short := time.Second; short < longest && q.Priority == apiv1.Priority_PRIORITY_URGENT {
			out = append(out, burst(ix, q, short, seed))
		}
	}
	return out
}

func burst(ix *objects.Index, q *apiv1.Queue, timeout time.Duration, seed uint64) BurstResult {
	s := newShardSim(seed, ix, q.Service)
	var waits []time.Duration
	requests, refused := 0, 0
	s.onStart = func(r *request, _ string) { waits = append(waits, s.now-r.enqueued) }
	mean := float64(slots) / burstMean.Seconds() * meanLoad
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
		Service: q.Service, Priority: priorityName(q.Priority), Timeout: timeout, Requests: requests,
		NotRunPct: 100 * float64(refused) / float64(requests), Violations: s.overLimit + s.overSlots,
	}
	out.P50, out.P99, out.Longest = percentiles(waits)
	return out
}

// nextArrival draws the time to the next request of the present turn.
func (s *shardSim) nextArrival(meanPerSecond float64) time.Duration {
	rate := meanPerSecond * burstLow
	if int(s.now/burstTurn)%(quietTurns+1) == 0 {
		rate = meanPerSecond * burstHigh
	}
	wait := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	// A draw at the low rate must not skip over the next burst.
	left := burstTurn - s.now%burstTurn
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
