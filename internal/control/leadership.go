package control

import (
	"context"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// expiryInterval is the time between two checks for expired sessions, leases
	// and VMs. It adds to the time for which an unreachable entry process can
	// keep a configuration from being in force everywhere, that is, acknowledged
	// in every live session.
	expiryInterval = 50 * time.Millisecond
	// jobPlanInterval is the longest time that a pending job waits for a planning
	// round.
	jobPlanInterval = 100 * time.Millisecond
	// fleetPlanInterval is the time between two planning rounds for VMs.
	fleetPlanInterval = time.Second
	// proposeTimeout bounds one round of a loop, with all its commits.
	proposeTimeout = 5 * time.Second
)

// leadership is the in-memory state of one term as leader, which is not
// replicated. A new leader starts with full TTLs for all sessions of entry
// processes, job leases and VMs, because it does not know when they were last
// renewed.
type leadership struct {
	server   *Server
	ctx      context.Context // done when the term ends
	sessions *sessionTracker
	workers  *workerTracker
	demand   demandEstimate
	// leavingViews holds, by operation id, a version of the view (the part of the
	// state that entry processes get) in which the VM of the draining operation is
	// leaving, that is, gets no new work.
	leavingViews firstSeenViews
}

func newLeadership(s *Server, ctx context.Context) *leadership {
	l := &leadership{
		server: s, ctx: ctx,
		demand: demandEstimate{pools: map[string]float64{}},
	}
	now := s.opts.Clock.Now()
	l.sessions = newSessionTracker(s.opts.SessionTTL + s.opts.ExpiryMargin)
	l.workers = newWorkerTracker(s.opts.LeaseTTL + s.opts.ExpiryMargin)
	s.opts.StateMachine.Read(func(st *state.State) {
		l.updateSessions(now, st)
		l.workers.sync(now, st)
	})
	return l
}

// releaseAfter returns how long a request that was admitted under an expired
// session may still run. It may have started at the last moment of the session
// and run for the longest request timeout.
func releaseAfter(st *state.State, margin time.Duration) time.Duration {
	return time.Duration(st.MaxDeadlineMS())*time.Millisecond + margin
}

// updateSessions updates the session tracker from the committed sessions of st.
func (l *leadership) updateSessions(now time.Duration, st *state.State) {
	l.sessions.sync(now, st.Membership.Sessions(), releaseAfter(st, l.server.opts.ExpiryMargin))
}

// syncSessions updates the session tracker from the sessions committed so far.
func (l *leadership) syncSessions() {
	now := l.server.opts.Clock.Now()
	l.server.opts.StateMachine.Read(func(st *state.State) { l.updateSessions(now, st) })
}

// run runs the loops of the leader until the term ends.
func (l *leadership) run() {
	var wg sync.WaitGroup
	wg.Go(func() { l.runEvery(expiryInterval, l.expire) })
	wg.Go(func() { l.runEvery(jobPlanInterval, l.planJobs) })
	wg.Go(func() { l.runEvery(fleetPlanInterval, l.planFleet) })
	wg.Go(l.runExecutor)
	wg.Wait()
}

// runEvery calls fn once per interval until the term ends. Each call has a
// context with proposeTimeout.
func (l *leadership) runEvery(interval time.Duration, fn func(context.Context)) {
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

// expire commits the expiry of sessions and job leases that were not renewed in
// time, and the state "down" of VMs without recent announcements. Sessions that
// expired long enough ago are released.
func (l *leadership) expire(ctx context.Context) {
	now := l.server.opts.Clock.Now()
	var down []*apiv1.VmObservation
	l.server.opts.StateMachine.Read(func(st *state.State) {
		l.updateSessions(now, st)
		l.workers.sync(now, st)
		down = l.workers.timedOutVMs(now, st)
	})
	if ids := l.sessions.startExpiry(now); len(ids) > 0 {
		l.commitChange(ctx, "sessions expired", &apiv1.Command{Body: &apiv1.Command_ExpireSessions{
			ExpireSessions: &apiv1.ExpireSessions{SessionIds: ids},
		}})
	}
	if ids := l.sessions.dueForRelease(now); len(ids) > 0 {
		l.commitChange(ctx, "expired sessions released", &apiv1.Command{Body: &apiv1.Command_ReleaseSessions{
			ReleaseSessions: &apiv1.ReleaseSessions{SessionIds: ids},
		}})
	}
	if leases := l.workers.startLeaseExpiry(now); len(leases) > 0 {
		l.commitChange(ctx, "job leases expired", &apiv1.Command{Body: &apiv1.Command_ExpireLeases{
			ExpireLeases: &apiv1.ExpireLeases{Leases: leases},
		}})
	}
	if len(down) > 0 {
		l.commitChange(ctx, "VMs are down", &apiv1.Command{Body: &apiv1.Command_ObserveVms{
			ObserveVms: &apiv1.ObserveVms{Observations: down},
		}})
	}
}

// commitChange commits a command of the leader itself; the argument what names
// the command in log messages. Errors are only logged, since the next round plans
// again from the committed state.
func (l *leadership) commitChange(ctx context.Context, what string, cmd *apiv1.Command) {
	log := l.server.opts.Log.WithField("change", what)
	res, err := l.propose(ctx, cmd)
	if err != nil {
		if !isContextError(err) {
			log.WithError(err).Warn("commit failed")
		}
		return
	}
	for _, r := range res.GetRejections().GetRejections() {
		log.WithField("id", r.Id).Info("part of the change was refused: " + r.Status.GetMessage())
	}
	log.WithField("index", res.Index).Info("committed")
}
