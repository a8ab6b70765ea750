package measure

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// slotQueue is a set of slots with one queue, served by the pick function.
type slotQueue struct {
	*timeline
	free  int
	queue []*request
	pick  func(queue []*request) int
	u     *usage
	// onStart may be nil.
	onStart func(r *request)
}

func (b *slotQueue) submit(r *request) {
	b.queue = append(b.queue, r)
	b.serve()
}

func (b *slotQueue) serve() {
	for b.free > 0 && len(b.queue) > 0 {
		i := b.pick(b.queue)
		r := b.queue[i]
		b.queue = append(b.queue[:i], b.queue[i+1:]...)
		b.free--
		start := b.now
		if b.onStart != nil {
			b.onStart(r)
		}
		b.after(r.length, func() {
			b.free++
			if r.team != "" {
				b.u.add(r.team, start, b.now)
			}
			r.done(true)
			b.serve()
		})
	}
}

func (b *slotQueue) loop(team string, mean time.Duration) {
	r := &request{team: team, length: b.serviceTime(mean)}
	r.done = func(bool) { b.after(0, func() { b.loop(team, mean) }) }
	b.submit(r)
}

func firstIn([]*request) int { return 0 }

// shareFIFO serves requests in the order of their arrival.
func shareFIFO(ix *objects.Index, q *apiv1.Queue, seed uint64) ShareResult {
	teams, weights := sharers(ix, q)
	u := newUsage(teams, shareLength)
	b := &slotQueue{timeline: newTimeline(seed), free: slots, pick: firstIn, u: u}
	for i, team := range teams {
		for range clientsPerTeam {
			b.loop(team, meanTimes[i%len(meanTimes)])
		}
	}
	b.run(shareLength)
	return u.result("first in, first out", weights)
}

// shareStatic gives each entry VM its fixed part of the slots and shares them
// by weight among the teams whose clients reach that entry VM. A balancer
// spreads clients at random.
func shareStatic(ix *objects.Index, q *apiv1.Queue, seed uint64) ShareResult {
	teams, weights := sharers(ix, q)
	u := newUsage(teams, shareLength)
	t := newTimeline(seed)
	var entries []*slotQueue
	for range entryVMs {
		used := map[string]float64{}
		e := &slotQueue{timeline: t, free: slots / entryVMs, u: u}
		e.pick = func(queue []*request) int { return leastUsed(ix, used, queue) }
		entries = append(entries, e)
	}
	for i, team := range teams {
		// A few connections carry all of a team's requests, as callers keep
		// them alive.
		for range clientsPerTeam {
			entry := entries[t.rng.IntN(min(entryVMs, 2+i))]
			entry.loop(team, meanTimes[i%len(meanTimes)])
		}
	}
	t.run(shareLength)
	return u.result("static split over 8 entry VMs", weights)
}

// leastUsed picks the first request of the team with the least slot time by
// weight; the pick charges the whole length at once, which only a simulation
// can know.
func leastUsed(ix *objects.Index, used map[string]float64, queue []*request) int {
	best := 0
	for i, r := range queue {
		if used[r.team] < used[queue[best].team] {
			best = i
		}
	}
	r := queue[best]
	used[r.team] += r.length.Seconds() / float64(ix.Teams[r.team].Weight)
	return best
}
