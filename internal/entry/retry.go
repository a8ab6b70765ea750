package entry

import (
	"sync"
	"time"

	"bergamotdrum.example/bergamotdrum/internal/clock"
)

const (
	// Number of requests per retry allowed. It keeps retries from multiplying an
	// overload.
	requestsPerRetry = 10
	// Retries allowed per second, however few requests there are.
	minRetriesPerSecond = 3
	// Limit on the unused retries that are kept for a burst.
	maxSavedRetries = 30
)

// retryBudget is a token bucket that allows one retry per requestsPerRetry
// requests, but at least minRetriesPerSecond.
type retryBudget struct {
	clock       clock.Clock
	mu          sync.Mutex
	tokens      int           // a retry costs requestsPerRetry
	windowStart time.Duration // start of the current second
	deposited   int           // tokens earned in the current second
}

func newRetryBudget(c clock.Clock) *retryBudget {
	return &retryBudget{clock: c, tokens: minRetriesPerSecond * requestsPerRetry, windowStart: c.Now()}
}

// deposit adds one token, for one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.deposited++
	b.add(1)
}

// tryTake takes the tokens of one retry and reports whether there were enough.
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

// refill adds, for each second that has ended, the tokens by which its deposits
// fell short of minRetriesPerSecond retries. The caller holds b.mu.
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
	// A connection counts as stalled after this multiple of the slowest recent
	// response time without progress, so that requests of normal duration are
	// not aborted.
	progressTimeoutFactor = 4
	// Each faster response lowers the slowest response time by this fraction
	// (one 64th) of the difference.
	slowestDecay = 64
)

// progressTimeouts estimates, for each service, how long a healthy connection may
// make no progress while the minion (the process that serves the service) works
// on a request.
type progressTimeouts struct {
	shortest time.Duration // lower limit of the timeouts
	mu       sync.Mutex
	slowest  map[string]time.Duration // slowest response time by service, decaying
}

func newProgressTimeouts(shortest time.Duration) *progressTimeouts {
	return &progressTimeouts{shortest: shortest, slowest: map[string]time.Duration{}}
}

// observe records the time from the start of an attempt until its response, or the
// first maxBufferedResponseBytes of it, had arrived.
func (t *progressTimeouts) observe(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slowest := t.slowest[service]
	if took > slowest {
		t.slowest[service] = took
		return
	}
	t.slowest[service] = slowest - (slowest-took)/slowestDecay
}

// timeout returns the progress timeout of an attempt whose request has the given
// time left. Until the service has responded once, that is all the time left.
func (t *progressTimeouts) timeout(service string, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	slowest, ok := t.slowest[service]
	if !ok {
		return left
	}
	return min(max(t.shortest, progressTimeoutFactor*slowest), left)
}
