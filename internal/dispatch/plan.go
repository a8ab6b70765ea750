package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// planPauseFactor is how many times its duration a planning round is followed by a
	// pause, in which its starts are committed. Rounds get longer with the size of the
	// fleet, and each plans all that changed during the pause, so planning takes a
	// bounded part of the processor.
	planPauseFactor = 5
	// minPlanPause is the shortest pause after a round that had work to place. A round
	// costs about the same for one task as for many, so a busy leader places in few
	// rounds what arrives meanwhile.
	minPlanPause = 20 * time.Millisecond
)

// planLoop runs a planning round after each change of the batch state, and at
// least every planInterval when rounds are short.
func (d *Dispatcher) planLoop() {
	timer := time.NewTicker(planInterval)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.opts.StateMachine.BatchChanged():
		case <-timer.C:
		}
		sleep(d.ctx, d.round())
	}
}

// round updates the sessions, the leader's exchanges with minions, from the
// committed state, then plans and commits new starts. The sessions send the
// start orders once they see the commit. round returns how long to pause before the
// next one.
func (d *Dispatcher) round() time.Duration {
	start := d.clock.Now()
	d.announceSetAside()
	d.syncSessions()
	window, inFlight, _ := d.startWindow.status()
	starts, hadWork := d.plan()
	planned := d.clock.Now()
	d.metrics.planSeconds.Observe((planned - start).Seconds())
	if len(starts) > 0 && d.leadershipConfirmed() && d.allowedLease() > 0 {
		d.commitStarts(starts)
	}
	pause := planPauseFactor * (planned - start)
	if hadWork {
		pause = max(pause, minPlanPause)
	}
	committed := d.clock.Now()
	pause = min(pause, planInterval) - (committed - planned)
	d.load.observeRound(len(starts), len(starts) >= window-inFlight, planned-start, committed-planned, pause)
	d.load.log(committed, d.log, window, inFlight)
	return pause
}

// syncSessions opens the sessions that are missing and updates those whose
// committed load has changed since the last round. Missing ones are looked for when
// the minions have changed, and every planInterval, since a session ends without a
// change of the minions when the commit of its end fails. A new session reads its
// load itself.
func (d *Dispatcher) syncSessions() {
	var targets []sessionTarget
	var changed []batch.Incarnation
	complete := false
	now := d.clock.Now()
	d.opts.StateMachine.Read(func(st *state.State) {
		revision := st.Batch.MinionsRevision()
		if revision != d.minionsRevision || now-d.targetsReadAt >= planInterval {
			targets = targetsOf(st.Batch)
			d.minionsRevision, d.targetsReadAt = revision, now
		}
		changed, complete = st.Batch.ChangedSince(d.loadsRevision)
		d.loadsRevision = st.Batch.Revision()
	})
	d.openSessions(targets)
	sessions := d.sessionsOf(changed)
	if !complete {
		sessions = d.sessionList()
	}
	for _, s := range sessions {
		d.syncSession(s)
	}
}

// sessionTarget is an incarnation, one lifetime of a minion's process, that needs a
// session. It has no address if no incarnation of its minion is recorded.
type sessionTarget struct {
	Target
	// recorded is set when it is its minion's latest recorded incarnation, draining
	// when that is about to end.
	recorded, draining bool
	// endedBefore is the latest ended incarnation of the minion's id if this one is
	// recorded and calls for earlier ones may reach it, else zero.
	endedBefore batch.Incarnation
	// mayHoldLateLease is set if the incarnation may hold a lease from such a call.
	mayHoldLateLease bool
}

// targetsOf returns every incarnation, that is, lifetime of a minion's process,
// that is recorded or has runs. An earlier incarnation gets the address of its
// minion's present one, if there is one: the end of the later one may be committed
// before the runs of the earlier one are released.
func targetsOf(st *batch.State) []sessionTarget {
	minions := st.Minions()
	out := make([]sessionTarget, 0, len(minions))
	for _, m := range minions {
		inc := batch.IncarnationOf(m.Life)
		ended, late := st.EndedBefore(inc)
		out = append(out, sessionTarget{Target{Incarnation: inc, Address: m.Address}, true, m.Draining, ended, late})
	}
	for _, inc := range st.LoadedIncarnations() {
		m := st.Minion(inc.ID)
		if m != nil && batch.IncarnationOf(m.Life) == inc {
			continue
		}
		out = append(out, sessionTarget{
			Target: Target{Incarnation: inc, Address: m.GetAddress()}, mayHoldLateLease: st.MayHoldLateLease(inc),
		})
	}
	return out
}

