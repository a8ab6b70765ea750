package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// isCurrent reports whether the session, which communicates with one
// incarnation (one lifetime of a minion's process), is in use and its
// incarnation is the latest known one of the minion.
func (d *Dispatcher) isCurrent(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sessions[s.target.Incarnation] == s && !s.closing && d.latest[s.target.Incarnation.ID] == s.target.Incarnation.StartedMS
}

// laterIncarnation returns the start of a later incarnation of the same minion,
// if one is known. Nothing more is sent to an earlier one.
func (d *Dispatcher) laterIncarnation(inc batch.Incarnation) (startedMS int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	startedMS = d.latest[inc.ID]
	return startedMS, startedMS > inc.StartedMS
}

// openSessions opens a session for each target that has none, and a new one for
// a target whose address has changed. The planning loop calls it.
func (d *Dispatcher) openSessions(targets []sessionTarget) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		notice := endNotice{recorded: t.recorded, draining: t.draining}
		if s := d.sessions[t.Incarnation]; s != nil {
			notice.recorded = notice.recorded || s.notice.recorded
			notice.draining = notice.draining || s.notice.draining
			notice.ordered, notice.machine = s.notice.ordered, s.notice.machine
			s.notice = notice
			// The session of an incarnation whose minion is no longer recorded is
			// already releasing its runs.
			if t.Address == "" || s.target.Address == t.Address {
				continue
			}
			s.cancel()
			d.opts.Minions.Disconnect(s.target)
		}
		if other, known := d.latest[t.Incarnation.ID]; known && other != t.Incarnation.StartedMS {
			// Requests that are still sent to the earlier incarnation may reach
			// this one. A higher token makes it refuse them, since they acknowledge
			// ends by the numbers of the earlier incarnation.
			d.endedIncarnations.Add(1)
		}
		d.latest[t.Incarnation.ID] = max(d.latest[t.Incarnation.ID], t.Incarnation.StartedMS)
		s := newSession(d, t.Target)
		s.notice = notice
		if t.mayHoldLateLease {
			s.allowForLateLease()
		}
		s.endedBefore = t.endedBefore
		ctx, cancel := context.WithCancel(d.ctx)
		s.cancel = cancel
		d.sessions[t.Incarnation] = s
		d.wg.Go(func() {
			defer cancel()
			s.run(ctx)
		})
	}
}

// sessionList returns the sessions of this moment, in no order.
func (d *Dispatcher) sessionList() []*session {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*session, 0, len(d.sessions))
	for _, s := range d.sessions {
		out = append(out, s)
	}
	return out
}

// sessionsOf returns the sessions with the given incarnations. Some of these may have
// none.
func (d *Dispatcher) sessionsOf(incarnations []batch.Incarnation) []*session {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*session, 0, len(incarnations))
	for _, inc := range incarnations {
		if s := d.sessions[inc]; s != nil {
			out = append(out, s)
		}
	}
	return out
}

// syncSession updates the orders of one session from the committed state. It reads
// the runs only if they have changed since the session last read them.
func (d *Dispatcher) syncSession(s *session) {
	for done := false; !done; {
		known, synced := s.syncedRevision()
		var load committedLoad
		d.opts.StateMachine.Read(func(st *state.State) {
			if revision := st.Batch.RevisionOf(s.target.Incarnation); synced && revision == known {
				load = committedLoad{unchanged: true, loadRevision: revision, stateRevision: st.Batch.Revision()}
				return
			}
			load = d.committedLoad(st, s.target.Incarnation)
		})
		done = s.sync(load)
	}
}

// committedLoad lists the runs committed on an incarnation. It is called while
// the state is locked for reading.
func (d *Dispatcher) committedLoad(st *state.State, inc batch.Incarnation) committedLoad {
	out := committedLoad{loadRevision: st.Batch.RevisionOf(inc), stateRevision: st.Batch.Revision()}
	st.Batch.LoadOf(inc).Each(func(r *batch.ActiveRun) {
		out.runs = append(out.runs, committedRun{
			key: r.Key(), obsolete: r.Obsolete(), inherited: r.Run.Term != d.term, isLongRunning: r.Step.LongRunning, listed: r.Run.Listed,
			startedUnixMS: r.Run.StartedUnixMs, resources: batch.ResourcesOnMinion(r.Step),
		})
	})
	return out
}

