package dispatch

import (
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// fullWork is the work percent of a task that serves without restraint; it is
// less while the task starts up.
const fullWork = 100

// taskAvailability tells which long-running tasks are at work.
type taskAvailability struct {
	// working tasks run at full speed on a minion that answers.
	working map[batch.TaskRef]bool
	// away counts the other tasks of each step.
	away map[batch.TaskRef]int
	// heard lives answered lately: what they don't report at work is not.
	heard map[batch.Incarnation]bool
}

// allows tells whether the machine may go without a step missing more tasks
// than it may.
func (t taskAvailability) allows(l machineLoad) bool {
	for _, s := range l.steps {
		if t.away[s.step]+len(s.runs) > s.limit {
			return false
		}
	}
	return true
}

// take counts the tasks of a machine that goes as away.
func (t taskAvailability) take(l machineLoad) {
	for _, s := range l.steps {
		t.away[s.step] += len(s.runs)
	}
}

// surplus returns a task to move away first, of a step that has too many on the
// machine and may miss one, and counts it as away.
func (t taskAvailability) surplus(l machineLoad) (batch.RunKey, bool) {
	for _, s := range l.steps {
		if len(s.runs) > s.limit && t.away[s.step] < s.limit {
			t.away[s.step]++
			return s.runs[0], true
		}
	}
	return batch.RunKey{}, false
}

func (f *fleetManager) taskAvailability() taskAvailability {
	if !f.wavesOpen() {
		return taskAvailability{}
	}
	t := taskAvailability{working: f.workingRuns(), away: map[batch.TaskRef]int{}, heard: f.usableLives(f.d.clock.Now())}
	f.d.o.Machine.Read(func(st *state.State) {
		for _, j := range st.Batch.ActiveJobs() {
			countAway(j, t.working, t.away)
		}
	})
	return t
}

func countAway(j *batch.Job, working map[batch.TaskRef]bool, away map[batch.TaskRef]int) {
	for k := range j.NumOccurrences() {
		if j.Occurrence(k) == nil {
			continue
		}
		for s, step := range j.Steps {
			if !step.LongRunning {
				continue
			}
			key := batch.TaskRef{Job: j.Id, Occurrence: k, Step: uint32(s)}
			for i := range step.Count {
				task := key
				task.Index = i
				if !working[task] {
					away[key]++
				}
			}
		}
	}
}

// workingRuns lists the long-running tasks that work at full speed, are not
// being stopped, and whose machine has no service order on its way.
func (f *fleetManager) workingRuns() map[batch.TaskRef]bool {
	now := f.d.clock.Now()
	out := map[batch.TaskRef]bool{}
	going := map[batch.Incarnation]bool{}
	for _, machine := range f.orders.machines() {
		going[f.servicedLife[machine]] = true
	}
	for _, s := range f.d.sessionList() {
		if !s.usable(now) || going[s.target.Life] {
			continue
		}
		s.mu.Lock()
		for key, o := range s.orders {
			if o.lasting && o.state == orderStarted && !o.released && !o.stop && o.lastWork.WorkPercent >= fullWork {
				out[key.TaskRef] = true
			}
		}
		s.mu.Unlock()
	}
	return out
}
