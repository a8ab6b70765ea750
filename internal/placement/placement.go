// Package placement plans which tasks start on which minions. It is pure: it
// reads the committed state and what the leader knows about the minions, and
// proposes starts that the state verifies again at the commit.
package placement

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Health is what the leader believes about a minion.
type Health struct {
	// Usable minions answered lately and may get work.
	Usable bool
	// Suspect minions get work only when no other one has room.
	Suspect bool
}

// Input is the basis of one planning round.
type Input struct {
	State     *batch.State
	NowUnixMS int64
	// Health by minion life; lives that are missing are not usable.
	Health map[batch.Incarnation]Health
	// Reserved minions get no new work: their machine is about to go.
	Reserved map[batch.Incarnation]bool
	// MaintenanceDue minions get no long-running tasks while others have room: their
	// machine is due for service.
	MaintenanceDue map[batch.Incarnation]bool
	// MaxStarts bounds the starts of one round.
	MaxStarts int
}

// candidate is a minion with the room that the round has left.
type candidate struct {
	minion  *apiv1.BatchMinion
	life    batch.Incarnation
	load    *batch.Load
	used    batch.Usage
	suspect bool
	leaving bool
	// lasting is the cpu of the tasks that do not end by themselves.
	lasting int64
	// ofStep counts the tasks that this round put here, by step.
	ofStep map[batch.TaskRef]uint32
}

func (c *candidate) freeCPU() int64 {
	return int64(c.minion.Capacity.GetCpuMillis()) - c.used.CPUMillis
}

// planner is the working state of one round.
type planner struct {
	in    Input
	pools map[string][]*candidate
	// started is what the round adds to each account.
	started map[string]batch.Usage
	// meanWork is the mean work of the active jobs of each queue.
	meanWork map[string]int64
	starts   []*apiv1.StartedRun
	// fullFor holds, for each pool, the smallest need that no candidate had room
	// for. Room only shrinks during a round.
	fullFor map[string]batch.Usage
}

// Plan returns the starts of one round.
func Plan(in Input) []*apiv1.StartedRun {
	p := &planner{in: in, pools: map[string][]*candidate{}, started: map[string]batch.Usage{}, fullFor: map[string]batch.Usage{}}
	p.collectMinions()
	for _, j := range p.order() {
		if len(p.starts) >= in.MaxStarts {
			break
		}
		p.planJob(j)
	}
	return p.starts
}

func (p *planner) collectMinions() {
	for _, m := range p.in.State.Minions() {
		life := batch.IncarnationOf(m.Life)
		h := p.in.Health[life]
		if !h.Usable || m.Draining || p.in.Reserved[life] || p.in.State.ZoneOut(m.AvailabilityZone) {
			continue
		}
		c := &candidate{minion: m, life: life, load: p.in.State.LoadOf(life), suspect: h.Suspect, leaving: p.in.MaintenanceDue[life]}
		if c.load != nil {
			c.used = c.load.Used
			c.lasting = c.load.LongRunningCPUMillis
		}
		p.pools[m.Pool] = append(p.pools[m.Pool], c)
	}
}

