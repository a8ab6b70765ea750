package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

// hostedShard is one epoch, that is, one assignment to this process, of a shard,
// which grants the slots of one service: its core, the calls of entry processes
// that wait for grants, the recovery (learning the grants of earlier epochs) and
// the standby, the process that copies the grants to take the shard over. Lock
// order: first Host.mu, then mu.
type hostedShard struct {
	host     *Host
	assigned *apiv1.Shard
	cancel   context.CancelFunc // ends the recovery and the mirroring
	log      *logrus.Entry
	// Signals the recovery that a new view, the part of the replicated state that
	// entry processes receive, has arrived.
	viewChanged chan struct{}

	mu         sync.Mutex
	core       *Core
	waiters    map[uint64]chan Outcome // by ticket
	stopReason *result.Error           // nil until the shard is stopped
	snap       *session.Snapshot       // nil until the first view
	// Texts for the state dump: what the recovery waits for, by session.
	recoveryWaitsFor []string
	// The previous host's grants, if this process has the complete mirror of
	// them (hasMirror), a copy that it got as the shard's standby. The recovery
	// clears the copies once they are added.
	mirrorCopies []*mirrorCopy
	hasMirror    bool

	standby standby
	// Signals sendChanges that grants were made or ended.
	grantsChanged chan struct{}

	reportInFlight bool
	lastReport     time.Duration
}

func (sh *hostedShard) now() time.Duration { return sh.host.opts.Clock.Now() }

// canGrant reports whether this process may grant: the shard is not stopped and
// the process's session is valid and is the one that the shard is assigned to.
func (sh *hostedShard) canGrant() bool {
	s := sh.host.opts.Session
	return sh.stopReason == nil && s.IsValid() && s.ID() == sh.assigned.SessionId
}

// step makes the grants (permissions to send one request to a minion) that are
// possible now and delivers the outcomes of the queued requests. It must
// be called with the lock held.
func (sh *hostedShard) step() { sh.advance((*Core).Step) }

// advance delivers the outcomes of stepFunc, Core.Step or Core.Tick. While this
// process may not grant, it refuses all queued requests instead.
func (sh *hostedShard) advance(stepFunc func(*Core, time.Duration) []Outcome) {
	sh.refuseOverdue()
	if !sh.canGrant() {
		sh.deliver(sh.core.RefuseQueued(sh.now(), sh.cannotGrantError()))
		return
	}
	sh.deliver(stepFunc(sh.core, sh.now()))
}

// enqueue queues a request and returns its ticket and the channel that receives
// its outcome.
func (sh *hostedShard) enqueue(req *apiv1.AcquireRequest) (uint64, <-chan Outcome, *result.Error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err := sh.refusal(req); err != nil {
		return 0, nil, err
	}
	ticket, err := sh.core.Enqueue(sh.now(), req)
	if err != nil {
		sh.host.metrics.observeRefusal(sh.assigned.Service, err.Code)
		return 0, nil, err
	}
	waiter := make(chan Outcome, 1) // buffered, so that sendOutcome never blocks
	sh.waiters[ticket] = waiter
	sh.step()
	sh.reportDemand()
	return ticket, waiter, nil
}

// refusal returns the reason why this process cannot queue the request, or nil.
func (sh *hostedShard) refusal(req *apiv1.AcquireRequest) *result.Error {
	switch {
	case sh.stopReason != nil:
		return sh.stopReason
	case req.Epoch < sh.assigned.Epoch:
		err := result.NotRun(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, "epoch %d of the shard of %s has ended; it is %d", req.Epoch, req.Service, sh.assigned.Epoch)
		err.RetryAfter = retryShard
		return err
	case req.Epoch > sh.assigned.Epoch:
		return unavailableError("this process does not know epoch %d of the shard of %s yet", req.Epoch, req.Service)
	case !sh.canGrant():
		return unavailableError("the host of the shard of %s has no valid session", req.Service)
	}
	return nil
}

// abandon removes the request of an entry process that no longer waits. It frees
// the slot if the request has already been granted.
func (sh *hostedShard) abandon(ticket uint64, waiter <-chan Outcome) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.waiters, ticket)
	if sh.core.Cancel(sh.now(), ticket) {
		return
	}
	if sh.cancelUndelivered(ticket) {
		sh.step()
		return
	}
	if out := <-waiter; out.Grant != nil {
		sh.core.Release(sh.now(), &apiv1.ReleaseRequest{
			Epoch: out.Grant.Epoch, GrantId: out.Grant.GrantId,
			Outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED,
		})
		sh.step()
	}
}

func (sh *hostedShard) release(req *apiv1.ReleaseRequest) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Release(sh.now(), req)
	sh.step()
}

func (sh *hostedShard) announce(m *apiv1.MinionAnnouncement) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Announce(sh.now(), m)
	sh.step()
}

// setView applies a view: it sets the core's configuration and refuses the
// requests with undelivered grants that the view may not allow.
func (sh *hostedShard) setView(snap *session.Snapshot) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	versionChanged := sh.snap != nil && sh.snap.View.GetConfigVersion() != snap.View.GetConfigVersion()
	sh.snap = snap
	sh.core.SetConfig(sh.now(), snap.Index, snap.View.GetLeavingVms())
	sh.refuseOutdated(versionChanged)
	sh.step()
	sh.reportDemand()
	select {
	case sh.viewChanged <- struct{}{}:
	default:
	}
}

// tick does the periodic work of the core and reports the demand if necessary.
func (sh *hostedShard) tick() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.advance((*Core).Tick)
	sh.reportDemand()
}

// stop ends the granting of this epoch, the recovery and the mirroring, and
// refuses all requests that are queued or whose grants are undelivered with err.
func (sh *hostedShard) stop(err *result.Error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.stopReason = err
	sh.core.StopGranting()
	sh.refuseOverdue()
	sh.deliver(sh.core.RefuseQueued(sh.now(), err))
	sh.cancel()
}

func (sh *hostedShard) dump() *ShardDump {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	d := sh.core.Dump(sh.now())
	d.RecoveryWaitsFor = sh.recoveryWaitsFor
	if sh.standby.proposed {
		d.Standby = sh.standby.session.Id
	}
	d.HeldGrants = len(sh.standby.undelivered)
	return d
}
