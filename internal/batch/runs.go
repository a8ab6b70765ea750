package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// maxCopies bounds the runs of one speculative task at the same time.
const maxCopies = 2

// TaskRef identifies a task.
type TaskRef struct {
	Job                     string
	Occurrence, Step, Index uint32
}

// RefOf converts the message.
func RefOf(n *apiv1.TaskName) TaskRef {
	return TaskRef{Job: n.GetJobId(), Occurrence: n.GetOccurrence(), Step: n.GetStep(), Index: n.GetIndex()}
}

// Name converts the reference to its message.
func (r TaskRef) Name() *apiv1.TaskName {
	return &apiv1.TaskName{JobId: r.Job, Occurrence: r.Occurrence, Step: r.Step, Index: r.Index}
}

// StepRef returns the reference of the task's step: its first task.
func (r TaskRef) StepRef() TaskRef {
	r.Index = 0
	return r
}

// String returns the reference as logs and status pages show it.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", r.Job, r.Occurrence, r.Step, r.Index)
}

// RunKey identifies a run.
type RunKey struct {
	TaskRef
	Number uint32
}

func compareRuns(a, b RunKey) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index), cmp.Compare(a.Number, b.Number))
}

// Life identifies one incarnation of a minion.
type Life struct {
	ID     string
	BornMS int64
}

// LifeOf converts the message.
func LifeOf(m *apiv1.MinionLife) Life { return Life{ID: m.GetId(), BornMS: m.GetBornUnixMs()} }

// Message converts the life to its message.
func (l Life) Message() *apiv1.MinionLife {
	return &apiv1.MinionLife{Id: l.ID, BornUnixMs: l.BornMS}
}

// Usage is an amount of resources in use.
type Usage struct{ CPUMillis, MemoryMB, Accelerators int64 }

// NeedOf returns what a task of the step counts against its account.
func NeedOf(step *apiv1.BatchStep) Usage {
	return Usage{
		CPUMillis:    int64(step.GetResources().GetCpuMillis()),
		MemoryMB:     int64(step.GetResources().GetMemoryMb()),
		Accelerators: int64(step.GetResources().GetAccelerators()),
	}
}

// NeedOnMinion returns what a task of the step takes of its minion's capacity.
func NeedOnMinion(step *apiv1.BatchStep) Usage {
	u := NeedOf(step)
	if step.Fills {
		u.CPUMillis = 0
	}
	return u
}

// Add returns u + n*o.
func (u Usage) Add(o Usage, n int64) Usage {
	return Usage{u.CPUMillis + n*o.CPUMillis, u.MemoryMB + n*o.MemoryMB, u.Accelerators + n*o.Accelerators}
}

// Within tells whether u is at most the resources r.
func (u Usage) Within(r *apiv1.Resources) bool {
	return u.CPUMillis <= int64(r.GetCpuMillis()) && u.MemoryMB <= int64(r.GetMemoryMb()) && u.Accelerators <= int64(r.GetAccelerators())
}

// WithinLimit is Within for a limit whose zero fields don't limit.
func (u Usage) WithinLimit(r *apiv1.Resources) bool {
	fits := func(used int64, limit uint32) bool { return limit == 0 || used <= int64(limit) }
	return fits(u.CPUMillis, r.GetCpuMillis()) && fits(u.MemoryMB, r.GetMemoryMb()) && fits(u.Accelerators, r.GetAccelerators())
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

// Unwanted tells that the run has no purpose any more: its job has ended or
// another copy has done the task.
func (r *ActiveRun) Unwanted() bool { return Ended(r.Job.State) || r.Task.Done }

// Load is what runs on one life of a minion.
type Load struct {
	Used Usage
	// Revision differs whenever the runs, or whether they are wanted, differ.
	Revision uint64
	// LongRunningCPU is the cpu of the runs that do not end by themselves, in
	// thousandths of a core.
	LongRunningCPU int64
	runs           map[RunKey]*ActiveRun
	// ofStep counts the runs of each step's occurrence.
	ofStep  map[TaskRef]uint32
	lasting int
}

// Each calls fn for each run, in no order.
func (l *Load) Each(fn func(*ActiveRun)) {
	if l == nil {
		return
	}
	for _, r := range l.runs {
		fn(r)
	}
}

func (l *Load) add(key RunKey, r *ActiveRun, sign int64) {
	need := NeedOnMinion(r.Step)
	l.Used = l.Used.Add(need, sign)
	l.ofStep[key.StepRef()] += uint32(sign)
	if l.ofStep[key.StepRef()] == 0 {
		delete(l.ofStep, key.StepRef())
	}
	if r.Step.LongRunning {
		l.LongRunningCPU += sign * need.CPUMillis
		l.lasting += int(sign)
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

// HasLongRunning tells whether a run does not end by itself.
func (l *Load) HasLongRunning() bool {
	return l != nil && l.lasting > 0
}

// OfStep counts the runs of a step's occurrence.
func (l *Load) OfStep(ref TaskRef) uint32 {
	if l == nil {
		return 0
	}
	return l.ofStep[ref.StepRef()]
}

// LoadOf returns the load of a life, nil when nothing runs on it.
func (s *State) LoadOf(l Life) *Load { return s.lives[l] }

// LoadedLives returns all lives that have runs.
func (s *State) LoadedLives() []Life {
	out := slices.Collect(maps.Keys(s.lives))
	slices.SortFunc(out, func(a, b Life) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.BornMS, b.BornMS)) })
	return out
}

