package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// unhealthyBackoff is how long a minion that refused an order as unhealthy gets
// no new work.
const unhealthyBackoff = time.Second

// refusalBackoff is the same for other refusals: they show that the leader's
// information about the minion is out of date until the next hold reply, the
// answer to the long poll that returns the minion's runs.
const refusalBackoff = 100 * time.Millisecond

// committedRun is a run (one execution of a task) on a minion according to the
// committed state.
type committedRun struct {
	key batch.RunKey
	// obsolete is set when the run's job has ended or another run has done the
	// task.
	obsolete bool
	// inherited is set when an earlier leader committed the run.
	inherited     bool
	isLongRunning bool
	// listed is set when the incarnation is recorded to have listed the run.
	listed        bool
	startedUnixMS int64
	// resources is what the run takes of the minion's capacity.
	resources batch.Usage
}

// committedLoad lists the runs that are committed on an incarnation, one
// lifetime of a minion's process.
type committedLoad struct {
	runs []committedRun
	// loadRevision is the revision of the load, stateRevision that of the whole
	// state that it was read from.
	loadRevision, stateRevision uint64
	// unchanged is set when runs was not read, since the session had the runs of
	// loadRevision already.
	unchanged bool
}

// sync updates the orders from the runs committed on the minion and launches the
// calls that are due. Runs of an earlier leader or session are never started, since it
// may have sent their start order already, and that is sent once. sync returns false, and
// does nothing, if the load is given as unchanged and the orders reflect another one by
// now.
func (s *session) sync(load committedLoad) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if load.stateRevision < s.stateRevision {
		return true // the orders already reflect a later state
	}
	if load.unchanged {
		if load.loadRevision != s.loadRevision {
			return false
		}
		// An earlier state that is read only now must not replace the orders.
		s.stateRevision = load.stateRevision
		s.launchDue()
		return true
	}
	// An earlier session of the incarnation may have sent the orders of all runs
	// that this one finds.
	first := !s.synced
	s.synced = true
	s.loadRevision, s.stateRevision = load.loadRevision, load.stateRevision
	present := make(map[batch.RunKey]bool, len(load.runs))
	for _, r := range load.runs {
		present[r.key] = true
		o := s.orders[r.key]
		if o == nil {
			o = &runOrder{isLongRunning: r.isLongRunning, resources: r.resources, mayHaveBegun: first || r.inherited, listed: r.listed}
			if first || r.inherited {
				o.state = orderUncertain
			}
			if r.inherited {
				o.startedUnixMS = r.startedUnixMS
			}
			s.orders[r.key] = o
		}
		if r.obsolete {
			o.stopRequested, o.relocating = true, false
		}
	}
	for key := range s.orders {
		if !present[key] {
			delete(s.orders, key)
		}
	}
	s.launchDue()
	return true
}

// syncedRevision returns the revision of the committed load that the orders reflect,
// and whether they reflect any.
func (s *session) syncedRevision() (revision uint64, synced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadRevision, s.synced
}

// stopRun has a run stopped if it is on this minion. It returns before the
// minion has answered.
func (s *session) stopRun(key batch.RunKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.orders[key]; o != nil && !o.stopRequested {
		o.stopRequested = true
		s.launchDue()
	}
}

// launchDue starts a goroutine for each start or stop order that is due. The
// caller holds mu.
func (s *session) launchDue() {
	for key, o := range s.orders {
		switch {
		case o.released:
		case o.stopRequested && (o.state == orderUnsent || o.state == orderStarted || o.state == orderUncertain):
			o.state = orderStopping
			go s.sendStop(key, o)
		case !o.stopRequested && o.state == orderUnsent && s.answering:
			o.state = orderSending
			s.d.startWindow.begin()
			go s.sendStart(key, o)
		}
	}
}

// acquireSlot waits for one of the minion's order slots. It returns false when
// the term ends first.
func (s *session) acquireSlot() bool {
	select {
	case s.orderSlots <- struct{}{}:
		return true
	case <-s.d.ctx.Done():
		return false
	}
}

// sendStart sends the start order of a run once, and commits an end when the
// minion refused it for good.
func (s *session) sendStart(key batch.RunKey, o *runOrder) {
	began, answered := s.d.clock.Now(), false
	defer func() {
		took := s.d.clock.Now() - began
		s.d.startWindow.end(took, answered)
		s.d.load.observeStart(took)
	}()
	if !s.acquireSlot() {
		return
	}
	defer func() { <-s.orderSlots }()
	start, ok := s.prepareStart(key, o)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	clockMS, err := s.d.opts.Minions.Start(ctx, s.target, start)
	now := s.d.clock.Now()
	answered = isAnswer(err)
	s.d.metrics.startSeconds.Observe((now - o.sentAt).Seconds())
	s.logStart(key, o.isLongRunning, err)
	s.mu.Lock()
	s.lease.observeClock(clockMS, now)
	end := s.handleStartAnswer(o, err, now)
	if err == nil {
		s.reportBegun(key, o)
	}
	s.mu.Unlock()
	if err == nil && o.isLongRunning {
		go s.awaitFullSpeed()
	}
	if end != apiv1.RunEnd_RUN_END_UNSPECIFIED {
		s.d.commitEnds(s.d.ctx, []*apiv1.EndedRun{{Task: key.Name(), Run: key.Number, End: end}})
	}
}

// isAnswer reports whether the result of an order is the minion's answer.
func isAnswer(err error) bool {
	refusal, refused := errors.AsType[*Refusal](err)
	return err == nil || refused && refusal.Reason != NotSent
}

