package dispatch

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// suspectTime is how long a minion is avoided after a run failed on it.
	suspectDuration = 3 * time.Second
	// quarantineFailures in a row take a minion out for quarantineTime; a job
	// that cannot be done fails fewer times on one minion.
	quarantineFailures = 4
	quarantineDuration = 5 * time.Second
)

// healthRecord judges a minion by how its runs end.
type healthRecord struct {
	consecutiveFailures int
	suspectUntil        time.Duration
	quarantinedUntil    time.Duration
}

func (h *healthRecord) recordEnd(end apiv1.RunEnd, now time.Duration) {
	switch end {
	case apiv1.RunEnd_RUN_END_DONE:
		h.consecutiveFailures = 0
		h.suspectUntil = 0
	case apiv1.RunEnd_RUN_END_FAILED:
		h.consecutiveFailures++
		h.suspectUntil = now + suspectDuration
		if h.consecutiveFailures >= quarantineFailures {
			h.quarantinedUntil = now + quarantineDuration
		}
	}
}

func (h *healthRecord) recordUnhealthyRefusal(now time.Duration) {
	h.suspectUntil = now + suspectDuration
}

func (h *healthRecord) suspect(now time.Duration) bool     { return now < h.suspectUntil }
func (h *healthRecord) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }
