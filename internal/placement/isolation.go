package placement

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Tasks that are to run alone (see separation) run on a minion without others. A gang is
// isolated as a whole: its tasks may share minions with one another. An isolation unit
// is such a task or gang; its reference is that of the task, or of the gang's first task.
//
// In a pool under load hardly any minion becomes empty by itself. So each round
// first sets minions aside for isolated tasks, that is, closes them to other work.
// It chooses those that are expected to be empty first. As a minion that is set
// aside only gets emptier, later rounds choose it again.
const (
	// setAsideDivisor divides the candidates of a pool into those that may be closed
	// to other work at the same time, because an isolated task runs or is to run there.
	// emptyDivisor does so for candidates without finite runs, which need not drain.
	setAsideDivisor, emptyDivisor = 4, 2
	// trialMS is the age of a run from which its task counts as one that doesn't crash
	// the minion, and keeps no others away from it.
	trialMS = 1_200
	// pastEstimateMS is the time by which a run exceeds its estimate when its end is no
	// longer considered known.
	pastEstimateMS = 60_000
)

// isolationUnit returns the reference of the isolation unit of a task.
func isolationUnit(step *apiv1.BatchStep, ref batch.TaskRef) batch.TaskRef {
	if step.Gang {
		return ref.StepRef()
	}
	return ref
}

// isOpenTo reports whether a candidate is set aside for the task.
func (c *candidate) isOpenTo(step *apiv1.BatchStep, ref batch.TaskRef) bool {
	return c.summary != nil && c.summary.openTo != nil && *c.summary.openTo == isolationUnit(step, ref)
}

// closedTo reports whether the candidate is closed and not set aside for the task.
func (c *candidate) closedTo(step *apiv1.BatchStep, ref batch.TaskRef) bool {
	return c.closed && !c.isOpenTo(step, ref)
}

// runSummary is what placement has to know about the runs on a minion.
type runSummary struct {
	// Number of suspect tasks whose runs are younger than trialMS, the starts of this
	// round included, and of the isolated ones among them.
	suspects, isolated int
	// One of these isolated tasks belongs to a gang.
	isolatedGang bool
	// Number of the finite isolated tasks whose runs are older.
	oldIsolated int
	// Long-running tasks, which end only when their job is canceled, and their
	// resources.
	longRunningRuns      int
	longRunningResources batch.Usage
	// Number of other tasks, the latest of their expected ends in Unix milliseconds,
	// and whether one of them should have ended long ago.
	finite       int
	emptyMS      int64
	pastEstimate bool
	// The isolation unit for which the minion is set aside, nil if there is none.
	openTo *batch.TaskRef
}

// summarize returns the summary of a candidate's runs.
func (p *planner) summarize(c *candidate) *runSummary {
	if c.summary == nil {
		c.summary = &runSummary{}
		c.load.Each(func(r *batch.ActiveRun) { p.addRun(c.summary, r) })
	}
	return c.summary
}

// addRun adds a run to the summary. The order of the runs doesn't matter. A run that
// is being stopped because it is no longer needed isolates nothing: the jobs that
// have ended aren't searched for crashes.
func (p *planner) addRun(s *runSummary, r *batch.ActiveRun) {
	age := p.in.NowUnixMS - r.Run.StartedUnixMs
	// A start in the future was recorded by a clock that has stepped back since.
	if crashes := r.Job.Crashes(r.Ref); crashes > 0 && !r.Obsolete() {
		isolated := crashes >= batch.IsolationCrashes
		switch {
		case age >= 0 && age < trialMS:
			s.addSuspects(crashes, 1)
			s.isolatedGang = s.isolatedGang || isolated && r.Step.Gang
		case isolated && !r.Step.LongRunning:
			s.oldIsolated++
		}
	}
	if r.Step.LongRunning && !r.Obsolete() {
		s.longRunningRuns++
		s.longRunningResources = s.longRunningResources.Add(batch.ResourcesOnMinion(r.Step), 1)
		return
	}
	s.finite++
	s.emptyMS = max(s.emptyMS, r.Run.StartedUnixMs+int64(r.Step.EstimatedMs))
	s.pastEstimate = s.pastEstimate || age > int64(r.Step.EstimatedMs)+pastEstimateMS
}

