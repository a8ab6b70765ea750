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

// isCurrent tells whether the session is still the one of its life.
func (d *Dispatcher) isCurrent(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sessions[s.target.Incarnation] == s && !s.closing && d.latest[s.target.Incarnation.ID] == s.target.Incarnation.StartedMS
}

// laterLife returns the start of a later life of the same minion, if one is
// known: nothing more is sent to the earlier one.
func (d *Dispatcher) laterIncarnation(inc batch.Incarnation) (startedMS int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	startedMS = d.latest[inc.ID]
	return startedMS, startedMS > inc.StartedMS
}

// openSessions opens a session for each life that is known or has runs.
func (d *Dispatcher) openSessions(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		if s := d.sessions[t.Incarnation]; s != nil && s.target.Address == t.Address {
			continue
		} else if s != nil {
			s.cancel()
		}
		if other, known := d.latest[t.Incarnation.ID]; known && other != t.Incarnation.StartedMS {
			// What is still sent to the earlier life, which may reach this one,
			// must do nothing here: its acknowledgements count other ends.
			d.endedIncarnations.Add(1)
		}
		d.latest[t.Incarnation.ID] = max(d.latest[t.Incarnation.ID], t.Incarnation.StartedMS)
		s := newSession(d, t)
		ctx, cancel := context.WithCancel(d.ctx)
		s.cancel = cancel
		d.sessions[t.Incarnation] = s
		d.wg.Go(func() {
			defer cancel()
			s.run(ctx)
		})
	}
}

func (d *Dispatcher) sessionList() []*session {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*session, 0, len(d.sessions))
	for _, s := range d.sessions {
		out = append(out, s)
	}
	return out
}

// syncSession brings one session up to the committed state.
func (d *Dispatcher) syncSession(s *session) {
	var load committedLoad
	d.opts.StateMachine.Read(func(st *state.State) { load = d.committedLoad(st, s.target.Incarnation) })
	s.sync(load)
}

// committedLoad lists the runs on a life; the caller holds the read lock.
func (d *Dispatcher) committedLoad(st *state.State, inc batch.Incarnation) committedLoad {
	out := committedLoad{loadRevision: st.Batch.RevisionOf(inc), stateRevision: st.Batch.Revision()}
	st.Batch.LoadOf(inc).Each(func(r *batch.ActiveRun) {
		out.runs = append(out.runs, committedRun{key: r.Key(), obsolete: r.Obsolete(), inherited: r.Run.Term != d.term, longRunning: r.Step.LongRunning})
	})
	return out
}

// endLife releases everything on a life that has certainly ended.
func (d *Dispatcher) endIncarnation(ctx context.Context, s *session, reason string) {
	if d.beginClosing(s) {
		d.finishClosing(ctx, s, reason)
	}
}

// beginClosing makes the caller the one that ends the session's life.
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

func (d *Dispatcher) finishClosing(ctx context.Context, s *session, reason string) {
	defer d.removeSession(s)
	ends := s.releaseAll()
	s.log.WithFields(logrus.Fields{"reason": reason, "lost_runs": len(ends)}).Warn("minion's life is over")
	if len(ends) > 0 && !d.commitEnds(ctx, ends) {
		return
	}
	gone := &apiv1.ObserveMinions{Gone: []*apiv1.MinionLife{s.target.Incarnation.Message()}}
	if _, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: gone}}); err != nil {
		s.log.WithError(err).Warn("end of the minion's life was not committed; it is found again")
	}
}

func (d *Dispatcher) removeSession(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[s.target.Incarnation] == s {
		delete(d.sessions, s.target.Incarnation)
	}
	s.cancel()
}

// handleRestart ends the life of a minion that started again under its id. A start
// that was meant for the earlier life may run in the next one, so it is stopped
// there before the runs are released.
func (d *Dispatcher) handleRestart(ctx context.Context, s *session, startedMS int64) {
	if !d.beginClosing(s) {
		return
	}
	next := Target{Incarnation: batch.Incarnation{ID: s.target.Incarnation.ID, StartedMS: startedMS}, Address: s.target.Address}
	// Whatever runs there unknown to its own session ends with its lease.
	limit := time.Duration(float64(d.opts.MaxLease)/minClockRate) + orderTimeout
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, key := range s.unreleasedRuns() {
		d.stopUntilAnswered(bounded, next, key)
	}
	d.waitUntilNotRunning(bounded, s, next)
	d.finishClosing(ctx, s, "the minion started again")
}

// tokenFor returns the token that orders to a life carry.
func (d *Dispatcher) tokenFor(inc batch.Incarnation) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[inc]; s != nil {
		return s.token
	}
	return d.nextToken()
}

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

// waitUntilNotRunning returns once the next life lists none of the session's runs as
// running.
func (d *Dispatcher) waitUntilNotRunning(ctx context.Context, s *session, to Target) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		reply, err := d.opts.Minions.Hold(callCtx, to, HoldRequest{Token: d.tokenFor(to.Incarnation)})
		cancel()
		refusal, refused := errors.AsType[*Refusal](err)
		if refused && refusal.Reason == RefusedOtherIncarnation {
			return
		}
		if err == nil && !s.reportsOwnRuns(reply) {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// unreleasedRuns lists the runs that are not released.
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

// reportsOwnRuns tells whether a reply lists one of the session's runs as running. A
// run that is done there is recorded as such.
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

// releaseAll marks the runs as released and returns their ends.
func (s *session) releaseAll() []*apiv1.EndedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ends []*apiv1.EndedRun
	for key, o := range s.orders {
		if !o.released {
			o.released = true
			end := apiv1.RunEnd_RUN_END_LOST
			if o.endInNextIncarnation != apiv1.RunEnd_RUN_END_UNSPECIFIED {
				end = o.endInNextIncarnation
			}
			ends = append(ends, &apiv1.EndedRun{Task: key.Name(), Run: key.Number, End: end, Checkpoint: o.checkpoint})
		}
	}
	return ends
}
