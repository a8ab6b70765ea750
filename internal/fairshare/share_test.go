package fairshare

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// picker is the part of Picker that the simulation uses.
type picker interface {
	SetWeight(now time.Duration, team string, weight uint32)
	Enqueue(now time.Duration, team string, class Class)
	Dequeue(now time.Duration, team string, class Class)
	Start(now time.Duration, team string, class Class)
	Finish(now, started time.Duration, team string)
	Next(now time.Duration) (string, Class, bool)
}

// teamLoad describes the requests of a team in the simulation.
type teamLoad struct {
	name   string
	weight uint32
	// Slot times, for which requests hold their slots, are log-uniform between
	// minSlotTime and ten times that.
	minSlotTime time.Duration
}

var sixTeams = []teamLoad{
	{"large-a", 30, 50 * time.Millisecond},
	{"large-b", 25, 200 * time.Millisecond},
	{"large-c", 20, 20 * time.Millisecond},
	{"small-a", 10, 100 * time.Millisecond},
	{"small-b", 10, 20 * time.Millisecond},
	{"small-c", 5, 50 * time.Millisecond},
}

// run is a running request in the simulation.
type run struct {
	team    int
	started time.Duration
	ends    time.Duration
}

// runHeap is a heap.Interface of runs, ordered by end.
type runHeap []run

func (h runHeap) Len() int           { return len(h) }
func (h runHeap) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h runHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runHeap) Push(x any)        { *h = append(*h, x.(run)) }
func (h *runHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

const (
	// simWindow is the time over which a team's part of the slot time is compared
	// with its share.
	simWindow = 10 * time.Second
	// simStep is the time resolution of the recorded slot usage.
	simStep = 100 * time.Millisecond
)

// simulate runs requests on the slots for the given time, with a request of
// every team always queued. It returns the slot-seconds that each team used,
// indexed by simStep and team.
func simulate(p picker, teams []teamLoad, slots int, duration time.Duration, seed uint64) [][]float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	index := map[string]int{}
	for i, t := range teams {
		index[t.name] = i
		p.SetWeight(0, t.name, t.weight)
		p.Enqueue(0, t.name, Normal)
	}
	used := make([][]float64, int(duration/simStep)+1)
	for i := range used {
		used[i] = make([]float64, len(teams))
	}
	running := runHeap{}
	now := time.Duration(0)
	for now < duration {
		for len(running) < slots {
			name, class, _ := p.Next(now)
			t := teams[index[name]]
			p.Dequeue(now, name, class)
			p.Start(now, name, class)
			p.Enqueue(now, name, class)
			slotTime := time.Duration(float64(t.minSlotTime) * math.Pow(10, rng.Float64()))
			heap.Push(&running, run{team: index[name], started: now, ends: now + slotTime})
		}
		r := heap.Pop(&running).(run)
		now = r.ends
		p.Finish(now, r.started, teams[r.team].name)
		addSlotTime(used, r, duration)
	}
	for _, r := range running {
		addSlotTime(used, r, duration)
	}
	return used
}

// addSlotTime adds the slot-seconds of a run before end to each simStep that it
// overlaps.
func addSlotTime(used [][]float64, r run, end time.Duration) {
	for at := r.started; at < min(r.ends, end); {
		bin := at / simStep
		until := min(r.ends, (bin+1)*simStep)
		used[bin][r.team] += (until - at).Seconds()
		at = until
	}
}

// deviations returns the largest difference, over all teams and windows of
// simWindow after the warmup, between a team's fraction of the slot time and its
// share: as a fraction of all slot time, and as a fraction of the share.
func deviations(used [][]float64, teams []teamLoad, warmup time.Duration) (ofAll, ofShare float64) {
	weights := 0.0
	for _, t := range teams {
		weights += float64(t.weight)
	}
	bins := int(simWindow / simStep)
	for from := int(warmup / simStep); from+bins < len(used)-1; from++ {
		sums := make([]float64, len(teams))
		total := 0.0
		for _, bin := range used[from : from+bins] {
			for i, v := range bin {
				sums[i] += v
				total += v
			}
		}
		for i, t := range teams {
			share := float64(t.weight) / weights
			d := math.Abs(sums[i]/total - share)
			ofAll = max(ofAll, d)
			ofShare = max(ofShare, d/share)
		}
	}
	return ofAll, ofShare
}

// Guards against a team getting more or less than its share while all slots are
// busy and the teams' slot times, which Picker doesn't know, differ.
func TestShareDeviationUnderFullLoad(t *testing.T) {
	g := NewWithT(t)
	for _, slots := range []int{32, 80, 320} {
		worstAll, worstShare := 0.0, 0.0
		for seed := range uint64(5) {
			ofAll, ofShare := deviations(simulate(New(), sixTeams, slots, 2*time.Minute, seed), sixTeams, simWindow)
			worstAll, worstShare = max(worstAll, ofAll), max(worstShare, ofShare)
		}
		t.Logf("%d slots: %.2f%% of all slot time, %.2f%% of the team's share", slots, 100*worstAll, 100*worstShare)
		g.Expect(worstShare).To(BeNumerically("<", 0.02))
	}
}
