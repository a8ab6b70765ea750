package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// maxCopies is the largest number of runs (executions on minions, the worker
// processes) that a task of a speculative step may have at the same time. It
// only limits what the state accepts: package placement plans no second run of a
// running task yet.
const maxCopies = 2

// TaskRef identifies a task by job id, number of the occurrence (repetition of
// the job), index of the step (a number of equal tasks) and index within the
// step.
type TaskRef struct {
	Job                     string
	Occurrence, Step, Index uint32
}

// RefOf converts a message to a reference.
func RefOf(n *apiv1.TaskName) TaskRef {
	return TaskRef{Job: n.GetJobId(), Occurrence: n.GetOccurrence(), Step: n.GetStep(), Index: n.GetIndex()}
}

// Name converts the reference to a message.
func (r TaskRef) Name() *apiv1.TaskName {
	return &apiv1.TaskName{JobId: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
}

// StepRef returns a reference that stands for the step of the task in its
// occurrence: the reference of the step's first task.
func (r TaskRef) StepRef() TaskRef {
	r.Index = 0
	return r
}

// String returns the form used in logs and status pages, which is
// job.occurrence.step.index.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// RunKey identifies a run by its task and its number within the task.
type RunKey struct {
	TaskRef
	Number uint32
}

func compareRuns(a, b RunKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(a.Number, b.Number))
}

// Incarnation identifies one incarnation of a minion, that is, one lifetime of its
// process. The schema's word for it is life.
type Incarnation struct {
	// ID is the minion's id, which all of its incarnations share.
	ID string
	// StartedMS is the start of the process in Unix milliseconds.
	StartedMS int64
}

// IncarnationOf converts a message to an incarnation.
func IncarnationOf(m *apiv1.MinionLife) Incarnation {
	return Incarnation{ID: m.GetId(), StartedMS: m.GetBornUnixMs()}
}

// Message converts the incarnation to a message.
func (i Incarnation) Message() *apiv1.MinionLife {
	return &apiv1.MinionLife{Id: i.ID, BornUnixMs: i.StartedMS}
}

// Usage is an amount of resources. CPUMillis is in thousandths of a core.
type Usage struct{ CPUMillis, MemoryMB, Accelerators int64 }

// ResourcesOf returns the resources that a task of the step counts against the
// limit of its client account.
func ResourcesOf(step *apiv1.BatchStep) Usage {
	return Usage{
		CPUMillis:    int64(step.GetResources().GetCpuMillis()),
		MemoryMB:     int64(step.GetResources().GetMemoryMb()),
		Accelerators: int64(step.GetResources().GetAccelerators()),
	}
}

// ResourcesOnMinion returns the resources that a task of the step takes of its
// minion's capacity. Tasks of a step that fills use only idle cpu, so their cpu
// is not counted.
func ResourcesOnMinion(step *apiv1.BatchStep) Usage {
	u := ResourcesOf(step)
	if step.Fills {
		u.CPUMillis = 0
	}
	return u
}

// Add returns u + n*o.
func (u Usage) Add(o Usage, n int64) Usage {
	return Usage{u.CPUMillis + n*o.CPUMillis, u.MemoryMB + n*o.MemoryMB, u.Accelerators + n*o.Accelerators}
}

// Within reports whether no resource in u exceeds that in r.
func (u Usage) Within(r *apiv1.Resources) bool {
	return u.CPUMillis <= int64(r.GetCpuMillis()) && u.MemoryMB <= int64(r.GetMemoryMb()) && u.Accelerators <= int64(r.GetAccelerators())
}

// Allows reports whether a limit allows to start a task while u is in use. What is below
// the limit may exceed it by one task: a large task would otherwise wait for as long as
// smaller ones run, and one that is larger than the limit for ever. A zero field in limit
// means no limit.
func (u Usage) Allows(task Usage, limit *apiv1.Resources) bool {
	allows := func(used, added int64, limit uint32) bool {
		return limit == 0 || used < int64(limit) || used+added <= int64(limit)
	}
	return allows(u.CPUMillis, task.CPUMillis, limit.GetCpuMillis()) && allows(u.MemoryMB, task.MemoryMB, limit.GetMemoryMb()) &&
		allows(u.Accelerators, task.Accelerators, limit.GetAccelerators())
}

// ActiveRun is a run that has not ended.
type ActiveRun struct {
	Job  *Job
	Ref  TaskRef
	Step *apiv1.BatchStep
	Task *apiv1.BatchTask
	Run  *apiv1.BatchRun
}

// Key returns the run's key.
func (r *ActiveRun) Key() RunKey { return RunKey{r.Ref, r.Run.Number} }

