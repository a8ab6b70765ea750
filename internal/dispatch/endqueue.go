package dispatch

import (
	"context"
	"sync"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// endQueue collects ends so that one commit carries those of many minions.
type endQueue struct {
	mu      sync.Mutex
	ends    []*apiv1.EndedRun
	waiters []chan bool
	wake    chan struct{}
}

// commitEnds returns true once the ends are committed, false when the term
// ended first.
func (d *Dispatcher) commitEnds(ctx context.Context, ends []*apiv1.EndedRun) bool {
	done := make(chan bool, 1)
	d.ends.mu.Lock()
	d.ends.ends = append(d.ends.ends, ends...)
	d.ends.waiters = append(d.ends.waiters, done)
	d.ends.mu.Unlock()
	select {
	case d.ends.wake <- struct{}{}:
	default:
	}
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

func (d *Dispatcher) commitEndsLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.ends.wake:
		}
		d.ends.mu.Lock()
		ends, waiters := d.ends.ends, d.ends.waiters
		d.ends.ends, d.ends.waiters = nil, nil
		d.ends.mu.Unlock()
		if len(waiters) == 0 {
			continue
		}
		ok := d.commitWithRetry(&apiv1.UpdateRuns{Ends: ends, Term: d.term})
		for _, w := range waiters {
			w <- ok
		}
	}
}

// commitWithRetry repeats a proposal whose outcome is unknown; ends may be
// committed twice without harm.
func (d *Dispatcher) commitWithRetry(cmd *apiv1.UpdateRuns) bool {
	for d.ctx.Err() == nil {
		_, err := d.propose(d.ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: cmd}})
		if err == nil {
			return true
		}
		if d.ctx.Err() == nil {
			d.log.WithError(err).WithField("ends", len(cmd.Ends)).Warn("ends are not committed yet")
			sleep(d.ctx, retryDelay)
		}
	}
	return false
}
