package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

const (
	// nextHoldWait is how long a minion holds back an answer without news. It also
	// is the interval of lease renewals, well below the lease.
	holdWait = time.Second
	// startupHoldWait applies while a long-running task starts up.
	startupHoldWait = 200 * time.Millisecond
	// holdGrace bounds a hold call beyond its wait.
	holdGrace = 800 * time.Millisecond
	// orderTimeout bounds a start, stop or pace call, which a sound minion
	// answers in some milliseconds.
	orderTimeout = 400 * time.Millisecond
	// retryDelay is the pause after a hold call that failed.
	retryDelay = 150 * time.Millisecond
	// maxEndsPerReply is the most ends that one reply lists.
	maxEndsPerReply = 500
	// maxParallelOrders bounds the order calls to one minion at the same time.
	maxParallelOrders = 4
	// slowOrderThreshold: a minion with an order that is unanswered for longer gets no
	// new work until it answers again.
	slowOrderThreshold = 250 * time.Millisecond
	// maxHoldAge: a minion whose last answer is older gets no new work.
	maxHoldAge = holdWait + 500*time.Millisecond
)

// orderState is how far the order of a committed run got.
type orderState int

const (
	orderUnsent orderState = iota
	orderSending
	// orderStarted: the minion confirmed the start.
	orderStarted
	// orderUncertain: the start may or may not have arrived.
	orderUncertain
	orderStopping
	// orderStopped: the minion confirmed the stop; the run cannot start later.
	orderStopped
)

// runOrder is the leader's view of one committed run on a minion.
type runOrder struct {
	state orderState
	// answeredAt is when the last start or stop was answered.
	answeredAt time.Duration
	// stopRequested asks for the run to be stopped.
	stopRequested bool
	longRunning   bool
	// released: an end was handed to the committer.
	released bool
	// checkpoint is the last one that the minion reported.
	checkpoint string
	lastStatus RunStatus
	// endInNextLife is how the run ended in the minion's next life.
	endInNextIncarnation apiv1.RunEnd
	// sentAt is when the start left.
	sentAt time.Duration
}

// session drives one life of a minion during one term of the leader.
type session struct {
	d      *Dispatcher
	target Target
	// token fences the orders of earlier leaders, and those meant for an
	// earlier life of the minion that arrive late.
	token      uint64
	log        *logrus.Entry
	orderSlots chan struct{}
	cancel     context.CancelFunc

	mu     sync.Mutex
	lease  lease
	orders map[batch.RunKey]*runOrder
	// orders follows the committed load of this revision, which was read from
	// the state of revision stateRevision.
	loadRevision, stateRevision uint64
	ackedEnd                    uint64
	// answeredAt is when the last hold was answered; zero before the first.
	answeredAt time.Duration
	answering  bool
	// backoffUntil: the minion refused an order and gets no new work before.
	backoffUntil time.Duration
	health       healthRecord
	// closing is guarded by the dispatcher: the life is over, and its end is
	// being committed.
	closing bool
}

func newSession(d *Dispatcher, t Target) *session {
	return &session{
		d: d, target: t, token: d.nextToken(),
		log:        d.log.WithFields(logrus.Fields{"minion": t.Incarnation.ID, "born_unix_ms": t.Incarnation.StartedMS}),
		orderSlots: make(chan struct{}, maxParallelOrders),
		// A minion that was never reached is not given up at its first call.
		lease:  newLease(max(d.inheritedLeaseEnd, d.clock.Now()+d.opts.Lease)),
		orders: map[batch.RunKey]*runOrder{},
	}
}

// run holds the minion until ctx ends or the life is over.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.d.leadershipConfirmed() {
			sleep(ctx, retryDelay)
			continue
		}
		if startedMS, ok := s.d.laterIncarnation(s.target.Incarnation); ok {
			s.d.handleRestart(ctx, s, startedMS)
			return
		}
		sentAt := s.d.clock.Now()
		reply, err := s.hold(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if s.handleHoldError(ctx, err) {
				return
			}
			sleep(ctx, retryDelay)
			continue
		}
		if reply.StartedMS != s.target.Incarnation.StartedMS {
			s.d.handleRestart(ctx, s, reply.StartedMS)
			return
		}
		s.handleReply(ctx, reply, sentAt)
	}
}

func (s *session) hold(ctx context.Context) (*HoldReply, error) {
	o := HoldRequest{Token: s.token}
	s.mu.Lock()
	o.LastAckedEnd = s.ackedEnd
	if s.answering {
		// A minion that does not answer gets no longer lease: its runs are
		// released when the present one is over.
		o.MaxWait = s.nextHoldWait()
		o.LeaseUntilMS = s.lease.extend(s.d.clock.Now(), s.d.opts.Lease)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, o.MaxWait+holdGrace)
	defer cancel()
	return s.d.opts.Minions.Hold(ctx, s.target, o)
}

// probe asks for an account at once, beside the hold that waits for ends.
func (s *session) probe() {
	ctx, cancel := context.WithTimeout(s.d.ctx, orderTimeout)
	defer cancel()
	s.mu.Lock()
	o := HoldRequest{Token: s.token, LastAckedEnd: s.ackedEnd}
	s.mu.Unlock()
	sentAt := s.d.clock.Now()
	reply, err := s.d.opts.Minions.Hold(ctx, s.target, o)
	if err != nil || reply.StartedMS != s.target.Incarnation.StartedMS || !s.d.isCurrent(s) {
		return // the next hold tells
	}
	s.handleReply(s.d.ctx, reply, sentAt)
}

