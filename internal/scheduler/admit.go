package scheduler

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fairshare"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// The mean slot time is trusted after this many observations; before that
	// no request is refused for it.
	minObservations = 20
	minMeanGain     = 0.05
)

// slotTimeEstimate is the observed mean slot time over all teams, in seconds.
type slotTimeEstimate struct {
	mean  float64
	count int
}

func (r *slotTimeEstimate) observe(length time.Duration) {
	r.count++
	gain := max(minMeanGain, 1/float64(r.count))
	r.mean += gain * (length.Seconds() - r.mean)
}

// waitFor is the time in which the given number of slots begins n requests; zero
// when it is not known.
func (r *slotTimeEstimate) waitFor(n float64, slots uint32) time.Duration {
	if r.count < minObservations || slots == 0 {
		return 0
	}
	return time.Duration(n * r.mean / float64(slots) * float64(time.Second))
}

func (r *slotTimeEstimate) retryAfter(slots uint32) time.Duration {
	return max(minRetryAfter, r.waitFor(1, slots))
}

// admit refuses work that cannot start in time. The estimates are exact only
// in the mean, so they are used only when work must queue at all.
func (c *Core) admit(now time.Duration, t *teamState, class fairshare.Class, name string, timeout time.Duration) *result.Error {
	depth := uint32(defaultQueueDepth)
	if queue, ok := c.index.Queues[name]; ok {
		depth = queue.MaxDepth
	}
	slots, free := c.usableSlots(now)
	switch {
	case timeout <= 0:
		return c.refuse(apiv1.ResultCode_RESULT_CODE_DEADLINE_TOO_SHORT, 0, "the request's time is over")
	case c.queueDepths[name] >= depth:
		wait := max(minRetryAfter, c.slotTimes.waitFor(float64(c.queueDepths[name])/2, slots))
		return c.refuse(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, wait, "queue %s holds its %d requests", name, depth)
	case !c.granting:
		return nil
	case slots == 0 && now-c.started >= announceExpiry:
		return c.noCapacityError(now)
	}
	return c.admitByEstimate(t, class, slots, free, timeout)
}

func (c *Core) admitByEstimate(t *teamState, class fairshare.Class, slots, free uint32, timeout time.Duration) *result.Error {
	if limited := c.estimateLimitWait(t, class); limited > timeout {
		return c.refuse(apiv1.ResultCode_RESULT_CODE_TEAM_LIMIT, limited-timeout, "team %s is at its limit and cannot start this within %v", t.name, timeout)
	}
	if free > 0 {
		return nil
	}
	if wait := c.estimateShareWait(t, class, slots); wait > timeout {
		return c.refuse(apiv1.ResultCode_RESULT_CODE_DEADLINE_TOO_SHORT, wait-timeout, "the queue of %s needs about %v, the request has %v", c.service, wait.Round(time.Millisecond), timeout)
	}
	return nil
}

// estimateLimitWait estimates the wait for the team's limit. It uses the whole limit,
// since the shard's part of it may grow before the request's deadline.
func (c *Core) estimateLimitWait(t *teamState, class fairshare.Class) time.Duration {
	if !t.isAtCeiling() {
		return 0
	}
	return c.slotTimes.waitFor(c.teamRequestsAhead(t, class), c.index.MaxRunning(t.name))
}

// estimateShareWait estimates the wait for a slot under fair share: until the team's
// own k-th request of the class starts, the other teams start k times their
// relative weight, but no more than is queued, and the higher classes go first.
func (c *Core) estimateShareWait(t *teamState, class fairshare.Class, slots uint32) time.Duration {
	load := c.classLoads[class]
	own := c.teamRequestsAhead(t, class)
	weight := load.weight
	if t.queues[class].l.Len() == 0 {
		weight += c.weight(t)
	}
	ahead := min(own*float64(weight)/float64(c.weight(t)), float64(load.queued+1))
	for higher := fairshare.Urgent; higher < class; higher++ {
		ahead += float64(c.classLoads[higher].queued)
	}
	return c.slotTimes.waitFor(ahead, slots)
}

// teamRequestsAhead is the number of the team's requests that start up to and including
// a new one of the class.
func (c *Core) teamRequestsAhead(t *teamState, class fairshare.Class) float64 {
	n := 1
	for higher := fairshare.Urgent; higher <= class; higher++ {
		n += t.queues[higher].l.Len()
	}
	return float64(n)
}
