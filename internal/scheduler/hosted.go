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

// hosted is a core with the callers that wait for it. Its lock is taken after
// the host's.
type hosted struct {
	host     *Host
	assigned *apiv1.Shard
	cancel   context.CancelFunc
	log      *logrus.Entry
	// Signals the recovery that the view changed.
	views chan struct{}

	mu      sync.Mutex
	core    *Core
	waiters map[uint64]chan Outcome
	stopped *result.Error
	snap    *session.Snapshot
	// Sessions the recovery waits for, for the state dump.
	pending []string
	// Copies of the grants of earlier epochs, when copied is true.
	copies []*mirrorCopy
	copied bool

	standby standby
	// Signals the standby's sender that there are changes.
	changed chan struct{}

	reporting bool
	reported  time.Duration
}

func (sh *hosted) now() time.Duration { return sh.host.o.Clock.Now() }

// mayGrant is true only while this process's session is valid and is the one
// that the shard is assigned to.
func (sh *hosted) mayGrant() bool {
	s := sh.host.o.Session
	return sh.stopped == nil && s.IsValid() && s.ID() == sh.assigned.SessionId
}

// step must be called with the lock held.
func (sh *hosted) step() { sh.settle((*Core).Step) }

func (sh *hosted) settle(advance func(*Core, time.Duration) []Outcome) {
	sh.dropHeld()
	if !sh.mayGrant() {
		sh.deliver(sh.core.Flush(sh.now(), sh.cannotGrant()))
		return
	}
	sh.deliver(advance(sh.core, sh.now()))
}

func (sh *hosted) enqueue(req *apiv1.AcquireRequest) (uint64, <-chan Outcome, *result.Error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if err := sh.refusal(req); err != nil {
		return 0, nil, err
	}
	ticket, err := sh.core.Enqueue(sh.now(), req)
	if err != nil {
		sh.host.metrics.refused(sh.assigned.Service, err.Code)
		return 0, nil, err
	}
	answer := make(chan Outcome, 1) // deliver never blocks
	sh.waiters[ticket] = answer
	sh.step()
	sh.reportDemand()
	return ticket, answer, nil
}

func (sh *hosted) refusal(req *apiv1.AcquireRequest) *result.Error {
	switch {
	case sh.stopped != nil:
		return sh.stopped
	case req.Epoch < sh.assigned.Epoch:
		err := result.NotRun(apiv1.ResultCode_RESULT_CODE_EPOCH_STALE, "epoch %d of the shard of %s has ended; it is %d", req.Epoch, req.Service, sh.assigned.Epoch)
		err.RetryAfter = retryShard
		return err
	case req.Epoch > sh.assigned.Epoch:
		return unavailable("this process does not know epoch %d of the shard of %s yet", req.Epoch, req.Service)
	case !sh.mayGrant():
		return unavailable("the host of the shard of %s has no valid session", req.Service)
	}
	return nil
}

// abandon removes a request whose caller is gone, or gives back its grant.
func (sh *hosted) abandon(ticket uint64, answer <-chan Outcome) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.waiters, ticket)
	if sh.core.Cancel(sh.now(), ticket) {
		return
	}
	if sh.cancelHeld(ticket) {
		sh.step()
		return
	}
	if out := <-answer; out.Grant != nil {
		sh.core.Release(sh.now(), &apiv1.ReleaseRequest{
			Epoch: out.Grant.Epoch, GrantId: out.Grant.GrantId,
			Outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED,
		})
		sh.step()
	}
}

func (sh *hosted) release(req *apiv1.ReleaseRequest) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Release(sh.now(), req)
	sh.step()
}

func (sh *hosted) announce(m *apiv1.MinionAnnouncement) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.Announce(sh.now(), m)
	sh.step()
}

func (sh *hosted) setView(snap *session.Snapshot) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	configured := sh.snap != nil && sh.snap.View.GetConfigVersion() != snap.View.GetConfigVersion()
	sh.snap = snap
	sh.core.SetConfig(sh.now(), snap.Index, snap.View.GetLeavingVms())
	sh.dropForbidden(configured)
	sh.step()
	sh.reportDemand()
	select {
	case sh.views <- struct{}{}:
	default:
	}
}

func (sh *hosted) tick() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.settle((*Core).Tick)
	sh.reportDemand()
}

// stop ends granting for good and answers what is queued with err.
func (sh *hosted) stop(err *result.Error) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.stopped = err
	sh.core.StopGranting()
	sh.dropHeld()
	sh.deliver(sh.core.Flush(sh.now(), err))
	sh.cancel()
}

func (sh *hosted) dump() *ShardDump {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	d := sh.core.Dump(sh.now())
	d.Recovery = sh.pending
	if sh.standby.proposed {
		d.Standby = sh.standby.target.Id
	}
	d.Held = len(sh.standby.held)
	return d
}
