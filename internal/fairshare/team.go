package fairshare

import (
	"math"
	"time"
)

// waiting reports whether the team has queued requests of any priority class.
func (t *team) waiting() bool {
	return t.queued[Urgent] > 0 || t.queued[Normal] > 0 || t.queued[Overnight] > 0
}

// ready reports whether the team may be chosen: it has queued requests and isn't
// blocked, that is, at its ceiling of running requests.
func (t *team) ready() bool { return !t.blocked && t.waiting() }

// decay brings the usage of finished requests up to now.
func (t *team) decay(now time.Duration) {
	if elapsed := now - t.usedAt; elapsed > 0 {
		t.used *= math.Exp(-float64(elapsed) / float64(DecayTime))
		t.usedAt = now
	}
}

// usage returns the decayed slot-seconds of finished requests plus the
// slot-seconds of running requests so far.
func (t *team) usage(now time.Duration) float64 {
	t.decay(now)
	return t.used + float64(t.running)*now.Seconds() - t.startSum
}

// rescore recomputes the score, by which teams are chosen, lowest first. charge
// is the provisional usage added for each running request, in seconds.
func (t *team) rescore(now time.Duration, charge float64) {
	t.score = (t.usage(now) + float64(t.running)*charge) / t.weight
}

// limitCredit raises the usage of finished requests so that the team's usage
// per weight is at least floor.
func (t *team) limitCredit(now time.Duration, floor float64) {
	if missing := floor - t.usage(now)/t.weight; missing > 0 {
		t.used += missing * t.weight
	}
}

// teamHeap is a heap.Interface of the ready teams of one class, ordered by
// score and, for equal scores, by name.
type teamHeap struct {
	class Class
	teams []*team
}

func (h *teamHeap) Len() int { return len(h.teams) }

func (h *teamHeap) Less(i, j int) bool {
	a, b := h.teams[i], h.teams[j]
	if a.score != b.score {
		return a.score < b.score
	}
	return a.name < b.name
}

func (h *teamHeap) Swap(i, j int) {
	h.teams[i], h.teams[j] = h.teams[j], h.teams[i]
	h.teams[i].heapIndex[h.class] = i
	h.teams[j].heapIndex[h.class] = j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.heapIndex[h.class] = len(h.teams)
	h.teams = append(h.teams, t)
}

func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.heapIndex[h.class] = -1
	return t
}