// startIsolated starts those of a step's waiting tasks that are to run alone and whose
// minion is empty, and returns those that may run beside others.
func (p *planner) startIsolated(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef) []batch.TaskRef {
	var others []batch.TaskRef
	for _, ref := range waiting {
		if p.separationOf(j, ref) != alone {
			others = append(others, ref)
			continue
		}
		p.startOn(j, step, ref, p.emptySetAside(step, ref))
	}
	return others
}

// emptySetAside returns the minions set aside for the unit of an isolated task on
// which only long-running tasks run, or none.
func (p *planner) emptySetAside(step *apiv1.BatchStep, ref batch.TaskRef) []*candidate {
	var out []*candidate
	for _, c := range p.setAside[isolationUnit(step, ref)] {
		if p.summarize(c).finite == 0 {
			out = append(out, c)
		}
	}
	return out
}

// setMinionsAside sets minions aside for the waiting isolated tasks, in the order
// of their jobs.
func (p *planner) setMinionsAside(jobs []*batch.Job) {
	// Without isolated tasks the runs on the minions aren't looked at, which would
	// take a good part of the round.
	if !slices.ContainsFunc(p.in.State.ActiveJobs(), hasIsolated) {
		return
	}
	p.setAside, p.jobsWithIsolated = map[batch.TaskRef][]*candidate{}, map[*batch.Job]bool{}
	closed := map[string]int{} // closed candidates by pool
	for name, pool := range p.candidates {
		closed[name] = p.closeIsolating(pool)
	}
	for _, j := range jobs {
		units := p.isolatedUnits(j)
		if len(units) == 0 {
			continue
		}
		p.jobsWithIsolated[j] = true
		name := p.in.State.QueueOf(j).GetPool()
		for _, unit := range units {
			closed[name] = p.setAsideFor(j, unit, p.candidates[name], closed[name])
		}
	}
}

// hasIsolated reports whether the job has an isolated task, whether it waits, runs
// or is done.
func hasIsolated(j *batch.Job) bool {
	for _, o := range j.Occurrences {
		for s, st := range o.Steps {
			if slices.ContainsFunc(st.Tasks, func(t *apiv1.BatchTask) bool { return batch.CrashesUnder(j.Steps[s], st, t) >= batch.IsolationCrashes }) {
				return true
			}
		}
	}
	return false
}

// isolatedUnits returns the isolation units of a job that wait, may start and aren't
// overdue: other tasks would wait for a minion that is closed for one that has no room.
func (p *planner) isolatedUnits(j *batch.Job) []batch.TaskRef {
	var out []batch.TaskRef
	for _, o := range j.Occurrences {
		for s, st := range o.Steps {
			number := uint32(s)
			if j.Waiting(o.Number, number) == 0 || !j.StepReady(o.Number, number) || !j.IsDue(o.Number, p.in.NowUnixMS) {
				continue
			}
			ref := batch.TaskRef{Job: j.Id, Occurrence: o.Number, Step: number}
			step := j.Steps[s]
			if step.Gang {
				if p.separationOf(j, ref) == alone && j.Waiting(o.Number, number) == step.Count {
					out = append(out, ref)
				}
				continue
			}
			for i, t := range st.Tasks {
				ref.Index = uint32(i)
				if !t.Done && len(t.Runs) == 0 && p.separationOf(j, ref) == alone {
					out = append(out, ref)
				}
			}
		}
	}
	return out
}

// closeIsolating closes the candidates of a pool on which an isolated task has just
// started, and returns their number. No more are closed than setAsideFor may close, so
// that other tasks have minions left when isolated ones had to start beside others; a gang
// may have needed more.
func (p *planner) closeIsolating(pool []*candidate) int {
	closed := 0
	for _, c := range pool {
		if s := p.summarize(c); s.isolated > 0 && (s.isolatedGang || closed < max(len(pool)/emptyDivisor, 1)) {
			c.closed = true
			closed++
		}
	}
	return closed
}

