package dispatch

import (
	"context"
	"errors"
	"time"
)

// hold makes one hold call.
func (s *session) hold(ctx context.Context) (*HoldReply, error) {
	o := HoldRequest{Token: s.token}
	s.mu.Lock()
	o.LastAckedEnd = s.ackedEnd
	if s.answering {
		o.MaxWait = s.nextHoldWait()
		// The clock is read before the permission is checked, so that the lease counts
		// from a time at which this leader had it, even if the process is suspended in
		// between. The lease of a minion that doesn't answer is not extended, since its
		// runs are released when the present lease ends.
		now := s.d.clock.Now()
		if length := s.d.allowedLease(); length > 0 && s.d.leadershipConfirmed() {
			o.LeaseUntilMS = s.lease.extend(now, length)
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, o.MaxWait+holdGrace)
	defer cancel()
	return s.d.opts.Minions.Hold(ctx, s.target, o)
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

// nextHoldWait returns the wait for the next hold call. It is shorter while a
// long-running task starts up, since the maintenance of other machines waits for
// that task. The caller holds mu.
func (s *session) nextHoldWait() time.Duration {
	for _, o := range s.orders {
		if o.isLongRunning && !o.released && o.lastStatus.SpeedPercent < fullSpeed {
			return startupHoldWait
		}
	}
	return holdWait
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
		return false // the minion is not silent
	}
	s.mu.Lock()
	if refused {
		s.lease.observeClock(refusal.ClockMS, s.d.clock.Now())
	}
	expired := s.lease.expired(s.d.clock.Now())
	wasAnswering := s.answering
	s.answering = false
	s.mu.Unlock()
	if wasAnswering {
		s.log.WithError(err).Warn("minion does not answer")
	}
	if !expired {
		return false
	}
	if startedMS, ok := s.d.laterIncarnation(s.target.Incarnation); ok {
		// The later incarnation may carry out a delayed start.
		s.d.handleRestart(ctx, s, startedMS)
		return true
	}
	s.d.endIncarnation(ctx, s, "its lease has expired", connectionRefused(err))
	return true
}
