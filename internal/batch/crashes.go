package batch

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// IsolationCrashes is the number of crashes of minions (worker processes) under one
	// task, or one gang, from which it is to run without others beside it.
	IsolationCrashes = 2
	// MaxCrashes is the number of crashes under one task, or gang, at which its job
	// fails. A task that only shared a minion with the cause of two crashes is not given
	// up, and at the third, two more crashes that were not recognized still end with
	// fewer than three starts after three crashes.
	MaxCrashes = 3
	// maxSharedCrashes takes the place of MaxCrashes when another task may have caused
	// the last crash. It leaves room for one crash that was not recognized.
	maxSharedCrashes = 4
	// maxLosses is the number of crashes and unexplained losses of minions under one
	// task, or gang, at which its job fails in any case. A minion that was cut off answers
	// again later, so this many losses that stay unexplained are crashes.
	maxLosses = 5
	// youngRunMS is the age of a run of a long-running step from which a crash is
	// not attributed to its task. A crash may be detected only when the minion's
	// lease ends, which takes 10 s at most.
	youngRunMS = 20_000
)

// crashRecord is what is known of the minions that ended under a task or gang.
type crashRecord struct {
	crashes *uint32
	lostOn  *[]*apiv1.MinionLife
}

func recordOf(step *apiv1.BatchStep, st *apiv1.BatchStepState, task *apiv1.BatchTask) crashRecord {
	if step.Gang {
		return crashRecord{&st.GangCrashes, &st.GangLostOn}
	}
	return crashRecord{&task.Crashes, &task.LostOn}
}

// possible returns the number of crashes and unexplained losses.
func (r crashRecord) possible() uint32 { return *r.crashes + uint32(len(*r.lostOn)) }

// Crashes returns how many minions have crashed under the task, or may have: those
// that were lost for an unknown reason and didn't answer again count too. For a gang (a
// step whose tasks run only together) it counts those under the gang. It is zero for
// a task that has not begun, and once the job has ended and has no runs left.
func (j *Job) Crashes(ref TaskRef) uint32 {
	o := j.occurrences[ref.Occurrence]
	if o == nil {
		return 0
	}
	st := o.Steps[ref.Step]
	return CrashesUnder(j.Steps[ref.Step], st, st.Tasks[ref.Index])
}

// CrashesUnder is like Job.Crashes for a task whose state is at hand.
func CrashesUnder(step *apiv1.BatchStep, st *apiv1.BatchStepState, task *apiv1.BatchTask) uint32 {
	return recordOf(step, st, task).possible()
}

// AnyCrashes reports whether minions have crashed, or may have, under any task of a step.
func (j *Job) AnyCrashes(occurrence, step uint32) bool {
	o := j.occurrences[occurrence]
	if o == nil {
		return false
	}
	st := o.Steps[step]
	return slices.ContainsFunc(st.Tasks, func(t *apiv1.BatchTask) bool { return CrashesUnder(j.Steps[step], st, t) > 0 })
}

// crashCauses is which tasks may have caused the crash of an incarnation, one lifetime of a
// minion's process: those to isolate, a gang as one, that started there last. A task that
// crashes its minions does so as it starts.
type crashCauses struct {
	// sinceMS is the log time, in Unix milliseconds, from which they started.
	sinceMS int64
	tasks   int
}

// lastStartsMS is the time between the starts of tasks that all count as the last: their
// orders are sent later than that is recorded, and in any order.
const lastStartsMS = 1_000

// include reports whether the task to isolate of a run may have caused the crash.
func (c crashCauses) include(run *apiv1.BatchRun) bool { return run.StartedUnixMs >= c.sinceMS }

// IsYoung reports whether a run that ends at a log time, in Unix milliseconds, is young.
// If it isn't and its step is long-running, its end clears the task's crash record.
func (r *ActiveRun) IsYoung(logTimeMS int64) bool {
	return logTimeMS-r.Run.StartedUnixMs < youngRunMS
}

// causesOf returns the possible causes of a crash among the runs on an incarnation.
func (s *State) causesOf(incarnation Incarnation) crashCauses {
	startsMS := map[TaskRef]int64{}
	latestMS := int64(0)
	s.loads[incarnation].Each(func(r *ActiveRun) {
		if r.Obsolete() || r.Job.Crashes(r.Ref) < IsolationCrashes {
			return
		}
		ref := r.Ref
		if r.Step.Gang {
			ref = ref.StepRef()
		}
		startsMS[ref] = max(startsMS[ref], r.Run.StartedUnixMs)
		latestMS = max(latestMS, r.Run.StartedUnixMs)
	})
	causes := crashCauses{sinceMS: latestMS - lastStartsMS}
	for _, ms := range startsMS {
		if ms >= causes.sinceMS {
			causes.tasks++
		}
	}
	return causes
}

// crashesOf returns the possible causes of the crashes that the ends report, by
// incarnation. It is called before the ends are recorded.
func (s *State) crashesOf(ends []*apiv1.EndedRun) map[Incarnation]crashCauses {
	causes := map[Incarnation]crashCauses{}
	for _, e := range ends {
		ref := RefOf(e.Task)
		j := s.jobs[ref.Job]
		if e.End != apiv1.RunEnd_RUN_END_CRASHED || j == nil {
			continue
		}
		_, _, task := j.task(ref)
		for _, run := range task.GetRuns() {
			inc := IncarnationOf(run.Minion)
			if _, known := causes[inc]; !known && run.Number == e.Run {
				causes[inc] = s.causesOf(inc)
			}
		}
	}
	return causes
}

