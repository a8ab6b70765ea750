package dispatch

import "time"

// releaseTimes holds when the runs on an incarnation (one lifetime of a minion's process)
// that doesn't answer may be released, on the leader's clock.
//
// Invariant: from its release on, no incarnation of the minion executes the run. It
// rests on three facts. A start order is sent once. Only the incarnation that listed a
// run has carried its order out, so no other one can. A next incarnation that carries out
// an order is announced before the lease of that order has ended.
type releaseTimes struct {
	// listed is for runs that the incarnation has listed in a hold reply: they end with
	// its own lease at the latest, also if another writer announced the next one while it
	// works on. The answer to a start order isn't enough, since it doesn't say which
	// incarnation gave it.
	listed time.Duration
	// others is for runs whose start order the next incarnation may carry out.
	others time.Duration
}

// releaseAfterRestart returns the times for an incarnation whose leases end by leaseEnd
// and whose next incarnation, which doesn't answer, was noticed at noticedAt. Nothing
// tells the next one how long the lease in an order was meant to last, so it may last as
// long as the minion accepts.
func releaseAfterRestart(leaseEnd, noticedAt, maxLease time.Duration) releaseTimes {
	late := noticedAt + onSlowestClock(maxLease) + orderTimeout
	return releaseTimes{listed: leaseEnd, others: max(late, leaseEnd)}
}
