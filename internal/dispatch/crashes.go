package dispatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// A long-running task that is seen to run for settledAge isn't held responsible for a
// later crash of its minion. Unlike other tasks it spends nearly all of its time past
// its start, so it is the neighbor of many causes.
const (
	settledAge = 500 * time.Millisecond
	// inheritedSettledAge is the same for a run that an earlier leader started, by the
	// time of day, which may differ between the leaders.
	inheritedSettledAge = 2 * time.Second
)

// endNotice is what is known of an incarnation, one lifetime of a minion's
// process, that may make it end without a crash.
type endNotice struct {
	// recorded is set when the state had the incarnation as its minion's latest one
	// at some time of the term. Otherwise it isn't known whether the minion was
	// draining.
	recorded bool
	// draining is set when the minion announced that it is about to end.
	draining bool
	// ordered is set when an order of this leader that ends the incarnation with its
	// machine may have been carried out.
	ordered bool
	// machine is the machine that the minion was last listed on, empty when no list
	// of the term had it.
	machine string
}

// connectionRefused reports whether a call failed because no process listens at
// the minion's address. A host that is cut off or frozen doesn't refuse connections.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// endCause is why an incarnation ended.
type endCause int

const (
	// causeUnknown means that contact was lost: the minion may have crashed, may be cut
	// off, or may have been moved by an earlier leader or ended by its order of
	// maintenance, which may not have been sent.
	causeUnknown endCause = iota
	// causePlanned means that the minion announced its end, or that an order for its
	// machine may have ended it.
	causePlanned
	causeCrash
)

// causeOfEnd returns why a session's incarnation ended. processEnded is set when its
// process has certainly ended.
func (d *Dispatcher) causeOfEnd(s *session, processEnded bool) endCause {
	inc := s.target.Incarnation
	d.mu.Lock()
	notice := s.notice
	d.mu.Unlock()
	ordered, maintained := false, false
	d.opts.StateMachine.Read(func(st *state.State) {
		if m := st.Batch.Minion(inc.ID); m != nil && batch.IncarnationOf(m.Life) == inc {
			notice.recorded = true
			notice.draining = notice.draining || m.Draining
		}
		ordered, maintained = st.Batch.MaintenanceOrderedSince(notice.machine, inc.StartedMS)
	})
	// Moves are not committed. A minion that answered during this term was not
	// ended by an earlier leader's move before.
	mayHaveMoved := d.opts.Fleet.Provider != nil && !s.hasAnswered()
	switch {
	case notice.draining || notice.ordered || maintained && notice.machine != "":
		return causePlanned
	case processEnded && notice.recorded && !ordered && !mayHaveMoved:
		return causeCrash
	}
	return causeUnknown
}

// hasAnswered reports whether a hold call of the session, the long poll that lists
// the minion's runs, was answered.
func (s *session) hasAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt > 0
}

// markOrdered records that an order is about to end an incarnation with its
// machine. It returns false when that was recorded before.
func (d *Dispatcher) markOrdered(inc batch.Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.sessions[inc]
	if s == nil || s.notice.ordered {
		return false
	}
	s.notice.ordered = true
	return true
}

// unmarkOrdered reverses markOrdered after the provider refused the order.
func (d *Dispatcher) unmarkOrdered(inc batch.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.sessions[inc]; s != nil {
		s.notice.ordered = false
	}
}

// recordMachines records the machines that minions are listed on.
func (d *Dispatcher) recordMachines(list []Machine) {
	byMinion := make(map[string]string, len(list))
	for _, m := range list {
		byMinion[m.MinionID] = m.ID
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for inc, s := range d.sessions {
		if machine, ok := byMinion[inc.ID]; ok {
			s.notice.machine = machine
		}
	}
}

// updateSettled updates settled when a hold reply lists the run at now.
func (o *runOrder) updateSettled(now time.Duration) {
	if o.firstListedAt == 0 {
		o.firstListedAt = now
	}
	inherited := o.startedUnixMS > 0 && time.Now().UnixMilli()-o.startedUnixMS >= inheritedSettledAge.Milliseconds()
	o.settled = o.settled || inherited || now-o.firstListedAt >= settledAge
}

// endOnClosing returns how a run ends when its incarnation has ended.
func (o *runOrder) endOnClosing(cause endCause) apiv1.RunEnd {
	switch {
	case o.endInNextIncarnation != apiv1.RunEnd_RUN_END_UNSPECIFIED:
		return o.endInNextIncarnation
	case cause == causePlanned || !o.mayHaveBegun || o.state == orderStopped || o.isLongRunning && o.settled:
		return apiv1.RunEnd_RUN_END_LOST
	case cause == causeCrash:
		return apiv1.RunEnd_RUN_END_CRASHED
	}
	return apiv1.RunEnd_RUN_END_MINION_LOST
}

// clearLosses commits that the session's incarnation has answered, if it was lost
// before for an unknown reason. It does so once for each session, since an
// incarnation is lost only when its session ends.
func (s *session) clearLosses(ctx context.Context) {
	if s.lossesCleared {
		return
	}
	inc := s.target.Incarnation
	lost := false
	s.d.opts.StateMachine.Read(func(st *state.State) { lost = st.Batch.HasLosses(inc) })
	if lost {
		ctx, cancel := context.WithTimeout(ctx, holdWait) // the next hold call must not wait for long
		defer cancel()
		answered := &apiv1.ObserveMinions{Answered: []*apiv1.MinionLife{inc.Message()}}
		if _, err := s.d.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: answered}}); err != nil {
			s.log.WithError(err).Warn("answer of a lost minion was not committed; its next answer is")
			return
		}
		s.log.Info("minion that was lost answers again")
	}
	s.lossesCleared = true
}

// logGivenUp logs the jobs that failed because minions crashed under a task.
func (d *Dispatcher) logGivenUp(tasks []*apiv1.TaskName) {
	for _, t := range tasks {
		d.log.WithField("job_id", t.JobId).WithField("task", batch.RefOf(t).String()).Warn("job failed: too many minions crashed under its task")
	}
}