// Obsolete reports whether the run is no longer needed because its job has ended
// or another run has done the task.
func (r *ActiveRun) Obsolete() bool { return Ended(r.Job.State) || r.Task.Done }

// Load is the set of runs on one incarnation of a minion and the resources they
// take. The methods that read it accept a nil Load, which has no runs.
type Load struct {
	Used Usage
	// Revision changes whenever a run is added, removed or becomes obsolete.
	Revision uint64
	// LongRunningCPUMillis is the cpu that runs of long-running steps take of
	// the minion's capacity, in thousandths of a core.
	LongRunningCPUMillis int64
	runs                 map[RunKey]*ActiveRun
	// runsByStep holds the number of runs by StepRef.
	runsByStep map[TaskRef]uint32
	// longRunningRuns is the number of runs of long-running steps.
	longRunningRuns int
}

// Each calls fn for each run, in no particular order.
func (l *Load) Each(fn func(*ActiveRun)) {
	if l == nil {
		return
	}
	for _, r := range l.runs {
		fn(r)
	}
}

// add adds the resources and counters of a run when sign is 1 and subtracts them
// when it is -1. It does not change l.runs.
func (l *Load) add(key RunKey, r *ActiveRun, sign int64) {
	resources := ResourcesOnMinion(r.Step)
	l.Used = l.Used.Add(resources, sign)
	l.runsByStep[key.StepRef()] += uint32(sign)
	if l.runsByStep[key.StepRef()] == 0 {
		delete(l.runsByStep, key.StepRef())
	}
	if r.Step.LongRunning {
		l.LongRunningCPUMillis += sign * resources.CPUMillis
		l.longRunningRuns += int(sign)
	}
}

// Runs returns the runs ordered by key.
func (l *Load) Runs() []*ActiveRun {
	if l == nil {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(l.runs), compareRuns)
	out := make([]*ActiveRun, len(keys))
	for i, k := range keys {
		out[i] = l.runs[k]
	}
	return out
}

// Len returns the number of runs.
func (l *Load) Len() int {
	if l == nil {
		return 0
	}
	return len(l.runs)
}

// HasLongRunning reports whether a run belongs to a long-running step, which runs
// until its job is canceled.
func (l *Load) HasLongRunning() bool {
	return l != nil && l.longRunningRuns > 0
}

// StepRuns returns the number of runs of ref's step in ref's occurrence.
func (l *Load) StepRuns(ref TaskRef) uint32 {
	if l == nil {
		return 0
	}
	return l.runsByStep[ref.StepRef()]
}

// LoadOf returns the load of an incarnation, nil when nothing runs on it.
func (s *State) LoadOf(i Incarnation) *Load { return s.loads[i] }

// LoadedIncarnations returns all incarnations that have runs, ordered by minion
// id and start.
func (s *State) LoadedIncarnations() []Incarnation {
	out := slices.Collect(maps.Keys(s.loads))
	slices.SortFunc(out, func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedMS, b.StartedMS))
	})
	return out
}

// track adds a run to the load of its incarnation, to the usage of its account
// and to the runs of its job.
func (s *State) track(j *Job, ref TaskRef, task *apiv1.BatchTask, run *apiv1.BatchRun) {
	incarnation := IncarnationOf(run.Minion)
	load := s.loads[incarnation]
	if load == nil {
		load = &Load{runs: map[RunKey]*ActiveRun{}, runsByStep: map[TaskRef]uint32{}}
		s.loads[incarnation] = load
	}
	step := j.Steps[ref.Step]
	active := &ActiveRun{Job: j, Ref: ref, Step: step, Task: task, Run: run}
	key := RunKey{ref, run.Number}
	load.runs[key] = active
	load.add(key, active, 1)
	s.markChanged(incarnation)
	s.usage[j.Account] = s.usage[j.Account].Add(ResourcesOf(step), 1)
	j.runs++
}

// untrack reverses track.
func (s *State) untrack(j *Job, ref TaskRef, run *apiv1.BatchRun) {
	incarnation := IncarnationOf(run.Minion)
	load := s.loads[incarnation]
	step := j.Steps[ref.Step]
	key := RunKey{ref, run.Number}
	load.add(key, load.runs[key], -1)
	delete(load.runs, key)
	s.markChanged(incarnation)
	if len(load.runs) == 0 {
		delete(s.loads, incarnation)
	}
	s.usage[j.Account] = s.usage[j.Account].Add(ResourcesOf(step), -1)
	if s.usage[j.Account] == (Usage{}) {
		delete(s.usage, j.Account)
	}
	j.runs--
}

