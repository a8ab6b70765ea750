package dispatch

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// fullSpeed is the RunStatus.SpeedPercent of a task that is not slowed down. It
	// is lower while a task starts up.
	fullSpeed = 100
	// maxStatusAge is the age, from the sending of the hold call that returned it, at
	// which a run's status is too old to show that its task is available. The reply
	// may be held back for holdWait, and the next one arrives within maxHoldAge.
	maxStatusAge = holdWait + maxHoldAge
)

// taskAvailability says which long-running tasks are available, that is, can do
// their work, in one round of the fleet manager, which moves machines and takes
// them down for maintenance. Long-running tasks run until their job is canceled.
type taskAvailability struct {
	// available holds the tasks that run at full speed on a usable minion, and are
	// not being stopped.
	available map[batch.TaskRef]bool
	// unavailable counts the other tasks of each step.
	unavailable map[batch.TaskRef]int
	// usable holds the incarnations (lifetimes of a minion's process) that
	// answered recently and have not just refused an order (see session.usable).
	usable map[batch.Incarnation]bool
}

// allowsMaintenance reports whether a machine with load l may go down without any
// step exceeding its limit of unavailable tasks.
func (t taskAvailability) allowsMaintenance(l machineLoad) bool {
	for _, s := range l.steps {
		if !t.allowsEnd(s) {
			return false
		}
	}
	return true
}

// allowsEnd reports whether all tasks of a step on a machine may end.
func (t taskAvailability) allowsEnd(s stepLoad) bool {
	return t.unavailable[s.step]-s.starting+len(s.runs) <= s.maxUnavailable
}

// markUnavailable counts the tasks of a machine that goes down as unavailable.
func (t taskAvailability) markUnavailable(l machineLoad) {
	for _, s := range l.steps {
		t.unavailable[s.step] += len(s.runs) - s.starting
	}
}

// nextRelocation returns a task to relocate before the machine's maintenance, and
// counts it as unavailable. The task's step has more tasks on the machine than may
// be unavailable at the same time, and may have one more unavailable now. hasRoom
// reports whether a task can be placed elsewhere.
func (t taskAvailability) nextRelocation(l machineLoad, hasRoom func(batch.RunKey) bool) (batch.RunKey, bool) {
	for _, s := range l.steps {
		if len(s.runs) > s.maxUnavailable && t.unavailable[s.step] < s.maxUnavailable && hasRoom(s.runs[0]) {
			t.unavailable[s.step]++
			return s.runs[0], true
		}
	}
	return batch.RunKey{}, false
}

// taskAvailability returns the availability of all tasks now, for the decisions of a
// round: tasks on machines whose maintenance has been decided count as unavailable.
// It is empty while no wave (a list of machines to be maintained) is open, since only
// waves use it.
func (f *fleetManager) taskAvailability() taskAvailability {
	if len(f.openMaintenance()) == 0 {
		return taskAvailability{}
	}
	t := taskAvailability{available: f.availableTasks(), unavailable: map[batch.TaskRef]int{}, usable: f.usableIncarnations(f.d.clock.Now())}
	decided := f.incarnationsToMaintain()
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for inc := range decided {
			st.Batch.LoadOf(inc).Each(func(r *batch.ActiveRun) { delete(t.available, r.Ref) })
		}
		for _, j := range st.Batch.ActiveJobs() {
			countUnavailable(j, t.available, t.unavailable)
		}
	})
	return t
}

// incarnationsToMaintain returns the incarnations whose machine has an order of
// maintenance that is about to be sent or whose answer isn't known.
func (f *fleetManager) incarnationsToMaintain() map[batch.Incarnation]bool {
	machines := f.orders.pendingMachines()
	out := map[batch.Incarnation]bool{}
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, w := range st.Batch.OpenWaves() {
			for _, sv := range w.Services {
				if sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED {
					machines = append(machines, sv.Machine)
				}
			}
		}
		for _, machine := range machines {
			out[f.maintainedIncarnation[machine]] = true
			if m := st.Batch.Minion(f.machines[machine].MinionID); m != nil {
				out[batch.IncarnationOf(m.Life)] = true
			}
		}
	})
	return out
}

// countUnavailable adds the tasks of a job that are not available to their
// steps' counts. Tasks that don't run anywhere are included.
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

// availableTasks returns the long-running tasks that run at full speed according to a
// recent answer, are not being stopped, and whose incarnation is the minion's latest
// one and isn't about to end.
func (f *fleetManager) availableTasks() map[batch.TaskRef]bool {
	now := f.d.clock.Now()
	out := map[batch.TaskRef]bool{}
	for _, s := range f.d.sessionList() {
		if !f.d.isCurrent(s) || f.ending.contains(s.target.Incarnation, now) || !s.usable(now) {
			continue
		}
		s.mu.Lock()
		for key, o := range s.orders {
			if o.isAvailable(now) {
				out[key.TaskRef] = true
			}
		}
		s.mu.Unlock()
	}
	return out
}

// isAvailable reports whether the run of a long-running task was at full speed when
// the minion last listed it, which is not long ago, and is not being stopped.
func (o *runOrder) isAvailable(now time.Duration) bool {
	return o.isLongRunning && o.state == orderStarted && !o.released && !o.stopRequested &&
		o.lastStatus.SpeedPercent >= fullSpeed && now-o.statusAt < maxStatusAge
}
