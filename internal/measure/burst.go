package measure

import (
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	burstSimDuration = 120 * time.Second
	burstPeriod      = 5 * time.Second
	burstServiceTime = 100 * time.Millisecond
	burstHighFactor  = 5.0
	burstLowFactor   = 0.05
	// lowPeriods is the number of periods of low demand after each burst: queues
	// take turns at having a burst.
	lowPeriods = 4
)

// peakDemands are the demands of a burst in proportion to the capacity of the
// pool's slots.
var peakDemands = []float64{1.1, 1.25, 1.5}

// BurstResult is the time that requests waited for their start under alternating
// high and low demand.
type BurstResult struct {
	Service    string
	Priority   string
	Timeout    time.Duration
	PeakDemand float64 // demand of a burst in proportion to the pool's slots
	Requests   int
	P50, P99   time.Duration
	MaxWait    time.Duration
	// NotRunPercent is the percentage of requests that were refused.
	NotRunPercent float64
	// IdealP99 is the 99th percentile of the wait in a single first-in first-out
	// queue for all slots that refuses no request. No policy that keeps the slots
	// busy does better for equal requests.
	IdealP99 time.Duration
	// Violations is how often a team exceeded its limit or a minion its slots.
	Violations int
}

// Burst measures the first request queue of each priority that is not open, with
// the longest timeout that its service allows and with each peak demand.
func Burst(ix *objects.Index, seed uint64) []BurstResult {
	var out []BurstResult
	seen := map[apiv1.Priority]bool{}
	for _, q := range ix.Set.Queue {
		if q.Service == "" || q.Open || seen[q.Priority] {
			continue
		}
		seen[q.Priority] = true
		timeout := time.Duration(ix.Services[q.Service].MaxDeadlineMs) * time.Millisecond
		for _, peak := range peakDemands {
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
	mean := float64(slots) / burstServiceTime.Seconds() * peak / burstHighFactor
	var arrive func()
	arrive = func() {
		requests++
		r := &request{
			team: q.Teams[s.rng.IntN(len(q.Teams))], queue: q.Name,
			serviceTime: s.serviceTime(burstServiceTime), timeout: timeout,
		}
		r.done = func(started bool) {
			if !started {
				refused++
			}
		}
		s.submit(r)
		s.after(s.timeToNextArrival(mean), arrive)
	}
	s.after(0, arrive)
	s.run(burstSimDuration)
	out := BurstResult{
		Service: q.Service, Priority: priorityName(q.Priority), Timeout: timeout, PeakDemand: peak, Requests: requests,
		NotRunPercent: 100 * float64(refused) / float64(requests), Violations: s.overLimit + s.overSlots,
	}
	out.P50, out.P99, out.MaxWait = percentiles(waits)
	out.IdealP99 = idealP99Wait(mean, seed)
	return out
}

// idealP99Wait returns BurstResult.IdealP99 for the given mean demand, in requests
// per second.
func idealP99Wait(mean float64, seed uint64) time.Duration {
	queue := &slotQueue{timeline: newTimeline(seed), freeSlots: slots, pick: pickFirst, usage: &usage{}}
	var waits []time.Duration
	queue.onStart = func(r *request) { waits = append(waits, queue.now-r.enqueued) }
	var arrive func()
	arrive = func() {
		queue.enqueue(&request{serviceTime: queue.serviceTime(burstServiceTime), enqueued: queue.now, done: func(bool) {}})
		queue.after(queue.timeToNextArrival(mean), arrive)
	}
	queue.after(0, arrive)
	queue.run(burstSimDuration)
	_, p99, _ := percentiles(waits)
	return p99
}

// timeToNextArrival returns a random time to the next request at the rate of the
// current period. Arrivals are a Poisson process.
func (t *timeline) timeToNextArrival(meanPerSecond float64) time.Duration {
	rate := meanPerSecond * burstLowFactor
	if int(t.now/burstPeriod)%(lowPeriods+1) == 0 {
		rate = meanPerSecond * burstHighFactor
	}
	wait := time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second))
	// A long interval at the low rate must not skip the start of the next burst.
	periodLeft := burstPeriod - t.now%burstPeriod
	return min(wait, periodLeft)
}

// percentiles sorts waits and returns its 50th and 99th percentiles and its
// maximum.
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