// nextHoldWait is shorter while a long-running task starts up: services of other
// machines wait for it.
func (s *session) nextHoldWait() time.Duration {
	for _, o := range s.orders {
		if o.longRunning && !o.released && o.lastStatus.SpeedPercent < fullSpeed {
			return startupHoldWait
		}
	}
	return holdWait
}

// handleHoldError handles a hold that brought no account. It returns true once the life
// is over.
func (s *session) handleHoldError(ctx context.Context, err error) bool {
	refusal, refused := errors.AsType[*Refusal](err)
	if refused && refusal.Reason == RefusedOtherIncarnation {
		s.d.endIncarnation(ctx, s, "another life answers at its address")
		return true
	}
	s.mu.Lock()
	if refused {
		s.lease.observeClock(refusal.ClockMS, s.d.clock.Now())
	}
	expired := s.lease.expired(s.d.clock.Now())
	wasAnswering := s.answering
	s.answering = false
	s.mu.Unlock()
	if wasAnswering {
		s.log.WithError(err).Warn("minion does not answer")
	}
	if !expired {
		return false
	}
	if startedMS, ok := s.d.laterIncarnation(s.target.Incarnation); ok {
		// A late start may be carried out by the life that is there now.
		s.d.handleRestart(ctx, s, startedMS)
		return true
	}
	s.d.endIncarnation(ctx, s, "its lease is over")
	return true
}

// handleReply processes a reply to a hold that was sent at sentAt.
func (s *session) handleReply(ctx context.Context, reply *HoldReply, sentAt time.Duration) {
	now := s.d.clock.Now()
	s.mu.Lock()
	if !s.answering {
		s.log.WithFields(logrus.Fields{"running": len(reply.Running), "ended": len(reply.Ended)}).Info("minion answers")
	}
	s.answering, s.answeredAt = true, now
	s.lease.observeClock(reply.ClockMS, now)
	ends := s.reconcile(reply, sentAt, now)
	acked := s.ackedEnd
	for _, e := range reply.Ended {
		acked = max(acked, e.Number)
	}
	s.mu.Unlock()
	if len(ends) > 0 && !s.d.commitEnds(ctx, ends) {
		return
	}
	s.mu.Lock()
	s.ackedEnd = max(s.ackedEnd, acked)
	s.mu.Unlock()
	s.d.syncSession(s)
}

// reconcile compares the reply with the orders and returns the ends to commit. The
// caller holds mu.
func (s *session) reconcile(reply *HoldReply, sentAt, now time.Duration) []*apiv1.EndedRun {
	running := map[batch.RunKey]bool{}
	for _, r := range reply.Running {
		running[r.Run] = true
		s.observeRunning(r, now)
	}
	ended := map[batch.RunKey]bool{}
	var ends []*apiv1.EndedRun
	for _, e := range reply.Ended {
		ended[e.Run] = true
		s.recordEnd(e, now)
		ends = append(ends, &apiv1.EndedRun{Task: e.Run.Name(), Run: e.Run.Number, End: e.End, Checkpoint: e.Checkpoint})
	}
	if len(reply.Ended) >= maxEndsPerReply {
		return ends // the list may be cut, so what it lacks says nothing
	}
	for key, o := range s.orders {
		if !running[key] && !ended[key] && !o.released {
			ends = append(ends, s.handleMissing(key, o, sentAt)...)
		}
	}
	return ends
}

func (s *session) observeRunning(r RunStatus, now time.Duration) {
	o := s.orders[r.Run]
	if o == nil {
		s.log.WithField("run", r.Run.String()).Warn("minion runs a task that is not committed there; stopping it")
		go s.stopUncommitted(r.Run)
		return
	}
	if o.state == orderUnsent || o.state == orderUncertain {
		o.state, o.answeredAt = orderStarted, now
	}
	o.checkpoint = r.Checkpoint
	o.lastStatus = r
}

func (s *session) recordEnd(e EndedRun, now time.Duration) {
	o := s.orders[e.Run]
	if o == nil || o.released {
		return
	}
	o.released = true
	s.health.recordEnd(e.End, now)
	s.d.metrics.runsEnded.WithLabelValues(endName(e.End)).Inc()
	s.log.WithFields(logrus.Fields{"run": e.Run.String(), "end": endName(e.End), "number": e.Number}).Info("run ended")
}

// handleMissing handles a run that a complete reply does not list. It is released
// once a stop was confirmed before the hold was sent.
func (s *session) handleMissing(key batch.RunKey, o *runOrder, sentAt time.Duration) []*apiv1.EndedRun {
	switch o.state {
	case orderStopped:
		if o.answeredAt < sentAt {
			o.released = true
			s.log.WithField("run", key.String()).Info("run never started")
			return []*apiv1.EndedRun{{Task: key.Name(), Run: key.Number, End: apiv1.RunEnd_RUN_END_NOT_STARTED, Checkpoint: o.checkpoint}}
		}
	case orderStarted:
		if o.answeredAt < sentAt && !o.stopRequested {
			s.log.WithField("run", key.String()).Warn("started run is not listed any more; stopping it")
			o.stopRequested = true
		}
	case orderUncertain:
		o.stopRequested = true
	}
	return nil
}

// usable tells whether new work may go to the minion.
func (s *session) usable(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.answering || !s.lease.clockKnown || now-s.answeredAt >= maxHoldAge || now < s.backoffUntil {
		return false
	}
	for _, o := range s.orders {
		if o.state == orderSending && o.sentAt > 0 && now-o.sentAt > slowOrderThreshold {
			return false
		}
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
