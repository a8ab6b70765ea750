// Package fairshare implements weighted fair sharing of request slots between
// teams: it chooses the team whose queued request starts next, so that each
// team's share of the slot time, the time for which requests hold slots,
// approaches its share of the weights. The package does no I/O and reads no
// clock: callers pass the time as an offset from a fixed origin, and the same
// sequence of calls gives the same choices.
//
// A team's score is the sum of its decayed slot-seconds of finished requests,
// the slot-seconds of its running requests so far, and a provisional charge for
// each running request, divided by the team's weight. The team with the lowest
// score is next. Without the provisional charge a team would take every free
// slot before its first request ends; the charge also steers the number of
// slots that a team holds toward its share before the measured usage of teams
// differs. The charge is the same for all teams: the mean slot time observed over
// all requests, but at least MinCharge. With a mean per team, teams with short
// requests got up to 10% less than their share over 10 s.
//
// Priority classes are served in the order urgent, normal, overnight. To
// prevent starvation, waiting normal requests are passed over for at most
// MaxNormalSkips consecutive grants, and waiting overnight requests for at most
// MaxOvernightSkips.
package fairshare

import (
	"container/heap"
	"math"
	"time"
)

// Class is the priority class of a request. Lower values are served first.
type Class int

// Priority classes, in the order of service.
const (
	Urgent Class = iota
	Normal
	Overnight
	numClasses
)

// String returns the name of the class as written in the configuration.
func (c Class) String() string {
	return [...]string{"urgent", "normal", "overnight"}[c]
}

const (
	// DecayTime is the time constant of the exponential decay of usage: after
	// this time, used slot-seconds count 1/e of their value.
	DecayTime = 60 * time.Second
	// MaxIdleCredit bounds the credit of a team whose requests arrive after an idle
	// period: the slot time that its share would have given it in this time.
	MaxIdleCredit = time.Second
	// MaxNormalSkips is the maximum number of consecutive grants that pass over
	// waiting normal requests.
	MaxNormalSkips = 10
	// MaxOvernightSkips is the same limit for overnight requests.
	MaxOvernightSkips = 50
	// refreshInterval is how often the scores of all ready teams are recomputed,
	// since those of teams with running requests grow with time. Between two
	// refreshes only the scores of teams that change are recomputed.
	refreshInterval = 5 * time.Millisecond
	// MinCharge is the minimum provisional charge. Values between 0.5 s and 4 s
	// give nearly the same deviation from the shares; above 10 s, teams that hold
	// few slots wait until a whole slot is due to them.
	MinCharge = time.Second
	// meanSmoothing is the weight of a new observation in the exponentially
	// weighted mean slot time.
	meanSmoothing = 0.05
)

// Picker tracks the slot usage and the queued requests of all teams, and
// chooses the team to serve next. It is not safe for concurrent use.
type Picker struct {
	teams       map[string]*team
	ready       [numClasses]teamHeap
	refreshedAt time.Duration
	// Consecutive grants that passed over the class while it had ready teams.
	skips [numClasses]int
	// Exponentially weighted mean slot time of all teams' requests, in seconds.
	meanSlotTime float64
	// Usage per weight of the team chosen last, in slot-seconds, and the time
	// of that choice.
	lastChosenUsage float64
	lastChosenAt    time.Duration
}

// team is the state that a Picker keeps for one team.
type team struct {
	name    string
	weight  float64
	queued  [numClasses]int
	blocked bool
	running int
	// Sum of the start times of the running requests, in seconds.
	startSum float64
	// Decayed slot-seconds of finished requests as of usedAt.
	used   float64
	usedAt time.Duration
	score  float64
	// Position in the heap of each class, -1 when the team is not in it.
	heapIndex [numClasses]int
}

// New returns a Picker without teams.
func New() *Picker {
	p := &Picker{teams: map[string]*team{}}
	for c := range p.ready {
		p.ready[c].class = Class(c)
	}
	return p
}

// team returns the state of the named team, which it adds if it is new.
func (p *Picker) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{name: name, weight: 1, heapIndex: [numClasses]int{-1, -1, -1}}
		p.teams[name] = t
	}
	return t
}

// SetWeight sets the team's weight. A weight of 0 counts as 1.
func (p *Picker) SetWeight(now time.Duration, name string, weight uint32) {
	t := p.team(name)
	t.weight = float64(max(weight, 1))
	p.rescore(now, t)
}

// Enqueue records that a request of the team waits in the class's queue.
func (p *Picker) Enqueue(now time.Duration, name string, class Class) {
	t := p.team(name)
	wasReady := t.ready()
	t.queued[class]++
	p.updateReady(now, t, wasReady)
}

// Dequeue records that a request of the team left the class's queue because it
// started or was refused.
func (p *Picker) Dequeue(now time.Duration, name string, class Class) {
	t := p.team(name)
	if t.queued[class] > 0 {
		t.queued[class]--
	}
	p.reposition(now, t)
}

// SetBlocked excludes a team from the choice, while it is at its ceiling of
// running requests, or includes it again.
func (p *Picker) SetBlocked(now time.Duration, name string, blocked bool) {
	t := p.team(name)
	if t.blocked == blocked {
		return
	}
	wasReady := t.ready()
	t.blocked = blocked
	p.updateReady(now, t, wasReady)
}

