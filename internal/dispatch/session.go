package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

const (
	// holdWait is how long a minion holds back the answer to a hold call, the long
	// poll that renews its lease and collects the ends of its runs, while no run
	// ends. holdWait is also the interval of lease renewals, so it is well below
	// the length of a lease.
	holdWait = time.Second
	// startupHoldWait replaces holdWait while a long-running task starts up.
	startupHoldWait = 200 * time.Millisecond
	// holdGrace is how much longer than its wait a hold call may take.
	holdGrace = 800 * time.Millisecond
	// orderTimeout bounds each call to a minion that may not be held back. A
	// healthy minion answers such a call within a few milliseconds.
	orderTimeout = 400 * time.Millisecond
	// retryDelay is the pause before a failed call or commit is repeated.
	retryDelay = 150 * time.Millisecond
	// maxEndsPerReply is the largest number of ends that a minion lists in one
	// reply.
	maxEndsPerReply = 500
	// maxParallelOrders bounds the start and stop calls to one minion at the same
	// time.
	maxParallelOrders = 4
	// slowOrderThreshold is the age of an unanswered start from which the minion
	// gets no new work until the start is answered or has timed out.
	slowOrderThreshold = 250 * time.Millisecond
	// maxHoldDelay is how much later than after its wait a hold call's answer may come
	// until the minion gets no new work, maxHoldAge the age of the last answer by then.
	maxHoldDelay = 500 * time.Millisecond
	maxHoldAge   = holdWait + maxHoldDelay
)

// orderState is the progress of the orders for a committed run.
type orderState int

const (
	// orderUnsent means that no start order was sent.
	orderUnsent orderState = iota
	// orderSending means that a start order waits for a slot or for its answer.
	orderSending
	// orderStarted means that the minion confirmed the start.
	orderStarted
	// orderUncertain means that a start order may have reached the minion or not,
	// or may still reach it.
	orderUncertain
	// orderStopping means that a stop order is sent until it is answered.
	orderStopping
	// orderStopped means that the minion confirmed the stop, so the run cannot
	// start later.
	orderStopped
)

// runOrder is what the leader knows of one committed run, an execution of a
// task, on a minion.
type runOrder struct {
	state orderState
	// answeredAt is when the last start or stop call was answered or timed out, or
	// when a hold reply first listed the run.
	answeredAt time.Duration
	// stopRequested is set when the run is to be stopped.
	stopRequested bool
	// relocating is set with stopRequested while the only reason is that the task is
	// to run on another machine.
	relocating bool
	// stopSent is set once a stop was about to be sent.
	stopSent      bool
	isLongRunning bool
	// resources is what the run takes of the minion's capacity.
	resources batch.Usage
	// released is set when an end of the run was determined and is committed, or
	// about to be. Nothing more is sent for the run.
	released bool
	// checkpoint is the last checkpoint that the minion reported.
	checkpoint string
	// lastStatus is the last status that the minion reported.
	lastStatus RunStatus
	// statusAt is when the hold call was sent whose reply gave lastStatus.
	statusAt time.Duration
	// endInNextIncarnation is how the run ended when a delayed start order was
	// carried out by the minion's next incarnation, that is, after a restart.
	endInNextIncarnation apiv1.RunEnd
	// mayHaveBegun is set once a start order may have been sent, by this session, an
	// earlier one or an earlier leader, or the minion listed the run as running. It is
	// cleared when the order was certainly refused.
	mayHaveBegun bool
	// begunReported is set once the minion has confirmed the run's start or listed it.
	begunReported bool
	// sentAt is when the start order was sent, zero before.
	sentAt time.Duration
	// startedUnixMS is when the start of a run that an earlier leader started was
	// committed, zero for others.
	startedUnixMS int64
	// firstListedAt is when a hold reply first listed the run as running, zero before.
	firstListedAt time.Duration
	// listed is set once a hold reply of the incarnation has listed the run, also to an
	// earlier session or leader (see releaseTimes).
	listed bool
	// settled is set when a hold reply listed the run settledAge after firstListedAt.
	settled bool
}

