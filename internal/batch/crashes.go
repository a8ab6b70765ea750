package batch

import apiv1 "bergamotdrum.example/bergamotdrum/api/v1"

const (
	// MaxCrashes is the number of crashes of minions (worker processes) under one
	// task, or one gang, at which its job fails. A task that only shared a minion
	// with the cause of two crashes is not given up, and at the third, two more
	// crashes that were not recognized still end with fewer than three starts after
	// three crashes.
	MaxCrashes = 3
	// youngRunMS is the age of a run of a long-running step from which a crash is
	// not attributed to its task. A crash may be detected only when the minion's
	// lease ends, which takes 10 s at most.
	youngRunMS = 20_000
)

// Crashes returns how often a minion has crashed under the task or, if its step is
// a gang (its tasks run only together), under the gang. It is zero for a task that
// has not begun, and once the job has ended and has no runs left.
func (j *Job) Crashes(ref TaskRef) uint32 {
	o := j.occurrences[ref.Occurrence]
	if o == nil {
		return 0
	}
	st := o.Steps[ref.Step]
	if j.Steps[ref.Step].Gang {
		return st.GangCrashes
	}
	return st.Tasks[ref.Index].Crashes
}

// countCrash updates the crash count of a task, or of its gang, after the end of
// a run, and reports whether the job failed because the count reached MaxCrashes.
// A gang's crashes count once per run number. A long-running task runs until its
// job is canceled, so unrelated crashes hit it in time: only those of young runs
// count, and a run that was not young sets the count back to zero.
func (s *State) countCrash(logTimeMS int64, j *Job, step *apiv1.BatchStep, st *apiv1.BatchStepState, task *apiv1.BatchTask, run *apiv1.BatchRun, end apiv1.RunEnd) bool {
	crashes := &task.Crashes
	if step.Gang {
		crashes = &st.GangCrashes
	}
	if step.LongRunning && end != apiv1.RunEnd_RUN_END_NOT_STARTED && logTimeMS-run.StartedUnixMs >= youngRunMS {
		*crashes = 0
		return false
	}
	if end != apiv1.RunEnd_RUN_END_CRASHED || task.Done || step.Gang && run.Number <= st.GangCrashedRun {
		return false
	}
	if step.Gang {
		st.GangCrashedRun = run.Number
	}
	*crashes++
	if *crashes < MaxCrashes || Ended(j.State) {
		return false
	}
	s.endJob(logTimeMS, j, apiv1.BatchState_BATCH_STATE_FAILED)
	return true
}
