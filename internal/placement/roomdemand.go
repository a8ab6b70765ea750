package placement

import (
	"maps"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// RoomDemand is that of tasks for which no minion of their pool has room, also where the
// pool has enough CPU: because of their size, their step's label, or the tasks per minion
// that the step allows. The pool needs more machines.
type RoomDemand struct {
	MachineNeed
	// Machines is how many empty machines the tasks need.
	Machines int
}

// MachineNeed is what a machine must have for a task.
type MachineNeed struct {
	// Label that the machine must have, empty if there is none.
	Label string
	// Needed is what the task needs on its minion.
	Needed batch.Usage
}

// maxRoomDemands bounds the demands of a pool.
const maxRoomDemands = 8

// RoomDemandOf returns the demand of tasks of a step that wait.
func RoomDemandOf(step *apiv1.BatchStep, tasks int) RoomDemand {
	d := RoomDemand{MachineNeed{Label: step.RequiredLabel, Needed: batch.ResourcesOnMinion(step)}, 1}
	if limit := int(step.MaxPerMinion); limit > 0 {
		d.Machines = max((tasks+limit-1)/limit, 1)
	}
	return d
}

// RoomDemands returns the demands of waiting tasks, by pool. takesWork reports whether a
// minion may get work. Finite tasks count only if none of the pool's minions could run them
// when empty: others end, and Demands sizes the pool for their CPU.
func RoomDemands(st *batch.State, nowUnixMS int64, takesWork func(*apiv1.BatchMinion) bool) map[string][]RoomDemand {
	r := roomFinder{state: st, minions: map[string][]*apiv1.BatchMinion{}, fitsEmpty: map[poolNeed]bool{}}
	for _, m := range st.Minions() {
		if !m.Draining && !st.IsZoneOut(m.AvailabilityZone) && takesWork(m) {
			r.minions[m.Pool] = append(r.minions[m.Pool], m)
		}
	}
	out := map[string][]RoomDemand{}
	for _, j := range st.ActiveJobs() {
		pool := st.QueueOf(j).GetPool()
		for k := range j.NumOccurrences() {
			if pool == "" || !j.IsDue(k, nowUnixMS) {
				break
			}
			for s, step := range j.Steps {
				ref := batch.TaskRef{Job: j.Id, Occurrence: k, Step: uint32(s)}
				waiting := int(j.Waiting(k, uint32(s)))
				if waiting == 0 || !j.StepReady(k, uint32(s)) || r.hasRoom(pool, step, ref) || !st.AccountAllows(j, step, batch.Usage{}) {
					continue
				}
				if !step.LongRunning {
					waiting = 1 // with the first machine, Demands sizes the pool
				}
				out[pool] = AddRoomDemand(out[pool], RoomDemandOf(step, waiting))
			}
		}
	}
	return out
}

// AddRoomDemand adds a demand to those of a pool. Tasks of different steps with the same
// need may share machines.
func AddRoomDemand(demands []RoomDemand, d RoomDemand) []RoomDemand {
	i := slices.IndexFunc(demands, func(other RoomDemand) bool { return other.MachineNeed == d.MachineNeed })
	switch {
	case i >= 0:
		demands[i].Machines = max(demands[i].Machines, d.Machines)
	case len(demands) < maxRoomDemands:
		demands = append(demands, d)
	}
	return demands
}

// poolNeed is a need in a pool.
type poolNeed struct {
	pool string
	MachineNeed
}

// roomFinder looks for room in pools.
type roomFinder struct {
	state *batch.State
	// minions that may get work, by pool.
	minions map[string][]*apiv1.BatchMinion
	// fitsEmpty holds whether some minion meets a need when empty.
	fitsEmpty map[poolNeed]bool
}

// hasRoom reports whether some minion of the pool has room for a task of the step or, if
// the task is finite, would have when empty.
func (r *roomFinder) hasRoom(pool string, step *apiv1.BatchStep, ref batch.TaskRef) bool {
	need := RoomDemandOf(step, 1).MachineNeed
	if step.LongRunning {
		return slices.ContainsFunc(r.minions[pool], func(m *apiv1.BatchMinion) bool {
			load := r.state.LoadOf(batch.IncarnationOf(m.Life))
			var used batch.Usage
			if load != nil {
				used = load.Used
			}
			return need.fits(m.Labels, m.Capacity, used) && (step.MaxPerMinion == 0 || load.StepRuns(ref) < step.MaxPerMinion)
		})
	}
	if minions := r.minions[pool]; len(minions) > 0 && need.fits(minions[0].Labels, minions[0].Capacity, batch.Usage{}) {
		return true
	}
	key := poolNeed{pool, need}
	fits, known := r.fitsEmpty[key]
	if !known {
		fits = slices.ContainsFunc(r.minions[pool], func(m *apiv1.BatchMinion) bool { return need.fits(m.Labels, m.Capacity, batch.Usage{}) })
		r.fitsEmpty[key] = fits
	}
	return fits
}

// fits reports whether a minion or machine with the labels and the capacity, of which used
// is in use, meets the need.
func (n MachineNeed) fits(labels []string, capacity *apiv1.Resources, used batch.Usage) bool {
	return (n.Label == "" || slices.Contains(labels, n.Label)) && used.Add(n.Needed, 1).Within(capacity)
}

// fillRoomDemands plans moves of machines to pools with demands for room, as many as the
// largest demand needs. Machines that are on their way to the pool and empty ones there
// count: the planning of tasks uses them soon.
func (p *capacityPlanner) fillRoomDemands() {
	for _, pool := range slices.Sorted(maps.Keys(p.in.RoomDemands)) {
		if p.supplies[pool] == nil {
			continue
		}
		for _, d := range p.in.RoomDemands[pool] {
			for n := p.expectedMachines(pool, d.MachineNeed); n < d.Machines && len(p.out.Moves) < p.in.MaxMoves; n++ {
				if !p.moveForRoom(pool, d.MachineNeed) {
					break
				}
			}
		}
	}
}

// meetsRoomDemand reports whether the machine meets a demand for room of its pool, now or
// once its runs have ended.
func (p *capacityPlanner) meetsRoomDemand(m *Machine) bool {
	return slices.ContainsFunc(p.in.RoomDemands[m.Pool], func(d RoomDemand) bool { return d.fits(m.Labels, m.Capacity, batch.Usage{}) })
}

// expectedMachines returns how many empty machines that meet the need the pool has or gets.
func (p *capacityPlanner) expectedMachines(pool string, need MachineNeed) int {
	n := 0
	for i := range p.in.Machines {
		m := &p.in.Machines[i]
		expected := m.Pool == pool && (m.Arriving || m.Available && m.Runs == 0)
		expected = expected || slices.ContainsFunc(p.out.Moves, func(move Move) bool { return move.Machine == m.ID && move.To == pool })
		if expected && need.fits(m.Labels, m.Capacity, batch.Usage{}) {
			n++
		}
	}
	return n
}

// moveForRoom plans the move of a machine without runs that meets the need, and reports
// whether there is one: one that is powered off, or of a pool that can do without it.
func (p *capacityPlanner) moveForRoom(pool string, need MachineNeed) bool {
	sources := []*poolSupply{p.spare}
	for _, name := range slices.Sorted(maps.Keys(p.supplies)) {
		if name != pool {
			sources = append(sources, p.supplies[name])
		}
	}
	for _, s := range sources {
		for i, m := range s.movable {
			if m.Runs > 0 || s != p.spare && s.surplus() < m.presentCPU() || !need.fits(m.Labels, m.Capacity, batch.Usage{}) {
				continue
			}
			s.take(i)
			p.supplies[pool].cpuMillis += m.CPUMillis
			p.supplies[pool].machines++
			p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: pool, Incarnation: m.Incarnation})
			return true
		}
	}
	return false
}
