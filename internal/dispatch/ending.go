package dispatch

import (
	"math"
	"sync"
	"time"

	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// lateOrderTime is how long after the call an order without answer may still be
// carried out.
const lateOrderTime = 2 * time.Second

// endingIncarnations holds the incarnations, lifetimes of a minion's process, that an
// order for their machine may end. Their tasks count as unavailable, and they get no
// work.
type endingIncarnations struct {
	mu sync.Mutex
	// until holds when an incarnation that still answers has outlived the order.
	until map[batch.Incarnation]time.Duration
}

// add records that an order is about to be sent. Unless remove or expireAt is called,
// the incarnation stays.
func (e *endingIncarnations) add(inc batch.Incarnation) { e.expireAt(inc, math.MaxInt64) }

// expireAt records that an order may be carried out until a time.
func (e *endingIncarnations) expireAt(inc batch.Incarnation, at time.Duration) {
	if inc == (batch.Incarnation{}) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.until[inc] = at
}

// remove records that an order was certainly not carried out.
func (e *endingIncarnations) remove(inc batch.Incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.until, inc)
}

// contains reports whether an order may end the incarnation.
func (e *endingIncarnations) contains(inc batch.Incarnation, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now < e.until[inc]
}

// list returns the incarnations that an order may end, and forgets the others.
func (e *endingIncarnations) list(now time.Duration) []batch.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []batch.Incarnation
	for inc, until := range e.until {
		if now >= until {
			delete(e.until, inc)
			continue
		}
		out = append(out, inc)
	}
	return out
}