// endIncarnation releases all runs on an incarnation that has certainly ended:
// it commits their ends, so that the tasks may run elsewhere. processEnded is set
// when its process has certainly ended too, and not by an order of this leader.
func (d *Dispatcher) endIncarnation(ctx context.Context, s *session, reason string, processEnded bool) {
	if d.beginClosing(s) {
		d.finishClosing(ctx, s, reason, processEnded)
	}
}

// beginClosing reports whether the caller is the first one to end the session's
// incarnation, and is to finish it.
func (d *Dispatcher) beginClosing(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[s.target.Incarnation] != s || s.closing {
		return false
	}
	s.closing = true
	d.endedIncarnations.Add(1)
	return true
}

// finishClosing commits the ends of the session's runs and that its incarnation
// has ended, and removes the session. How a run ends depends on the cause, unless the
// minion's next incarnation reported another end. If a commit fails, a new session
// finds the end of the incarnation again.
func (d *Dispatcher) finishClosing(ctx context.Context, s *session, reason string, processEnded bool) {
	defer d.removeSession(s)
	cause := d.causeOfEnd(s, processEnded)
	if cause == causeCrash {
		d.metrics.minionsCrashed.Inc()
	}
	ends := s.releaseAll(cause)
	s.log.WithFields(logrus.Fields{"reason": reason, "lost_runs": len(ends), "crashed": cause == causeCrash}).Warn("minion incarnation ended")
	if len(ends) > 0 && !d.commitEnds(ctx, ends) {
		return
	}
	gone := &apiv1.ObserveMinions{Gone: []*apiv1.MinionLife{s.target.Incarnation.Message()}}
	if _, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: gone}}); err != nil {
		s.log.WithError(err).Warn("end of the minion incarnation was not committed; it is detected again")
	}
}

// removeSession removes a session, unless another one has replaced it, ends its
// hold calls (the long polls that renew the minion's lease) and closes its
// connections.
func (d *Dispatcher) removeSession(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[s.target.Incarnation] == s {
		delete(d.sessions, s.target.Incarnation)
	}
	s.cancel()
	d.opts.Minions.Disconnect(s.target)
}

// handleRestart ends the incarnation of a minion that started again under its
// id. A start order that was meant for the earlier incarnation may be carried out
// by the next one, so the runs are stopped there before they are released. If that gets no
// answer, they are released at the times of releaseAfterRestart.
func (d *Dispatcher) handleRestart(ctx context.Context, s *session, startedMS int64) {
	if !d.beginClosing(s) {
		return
	}
	next := Target{Incarnation: batch.Incarnation{ID: s.target.Incarnation.ID, StartedMS: startedMS}, Address: s.target.Address}
	now := d.clock.Now()
	s.mu.Lock()
	times := releaseAfterRestart(s.lease.endsBy, now, d.opts.MaxLease)
	s.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, times.others-now)
	defer cancel()
	stopped, leaseEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for _, key := range s.unreleasedRuns() {
			d.stopUntilAnswered(bounded, next, key)
		}
		d.waitUntilNotRunning(bounded, s, next)
	}()
	go func() {
		defer close(leaseEnded)
		s.awaitLeaseEnd(bounded)
	}()
	select {
	case <-stopped:
	case <-leaseEnded:
		if ctx.Err() == nil && s.releaseSettled(ctx) {
			cancel()
		}
		<-stopped
	}
	// The session that replaces one whose minion has another address begins anew.
	if ctx.Err() == nil {
		d.finishClosing(ctx, s, "the minion restarted", true)
	}
}

// awaitLeaseEnd waits until the incarnation's lease has ended, or until ctx ends. A renewal
// that was under way when the session began to close may still extend it.
func (s *session) awaitLeaseEnd(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		left := s.lease.endsBy - s.d.clock.Now()
		s.mu.Unlock()
		if left < 0 {
			return
		}
		sleep(ctx, left+time.Millisecond)
	}
}