// RunningOf returns what an account has running.
func (s *State) RunningOf(account string) Usage { return s.running[account] }

func (s *State) track(j *Job, ref TaskRef, task *apiv1.BatchTask, run *apiv1.BatchRun) {
	life := LifeOf(run.Minion)
	load := s.lives[life]
	if load == nil {
		load = &Load{runs: map[RunKey]*ActiveRun{}, ofStep: map[TaskRef]uint32{}}
		s.lives[life] = load
	}
	step := j.Steps[ref.Step]
	active := &ActiveRun{Job: j, Ref: ref, Step: step, Task: task, Run: run}
	key := RunKey{ref, run.Number}
	load.runs[key] = active
	load.add(key, active, 1)
	s.touch(life)
	s.running[j.Account] = s.running[j.Account].Add(NeedOf(step), 1)
	j.runs++
}

func (s *State) untrack(j *Job, ref TaskRef, run *apiv1.BatchRun) {
	life := LifeOf(run.Minion)
	load := s.lives[life]
	step := j.Steps[ref.Step]
	key := RunKey{ref, run.Number}
	load.add(key, load.runs[key], -1)
	delete(load.runs, key)
	s.touch(life)
	if len(load.runs) == 0 {
		delete(s.lives, life)
	}
	s.running[j.Account] = s.running[j.Account].Add(NeedOf(step), -1)
	if s.running[j.Account] == (Usage{}) {
		delete(s.running, j.Account)
	}
	j.runs--
}

func (s *State) updateRuns(logTimeMS int64, cmd *apiv1.UpdateRuns) *apiv1.UpdateRunsResult {
	for _, e := range cmd.Ends {
		s.endRun(logTimeMS, e)
	}
	res := &apiv1.UpdateRunsResult{}
	refusedGangs := map[TaskRef]bool{}
	for i, st := range cmd.Starts {
		if reason := s.startRun(logTimeMS, cmd.Term, st, refusedGangs); reason != "" {
			res.Refused = append(res.Refused, uint32(i))
		}
	}
	return res
}

// endRun records the end of a run; a run that is not active was recorded
// before.
func (s *State) endRun(logTimeMS int64, e *apiv1.EndedRun) {
	ref := RefOf(e.Task)
	j := s.jobs[ref.Job]
	if j == nil {
		return
	}
	step, st, task := j.task(ref)
	if task == nil {
		return
	}
	i := slices.IndexFunc(task.Runs, func(r *apiv1.BatchRun) bool { return r.Number == e.Run })
	if i < 0 {
		return
	}
	s.untrack(j, ref, task.Runs[i])
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
	j.recount(ref.Occurrence, ref.Step)
	j.compact()
}

// finishTask marks a task done, and with one member the whole gang. A
// long-running task starts again however it ended.
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
		for _, copied := range t.Runs {
			s.touch(LifeOf(copied.Minion))
		}
	}
	s.endIfComplete(logTimeMS, j)
}

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
		s.end(logTimeMS, j, apiv1.BatchState_BATCH_STATE_FAILED)
	}
}

func maxAttempts(j *Job) uint32 { return max(j.AcceptedQueue.GetMaxAttempts(), 1) }

// String returns the run as logs and status pages show it.
func (k RunKey) String() string { return fmt.Sprintf("%s#%d", k.TaskRef, k.Number) }
