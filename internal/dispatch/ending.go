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

// add records that an order is about to be sent, until expireAt is called. It returns
// until when an earlier order may be carried out, zero if there is none.
func (e *endingIncarnations) add(inc batch.Incarnation) (earlierUntil time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	earlierUntil = e.until[inc]
	if inc != (batch.Incarnation{}) {
		e.until[inc] = math.MaxInt64
	}
	return earlierUntil
}

// expireAt records that orders sent so far may be carried out until a time.
func (e *endingIncarnations) expireAt(inc batch.Incarnation, at time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc != (batch.Incarnation{}) {
		e.until[inc] = at
	}
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