// session communicates with one incarnation of a minion, one lifetime of its
// process, during one term of the leader: it renews the lease, sends start and
// stop orders, and collects ends.
type session struct {
	d      *Dispatcher
	target Target
	// token is the fencing token. It invalidates orders of earlier leaders, and
	// delayed orders that were meant for an earlier incarnation of the minion.
	token      uint64
	log        *logrus.Entry
	orderSlots chan struct{}
	cancel     context.CancelFunc

	mu    sync.Mutex
	lease lease
	// endedBefore is the latest ended incarnation of the minion's id while calls for
	// earlier ones may have reached this one, else zero. lateLeaseEnd is when a lease
	// from such a call has ended, zero before the first answer.
	endedBefore  batch.Incarnation
	lateLeaseEnd time.Duration
	// renewedAt is when the last hold call was sent that renewed the lease, zero before
	// the first.
	renewedAt time.Duration
	orders    map[batch.RunKey]*runOrder
	// loadRevision is the revision of the committed load that orders reflects,
	// stateRevision the revision of the whole state that it was read from.
	loadRevision, stateRevision uint64
	// listsUncommitted is set while the last hold reply listed a run that isn't
	// committed. It takes room that the state doesn't know of.
	listsUncommitted bool
	// synced is set once orders reflects a committed load.
	synced bool
	// ackedEnd is the number of the last committed end. The next hold call
	// acknowledges it.
	ackedEnd uint64
	// answeredAt is when the last hold call was answered, zero before the first.
	answeredAt time.Duration
	// heldFor is how long the present hold call may be held back, or holdWait if that is
	// longer.
	heldFor time.Duration
	// answering is set while the last hold call was answered.
	answering bool
	// renewalFailed is set when the last renewal of the lease got no answer or wasn't
	// sent, until a hold call is answered.
	renewalFailed bool
	// awaitingFullSpeed is set while awaitFullSpeed runs.
	awaitingFullSpeed bool
	// backoffUntil is when a minion that refused an order may get new work again.
	backoffUntil time.Duration
	health       healthRecord
	// lossesCleared is set once no loss of the incarnation counts as a possible crash.
	// Only the goroutine of the hold calls uses it.
	lossesCleared bool
	// closing is set when the incarnation has ended and its end is being
	// committed. The dispatcher's mu guards closing and notice.
	closing bool
	notice  endNotice
}

func newSession(d *Dispatcher, t Target) *session {
	return &session{
		d: d, target: t, token: d.nextToken(),
		log:        d.log.WithFields(logrus.Fields{"minion": t.Incarnation.ID, "born_unix_ms": t.Incarnation.StartedMS}),
		orderSlots: make(chan struct{}, maxParallelOrders),
		// An earlier session of this term may have renewed the lease just now, when
		// the minion's address changed.
		lease:  newLease(max(d.leases.inheritedEnd, d.clock.Now()+longestLease(d.opts.Lease))),
		orders: map[batch.RunKey]*runOrder{},
	}
}

// run makes one hold call after the other until ctx ends or the incarnation has
// ended.
func (s *session) run(ctx context.Context) {
	// A run that the session doesn't know would be stopped as uncommitted.
	s.d.syncSession(s)
	if s.target.Address == "" {
		s.d.endUnrecorded(ctx, s)
		return
	}
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
			sleep(ctx, s.retryPause())
			if ctx.Err() != nil || s.endIfExpired(ctx, err) {
				return
			}
			continue
		}
		if reply.StartedMS != s.target.Incarnation.StartedMS {
			s.d.handleRestart(ctx, s, reply.StartedMS)
			return
		}
		s.handleReply(ctx, reply, sentAt)
		s.clearLosses(ctx)
		s.forgetEarlier(ctx)
	}
}

