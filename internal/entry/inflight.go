package entry

import (
	"context"
	"fmt"
	"sync"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// inFlightTracker limits the requests served at once, and counts them and the
// background work that outlives them, so that a shutdown can wait for both.
type inFlightTracker struct {
	mu            sync.Mutex
	limit         int
	requests      int
	background    int
	draining      bool
	drained       chan struct{} // closed once draining and no work is left
	drainedClosed bool
}

func newInFlightTracker(limit int) *inFlightTracker {
	return &inFlightTracker{limit: limit, drained: make(chan struct{})}
}

// enter accepts one request, or returns SHUTTING_DOWN during a drain, that is,
// while the process stops, and QUEUE_FULL at the limit. After success, leave must
// be called.
func (t *inFlightTracker) enter() *result.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN, "this entry is shutting down; send the request again")
	}
	if t.requests >= t.limit {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "this entry already serves its maximum of %d requests; retry later", t.limit)
	}
	t.requests++
	return nil
}

func (t *inFlightTracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests--
	t.signalIfDrained()
}

// runBackground runs fn in a goroutine that drain waits for. It counts towards
// no limit and starts also during a drain.
func (t *inFlightTracker) runBackground(fn func()) {
	t.mu.Lock()
	t.background++
	t.mu.Unlock()
	go func() {
		defer t.leaveBackground()
		fn()
	}()
}

func (t *inFlightTracker) leaveBackground() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.background--
	t.signalIfDrained()
}

// signalIfDrained closes drained once. The caller holds t.mu.
func (t *inFlightTracker) signalIfDrained() {
	if t.draining && !t.drainedClosed && t.requests == 0 && t.background == 0 {
		t.drainedClosed = true
		close(t.drained)
	}
}

// drain refuses new requests from now on and waits until no request and no
// background work is left, or ctx ends, in which case it returns an error.
func (t *inFlightTracker) drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	t.signalIfDrained()
	t.mu.Unlock()
	select {
	case <-t.drained:
		return nil
	case <-ctx.Done():
		requests, background, _ := t.counts()
		return fmt.Errorf("drain ended with %d requests and %d background calls unfinished: %w", requests, background, ctx.Err())
	}
}

func (t *inFlightTracker) counts() (requests, background int, draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests, t.background, t.draining
}
