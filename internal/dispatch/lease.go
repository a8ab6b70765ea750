package dispatch

import "time"

const (
	// clockRateMin is the slowest rate of a minion's clock against ours.
	minClockRate = 0.98
	// leaseMargin covers the granularity of both clocks.
	leaseMargin = 50 * time.Millisecond
)

// lease tracks a minion's clock and the moment after which nothing that was
// ordered there can still run.
type lease struct {
	// clockMS was read from the minion's clock at or before readAt.
	clockMS    int64
	readAt     time.Duration
	clockKnown bool
	// endsBy is on our clock.
	endsBy time.Duration
}

// newLease returns a lease of which nothing is known but that any order of an
// earlier leader ends by endsBy.
func newLease(endsBy time.Duration) lease { return lease{endsBy: endsBy} }

// observe takes a reading of the minion's clock that arrived at now.
func (l *lease) observeClock(clockMS int64, now time.Duration) {
	if clockMS <= 0 {
		return
	}
	if l.clockKnown && clockMS < l.estimateClock(now) {
		return // an earlier reading already says more
	}
	l.clockMS, l.readAt, l.clockKnown = clockMS, now, true
}

// estimate is a lower bound of the minion's clock at now.
func (l *lease) estimateClock(now time.Duration) int64 {
	elapsed := float64(now-l.readAt) * minClockRate
	return l.clockMS + time.Duration(elapsed).Milliseconds()
}

// until returns the end of a lease of length d from now, on the minion's
// clock, and notes it; zero while the clock is not known.
func (l *lease) extend(now, d time.Duration) int64 {
	if !l.clockKnown {
		return 0
	}
	until := l.estimateClock(now) + d.Milliseconds()
	left := time.Duration(float64(until-l.estimateClock(now))/minClockRate) * time.Millisecond
	l.endsBy = max(l.endsBy, now+left+leaseMargin)
	return until
}

// over tells that nothing ordered so far can still run.
func (l *lease) expired(now time.Duration) bool { return now > l.endsBy }