// releaseSettled releases the long-running tasks that the session's incarnation listed and
// that had settled. If it listed all runs whose start order may have been sent, releaseSettled
// leaves them to finishClosing and returns true. The ends of other tasks are always left to
// it: they may tell which of them crashed the minion, and only ends of one command are
// compared.
func (s *session) releaseSettled(ctx context.Context) (allListed bool) {
	s.mu.Lock()
	allListed = true
	for _, o := range s.orders {
		allListed = allListed && (o.released || o.listed || !o.mayHaveBegun)
	}
	if allListed {
		s.mu.Unlock()
		return true
	}
	var ends []*apiv1.EndedRun
	for key, o := range s.orders {
		if !o.released && o.listed && o.isLongRunning && o.settled {
			o.released = true
			s.noteReleased(key, o, apiv1.RunEnd_RUN_END_LOST)
			ends = append(ends, &apiv1.EndedRun{Task: key.Name(), Run: key.Number, End: apiv1.RunEnd_RUN_END_LOST, Checkpoint: o.checkpoint})
		}
	}
	s.mu.Unlock()
	if len(ends) > 0 {
		s.log.WithField("lost_runs", len(ends)).Warn("the lease of long-running tasks has ended; others may still begin")
		s.d.commitEnds(ctx, ends)
	}
	return false
}

// endUnrecorded ends an incarnation that has runs while no incarnation of its minion is
// recorded: a later one has ended too. There is no address to call, so the runs are
// released at the times for a minion that has started again and doesn't answer.
func (d *Dispatcher) endUnrecorded(ctx context.Context, s *session) {
	now := d.clock.Now()
	s.mu.Lock()
	times := releaseAfterRestart(s.lease.endsBy, now, d.opts.MaxLease)
	s.mu.Unlock()
	s.log.WithFields(logrus.Fields{"listed_wait_ms": (times.listed - now).Milliseconds(), "others_wait_ms": (times.others - now).Milliseconds()}).
		Info("minion with runs is no longer recorded; waiting for the end of its leases")
	s.awaitLeaseEnd(ctx)
	if ctx.Err() == nil && !s.releaseSettled(ctx) {
		sleep(ctx, times.others-d.clock.Now())
	}
	if ctx.Err() == nil {
		d.endIncarnation(ctx, s, "its minion is no longer recorded", true)
	}
}

// tokenFor returns the fencing token for orders to an incarnation, which may not
// have a session yet.
func (d *Dispatcher) tokenFor(inc batch.Incarnation) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[inc]; s != nil {
		return s.token
	}
	return d.nextToken()
}

// stopUntilAnswered repeats a stop order until the minion has confirmed it,
// another incarnation answers, or ctx ends.
func (d *Dispatcher) stopUntilAnswered(ctx context.Context, to Target, key batch.RunKey) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := d.opts.Minions.Stop(callCtx, to, key, d.tokenFor(to.Incarnation))
		cancel()
		refusal, refused := errors.AsType[*Refusal](err)
		if err == nil || refused && refusal.Reason == RefusedOtherIncarnation {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// waitUntilNotRunning returns once the next incarnation, to, lists none of the
// session's runs as running, another incarnation answers, or ctx ends. A row that can't
// be read may be for such a run.
func (d *Dispatcher) waitUntilNotRunning(ctx context.Context, s *session, to Target) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		reply, err := d.opts.Minions.Hold(callCtx, to, HoldRequest{Token: d.tokenFor(to.Incarnation)})
		cancel()
		refusal, refused := errors.AsType[*Refusal](err)
		if refused && refusal.Reason == RefusedOtherIncarnation {
			return
		}
		if err == nil && !s.reportsOwnRuns(reply) && reply.Unreadable == nil {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// unreleasedRuns returns the runs that are not released.
func (s *session) unreleasedRuns() []batch.RunKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []batch.RunKey
	for key, o := range s.orders {
		if !o.released {
			out = append(out, key)
		}
	}
	return out
}

// reportsOwnRuns reports whether a reply of the next incarnation lists one of
// the session's runs as running. The ends that it lists for such runs are
// recorded and committed later in place of "lost".
func (s *session) reportsOwnRuns(reply *HoldReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range reply.Ended {
		if o := s.orders[e.Run]; o != nil {
			o.endInNextIncarnation = e.End
		}
	}
	return slices.ContainsFunc(reply.Running, func(r RunStatus) bool { return s.orders[r.Run] != nil })
}

// releaseAll marks all runs as released and returns the ends to commit for those
// that were not.
func (s *session) releaseAll(cause endCause) []*apiv1.EndedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ends []*apiv1.EndedRun
	for key, o := range s.orders {
		if !o.released {
			o.released = true
			end := o.endOnClosing(cause)
			s.noteReleased(key, o, end)
			ends = append(ends, &apiv1.EndedRun{Task: key.Name(), Run: key.Number, End: end, Checkpoint: o.checkpoint})
		}
	}
	return ends
}
