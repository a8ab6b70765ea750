package entry

import (
	"sync"
	"time"

	"bergamotdrum.example/bergamotdrum/internal/clock"
)

const (
	// Requests that earn one retry, so that retries cannot multiply an overload.
	requestsPerRetry = 10
	// Retries allowed per second at low rates.
	minRetriesPerSecond = 3
	// Most retries saved up for a burst.
	maxSavedRetries = 30
)

// retryBudget allows a tenth of the requests, but at least
// minRetriesPerSecond, to be retried.
type retryBudget struct {
	clock       clock.Clock
	mu          sync.Mutex
	tokens      int           // requestsPerRetry of them pay for one retry
	windowStart time.Duration // start of the current second
	deposited   int           // tokens earned in the current second
}

func newRetryBudget(c clock.Clock) *retryBudget {
	return &retryBudget{clock: c, tokens: minRetriesPerSecond * requestsPerRetry, windowStart: c.Now()}
}

// deposit counts one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.deposited++
	b.add(1)
}

// tryTake uses one retry and reports whether there was one.
func (b *retryBudget) tryTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < requestsPerRetry {
		return false
	}
	b.tokens -= requestsPerRetry
	return true
}

// refill tops up each second that ended below the minimum.
func (b *retryBudget) refill() {
	seconds := (b.clock.Now() - b.windowStart) / time.Second
	if seconds <= 0 {
		return
	}
	b.windowStart += seconds * time.Second
	const perSecond = minRetriesPerSecond * requestsPerRetry
	b.add(max(perSecond-b.deposited, 0) + perSecond*(int(seconds)-1))
	b.deposited = 0
}

func (b *retryBudget) add(n int) {
	b.tokens = min(b.tokens+n, maxSavedRetries*requestsPerRetry)
}

const (
	// A connection counts as silent after this many times the slowest recent
	// response, so that work of normal length is not cut.
	progressTimeoutFactor = 4
	// Share by which the slowest response falls towards each newer one.
	slowestDecay = 64
)

// progressTimeouts derives per service how long a healthy connection may stay
// silent while the minion works.
type progressTimeouts struct {
	floor   time.Duration
	mu      sync.Mutex
	slowest map[string]time.Duration // time to the buffered response, decayed
}

func newProgressTimeouts(floor time.Duration) *progressTimeouts {
	return &progressTimeouts{floor: floor, slowest: map[string]time.Duration{}}
}

func (e *progressTimeouts) observe(service string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowest := e.slowest[service]
	if took > slowest {
		e.slowest[service] = took
		return
	}
	e.slowest[service] = slowest - (slowest-took)/slowestDecay
}

// timeout returns the silence allowed with left time for the request. Until
// a response of the service was seen, that is all of it.
func (e *progressTimeouts) timeout(service string, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	slowest, ok := e.slowest[service]
	if !ok {
		return left
	}
	return min(max(e.floor, progressTimeoutFactor*slowest), left)
}