func (p *planner) planJob(j *batch.Job) {
	pool := p.pools[p.in.State.QueueOf(j).GetPool()]
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

func (p *planner) planStep(j *batch.Job, occurrence, number uint32, pool []*candidate) {
	step := j.Steps[number]
	if j.Waiting(occurrence, number) == 0 || !j.StepReady(occurrence, number) {
		return
	}
	waiting := p.waitingTasks(j, occurrence, number)
	if step.Gang {
		p.planGang(j, step, waiting, pool)
		return
	}
	for _, ref := range waiting {
		if len(p.starts) >= p.in.MaxStarts || p.full(step, pool) {
			return
		}
		c := p.choose(j, step, ref, pool)
		if c == nil {
			p.noteFull(step, pool)
			return
		}
		p.start(j, step, ref, p.lastRun(j, ref)+1, c)
	}
}

// full tells that a step with no smaller need found no room in this round.
func (p *planner) full(step *apiv1.BatchStep, pool []*candidate) bool {
	limit, known := p.fullFor[pool[0].minion.Pool]
	need := batch.ResourcesOnMinion(step)
	return known && need.CPUMillis >= limit.CPUMillis && need.MemoryMB >= limit.MemoryMB && need.Accelerators >= limit.Accelerators
}

// noteFull remembers a need that no candidate of the pool has room for, whatever
// else the step asks for.
func (p *planner) noteFull(step *apiv1.BatchStep, pool []*candidate) {
	need := batch.ResourcesOnMinion(step)
	for _, c := range pool {
		if c.used.Add(need, 1).Within(c.minion.Capacity) {
			return
		}
	}
	name := pool[0].minion.Pool
	if limit, known := p.fullFor[name]; !known || need.CPUMillis < limit.CPUMillis {
		p.fullFor[name] = need
	}
}

// waitingTasks returns the tasks of a step that are neither done nor running.
func (p *planner) waitingTasks(j *batch.Job, occurrence, step uint32) []batch.TaskRef {
	var out []batch.TaskRef
	o := j.Occurrence(occurrence)
	for i := range j.Steps[step].Count {
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

func (p *planner) lastRun(j *batch.Job, ref batch.TaskRef) uint32 {
	o := j.Occurrence(ref.Occurrence)
	if o == nil {
		return 0
	}
	return o.Steps[ref.Step].Tasks[ref.Index].LastRun
}

// planGang starts all members of a gang under one run number, or none.
func (p *planner) planGang(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef, pool []*candidate) {
	if len(waiting) != int(step.Count) {
		return // members of an earlier run have not ended yet
	}
	chosen := p.chooseGang(j, step, waiting, pool)
	if chosen == nil {
		return
	}
	run := uint32(0)
	for _, ref := range waiting {
		run = max(run, p.lastRun(j, ref)+1)
	}
	for i, ref := range waiting {
		p.startPlaced(ref, run, chosen[i])
	}
}

// chooseGang places each member, on one rack where that helps and works.
func (p *planner) chooseGang(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef, pool []*candidate) []*candidate {
	if step.SameRack {
		for _, rack := range racks(pool) {
			on := slices.DeleteFunc(slices.Clone(pool), func(c *candidate) bool { return !slices.Contains(c.minion.Labels, rack) })
			if chosen := p.tryGang(j, step, waiting, on); chosen != nil {
				return chosen
			}
		}
	}
	return p.tryGang(j, step, waiting, pool)
}

// racks returns the labels that any candidate has, in a fixed order.
func racks(pool []*candidate) []string {
	var out []string
	for _, c := range pool {
		out = append(out, c.minion.Labels...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (p *planner) tryGang(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef, pool []*candidate) []*candidate {
	var chosen []*candidate
	for _, ref := range waiting {
		c := p.choose(j, step, ref, pool)
		if c == nil {
			p.undo(j, step, waiting[:len(chosen)], chosen)
			return nil
		}
		p.occupy(j, step, ref, c)
		chosen = append(chosen, c)
	}
	return chosen
}

func (p *planner) undo(j *batch.Job, step *apiv1.BatchStep, refs []batch.TaskRef, chosen []*candidate) {
	for i, c := range chosen {
		c.used = c.used.Add(batch.ResourcesOnMinion(step), -1)
		c.ofStep[refs[i].StepRef()]--
		p.started[j.Account] = p.started[j.Account].Add(batch.ResourcesOf(step), -1)
	}
}

func (p *planner) occupy(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, c *candidate) {
	c.used = c.used.Add(batch.ResourcesOnMinion(step), 1)
	if step.LongRunning {
		c.lasting += batch.ResourcesOnMinion(step).CPUMillis
	}
	if c.ofStep == nil {
		c.ofStep = map[batch.TaskRef]uint32{}
	}
	c.ofStep[ref.StepRef()]++
	p.started[j.Account] = p.started[j.Account].Add(batch.ResourcesOf(step), 1)
}

func (p *planner) start(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, run uint32, c *candidate) {
	p.occupy(j, step, ref, c)
	p.startPlaced(ref, run, c)
}

func (p *planner) startPlaced(ref batch.TaskRef, run uint32, c *candidate) {
	p.starts = append(p.starts, &apiv1.StartedRun{Task: ref.Name(), Run: run, Minion: c.minion.Life})
}

// choose returns the best minion for a task, nil when none fits.
func (p *planner) choose(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) *candidate {
	if !p.fitsAccount(j, step) {
		return nil
	}
	var best *candidate
	for _, c := range pool {
		if c.fits(step, ref) && (best == nil || better(c, best, step, ref)) {
			best = c
		}
	}
	return best
}

func (p *planner) fitsAccount(j *batch.Job, step *apiv1.BatchStep) bool {
	a := p.in.State.Account(j.Account)
	if a == nil {
		return true
	}
	u := p.in.State.AccountUsage(j.Account).Add(p.started[j.Account], 1).Add(batch.ResourcesOf(step), 1)
	return u.WithinLimit(a.Limit)
}

func (c *candidate) fits(step *apiv1.BatchStep, ref batch.TaskRef) bool {
	if !c.used.Add(batch.ResourcesOnMinion(step), 1).Within(c.minion.Capacity) {
		return false
	}
	if step.RequiredLabel != "" && !slices.Contains(c.minion.Labels, step.RequiredLabel) {
		return false
	}
	return step.MaxPerMinion == 0 || c.tasksOf(ref) < step.MaxPerMinion
}

// tasksOf counts the tasks of ref's step on the minion, this round's included.
func (c *candidate) tasksOf(ref batch.TaskRef) uint32 {
	return c.load.StepRuns(ref) + c.ofStep[ref.StepRef()]
}

// better prefers sound minions, then the rack of the data. Finite
// tasks fill up minions, which leaves room for large tasks.
func better(a, b *candidate, step *apiv1.BatchStep, ref batch.TaskRef) bool {
	if a.suspect != b.suspect {
		return b.suspect
	}
	if step.PreferredRack != "" {
		near, other := slices.Contains(a.minion.Labels, step.PreferredRack), slices.Contains(b.minion.Labels, step.PreferredRack)
		if near != other {
			return near
		}
	}
	if step.LongRunning {
		return betterAnchor(a, b, ref)
	}
	return a.freeCPU() < b.freeCPU()
}

// sharedFate is how many tasks of a long-running step may be on one minion
// before another one is preferred.
const sharedFate = 2

// betterAnchor gathers long-running tasks on few minions, which leaves the
// others free to change their pool, but keeps a step from depending on one.
func betterAnchor(a, b *candidate, ref batch.TaskRef) bool {
	if a.leaving != b.leaving {
		return b.leaving
	}
	if x, y := a.tasksOf(ref) >= sharedFate, b.tasksOf(ref) >= sharedFate; x != y {
		return y
	}
	if x, y := a.lasting, b.lasting; x != y {
		return x > y
	}
	return a.freeCPU() > b.freeCPU()
}
