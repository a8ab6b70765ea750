package entry

import (
	"context"
	"fmt"
	"sync"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// inFlight counts requests and the background work they leave behind.
type inFlight struct {
	mu         sync.Mutex
	max        int
	requests   int
	background int
	draining   bool
	idle       chan struct{} // closed when draining and nothing is left
	closed     bool
}

func newInFlight(limit int) *inFlight {
	return &inFlight{max: limit, idle: make(chan struct{})}
}

// enter admits one request; the caller must call leave.
func (f *inFlight) enter() *result.Error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN, "this entry is shutting down; send the request again")
	}
	if f.requests >= f.max {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "this entry already serves its maximum of %d requests; retry later", f.max)
	}
	f.requests++
	return nil
}

func (f *inFlight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests--
	f.closeWhenIdle()
}

// run starts fn in a goroutine that Drain waits for.
func (f *inFlight) run(fn func()) {
	f.mu.Lock()
	f.background++
	f.mu.Unlock()
	go func() {
		defer f.done()
		fn()
	}()
}

func (f *inFlight) done() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.background--
	f.closeWhenIdle()
}

func (f *inFlight) closeWhenIdle() {
	if f.draining && !f.closed && f.requests == 0 && f.background == 0 {
		f.closed = true
		close(f.idle)
	}
}

func (f *inFlight) drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	f.closeWhenIdle()
	f.mu.Unlock()
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		requests, background, _ := f.counts()
		return fmt.Errorf("drain ended with %d requests and %d background calls unfinished: %w", requests, background, ctx.Err())
	}
}

func (f *inFlight) counts() (requests, background int, draining bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests, f.background, f.draining
}
