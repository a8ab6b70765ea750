package placement

import (
	"cmp"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// separation is how a waiting task is kept apart from others, because minions crashed
// under it or were lost for an unknown reason, which both count as crashes here.
//
// A task may crash each minion that starts it. The tasks beside it on the minion crash
// too, and the state gives up a task after its third crash. To keep tasks that only were
// neighbors from that, tasks with crashes (suspects) are kept apart. That changes where a
// task starts, and delays it by less than maxSeparationWaitMS while a minion has room for
// it: after that it is overdue and starts wherever it fits, however many tasks wait and
// however few minions are left.
type separation int

const (
	// together is for tasks without crashes. They start beside any others but those that
	// run alone.
	together separation = iota
	// spread is for tasks with one crash: at most maxSuspects of them start on a minion
	// at about the same time.
	spread
	// alone is for tasks with batch.IsolationCrashes or more: they start on a minion without
	// others (see isolation.go).
	alone
	// overdue is for tasks of both kinds that have waited for maxSeparationWaitMS. They
	// start on the minion where they are beside the fewest suspects.
	overdue
)

const (
	// maxSuspects bounds the suspects that start on one minion. The culprit among the
	// suspects of a crash takes so many others into isolation.
	maxSuspects = 4
	// maxSeparationWaitMS bounds the time without a run that separation adds. Together
	// with trialMS, for which a minion may then be closed to other tasks, it is less than
	// the 3 s for which a job may have nothing running beside free capacity.
	maxSeparationWaitMS = 1_500
)

// separationOf returns how a waiting task is kept apart. A wait that seems to begin in the
// future was recorded by a clock that has stepped back since, and counts as over.
func (p *planner) separationOf(j *batch.Job, ref batch.TaskRef) separation {
	crashes := j.Crashes(ref)
	if crashes == 0 {
		return together
	}
	waited := p.in.NowUnixMS - j.WaitingSinceMS(ref)
	switch {
	case waited >= maxSeparationWaitMS || waited < 0:
		return overdue
	case crashes >= batch.IsolationCrashes:
		return alone
	}
	return spread
}

// addSuspects adds n tasks with the given number of crashes.
func (s *runSummary) addSuspects(crashes uint32, n int) {
	if crashes > 0 {
		s.suspects += n
	}
	if crashes >= batch.IsolationCrashes {
		s.isolated += n
	}
}

// bestForSuspect is bestCandidate for a suspect task: the candidate with the fewest
// suspects, so that the culprit among them shares its next minion with as few others as
// possible.
func (p *planner) bestForSuspect(step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) *candidate {
	var best *candidate
	for _, c := range pool {
		if c.canRun(step, ref) && p.suspectsBeside(c, step, ref) < maxSuspects && (best == nil || p.isBetterForSuspect(c, best, step, ref)) {
			best = c
		}
	}
	return best
}

func (p *planner) isBetterForSuspect(a, b *candidate, step *apiv1.BatchStep, ref batch.TaskRef) bool {
	c := cmp.Or(compareBool(a.suspect, b.suspect), cmp.Compare(p.suspectsBeside(a, step, ref), p.suspectsBeside(b, step, ref)))
	return c < 0 || c == 0 && isBetter(a, b, step, ref)
}

// suspectsBeside returns the number of suspect tasks that have just started on the
// candidate, the starts of this round included and tasks of the same gang excluded.
func (p *planner) suspectsBeside(c *candidate, step *apiv1.BatchStep, ref batch.TaskRef) int {
	n := p.summarize(c).suspects
	if step.Gang {
		n -= int(c.stepTasks(ref))
	}
	return n
}

// startOverdue starts the overdue ones of a step's waiting tasks, and returns the others.
// It doesn't ask isUnplaceable, which leaves out closed minions.
func (p *planner) startOverdue(j *batch.Job, step *apiv1.BatchStep, waiting []batch.TaskRef, pool []*candidate) []batch.TaskRef {
	var others []batch.TaskRef
	for _, ref := range waiting {
		if p.separationOf(j, ref) != overdue {
			others = append(others, ref)
			continue
		}
		p.startOn(j, step, ref, pool)
	}
	return others
}

// startOn starts a task on the best of the candidates, if there is one and the round may
// have another start.
func (p *planner) startOn(j *batch.Job, step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) {
	if len(p.starts) >= p.in.MaxStarts {
		return
	}
	if c := p.chooseMinion(j, step, ref, pool); c != nil {
		p.start(j, step, ref, p.lastRun(j, ref)+1, c)
	}
}

// isolatedBeside returns the number of isolated tasks on the candidate, the starts of this
// round included and tasks of the same gang excluded: one more crash may be their last.
func (p *planner) isolatedBeside(c *candidate, step *apiv1.BatchStep, ref batch.TaskRef) int {
	s := p.summarize(c)
	n := s.isolated + s.oldIsolated
	if step.Gang && n > 0 {
		n -= min(n, int(c.stepTasks(ref)))
	}
	return n
}

// bestForOverdue is bestCandidate for an overdue task, which may start on closed minions
// too.
func (p *planner) bestForOverdue(step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) *candidate {
	var best *candidate
	for _, c := range pool {
		if c.fits(step, ref) && (best == nil || p.isBetterForOverdue(c, best, step, ref)) {
			best = c
		}
	}
	return best
}

func (p *planner) isBetterForOverdue(a, b *candidate, step *apiv1.BatchStep, ref batch.TaskRef) bool {
	c := cmp.Or(compareBool(a.suspect, b.suspect), cmp.Compare(p.isolatedBeside(a, step, ref), p.isolatedBeside(b, step, ref)),
		compareBool(a.closed, b.closed))
	return c < 0 || c == 0 && p.isBetterForSuspect(a, b, step, ref)
}
