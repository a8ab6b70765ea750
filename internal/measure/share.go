package measure

import (
	"fmt"
	"math"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	// window is the interval for which deviations from the shares are calculated.
	window           = 10 * time.Second
	warmUp           = 10 * time.Second
	shareSimDuration = 130 * time.Second
	// clientsPerTeam is how many requests of a team are waiting or running at any
	// time.
	clientsPerTeam = 100
	entryVMs       = 8
)

// meanServiceTimes are the mean service times by team. The scheduler is not told
// about them.
var meanServiceTimes = []time.Duration{
	100 * time.Millisecond, 200 * time.Millisecond, 50 * time.Millisecond,
	300 * time.Millisecond, 100 * time.Millisecond, 30 * time.Millisecond,
}

// ShareResult describes how close the teams are to their shares under full load.
type ShareResult struct {
	Policy string
	// The deviations of a team's part of the used slot time from its share of the
	// weights, in percentage points, over windows of 10 s.
	MaxDeviationPercent, MeanDeviationPercent float64
	// UsedPercent is the percentage of the slot time in which requests ran.
	UsedPercent float64
	Violations  int
}

// usage sums the used slot time in seconds by window and team.
type usage struct {
	teams   []string
	windows [][]float64
}

func newUsage(teams []string, duration time.Duration) *usage {
	u := &usage{teams: teams}
	for range int((duration - warmUp) / window) {
		u.windows = append(u.windows, make([]float64, len(teams)))
	}
	return u
}

// add adds a request of the team that ran from start to end.
func (u *usage) add(team string, start, end time.Duration) {
	i := slices.Index(u.teams, team)
	for w := range u.windows {
		from := warmUp + time.Duration(w)*window
		overlap := min(end, from+window) - max(start, from)
		if overlap > 0 {
			u.windows[w][i] += overlap.Seconds()
		}
	}
}

func (u *usage) result(policy string, weights []uint32) ShareResult {
	total := uint32(0)
	for _, w := range weights {
		total += w
	}
	out := ShareResult{Policy: policy}
	n, used := 0, 0.0
	for _, w := range u.windows {
		sum := 0.0
		for _, v := range w {
			sum += v
		}
		used += sum
		for i, v := range w {
			d := 100 * math.Abs(v/sum-float64(weights[i])/float64(total))
			out.MaxDeviationPercent = max(out.MaxDeviationPercent, d)
			out.MeanDeviationPercent += d
			n++
		}
	}
	out.MeanDeviationPercent /= float64(n)
	out.UsedPercent = 100 * used / (float64(len(u.windows)) * window.Seconds() * slots)
	return out
}

// teamWeights returns the teams of the queue and their weights, in the same order.
func teamWeights(ix *objects.Index, q *apiv1.Queue) ([]string, []uint32) {
	var weights []uint32
	for _, t := range q.Teams {
		weights = append(weights, ix.Teams[t].Weight)
	}
	return q.Teams, weights
}

// findRequestQueue returns the first request queue that is not open and has at
// least six teams, nil if there is none.
func findRequestQueue(ix *objects.Index) *apiv1.Queue {
	for _, q := range ix.Set.Queue {
		if q.Service != "" && !q.Open && len(q.Teams) >= 6 {
			return q
		}
	}
	return nil
}

// Share measures how close teams are to their shares with the scheduler and with
// two baselines. It fails if the object set has no request queue with six teams.
func Share(ix *objects.Index, seed uint64) ([]ShareResult, error) {
	q := findRequestQueue(ix)
	if q == nil {
		return nil, fmt.Errorf("the object set has no request queue with six teams")
	}
	return []ShareResult{
		shareScheduler(ix, q, seed),
		shareFIFO(ix, q, seed),
		shareStatic(ix, q, seed),
	}, nil
}

func shareScheduler(ix *objects.Index, q *apiv1.Queue, seed uint64) ShareResult {
	s := newShardSim(seed, ix, q.Service)
	teams, weights := teamWeights(ix, q)
	u := newUsage(teams, shareSimDuration)
	s.onRun = func(r *request, _ string, start, end time.Duration) { u.add(r.team, start, end) }
	timeout := time.Duration(ix.Services[q.Service].MaxDeadlineMs) * time.Millisecond
	for i, team := range teams {
		for range clientsPerTeam {
			s.startClient(team, q.Name, meanServiceTimes[i%len(meanServiceTimes)], timeout)
		}
	}
	s.run(shareSimDuration)
	out := u.result("bergamotdrum", weights)
	out.Violations = s.overLimit + s.overSlots
	return out
}

// startClient runs a client that sends its next request when the last one has
// ended, or one second after a refusal.
func (s *shardSim) startClient(team, queue string, mean, timeout time.Duration) {
	var send func()
	send = func() {
		r := &request{team: team, queue: queue, serviceTime: s.serviceTime(mean), timeout: timeout}
		r.done = func(started bool) {
			if started {
				s.after(0, send)
				return
			}
			s.after(time.Second, send)
		}
		s.submit(r)
	}
	s.after(time.Duration(s.rng.IntN(100))*time.Millisecond, send)
}
