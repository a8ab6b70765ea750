package batch

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Job is a job message with indexes and counters derived from it. A recurring
// job has several occurrences, which each run all of its steps; any other job
// has one. A step is a number of equal tasks; a run is one execution of a task
// on a minion, a worker process.
type Job struct {
	*apiv1.BatchJob
	// occurrences holds the occurrences that have begun, by number.
	occurrences map[uint32]*apiv1.BatchOccurrence
	// progress holds the progress of each step, by occurrence number.
	progress map[uint32][]Progress
	// remaining is the number of tasks, of all occurrences, that are not done.
	remaining int
	// runs is the number of runs that have not ended.
	runs int
	// footprint is the memory, in bytes, that counts for the job (see Footprint).
	footprint int64
}

// newJob returns a job of which no occurrence has begun.
func newJob(j *apiv1.BatchJob) *Job {
	job := &Job{BatchJob: j, occurrences: map[uint32]*apiv1.BatchOccurrence{}, progress: map[uint32][]Progress{}}
	for _, s := range j.Steps {
		job.remaining += int(s.Count)
	}
	job.remaining *= int(job.NumOccurrences())
	return job
}

// NumOccurrences returns the number of occurrences of the job, at least one.
func (j *Job) NumOccurrences() uint32 { return max(j.Repetitions, 1) }

// DueMS returns the time at which an occurrence is due, in Unix milliseconds.
func (j *Job) DueMS(occurrence uint32) int64 {
	if j.Repetitions == 0 {
		return j.SubmittedUnixMs
	}
	return j.FirstDueUnixMs + int64(occurrence)*int64(j.IntervalMs)
}

// IsDue reports whether an occurrence may start. A job without a schedule is
// always due. The job's submission time isn't compared with the clock, because
// it is a log time (the largest time that an applied command carries), which is
// ahead of a clock that stepped back.
func (j *Job) IsDue(occurrence uint32, nowUnixMS int64) bool {
	return j.Repetitions == 0 || j.DueMS(occurrence) <= nowUnixMS
}

// Occurrence returns the occurrence of that number, nil when it has not begun.
func (j *Job) Occurrence(number uint32) *apiv1.BatchOccurrence { return j.occurrences[number] }

// NumRuns returns the number of runs that have not ended.
func (j *Job) NumRuns() int { return j.runs }

// beginOccurrence returns the occurrence of that number and adds it when it has
// not begun.
func (j *Job) beginOccurrence(number uint32) *apiv1.BatchOccurrence {
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

// task returns a task with its step and begins its occurrence when needed. All
// results are nil when the job has no such task.
func (j *Job) task(ref TaskRef) (*apiv1.BatchStep, *apiv1.BatchStepState, *apiv1.BatchTask) {
	if int(ref.Step) >= len(j.Steps) || ref.Occurrence >= j.NumOccurrences() {
		return nil, nil, nil
	}
	step := j.Steps[ref.Step]
	if ref.Index >= step.Count {
		return nil, nil, nil
	}
	st := j.beginOccurrence(ref.Occurrence).Steps[ref.Step]
	return step, st, st.Tasks[ref.Index]
}

// StepReady reports whether all predecessors of a step are done.
func (j *Job) StepReady(occurrence, step uint32) bool {
	for _, predecessor := range j.Steps[step].After {
		if !j.stepDone(occurrence, predecessor) {
			return false
		}
	}
	return true
}

func (j *Job) stepDone(occurrence, step uint32) bool {
	return j.Progress(occurrence, step).Done == j.Steps[step].Count
}

// Ended reports whether a job in state s has ended: completed, failed or canceled.
func Ended(s apiv1.BatchState) bool { return s >= apiv1.BatchState_BATCH_STATE_COMPLETED }

// compareSubmission orders jobs by submission time, then by id.
func compareSubmission(a, b *Job) int {
	return cmp.Or(cmp.Compare(a.SubmittedUnixMs, b.SubmittedUnixMs), cmp.Compare(a.Id, b.Id))
}

// Job returns the job of that id, nil when it is not known.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// ActiveJobs returns the jobs that have not ended, oldest first. The caller must
// not change the slice.
func (s *State) ActiveJobs() []*Job { return s.active }

// QueuedJobs returns the number of jobs of a queue, by its name in the catalog in force,
// of which no minion is known to have begun a task.
func (s *State) QueuedJobs(queue string) uint32 {
	n := uint32(0)
	for _, j := range s.active {
		if j.State == apiv1.BatchState_BATCH_STATE_QUEUED && s.queueName(j) == queue {
			n++
		}
	}
	return n
}

// submit accepts a job. A duplicate submission, which has a known id, changes
// nothing. Errors are those of CheckJob.
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
	s.account(job, Footprint(j))
	s.endIfComplete(logTimeMS, job)
	return nil
}

