package fairshare

import (
	"math"
	"time"
)

func (t *team) waiting() bool {
	return t.queued[Urgent] > 0 || t.queued[Normal] > 0 || t.queued[Overnight] > 0
}

func (t *team) ready() bool { return !t.blocked && t.waiting() }

func (t *team) decay(now time.Duration) {
	if elapsed := now - t.usedAt; elapsed > 0 {
		t.used *= math.Exp(-float64(elapsed) / float64(DecayTime))
		t.usedAt = now
	}
}

func (t *team) runningCharge(now time.Duration) float64 {
	n := float64(t.running)
	return max(n*now.Seconds()-t.startSum, n*t.mean)
}

func (t *team) rescore(now time.Duration) {
	t.decay(now)
	t.score = (t.used + t.runningCharge(now)) / t.weight
}

func (t *team) observe(length float64) {
	if !t.observed {
		t.mean = length
		t.observed = true
		return
	}
	t.mean += meanGain * (length - t.mean)
}

// limitCredit raises the usage of a team that is further behind than floor.
func (t *team) limitCredit(now time.Duration, floor float64) {
	t.rescore(now)
	if missing := floor - t.score; missing > 0 {
		t.used += missing * t.weight
		t.rescore(now)
	}
}

// teamHeap orders ready teams of one class by score, ties by name.
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
	h.teams[i].index[h.class] = i
	h.teams[j].index[h.class] = j
}

func (h *teamHeap) Push(x any) {
	t := x.(*team)
	t.index[h.class] = len(h.teams)
	h.teams = append(h.teams, t)
}

func (h *teamHeap) Pop() any {
	last := len(h.teams) - 1
	t := h.teams[last]
	h.teams[last] = nil
	h.teams = h.teams[:last]
	t.index[h.class] = -1
	return t
}
