package batch

import apiv1 "bergamotdrum.example/bergamotdrum/api/v1"

// Progress counts the tasks of one step in one occurrence, that is, one of the
// repetitions of a recurring job; any other job has one occurrence. A step is a
// number of equal tasks, and a run is one execution of a task on a minion.
type Progress struct {
	// Running is the number of tasks that are not done and have at least one
	// run.
	Running uint32
	// Done is the number of tasks that are done and never start again.
	Done uint32
}

// Progress returns the task counts of a step in one occurrence. They are zero
// before the occurrence begins, which the first start of one of its tasks does.
func (j *Job) Progress(occurrence, step uint32) Progress {
	steps := j.progress[occurrence]
	if steps == nil {
		return Progress{}
	}
	return steps[step]
}

// Waiting returns the number of tasks of a step that neither run nor are done.
func (j *Job) Waiting(occurrence, step uint32) uint32 {
	p := j.Progress(occurrence, step)
	return j.Steps[step].Count - p.Running - p.Done
}

// recount recomputes the progress of a step from its tasks.
func (j *Job) recount(occurrence, step uint32) {
	o := j.occurrences[occurrence]
	if o == nil {
		return
	}
	steps := j.progress[occurrence]
	if steps == nil {
		steps = make([]Progress, len(j.Steps))
		j.progress[occurrence] = steps
	}
	p := Progress{}
	for _, t := range o.Steps[step].Tasks {
		p = p.plus(progressOf(t))
	}
	steps[step] = p
}

// progressOf returns what a task adds to the progress of its step.
func progressOf(t *apiv1.BatchTask) Progress {
	switch {
	case t.Done:
		return Progress{Done: 1}
	case len(t.Runs) > 0:
		return Progress{Running: 1}
	}
	return Progress{}
}

func (p Progress) plus(o Progress) Progress {
	return Progress{Running: p.Running + o.Running, Done: p.Done + o.Done}
}

// adjust updates the progress of a step after a change of one task, which added before to
// it. The other tasks aren't counted again: a step may have very many.
func (j *Job) adjust(occurrence, step uint32, before Progress, task *apiv1.BatchTask) {
	if j.occurrences[occurrence] == nil {
		return
	}
	if j.progress[occurrence] == nil {
		j.progress[occurrence] = make([]Progress, len(j.Steps))
	}
	after, p := progressOf(task), &j.progress[occurrence][step]
	p.Running += after.Running - before.Running
	p.Done += after.Done - before.Done
}

// Revision returns a number that increases whenever a run starts, ends or
// becomes obsolete (no longer needed, because its job has ended or another run
// has done the task) on any minion. It is local to the process and not
// replicated.
func (s *State) Revision() uint64 { return s.revision }

// RevisionOf returns the revision at which the load of an incarnation, one
// lifetime of a minion's process, last changed, zero when nothing runs on it.
func (s *State) RevisionOf(incarnation Incarnation) uint64 {
	if load := s.loads[incarnation]; load != nil {
		return load.Revision
	}
	return 0
}

// maxLoggedChanges is the number of latest changes of loads that the state keeps at
// least.
const maxLoggedChanges = 1 << 13

// ChangedSince returns the incarnations whose load changed after a revision, each
// once. It returns false when the changes since then are no longer kept, in which
// case any load may have changed.
func (s *State) ChangedSince(revision uint64) ([]Incarnation, bool) {
	if revision > s.revision || s.revision-revision > uint64(len(s.changes)) {
		return nil, false
	}
	latest := s.changes[uint64(len(s.changes))-(s.revision-revision):]
	out := make([]Incarnation, 0, len(latest))
	seen := make(map[Incarnation]bool, len(latest))
	for _, inc := range latest {
		if !seen[inc] {
			seen[inc] = true
			out = append(out, inc)
		}
	}
	return out, true
}

// markChanged raises the revision because the runs on an incarnation changed or
// one of them became obsolete.
func (s *State) markChanged(incarnation Incarnation) {
	s.revision++
	if len(s.changes) >= 2*maxLoggedChanges {
		s.changes = append(s.changes[:0], s.changes[len(s.changes)-maxLoggedChanges:]...)
	}
	s.changes = append(s.changes, incarnation)
	if load := s.loads[incarnation]; load != nil {
		load.Revision = s.revision
	}
}

// markJobChanged raises the revision because all runs of a job became obsolete.
func (s *State) markJobChanged(j *Job) {
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			for _, t := range st.Tasks {
				for _, run := range t.Runs {
					s.markChanged(IncarnationOf(run.Minion))
				}
			}
		}
	}
}