// plan returns the starts to commit now, and whether there was work to place. It
// reads the health only of minions in pools with work that waits.
func (d *Dispatcher) plan() (starts []*apiv1.StartedRun, hadWork bool) {
	now := d.clock.Now()
	window, inFlight, totals := d.startWindow.status()
	d.metrics.startWindow.Set(float64(window))
	d.metrics.startsInFlight.Set(float64(inFlight))
	in := placement.Input{
		NowUnixMS: time.Now().UnixMilli(),
		MaxStarts: window - inFlight,
	}
	if in.MaxStarts <= 0 {
		d.admission.observeRound(now, true, totals)
		return nil, false
	}
	var pools map[string]bool
	var incarnations []batch.Incarnation
	d.opts.StateMachine.Read(func(st *state.State) {
		pools = placement.WaitingPools(st.Batch, in.NowUnixMS)
		for _, m := range minionsOf(st.Batch, pools) {
			incarnations = append(incarnations, batch.IncarnationOf(m.Life))
		}
	})
	if len(incarnations) == 0 {
		d.admission.observeRound(now, false, totals)
		return nil, false
	}
	in.Health = d.placementHealth(incarnations, now)
	in.Reserved, in.MaintenanceRank = d.fleet.reservedAndDue()
	explain := now-d.waitsLoggedAt >= waitLogInterval
	var waiting map[string]placement.TaskWaits
	if explain {
		in.Waiting = &waiting
	}
	d.opts.StateMachine.Read(func(st *state.State) {
		in.State = st.Batch
		for _, inc := range d.announcements.outdated(st.Batch, minionsOf(st.Batch, pools), now, d.opts.MaxAnnouncementAge) {
			delete(in.Health, inc)
		}
		starts = placement.Plan(in)
	})
	if explain {
		d.logWaitingTasks(now, waiting)
	}
	d.admission.observeRound(now, len(starts) >= in.MaxStarts, totals)
	return starts, true
}

// minionsOf returns the minions of the given pools.
func minionsOf(st *batch.State, pools map[string]bool) []*apiv1.BatchMinion {
	if len(pools) == 0 {
		return nil
	}
	var out []*apiv1.BatchMinion
	for _, m := range st.Minions() {
		if pools[m.Pool] {
			out = append(out, m)
		}
	}
	return out
}

// placementHealth returns the health of the given incarnations that have a session.
func (d *Dispatcher) placementHealth(incarnations []batch.Incarnation, now time.Duration) map[batch.Incarnation]placement.Health {
	out := make(map[batch.Incarnation]placement.Health, len(incarnations))
	for _, s := range d.sessionsOf(incarnations) {
		usable := s.usable(now)
		s.mu.Lock()
		out[s.target.Incarnation] = placement.Health{
			Usable:  usable && !s.health.quarantined(now),
			Suspect: s.health.suspect(now) || s.mayHoldLateLease(),
		}
		s.mu.Unlock()
	}
	return out
}

// commitStarts proposes starts once. Those that are not committed are planned
// again in a later round.
func (d *Dispatcher) commitStarts(starts []*apiv1.StartedRun) {
	cmd := &apiv1.UpdateRuns{Starts: starts, Term: d.term, ReportsBegun: true}
	res, err := d.propose(d.ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: cmd}})
	if err != nil {
		if d.ctx.Err() == nil {
			d.log.WithError(err).WithField("starts", len(starts)).Warn("starts are not committed; they are planned again")
		}
		return
	}
	refused := len(res.GetRuns().GetRefused())
	d.metrics.startsCommitted.Add(float64(len(starts) - refused))
	if refused > 0 {
		d.log.WithFields(logrus.Fields{"starts": len(starts), "refused": refused}).Info("some starts were refused when they were committed")
	}
}
