package placement

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// planGang starts either all tasks of a gang, a step whose tasks run only
// together, under one run number, or none of them.
func (p *planner) planGang(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef, pool []*candidate) {
	if len(waiting) != int(step.Count) {
		return // tasks of an earlier run have not ended yet
	}
	if p.separationOf(j, waiting[0]) == alone {
		pool = p.emptySetAside(step, waiting[0])
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
		p.addStart(ref, run, chosen[i])
	}
}

// chooseGang chooses a minion for each task of a gang, or returns nil. If the
// step prefers a single rack, it tries each rack before all minions of the pool.
func (p *planner) chooseGang(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef, pool []*candidate) []*candidate {
	if step.SameRack {
		for _, rack := range allLabels(pool) {
			onRack := slices.DeleteFunc(slices.Clone(pool), func(c *candidate) bool { return !slices.Contains(c.minion.Labels, rack) })
			if chosen := p.allocateGang(j, step, waiting, onRack); chosen != nil {
				return chosen
			}
		}
	}
	return p.allocateGang(j, step, waiting, pool)
}

// allLabels returns the labels of all candidates, sorted and without duplicates.
// A rack is one of the labels of its minions; which one isn't known.
func allLabels(pool []*candidate) []string {
	var out []string
	for _, c := range pool {
		out = append(out, c.minion.Labels...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// allocateGang chooses a minion of the pool for each task of a gang and allocates
// its resources there. If a task fits nowhere it allocates nothing and returns nil.
func (p *planner) allocateGang(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef, pool []*candidate) []*candidate {
	var chosen []*candidate
	for _, ref := range waiting {
		c := p.chooseMinion(j, step, ref, pool)
		if c == nil {
			p.release(j, step, waiting[:len(chosen)], chosen)
			return nil
		}
		p.allocate(j, step, ref, c)
		chosen = append(chosen, c)
	}
	return chosen
}

// release undoes allocate for tasks of a gang, except for longRunningCPU, which
// only affects which minions are preferred in this round.
func (p *planner) release(j *batch.Job, step *apiv1.BatchStep, refs []batch.TaskRef, chosen []*candidate) {
	for i, c := range chosen {
		c.setUsed(c.used.Add(batch.ResourcesOnMinion(step), -1))
		c.stepStarts[refs[i].StepRef()]--
		if crashes := j.Crashes(refs[i]); crashes > 0 {
			p.summarize(c).addSuspects(crashes, -1)
		}
		p.startedUsage[j.Account] = p.startedUsage[j.Account].Add(batch.ResourcesOf(step), -1)
	}
}
