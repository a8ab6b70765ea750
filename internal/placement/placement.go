// Package placement decides which batch tasks start on which minions (the worker
// processes), and which machines move between pools. A run is one execution of a
// task, a step a number of equal tasks, and an occurrence one repetition of a
// recurring job. Planning goes in rounds, each of which plans anew from the
// state. The package does no I/O and reads no clock: it reads the committed
// state and what the leader knows about minions and machines. The state checks
// the proposed starts again when they are committed, and refuses those that no
// longer fit.
//
// A machine is what a minion runs on, as the machine provider names it. An
// incarnation is one lifetime of a minion's process; the schema's word for it
// is "life".
package placement

import (
	"math"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Health is the leader's assessment of a minion.
type Health struct {
	// Usable minions answered recently, have not just refused an order, and are
	// not quarantined (excluded from new work for a time) after failed runs.
	Usable bool
	// Suspect minions get work only if no other minion can run it: a run failed on them
	// or they refused a start as unhealthy lately, or they have just started again under
	// their id, so that their runs are released late if they fall silent.
	Suspect bool
}

// Input is the input of Plan.
type Input struct {
	State *batch.State
	// NowUnixMS is the leader's clock. It decides which occurrences are due.
	NowUnixMS int64
	// Health of each incarnation. Incarnations that are missing are not usable.
	Health map[batch.Incarnation]Health
	// Reserved minions get no new work, because their machine is about to be
	// moved or taken out for maintenance.
	Reserved map[batch.Incarnation]bool
	// MaintenanceRank is positive for minions whose machine is due for maintenance. They
	// get long-running tasks (those that run until their job is canceled) only if no
	// minion of a lower rank can run them.
	MaintenanceRank map[batch.Incarnation]int
	// Waiting, if it isn't nil, is set to why tasks wait after the round, by pool.
	Waiting *map[string]TaskWaits
	// MaxStarts bounds the starts of one round. Only the gangs (steps whose tasks run
	// only together) of the round's last job may exceed it, since a gang starts as a
	// whole.
	MaxStarts int
}

// candidate is a minion that may get work in this round. It counts the resources
// that earlier starts of the round use.
type candidate struct {
	minion      *apiv1.BatchMinion
	incarnation batch.Incarnation
	load        *batch.Load
	// Resources in use. Only setUsed changes them.
	used batch.Usage
	// Position among the pool's candidates, and the pool's index, nil while there is
	// none.
	position        int
	room            *roomIndex
	suspect         bool
	maintenanceRank int
	// closed minions run an isolated task (see isolation.go) or are set aside for
	// one. They start only the task they are set aside for, and overdue ones.
	closed bool
	// CPU of the long-running tasks on the minion, in thousandths of a core.
	longRunningCPU int64
	// Number of tasks that this round starts here, by step of an occurrence.
	stepStarts map[batch.TaskRef]uint32
	// Summary of the runs on the minion, nil until summarize needs it.
	summary *runSummary
}

// freeCPU returns the unreserved CPU in thousandths of a core.
func (c *candidate) freeCPU() int64 {
	return int64(c.minion.Capacity.GetCpuMillis()) - c.used.CPUMillis
}

// planner is the working state of one round.
type planner struct {
	in          Input
	equivalence equivalence
	// Candidates by pool, in the order of the minions' ids, and the index of each pool.
	candidates map[string][]*candidate
	room       map[string]*roomIndex
	// Resources of the tasks that this round starts, by client account.
	startedUsage map[string]batch.Usage
	starts       []*apiv1.StartedRun
	// started holds the tasks of starts. It is kept only if Input.Waiting is set.
	started map[batch.TaskRef]bool
	// For each pool, the smallest task resources known to fit on no candidate.
	// They stay unplaceable, since free resources only shrink during a round, and
	// closed candidates stay closed.
	unplaceable map[string]batch.Usage
	// Minions set aside for isolated tasks, by isolation unit.
	setAside map[batch.TaskRef][]*candidate
	// Jobs that have waiting isolated tasks.
	jobsWithIsolated map[*batch.Job]bool
}

// Plan returns the starts of one planning round. The leader calls it in every
// round and proposes the starts to the state.
func Plan(in Input) []*apiv1.StartedRun {
	pools := WaitingPools(in.State, in.NowUnixMS)
	if len(pools) == 0 {
		return nil
	}
	return planPools(in, pools)
}

// planPools is Plan with the minions of the given pools.
func planPools(in Input, pools map[string]bool) []*apiv1.StartedRun {
	p := newPlanner(in)
	p.collectMinions(pools)
	p.run()
	return p.starts
}

func newPlanner(in Input) *planner {
	return &planner{
		in: in, equivalence: newEquivalence(in.State), candidates: map[string][]*candidate{}, room: map[string]*roomIndex{},
		startedUsage: map[string]batch.Usage{}, unplaceable: map[string]batch.Usage{}, started: map[batch.TaskRef]bool{},
	}
}

// run plans the starts of the round.
func (p *planner) run() {
	ranks := p.jobOrder()
	p.setMinionsAside(jobsOf(ranks))
	for _, j := range p.alternatePools(ranks) {
		if len(p.starts) >= p.in.MaxStarts {
			break
		}
		p.planJob(j)
	}
	if p.in.Waiting != nil {
		*p.in.Waiting = p.explain(jobsOf(ranks))
	}
}

// planJob plans the starts of a job, in the order of its due occurrences and
// their steps.
func (p *planner) planJob(j *batch.Job) {
	pool := p.candidates[p.in.State.QueueOf(j).GetPool()]
	if len(pool) == 0 {
		return
	}
	for k := range j.NumOccurrences() {
		if !j.IsDue(k, p.in.NowUnixMS) {
			return
		}
		for s := range j.Steps {
			p.planStep(j, k, uint32(s), pool)
		}
	}
}

// planStep plans the starts of one step of an occurrence, until one of its tasks
// fits on no candidate.
func (p *planner) planStep(j *batch.Job, occurrence, number uint32, pool []*candidate) {
	step := j.Steps[number]
	if j.Waiting(occurrence, number) == 0 || !j.StepReady(occurrence, number) {
		return
	}
	if step.Gang {
		p.planGang(j, step, p.waitingTasks(j, occurrence, number, math.MaxInt), pool)
		return
	}
	anyCrashes, limit := j.AnyCrashes(occurrence, number), math.MaxInt
	if !anyCrashes && !p.jobsWithIsolated[j] {
		// All tasks are alike, and a step may have very many.
		if p.isUnplaceable(step, pool) {
			return
		}
		limit = p.in.MaxStarts - len(p.starts)
	}
	waiting := p.waitingTasks(j, occurrence, number, limit)
	if anyCrashes {
		waiting = p.startOverdue(j, step, waiting, pool)
	}
	if p.jobsWithIsolated[j] {
		waiting = p.startIsolated(j, step, waiting)
	}
	for _, ref := range waiting {
		if len(p.starts) >= p.in.MaxStarts || p.isUnplaceable(step, pool) {
			return
		}
		c := p.chooseMinion(j, step, ref, pool)
		if c == nil && j.Crashes(ref) > 0 {
			continue // others of the step may fit beside suspects
		}
		if c == nil {
			p.markUnplaceable(step, pool)
			return
		}
		p.start(j, step, ref, p.lastRun(j, ref)+1, c)
	}
}

// isUnplaceable reports whether a step needs at least the resources that were
// found unplaceable in this round.
func (p *planner) isUnplaceable(step *apiv1.BatchStep, pool []*candidate) bool {
	smallest, known := p.unplaceable[pool[0].minion.Pool]
	resources := batch.ResourcesOnMinion(step)
	return known && resources.CPUMillis >= smallest.CPUMillis && resources.MemoryMB >= smallest.MemoryMB && resources.Accelerators >= smallest.Accelerators
}

// markUnplaceable records the resources of a step's task as unplaceable if no
// candidate of the pool has them free. It records nothing if the task was refused
// only because of the account's limit or the step's other constraints.
func (p *planner) markUnplaceable(step *apiv1.BatchStep, pool []*candidate) {
	resources := batch.ResourcesOnMinion(step)
	for _, c := range pool {
		if !c.closed && c.used.Add(resources, 1).Within(c.minion.Capacity) {
			return
		}
	}
	name := pool[0].minion.Pool
	if smallest, known := p.unplaceable[name]; !known || resources.CPUMillis < smallest.CPUMillis {
		p.unplaceable[name] = resources
	}
}

// waitingTasks returns the first tasks, at most limit, of a step that are neither done nor
// running. The state has no record of an occurrence of which nothing has started yet: all
// its tasks wait.
func (p *planner) waitingTasks(j *batch.Job, occurrence, step uint32, limit int) []batch.TaskRef {
	var out []batch.TaskRef
	o := j.Occurrence(occurrence)
	for i := range j.Steps[step].Count {
		if len(out) >= limit {
			break
		}
		if o != nil {
			t := o.Steps[step].Tasks[i]
			if t.Done || len(t.Runs) > 0 {
				continue
			}
		}
		out = append(out, batch.TaskRef{Job: j.Id, Occurrence: occurrence, Step: step, Index: i})
	}
	return out
}

// lastRun returns the number of the task's latest run, 0 if it never ran.
func (p *planner) lastRun(j *batch.Job, ref batch.TaskRef) uint32 {
	o := j.Occurrence(ref.Occurrence)
	if o == nil {
		return 0
	}
	return o.Steps[ref.Step].Tasks[ref.Index].LastRun
}

// allocate counts a task's resources as used on the candidate and by the job's
// account.
func (p *planner) allocate(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, c *candidate) {
	c.setUsed(c.used.Add(batch.ResourcesOnMinion(step), 1))
	if step.LongRunning {
		c.longRunningCPU += batch.ResourcesOnMinion(step).CPUMillis
	}
	if c.stepStarts == nil {
		c.stepStarts = map[batch.TaskRef]uint32{}
	}
	c.stepStarts[ref.StepRef()]++
	if crashes := j.Crashes(ref); crashes > 0 {
		p.summarize(c).addSuspects(crashes, 1)
	}
	p.startedUsage[j.Account] = p.startedUsage[j.Account].Add(batch.ResourcesOf(step), 1)
}

func (p *planner) start(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, run uint32, c *candidate) {
	p.allocate(j, step, ref, c)
	p.addStart(ref, run, c)
}

// addStart adds the start of a task whose resources are already allocated.
func (p *planner) addStart(ref batch.TaskRef, run uint32, c *candidate) {
	if p.in.Waiting != nil {
		p.started[ref] = true
	}
	p.starts = append(p.starts, &apiv1.StartedRun{Task: ref.Name(), Run: run, Minion: c.minion.Life})
}

// chooseMinion returns the best candidate for a task, nil if it fits on none or the
// limit of the job's account forbids it.
func (p *planner) chooseMinion(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) *candidate {
	if !p.in.State.AccountAllows(j, step, p.startedUsage[j.Account]) {
		return nil
	}
	switch p.separationOf(j, ref) {
	case together:
		return p.bestCandidate(step, ref, pool)
	case overdue:
		return p.bestForOverdue(step, ref, pool)
	}
	return p.bestForSuspect(step, ref, pool)
}

// canRun reports whether the candidate fits a task and isn't closed to it.
func (c *candidate) canRun(step *apiv1.BatchStep, ref batch.TaskRef) bool {
	return c.fits(step, ref) && !c.closedTo(step, ref)
}

// fits reports whether the candidate has the free resources for a task and meets the
// step's constraints on labels and tasks per minion.
func (c *candidate) fits(step *apiv1.BatchStep, ref batch.TaskRef) bool {
	if !c.used.Add(batch.ResourcesOnMinion(step), 1).Within(c.minion.Capacity) {
		return false
	}
	if step.RequiredLabel != "" && !slices.Contains(c.minion.Labels, step.RequiredLabel) {
		return false
	}
	return step.MaxPerMinion == 0 || c.stepTasks(ref) < step.MaxPerMinion
}

// stepTasks returns the number of tasks of ref's step on the minion, the starts
// of this round included.
func (c *candidate) stepTasks(ref batch.TaskRef) uint32 {
	return c.load.StepRuns(ref) + c.stepStarts[ref.StepRef()]
}

// isBetter reports whether a is a better choice for a task than b. Minions that
// aren't suspect come first, then those on the rack of the task's data. Tasks
// that end by themselves go to the minion with the least free CPU (best fit),
// which keeps other minions free for large tasks.
func isBetter(a, b *candidate, step *apiv1.BatchStep, ref batch.TaskRef) bool {
	if a.suspect != b.suspect {
		return b.suspect
	}
	if step.PreferredRack != "" {
		onRackA, onRackB := slices.Contains(a.minion.Labels, step.PreferredRack), slices.Contains(b.minion.Labels, step.PreferredRack)
		if onRackA != onRackB {
			return onRackA
		}
	}
	if step.LongRunning {
		return isBetterForLongRunning(a, b, ref)
	}
	return a.freeCPU() < b.freeCPU()
}

// preferredMaxPerMinion is the number of tasks of a long-running step on one
// minion from which on other minions are preferred.
const preferredMaxPerMinion = 2

// isBetterForLongRunning reports whether a is a better choice for a long-running
// task than b. Long-running tasks are concentrated on few minions, so that the
// machines of the others can be moved to another pool, but the tasks of one step
// are spread so that the step doesn't depend on a single minion.
func isBetterForLongRunning(a, b *candidate, ref batch.TaskRef) bool {
	if a.maintenanceRank != b.maintenanceRank {
		return a.maintenanceRank < b.maintenanceRank
	}
	if x, y := a.stepTasks(ref) >= preferredMaxPerMinion, b.stepTasks(ref) >= preferredMaxPerMinion; x != y {
		return y
	}
	if x, y := a.longRunningCPU, b.longRunningCPU; x != y {
		return x > y
	}
	return a.freeCPU() > b.freeCPU()
}
