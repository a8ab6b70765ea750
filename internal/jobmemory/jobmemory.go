// Package jobmemory decides whether the memory of a control replica has room for another
// job. Callers aren't controlled: each job is bounded, and what all accepted jobs take
// together must be too. Half of the memory is guaranteed to the client accounts by weight,
// so that none takes what another needs; the other half goes to whoever comes first. All
// callers without a key together count as one account.
//
// The leader decides before it proposes a job. What accepted jobs take follows from the
// replicated state, so a new leader knows it; only what is proposed and has no outcome yet
// is counted here. The package reads no clock.
package jobmemory

import (
	"time"
)

// Usage is what the jobs of the replicated state take, in bytes.
type Usage struct {
	Total int64
	// Released is what came back since the process started.
	Released  int64
	ByAccount map[string]int64
}

const (
	// guaranteedDivisor divides the memory into the part that is guaranteed to accounts.
	guaranteedDivisor = 2
	// rateWindow is the time over which the rate is measured at which memory comes back.
	rateWindow = 2 * time.Second
	// maxWait is the longest time after which a refused caller is asked to come back.
	maxWait = 30 * time.Second
)

// Budget bounds the memory of accepted jobs, and of those that are proposed. It is not safe
// for concurrent use.
type Budget struct {
	limit int64
	// weights holds those of the accounts that have a guarantee, and sum their sum.
	weights map[string]int64
	sum     int64
	// proposed holds the jobs without an outcome, and proposedBytes what they take.
	proposed      map[string]holding
	proposedBytes map[string]int64
	proposedTotal int64
	refused       map[string]uint64
	released      releaseRate
}

type holding struct {
	account string
	bytes   int64
}

// New returns a budget of limit bytes, zero for no limit.
func New(limit int64) *Budget {
	return &Budget{limit: limit, proposed: map[string]holding{}, proposedBytes: map[string]int64{}, refused: map[string]uint64{}}
}

// Limit returns the limit in bytes, zero if there is none.
func (b *Budget) Limit() int64 { return b.limit }

// SetWeights sets the accounts that have a guarantee. Weights below one count as one.
// Callers without a key get the mean weight.
func (b *Budget) SetWeights(weights map[string]int64) {
	b.weights, b.sum = make(map[string]int64, len(weights)+1), 0
	for account, w := range weights {
		b.weights[account] = max(w, 1)
		b.sum += max(w, 1)
	}
	public := int64(1)
	if n := int64(len(weights)); n > 0 {
		public = max(b.sum/n, 1)
	}
	b.weights[""] = public
	b.sum += public
}

// Guarantee returns the bytes that no other account may take.
func (b *Budget) Guarantee(account string) int64 {
	w := b.weights[account]
	if w == 0 {
		return 0
	}
	return int64(float64(b.limit/guaranteedDivisor) * (float64(w) / float64(b.sum)))
}

// Allows reports whether a job of an account that takes n bytes finds room beside what is
// used and proposed.
func (b *Budget) Allows(used Usage, account string, n int64) bool {
	return b.limit == 0 || n <= b.available(used, account)
}

// LargestJob returns the bytes that a job of an account may take at most, when no other
// job is there.
func (b *Budget) LargestJob(account string) int64 {
	left := b.limit
	for other := range b.weights {
		if other != account {
			left -= b.Guarantee(other)
		}
	}
	return left
}

// AllowsWithin is Allows from the total alone. It reports false also if the shares of the
// accounts have to be known.
func (b *Budget) AllowsWithin(total, n int64) bool {
	return b.limit == 0 || total+b.proposedTotal+n <= b.limit-b.limit/guaranteedDivisor
}

// available returns the bytes that are left for an account.
func (b *Budget) available(used Usage, account string) int64 {
	left := b.limit - used.Total - b.proposedTotal
	for other := range b.weights {
		if other != account {
			left -= max(b.Guarantee(other)-used.ByAccount[other]-b.proposedBytes[other], 0)
		}
	}
	return left
}

// Propose counts a job as proposed, once however often it is.
func (b *Budget) Propose(id, account string, n int64) {
	if _, ok := b.proposed[id]; ok {
		return
	}
	b.proposed[id] = holding{account, n}
	b.proposedBytes[account] += n
	b.proposedTotal += n
}

// Settle ends a job's proposal: it is in the state now, or never will be.
func (b *Budget) Settle(id string) {
	h, ok := b.proposed[id]
	if !ok {
		return
	}
	delete(b.proposed, id)
	b.proposedTotal -= h.bytes
	if b.proposedBytes[h.account] -= h.bytes; b.proposedBytes[h.account] == 0 {
		delete(b.proposedBytes, h.account)
	}
}

// Proposed returns the ids of the jobs that are proposed and have no outcome yet.
func (b *Budget) Proposed() []string {
	ids := make([]string, 0, len(b.proposed))
	for id := range b.proposed {
		ids = append(ids, id)
	}
	return ids
}

// ProposedBytes returns what these jobs take.
func (b *Budget) ProposedBytes() int64 { return b.proposedTotal }

// ProposedBytesOf returns what those of an account take.
func (b *Budget) ProposedBytesOf(account string) int64 { return b.proposedBytes[account] }

// Refuse counts a refusal and returns when the caller may come back: when as much as the
// job lacks has come back, at the rate of late.
func (b *Budget) Refuse(now time.Duration, used Usage, account string, n int64) time.Duration {
	b.refused[account]++
	b.released.observe(now, used.Released)
	lacking := n - b.available(used, account)
	rate := b.released.perSecond
	if rate <= 0 || n > b.limit {
		return maxWait
	}
	return min(time.Duration(float64(lacking)/rate*float64(time.Second)), maxWait)
}

// Refused returns how many jobs of an account were refused.
func (b *Budget) Refused(account string) uint64 { return b.refused[account] }

// Accounts returns the accounts that have a guarantee, a job that is proposed, or were
// refused one.
func (b *Budget) Accounts() map[string]bool {
	out := map[string]bool{}
	for account := range b.weights {
		out[account] = true
	}
	for account := range b.proposedBytes {
		out[account] = true
	}
	for account := range b.refused {
		out[account] = true
	}
	return out
}

// releaseRate is how fast memory comes back. It is measured while jobs are refused.
type releaseRate struct {
	perSecond float64
	// since is the start of the window, at which released had come back.
	since    time.Duration
	released int64
}

func (r *releaseRate) observe(now time.Duration, released int64) {
	elapsed := now - r.since
	switch {
	case r.since > 0 && elapsed < rateWindow:
		return
	case r.since > 0 && elapsed < 2*rateWindow:
		r.perSecond = float64(released-r.released) / elapsed.Seconds()
	default:
		r.perSecond = 0
	}
	r.since, r.released = now, released
}
