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
	rateGain        = 0.05
)

// serviceRate is the observed mean slot time over all teams, in seconds.
type serviceRate struct {
	mean  float64
	count int
}

func (r *serviceRate) observe(length time.Duration) {
	r.count++
	gain := max(rateGain, 1/float64(r.count))
	r.mean += gain * (length.Seconds() - r.mean)
}

// wait is the time in which the given number of slots begins n requests; zero
// when it is not known.
func (r *serviceRate) wait(n float64, slots uint32) time.Duration {
	if r.count < minObservations || slots == 0 {
		return 0
	}
	return time.Duration(n * r.mean / float64(slots) * float64(time.Second))
}

func (r *serviceRate) retryAfter(slots uint32) time.Duration {
	return max(minRetryAfter, r.wait(1, slots))
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
	case c.depths[name] >= depth:
		wait := max(minRetryAfter, c.rate.wait(float64(c.depths[name])/2, slots))
		return c.refuse(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, wait, "queue %s holds its %d requests", name, depth)
	case !c.granting:
		return nil
	case slots == 0 && now-c.started >= announceExpiry:
		return c.noCapacity(now)
	}
	return c.admitByRate(t, class, slots, free, timeout)
}

func (c *Core) admitByRate(t *teamState, class fairshare.Class, slots, free uint32, timeout time.Duration) *result.Error {
	if limited := c.limitWait(t, class); limited > timeout {
		return c.refuse(apiv1.ResultCode_RESULT_CODE_TEAM_LIMIT, limited-timeout, "team %s is at its limit and cannot start this within %v", t.name, timeout)
	}
	if free > 0 {
		return nil
	}
	if wait := c.shareWait(t, class, slots); wait > timeout {
		return c.refuse(apiv1.ResultCode_RESULT_CODE_DEADLINE_TOO_SHORT, wait-timeout, "the queue of %s needs about %v, the request has %v", c.service, wait.Round(time.Millisecond), timeout)
	}
	return nil
}

// limitWait estimates the wait for the team's limit. It uses the whole limit,
// since the shard's part of it may grow before the request's deadline.
func (c *Core) limitWait(t *teamState, class fairshare.Class) time.Duration {
	if !t.atCeiling() {
		return 0
	}
	return c.rate.wait(c.ownAhead(t, class), c.index.MaxRunning(t.name))
}

// shareWait estimates the wait for a slot under fair share: until the team's
// own k-th request of the class starts, the other teams start k times their
// relative weight, but no more than is queued, and the higher classes go first.
func (c *Core) shareWait(t *teamState, class fairshare.Class, slots uint32) time.Duration {
	load := c.classes[class]
	own := c.ownAhead(t, class)
	weight := load.weight
	if t.queues[class].l.Len() == 0 {
		weight += c.weight(t)
	}
	ahead := min(own*float64(weight)/float64(c.weight(t)), float64(load.queued+1))
	for higher := fairshare.Urgent; higher < class; higher++ {
		ahead += float64(c.classes[higher].queued)
	}
	return c.rate.wait(ahead, slots)
}

// ownAhead is the number of the team's requests that start up to and including
// a new one of the class.
func (c *Core) ownAhead(t *teamState, class fairshare.Class) float64 {
	n := 1
	for higher := fairshare.Urgent; higher <= class; higher++ {
		n += t.queues[higher].l.Len()
	}
	return float64(n)
}
