package control

import (
	"context"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// Expiry of sessions, leases and VMs is checked this often; it adds to the
	// bound on how long an unreachable process delays "in force".
	expiryInterval = 50 * time.Millisecond
	// Pending jobs wait at most this long for a planning round.
	jobPlanInterval   = 100 * time.Millisecond
	fleetPlanInterval = time.Second
	proposeTimeout    = 5 * time.Second
)

// leadership is the soft state of one term as leader. A new leader starts with
// full TTLs for all sessions, leases and VMs.
type leadership struct {
	s        *Server
	ctx      context.Context
	sessions *sessionTracker
	workers  *workerTracker
	demand   demandEstimate
	// leavingSince holds the view version in which a draining VM is leaving.
	leavingSince firstViews
}

func newLeadership(s *Server, ctx context.Context) *leadership {
	l := &leadership{
		s: s, ctx: ctx,
		demand: demandEstimate{pools: map[string]float64{}},
	}
	now := s.o.Clock.Now()
	l.sessions = newSessionTracker(s.o.SessionTTL + s.o.ExpiryMargin)
	l.workers = newWorkerTracker(s.o.LeaseTTL + s.o.ExpiryMargin)
	s.o.StateMachine.Read(func(st *state.State) {
		l.followSessions(now, st)
		l.workers.sync(now, st)
	})
	return l
}

// releaseAfter is how long a request admitted under an expired session may
// still run: the longest request timeout after the last moment it could start.
func releaseAfter(st *state.State, margin time.Duration) time.Duration {
	return time.Duration(st.MaxDeadlineMS())*time.Millisecond + margin
}

func (l *leadership) followSessions(now time.Duration, st *state.State) {
	l.sessions.sync(now, st.Membership.Sessions(), releaseAfter(st, l.s.o.ExpiryMargin))
}

// syncSessions makes the tracker follow the sessions committed so far.
func (l *leadership) syncSessions() {
	now := l.s.o.Clock.Now()
	l.s.o.StateMachine.Read(func(st *state.State) { l.followSessions(now, st) })
}

func (l *leadership) run() {
	var wg sync.WaitGroup
	wg.Go(func() { l.every(expiryInterval, l.expire) })
	wg.Go(func() { l.every(jobPlanInterval, l.planJobs) })
	wg.Go(func() { l.every(fleetPlanInterval, l.planFleet) })
	wg.Go(l.runExecutor)
	wg.Wait()
}

func (l *leadership) every(interval time.Duration, fn func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
			ctx, cancel := context.WithTimeout(l.ctx, proposeTimeout)
			fn(ctx)
			cancel()
		}
	}
}

// expire commits the end of sessions, leases and VMs that were not renewed.
func (l *leadership) expire(ctx context.Context) {
	now := l.s.o.Clock.Now()
	var down []*apiv1.VmObservation
	l.s.o.StateMachine.Read(func(st *state.State) {
		l.followSessions(now, st)
		l.workers.sync(now, st)
		down = l.workers.silentVMs(now, st)
	})
	if ids := l.sessions.expired(now); len(ids) > 0 {
		l.commit(ctx, "sessions expired", &apiv1.Command{Body: &apiv1.Command_ExpireSessions{
			ExpireSessions: &apiv1.ExpireSessions{SessionIds: ids},
		}})
	}
	if ids := l.sessions.releasable(now); len(ids) > 0 {
		l.commit(ctx, "expired sessions released", &apiv1.Command{Body: &apiv1.Command_ReleaseSessions{
			ReleaseSessions: &apiv1.ReleaseSessions{SessionIds: ids},
		}})
	}
	if leases := l.workers.expiredLeases(now); len(leases) > 0 {
		l.commit(ctx, "job leases expired", &apiv1.Command{Body: &apiv1.Command_ExpireLeases{
			ExpireLeases: &apiv1.ExpireLeases{Leases: leases},
		}})
	}
	if len(down) > 0 {
		l.commit(ctx, "VMs are down", &apiv1.Command{Body: &apiv1.Command_ObserveVms{
			ObserveVms: &apiv1.ObserveVms{Observations: down},
		}})
	}
}

// commit proposes a command of the leader's own. A failure is logged only: the
// loops plan again from the committed state.
func (l *leadership) commit(ctx context.Context, what string, cmd *apiv1.Command) {
	log := l.s.o.Log.WithField("change", what)
	res, err := l.propose(ctx, cmd)
	if err != nil {
		if !isShutdown(err) {
			log.WithError(err).Warn("commit failed")
		}
		return
	}
	for _, r := range res.GetRejections().GetRejections() {
		log.WithField("id", r.Id).Info("rejected at the commit: " + r.Status.GetMessage())
	}
	log.WithField("index", res.Index).Info("committed")
}
