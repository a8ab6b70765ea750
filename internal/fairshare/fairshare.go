// Package fairshare chooses which team's queued work starts next, so that
// each team's use of slots approaches its weight's share. It is pure: time is
// passed in and equal calls give equal choices.
//
// A team's score is (decayed slot-seconds used + slot-seconds run so far by
// running work + a provisional charge for each running request) / weight, and
// the team with the least score is next. The provisional charge keeps a team
// from taking every free slot before its first request ends, and steers the
// number of slots a team holds toward its share before its usage can differ.
// It is one length for all teams, the observed mean but at least MinCharge:
// with each team's own mean, teams with short requests got up to 10% less than
// their share over 10 s.
//
// Classes are served urgent, normal, overnight. So that no class starves,
// waiting normal work is passed over for at most NormalTurn grants in a row
// and waiting overnight work for at most OvernightTurn.
package fairshare

import (
	"container/heap"
	"math"
	"time"
)

// Class orders kinds of work; a lower one goes first.
type Class int

// Classes in the order of service.
const (
	Urgent Class = iota
	Normal
	Overnight
	classes
)

// String returns the name of the class as in the configuration.
func (c Class) String() string {
	return [...]string{"urgent", "normal", "overnight"}[c]
}

const (
	// DecayTime is the time constant of the usage.
	DecayTime = 60 * time.Second
	// IdleCredit bounds what a team that returns from idle is owed: the slots
	// that its share would have given it in this time.
	IdleCredit = time.Second
	// NormalTurn bounds the grants in a row that pass over waiting normal work.
	NormalTurn = 10
	// OvernightTurn is the same bound for overnight work.
	OvernightTurn = 50
	// Scores of teams with running work grow with time. They are recomputed at
	// this interval; in between only the teams that change are.
	refreshInterval = 5 * time.Millisecond
	// MinCharge is the least provisional charge. Between 0.5 s and 4 s the
	// deviation from the shares hardly changes; above 10 s teams with few slots
	// wait for a whole slot.
	MinCharge = time.Second
	// Weight of one observation in the mean service time.
	meanGain = 0.05
)

// Picker holds the usage of all teams and the set of teams with queued work.
type Picker struct {
	teams     map[string]*team
	ready     [classes]teamHeap
	refreshed time.Duration
	// Grants made since the class was last served while it had ready work.
	passed [classes]int
	// Observed mean service time in seconds.
	mean float64
	// Usage by weight of the team chosen last, as of floorAt.
	floor   float64
	floorAt time.Duration
}

type team struct {
	name    string
	weight  float64
	queued  [classes]int
	blocked bool
	running int
	// Sum of the start times of the running work, in seconds.
	startSum float64
	// Decayed slot-seconds of ended work as of usedAt.
	used   float64
	usedAt time.Duration
	score  float64
	index  [classes]int
}

// New returns a picker without teams.
func New() *Picker {
	p := &Picker{teams: map[string]*team{}}
	for c := range p.ready {
		p.ready[c].class = Class(c)
	}
	return p
}

func (p *Picker) team(name string) *team {
	t, ok := p.teams[name]
	if !ok {
		t = &team{name: name, weight: 1, index: [classes]int{-1, -1, -1}}
		p.teams[name] = t
	}
	return t
}

// SetWeight sets the team's weight, at least 1.
func (p *Picker) SetWeight(now time.Duration, name string, weight uint32) {
	t := p.team(name)
	t.weight = float64(max(weight, 1))
	p.rescore(now, t)
}

// Enqueue counts one more waiting request.
func (p *Picker) Enqueue(now time.Duration, name string, class Class) {
	t := p.team(name)
	wasReady := t.ready()
	t.queued[class]++
	p.enter(now, t, wasReady)
}

// Dequeue counts one waiting request less, because it started or was refused.
func (p *Picker) Dequeue(now time.Duration, name string, class Class) {
	t := p.team(name)
	if t.queued[class] > 0 {
		t.queued[class]--
	}
	p.place(now, t)
}

// Block excludes a team at its ceiling from the choice, or admits it again.
func (p *Picker) Block(now time.Duration, name string, blocked bool) {
	t := p.team(name)
	if t.blocked == blocked {
		return
	}
	wasReady := t.ready()
	t.blocked = blocked
	p.enter(now, t, wasReady)
}

