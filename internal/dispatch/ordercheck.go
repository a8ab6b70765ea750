package dispatch

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// maxOrderAge is the age of the list of machines at which it no longer tells which
// minion an order of maintenance would end, unless that minion answers.
const maxOrderAge = time.Second

// limitedStep is a long-running step that limits its unavailable tasks and has tasks
// that an order would end.
type limitedStep struct {
	maxUnavailable int
	// ends is how many tasks the order would end.
	ends int
	// others holds the runs of each other task.
	others [][]placedRun
}

// placedRun is a run, one execution of a task, and the incarnation it is on.
type placedRun struct {
	key         batch.RunKey
	incarnation batch.Incarnation
}

// beginEnding records that the order is about to end the affected incarnation, if it
// may. That is recorded before the check, so that a start committed after it isn't
// sent. An earlier order without answer may be carried out until earlierUntil.
func (f *fleetManager) beginEnding(c machineCall) (earlierUntil time.Duration, ok bool) {
	f.checks.Lock()
	defer f.checks.Unlock()
	earlierUntil = f.ending.add(c.affected)
	if f.mayEnd(c) {
		return earlierUntil, true
	}
	f.ending.expireAt(c.affected, earlierUntil)
	return earlierUntil, false
}

// mayEnd reports whether the order may end the affected incarnation now, according to
// the committed runs and recent answers of the minions. What isn't known to be
// available counts as unavailable. A move ends no tasks at all.
func (f *fleetManager) mayEnd(c machineCall) bool {
	now := f.d.clock.Now()
	known := f.answersRecently(c.affected, now)
	if c.maintenance == nil {
		return c.affected == (batch.Incarnation{}) || known && f.runsOn(c.affected) == 0
	}
	if !known && now-c.listedAt >= maxOrderAge {
		return false
	}
	var steps []limitedStep
	f.d.opts.StateMachine.Read(func(st *state.State) { steps = limitedSteps(st.Batch.LoadOf(c.affected).Runs()) })
	return len(steps) == 0 || known && f.mayBeUnavailable(steps, now)
}

// mayBeUnavailable reports whether no step exceeds its limit of unavailable tasks when
// the order ends its tasks.
func (f *fleetManager) mayBeUnavailable(steps []limitedStep, now time.Duration) bool {
	answers := map[batch.Incarnation]bool{}
	for _, s := range steps {
		unavailable := s.ends
		for _, runs := range s.others {
			if !f.isAnyAvailable(runs, answers, now) {
				unavailable++
			}
		}
		if unavailable > s.maxUnavailable {
			return false
		}
	}
	return true
}

// isAnyAvailable reports whether a run of a task is available. It records in answers
// which incarnations answered recently.
func (f *fleetManager) isAnyAvailable(runs []placedRun, answers map[batch.Incarnation]bool, now time.Duration) bool {
	for _, r := range runs {
		ok, checked := answers[r.incarnation]
		if !checked {
			ok = f.answersRecently(r.incarnation, now) && !f.ending.contains(r.incarnation, now)
			answers[r.incarnation] = ok
		}
		if ok && f.d.session(r.incarnation).isAvailable(r.key, now) {
			return true
		}
	}
	return false
}

// limitedSteps returns the steps of the given runs that limit their unavailable tasks.
// Tasks of canceled jobs may always end. It is called while the state is locked for
// reading.
func limitedSteps(runs []*batch.ActiveRun) []limitedStep {
	ended := map[batch.TaskRef]bool{}
	steps := map[batch.TaskRef]*batch.ActiveRun{}
	for _, r := range runs {
		if r.Step.LongRunning && r.Step.MaxUnavailable > 0 && !r.Obsolete() {
			ended[r.Ref] = true
			steps[r.Ref.StepRef()] = r
		}
	}
	out := make([]limitedStep, 0, len(steps))
	for ref, r := range steps {
		s := limitedStep{maxUnavailable: int(r.Step.MaxUnavailable)}
		for i, task := range r.Job.Occurrence(ref.Occurrence).Steps[ref.Step].Tasks {
			other := ref
			other.Index = uint32(i)
			if ended[other] {
				s.ends++
				continue
			}
			s.others = append(s.others, placedRuns(other, task))
		}
		out = append(out, s)
	}
	return out
}

func placedRuns(ref batch.TaskRef, task *apiv1.BatchTask) []placedRun {
	var out []placedRun
	for _, r := range task.Runs {
		out = append(out, placedRun{batch.RunKey{TaskRef: ref, Number: r.Number}, batch.IncarnationOf(r.Minion)})
	}
	return out
}

// runsOn returns the number of runs committed on an incarnation.
func (f *fleetManager) runsOn(inc batch.Incarnation) (n int) {
	f.d.opts.StateMachine.Read(func(st *state.State) { n = st.Batch.LoadOf(inc).Len() })
	return n
}

// answersRecently reports whether the session of an incarnation is in use and usable.
func (f *fleetManager) answersRecently(inc batch.Incarnation, now time.Duration) bool {
	s := f.d.session(inc)
	return s != nil && f.d.isCurrent(s) && s.usable(now)
}

// session returns the session of an incarnation, nil if there is none.
func (d *Dispatcher) session(inc batch.Incarnation) *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sessions[inc]
}

// isAvailable reports whether the run is available on the session's minion.
func (s *session) isAvailable(key batch.RunKey, now time.Duration) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orders[key]
	return o != nil && o.isAvailable(now)
}

// relocate has a run stopped, so that its task is started on another machine. The stop
// is sent only if the task may be unavailable then.
func (f *fleetManager) relocate(key batch.RunKey) {
	for _, s := range f.d.sessionList() {
		s.mu.Lock()
		if o := s.orders[key]; o != nil && o.state == orderStarted && !o.stopRequested {
			o.stopRequested, o.relocating = true, true
			s.launchDue()
		}
		s.mu.Unlock()
	}
}

// stopDecision is what becomes of a stop that is about to be sent.
type stopDecision int

const (
	stopSend stopDecision = iota
	// stopWait means that the stop may only be sent later.
	stopWait
	stopAbandon
)

// decideStop decides whether a stop is sent now. A relocation that may not be is
// abandoned: the machine's maintenance decides again. It waits if a stop was sent
// before, which the minion may have carried out although it didn't answer.
func (s *session) decideStop(key batch.RunKey, o *runOrder) stopDecision {
	f := s.d.fleet
	f.checks.Lock()
	defer f.checks.Unlock()
	s.mu.Lock()
	relocating := o.relocating
	s.mu.Unlock()
	mayStop := !relocating || f.mayRelocate(key, s.target.Incarnation)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case mayStop || !o.relocating: // the run may have become obsolete meanwhile
		o.stopSent = true
		return stopSend
	case o.stopSent:
		return stopWait
	}
	s.log.WithField("run", key.String()).Info("task is not relocated: too many others are unavailable")
	o.state, o.stopRequested, o.relocating = orderStarted, false, false
	return stopAbandon
}

// mayRelocate reports whether the task of a run on an incarnation may be unavailable.
func (f *fleetManager) mayRelocate(key batch.RunKey, inc batch.Incarnation) bool {
	var steps []limitedStep
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, r := range st.Batch.LoadOf(inc).Runs() {
			if r.Key() == key {
				steps = limitedSteps([]*batch.ActiveRun{r})
			}
		}
	})
	return f.mayBeUnavailable(steps, f.d.clock.Now())
}