// prepareStart returns the start order of a run. It returns false, and has the
// run stopped instead, when the run is no longer wanted, the minion has no room
// for it any more or doesn't answer (its lease is not to be extended), its machine is
// about to go down or this leader may not send orders to the minion any more.
func (s *session) prepareStart(key batch.RunKey, o *runOrder) (StartOrder, bool) {
	start, capacity, ok := s.d.startOrder(key, s.target.Incarnation)
	current := s.d.isCurrent(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, length := s.d.clock.Now(), s.d.allowedLease()
	ending := s.d.fleet.ending.contains(s.target.Incarnation, now)
	if !ok || ending || o.stopRequested || !s.mayRenew() || length == 0 || !s.d.leadershipConfirmed() || !current || !s.hasRoom(o, capacity) {
		// No start order was sent, but only the answer to a stop order releases the
		// run.
		o.state, o.stopRequested = orderUncertain, true
		s.launchDue()
		return StartOrder{}, false
	}
	o.sentAt, o.mayHaveBegun = now, true
	start.Token = s.token
	start.LeaseUntilMS = s.lease.forStart(now, length)
	return start, true
}

// hasRoom reports whether a run and all those that may be running on the minion,
// also the ones that are being stopped, fit into its capacity. The capacity may
// have shrunk since the starts were committed; the runs whose orders are sent
// first stay. The caller holds mu.
func (s *session) hasRoom(o *runOrder, capacity *apiv1.Resources) bool {
	var used batch.Usage
	for _, other := range s.orders {
		if (other == o || other.mayHaveBegun) && !other.released {
			used = used.Add(other.resources, 1)
		}
	}
	return used.Within(capacity)
}

// handleStartAnswer records the answer to a start order. It returns the end to
// commit when the run certainly did not start. The caller holds mu.
func (s *session) handleStartAnswer(o *runOrder, err error, now time.Duration) apiv1.RunEnd {
	o.answeredAt = now
	if err == nil {
		o.state = orderStarted
		s.launchDue()
		return apiv1.RunEnd_RUN_END_UNSPECIFIED
	}
	if connectionRefused(err) {
		o.mayHaveBegun = false // an order is sent once, and this one had no connection
	}
	refusal, ok := errors.AsType[*Refusal](err)
	if !ok || refusal.Reason == RefusedFenced || refusal.Reason == RefusedStaleRun {
		// A stale run may be one that has just ended, which the next hold reply
		// shows.
		o.state = orderUncertain
		s.launchDue()
		return apiv1.RunEnd_RUN_END_UNSPECIFIED
	}
	if refusal.Reason == RefusedOtherIncarnation {
		o.state, o.mayHaveBegun = orderUncertain, false
		return apiv1.RunEnd_RUN_END_UNSPECIFIED
	}
	s.lease.observeClock(refusal.ClockMS, now)
	s.d.metrics.startsRefused.WithLabelValues(refusal.Reason.String()).Inc()
	s.backoffUntil = max(s.backoffUntil, now+refusalBackoff)
	if refusal.Reason == RefusedUnhealthy {
		s.backoffUntil = now + unhealthyBackoff
		s.health.recordUnhealthyRefusal(now)
	}
	o.released = true
	return apiv1.RunEnd_RUN_END_NOT_STARTED
}

// outcomeName returns the outcome of a start or stop order for the log. An order
// that the minion confirmed is "started", a stop too.
func outcomeName(err error) string {
	if err == nil {
		return "started"
	}
	if refusal, ok := errors.AsType[*Refusal](err); ok {
		return "refused: " + refusal.Reason.String()
	}
	return "no answer: " + err.Error()
}

// sendStop repeats a stop order until the minion confirms it, the run is
// released or the term ends. A minion that doesn't answer hold calls gets no stop
// orders until it does: they would only take connections from other minions.
func (s *session) sendStop(key batch.RunKey, o *runOrder) {
	if !s.acquireSlot() {
		return
	}
	defer func() { <-s.orderSlots }()
	for s.d.ctx.Err() == nil {
		if s.stopObsolete(key, o) {
			return
		}
		if s.isAnswering() && s.d.leadershipConfirmed() {
			decision := s.decideStop(key, o)
			if decision == stopAbandon || decision == stopSend && s.tryStop(key, o) {
				return
			}
		}
		sleep(s.d.ctx, retryDelay)
	}
}

// isAnswering reports whether the minion answered its last hold call.
func (s *session) isAnswering() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answering
}

// stopObsolete reports whether a stop order is not needed any more.
func (s *session) stopObsolete(key batch.RunKey, o *runOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[key] != o || o.released || !s.d.isCurrent(s)
}

// tryStop sends a stop order once and reports whether the minion confirmed it.
func (s *session) tryStop(key batch.RunKey, o *runOrder) bool {
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	clockMS, err := s.d.opts.Minions.Stop(ctx, s.target, key, s.token)
	now := s.d.clock.Now()
	s.log.WithFields(logrus.Fields{"run": key.String(), "job_id": key.Job, "outcome": outcomeName(err)}).Info("stop ordered")
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.lease.observeClock(clockMS, now)
	o.state, o.answeredAt = orderStopped, now
	s.mu.Unlock()
	s.probe()
	return true
}

// stopUncommitted sends one stop order for a run that the committed state does
// not have on this minion, and asks whether it is gone. Every hold reply that lists the
// run leads to another one.
func (s *session) stopUncommitted(key batch.RunKey) {
	if !s.acquireSlot() {
		return
	}
	defer func() { <-s.orderSlots }()
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	if _, err := s.d.opts.Minions.Stop(ctx, s.target, key, s.token); err != nil {
		s.log.WithError(err).WithField("run", key.String()).Warn("stop of an uncommitted run failed; it is tried again after the next hold call")
		return
	}
	s.probe()
}
