package scheduler

import (
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// A grant is the permission to send one request to a minion, made by a shard, the
// scheduler of one service. An undelivered grant is one that the core has made
// and that its waiter, an entry process's call of Shard.Acquire, gets only once
// the standby has acknowledged the mirror batch with it. The standby is the
// process that has a copy of the shard's grants, the mirror, and becomes the
// shard's next host.
//
// The methods in this file must be called with the lock held, except
// deliverAcknowledged, which acquires it.

// deliver sends the outcomes to their waiters. While the shard is mirrored to a
// standby, grants stay undelivered at first.
func (sh *hostedShard) deliver(outcomes []Outcome) {
	for _, out := range outcomes {
		if out.Grant != nil && sh.standby.awaitsAcks {
			sh.standby.undelivered = append(sh.standby.undelivered, &undeliveredGrant{out: out})
			continue
		}
		sh.sendOutcome(out)
	}
	if !sh.core.changes.isEmpty() {
		select {
		case sh.grantsChanged <- struct{}{}:
		default:
		}
	}
}

// sendOutcome sends an outcome to its waiter, unless the waiter is gone.
func (sh *hostedShard) sendOutcome(out Outcome) {
	if waiter, ok := sh.waiters[out.Ticket]; ok {
		delete(sh.waiters, out.Ticket)
		waiter <- out
	}
	sh.host.metrics.observeOutcome(sh.assigned.Service, out)
}

// deliverAcknowledged delivers the grants of the mirror batches up to the
// given sequence number, which the standby has acknowledged.
func (sh *hostedShard) deliverAcknowledged(batch uint64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	undelivered := sh.standby.undelivered
	n := 0
	for n < len(undelivered) && undelivered[n].batch != 0 && undelivered[n].batch <= batch {
		n++
	}
	sh.standby.undelivered = undelivered[n:]
	for _, h := range undelivered[:n] {
		sh.deliverGrant(h.out)
	}
}

// deliverGrant delivers an undelivered grant, with the time that the request has
// left. It refuses the request instead when this process may no longer grant or
// the request's deadline has passed.
func (sh *hostedShard) deliverGrant(out Outcome) {
	key := grantKey{out.Grant.Epoch, out.Grant.GrantId}
	g, ok := sh.core.grants[key]
	switch {
	case !sh.canGrant():
		sh.refuseUndelivered(out, sh.cannotGrantError())
	case !ok || g.expires-grantExpiryMargin <= sh.now():
		sh.refuseUndelivered(out, sh.notMirroredError())
	default:
		left := max(1, uint32((g.expires-grantExpiryMargin-sh.now())/time.Millisecond))
		out.Grant.TimeoutMs = left
		out.Grant.StartWithinMs = min(left, out.Grant.StartWithinMs)
		sh.sendOutcome(out)
	}
}

// refuseUndelivered frees the slot of an undelivered grant and refuses its request
// with err.
func (sh *hostedShard) refuseUndelivered(out Outcome, err *result.Error) {
	sh.core.Release(sh.now(), &apiv1.ReleaseRequest{
		Epoch: out.Grant.Epoch, GrantId: out.Grant.GrantId,
		Outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED,
	})
	out.Grant, out.Err = nil, err
	sh.sendOutcome(out)
}

// refuseOverdue refuses the requests with undelivered grants whose deadline has
// passed, or all of them when this process may not grant.
func (sh *hostedShard) refuseOverdue() {
	may := sh.canGrant()
	sh.standby.undelivered = slices.DeleteFunc(sh.standby.undelivered, func(h *undeliveredGrant) bool {
		g, ok := sh.core.grants[grantKey{h.out.Grant.Epoch, h.out.Grant.GrantId}]
		switch {
		case !may:
			sh.refuseUndelivered(h.out, sh.cannotGrantError())
		case !ok || g.expires-grantExpiryMargin <= sh.now():
			sh.refuseUndelivered(h.out, sh.notMirroredError())
		default:
			return false
		}
		return true
	})
}

// refuseOutdated refuses the requests with undelivered grants that the newest
// view (the part of the replicated state that entry processes get) may not allow:
// all of them when the configuration version changed, because limits may have
// fallen, and those on minions that must get no new work. If they were delivered,
// their time of waiting here would add to the time during which grants of the
// earlier view still start.
func (sh *hostedShard) refuseOutdated(versionChanged bool) {
	sh.standby.undelivered = slices.DeleteFunc(sh.standby.undelivered, func(h *undeliveredGrant) bool {
		g, ok := sh.core.grants[grantKey{h.out.Grant.Epoch, h.out.Grant.GrantId}]
		if ok && !versionChanged && sh.core.isEligible(sh.now(), g.minion) {
			return false
		}
		sh.refuseUndelivered(h.out, unavailableError("the view of %s changed before its grant left", sh.assigned.Service))
		return true
	})
}

// cancelUndelivered frees the slot of the undelivered grant of a ticket and
// reports whether there was one.
func (sh *hostedShard) cancelUndelivered(ticket uint64) bool {
	i := slices.IndexFunc(sh.standby.undelivered, func(h *undeliveredGrant) bool { return h.out.Ticket == ticket })
	if i < 0 {
		return false
	}
	out := sh.standby.undelivered[i].out
	sh.standby.undelivered = slices.Delete(sh.standby.undelivered, i, i+1)
	sh.refuseUndelivered(out, sh.notMirroredError())
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