// Start records that one request of the team and class was granted a slot, and
// counts the grant as a skip of the other classes with ready teams.
func (p *Picker) Start(now time.Duration, name string, class Class) {
	t := p.team(name)
	t.running++
	t.startSum += now.Seconds()
	p.countSkips(class)
	p.rescore(now, t)
}

// AddRunning records a running request that another process granted, as started
// now. The grant doesn't count for the limits on skips.
func (p *Picker) AddRunning(now time.Duration, name string) {
	t := p.team(name)
	t.running++
	t.startSum += now.Seconds()
	p.rescore(now, t)
}

// Finish records that a running request ended, and charges its slot time since
// started to the team.
func (p *Picker) Finish(now, started time.Duration, name string) {
	t := p.team(name)
	slotTime := max((now - started).Seconds(), 0)
	t.running--
	t.startSum -= started.Seconds()
	if t.running == 0 {
		t.startSum = 0 // removes rounding errors
	}
	t.decay(now)
	t.used += slotTime
	p.meanSlotTime += meanSmoothing * (slotTime - p.meanSlotTime)
	p.rescore(now, t)
}

// Next returns the team and class whose oldest request should start. It reports
// false when no team is ready. The caller then reports the grant by Dequeue and
// Start.
func (p *Picker) Next(now time.Duration) (name string, class Class, ok bool) {
	p.refreshScores(now)
	class, ok = p.nextClass()
	if !ok {
		return "", 0, false
	}
	chosen := p.ready[class].teams[0]
	p.lastChosenUsage = chosen.usage(now) / chosen.weight
	p.lastChosenAt = now
	return chosen.name, class, true
}

// Usage returns the team's decayed slot-seconds, running requests included. It
// is 0 for an unknown team.
func (p *Picker) Usage(now time.Duration, name string) float64 {
	t, ok := p.teams[name]
	if !ok {
		return 0
	}
	return t.usage(now)
}

// RemoveIdle removes teams that have no requests and whose usage has decayed to
// less than a thousandth of a slot-second.
func (p *Picker) RemoveIdle(now time.Duration) {
	for name, t := range p.teams {
		t.decay(now)
		if t.running == 0 && !t.waiting() && t.used < 1e-3 {
			delete(p.teams, name)
		}
	}
}

// nextClass returns the lowest-priority class that has reached its limit of
// skips, else the highest-priority class with a ready team.
func (p *Picker) nextClass() (Class, bool) {
	maxSkips := [numClasses]int{Normal: MaxNormalSkips, Overnight: MaxOvernightSkips}
	for c := Overnight; c > Urgent; c-- {
		if p.ready[c].Len() > 0 && p.skips[c] >= maxSkips[c]-1 {
			return c, true
		}
	}
	for c := Urgent; c < numClasses; c++ {
		if p.ready[c].Len() > 0 {
			return c, true
		}
	}
	return 0, false
}

// countSkips records a grant of the given class: it resets that class's skips
// and adds one to those of the other classes with ready teams.
func (p *Picker) countSkips(class Class) {
	for c := range p.skips {
		if p.ready[c].Len() > 0 {
			p.skips[c]++
		}
	}
	p.skips[class] = 0
}

// updateReady updates the team's heap positions. When the team has just become
// ready, it also limits the credit for the time when it was not.
func (p *Picker) updateReady(now time.Duration, t *team, wasReady bool) {
	if !wasReady && t.ready() {
		t.limitCredit(now, p.creditFloor(now))
	}
	p.reposition(now, t)
}

// reposition recomputes the team's score and updates the heap of each class: it
// holds the team if the team has requests of that class and isn't blocked.
func (p *Picker) reposition(now time.Duration, t *team) {
	t.rescore(now, p.provisionalCharge())
	for c := range p.ready {
		h := &p.ready[c]
		wanted := t.queued[c] > 0 && !t.blocked
		switch i := t.heapIndex[c]; {
		case wanted && i < 0:
			heap.Push(h, t)
		case wanted:
			heap.Fix(h, i)
		case i >= 0:
			heap.Remove(h, i)
		}
	}
}

// rescore recomputes the team's score and moves it within the heaps that it is
// in.
func (p *Picker) rescore(now time.Duration, t *team) {
	t.rescore(now, p.provisionalCharge())
	for c, i := range t.heapIndex {
		if i >= 0 {
			heap.Fix(&p.ready[c], i)
		}
	}
}

// refreshScores recomputes the scores of all ready teams, at most once per
// refreshInterval.
func (p *Picker) refreshScores(now time.Duration) {
	if now-p.refreshedAt < refreshInterval {
		return
	}
	p.refreshedAt = now
	charge := p.provisionalCharge()
	for c := range p.ready {
		for _, t := range p.ready[c].teams {
			t.rescore(now, charge)
		}
		heap.Init(&p.ready[c])
	}
}

// provisionalCharge returns the charge for each running request, in seconds.
func (p *Picker) provisionalCharge() float64 { return max(p.meanSlotTime, MinCharge.Seconds()) }

// creditFloor returns the minimum usage per weight of a team that becomes
// ready, in slot-seconds. The decayed usage of a constantly busy team converges
// to its rate of slot use times DecayTime, so the fraction
// MaxIdleCredit/DecayTime of it is the usage of the time MaxIdleCredit.
func (p *Picker) creditFloor(now time.Duration) float64 {
	decay := math.Exp(-float64(now-p.lastChosenAt) / float64(DecayTime))
	return p.lastChosenUsage * decay * (1 - float64(MaxIdleCredit)/float64(DecayTime))
}