// Start records that one request of the team took a slot.
func (p *Picker) Start(now time.Duration, name string, class Class) {
	t := p.team(name)
	t.running++
	t.startSum += now.Seconds()
	p.countTurn(class)
	p.rescore(now, t)
}

// Resume records running work that another host started, at the time it was
// reported; it counts as no turn of a class.
func (p *Picker) Resume(now time.Duration, name string) {
	t := p.team(name)
	t.running++
	t.startSum += now.Seconds()
	p.rescore(now, t)
}

// Finish charges the slot time of one request that began at started.
func (p *Picker) Finish(now, started time.Duration, name string) {
	t := p.team(name)
	length := max((now - started).Seconds(), 0)
	t.running--
	t.startSum -= started.Seconds()
	if t.running == 0 {
		t.startSum = 0 // removes rounding errors
	}
	t.decay(now)
	t.used += length
	p.mean += meanGain * (length - p.mean)
	p.rescore(now, t)
}

// Next returns the team and class whose oldest request should start.
func (p *Picker) Next(now time.Duration) (name string, class Class, ok bool) {
	p.refresh(now)
	class, ok = p.nextClass()
	if !ok {
		return "", 0, false
	}
	chosen := p.ready[class].teams[0]
	p.floor = chosen.usage(now) / chosen.weight
	p.floorAt = now
	return chosen.name, class, true
}

// Usage returns the team's decayed slot-seconds including running work.
func (p *Picker) Usage(now time.Duration, name string) float64 {
	t, ok := p.teams[name]
	if !ok {
		return 0
	}
	return t.usage(now)
}

// Forget drops teams that have no work and whose usage has decayed to nothing.
func (p *Picker) Forget(now time.Duration) {
	for name, t := range p.teams {
		t.decay(now)
		if t.running == 0 && !t.waiting() && t.used < 1e-3 {
			delete(p.teams, name)
		}
	}
}

func (p *Picker) nextClass() (Class, bool) {
	turns := [classes]int{Normal: NormalTurn, Overnight: OvernightTurn}
	for c := Overnight; c > Urgent; c-- {
		if p.ready[c].Len() > 0 && p.passed[c] >= turns[c]-1 {
			return c, true
		}
	}
	for c := Urgent; c < classes; c++ {
		if p.ready[c].Len() > 0 {
			return c, true
		}
	}
	return 0, false
}

func (p *Picker) countTurn(class Class) {
	for c := range p.passed {
		if p.ready[c].Len() > 0 {
			p.passed[c]++
		}
	}
	p.passed[class] = 0
}

// enter places the team and, when it returns to the choice, limits what it is
// owed for the time it did not ask.
func (p *Picker) enter(now time.Duration, t *team, wasReady bool) {
	if !wasReady && t.ready() {
		t.limitCredit(now, p.creditFloor(now))
	}
	p.place(now, t)
}

func (p *Picker) place(now time.Duration, t *team) {
	t.rescore(now, p.charge())
	for c := range p.ready {
		h := &p.ready[c]
		wanted := t.queued[c] > 0 && !t.blocked
		switch i := t.index[c]; {
		case wanted && i < 0:
			heap.Push(h, t)
		case wanted:
			heap.Fix(h, i)
		case i >= 0:
			heap.Remove(h, i)
		}
	}
}

func (p *Picker) rescore(now time.Duration, t *team) {
	t.rescore(now, p.charge())
	for c, i := range t.index {
		if i >= 0 {
			heap.Fix(&p.ready[c], i)
		}
	}
}

func (p *Picker) refresh(now time.Duration) {
	if now-p.refreshed < refreshInterval {
		return
	}
	p.refreshed = now
	charge := p.charge()
	for c := range p.ready {
		for _, t := range p.ready[c].teams {
			t.rescore(now, charge)
		}
		heap.Init(&p.ready[c])
	}
}

// charge is the provisional charge in seconds.
func (p *Picker) charge() float64 { return max(p.mean, MinCharge.Seconds()) }

// creditFloor is the least usage by weight of a returning team. The decayed
// usage of a busy team settles at its rate times DecayTime, so the part
// IdleCredit/DecayTime of it is what IdleCredit is worth.
func (p *Picker) creditFloor(now time.Duration) float64 {
	decay := math.Exp(-float64(now-p.floorAt) / float64(DecayTime))
	return p.floor * decay * (1 - float64(IdleCredit)/float64(DecayTime))
}
