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

// alive tells whether the session is still the one of its life.
func (d *Dispatcher) alive(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sessions[s.target.Life] == s && !s.closing && d.latest[s.target.Life.ID] == s.target.Life.StartedMS
}

// laterLife returns the start of a later life of the same minion, if one is
// known: nothing more is sent to the earlier one.
func (d *Dispatcher) laterLife(life batch.Incarnation) (bornMS int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	bornMS = d.latest[life.ID]
	return bornMS, bornMS > life.StartedMS
}

// followMinions opens a session for each life that is known or has runs.
func (d *Dispatcher) followMinions(targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range targets {
		if s := d.sessions[t.Life]; s != nil && s.target.Address == t.Address {
			continue
		} else if s != nil {
			s.cancel()
		}
		if other, known := d.latest[t.Life.ID]; known && other != t.Life.StartedMS {
			// What is still sent to the earlier life, which may reach this one,
			// must do nothing here: its acknowledgements count other ends.
			d.livesOver.Add(1)
		}
		d.latest[t.Life.ID] = max(d.latest[t.Life.ID], t.Life.StartedMS)
		s := newSession(d, t)
		ctx, cancel := context.WithCancel(d.ctx)
		s.cancel = cancel
		d.sessions[t.Life] = s
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
	d.o.Machine.Read(func(st *state.State) { load = d.committedLoad(st, s.target.Life) })
	s.sync(load)
}

// committedLoad lists the runs on a life; the caller holds the read lock.
func (d *Dispatcher) committedLoad(st *state.State, life batch.Incarnation) committedLoad {
	out := committedLoad{revision: st.Batch.RevisionOf(life), readAt: st.Batch.Revision()}
	st.Batch.LoadOf(life).Each(func(r *batch.ActiveRun) {
		out.runs = append(out.runs, committedRun{key: r.Key(), unwanted: r.Obsolete(), inherited: r.Run.Term != d.term, lasting: r.Step.LongRunning})
	})
	return out
}

// lifeOver releases everything on a life that has certainly ended.
func (d *Dispatcher) lifeOver(ctx context.Context, s *session, why string) {
	if d.beginClosing(s) {
		d.finishLife(ctx, s, why)
	}
}

// beginClosing makes the caller the one that ends the session's life.
func (d *Dispatcher) beginClosing(s *session) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[s.target.Life] != s || s.closing {
		return false
	}
	s.closing = true
	d.livesOver.Add(1)
	return true
}

func (d *Dispatcher) finishLife(ctx context.Context, s *session, why string) {
	defer d.forgetSession(s)
	ends := s.takeLost()
	s.log.WithFields(logrus.Fields{"reason": why, "lost_runs": len(ends)}).Warn("minion's life is over")
	if len(ends) > 0 && !d.commitEnds(ctx, ends) {
		return
	}
	gone := &apiv1.ObserveMinions{Gone: []*apiv1.MinionLife{s.target.Life.Message()}}
	if _, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: gone}}); err != nil {
		s.log.WithError(err).Warn("end of the minion's life was not committed; it is found again")
	}
}

func (d *Dispatcher) forgetSession(s *session) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sessions[s.target.Life] == s {
		delete(d.sessions, s.target.Life)
	}
	s.cancel()
}

// reborn ends the life of a minion that started again under its id. A start
// that was meant for the earlier life may run in the next one, so it is stopped
// there before the runs are released.
func (d *Dispatcher) reborn(ctx context.Context, s *session, bornMS int64) {
	if !d.beginClosing(s) {
		return
	}
	next := Target{Life: batch.Incarnation{ID: s.target.Life.ID, StartedMS: bornMS}, Address: s.target.Address}
	// Whatever runs there unknown to its own session ends with its lease.
	limit := time.Duration(float64(d.o.MaxLease)/clockRateMin) + orderTimeout
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for _, key := range s.openRuns() {
		d.stopUntilAnswered(bounded, next, key)
	}
	d.waitUntilGone(bounded, s, next)
	d.finishLife(ctx, s, "the minion started again")
}

// tokenFor returns the token that orders to a life carry.
func (d *Dispatcher) tokenFor(life batch.Incarnation) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[life]; s != nil {
		return s.token
	}
	return d.nextToken()
}

func (d *Dispatcher) stopUntilAnswered(ctx context.Context, to Target, key batch.RunKey) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := d.o.Driver.Stop(callCtx, to, key, d.tokenFor(to.Life))
		cancel()
		refusal, refused := errors.AsType[*Refusal](err)
		if err == nil || refused && refusal.Reason == RefusedOtherLife {
			return
		}
		pause(ctx, retryPause)
	}
}

// waitUntilGone returns once the next life lists none of the session's runs as
// running.
func (d *Dispatcher) waitUntilGone(ctx context.Context, s *session, to Target) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		reply, err := d.o.Driver.Hold(callCtx, to, HoldOrder{Token: d.tokenFor(to.Life)})
		cancel()
		refusal, refused := errors.AsType[*Refusal](err)
		if refused && refusal.Reason == RefusedOtherLife {
			return
		}
		if err == nil && !s.listsOwn(reply) {
			return
		}
		pause(ctx, retryPause)
	}
}

// openRuns lists the runs that are not released.
func (s *session) openRuns() []batch.RunKey {
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

// listsOwn tells whether a reply lists one of the session's runs as running. A
// run that is done there is recorded as such.
func (s *session) listsOwn(reply *HoldReply) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range reply.Ended {
		if o := s.orders[e.Run]; o != nil {
			o.endedLater = e.End
		}
	}
	return slices.ContainsFunc(reply.Running, func(r RunningRun) bool { return s.orders[r.Run] != nil })
}

// takeLost marks the runs as released and returns their ends.
func (s *session) takeLost() []*apiv1.EndedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ends []*apiv1.EndedRun
	for key, o := range s.orders {
		if !o.released {
			o.released = true
			end := apiv1.RunEnd_RUN_END_LOST
			if o.endedLater != apiv1.RunEnd_RUN_END_UNSPECIFIED {
				end = o.endedLater
			}
			ends = append(ends, &apiv1.EndedRun{Task: key.Name(), Run: key.Number, End: end, Checkpoint: o.checkpoint})
		}
	}
	return ends
}
