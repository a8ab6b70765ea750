package dispatch

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// stopIncompleteGangs stops the other members of each gang (a step whose tasks run
// only together) that has a member among the ended runs that did not start. They
// would wait for it in vain, and the gang starts again only once all have ended.
func (d *Dispatcher) stopIncompleteGangs(ends []*apiv1.EndedRun) {
	members := map[batch.RunKey]batch.Incarnation{}
	d.opts.StateMachine.Read(func(st *state.State) {
		for _, e := range ends {
			if e.End == apiv1.RunEnd_RUN_END_NOT_STARTED {
				collectMembers(st.Batch, batch.RefOf(e.Task), e.Run, members)
			}
		}
	})
	for key, inc := range members {
		d.mu.Lock()
		s := d.sessions[inc]
		d.mu.Unlock()
		if s != nil {
			d.syncSession(s) // it may not know the run yet
			s.stopRun(key)
		}
	}
}

// collectMembers adds the active runs of a gang with a run number to members, with
// the incarnations (lifetimes of a minion's process) that they are on. It adds
// nothing for a step that is no gang.
func collectMembers(st *batch.State, ref batch.TaskRef, run uint32, members map[batch.RunKey]batch.Incarnation) {
	j := st.Job(ref.Job)
	if j == nil || j.Occurrence(ref.Occurrence) == nil || !j.Steps[ref.Step].Gang {
		return
	}
	for i, task := range j.Occurrence(ref.Occurrence).Steps[ref.Step].Tasks {
		for _, r := range task.Runs {
			if r.Number == run {
				member := ref
				member.Index = uint32(i)
				members[batch.RunKey{TaskRef: member, Number: run}] = batch.IncarnationOf(r.Minion)
			}
		}
	}
}
