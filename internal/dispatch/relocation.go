package dispatch

import (
	"cmp"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// relocationCheckInterval is the time between two looks for tasks to relocate. It is
// short against the 2 s that a draining minion goes on at least.
const relocationCheckInterval = 100 * time.Millisecond

// pacedRelocationTime is how long after the leader learned that a minion drains its
// tasks are relocated a few at a time. Those that are left then go together, since the
// minion may end 2 s after its announcement.
const pacedRelocationTime = 1200 * time.Millisecond

// relocationLoop relocates tasks from draining minions until the term ends. It is
// separate from the rounds, which wait for the provider.
func (f *fleetManager) relocationLoop() {
	for f.d.ctx.Err() == nil {
		sleep(f.d.ctx, relocationCheckInterval)
		if f.d.leadershipConfirmed() {
			f.relocateFromDraining()
		}
	}
}

// relocateFromDraining stops long-running tasks on minions that drain, that is, are
// about to end, so that they are placed elsewhere while the others of their step go on.
// Otherwise all of them would be down from the minion's end until its lease has ended.
// As long as there is time, at most as many tasks of a step are unavailable meanwhile as
// it allows, or one. A task for which no other minion has room stays.
func (f *fleetManager) relocateFromDraining() {
	if !f.trackDraining() {
		return
	}
	now := f.d.clock.Now()
	f.availabilityMu.Lock()
	defer f.availabilityMu.Unlock()
	available := f.availableTasks()
	var chosen []batch.RunKey
	r := room{usable: f.usableIncarnations(now), added: map[batch.Incarnation]batch.Usage{}}
	r.reserved, _ = f.reservedAndDue()
	f.d.opts.StateMachine.Read(func(st *state.State) {
		r.state = st.Batch
		f.reserveRoomForRelocated(&r)
		unavailable := map[batch.TaskRef]int{}
		runs := relocatable(st)
		counted := map[string]bool{}
		for _, run := range runs {
			if !counted[run.Job.Id] {
				counted[run.Job.Id] = true
				countUnavailable(run.Job, available, unavailable)
			}
		}
		for _, run := range runs {
			step := run.Ref.StepRef()
			paced := now-f.drainingSeen[batch.IncarnationOf(run.Run.Minion)] < pacedRelocationTime
			if !available[run.Ref] || paced && unavailable[step] >= max(int(run.Step.MaxUnavailable), 1) || !r.take(run.Job, run.Step, run.Ref) {
				continue
			}
			unavailable[step]++
			f.relocated[run.Ref] = true
			chosen = append(chosen, run.Key())
		}
	})
	for _, key := range chosen {
		f.d.log.WithField("run", key.String()).WithField("job_id", key.Job).Info("task leaves a draining minion")
		f.d.stopRun(key)
	}
}

// trackDraining updates drainingSeen, and reports whether a draining minion has a task
// that may be relocated. Minions that drain when the term begins may have done so for
// long.
func (f *fleetManager) trackDraining() bool {
	now, seen, found := f.d.clock.Now(), map[batch.Incarnation]time.Duration{}, false
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, m := range st.Batch.Minions() {
			if !m.Draining {
				continue
			}
			inc := batch.IncarnationOf(m.Life)
			since, known := f.drainingSeen[inc]
			switch {
			case f.drainingSeen == nil:
				since = now - pacedRelocationTime
			case !known:
				since = now
			}
			seen[inc] = since
		}
		found = len(seen) > 0 && len(relocatable(st)) > 0
	})
	f.drainingSeen = seen
	return found
}

// relocatable returns the runs of long-running tasks on draining minions, in a fixed
// order. Members of a gang, which end together, are left out. So are young runs of tasks
// under which a minion has crashed, since such a task is placed with caution next.
func relocatable(st *state.State) []*batch.ActiveRun {
	nowMS := max(st.LogTimeMS, time.Now().UnixMilli()) // log time stands still without commits
	var out []*batch.ActiveRun
	for _, m := range st.Batch.Minions() {
		if !m.Draining {
			continue
		}
		st.Batch.LoadOf(batch.IncarnationOf(m.Life)).Each(func(r *batch.ActiveRun) {
			cautious := r.Job.Crashes(r.Ref) > 0 && r.IsYoung(nowMS)
			if r.Step.LongRunning && !r.Step.Gang && !r.Obsolete() && !cautious {
				out = append(out, r)
			}
		})
	}
	slices.SortFunc(out, func(a, b *batch.ActiveRun) int { return cmp.Compare(a.Ref.String(), b.Ref.String()) })
	return out
}

// reserveRoomForRelocated takes room for the tasks that were relocated and don't run
// elsewhere yet, and forgets the others.
func (f *fleetManager) reserveRoomForRelocated(r *room) {
	for ref := range f.relocated {
		j := r.state.Job(ref.Job)
		if j == nil || batch.Ended(j.State) {
			delete(f.relocated, ref)
			continue
		}
		step, _ := j.StepAndCheckpoint(ref)
		if step == nil || r.runsElsewhere(j, ref) {
			delete(f.relocated, ref)
			continue
		}
		r.take(j, step, ref)
	}
}

// room is the free capacity of the minions that take work.
type room struct {
	state            *batch.State
	usable, reserved map[batch.Incarnation]bool
	// added holds what take has taken.
	added map[batch.Incarnation]batch.Usage
	// ranks are those of minions whose machine is due for maintenance. If rankLimit is
	// positive, minions whose rank isn't lower have no room.
	ranks     map[batch.Incarnation]int
	rankLimit int
}

// take takes the capacity for a task that is to be stopped, or was, on the first minion
// that has it, and reports whether there is one.
func (r *room) take(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef) bool {
	stopped := batch.Usage{}.Add(batch.ResourcesOf(step), -1)
	if !r.state.AccountAllows(j, step, stopped) {
		return false
	}
	for _, m := range r.state.Minions() {
		inc := batch.IncarnationOf(m.Life)
		if !r.usable[inc] || r.reserved[inc] || r.rankLimit > 0 && r.ranks[inc] >= r.rankLimit || r.state.Exclusion(j, step, m) != "" {
			continue
		}
		load := r.state.LoadOf(inc)
		if step.MaxPerMinion > 0 && load.StepRuns(ref) >= step.MaxPerMinion {
			continue
		}
		added := r.added[inc].Add(batch.ResourcesOnMinion(step), 1)
		used := added
		if load != nil {
			used = added.Add(load.Used, 1)
		}
		if used.Within(m.Capacity) {
			r.added[inc] = added
			return true
		}
	}
	return false
}

// runsElsewhere reports whether a task has a run on a minion that isn't draining.
func (r *room) runsElsewhere(j *batch.Job, ref batch.TaskRef) bool {
	o := j.Occurrence(ref.Occurrence)
	if o == nil {
		return false
	}
	return slices.ContainsFunc(o.Steps[ref.Step].Tasks[ref.Index].Runs, func(run *apiv1.BatchRun) bool {
		m := r.state.Minion(run.Minion.GetId())
		return m != nil && batch.IncarnationOf(m.Life) == batch.IncarnationOf(run.Minion) && !m.Draining
	})
}
