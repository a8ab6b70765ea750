package placement

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
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
	all := make([]candidate, 0, len(p.in.Health)) // one allocation for the round
	for _, m := range p.in.State.Minions() {
		if !pools[m.Pool] {
			continue
		}
		incarnation := batch.IncarnationOf(m.Life)
		h := p.in.Health[incarnation]
		if !h.Usable || m.Draining || p.in.Reserved[incarnation] || p.in.State.IsZoneOut(m.AvailabilityZone) {
			continue
		}
		all = append(all, candidate{
			minion: m, incarnation: incarnation, position: len(p.candidates[m.Pool]), load: p.in.State.LoadOf(incarnation),
			suspect: h.Suspect, maintenanceRank: p.in.MaintenanceRank[incarnation],
		})
		c := &all[len(all)-1]
		if c.load != nil {
			c.used = c.load.Used
			c.longRunningCPU = c.load.LongRunningCPUMillis
		}
		p.candidates[m.Pool] = append(p.candidates[m.Pool], c)
	}
	for pool := range p.candidates {
		p.room[pool] = &roomIndex{}
	}
}

// scansBeforeIndex is the number of scans of a pool in one round after which the
// candidates are sorted by room. Sorting takes as long as about that many scans.
const scansBeforeIndex = 4

// roomIndex holds the candidates of a pool in the order in which a task that ends by
// itself takes the first one that it fits on: minions that aren't suspect first, then
// those with the least free CPU, then by minion id.
type roomIndex struct {
	// scans counts the scans before the candidates were sorted.
	scans  int
	sorted []*candidate
}

// compareRoom is the order of roomIndex.
func compareRoom(a, b *candidate) int {
	return cmp.Or(compareBool(a.suspect, b.suspect), cmp.Compare(a.freeCPU(), b.freeCPU()), cmp.Compare(a.position, b.position))
}

// roomOf returns the index of a pool, nil for a part of a pool, such as the
// candidates on one rack.
func (p *planner) roomOf(pool []*candidate) *roomIndex {
	if len(pool) == 0 || len(pool) != len(p.candidates[pool[0].minion.Pool]) {
		return nil
	}
	return p.room[pool[0].minion.Pool]
}

// bestCandidate returns the best candidate that can run a task, nil if none can.
func (p *planner) bestCandidate(step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) *candidate {
	room := p.roomOf(pool)
	if room == nil || step.LongRunning {
		return scanForBest(step, ref, pool)
	}
	if room.sorted == nil {
		if room.scans++; room.scans <= scansBeforeIndex {
			return scanForBest(step, ref, pool)
		}
		room.build(pool)
	}
	return room.best(step, ref)
}

// scanForBest is bestCandidate without an index.
func scanForBest(step *apiv1.BatchStep, ref batch.TaskRef, pool []*candidate) *candidate {
	var best *candidate
	for _, c := range pool {
		if c.canRun(step, ref) && (best == nil || isBetter(c, best, step, ref)) {
			best = c
		}
	}
	return best
}

// build sorts the candidates of the pool.
func (r *roomIndex) build(pool []*candidate) {
	r.sorted = slices.Clone(pool)
	slices.SortFunc(r.sorted, compareRoom)
	for _, c := range pool {
		c.room = r
	}
}

// best returns the best candidate for a task that ends by itself, nil if none can run
// it.
func (r *roomIndex) best(step *apiv1.BatchStep, ref batch.TaskRef) *candidate {
	needed := batch.ResourcesOnMinion(step).CPUMillis
	for _, suspect := range []bool{false, true} {
		first, _ := slices.BinarySearchFunc(r.sorted, needed, func(c *candidate, needed int64) int {
			return cmp.Or(compareBool(c.suspect, suspect), cmp.Compare(c.freeCPU(), needed), 1)
		})
		var offRack *candidate
		for _, c := range r.sorted[first:] {
			if c.suspect != suspect {
				break
			}
			onRack := step.PreferredRack == "" || isOnRack(c, step)
			if !onRack && offRack != nil || !c.canRun(step, ref) {
				continue
			}
			if onRack {
				return c
			}
			offRack = c
		}
		if offRack != nil {
			return offRack
		}
	}
	return nil
}

// setUsed changes the resources in use on a candidate, and its place in the index.
func (c *candidate) setUsed(used batch.Usage) {
	if c.room == nil {
		c.used = used
		return
	}
	sorted := c.room.sorted
	before, _ := slices.BinarySearchFunc(sorted, c, compareRoom)
	c.used = used
	if after, _ := slices.BinarySearchFunc(sorted[:before], c, compareRoom); after < before {
		copy(sorted[after+1:before+1], sorted[after:before])
		sorted[after] = c
		return
	}
	after, _ := slices.BinarySearchFunc(sorted[before+1:], c, compareRoom)
	copy(sorted[before:before+after], sorted[before+1:before+1+after])
	sorted[before+after] = c
}