// setAsideFor sets minions aside for one isolation unit, given the number of closed
// candidates of the pool, and returns that number afterwards. It sets none aside if
// the unit couldn't start even on empty minions, or if more candidates than allowed
// would be closed. A gang that needs more than that is allowed them when no others
// are closed, and later units wait until then, since it would never start otherwise.
func (p *planner) setAsideFor(j *batch.Job, unit batch.TaskRef, pool []*candidate, closed int) int {
	most := max(len(pool)/emptyDivisor, 1)
	step := j.Steps[unit.Step]
	tasks := uint32(1)
	if step.Gang {
		tasks = step.Count
	}
	others := batch.Usage{}.Add(batch.ResourcesOf(step), int64(tasks)-1)
	if closed >= most || !p.in.State.AccountAllows(j, step, others) {
		return closed
	}
	chosen := p.soonestEmpty(p.eligible(step, unit, pool, tasks), step, unit, tasks)
	limit := most
	if slices.ContainsFunc(chosen, func(c *candidate) bool { return p.summarize(c).finite > 0 }) {
		limit = max(len(pool)/setAsideDivisor, 1)
	}
	switch {
	case closed > 0 && closed+len(chosen) > limit && step.Gang:
		return most
	case closed > 0 && closed+len(chosen) > limit:
		return closed
	}
	for _, c := range chosen {
		c.closed, c.summary.openTo = true, &unit
	}
	p.setAside[unit] = chosen
	return closed + len(chosen)
}

// eligible returns the candidates that could run tasks of an isolation unit once
// their finite runs have ended, also those that are closed: only the ones without
// long-running tasks if these suffice for all tasks of the unit. Otherwise the
// unit would wait for ever in a pool with a long-running task on each minion.
func (p *planner) eligible(step *apiv1.BatchStep, unit batch.TaskRef, pool []*candidate, tasks uint32) []*candidate {
	var all, empty []*candidate
	places := uint32(0)
	for _, c := range pool {
		n := p.placesWhenEmpty(c, step, unit, tasks)
		if n == 0 {
			continue
		}
		all = append(all, c)
		if p.summarize(c).longRunningRuns == 0 {
			empty = append(empty, c)
			places += n
		}
	}
	if places >= tasks {
		return empty
	}
	return all
}

// placesWhenEmpty returns how many tasks of a step, at most limit, the candidate
// could run if its finite runs had ended.
func (p *planner) placesWhenEmpty(c *candidate, step *apiv1.BatchStep, ref batch.TaskRef, limit uint32) uint32 {
	if step.RequiredLabel != "" && !slices.Contains(c.minion.Labels, step.RequiredLabel) {
		return 0
	}
	if step.MaxPerMinion > 0 {
		running := uint32(0)
		if step.LongRunning {
			running = min(c.load.StepRuns(ref), step.MaxPerMinion)
		}
		limit = min(limit, step.MaxPerMinion-running)
	}
	used, n := p.summarize(c).longRunningResources, uint32(0)
	for n < limit && used.Add(batch.ResourcesOnMinion(step), int64(n)+1).Within(c.minion.Capacity) {
		n++
	}
	return n
}

// soonestEmpty returns the eligible candidates that are expected to be empty first
// and aren't closed, as many as the tasks of an isolation unit need, or nil if they
// don't suffice.
func (p *planner) soonestEmpty(eligible []*candidate, step *apiv1.BatchStep, unit batch.TaskRef, tasks uint32) []*candidate {
	var chosen []*candidate
	left := slices.DeleteFunc(eligible, func(c *candidate) bool { return c.closed })
	for places := uint32(0); places < tasks; {
		if len(left) == 0 {
			return nil
		}
		c := slices.MinFunc(left, func(a, b *candidate) int { return p.compareEmptying(a, b, step) })
		left = slices.DeleteFunc(left, func(o *candidate) bool { return o == c })
		chosen = append(chosen, c)
		places += p.placesWhenEmpty(c, step, unit, tasks)
	}
	return chosen
}

// compareEmptying orders the candidate to set aside first as the lower one. While a
// candidate is closed, its place in the order only improves, except for runs that
// pass their estimate by far.
func (p *planner) compareEmptying(a, b *candidate, step *apiv1.BatchStep) int {
	x, y := p.summarize(a), p.summarize(b)
	return cmp.Or(cmp.Compare(x.longRunningRuns, y.longRunningRuns), compareBool(a.suspect, b.suspect), compareBool(x.pastEstimate, y.pastEstimate),
		cmp.Compare(x.emptyMS, y.emptyMS), compareBool(!isOnRack(a, step), !isOnRack(b, step)),
		cmp.Compare(a.used.CPUMillis, b.used.CPUMillis), cmp.Compare(a.incarnation.ID, b.incarnation.ID))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// isOnRack reports whether the candidate is on the rack that the step prefers.
func isOnRack(c *candidate, step *apiv1.BatchStep) bool {
	return step.PreferredRack != "" && slices.Contains(c.minion.Labels, step.PreferredRack)
}
