package dispatch

import (
	"context"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// A call to a minion names the minion's id and not the incarnation, one lifetime of its
// process. So a call that was made for an incarnation may be carried out by the next one
// under the id: when it is repeated, when a replica makes it late, or when the network
// delays it. The end of the lease in it is a time on the clock of the earlier
// incarnation, which has run for longer, and may give the next one the longest lease that
// a minion accepts.
//
// An incarnation refuses such calls once it has answered a call of its own session, whose
// token is higher. So until its first answer to a session, and for the longest lease from
// there, its lease may end later than the session's renewals say. This is known of each
// incarnation whose id had another one, since the state records the ended ones until no
// call for them can be carried out any more. Times of day, which may jump, don't matter.

// lateCallTime is how long after the end of an incarnation its id is remembered when no
// other incarnation has announced itself. Calls may be carried out some seconds late.
const lateCallTime = time.Minute

// lateCalls holds when this leader first saw that an incarnation had ended, for those
// whose id is not in use by another one. Only forgetLoop uses it.
type lateCalls struct {
	seenAt map[batch.Incarnation]time.Duration
}

// over returns those of the ended incarnations that were first seen more than
// lateCallTime ago.
func (l *lateCalls) over(ended []batch.Incarnation, now time.Duration) []*apiv1.MinionLife {
	var out []*apiv1.MinionLife
	seenAt := make(map[batch.Incarnation]time.Duration, len(ended))
	for _, inc := range ended {
		at, known := l.seenAt[inc]
		if !known {
			at = now
		}
		seenAt[inc] = at
		if now-at > lateCallTime {
			out = append(out, inc.Message())
		}
	}
	l.seenAt = seenAt
	return out
}

// forgetEnded removes ended incarnations from the state for which no call can be carried
// out any more and whose id no other incarnation uses.
func (d *Dispatcher) forgetEnded() {
	var ended []batch.Incarnation
	d.opts.StateMachine.Read(func(st *state.State) { ended = st.Batch.UnusedEnded() })
	if over := d.lateCalls.over(ended, d.clock.Now()); len(over) > 0 {
		if err := d.commitForgotten(d.ctx, over); err != nil && d.ctx.Err() == nil {
			d.log.WithError(err).Warn("ended minions were not forgotten; they are at the next time")
		}
	}
}

func (d *Dispatcher) commitForgotten(ctx context.Context, lives []*apiv1.MinionLife) error {
	forgotten := &apiv1.ObserveMinions{Forgotten: lives}
	_, err := d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: forgotten}})
	return err
}

// allowForLateLease takes account of a lease that a call for another incarnation under the
// id may have given this one at any time until now. It is called before the session runs.
func (s *session) allowForLateLease() {
	s.lease.endsBy = max(s.lease.endsBy, s.d.clock.Now()+longestLease(s.d.opts.MaxLease))
}

// boundLateLease takes account of a lease that the incarnation may have got from a call
// for an earlier one before its first answer to this session, which arrived at now. The
// caller holds mu.
func (s *session) boundLateLease(now time.Duration) {
	if !s.mayHoldLateLease() || s.lateLeaseEnd != 0 {
		return
	}
	s.lateLeaseEnd = now + longestLease(s.d.opts.MaxLease)
	s.lease.endsBy = max(s.lease.endsBy, s.lateLeaseEnd)
}

// mayHoldLateLease reports whether the incarnation may hold a lease from a call for an
// earlier one that ends later than a renewed one. Its runs then wait for the end of the
// longest lease if it falls silent, so other minions are preferred. The caller holds mu.
func (s *session) mayHoldLateLease() bool { return s.endedBefore != (batch.Incarnation{}) }

// forgetEarlier commits that calls for an earlier incarnation don't matter any more, once
// a lease from one ends no later than one that this leader renews now. A later leader
// waits for that anyway, since the length of the leases is recorded, and this session's
// lease counts the late one until it ends.
func (s *session) forgetEarlier(ctx context.Context) {
	renewable := longestLease(s.d.allowedLease())
	s.mu.Lock()
	ended := s.endedBefore
	due := s.mayHoldLateLease() && s.lateLeaseEnd != 0 && s.d.clock.Now()+renewable > s.lateLeaseEnd
	s.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, holdWait) // the next hold call must not wait for long
	defer cancel()
	if err := s.d.commitForgotten(ctx, []*apiv1.MinionLife{ended.Message()}); err != nil {
		s.log.WithError(err).Warn("earlier incarnation of the minion was not forgotten; it is after the next answer")
		return
	}
	s.mu.Lock()
	s.endedBefore = batch.Incarnation{}
	s.mu.Unlock()
}
