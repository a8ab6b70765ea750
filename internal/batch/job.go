package batch

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Job is a job with what is derived from it.
type Job struct {
	*apiv1.BatchJob
	occurrences map[uint32]*apiv1.BatchOccurrence
	progress    map[uint32][]Progress
	// remaining counts the tasks of all occurrences that are not done.
	remaining int
	// runs counts the runs that have not ended.
	runs int
}

func newJob(j *apiv1.BatchJob) *Job {
	job := &Job{BatchJob: j, occurrences: map[uint32]*apiv1.BatchOccurrence{}, progress: map[uint32][]Progress{}}
	for _, s := range j.Steps {
		job.remaining += int(s.Count)
	}
	job.remaining *= int(job.Repeats())
	return job
}

// Repeats returns the number of occurrences, at least one.
func (j *Job) Repeats() uint32 { return max(j.Repetitions, 1) }

// DueMS returns when an occurrence is due, in Unix milliseconds.
func (j *Job) DueMS(occurrence uint32) int64 {
	if j.Repetitions == 0 {
		return j.SubmittedUnixMs
	}
	return j.FirstDueUnixMs + int64(occurrence)*int64(j.IntervalMs)
}

// IsDue tells whether an occurrence may start. A job without a schedule is due
// at once: its submission has log time, which may be ahead of a clock that
// stepped back.
func (j *Job) IsDue(occurrence uint32, nowUnixMS int64) bool {
	return j.Repetitions == 0 || j.DueMS(occurrence) <= nowUnixMS
}

// Occurrence returns an occurrence that has begun, nil otherwise.
func (j *Job) Occurrence(number uint32) *apiv1.BatchOccurrence { return j.occurrences[number] }

// Runs returns the number of runs that have not ended.
func (j *Job) Runs() int { return j.runs }

func (j *Job) begin(number uint32) *apiv1.BatchOccurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	o := &apiv1.BatchOccurrence{Number: number}
	for _, step := range j.Steps {
		st := &apiv1.BatchStepState{}
		for range step.Count {
			st.Tasks = append(st.Tasks, &apiv1.BatchTask{})
		}
		o.Steps = append(o.Steps, st)
	}
	j.occurrences[number] = o
	j.Occurrences = append(j.Occurrences, o)
	return o
}

// task returns a task of the job, nil when the reference does not fit it.
func (j *Job) task(ref TaskRef) (*apiv1.BatchStep, *apiv1.BatchStepState, *apiv1.BatchTask) {
	if int(ref.Step) >= len(j.Steps) || ref.Occurrence >= j.Repeats() {
		return nil, nil, nil
	}
	step := j.Steps[ref.Step]
	if ref.Index >= step.Count {
		return nil, nil, nil
	}
	st := j.begin(ref.Occurrence).Steps[ref.Step]
	return step, st, st.Tasks[ref.Index]
}

// StepReady tells whether all predecessors of a step are done.
func (j *Job) StepReady(occurrence, step uint32) bool {
	for _, before := range j.Steps[step].After {
		if !j.stepDone(occurrence, before) {
			return false
		}
	}
	return true
}

func (j *Job) stepDone(occurrence, step uint32) bool {
	return j.Progress(occurrence, step).Done == j.Steps[step].Count
}

// Ended tells whether a state is final.
func Ended(s apiv1.BatchState) bool { return s >= apiv1.BatchState_BATCH_STATE_COMPLETED }

func compareSubmission(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.SubmittedUnixMs, b.SubmittedUnixMs), cmp.Compare(a.Id, b.Id))
}

// Job returns a job by id, nil when it is not known.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Active returns the jobs that have not ended, oldest first. The caller must
// not change the slice.
func (s *State) Active() []*Job { return s.active }

// Waiting counts the jobs of a queue for which no task has started.
func (s *State) Waiting(queue string) uint32 {
	n := uint32(0)
	for _, j := range s.active {
		if j.Queue == queue && j.State == apiv1.BatchState_BATCH_STATE_QUEUED {
			n++
		}
	}
	return n
}

