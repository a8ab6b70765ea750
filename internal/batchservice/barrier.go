package batchservice

import (
	"context"
	"sync"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// readBarrier makes reads linearizable: before a read, a quorum confirms that
// this replica still leads. Concurrent reads share a confirmation; each read
// waits for one that begins after the read arrived.
type readBarrier struct {
	confirm func(ctx context.Context) error

	mu sync.Mutex
	// pending is the confirmation that begins next, or nil while no read waits
	// for one.
	pending *confirmation
	// running reports whether the goroutine that runs confirmations is active.
	running bool
}

// confirmation is the outcome of one confirmation by the quorum. err is set
// before done is closed.
type confirmation struct {
	done chan struct{}
	err  error
}

func newReadBarrier(confirm func(ctx context.Context) error) *readBarrier {
	return &readBarrier{confirm: confirm}
}

// wait returns nil once a confirmation that began after the call has succeeded.
// It returns the confirmation's error, or NO_QUORUM if ctx ends first. Either way
// the read, and a call that waits for it, has not run.
func (b *readBarrier) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.pending == nil {
		b.pending = &confirmation{done: make(chan struct{})}
	}
	c := b.pending
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return errNotConfirmed(ctx.Err())
	}
}

func errNotConfirmed(err error) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "no quorum confirmed the leader: %v", err)
}

// run performs confirmations one after the other until no read waits for one.
func (b *readBarrier) run() {
	for {
		b.mu.Lock()
		c := b.pending
		b.pending = nil
		if c == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		c.err = b.confirm(ctx)
		cancel()
		close(c.done)
	}
}
