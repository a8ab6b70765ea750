package scheduler

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fairshare"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// minObservations is the number of observations after which the mean slot
	// time is used; before that no request is refused because of it.
	minObservations = 20
	// minMeanGain is the weight of a new observation in the mean slot time once
	// there are many; the first ones have a weight of 1/count.
	minMeanGain = 0.05
)

// slotTimeEstimate is the moving mean of the time for which a grant (the permission
// to send one request to a minion) occupies its slot, a minion's place for one
// request, over all teams.
type slotTimeEstimate struct {
	mean  float64 // seconds
	count int     // number of observations
}

func (r *slotTimeEstimate) observe(length time.Duration) {
	r.count++
	gain := max(minMeanGain, 1/float64(r.count))
	r.mean += gain * (length.Seconds() - r.mean)
}

// waitFor estimates the time within which n requests start on the given number
// of slots. It is zero when the estimate is not known.
func (r *slotTimeEstimate) waitFor(n float64, slots uint32) time.Duration {
	if r.count < minObservations || slots == 0 {
		return 0
	}
	return time.Duration(n * r.mean / float64(slots) * float64(time.Second))
}

// retryAfter estimates the time until one of the slots is free.
func (r *slotTimeEstimate) retryAfter(slots uint32) time.Duration {
	return max(minRetryAfter, r.waitFor(1, slots))
}

// admit refuses a request when its queue, of the given name, is full or when it
// cannot start within its timeout. The estimates of the wait are right only on
// average, so they are not used while the request can start at once.
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
	case slots == 0 && now-c.started >= announceTimeout:
		return c.noCapacityError(now)
	}
	return c.admitByEstimate(t, class, slots, free, timeout)
}

// admitByEstimate refuses a request whose estimated wait exceeds its timeout.
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

// estimateLimitWait estimates how long a new request waits when its team is at
// its ceiling, the most requests of the team that this shard lets run. The
// estimate uses the team's whole limit, since the shard's part of it may grow
// before the request's deadline.
func (c *Core) estimateLimitWait(t *teamState, class fairshare.Class) time.Duration {
	if !t.isAtCeiling() {
		return 0
	}
	return c.slotTimes.waitFor(c.teamRequestsAhead(t, class), c.index.MaxRunning(t.name))
}

// estimateShareWait estimates the wait for a slot under fair share. Until the
// team's own k-th request of the class starts, each other team starts k times
// its weight relative to this team, but no more than is queued; all queued
// requests of higher classes start first.
func (c *Core) estimateShareWait(t *teamState, class fairshare.Class, slots uint32) time.Duration {
	load := c.classLoads[class]
	own := c.teamRequestsAhead(t, class)
	weight := load.weight
	if t.lists[class].l.Len() == 0 {
		weight += c.weight(t)
	}
	ahead := min(own*float64(weight)/float64(c.weight(t)), float64(load.queued+1))
	for higher := fairshare.Urgent; higher < class; higher++ {
		ahead += float64(c.classLoads[higher].queued)
	}
	return c.slotTimes.waitFor(ahead, slots)
}

// teamRequestsAhead is the number of the team's requests that start before a
// new one of the class, plus one for the new one.
func (c *Core) teamRequestsAhead(t *teamState, class fairshare.Class) float64 {
	n := 1
	for higher := fairshare.Urgent; higher <= class; higher++ {
		n += t.lists[higher].l.Len()
	}
	return float64(n)
}
