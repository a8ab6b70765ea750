package dispatch

import (
	"context"
	"errors"
	"time"
)

const (
	// idleHoldsPerSecond is how many hold calls a second the leader makes to minions
	// that run nothing, unless they would be held back for longer than maxIdleHoldWait.
	idleHoldsPerSecond = 400
	maxIdleHoldWait    = 2 * time.Second
)

// idleHoldWait replaces holdWait for minions that run nothing. It grows with their
// number, since the calls to a large fleet cost the leader as much as its starts.
func (d *Dispatcher) idleHoldWait() time.Duration {
	d.mu.Lock()
	sessions := len(d.sessions)
	d.mu.Unlock()
	wait := min(time.Duration(sessions)*time.Second/idleHoldsPerSecond, maxIdleHoldWait, d.opts.Lease/2)
	return max(wait, holdWait)
}

// hold makes one hold call.
func (s *session) hold(ctx context.Context) (*HoldReply, error) {
	o := HoldRequest{Token: s.token}
	idleWait := s.d.idleHoldWait()
	s.mu.Lock()
	o.LastAckedEnd = s.ackedEnd
	if s.mayRenew() {
		// The lease of a minion that doesn't answer is not extended, since its
		// runs are released when the present lease ends.
		o.MaxWait, o.LeaseUntilMS = s.nextHoldWait(idleWait), s.extendLease()
	}
	s.heldFor = max(o.MaxWait, holdWait)
	timeout := s.untilExpiry(o.MaxWait + holdGrace)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.d.opts.Minions.Hold(ctx, s.target, o)
}

// mayRenew reports whether the lease may be renewed: the minion answered the last call
// that did so. The caller holds mu.
func (s *session) mayRenew() bool { return s.answering && !s.renewalFailed }

// extendLease records that the lease is about to be renewed and returns its end on the
// minion's clock, in ms, or zero when this leader may not renew it now. The caller
// holds mu.
func (s *session) extendLease() int64 {
	// The clock is read before the permission is checked, so that the lease counts from
	// a time at which this leader had it, even if the process is suspended in between.
	now := s.d.clock.Now()
	length := s.d.allowedLease()
	if length == 0 || !s.d.leadershipConfirmed() {
		return 0
	}
	s.renewedAt = now
	return s.lease.extend(now, length)
}

// untilExpiry returns d, or the time until runs of a minion that doesn't answer are to be
// released, if that is shorter. The caller holds mu.
func (s *session) untilExpiry(d time.Duration) time.Duration {
	now := s.d.clock.Now()
	left := s.lease.endsBy - now
	if left < 0 {
		left = s.lease.startsEndBy - now
	}
	if s.mayRenew() || left < 0 {
		return d
	}
	return min(d, left+time.Millisecond)
}

// retryPause returns the pause after a failed hold call.
func (s *session) retryPause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.untilExpiry(retryDelay)
}

// probe makes a hold call without a wait, in parallel to the one that waits for
// ends. It is called after a stop, so that the end of the run is known soon.
func (s *session) probe() {
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	s.mu.Lock()
	o := HoldRequest{Token: s.token, LastAckedEnd: s.ackedEnd}
	s.mu.Unlock()
	sentAt := s.d.clock.Now()
	reply, err := s.d.opts.Minions.Hold(ctx, s.target, o)
	if err != nil || reply.StartedMS != s.target.Incarnation.StartedMS || !s.d.isCurrent(s) {
		return // the next hold call gets the same information
	}
	s.handleReply(s.d.ctx, reply, sentAt)
}

// nextHoldWait returns the wait for the next hold call. It is idleWait while nothing
// runs, and shorter than usual while a long-running task starts up, since the
// maintenance of other machines waits for that task. The caller holds mu.
func (s *session) nextHoldWait(idleWait time.Duration) time.Duration {
	switch {
	case len(s.orders) == 0:
		return idleWait
	case s.startsUp():
		return startupHoldWait
	}
	return holdWait
}

// startsUp reports whether a long-running task starts up. The caller holds mu.
func (s *session) startsUp() bool {
	for _, o := range s.orders {
		if o.isLongRunning && !o.released && o.lastStatus.SpeedPercent < fullSpeed {
			return true
		}
	}
	return false
}

// handleHoldError handles a failed hold call. It returns true when the
// incarnation has ended.
func (s *session) handleHoldError(ctx context.Context, err error) bool {
	refusal, refused := errors.AsType[*Refusal](err)
	if refused && refusal.Reason == RefusedOtherIncarnation {
		s.d.endIncarnation(ctx, s, "another incarnation answers at its address", true)
		return true
	}
	if refused && refusal.Reason == NotSent {
		s.log.WithError(err).Warn("hold call was not sent")
		s.mu.Lock()
		s.renewalFailed = true
		s.mu.Unlock()
		return s.endIfExpired(ctx, err) // its runs end with the lease although it isn't silent
	}
	s.mu.Lock()
	if refused {
		s.lease.observeClock(refusal.ClockMS, s.d.clock.Now())
	}
	wasAnswering := s.answering
	s.answering = false
	s.mu.Unlock()
	if wasAnswering {
		s.log.WithError(err).Warn("minion does not answer")
	}
	return s.endIfExpired(ctx, err)
}

// endIfExpired ends the incarnation, and returns true, when its lease has ended since the
// minion doesn't answer, or no call can be sent to it, as shown by err.
func (s *session) endIfExpired(ctx context.Context, err error) bool {
	now := s.d.clock.Now()
	s.mu.Lock()
	expired, startsEnded := !s.mayRenew() && s.lease.expired(now), now > s.lease.startsEndBy
	s.mu.Unlock()
	if !expired {
		return false
	}
	if startedMS, ok := s.d.laterIncarnation(s.target.Incarnation); ok {
		// The later incarnation may carry out a delayed start.
		s.d.handleRestart(ctx, s, startedMS)
		return true
	}
	if !startsEnded && !s.releaseSettled(ctx) {
		return false // a next incarnation that carries out a start may be announced until then
	}
	s.d.endIncarnation(ctx, s, "its lease has expired", connectionRefused(err))
	return true
}

// awaitFullSpeed asks for the status of long-running tasks that have just started until
// all of the minion's work at full speed. Without it the status is known only when the
// pending hold call, which began before, is answered, and other tasks of the step may
// wait for that.
func (s *session) awaitFullSpeed() {
	s.mu.Lock()
	waiting := s.awaitingFullSpeed
	s.awaitingFullSpeed = true
	s.mu.Unlock()
	if waiting {
		return
	}
	for waited := time.Duration(0); waited < maxIdleHoldWait && s.d.ctx.Err() == nil; waited += startupHoldWait {
		s.probe()
		s.mu.Lock()
		done := !s.answering || !s.startsUp()
		s.mu.Unlock()
		if done {
			break
		}
		sleep(s.d.ctx, startupHoldWait)
	}
	s.mu.Lock()
	s.awaitingFullSpeed = false
	s.mu.Unlock()
}