// countCrash updates the crash record of a task, or of its gang, after the end of
// a run, and reports whether the job failed because there were too many. The ends
// of a gang's runs count once per run number. A long-running task runs until its
// job is canceled, so unrelated crashes hit it in time: only those of young runs
// count, a run that was not young clears the record, and the job fails only at
// maxLosses.
func (s *State) countCrash(logTimeMS int64, st *apiv1.BatchStepState, r *ActiveRun, end apiv1.RunEnd, causes crashCauses) bool {
	record := recordOf(r.Step, st, r.Task)
	if r.Step.LongRunning && end != apiv1.RunEnd_RUN_END_NOT_STARTED && !r.IsYoung(logTimeMS) {
		*record.crashes, *record.lostOn = 0, nil
		return false
	}
	counts := end == apiv1.RunEnd_RUN_END_CRASHED || end == apiv1.RunEnd_RUN_END_MINION_LOST
	if record.possible() >= IsolationCrashes && !causes.include(r.Run) {
		return false // a neighbor of the cause
	}
	if !counts || r.Task.Done || r.Step.Gang && r.Run.Number <= st.GangCrashedRun {
		return false
	}
	if r.Step.Gang {
		st.GangCrashedRun = r.Run.Number
	}
	if end == apiv1.RunEnd_RUN_END_CRASHED {
		*record.crashes++
	} else {
		*record.lostOn = append(*record.lostOn, r.Run.Minion)
		s.addLoss(r.Ref, r.Run.Minion)
	}
	limit := uint32(MaxCrashes)
	if causes.tasks > 1 {
		limit = maxSharedCrashes
	}
	if Ended(r.Job.State) || (r.Step.LongRunning || *record.crashes < limit) && record.possible() < maxLosses {
		return false
	}
	s.endJob(logTimeMS, r.Job, apiv1.BatchState_BATCH_STATE_FAILED)
	return true
}

// recordWait records since when a task waits under which minions have crashed, or may
// have. A run that never started doesn't end the wait before it.
func recordWait(logTimeMS int64, step *apiv1.BatchStep, st *apiv1.BatchStepState, task *apiv1.BatchTask, end apiv1.RunEnd) {
	if end != apiv1.RunEnd_RUN_END_NOT_STARTED && CrashesUnder(step, st, task) > 0 {
		task.WaitingSinceUnixMs = logTimeMS
	}
}

// WaitingSinceMS returns the log time, in Unix milliseconds, since when a waiting task
// with crashes has no run; for a gang (a step whose tasks run only together) it is that
// of the task whose run ended last. It is zero when the time isn't known.
func (j *Job) WaitingSinceMS(ref TaskRef) int64 {
	o := j.occurrences[ref.Occurrence]
	if o == nil {
		return 0
	}
	tasks := o.Steps[ref.Step].Tasks
	if !j.Steps[ref.Step].Gang {
		return tasks[ref.Index].WaitingSinceUnixMs
	}
	since := int64(0)
	for _, t := range tasks {
		since = max(since, t.WaitingSinceUnixMs)
	}
	return since
}

// addLoss indexes the unexplained loss of a minion under a task.
func (s *State) addLoss(ref TaskRef, minion *apiv1.MinionLife) {
	incarnation := IncarnationOf(minion)
	s.losses[incarnation] = append(s.losses[incarnation], ref)
}

// clearLosses removes an incarnation that answered again from the crash records: it
// was only cut off or suspended.
func (s *State) clearLosses(incarnation Incarnation) {
	for _, ref := range s.losses[incarnation] {
		j := s.jobs[ref.Job]
		if j == nil || j.occurrences[ref.Occurrence] == nil {
			continue // the job has ended
		}
		record := recordOf(j.task(ref))
		*record.lostOn = slices.DeleteFunc(*record.lostOn, func(m *apiv1.MinionLife) bool { return IncarnationOf(m) == incarnation })
	}
	delete(s.losses, incarnation)
}

// forgetLosses drops the index entries of jobs that are forgotten.
func (s *State) forgetLosses() {
	for incarnation, refs := range s.losses {
		refs = slices.DeleteFunc(refs, func(r TaskRef) bool { return s.jobs[r.Job] == nil })
		s.losses[incarnation] = refs
		if len(refs) == 0 {
			delete(s.losses, incarnation)
		}
	}
}

// restoreLosses indexes the losses under a task of a restored job.
func (s *State) restoreLosses(ref TaskRef, st *apiv1.BatchStepState, task *apiv1.BatchTask) {
	lost := task.LostOn
	if ref.Index == 0 {
		lost = slices.Concat(lost, st.GangLostOn)
	}
	for _, m := range lost {
		s.addLoss(ref, m)
	}
}

// HasLosses reports whether unexplained losses of an incarnation, one lifetime of a
// minion's process, count against tasks.
func (s *State) HasLosses(incarnation Incarnation) bool { return len(s.losses[incarnation]) > 0 }