// maxTasks is the limit on the tasks of one job, summed over all occurrences.
const maxTasks = 100_000

// CheckJob returns INVALID_ARGUMENT for a job with a step that depends on itself
// or a later step, and TOO_LARGE for one with more than maxTasks tasks. An occurrence
// counts as a task when it has none, because loops go over all occurrences.
func CheckJob(j *apiv1.BatchJob) *result.Error {
	tasks := uint64(0)
	for i, step := range j.Steps {
		if tasks += uint64(step.Count); tasks > maxTasks {
			return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "steps[%d].count of job %s: more than %d tasks", i, j.Id, maxTasks)
		}
		for _, predecessor := range step.After {
			if int(predecessor) >= i {
				return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "steps[%d].after of job %s: step %d is not earlier", i, j.Id, predecessor)
			}
		}
	}
	// Divided, since the product of the two may exceed what its type holds.
	if uint64(j.Repetitions) > maxTasks/max(tasks, 1) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "repetitions of job %s: %d of %d tasks are more than %d tasks", j.Id, j.Repetitions, tasks, maxTasks)
	}
	return nil
}

// cancel ends a job, whose runs keep their resources until the minions have
// stopped them. It returns JOB_NOT_FOUND for a job that the account may not see.
func (s *State) cancel(logTimeMS int64, cmd *apiv1.CancelBatchJob) *result.Error {
	j := s.jobs[cmd.JobId]
	if j == nil || !j.submittedBy(cmd.Account) && !cmd.AnyAccount {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "no job %s", cmd.JobId)
	}
	if !Ended(j.State) {
		s.endJob(logTimeMS, j, apiv1.BatchState_BATCH_STATE_CANCELED)
	}
	return nil
}

// endIfComplete ends a job as completed when none of its tasks remains.
func (s *State) endIfComplete(logTimeMS int64, j *Job) {
	if j.remaining == 0 && !Ended(j.State) {
		s.endJob(logTimeMS, j, apiv1.BatchState_BATCH_STATE_COMPLETED)
	}
}

// endJob moves a job into a final state.
func (s *State) endJob(logTimeMS int64, j *Job, state apiv1.BatchState) {
	j.State = state
	j.EndedUnixMs = logTimeMS
	s.markJobChanged(j)
	s.active = slices.DeleteFunc(s.active, func(o *Job) bool { return o == j })
	s.compact(j)
}

// compact drops the specification, steps and occurrences of a job that has ended
// and has no runs left. Of the accepted queue the address stays, by which queueOf
// finds the job's queue in later catalogs.
func (s *State) compact(j *Job) {
	if !Ended(j.State) || j.runs > 0 {
		return
	}
	j.Specification, j.Steps, j.Occurrences = "", nil, nil
	j.AcceptedQueue = s.catalog.addressOf(j.AcceptedQueue)
	j.remaining = 0
	j.occurrences, j.progress = nil, nil
	s.account(j, endedJobBytes)
}

// forgetJobs removes the jobs that ended before a log time, in Unix milliseconds,
// and have no runs left.
func (s *State) forgetJobs(beforeMS int64) {
	for id, j := range s.jobs {
		if Ended(j.State) && j.EndedUnixMs < beforeMS && j.runs == 0 {
			delete(s.jobs, id)
			s.account(j, 0)
		}
	}
	s.forgetLosses()
}

// StepAndCheckpoint returns a task's step and the checkpoint from which its next
// run resumes, empty when there is none. The step is nil when the job has no such
// task or the occurrence has not begun.
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
