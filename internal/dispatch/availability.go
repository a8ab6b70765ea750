package dispatch

import (
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// fullSpeed is the work percent of a task that serves without restraint; it is
// less while the task starts up.
const fullSpeed = 100

// taskAvailability tells which long-running tasks are at work.
type taskAvailability struct {
	// available tasks run at full speed on a minion that answers.
	available map[batch.TaskRef]bool
	// unavailable counts the other tasks of each step.
	unavailable map[batch.TaskRef]int
	// responsive lives answered lately: what they don't report at work is not.
	responsive map[batch.Incarnation]bool
}

// allowsMaintenance tells whether the machine may go without a step missing more tasks
// than it may.
func (t taskAvailability) allowsMaintenance(l machineLoad) bool {
	for _, s := range l.steps {
		if t.unavailable[s.step]+len(s.runs) > s.maxUnavailable {
			return false
		}
	}
	return true
}

// take counts the tasks of a machine that goes as away.
func (t taskAvailability) markUnavailable(l machineLoad) {
	for _, s := range l.steps {
		t.unavailable[s.step] += len(s.runs)
	}
}

// nextRelocation returns a task to move away first, of a step that has too many on the
// machine and may miss one, and counts it as away.
func (t taskAvailability) nextRelocation(l machineLoad) (batch.RunKey, bool) {
	for _, s := range l.steps {
		if len(s.runs) > s.maxUnavailable && t.unavailable[s.step] < s.maxUnavailable {
			t.unavailable[s.step]++
			return s.runs[0], true
		}
	}
	return batch.RunKey{}, false
}

func (f *fleetManager) taskAvailability() taskAvailability {
	if !f.wavesOpen() {
		return taskAvailability{}
	}
	t := taskAvailability{available: f.availableTasks(), unavailable: map[batch.TaskRef]int{}, responsive: f.usableIncarnations(f.d.clock.Now())}
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, j := range st.Batch.ActiveJobs() {
			countUnavailable(j, t.available, t.unavailable)
		}
	})
	return t
}

func countUnavailable(j *batch.Job, available map[batch.TaskRef]bool, unavailable map[batch.TaskRef]int) {
	for k := range j.NumOccurrences() {
		if j.Occurrence(k) == nil {
			continue
		}
		for s, step := range j.Steps {
			if !step.LongRunning {
				continue
			}
			stepRef := batch.TaskRef{Job: j.Id, Occurrence: k, Step: uint32(s)}
			for i := range step.Count {
				task := stepRef
				task.Index = i
				if !available[task] {
					unavailable[stepRef]++
				}
			}
		}
	}
}

// availableTasks lists the long-running tasks that work at full speed, are not
// being stopped, and whose machine has no service order on its way.
func (f *fleetManager) availableTasks() map[batch.TaskRef]bool {
	now := f.d.clock.Now()
	out := map[batch.TaskRef]bool{}
	ordered := map[batch.Incarnation]bool{}
	for _, machine := range f.orders.pendingMachines() {
		ordered[f.maintainedIncarnation[machine]] = true
	}
	for _, s := range f.d.sessionList() {
		if !s.usable(now) || ordered[s.target.Incarnation] {
			continue
		}
		s.mu.Lock()
		for key, o := range s.orders {
			if o.longRunning && o.state == orderStarted && !o.released && !o.stopRequested && o.lastStatus.SpeedPercent >= fullSpeed {
				out[key.TaskRef] = true
			}
		}
		s.mu.Unlock()
	}
	return out
}
