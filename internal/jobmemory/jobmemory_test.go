package jobmemory

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: one account, or callers without a key, submit as much as they can. Guards against
// an account that finds no room, since another took what it needs, and against shares that
// are idle: without others an account gets all but their guarantee.
func TestNoAccountTakesTheGuaranteeOfAnother(t *testing.T) {
	for _, greedy := range []string{"", "small", "large", "unknown"} {
		g := NewWithT(t)
		b := New(1 << 20)
		b.SetWeights(map[string]int64{"small": 1, "large": 3})
		used := Usage{ByAccount: map[string]int64{}}
		for i := 0; b.Allows(used, greedy, 1000); i++ {
			used.Total += 1000
			used.ByAccount[greedy] += 1000
		}
		g.Expect(used.Total).To(BeNumerically(">", b.limit/2-1000), "without others")
		for account, w := range map[string]int64{"": 2, "small": 1, "large": 3} {
			if account != greedy {
				g.Expect(b.Allows(used, account, b.limit/2*w/6-1000)).To(BeTrue(), "%s beside %s", account, greedy)
			}
		}
	}
}

// Guards against jobs that are proposed and count twice, or not at all, or for ever.
func TestProposalsCountUntilTheyAreSettled(t *testing.T) {
	g := NewWithT(t)
	b := New(1000)
	b.SetWeights(nil)
	b.Propose("a", "", 600)
	b.Propose("a", "", 600)
	g.Expect(b.Allows(Usage{}, "", 400)).To(BeTrue())
	g.Expect(b.Allows(Usage{}, "", 401)).To(BeFalse())
	b.Settle("a")
	b.Settle("a")
	g.Expect(b.Allows(Usage{}, "", 1000)).To(BeTrue())
	g.Expect(b.Proposed()).To(BeEmpty())
}

// Guards against callers that are told to come back before there is room, or much later.
func TestCallersComeBackWhenMemoryDoes(t *testing.T) {
	g := NewWithT(t)
	b := New(10_000)
	b.SetWeights(nil)
	used := Usage{Total: 10_000, ByAccount: map[string]int64{"": 10_000}}
	g.Expect(b.Refuse(time.Minute, used, "", 500)).To(Equal(maxWait), "nothing came back yet")
	used.Released = 200
	g.Expect(b.Refuse(time.Minute+rateWindow, used, "", 500)).To(BeNumerically("~", 5*time.Second, time.Millisecond), "100 bytes a second")
	g.Expect(b.Refused("")).To(BeNumerically("==", 2))
	g.Expect(b.Refuse(time.Hour, used, "", 500)).To(Equal(maxWait), "the rate is old")
	g.Expect(New(0).Allows(used, "", 1<<40)).To(BeTrue(), "no limit")
}

// Checks with random accounts, jobs and outcomes that the limit is never exceeded, that
// each account finds its guarantee, that the decision by the total alone agrees, and that
// nothing is left when all jobs are gone.
func FuzzBudget(f *testing.F) {
	f.Add([]byte{1, 2, 3}, []byte{0, 10, 1, 200, 2, 30, 3, 40, 128, 0})
	f.Add([]byte{}, []byte{0, 255, 0, 255, 4, 255})
	f.Fuzz(func(t *testing.T, weights, steps []byte) {
		g := NewWithT(t)
		b, w := New(20_000), map[string]int64{}
		for i, weight := range weights[:min(len(weights), 8)] {
			w[fmt.Sprint(i)] = int64(weight)
		}
		b.SetWeights(w)
		used := Usage{ByAccount: map[string]int64{}}
		account := func(v byte) string { return []string{"", "0", "1", "2", "none"}[int(v)%5] }
		var live []holding
		for i := 0; i+1 < len(steps); i += 2 {
			name, n, id := account(steps[i]), 100*int64(steps[i+1]), fmt.Sprint(i)
			if steps[i] >= 128 && len(live) > 0 { // the oldest job ends
				used.Total -= live[0].bytes
				used.ByAccount[live[0].account] -= live[0].bytes
				live = live[1:]
				continue
			}
			allowed := b.Allows(used, name, n)
			if b.AllowsWithin(used.Total, n) {
				g.Expect(allowed).To(BeTrue())
			}
			if used.ByAccount[name]+n <= b.Guarantee(name) {
				g.Expect(allowed).To(BeTrue(), "%q has less than its guarantee", name)
			}
			if n > b.LargestJob(name) {
				g.Expect(allowed).To(BeFalse())
			}
			if n <= b.LargestJob(name) {
				g.Expect(b.Allows(Usage{}, name, n)).To(BeTrue(), "alone")
			}
			if !allowed {
				g.Expect(b.Refuse(time.Duration(i+1)*time.Second, used, name, n)).To(And(BeNumerically(">=", 0), BeNumerically("<=", maxWait)))
				continue
			}
			b.Propose(id, name, n)
			g.Expect(used.Total + b.ProposedBytes()).To(BeNumerically("<=", b.Limit()))
			b.Settle(id)
			if steps[i]&64 == 0 { // committed
				used.Total += n
				used.ByAccount[name] += n
				live = append(live, holding{name, n})
			}
		}
		g.Expect(b.ProposedBytes()).To(BeZero())
		g.Expect(b.proposedBytes).To(BeEmpty())
	})
}
