package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// unhealthyPause is how long a minion that refused an order as unhealthy gets
// no new work.
const unhealthyPause = time.Second

// refusalPause is the same for other refusals: the leader's view of the minion
// is out of date until the next hold.
const refusalPause = 100 * time.Millisecond

// committedRun is a run on a minion in the committed state.
type committedRun struct {
	key batch.RunKey
	// unwanted: its job has ended or another copy has done the task.
	unwanted bool
	// inherited: an earlier leader committed it.
	inherited bool
	lasting   bool
}

// committedLoad is what is committed on a life.
type committedLoad struct {
	runs []committedRun
	// revision of the load, and of the whole state it was read from.
	revision, readAt uint64
}

// sync makes the orders follow the runs committed on the minion and sends what
// is due. Inherited runs are never started: their order may be on its way
// already.
func (s *session) sync(load committedLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if load.readAt < s.readAt {
		return // a later state was taken over in the meantime
	}
	s.revision, s.readAt = load.revision, load.readAt
	present := make(map[batch.RunKey]bool, len(load.runs))
	for _, r := range load.runs {
		present[r.key] = true
		o := s.orders[r.key]
		if o == nil {
			o = &order{lasting: r.lasting}
			if r.inherited {
				o.state = orderUnanswered
			}
			s.orders[r.key] = o
		}
		if r.unwanted {
			o.stop = true
		}
	}
	for key := range s.orders {
		if !present[key] {
			delete(s.orders, key)
		}
	}
	s.send()
}

// syncedRevision is the revision of the committed runs that the orders follow.
func (s *session) syncedRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// stopRun asks for a run to be stopped.
func (s *session) stopRun(key batch.RunKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.orders[key]; o != nil && !o.stop {
		o.stop = true
		s.send()
	}
}

// send launches the orders that are due. The caller holds mu.
func (s *session) send() {
	for key, o := range s.orders {
		switch {
		case o.released:
		case o.stop && (o.state == orderUnsent || o.state == orderStarted || o.state == orderUnanswered):
			o.state = orderStopping
			go s.sendStop(key, o)
		case !o.stop && o.state == orderUnsent && s.reached:
			o.state = orderSending
			s.d.unsent.Add(1)
			go s.sendStart(key, o)
		}
	}
}

// acquire takes one of the minion's order slots, or gives up with the term.
func (s *session) acquire() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	case <-s.d.ctx.Done():
		return false
	}
}

func (s *session) sendStart(key batch.RunKey, o *order) {
	acquired := s.acquire()
	s.d.unsent.Add(-1)
	if !acquired {
		return
	}
	defer func() { <-s.slots }()
	so, ok := s.prepareStart(key, o)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	clockMS, err := s.d.o.Driver.Start(ctx, s.target, so)
	now := s.d.clock.Now()
	s.d.m.startSeconds.Observe((now - o.sentAt).Seconds())
	s.log.WithFields(logrus.Fields{"run": key.String(), "job_id": key.Job, "outcome": outcomeName(err)}).Info("start ordered")
	s.mu.Lock()
	s.lease.observe(clockMS, now)
	end := s.startAnswered(o, err, now)
	s.mu.Unlock()
	if end != apiv1.RunEnd_RUN_END_UNSPECIFIED {
		s.d.commitEnds(s.d.ctx, []*apiv1.EndedRun{{Task: key.Name(), Run: key.Number, End: end}})
	}
}

// prepareStart checks once more that the run is wanted and that this leader
// may still act.
func (s *session) prepareStart(key batch.RunKey, o *order) (StartOrder, bool) {
	spec, ok := s.d.specification(key)
	alive := s.d.alive(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.d.clock.Now()
	if !ok || o.stop || !s.d.valid() || !alive {
		// Nothing left this process, but a stop makes sure of it.
		o.state, o.stop = orderUnanswered, true
		s.send()
		return StartOrder{}, false
	}
	o.sentAt = now
	spec.Token = s.token
	spec.LeaseUntilMS = s.lease.until(now, s.d.o.Lease)
	return spec, true
}

// startAnswered returns the end to commit when the run certainly did not
// start. The caller holds mu.
func (s *session) startAnswered(o *order, err error, now time.Duration) apiv1.RunEnd {
	o.answeredAt = now
	if err == nil {
		o.state = orderStarted
		s.send()
		return apiv1.RunEnd_RUN_END_UNSPECIFIED
	}
	refusal, ok := errors.AsType[*Refusal](err)
	if !ok || refusal.Reason == RefusedFenced || refusal.Reason == RefusedOldRun {
		// An old run may be one that has just ended; the next hold tells.
		o.state = orderUnanswered
		s.send()
		return apiv1.RunEnd_RUN_END_UNSPECIFIED
	}
	if refusal.Reason == RefusedOtherLife {
		o.state = orderUnanswered
		return apiv1.RunEnd_RUN_END_UNSPECIFIED
	}
	s.lease.observe(refusal.ClockMS, now)
	s.d.m.refused.WithLabelValues(refusal.Reason.String()).Inc()
	s.pausedUntil = max(s.pausedUntil, now+refusalPause)
	if refusal.Reason == RefusedUnhealthy {
		s.pausedUntil = now + unhealthyPause
		s.health.refusedUnhealthy(now)
	}
	o.released = true
	return apiv1.RunEnd_RUN_END_NOT_STARTED
}

func outcomeName(err error) string {
	if err == nil {
		return "started"
	}
	if refusal, ok := errors.AsType[*Refusal](err); ok {
		return "refused: " + refusal.Reason.String()
	}
	return "no answer: " + err.Error()
}

// sendStop repeats a stop until it is answered or the run is gone.
func (s *session) sendStop(key batch.RunKey, o *order) {
	if !s.acquire() {
		return
	}
	defer func() { <-s.slots }()
	for s.d.ctx.Err() == nil {
		if s.gone(key, o) {
			return
		}
		if s.d.valid() && s.tryStop(key, o) {
			return
		}
		pause(s.d.ctx, retryPause)
	}
}

func (s *session) gone(key batch.RunKey, o *order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[key] != o || o.released || !s.d.alive(s)
}

func (s *session) tryStop(key batch.RunKey, o *order) bool {
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	clockMS, err := s.d.o.Driver.Stop(ctx, s.target, key, s.token)
	now := s.d.clock.Now()
	s.log.WithFields(logrus.Fields{"run": key.String(), "job_id": key.Job, "outcome": outcomeName(err)}).Info("stop ordered")
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.lease.observe(clockMS, now)
	o.state, o.answeredAt = orderStopped, now
	s.mu.Unlock()
	s.probe()
	return true
}

// stopUnknown stops a run that the state does not have on this minion.
func (s *session) stopUnknown(key batch.RunKey) {
	if !s.acquire() {
		return
	}
	defer func() { <-s.slots }()
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	if _, err := s.d.o.Driver.Stop(ctx, s.target, key, s.token); err != nil {
		s.log.WithError(err).WithField("run", key.String()).Warn("stop of an uncommitted run failed; it is tried again with the next report")
	}
}
