package dispatch

import (
	"context"
	"sync"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// endQueue collects ends of runs (executions of tasks on minions), so that one
// command commits those of many minions.
type endQueue struct {
	mu   sync.Mutex
	ends []*apiv1.EndedRun
	// waiters get the result of the commit.
	waiters []chan bool
	// wakeup has a value while ends wait for the commit loop.
	wakeup chan struct{}
}

// commitEnds returns true once the ends are committed, or false when the term or
// ctx ended first.
func (d *Dispatcher) commitEnds(ctx context.Context, ends []*apiv1.EndedRun) bool {
	done := make(chan bool, 1)
	d.ends.mu.Lock()
	d.ends.ends = append(d.ends.ends, ends...)
	d.ends.waiters = append(d.ends.waiters, done)
	d.ends.mu.Unlock()
	select {
	case d.ends.wakeup <- struct{}{}:
	default:
	}
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}

// commitEndsLoop commits the queued ends, one batch after the other, until the
// term ends.
func (d *Dispatcher) commitEndsLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.ends.wakeup:
		}
		d.ends.mu.Lock()
		ends, waiters := d.ends.ends, d.ends.waiters
		d.ends.ends, d.ends.waiters = nil, nil
		d.ends.mu.Unlock()
		if len(waiters) == 0 {
			continue
		}
		running := d.runningJobs(ends)
		ok := d.commitWithRetry(&apiv1.UpdateRuns{Ends: ends, Term: d.term})
		if ok {
			d.stopIncompleteGangs(ends)
			d.logEndedJobs(running)
		}
		for _, w := range waiters {
			w <- ok
		}
	}
}

// commitWithRetry proposes a command until it is committed, and returns false
// when the term ended first. The outcome of a failed proposal is unknown;
// committing an end twice has no effect.
func (d *Dispatcher) commitWithRetry(cmd *apiv1.UpdateRuns) bool {
	for d.ctx.Err() == nil {
		res, err := d.propose(d.ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: cmd}})
		if err == nil {
			d.logGivenUp(res.GetRuns().GetGivenUp())
			return true
		}
		if d.ctx.Err() == nil {
			d.log.WithError(err).WithField("ends", len(cmd.Ends)).Warn("ends are not committed yet")
			sleep(d.ctx, retryDelay)
		}
	}
	return false
}
