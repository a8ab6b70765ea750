package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// naive computes every score from scratch at each choice.
type naive struct {
	weight  map[string]float64
	used    map[string]float64
	at      time.Duration
	running map[string][]time.Duration
	queued  map[string][]int
	blocked map[string]bool
	mean    float64
	passed  [classes]int
	floor   float64
	floorAt time.Duration
}

func (n *naive) advance(now time.Duration) {
	for t := range n.used {
		n.used[t] *= math.Exp(-float64(now-n.at) / float64(DecayTime))
	}
	n.at = now
}

func (n *naive) usage(t string) float64 {
	sum := n.used[t]
	for _, start := range n.running[t] {
		sum += (n.at - start).Seconds()
	}
	return sum
}

func (n *naive) score(t string) float64 {
	return (n.usage(t) + float64(len(n.running[t]))*max(n.mean, MinCharge.Seconds())) / n.weight[t]
}

func (n *naive) isReady(t string) bool {
	return !n.blocked[t] && n.queued[t][0]+n.queued[t][1]+n.queued[t][2] > 0
}

func (n *naive) change(t string, change func()) {
	was := n.isReady(t)
	change()
	if !was && n.isReady(t) {
		decay := math.Exp(-float64(n.at-n.floorAt) / float64(DecayTime))
		missing := n.floor*decay*(1-1/60.0) - n.usage(t)/n.weight[t]
		n.used[t] += max(0, missing) * n.weight[t]
	}
}

func (n *naive) waits(c Class) bool {
	for t := range n.queued {
		if !n.blocked[t] && n.queued[t][c] > 0 {
			return true
		}
	}
	return false
}

func (n *naive) class() Class {
	switch {
	case n.waits(Overnight) && n.passed[Overnight] >= OvernightTurn-1:
		return Overnight
	case n.waits(Normal) && n.passed[Normal] >= NormalTurn-1:
		return Normal
	case n.waits(Urgent):
		return Urgent
	case n.waits(Normal):
		return Normal
	}
	return Overnight
}

// Guards against the heap's order differing from the scores.
func TestPickerChoosesAsNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := New()
		n := &naive{
			weight: map[string]float64{}, used: map[string]float64{}, running: map[string][]time.Duration{},
			queued: map[string][]int{}, blocked: map[string]bool{},
		}
		names := []string{"a", "b", "c", "d"}
		for _, t := range names {
			w := rapid.Uint32Range(1, 10).Draw(rt, "weight")
			p.SetWeight(0, t, w)
			n.weight[t], n.used[t], n.queued[t] = float64(w), 0, make([]int, classes)
		}
		now := time.Duration(0)
		for range 150 {
			now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "pause")) * refreshInterval
			n.advance(now)
			t := rapid.SampledFrom(names).Draw(rt, "team")
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1:
				c := Class(rapid.IntRange(0, 2).Draw(rt, "class"))
				p.Enqueue(now, t, c)
				n.change(t, func() { n.queued[t][c]++ })
			case 2:
				p.Block(now, t, !n.blocked[t])
				n.change(t, func() { n.blocked[t] = !n.blocked[t] })
			case 3:
				if r := n.running[t]; len(r) > 0 {
					p.Finish(now, r[0], t)
					n.running[t] = r[1:]
					length := (now - r[0]).Seconds()
					n.used[t] += length
					n.mean += meanGain * (length - n.mean)
				}
			default:
				compareChoice(rt, now, p, n)
			}
		}
	})
}

func compareChoice(rt *rapid.T, now time.Duration, p *Picker, n *naive) {
	chosen, class, ok := p.Next(now)
	want := n.class()
	if ok != n.waits(want) {
		rt.Fatalf("choice possible: %v, naive %v", ok, n.waits(want))
	}
	if !ok {
		return
	}
	if class != want {
		rt.Fatalf("class %v, naive %v", class, want)
	}
	for t := range n.queued {
		if !n.blocked[t] && n.queued[t][class] > 0 && n.score(t) < n.score(chosen)-1e-6 {
			rt.Fatalf("chose %s with score %f, naive %s with %f", chosen, n.score(chosen), t, n.score(t))
		}
	}
	n.floor, n.floorAt = n.usage(chosen)/n.weight[chosen], now
	p.Dequeue(now, chosen, class)
	p.Start(now, chosen, class)
	n.queued[chosen][class]--
	n.running[chosen] = append(n.running[chosen], now)
	for c := range classes {
		if n.waits(c) {
			n.passed[c]++
		}
	}
	n.passed[class] = 0
}

// Guards against a class that never starts while a higher one has work.
func TestNoClassStarves(t *testing.T) {
	g := NewWithT(t)
	p := New()
	for c := range classes {
		for range 1000 {
			p.Enqueue(0, "a", c)
		}
	}
	passed, longest := [classes]int{}, [classes]int{}
	for range 500 {
		_, served, _ := p.Next(0)
		p.Dequeue(0, "a", served)
		p.Start(0, "a", served)
		for c := range classes {
			passed[c]++
			longest[c] = max(longest[c], passed[c])
		}
		passed[served] = 0
	}
	g.Expect(longest[Urgent]).To(BeNumerically("<=", 3))
	g.Expect(longest[Normal]).To(BeNumerically("<=", NormalTurn+1))
	g.Expect(longest[Overnight]).To(BeNumerically("<=", OvernightTurn+1))
}

// Guards against a team using the time it was idle as credit and taking all
// slots when it returns.
func TestIdleTeamGetsBoundedCredit(t *testing.T) {
	g := NewWithT(t)
	p := New()
	serve := func(now time.Duration) string {
		name, c, _ := p.Next(now)
		p.Dequeue(now, name, c)
		p.Start(now, name, c)
		p.Enqueue(now, name, c)
		p.Finish(now+100*time.Millisecond, now, name)
		return name
	}
	p.Enqueue(0, "busy", Normal)
	now := time.Duration(0)
	for ; now < 5*time.Minute; now += 100 * time.Millisecond {
		serve(now)
	}
	p.Enqueue(now, "idle", Normal)
	inRow := 0
	for ; serve(now) == "idle"; now += 100 * time.Millisecond {
		inRow++
	}
	g.Expect(time.Duration(inRow) * 100 * time.Millisecond).To(BeNumerically("<=", 2*IdleCredit))
}

func BenchmarkNext(b *testing.B) {
	for _, teams := range []int{5, 500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			p := New()
			for i := range teams {
				p.Enqueue(0, fmt.Sprint("team-", i), Normal)
			}
			for i := range b.N {
				now := time.Duration(i) * 100 * time.Microsecond
				name, class, _ := p.Next(now)
				p.Start(now, name, class)
				p.Finish(now+50*time.Microsecond, now, name)
			}
		})
	}
}
