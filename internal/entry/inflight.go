package entry

import (
	"context"
	"fmt"
	"sync"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// inFlightTracker counts requests and the background work they leave behind.
type inFlightTracker struct {
	mu            sync.Mutex
	limit         int
	requests      int
	background    int
	draining      bool
	drained       chan struct{} // closed when draining and nothing is left
	drainedClosed bool
}

func newInFlightTracker(limit int) *inFlightTracker {
	return &inFlightTracker{limit: limit, drained: make(chan struct{})}
}

// enter admits one request; the caller must call leave.
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

// runBackground starts fn in a goroutine that Drain waits for.
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

func (t *inFlightTracker) signalIfDrained() {
	if t.draining && !t.drainedClosed && t.requests == 0 && t.background == 0 {
		t.drainedClosed = true
		close(t.drained)
	}
}

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
