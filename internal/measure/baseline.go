package measure

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// slotQueue is a set of slots with one queue. The scheduler is compared with
// baselines that consist of one or several of them.
type slotQueue struct {
	*timeline
	freeSlots int
	queue     []*request
	// pick returns the index of the request that starts next.
	pick  func(queue []*request) int
	usage *usage
	// onStart, if not nil, is called when a request starts.
	onStart func(r *request)
}

func (q *slotQueue) enqueue(r *request) {
	q.queue = append(q.queue, r)
	q.startNext()
}

// startNext starts requests as long as there are free slots.
func (q *slotQueue) startNext() {
	for q.freeSlots > 0 && len(q.queue) > 0 {
		next := q.pick(q.queue)
		r := q.queue[next]
		q.queue = append(q.queue[:next], q.queue[next+1:]...)
		q.freeSlots--
		start := q.now
		if q.onStart != nil {
			q.onStart(r)
		}
		q.after(r.serviceTime, func() {
			q.freeSlots++
			if r.team != "" {
				q.usage.add(r.team, start, q.now)
			}
			r.done(true)
			q.startNext()
		})
	}
}

// startClient runs a client of the team that sends its next request when the last
// one has ended.
func (q *slotQueue) startClient(team string, mean time.Duration) {
	r := &request{team: team, serviceTime: q.serviceTime(mean)}
	r.done = func(bool) { q.after(0, func() { q.startClient(team, mean) }) }
	q.enqueue(r)
}

func pickFirst([]*request) int { return 0 }

// shareFIFO measures one queue for all slots that starts requests in the order of
// their arrival.
func shareFIFO(ix *objects.Index, q *apiv1.Queue, seed uint64) ShareResult {
	teams, weights := teamWeights(ix, q)
	u := newUsage(teams, shareSimDuration)
	queue := &slotQueue{timeline: newTimeline(seed), freeSlots: slots, pick: pickFirst, usage: u}
	for i, team := range teams {
		for range clientsPerTeam {
			queue.startClient(team, meanServiceTimes[i%len(meanServiceTimes)])
		}
	}
	queue.run(shareSimDuration)
	return u.result("first in, first out", weights)
}

// shareStatic measures a static split: each entry VM has a fixed part of the slots
// and shares it by weight among the teams whose clients are connected to it. A
// load balancer assigns clients to entry VMs at random.
func shareStatic(ix *objects.Index, q *apiv1.Queue, seed uint64) ShareResult {
	teams, weights := teamWeights(ix, q)
	u := newUsage(teams, shareSimDuration)
	tl := newTimeline(seed)
	var entries []*slotQueue
	for range entryVMs {
		used := map[string]float64{}
		entry := &slotQueue{timeline: tl, freeSlots: slots / entryVMs, usage: u}
		entry.pick = func(queue []*request) int { return pickLeastUsed(ix, used, queue) }
		entries = append(entries, entry)
	}
	for i, team := range teams {
		// Clients keep connections alive, so a team's requests arrive on a few
		// connections. The clients of team i therefore use only the first 2+i
		// entry VMs.
		for range clientsPerTeam {
			entry := entries[tl.rng.IntN(min(entryVMs, 2+i))]
			entry.startClient(team, meanServiceTimes[i%len(meanServiceTimes)])
		}
	}
	tl.run(shareSimDuration)
	return u.result("static split over 8 entry VMs", weights)
}

// pickLeastUsed returns the index of the first request of the team with the least
// slot time in proportion to its weight. It charges the team with the request's
// whole service time at once, which is known only in a simulation.
func pickLeastUsed(ix *objects.Index, used map[string]float64, queue []*request) int {
	best := 0
	for i, r := range queue {
		if used[r.team] < used[queue[best].team] {
			best = i
		}
	}
	r := queue[best]
	used[r.team] += r.serviceTime.Seconds() / float64(ix.Teams[r.team].Weight)
	return best
}
