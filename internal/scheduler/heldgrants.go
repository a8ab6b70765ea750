package scheduler

import (
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// A held grant is one that the core has made and that is not delivered yet: its
// caller gets it once the standby has acknowledged the mirror batch with it.
//
// The methods in this file must be called with the lock held, except
// deliverAcknowledged, which acquires it.

// deliver sends the outcomes to the waiting callers. While the shard is mirrored
// to a standby, grants are held.
func (sh *hostedShard) deliver(outcomes []Outcome) {
	for _, out := range outcomes {
		if out.Grant != nil && sh.standby.awaitsAcks {
			sh.standby.held = append(sh.standby.held, &heldOutcome{out: out})
			continue
		}
		sh.answer(out)
	}
	if !sh.core.changes.isEmpty() {
		select {
		case sh.grantsChanged <- struct{}{}:
		default:
		}
	}
}

// answer sends an outcome to its caller, unless the caller is gone.
func (sh *hostedShard) answer(out Outcome) {
	if answer, ok := sh.waiters[out.Ticket]; ok {
		delete(sh.waiters, out.Ticket)
		answer <- out
	}
	sh.host.metrics.observeOutcome(sh.assigned.Service, out)
}

// deliverAcknowledged delivers the held grants of the mirror batches up to the
// given sequence number, which the standby has acknowledged.
func (sh *hostedShard) deliverAcknowledged(batch uint64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	held := sh.standby.held
	n := 0
	for n < len(held) && held[n].batch != 0 && held[n].batch <= batch {
		n++
	}
	sh.standby.held = held[n:]
	for _, h := range held[:n] {
		sh.deliverHeld(h.out)
	}
}

// deliverHeld delivers a held grant, with the time that the request has left. It
// refuses the request instead when this process may no longer grant or the
// request's deadline has passed.
func (sh *hostedShard) deliverHeld(out Outcome) {
	key := grantKey{out.Grant.Epoch, out.Grant.GrantId}
	g, ok := sh.core.grants[key]
	switch {
	case !sh.canGrant():
		sh.refuseHeld(out, sh.cannotGrantError())
	case !ok || g.expires-grantExpiryMargin <= sh.now():
		sh.refuseHeld(out, sh.notMirroredError())
	default:
		left := max(1, uint32((g.expires-grantExpiryMargin-sh.now())/time.Millisecond))
		out.Grant.TimeoutMs = left
		out.Grant.StartWithinMs = min(left, out.Grant.StartWithinMs)
		sh.answer(out)
	}
}

// refuseHeld frees the slot of a held grant and refuses its request with err.
func (sh *hostedShard) refuseHeld(out Outcome, err *result.Error) {
	sh.core.Release(sh.now(), &apiv1.ReleaseRequest{
		Epoch: out.Grant.Epoch, GrantId: out.Grant.GrantId,
		Outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED,
	})
	out.Grant, out.Err = nil, err
	sh.answer(out)
}

// refuseOverdueHeld refuses the requests with held grants whose deadline has
// passed, or all of them when this process may not grant.
func (sh *hostedShard) refuseOverdueHeld() {
	may := sh.canGrant()
	sh.standby.held = slices.DeleteFunc(sh.standby.held, func(h *heldOutcome) bool {
		g, ok := sh.core.grants[grantKey{h.out.Grant.Epoch, h.out.Grant.GrantId}]
		switch {
		case !may:
			sh.refuseHeld(h.out, sh.cannotGrantError())
		case !ok || g.expires-grantExpiryMargin <= sh.now():
			sh.refuseHeld(h.out, sh.notMirroredError())
		default:
			return false
		}
		return true
	})
}

// refuseOutdatedHeld refuses the requests with held grants that the newest view
// may not allow: all of them when the configuration version changed, because
// limits may have fallen, and those on minions that must get no new work. If
// they were delivered, the time for which they were held would add to the time
// during which grants of the earlier view still start.
func (sh *hostedShard) refuseOutdatedHeld(versionChanged bool) {
	sh.standby.held = slices.DeleteFunc(sh.standby.held, func(h *heldOutcome) bool {
		g, ok := sh.core.grants[grantKey{h.out.Grant.Epoch, h.out.Grant.GrantId}]
		if ok && !versionChanged && sh.core.isEligible(sh.now(), g.minion) {
			return false
		}
		sh.refuseHeld(h.out, unavailableError("the view of %s changed before its grant left", sh.assigned.Service))
		return true
	})
}

// cancelHeld frees the slot of the held grant of a ticket and reports whether
// there was one.
func (sh *hostedShard) cancelHeld(ticket uint64) bool {
	i := slices.IndexFunc(sh.standby.held, func(h *heldOutcome) bool { return h.out.Ticket == ticket })
	if i < 0 {
		return false
	}
	out := sh.standby.held[i].out
	sh.standby.held = slices.Delete(sh.standby.held, i, i+1)
	sh.refuseHeld(out, sh.notMirroredError())
	return true
}

// cannotGrantError returns the reason why canGrant is false.
func (sh *hostedShard) cannotGrantError() *result.Error {
	if sh.stopReason != nil {
		return sh.stopReason
	}
	return unavailableError("the host of the shard of %s has no valid session", sh.assigned.Service)
}

func (sh *hostedShard) notMirroredError() *result.Error {
	return unavailableError("the grant of %s was not copied to the standby in time", sh.assigned.Service)
}
