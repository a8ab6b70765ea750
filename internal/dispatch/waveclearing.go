package dispatch

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// relocationInterval is the shortest time between two relocations of tasks from
	// a machine.
	relocationInterval = 3 * time.Second
	// relocationRetryInterval is the same after none of its tasks could be relocated.
	relocationRetryInterval = 500 * time.Millisecond
	// clearingTime is how long a pool's machine to clear stays the same without a
	// relocation. The others then have clearingPause to take its place.
	clearingTime  = 2 * relocationInterval
	clearingPause = 4 * fleetInterval
)

// Ranks of minions for long-running tasks. Minions whose machine isn't due for
// maintenance have rank 0.
const (
	rankDue = iota + 1
	// rankOccupied is that of a due machine with long-running tasks.
	rankOccupied
	// rankCleared is that of a due machine whose tasks may go to other occupied ones.
	rankCleared
)

// clearedMachine is the machine of a pool whose tasks may be relocated to other machines
// that are due for maintenance and have tasks themselves. There is one at a time, and it
// gets none of their tasks, so that machines don't exchange tasks without end.
type clearedMachine struct {
	machine string
	until   time.Duration
}

// mayClear reports whether a machine is the one to clear in its pool, and makes it so if
// none is.
func (f *fleetManager) mayClear(machine string, now time.Duration) bool {
	pool := f.machines[machine].Pool
	c := f.clearing[pool]
	if now < c.until {
		return c.machine == machine
	}
	if c.machine == machine && now < c.until+clearingPause {
		return false
	}
	f.clearing[pool] = clearedMachine{machine, now + clearingTime}
	return true
}

// stopClearing lets another machine be the one to clear in the machine's pool.
func (f *fleetManager) stopClearing(machine string, now time.Duration) {
	if pool := f.machines[machine].Pool; f.clearing[pool].machine == machine {
		f.clearing[pool] = clearedMachine{machine, now}
	}
}

// rankDueMachines returns the ranks of the incarnations whose machine is due for
// maintenance.
func (f *fleetManager) rankDueMachines(st *batch.State) map[batch.Incarnation]int {
	ranks, now := map[batch.Incarnation]int{}, f.d.clock.Now()
	for id, due := range f.machinesDue {
		m := f.machines[id]
		minion := st.Minion(m.MinionID)
		if minion == nil || !due {
			continue
		}
		inc := batch.IncarnationOf(minion.Life)
		c := f.clearing[m.Pool]
		switch {
		case c.machine == id && now < c.until:
			ranks[inc] = rankCleared
		case st.LoadOf(inc).HasLongRunning():
			ranks[inc] = rankOccupied
		default:
			ranks[inc] = rankDue
		}
	}
	return ranks
}

// relocateTask stops one task of a step that has too many tasks on the machine,
// so that it is placed elsewhere. It does nothing when the wave has no budget, or no
// minion of a lower rank has room.
func (f *fleetManager) relocateTask(l machineLoad, budget int) {
	now, machine := f.d.clock.Now(), l.maintenance.Machine
	if l.unknown || budget <= 0 || now < f.nextRelocationAt[machine] {
		return
	}
	r := room{usable: f.usableIncarnations(now), added: map[batch.Incarnation]batch.Usage{}, rankLimit: rankOccupied}
	r.reserved, r.ranks = f.reservedAndDue()
	mayClear := f.mayClear(machine, now)
	switch rank := r.ranks[l.incarnation]; {
	case rank == 0 || mayClear && rank != rankCleared:
		return // planning rounds know its rank once this round has ended
	case mayClear:
		r.rankLimit = rankCleared
	}
	run, found, without := f.nextRelocation(l, r)
	if found {
		f.nextRelocationAt[machine] = now + relocationInterval
		if mayClear {
			f.clearing[f.machines[machine].Pool] = clearedMachine{machine, now + clearingTime}
		}
		f.relocate(run)
		return
	}
	f.nextRelocationAt[machine] = now + relocationRetryInterval
	if without != nil && mayClear {
		f.relocationDemands[f.machines[machine].Pool] = relocationDemand{placement.RoomDemandOf(without, 1), now}
		f.stopClearing(machine, now)
	}
}

// nextRelocation returns the task to relocate from a machine, if there is one. without is
// the step of a task that might be unavailable and for which no minion has room.
func (f *fleetManager) nextRelocation(l machineLoad, r room) (run batch.RunKey, found bool, without *apiv1.BatchStep) {
	f.d.opts.StateMachine.Read(func(st *state.State) {
		r.state = st.Batch
		f.reserveRoomForRelocated(&r)
		run, found = f.availability.nextRelocation(l, func(key batch.RunKey) bool {
			j := st.Batch.Job(key.Job)
			step, _ := j.StepAndCheckpoint(key.TaskRef)
			if step == nil || r.take(j, step, key.TaskRef) {
				return step != nil
			}
			without = step
			return false
		})
	})
	return run, found, without
}
