package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// endQueue collects what minions report of runs (executions of tasks), so that one
// command commits the reports of many.
type endQueue struct {
	mu      sync.Mutex
	reports runReports
	// wakeup has a value while the commit loop is to take what waits.
	wakeup chan struct{}
}

// runReports are what is to be committed of runs.
type runReports struct {
	ends []*apiv1.EndedRun
	// begun holds the ids of the jobs of which a minion has begun a task.
	begun map[string]bool
	// listed holds the runs of long-running tasks that a minion has listed for the first
	// time.
	listed []*apiv1.ListedRun
	// waiters get the result of the commit.
	waiters []chan bool
}

func (q *endQueue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// take empties the queue.
func (q *endQueue) take() runReports {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.reports
	q.reports = runReports{}
	return out
}

// commitEnds returns true once the ends are committed, or false when the term or
// ctx ended first.
func (d *Dispatcher) commitEnds(ctx context.Context, ends []*apiv1.EndedRun) bool {
	select {
	case ok := <-d.queueEnds(ends):
		return ok
	case <-ctx.Done():
		return false
	}
}

// commitEnds is like Dispatcher.commitEnds. Until the ends are committed it renews the
// minion's lease, since the next hold call has to wait: it acknowledges the ends. The
// first hold call of a session renews nothing, and the lease may be about to end then.
func (s *session) commitEnds(ctx context.Context, ends []*apiv1.EndedRun) bool {
	done := s.d.queueEnds(ends)
	answers, wait := true, s.untilRenewal()
	for {
		select {
		case ok := <-done:
			return ok
		case <-ctx.Done():
			return false
		case <-time.After(wait):
			answers = answers && s.renewLease(ctx)
			wait = max(s.untilRenewal(), retryDelay)
		}
	}
}

// untilRenewal returns the time until the lease should be renewed.
func (s *session) untilRenewal() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.renewedAt == 0 {
		return 0
	}
	return max(s.renewedAt+holdWait-s.d.clock.Now(), 0)
}

// renewLease makes a hold call, the long poll that lists the minion's runs, only to
// renew the lease: it has no wait, and what it lists is ignored. renewLease returns
// false when the minion doesn't answer, so that its lease isn't to be extended.
func (s *session) renewLease(ctx context.Context) bool {
	if !s.d.leadershipConfirmed() || !s.d.isCurrent(s) {
		return true
	}
	s.mu.Lock()
	if !s.mayRenew() {
		s.mu.Unlock()
		return false
	}
	o := HoldRequest{Token: s.token, LastAckedEnd: s.ackedEnd, LeaseUntilMS: s.extendLease()}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, holdGrace)
	defer cancel()
	reply, err := s.d.opts.Minions.Hold(ctx, s.target, o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || reply.StartedMS != s.target.Incarnation.StartedMS {
		s.renewalFailed = true
		return false
	}
	s.lease.observeClock(reply.ClockMS, s.d.clock.Now())
	return true
}

// queueEnds has the ends committed. The channel gets the result.
func (d *Dispatcher) queueEnds(ends []*apiv1.EndedRun) <-chan bool {
	done := make(chan bool, 1)
	d.ends.mu.Lock()
	d.ends.reports.ends = append(d.ends.reports.ends, ends...)
	d.ends.reports.waiters = append(d.ends.reports.waiters, done)
	d.ends.mu.Unlock()
	d.ends.wake()
	return done
}

// commitEndsLoop commits the queued reports of runs, one batch after the other, until
// the term ends.
func (d *Dispatcher) commitEndsLoop() {
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.ends.wakeup:
		}
		reports := d.ends.take()
		queued := d.queuedJobs(reports.begun, reports.ends)
		cmd := &apiv1.UpdateRuns{Ends: reports.ends, Listed: reports.listed, Term: d.term}
		for _, id := range queued {
			if reports.begun[id] {
				cmd.BegunJobIds = append(cmd.BegunJobIds, id)
			}
		}
		if len(reports.waiters) == 0 && len(cmd.BegunJobIds) == 0 && len(cmd.Listed) == 0 {
			continue
		}
		running := d.runningJobs(reports.ends)
		ok := d.commitWithRetry(cmd)
		if ok {
			d.stopIncompleteGangs(reports.ends)
			d.logStartedJobs(queued)
			d.logEndedJobs(running)
		}
		for _, w := range reports.waiters {
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
			d.log.WithError(err).WithFields(logrus.Fields{"ends": len(cmd.Ends), "begun_jobs": len(cmd.BegunJobIds)}).Warn("ends are not committed yet")
			sleep(d.ctx, retryDelay)
		}
	}
	return false
}
