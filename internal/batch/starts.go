package batch

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// startRuns records starts and returns the indices of those that are refused. The
// members of a gang (a step whose tasks start together) start in one command, all
// or none: once a member is refused, those before it are taken back.
func (s *State) startRuns(logTimeMS int64, cmd *apiv1.UpdateRuns) []uint32 {
	refusedGangs := map[TaskRef]bool{}
	started := make([]bool, len(cmd.Starts))
	for i, st := range cmd.Starts {
		started[i] = s.startRun(logTimeMS, cmd, st, refusedGangs) == ""
	}
	var refused []uint32
	for i, st := range cmd.Starts {
		if started[i] && refusedGangs[RefOf(st.Task).StepRef()] {
			s.endRun(logTimeMS, &apiv1.EndedRun{Task: st.Task, Run: st.Run, End: apiv1.RunEnd_RUN_END_NOT_STARTED}, nil)
			started[i] = false
		}
		if !started[i] {
			refused = append(refused, uint32(i))
		}
	}
	return refused
}

// startRun records the start of one run (one execution of a task on a minion, a
// worker process) and returns an empty string, or returns the reason for which
// the start is refused. The result of the command only lists which starts were
// refused. Once a member of a gang is refused, startRun notes the gang, by its
// StepRef, in refusedGangs and refuses the gang's later members too.
func (s *State) startRun(logTimeMS int64, cmd *apiv1.UpdateRuns, st *apiv1.StartedRun, refusedGangs map[TaskRef]bool) string {
	ref := RefOf(st.Task)
	j := s.jobs[ref.Job]
	if j == nil || Ended(j.State) {
		return "job has ended"
	}
	step, _, task := j.task(ref)
	if task == nil {
		return "no such task"
	}
	gang := ref.StepRef()
	reason := s.taskRefusal(j, ref, step, task, st.Run)
	if reason == "" {
		reason = s.minionRefusal(j, ref, step, IncarnationOf(st.Minion))
	}
	if reason == "" && refusedGangs[gang] {
		reason = "another member of the gang was refused"
	}
	if reason != "" {
		refusedGangs[gang] = step.Gang
		return reason
	}
	run := &apiv1.BatchRun{Number: st.Run, Minion: st.Minion, StartedUnixMs: logTimeMS, Term: cmd.Term}
	before := progressOf(task)
	task.Runs = append(task.Runs, run)
	task.LastRun = st.Run
	s.track(j, ref, task, run)
	j.adjust(ref.Occurrence, ref.Step, before, task)
	if !cmd.ReportsBegun {
		j.markBegun()
	}
	return ""
}

// taskRefusal returns why the state of the task or its step forbids the run,
// empty when it doesn't.
func (s *State) taskRefusal(j *Job, ref TaskRef, step *apiv1.BatchStep, task *apiv1.BatchTask, run uint32) string {
	copies := 1
	if step.Speculative {
		copies = maxCopies
	}
	switch {
	case task.Done:
		return "task is done"
	case len(task.Runs) >= copies:
		return "task is already running"
	case run <= task.LastRun:
		return "run number is already used"
	case !j.StepReady(ref.Occurrence, ref.Step):
		return "an earlier step is not done"
	}
	return ""
}

// minionRefusal returns why a task of the step must not start on the incarnation
// (one lifetime of a minion's process), empty when it may. It also checks the
// limit of the job's account.
func (s *State) minionRefusal(j *Job, ref TaskRef, step *apiv1.BatchStep, incarnation Incarnation) string {
	m := s.minions[incarnation.ID]
	if m == nil || IncarnationOf(m.Life) != incarnation {
		return "minion is not known"
	}
	if reason := s.Exclusion(j, step, m); reason != "" {
		return reason
	}
	load := s.loads[incarnation]
	var used Usage
	if load != nil {
		used = load.Used
	}
	switch {
	case step.MaxPerMinion > 0 && load.StepRuns(ref) >= step.MaxPerMinion:
		return "minion runs max_per_minion tasks of the step"
	case !used.Add(ResourcesOnMinion(step), 1).Within(m.Capacity):
		return "minion lacks capacity"
	case !s.AccountAllows(j, step, Usage{}):
		return "account is at its limit"
	}
	return ""
}

// Exclusion returns why no task of the step may start on the minion, whatever runs
// there, empty when nothing rules it out.
func (s *State) Exclusion(j *Job, step *apiv1.BatchStep, m *apiv1.BatchMinion) string {
	switch {
	case m.Draining:
		return "minion is draining"
	case s.zonesOut[m.AvailabilityZone]:
		return "zone is out of service"
	case m.Pool != s.QueueOf(j).GetPool():
		return "minion is in another pool"
	case step.RequiredLabel != "" && !slices.Contains(m.Labels, step.RequiredLabel):
		return "minion lacks the required label"
	}
	return ""
}

// AccountAllows reports whether the limit of the job's account allows to start a task of
// the step (see Usage.Allows) when the account's tasks use change more than now. An
// account that the published catalog (of queues, pools and client accounts) doesn't have
// is not limited.
func (s *State) AccountAllows(j *Job, step *apiv1.BatchStep, change Usage) bool {
	a := s.catalog.accounts[j.Account]
	return a == nil || s.usage[j.Account].Add(change, 1).Allows(ResourcesOf(step), a.Limit)
}
