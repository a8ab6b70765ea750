package fairshare

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// picker is what the simulation needs of a way to choose.
type picker interface {
	SetWeight(now time.Duration, team string, weight uint32)
	Enqueue(now time.Duration, team string, class Class)
	Dequeue(now time.Duration, team string, class Class)
	Start(now time.Duration, team string, class Class)
	Finish(now, started time.Duration, team string)
	Next(now time.Duration) (string, Class, bool)
}

// load describes a team in the simulation.
type load struct {
	name   string
	weight uint32
	// Service times are log-uniform between short and ten times short.
	short time.Duration
}

var sixTeams = []load{
	{"large-a", 30, 50 * time.Millisecond},
	{"large-b", 25, 200 * time.Millisecond},
	{"large-c", 20, 20 * time.Millisecond},
	{"small-a", 10, 100 * time.Millisecond},
	{"small-b", 10, 20 * time.Millisecond},
	{"small-c", 5, 50 * time.Millisecond},
}

type run struct {
	team    int
	started time.Duration
	ends    time.Duration
}

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
	simWindow = 10 * time.Second
	simStep   = 100 * time.Millisecond
)

// simulate keeps every team queued and returns the slot-seconds that each team
// got in each simStep.
func simulate(p picker, teams []load, slots int, length time.Duration, seed uint64) [][]float64 {
	rng := rand.New(rand.NewPCG(seed, 7))
	index := map[string]int{}
	for i, t := range teams {
		index[t.name] = i
		p.SetWeight(0, t.name, t.weight)
		p.Enqueue(0, t.name, Normal)
	}
	used := make([][]float64, int(length/simStep)+1)
	for i := range used {
		used[i] = make([]float64, len(teams))
	}
	running := runHeap{}
	now := time.Duration(0)
	for now < length {
		for len(running) < slots {
			name, class, _ := p.Next(now)
			t := teams[index[name]]
			p.Dequeue(now, name, class)
			p.Start(now, name, class)
			p.Enqueue(now, name, class)
			took := time.Duration(float64(t.short) * math.Pow(10, rng.Float64()))
			heap.Push(&running, run{team: index[name], started: now, ends: now + took})
		}
		r := heap.Pop(&running).(run)
		now = r.ends
		p.Finish(now, r.started, teams[r.team].name)
		spread(used, r, length)
	}
	for _, r := range running {
		spread(used, r, length)
	}
	return used
}

func spread(used [][]float64, r run, length time.Duration) {
	for at := r.started; at < min(r.ends, length); {
		bin := at / simStep
		until := min(r.ends, (bin+1)*simStep)
		used[bin][r.team] += (until - at).Seconds()
		at = until
	}
}

// deviations returns the largest difference between a team's part of the slot
// time in a window and its share: as part of all slot time, and as part of the
// team's own share.
func deviations(used [][]float64, teams []load, warmup time.Duration) (ofAll, ofShare float64) {
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

// Guards against a team getting more or less than its share while all slots
// are busy and service times are unknown and unequal.
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