// updateRuns records jobs that have begun, runs that are listed and ends of runs, then
// starts. The result lists the indices of the starts that were refused, and the tasks that
// were given up after crashes.
func (s *State) updateRuns(logTimeMS int64, cmd *apiv1.UpdateRuns) *apiv1.UpdateRunsResult {
	res := &apiv1.UpdateRunsResult{}
	for _, id := range cmd.BegunJobIds {
		if j := s.jobs[id]; j != nil {
			j.markBegun()
		}
	}
	s.markListed(cmd.Listed)
	causes := s.crashesOf(cmd.Ends)
	for _, e := range cmd.Ends {
		if s.endRun(logTimeMS, e, causes) {
			res.GivenUp = append(res.GivenUp, e.Task)
		}
	}
	res.Refused = s.startRuns(logTimeMS, cmd)
	return res
}

// endRun records the end of a run, and reports whether its job failed because too
// many minions had crashed under the task. It does nothing for a run that is not
// active, since its end was recorded before. causes holds which tasks may
// have crashed the incarnations that have.
func (s *State) endRun(logTimeMS int64, e *apiv1.EndedRun, causes map[Incarnation]crashCauses) (givenUp bool) {
	ref := RefOf(e.Task)
	j := s.jobs[ref.Job]
	if j == nil {
		return false
	}
	step, st, task := j.task(ref)
	if task == nil {
		return false
	}
	i := slices.IndexFunc(task.Runs, func(r *apiv1.BatchRun) bool { return r.Number == e.Run })
	if i < 0 {
		return false
	}
	run := task.Runs[i]
	if showsBegun(e.End) {
		j.markBegun()
	}
	s.untrack(j, ref, run)
	s.recordUse(logTimeMS, j, step, run)
	before := progressOf(task)
	task.Runs = slices.Delete(task.Runs, i, i+1)
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
		st.GangCheckpoint = e.Checkpoint
	}
	switch e.End {
	case apiv1.RunEnd_RUN_END_DONE:
		s.finishTask(logTimeMS, j, step, st, task)
	case apiv1.RunEnd_RUN_END_FAILED:
		s.failTask(logTimeMS, j, step, st, task, e.Run)
	}
	givenUp = s.countCrash(logTimeMS, st, &ActiveRun{Job: j, Ref: ref, Step: step, Task: task, Run: run}, e.End, causes[IncarnationOf(run.Minion)])
	recordWait(logTimeMS, step, st, task, e.End)
	if step.Gang {
		j.recount(ref.Occurrence, ref.Step) // one end may make all members done
	} else {
		j.adjust(ref.Occurrence, ref.Step, before, task)
	}
	s.compact(j)
	return givenUp
}

// finishTask marks a task done after one of its runs was done. One member that
// is done makes its whole gang (tasks of a step that run only together) done. A
// task of a long-running step is never done: it starts again however its run
// ended.
func (s *State) finishTask(logTimeMS int64, j *Job, step *apiv1.BatchStep, st *apiv1.BatchStepState, task *apiv1.BatchTask) {
	if step.LongRunning {
		return
	}
	tasks := []*apiv1.BatchTask{task}
	if step.Gang {
		tasks = st.Tasks
	}
	for _, t := range tasks {
		if !t.Done {
			t.Done = true
			j.remaining--
		}
		for _, run := range t.Runs {
			s.markChanged(IncarnationOf(run.Minion))
		}
	}
	s.endIfComplete(logTimeMS, j)
}

// failTask counts a failed run against its task or, if the step is a gang (its
// tasks run only together, under one run number), against the gang. A gang's
// failures count once per run number; late failures of earlier numbers are not
// counted. The job fails when the count reaches maxAttempts. Failures in
// long-running steps are not counted.
func (s *State) failTask(logTimeMS int64, j *Job, step *apiv1.BatchStep, st *apiv1.BatchStepState, task *apiv1.BatchTask, run uint32) {
	if step.LongRunning || task.Done {
		return
	}
	failures := &task.Failures
	if step.Gang {
		if run <= st.GangFailedRun {
			return
		}
		st.GangFailedRun = run
		failures = &st.GangFailures
	}
	*failures++
	if *failures >= maxAttempts(j) && !Ended(j.State) {
		s.endJob(logTimeMS, j, apiv1.BatchState_BATCH_STATE_FAILED)
	}
}

// maxAttempts returns the number of failed runs of one task at which the job
// fails, at least 1.
func maxAttempts(j *Job) uint32 { return max(j.AcceptedQueue.GetMaxAttempts(), 1) }

// String returns the form used in logs and status pages, which is
// job.occurrence.step.index#number.
func (k RunKey) String() string { return fmt.Sprintf("%s#%d", k.TaskRef, k.Number) }
