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

// referencePicker is a simple implementation to compare Picker with. It
// computes every score from scratch for each choice and has no heaps.
type referencePicker struct {
	weight          map[string]float64
	used            map[string]float64
	now             time.Duration
	running         map[string][]time.Duration
	queued          map[string][]int
	blocked         map[string]bool
	meanSlotTime    float64
	skips           [numClasses]int
	lastChosenUsage float64
	lastChosenAt    time.Duration
}

// advance decays the usage of finished requests up to now.
func (r *referencePicker) advance(now time.Duration) {
	for t := range r.used {
		r.used[t] *= math.Exp(-float64(now-r.now) / float64(DecayTime))
	}
	r.now = now
}

func (r *referencePicker) usage(t string) float64 {
	sum := r.used[t]
	for _, start := range r.running[t] {
		sum += (r.now - start).Seconds()
	}
	return sum
}

func (r *referencePicker) score(t string) float64 {
	return (r.usage(t) + float64(len(r.running[t]))*max(r.meanSlotTime, MinCharge.Seconds())) / r.weight[t]
}

func (r *referencePicker) ready(t string) bool {
	return !r.blocked[t] && r.queued[t][0]+r.queued[t][1]+r.queued[t][2] > 0
}

// update makes a change of the team's queues or blocking, and limits the credit
// (low usage from an idle time) of a team that becomes ready by it.
func (r *referencePicker) update(t string, change func()) {
	was := r.ready(t)
	change()
	if !was && r.ready(t) {
		decay := math.Exp(-float64(r.now-r.lastChosenAt) / float64(DecayTime))
		missing := r.lastChosenUsage*decay*(1-1/60.0) - r.usage(t)/r.weight[t]
		r.used[t] += max(0, missing) * r.weight[t]
	}
}

func (r *referencePicker) hasReady(c Class) bool {
	for t := range r.queued {
		if !r.blocked[t] && r.queued[t][c] > 0 {
			return true
		}
	}
	return false
}

func (r *referencePicker) nextClass() Class {
	switch {
	case r.hasReady(Overnight) && r.skips[Overnight] >= MaxOvernightSkips-1:
		return Overnight
	case r.hasReady(Normal) && r.skips[Normal] >= MaxNormalSkips-1:
		return Normal
	case r.hasReady(Urgent):
		return Urgent
	case r.hasReady(Normal):
		return Normal
	}
	return Overnight
}

// Guards against a choice of another team than the one with the lowest score,
// because the order of a heap is out of date.
func TestPickerMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := New()
		ref := &referencePicker{
			weight: map[string]float64{}, used: map[string]float64{}, running: map[string][]time.Duration{},
			queued: map[string][]int{}, blocked: map[string]bool{},
		}
		names := []string{"a", "b", "c", "d"}
		for _, t := range names {
			w := rapid.Uint32Range(1, 10).Draw(rt, "weight")
			p.SetWeight(0, t, w)
			ref.weight[t], ref.used[t], ref.queued[t] = float64(w), 0, make([]int, numClasses)
		}
		now := time.Duration(0)
		for range 150 {
			now += time.Duration(rapid.IntRange(1, 400).Draw(rt, "pause")) * refreshInterval
			ref.advance(now)
			t := rapid.SampledFrom(names).Draw(rt, "team")
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1:
				c := Class(rapid.IntRange(0, 2).Draw(rt, "class"))
				p.Enqueue(now, t, c)
				ref.update(t, func() { ref.queued[t][c]++ })
			case 2:
				p.SetBlocked(now, t, !ref.blocked[t])
				ref.update(t, func() { ref.blocked[t] = !ref.blocked[t] })
			case 3:
				if r := ref.running[t]; len(r) > 0 {
					p.Finish(now, r[0], t)
					ref.running[t] = r[1:]
					slotTime := (now - r[0]).Seconds()
					ref.used[t] += slotTime
					ref.meanSlotTime += meanSmoothing * (slotTime - ref.meanSlotTime)
				}
			default:
				checkChoice(rt, now, p, ref)
			}
		}
	})
}

// checkChoice fails unless p chooses as the reference does, then starts the
// chosen request in both.
func checkChoice(rt *rapid.T, now time.Duration, p *Picker, ref *referencePicker) {
	chosen, class, ok := p.Next(now)
	want := ref.nextClass()
	if ok != ref.hasReady(want) {
		rt.Fatalf("Next found a ready team: %v, reference: %v", ok, ref.hasReady(want))
	}
	if !ok {
		return
	}
	if class != want {
		rt.Fatalf("class %v, reference: %v", class, want)
	}
	for t := range ref.queued {
		if !ref.blocked[t] && ref.queued[t][class] > 0 && ref.score(t) < ref.score(chosen)-1e-6 {
			rt.Fatalf("chose %s with score %f, reference: %s has score %f", chosen, ref.score(chosen), t, ref.score(t))
		}
	}
	ref.lastChosenUsage, ref.lastChosenAt = ref.usage(chosen)/ref.weight[chosen], now
	p.Dequeue(now, chosen, class)
	p.Start(now, chosen, class)
	ref.queued[chosen][class]--
	ref.running[chosen] = append(ref.running[chosen], now)
	for c := range numClasses {
		if ref.hasReady(c) {
			ref.skips[c]++
		}
	}
	ref.skips[class] = 0
}

// Guards against a priority class that gets no grants while classes of higher
// priority have queued requests.
func TestNoClassStarves(t *testing.T) {
	g := NewWithT(t)
	p := New()
	for c := range numClasses {
		for range 1000 {
			p.Enqueue(0, "a", c)
		}
	}
	skips, longest := [numClasses]int{}, [numClasses]int{}
	for range 500 {
		_, served, _ := p.Next(0)
		p.Dequeue(0, "a", served)
		p.Start(0, "a", served)
		for c := range numClasses {
			skips[c]++
			longest[c] = max(longest[c], skips[c])
		}
		skips[served] = 0
	}
	g.Expect(longest[Urgent]).To(BeNumerically("<=", 3))
	g.Expect(longest[Normal]).To(BeNumerically("<=", MaxNormalSkips+1))
	g.Expect(longest[Overnight]).To(BeNumerically("<=", MaxOvernightSkips+1))
}

// Guards against a team that gets all slots after an idle period because its
// usage decayed in the meantime.
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
	g.Expect(time.Duration(inRow) * 100 * time.Millisecond).To(BeNumerically("<=", 2*MaxIdleCredit))
}

// BenchmarkNext measures the choice, start and end of one request while all
// teams have queued requests.
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
