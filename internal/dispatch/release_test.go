package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const never = time.Duration(1<<62 - 1)

// modelLease is the lease that leaders of the model give. Minions accept longestAccepted.
const modelLease = 4 * time.Second

// modelHistory is an order of events around the only run of a task, on an incarnation
// that renewed its lease for the last time at 0, and on the next one. Times are those of
// the leader's clock; minions' clocks are 2% slow.
type modelHistory struct {
	// sent is when the start order is sent, carriedOut when a minion does so.
	sent, carriedOut time.Duration
	// ends is when the first incarnation ends, never if another writer announces a next
	// one. nextStarts is when that starts and noticed when the leader knows of it.
	ends, nextStarts, noticed time.Duration
	// newLeader is when another leader takes over, never if none does.
	newLeader time.Duration
	// listed is set if a hold reply has listed the run, answered if its order was.
	listed, answered bool
	// lateLease is set if a call for an earlier incarnation has given the first one the
	// longest lease, as the leaders know.
	lateLease bool
}

// runsUntil returns until when the run is executed, given whether starts renew the lease.
func (h modelHistory) runsUntil(startsRenew bool) time.Duration {
	switch {
	case h.carriedOut < h.ends:
		return min(h.ends, h.leaseEnd(startsRenew))
	case h.carriedOut >= h.nextStarts:
		return h.carriedOut + onSlowestClock(longestAccepted)
	}
	return -never
}

// leaseEnd returns when the lease of the first incarnation ends.
func (h modelHistory) leaseEnd(startsRenew bool) time.Duration {
	switch {
	case h.lateLease:
		return onSlowestClock(longestAccepted)
	case startsRenew:
		return max(h.sent, 0) + onSlowestClock(modelLease)
	}
	return onSlowestClock(modelLease)
}

// knownLeaseEnd returns until when the leader that releases the run takes the lease of the
// first incarnation to last, and when it has noticed the next one.
func (h modelHistory) knownLeaseEnd(start time.Duration) (end, noticed time.Duration) {
	length, from, noticed := modelLease, max(start, 0), h.noticed
	if h.newLeader != never {
		from, noticed = h.newLeader+leadershipTTL, max(h.noticed, h.newLeader)
	}
	if h.lateLease {
		length = longestAccepted
	}
	return from + longestLease(length), noticed
}

// modelRule is a way to determine when the run is released.
type modelRule struct {
	// startsRenew is set if a start renews the lease.
	startsRenew bool
	releasedAt  func(h modelHistory) time.Duration
}

const (
	ruleInUse       = "listed runs are released with the lease, starts don't renew it"
	ruleStartsRenew = "listed runs are released with the lease, starts renew it"
)

// modelRules are the rule in use and others that were weighed.
var modelRules = map[string]modelRule{
	ruleInUse: {false, func(h modelHistory) time.Duration {
		if h.listed {
			return h.releasedAt(true, 0)
		}
		return h.releasedAt(false, h.sent)
	}},
	ruleStartsRenew:                     {true, func(h modelHistory) time.Duration { return h.releasedAt(h.listed, h.sent) }},
	"runs whose order was answered are": {true, func(h modelHistory) time.Duration { return h.releasedAt(h.answered, h.sent) }},
	"all runs are released with the lease, starts don't renew it": {false, func(h modelHistory) time.Duration { return h.releasedAt(h.listed, 0) }},
	"runs whose order was answered are released when the minion has started again": {true, func(h modelHistory) time.Duration {
		if h.answered && h.noticed != never {
			return h.noticed
		}
		return h.releasedAt(false, h.sent)
	}},
}

// releasedAt returns when a leader releases the run, given whether it takes the order to
// be carried out by the first incarnation, and from when it counts the order's lease.
func (h modelHistory) releasedAt(carriedOut bool, leaseFrom time.Duration) time.Duration {
	leaseEnd, noticed := h.knownLeaseEnd(leaseFrom)
	if noticed > leaseEnd {
		return leaseEnd // as for any minion that doesn't answer
	}
	times := releaseAfterRestart(leaseEnd, noticed, longestAccepted)
	if carriedOut {
		return times.listed
	}
	return times.others
}

// eachModelHistory calls fn with all histories on a grid of 200 ms, within what leaders
// rely on: an order is carried out within its time-out, a next incarnation that carries one
// out is noticed within 2 s, and a deposed leader sends nothing after leadershipTTL.
func eachModelHistory(fn func(h modelHistory)) {
	const step = 200 * time.Millisecond
	lastStart := holdWait + holdGrace // no start is sent once the silence is noticed
	for sent := -3 * time.Second; sent <= lastStart; sent += step {
		for carriedOut := sent; carriedOut <= sent+orderTimeout; carriedOut += step {
			for _, newLeader := range []time.Duration{never, 600 * time.Millisecond, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
				if sent > newLeader && sent-newLeader > leadershipTTL {
					continue // the deposed leader may not send any more
				}
				for ends := carriedOut - 2*step; ends <= 6*time.Second; ends += step {
					for nextStarts := ends; nextStarts <= ends+time.Second; nextStarts += step {
						for noticed := nextStarts; noticed <= nextStarts+2*time.Second; noticed += step {
							eachKnowledge(modelHistory{sent: sent, carriedOut: carriedOut, ends: ends, nextStarts: nextStarts, noticed: noticed, newLeader: newLeader}, fn)
						}
					}
				}
				for noticed := step; noticed <= 6*time.Second; noticed += step {
					eachKnowledge(modelHistory{sent: sent, carriedOut: carriedOut, ends: never, nextStarts: never, noticed: noticed, newLeader: newLeader}, fn)
				}
			}
		}
	}
}

// eachKnowledge calls fn with what the leaders may know in a history.
func eachKnowledge(h modelHistory, fn func(h modelHistory)) {
	byFirst := h.carriedOut < h.ends
	for _, h.listed = range []bool{false, byFirst && h.carriedOut <= holdWait} {
		for _, h.answered = range []bool{h.listed, byFirst || h.carriedOut >= h.nextStarts} {
			for _, h.lateLease = range []bool{false, true} {
				fn(h)
			}
		}
	}
}

// Guards against a release of a run that some incarnation of its minion still executes or
// may begin. The model must find the second run of rules that were tried and have one.
func TestReleaseModelHasNoSecondRun(t *testing.T) {
	for name, rule := range modelRules {
		t.Run(name, func(t *testing.T) {
			histories, broken := 0, 0
			var example modelHistory
			eachModelHistory(func(h modelHistory) {
				histories++
				if h.runsUntil(rule.startsRenew) > rule.releasedAt(h) {
					broken++
					example = h
				}
			})
			t.Logf("%d of %d histories have a second run, such as %+v", broken, histories, example)
			g := NewWithT(t)
			if name == ruleInUse || name == ruleStartsRenew {
				g.Expect(broken).To(BeZero())
			} else {
				g.Expect(broken).NotTo(BeZero())
			}
		})
	}
}