// submit accepts a job once; a resend of a known id changes nothing.
func (s *State) submit(logTimeMS int64, j *apiv1.BatchJob) *result.Error {
	if err := CheckJob(j); err != nil {
		return err
	}
	if s.jobs[j.Id] != nil {
		return nil
	}
	j.State = apiv1.BatchState_BATCH_STATE_QUEUED
	j.SubmittedUnixMs = logTimeMS
	job := newJob(j)
	s.jobs[j.Id] = job
	s.active = append(s.active, job)
	s.endIfComplete(logTimeMS, job)
	return nil
}

// maxTasks bounds one job: all of its tasks together with their repetitions.
const maxTasks = 100_000

// CheckJob refuses a job whose steps contradict each other.
func CheckJob(j *apiv1.BatchJob) *result.Error {
	tasks := uint64(0)
	for i, step := range j.Steps {
		tasks += uint64(step.Count)
		for _, before := range step.After {
			if int(before) >= i {
				return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "step %d of job %s depends on step %d, which is not earlier", i, j.Id, before)
			}
		}
	}
	if tasks*uint64(max(j.Repetitions, 1)) > maxTasks {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "job %s has more than %d tasks", j.Id, maxTasks)
	}
	return nil
}

// cancel ends a job. Its runs stay until the minions have stopped them.
func (s *State) cancel(logTimeMS int64, cmd *apiv1.CancelBatchJob) *result.Error {
	j := s.jobs[cmd.JobId]
	if j == nil || !j.VisibleTo(cmd.Account) && !cmd.AnyAccount {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "no job %s", cmd.JobId)
	}
	if !Ended(j.State) {
		s.end(logTimeMS, j, apiv1.BatchState_BATCH_STATE_CANCELED)
	}
	return nil
}

// VisibleTo tells whether an account may see and cancel the job. A job of an
// open queue that came without a key belongs to nobody.
func (j *Job) VisibleTo(account string) bool { return j.Account == "" || j.Account == account }

func (s *State) endIfComplete(logTimeMS int64, j *Job) {
	if j.remaining == 0 && !Ended(j.State) {
		s.end(logTimeMS, j, apiv1.BatchState_BATCH_STATE_COMPLETED)
	}
}

func (s *State) end(logTimeMS int64, j *Job, state apiv1.BatchState) {
	j.State = state
	j.EndedUnixMs = logTimeMS
	s.touchJob(j)
	s.active = slices.DeleteFunc(s.active, func(o *Job) bool { return o == j })
	j.compact()
}

// compact drops what an ended job without runs no longer needs.
func (j *Job) compact() {
	if !Ended(j.State) || j.runs > 0 {
		return
	}
	j.Specification, j.Steps, j.Occurrences, j.AcceptedQueue = "", nil, nil, nil
	j.remaining = 0
	clear(j.occurrences)
	clear(j.progress)
}

// forget drops jobs that ended before a log time and have no runs left.
func (s *State) forget(beforeMS int64) {
	for id, j := range s.jobs {
		if Ended(j.State) && j.EndedUnixMs < beforeMS && j.runs == 0 {
			delete(s.jobs, id)
		}
	}
}

// StepAndCheckpoint returns a task's step and the checkpoint that its next run
// resumes from; the step is nil when the job has no such task.
func (j *Job) StepAndCheckpoint(ref TaskRef) (*apiv1.BatchStep, string) {
	o := j.occurrences[ref.Occurrence]
	if o == nil || int(ref.Step) >= len(j.Steps) || ref.Index >= j.Steps[ref.Step].Count {
		return nil, ""
	}
	step, st := j.Steps[ref.Step], o.Steps[ref.Step]
	if step.Gang {
		return step, st.GangCheckpoint
	}
	return step, st.Tasks[ref.Index].Checkpoint
}
