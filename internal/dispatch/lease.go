package dispatch

import "time"

const (
	// minClockRate is the lowest rate of a minion's clock relative to the leader's
	// clock that leases allow for.
	minClockRate = 0.98
	// leaseMargin is added to the time at which the leader regards a lease as
	// ended, not to the end that the minion is told. It covers the rounding of the
	// clocks: the minion's clock is read, and the lease's end is sent, in whole ms.
	leaseMargin = 50 * time.Millisecond
)

// lease is a minion's permission to execute runs, which the leader renews. It
// tracks the minion's clock and the time after which no run that was ordered
// there can still be running. The user of the lease synchronizes the access.
type lease struct {
	// clockMS was read from the minion's clock, in ms, at or before readAt on the
	// leader's clock.
	clockMS    int64
	readAt     time.Duration
	clockKnown bool
	// endsBy is the end of the longest lease, on the leader's clock.
	endsBy time.Duration
	// untilMS is the end of the lease as it was last renewed, on the minion's clock, in
	// ms; zero before.
	untilMS int64
	// startsEndBy is when the runs of all start orders have ended, on the leader's clock,
	// that the next incarnation of the minion may carry out. It may be later than endsBy,
	// since most starts don't renew the lease.
	startsEndBy time.Duration
}

// newLease returns a lease for a minion with an unknown clock, where the leases
// of all orders sent so far end by endsBy at the latest.
func newLease(endsBy time.Duration) lease { return lease{endsBy: endsBy} }

// observeClock records a reading of the minion's clock, in ms, that arrived at
// now. Zero means that there was no reading.
func (l *lease) observeClock(clockMS int64, now time.Duration) {
	if clockMS <= 0 {
		return
	}
	if l.clockKnown && clockMS < l.estimateClock(now) {
		return // an earlier reading gives a higher lower bound
	}
	l.clockMS, l.readAt, l.clockKnown = clockMS, now, true
}

// estimateClock returns a lower bound of the minion's clock at now, in ms.
func (l *lease) estimateClock(now time.Duration) int64 {
	elapsed := float64(now-l.readAt) * minClockRate
	return l.clockMS + time.Duration(elapsed).Milliseconds()
}

// extend records a lease of length d from now and returns its end on the
// minion's clock, in ms. While that clock is not known, it returns zero and
// records nothing.
func (l *lease) extend(now, d time.Duration) int64 {
	if !l.clockKnown {
		return 0
	}
	l.untilMS = l.estimateClock(now) + d.Milliseconds()
	l.endsBy = max(l.endsBy, now+longestLease(d))
	return l.untilMS
}

// forStart returns the end of the lease for a start order at now, on the minion's clock, in
// ms: that of the last renewal, so that a start to a minion that was lost meanwhile keeps
// nothing else from being released. If less than half of d is left, it renews the lease.
func (l *lease) forStart(now, d time.Duration) int64 {
	l.startsEndBy = max(l.startsEndBy, now+longestLease(d))
	if l.untilMS-l.estimateClock(now) >= d.Milliseconds()/2 {
		return l.untilMS
	}
	return l.extend(now, d)
}

// longestLease returns how long a lease that the minion measures as d may last on
// the leader's clock.
func longestLease(d time.Duration) time.Duration { return onSlowestClock(d) + leaseMargin }

// onSlowestClock returns how long what a minion measures as d may take on the leader's
// clock.
func onSlowestClock(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }

// expired reports whether all leases given so far have certainly ended, so that
// nothing ordered so far can still run.
func (l *lease) expired(now time.Duration) bool { return now > l.endsBy }
