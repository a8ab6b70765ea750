package batchservice

import (
	"context"
	"sync"
)

// readBarrier lets many reads share one confirmation by a quorum that this
// replica leads. Each read waits for a confirmation that begins after the read
// arrived, so that it sees all that was committed before.
type readBarrier struct {
	confirm func(ctx context.Context) error

	mu sync.Mutex
	// next is the confirmation that begins next, for which the new reads wait;
	// running is set while run works, so that only one confirmation at a time is
	// under way.
	next    *round
	running bool
}

// round is one confirmation.
type round struct {
	done chan struct{}
	err  error
}

func newReadBarrier(confirm func(ctx context.Context) error) *readBarrier {
	return &readBarrier{confirm: confirm}
}

// wait returns nil once a confirmation that began after the call has ended.
func (b *readBarrier) wait(ctx context.Context) error {
	b.mu.Lock()
	if b.next == nil {
		b.next = &round{done: make(chan struct{})}
	}
	r := b.next
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *readBarrier) run() {
	for {
		b.mu.Lock()
		r := b.next
		b.next = nil
		if r == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
		r.err = b.confirm(ctx)
		cancel()
		close(r.done)
	}
}
