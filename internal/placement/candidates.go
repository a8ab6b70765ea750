package placement

import (
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// WaitingPools returns the pools whose queues have tasks that may start now, as far
// as their jobs go. Plan starts nothing in other pools and doesn't read the health
// of their minions.
func WaitingPools(st *batch.State, nowUnixMS int64) map[string]bool {
	out := map[string]bool{}
	for _, j := range st.ActiveJobs() {
		if pool := st.QueueOf(j).GetPool(); !out[pool] && hasDueTasks(j, nowUnixMS) {
			out[pool] = true
		}
	}
	return out
}

// hasDueTasks reports whether some due occurrence of the job has waiting tasks in a
// step whose predecessors are done.
func hasDueTasks(j *batch.Job, nowUnixMS int64) bool {
	for k := range j.NumOccurrences() {
		if !j.IsDue(k, nowUnixMS) {
			return false
		}
		for s := range j.Steps {
			if j.Waiting(k, uint32(s)) > 0 && j.StepReady(k, uint32(s)) {
				return true
			}
		}
	}
	return false
}

// collectMinions sets the candidates: all usable minions of the given pools that may
// get new work.
func (p *planner) collectMinions(pools map[string]bool) {
	for _, m := range p.in.State.Minions() {
		if !pools[m.Pool] {
			continue
		}
		incarnation := batch.IncarnationOf(m.Life)
		h := p.in.Health[incarnation]
		if !h.Usable || m.Draining || p.in.Reserved[incarnation] || p.in.State.IsZoneOut(m.AvailabilityZone) {
			continue
		}
		c := &candidate{minion: m, incarnation: incarnation, load: p.in.State.LoadOf(incarnation), suspect: h.Suspect, maintenanceDue: p.in.MaintenanceDue[incarnation]}
		if c.load != nil {
			c.used = c.load.Used
			c.longRunningCPU = c.load.LongRunningCPUMillis
		}
		p.candidates[m.Pool] = append(p.candidates[m.Pool], c)
	}
}
