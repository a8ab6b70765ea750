package placement

import (
	"maps"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// RoomDemand is that of a task for which no minion of its pool has room, also where the
// pool has enough CPU: because of its size, its step's label, or the tasks per minion that
// the step allows. The pool needs a machine more.
type RoomDemand struct {
	// Label that the machine must have, empty if there is none.
	Label string
	// Needed is what the task needs on its minion.
	Needed batch.Usage
}

// maxRoomDemands bounds the demands of a pool. One machine more at a time is ordered.
const maxRoomDemands = 8

// RoomDemandOf returns the demand of a task of the step.
func RoomDemandOf(step *apiv1.BatchStep) RoomDemand {
	return RoomDemand{Label: step.RequiredLabel, Needed: batch.ResourcesOnMinion(step)}
}

// RoomDemands returns the demands of waiting tasks, by pool. takesWork reports whether a
// minion may get work. Finite tasks count only if none of the pool's minions could run them
// when empty: others end, and Demands sizes the pool for their CPU.
func RoomDemands(st *batch.State, nowUnixMS int64, takesWork func(*apiv1.BatchMinion) bool) map[string][]RoomDemand {
	r := roomFinder{state: st, minions: map[string][]*apiv1.BatchMinion{}, sizes: map[poolSize]bool{}}
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
				if j.Waiting(k, uint32(s)) == 0 || !j.StepReady(k, uint32(s)) || r.hasRoom(pool, step, ref) || !st.AccountAllows(j, step, batch.Usage{}) {
					continue
				}
				if d := RoomDemandOf(step); len(out[pool]) < maxRoomDemands && !slices.Contains(out[pool], d) {
					out[pool] = append(out[pool], d)
				}
			}
		}
	}
	return out
}

// poolSize is a demand in a pool.
type poolSize struct {
	pool string
	RoomDemand
}

// roomFinder looks for room in pools.
type roomFinder struct {
	state *batch.State
	// minions that may get work, by pool.
	minions map[string][]*apiv1.BatchMinion
	// sizes holds whether some minion can meet a demand when empty.
	sizes map[poolSize]bool
}

// hasRoom reports whether some minion of the pool has room for a task of the step or, if
// the task is finite, would have when empty.
func (r *roomFinder) hasRoom(pool string, step *apiv1.BatchStep, ref batch.TaskRef) bool {
	d := RoomDemandOf(step)
	if step.LongRunning {
		return slices.ContainsFunc(r.minions[pool], func(m *apiv1.BatchMinion) bool {
			load := r.state.LoadOf(batch.IncarnationOf(m.Life))
			var used batch.Usage
			if load != nil {
				used = load.Used
			}
			return d.fits(m.Labels, m.Capacity, used) && (step.MaxPerMinion == 0 || load.StepRuns(ref) < step.MaxPerMinion)
		})
	}
	key := poolSize{pool, d}
	fits, known := r.sizes[key]
	if !known {
		fits = slices.ContainsFunc(r.minions[pool], func(m *apiv1.BatchMinion) bool { return d.fits(m.Labels, m.Capacity, batch.Usage{}) })
		r.sizes[key] = fits
	}
	return fits
}

// fits reports whether a minion or machine with the labels and the capacity, of which used
// is in use, meets the demand.
func (d RoomDemand) fits(labels []string, capacity *apiv1.Resources, used batch.Usage) bool {
	return (d.Label == "" || slices.Contains(labels, d.Label)) && used.Add(d.Needed, 1).Within(capacity)
}

// fillRoomDemands plans the move of one machine to each pool with demands for room. It
// waits for machines that are on their way to the pool, and for empty ones there: the
// planning of tasks uses them soon.
func (p *capacityPlanner) fillRoomDemands() {
	for _, pool := range slices.Sorted(maps.Keys(p.in.RoomDemands)) {
		if p.supplies[pool] == nil || slices.ContainsFunc(p.out.Moves, func(m Move) bool { return m.To == pool }) {
			continue
		}
		for _, d := range p.in.RoomDemands[pool] {
			if len(p.out.Moves) >= p.in.MaxMoves || p.expectsMachine(pool, d) || p.moveForRoom(pool, d) {
				break
			}
		}
	}
}

// expectsMachine reports whether the pool has an empty machine that meets the demand, or
// gets one.
func (p *capacityPlanner) expectsMachine(pool string, d RoomDemand) bool {
	return slices.ContainsFunc(p.in.Machines, func(m Machine) bool {
		return m.Pool == pool && (m.Arriving || m.Available && m.Runs == 0) && d.fits(m.Labels, m.Capacity, batch.Usage{})
	})
}

// moveForRoom plans the move of a machine without runs that meets the demand, and reports
// whether there is one: one that is powered off, or of a pool that can do without it.
func (p *capacityPlanner) moveForRoom(pool string, d RoomDemand) bool {
	sources := []*poolSupply{p.spare}
	for _, name := range slices.Sorted(maps.Keys(p.supplies)) {
		if name != pool {
			sources = append(sources, p.supplies[name])
		}
	}
	for _, s := range sources {
		for i, m := range s.movable {
			if m.Runs > 0 || s != p.spare && s.surplus() < m.presentCPU() || !d.fits(m.Labels, m.Capacity, batch.Usage{}) {
				continue
			}
			s.take(i)
			p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: pool, Incarnation: m.Incarnation})
			return true
		}
	}
	return false
}
