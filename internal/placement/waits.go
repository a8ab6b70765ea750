package placement

import (
	"math"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// WaitReason is why a task still waits after a planning round, although its job lets it
// start. Of the reasons that rule out the minions of its pool it is the one of the minion
// that comes closest to running it.
type WaitReason int

// Reasons, from the one that is furthest from a start on.
const (
	// WaitMinions means that no minion of the pool may get work.
	WaitMinions WaitReason = iota + 1
	// WaitLabel means that the minions lack the label that the step requires.
	WaitLabel
	// WaitSize means that a task needs more than any of the minions has.
	WaitSize
	WaitCPU
	// WaitMemory stands for accelerators too.
	WaitMemory
	// WaitTasksPerMinion means that the minions with room run as many tasks of the step
	// as it allows.
	WaitTasksPerMinion
	// WaitAccount means that the limit of the job's account forbids the start.
	WaitAccount
	// WaitSeparation means that the task is kept apart after crashes of minions, or that
	// the minions with room are closed for such tasks.
	WaitSeparation
	// WaitStarts means that the round may have no further start.
	WaitStarts
	// WaitNextRound means that the task fits, and the next round starts it.
	WaitNextRound
)

// String returns the name of the reason in logs.
func (r WaitReason) String() string {
	names := [...]string{"", "minions", "label", "size", "cpu", "memory", "tasks_per_minion", "account_limit", "separation", "starts", "next_round"}
	return names[r]
}

// TaskWaits counts the tasks of a pool that wait after a planning round.
type TaskWaits struct {
	// LongRunning and Finite count them by reason.
	LongRunning, Finite map[WaitReason]int
	// Examples holds a task of each reason.
	Examples map[WaitReason]batch.TaskRef
}

// maxExplainedSteps bounds the steps of a pool whose tasks a round explains. They are the
// first ones in the order of planning, so those with long-running tasks.
const maxExplainedSteps = 25

// explain returns why tasks of the jobs wait after the round, by pool.
func (p *planner) explain(jobs []*batch.Job) map[string]TaskWaits {
	out, steps := map[string]TaskWaits{}, map[string]int{}
	for _, j := range jobs {
		pool := p.in.State.QueueOf(j).GetPool()
		for k := range j.NumOccurrences() {
			if steps[pool] >= maxExplainedSteps || !j.IsDue(k, p.in.NowUnixMS) {
				break
			}
			for s, step := range j.Steps {
				waiting := p.stillWaiting(j, batch.TaskRef{Job: j.Id, Occurrence: k, Step: uint32(s)})
				if len(waiting) == 0 {
					continue
				}
				steps[pool]++
				w, ok := out[pool]
				if !ok {
					w = TaskWaits{LongRunning: map[WaitReason]int{}, Finite: map[WaitReason]int{}, Examples: map[WaitReason]batch.TaskRef{}}
					out[pool] = w
				}
				w.add(p.waitReason(j, step, waiting[0], p.candidates[pool]), step, waiting)
			}
		}
	}
	return out
}

func (w *TaskWaits) add(reason WaitReason, step *apiv1.BatchStep, waiting []batch.TaskRef) {
	counts := w.Finite
	if step.LongRunning {
		counts = w.LongRunning
	}
	counts[reason] += len(waiting)
	if _, ok := w.Examples[reason]; !ok {
		w.Examples[reason] = waiting[0]
	}
}

// stillWaiting returns the tasks of ref's step that may start by their job and don't in
// this round.
func (p *planner) stillWaiting(j *batch.Job, ref batch.TaskRef) []batch.TaskRef {
	if j.Waiting(ref.Occurrence, ref.Step) == 0 || !j.StepReady(ref.Occurrence, ref.Step) {
		return nil
	}
	return slices.DeleteFunc(p.waitingTasks(j, ref.Occurrence, ref.Step, math.MaxInt), func(ref batch.TaskRef) bool {
		return p.started[ref]
	})
}

// waitReason returns why a task that the round doesn't start waits.
func (p *planner) waitReason(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) WaitReason {
	reason := WaitMinions
	for _, c := range pool {
		reason = max(reason, c.obstacle(step, ref))
	}
	switch {
	case reason == WaitNextRound && !p.in.State.AccountAllows(j, step, p.startedUsage[j.Account]):
		return WaitAccount
	case reason == WaitNextRound && len(p.starts) >= p.in.MaxStarts:
		return WaitStarts
	case reason == WaitNextRound && p.separationOf(j, ref) != together:
		return WaitSeparation
	}
	return reason
}

// obstacle returns what keeps a task from the candidate.
func (c *candidate) obstacle(step *apiv1.BatchStep, ref batch.TaskRef) WaitReason {
	needed := batch.ResourcesOnMinion(step)
	switch {
	case step.RequiredLabel != "" && !slices.Contains(c.minion.Labels, step.RequiredLabel):
		return WaitLabel
	case !batch.Usage{}.Add(needed, 1).Within(c.minion.Capacity):
		return WaitSize
	case c.freeCPU() < needed.CPUMillis:
		return WaitCPU
	case !c.used.Add(needed, 1).Within(c.minion.Capacity):
		return WaitMemory
	case step.MaxPerMinion > 0 && c.stepTasks(ref) >= step.MaxPerMinion:
		return WaitTasksPerMinion
	case c.closedTo(step, ref):
		return WaitSeparation
	}
	return WaitNextRound
}
