package scheduler

import (
	"container/list"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fairshare"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// defaultQueueDepth limits the depth of a queue that the configuration of
	// this process does not contain yet.
	defaultQueueDepth = 1000
	// retryNoCapacity is the retry-after time while no minion is usable. It is
	// about the interval in which a minion announces itself.
	retryNoCapacity = time.Second
	// minRetryAfter is the shortest retry-after time of a refusal that is
	// estimated from the mean slot time.
	minRetryAfter = 50 * time.Millisecond
)

// queuedRequest is a request that waits for a slot of a minion. It is an element
// of the list of its team and class and of Core.deadlines.
type queuedRequest struct {
	ticket   uint64
	request  *apiv1.AcquireRequest
	class    fairshare.Class
	enqueued time.Duration
	deadline time.Duration
	element  *list.Element
	heapPos  int
}

func (it *queuedRequest) due() time.Duration { return it.deadline }
func (it *queuedRequest) pos() *int          { return &it.heapPos }

// requestFIFO is a first-in, first-out list of requests; the zero value is empty.
type requestFIFO struct{ l list.List }

func (q *requestFIFO) front() *queuedRequest { return q.l.Front().Value.(*queuedRequest) }

// classLoad is the number of queued requests of a class and the total weight of
// the teams they belong to.
type classLoad struct {
	queued uint32
	weight uint64
}

// Enqueue admits a request to the queue and returns its ticket. It refuses the
// request, as not run, when the queue is full or when the request is not
// expected to start before its deadline. A later Step returns the outcome.
func (c *Core) Enqueue(now time.Duration, req *apiv1.AcquireRequest) (uint64, *result.Error) {
	if c.config == nil {
		return 0, c.refuse(apiv1.ResultCode_RESULT_CODE_UNKNOWN_SERVICE, 0, "service %s is not configured", c.service)
	}
	queue := c.index.Queues[req.Queue]
	timeout := time.Duration(min(req.TimeoutMs, c.config.MaxDeadlineMs)) * time.Millisecond
	t := c.team(now, req.Team)
	class := classOf(queue, req.Priority)
	if err := c.admit(now, t, class, req.Queue, timeout); err != nil {
		return 0, err
	}
	c.lastTicket++
	it := &queuedRequest{ticket: c.lastTicket, request: req, class: class, enqueued: now, deadline: now + timeout, heapPos: -1}
	c.addQueued(now, t, it)
	return it.ticket, nil
}

// Cancel removes a queued request and reports whether it was still queued.
func (c *Core) Cancel(now time.Duration, ticket uint64) bool {
	it, ok := c.waiting[ticket]
	if ok {
		c.removeQueued(now, it)
	}
	return ok
}

// RefuseQueued refuses all queued requests with err and returns their outcomes.
func (c *Core) RefuseQueued(now time.Duration, err *result.Error) []Outcome {
	var out []Outcome
	for len(c.deadlines.items) > 0 {
		it := c.deadlines.items[0]
		c.removeQueued(now, it)
		out = append(out, Outcome{Ticket: it.ticket, Err: err})
	}
	return out
}

// classOf returns the priority class of a request: that of its queue if the
// queue is configured, otherwise the requested one.
func classOf(queue *apiv1.Queue, requested apiv1.Priority) fairshare.Class {
	if queue != nil {
		requested = queue.Priority
	}
	switch requested {
	case apiv1.Priority_PRIORITY_URGENT:
		return fairshare.Urgent
	case apiv1.Priority_PRIORITY_OVERNIGHT:
		return fairshare.Overnight
	}
	return fairshare.Normal
}

func (c *Core) addQueued(now time.Duration, t *teamState, it *queuedRequest) {
	q := &t.lists[it.class]
	if q.l.Len() == 0 {
		c.classLoads[it.class].weight += c.weight(t)
	}
	it.element = q.l.PushBack(it)
	t.queued++
	c.classLoads[it.class].queued++
	c.queueDepths[it.request.Queue]++
	c.waiting[it.ticket] = it
	c.deadlines.add(it)
	c.picker.Enqueue(now, t.name, it.class)
}

func (c *Core) removeQueued(now time.Duration, it *queuedRequest) {
	t := c.teams[it.request.Team]
	q := &t.lists[it.class]
	q.l.Remove(it.element)
	t.queued--
	load := &c.classLoads[it.class]
	load.queued--
	if q.l.Len() == 0 {
		load.weight -= min(load.weight, c.weight(t))
	}
	if load.queued == 0 {
		load.weight = 0 // weights may have changed while queued
	}
	if c.queueDepths[it.request.Queue]--; c.queueDepths[it.request.Queue] == 0 {
		delete(c.queueDepths, it.request.Queue)
	}
	delete(c.waiting, it.ticket)
	c.deadlines.remove(it)
	c.picker.Dequeue(now, t.name, it.class)
}

func (c *Core) weight(t *teamState) uint64 {
	return uint64(max(c.index.Teams[t.name].GetWeight(), 1))
}

func (c *Core) expireQueued(now time.Duration) []Outcome {
	var out []Outcome
	for {
		it, ok := c.deadlines.next(now)
		if !ok {
			return out
		}
		err := c.expiryError(now, it)
		c.removeQueued(now, it)
		out = append(out, Outcome{Ticket: it.ticket, Err: err})
	}
}

// expiryError returns the reason why a queued request did not start before its
// deadline.
func (c *Core) expiryError(now time.Duration, it *queuedRequest) *result.Error {
	waited := now - it.enqueued
	slots, _ := c.usableSlots(now)
	switch t := c.teams[it.request.Team]; {
	case !c.granting:
		return c.refuse(apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE, retryShard, "shard of %s counts the grants of its predecessor; waited %v", c.service, waited)
	case slots == 0:
		return c.noCapacityError(now)
	case t.isAtCeiling():
		return c.refuse(apiv1.ResultCode_RESULT_CODE_TEAM_LIMIT, c.slotTimes.retryAfter(t.ceiling), "team %s runs %d of its limit's part of %d; waited %v", t.name, t.running, t.ceiling, waited)
	}
	return c.refuse(apiv1.ResultCode_RESULT_CODE_DEADLINE_TOO_SHORT, c.slotTimes.retryAfter(slots), "no slot of %s was free within %v", c.service, waited)
}

func (c *Core) noCapacityError(now time.Duration) *result.Error {
	if c.isOutInAllZones(now) {
		return c.refuse(apiv1.ResultCode_RESULT_CODE_ZONE_OUT, retryNoCapacity, "every minion of %s is in an availability zone that is out", c.service)
	}
	return c.refuse(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, retryNoCapacity, "no minion of %s is usable", c.service)
}
