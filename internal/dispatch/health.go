package dispatch

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// suspectDuration is how long placement prefers other minions after a run (one
	// execution of a task) failed on a minion or the minion refused a start as
	// unhealthy.
	suspectDuration = 3 * time.Second
	// quarantineFailures consecutive failed runs exclude a minion from new work
	// for quarantineDuration. Failures of settled long-running tasks don't count: no
	// success of theirs would end the count. One task that always fails ends its job
	// after max_attempts failures on all minions together, so with usual settings it
	// alone quarantines none; several failing tasks on one minion can.
	quarantineFailures = 4
	quarantineDuration = 5 * time.Second
)

// healthRecord derives a minion's health from how its runs end. It is kept in
// memory for one term; the quarantine of VMs in package fleet is another one.
// The user of the record synchronizes the access. All times are readings of the
// dispatcher's clock.
type healthRecord struct {
	consecutiveFailures int
	suspectUntil        time.Duration
	quarantinedUntil    time.Duration
}

// recordEnd updates the record with a run that ended at now. Ends other than
// done and failed, such as a stop, say nothing about the minion. settled is set for
// a run of a long-running task that was seen to run, whose failure says nothing about
// the minion's starts.
func (h *healthRecord) recordEnd(end apiv1.RunEnd, settled bool, now time.Duration) {
	switch end {
	case apiv1.RunEnd_RUN_END_DONE:
		h.consecutiveFailures = 0
		h.suspectUntil = 0
	case apiv1.RunEnd_RUN_END_FAILED:
		h.suspectUntil = now + suspectDuration
		if settled {
			return
		}
		h.consecutiveFailures++
		if h.consecutiveFailures >= quarantineFailures {
			h.quarantinedUntil = now + quarantineDuration
		}
	}
}

// recordUnhealthyRefusal makes the minion suspect; it doesn't count as a
// failed run.
func (h *healthRecord) recordUnhealthyRefusal(now time.Duration) {
	h.suspectUntil = now + suspectDuration
}

// suspect reports whether other minions are to be preferred.
func (h *healthRecord) suspect(now time.Duration) bool { return now < h.suspectUntil }

// quarantined reports whether the minion gets no new work.
func (h *healthRecord) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

// usable reports whether the minion answers and takes orders: it answered
// recently and has neither refused an order nor left a start order unanswered
// lately. A quarantine, the exclusion from new work after failed runs, is not
// considered.
func (s *session) usable(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answering || s.listsUncommitted || !s.lease.clockKnown || now-s.answeredAt >= s.heldFor+maxHoldDelay || now < s.backoffUntil {
		return false
	}
	for _, o := range s.orders {
		if o.state == orderSending && o.sentAt > 0 && now-o.sentAt > slowOrderThreshold {
			return false
		}
	}
	return true
}
