package batch

// Progress counts the tasks of one step of one occurrence.
type Progress struct {
	// Running tasks have a run and are not done.
	Running uint32
	// Done tasks never start again.
	Done uint32
}

// Progress returns how far a step has got; all zero before it begins.
func (j *Job) Progress(occurrence, step uint32) Progress {
	steps := j.progress[occurrence]
	if steps == nil {
		return Progress{}
	}
	return steps[step]
}

// Waiting counts the tasks of a step that neither run nor are done.
func (j *Job) Waiting(occurrence, step uint32) uint32 {
	p := j.Progress(occurrence, step)
	return j.Steps[step].Count - p.Running - p.Done
}

// recount brings the progress of a step up to its tasks.
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
		switch {
		case t.Done:
			p.Done++
		case len(t.Runs) > 0:
			p.Running++
		}
	}
	steps[step] = p
}

// Revision grows with each change of what runs or is wanted anywhere.
func (s *State) Revision() uint64 { return s.revision }

// RevisionOf is the revision at which the load of a life last changed, zero
// when nothing runs there.
func (s *State) RevisionOf(life Life) uint64 {
	if load := s.lives[life]; load != nil {
		return load.Revision
	}
	return 0
}

// touch notes that the runs on a life changed, or that one of them is no longer
// wanted.
func (s *State) touch(life Life) {
	s.revision++
	if load := s.lives[life]; load != nil {
		load.Revision = s.revision
	}
}

// touchJob notes that none of a job's runs is wanted any more.
func (s *State) touchJob(j *Job) {
	for _, o := range j.Occurrences {
		for _, st := range o.Steps {
			for _, t := range st.Tasks {
				for _, run := range t.Runs {
					s.touch(LifeOf(run.Minion))
				}
			}
		}
	}
}