// handleReply processes the reply to a hold call that was sent at sentAt. Ends
// are acknowledged in the next hold call only when they are committed.
func (s *session) handleReply(ctx context.Context, reply *HoldReply, sentAt time.Duration) {
	now := s.d.clock.Now()
	s.mu.Lock()
	if !s.answering {
		s.log.WithFields(logrus.Fields{"running": len(reply.Running), "ended": len(reply.Ended)}).Info("minion answers")
	}
	if reply.Unreadable != nil {
		s.log.WithError(reply.Unreadable).Warn("minion's reply has unreadable rows; the others count")
	}
	s.answering, s.answeredAt, s.renewalFailed = true, now, false
	s.lease.observeClock(reply.ClockMS, now)
	s.boundLateLease(now)
	ends := s.reconcile(reply, sentAt, now)
	s.mu.Unlock()
	if len(ends) > 0 && !s.commitEnds(ctx, ends) {
		return
	}
	s.mu.Lock()
	s.ackedEnd = max(s.ackedEnd, reply.lastAckable())
	s.mu.Unlock()
	s.d.syncSession(s)
}

// reconcile updates the orders from a hold reply and returns the ends to commit.
// The caller holds mu.
func (s *session) reconcile(reply *HoldReply, sentAt, now time.Duration) []*apiv1.EndedRun {
	running := map[batch.RunKey]bool{}
	s.listsUncommitted = false
	for _, r := range reply.Running {
		running[r.Run] = true
		s.observeRunning(r, now)
		if o := s.orders[r.Run]; o != nil {
			o.statusAt = max(o.statusAt, sentAt)
		}
	}
	ended := map[batch.RunKey]bool{}
	var ends []*apiv1.EndedRun
	for _, e := range reply.Ended {
		ended[e.Run] = true
		s.recordEnd(e, now)
		ends = append(ends, &apiv1.EndedRun{Task: e.Run.Name(), Run: e.Run.Number, End: e.End, Checkpoint: e.Checkpoint})
	}
	if len(reply.Ended) >= maxEndsPerReply || reply.Unreadable != nil {
		return ends // the lists may lack rows, so a missing run means nothing
	}
	for key, o := range s.orders {
		if !running[key] && !ended[key] && !o.released {
			ends = append(ends, s.handleMissing(key, o, sentAt)...)
		}
	}
	return ends
}

// observeRunning records that a hold reply lists a run as running. A run that is
// not committed on the minion is stopped. The caller holds mu.
func (s *session) observeRunning(r RunStatus, now time.Duration) {
	o := s.orders[r.Run]
	if o == nil {
		s.log.WithField("run", r.Run.String()).Warn("minion executes an uncommitted run; stopping it")
		s.listsUncommitted = true
		go s.stopUncommitted(r.Run)
		return
	}
	if o.state == orderUnsent || o.state == orderUncertain {
		o.state, o.answeredAt = orderStarted, now
	}
	o.mayHaveBegun = true
	s.reportBegun(r.Run, o)
	if !o.listed && o.isLongRunning {
		s.observeDowntime(r.Run, now)
	}
	s.reportListed(r.Run, o)
	o.updateSettled(now)
	o.checkpoint = r.Checkpoint
	o.lastStatus = r
}

// recordEnd records that a hold reply lists the end of a run. The caller holds
// mu.
func (s *session) recordEnd(e ReportedEnd, now time.Duration) {
	o := s.orders[e.Run]
	if o == nil || o.released {
		return
	}
	o.released = true
	s.health.recordEnd(e.End, o.isLongRunning && o.settled, now)
	s.d.metrics.runsEnded.WithLabelValues(endName(e.End)).Inc()
	s.logEnd(e)
	if o.isLongRunning {
		s.d.downtimes.begin(e.Run.TaskRef, o.statusAt, e.End)
	}
}

// handleMissing handles a run that a complete hold reply does not list. The run
// is released when its stop was confirmed before the hold call was sent at
// sentAt; otherwise it is stopped first. The caller holds mu.
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
			s.log.WithField("run", key.String()).Warn("started run is no longer listed; stopping it")
			o.stopRequested = true
		}
	case orderUncertain:
		// An earlier reply may have been written before the minion began the run.
		o.stopRequested = o.stopRequested || o.answeredAt < sentAt
	}
	return nil
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
