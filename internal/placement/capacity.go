package placement

import (
	"cmp"
	"maps"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

const (
	// targetSupplyPercent is the supply of a pool to reach, in percent of its
	// demand. The part above the demand lets work start at once that arrives
	// before further machines do.
	targetSupplyPercent = 115
	// onSupplyPercent is the supply that stays on in a pool whose idle machines are
	// powered off, in percent of its highest demand of the last seconds.
	onSupplyPercent = 125
	// minShortagePercent is the shortage of a pool below which no machine is moved
	// there, in percent of the machine's CPU.
	minShortagePercent = 30
	// reserveDivisor divides an equal share of all machines into the machines that
	// stay on in a pool without demand.
	reserveDivisor = 8
)

// Machine is a machine of the fleet, as the machine provider names it, that may
// be moved to another pool.
type Machine struct {
	// ID of the machine and name of its pool; of the pool it moves to, if it is
	// on its way.
	ID, Pool string
	// Incarnation (lifetime of the process) of the minion on the machine, zero if
	// none is known.
	Incarnation batch.Incarnation
	// CPUMillis is the CPU capacity in thousandths of a core.
	CPUMillis int64
	// Capacity and Labels are those of a minion on the machine.
	Capacity *apiv1.Resources
	Labels   []string
	// ShrunkCPUMillis is how much of that its minion has not at present. A minion
	// that the machine gets in another pool has all of it.
	ShrunkCPUMillis int64
	// Arriving machines are on their way to the pool.
	Arriving bool
	// Available machines can run tasks in their pool, or can be moved out of a spare
	// pool, whose machines are powered off: they are up, not in maintenance and not
	// about to be removed. Outside spare pools the machine's minion answers.
	Available bool
	// Runs is the number of runs (executions of tasks) on the machine. Only a
	// machine without runs is moved.
	Runs int
	// LongRunning reports whether there are runs of long-running tasks, which run
	// until their job is canceled.
	LongRunning bool
	// Idle reports whether nothing has run on the machine for long enough to power
	// it off.
	Idle bool
	// CooldownOver reports whether the last order that was carried out for the
	// machine, a move or a maintenance, was long enough ago to move it again.
	CooldownOver bool
}

// presentCPU returns the CPU that the machine's minion has now, in thousandths of
// a core.
func (m *Machine) presentCPU() int64 { return m.CPUMillis - m.ShrunkCPUMillis }

// CapacityInput is the input of PlanCapacity.
type CapacityInput struct {
	// Demands of the pools that have queues, by pool.
	Demands map[string]Demand
	// RoomDemands of tasks for which no minion of their pool has room, by pool.
	RoomDemands map[string][]RoomDemand
	// SparePools has the names of the pools whose machines are powered off.
	SparePools map[string]bool
	// PowerOffPool is the spare pool that idle machines are moved to, which powers
	// them off. If it is empty, none are.
	PowerOffPool string
	Machines     []Machine
	// MaxMoves bounds the moves of one planning round, a call of PlanCapacity.
	MaxMoves int
}

// Move is the order to move a machine to another pool.
type Move struct {
	// ID of the machine, and name of the pool to move it to.
	Machine, To string
	// Incarnation of the minion on the machine, zero if none is known.
	Incarnation batch.Incarnation
}

// PoolSupply is the state of a pool before the moves of a round.
type PoolSupply struct {
	Machines int
	// In thousandths of a core. DemandCPU is that of jobs which can meet their
	// latency limit, LateCPU that of the others.
	SupplyCPU, DemandCPU, LateCPU int64
}

// CapacityPlan is the result of PlanCapacity.
type CapacityPlan struct {
	// Pools has the supply and demand of each pool that the plan is based on.
	Pools map[string]PoolSupply
	Moves []Move
	// Reserve lists minions that must get no new work: their machine is to be moved
	// as soon as its runs have ended.
	Reserve []batch.Incarnation
}

// poolSupply is the capacity of a pool, the moves planned so far included.
type poolSupply struct {
	pool      string
	cpuMillis int64
	machines  int
	// share is the CPU that the pool may have: others get its machines beyond that.
	share int64
	// movable holds the machines that may leave the pool, the best to move first.
	movable []*Machine
}

// surplus returns the CPU by which the supply exceeds the share, in thousandths of
// a core.
func (s *poolSupply) surplus() int64 { return s.cpuMillis - s.share }

// PlanCapacity plans the machine moves of one round, a pass of the planner. It
// divides the fleet among the pools by their demand, first that of jobs which can
// meet their latency limit, then that of late ones, and moves machines: first for
// tasks without room, most of which are long-running, then to pools that have less
// than their share. Machines that are powered off come first, then those of pools
// that have more than theirs. Then it powers off idle machines. The leader calls it
// in every round and orders the moves.
func PlanCapacity(in CapacityInput) CapacityPlan {
	p := &capacityPlanner{in: in, supplies: map[string]*poolSupply{}, spare: &poolSupply{}}
	for pool := range in.Demands {
		p.supplies[pool] = &poolSupply{pool: pool}
	}
	p.minMachines = max(len(in.Machines)/max(len(in.Demands), 1)/reserveDivisor, 1)
	p.collectMachines()
	p.out.Pools = map[string]PoolSupply{}
	for pool, s := range p.supplies {
		p.out.Pools[pool] = PoolSupply{Machines: s.machines, SupplyCPU: s.cpuMillis, DemandCPU: in.Demands[pool].CPU(), LateCPU: in.Demands[pool].Late}
	}
	p.setShares()
	p.fillRoomDemands()
	for _, s := range p.poolsWithShortage() {
		p.fillShortage(s)
	}
	p.powerOffIdle()
	return p.out
}

// capacityPlanner is the working state of one round.
type capacityPlanner struct {
	in       CapacityInput
	supplies map[string]*poolSupply
	// spare has the machines that are powered off.
	spare *poolSupply
	// The number of machines that stay on in a pool without demand: half of an
	// equal share of all machines.
	minMachines int
	out         CapacityPlan
}

// collectMachines counts the supply of each pool and collects the machines that
// may be moved. A machine that is powered off always may, if it is available.
// Another one may only when its cooldown is over, it runs no long-running task, and no
// task without room in its pool may get it.
func (p *capacityPlanner) collectMachines() {
	for i := range p.in.Machines {
		m := &p.in.Machines[i]
		s := p.supplies[m.Pool]
		if p.in.SparePools[m.Pool] {
			s = p.spare
		}
		if s == nil || !m.Available && !m.Arriving {
			continue
		}
		if s != p.spare || !m.Arriving {
			s.cpuMillis += m.presentCPU()
			s.machines++
		}
		if m.Available && !m.Arriving && (s == p.spare || m.CooldownOver && !m.LongRunning && !p.meetsRoomDemand(m)) {
			s.movable = append(s.movable, m)
		}
	}
	for _, s := range p.supplies {
		slices.SortStableFunc(s.movable, func(a, b *Machine) int {
			return cmp.Or(cmp.Compare(a.Runs, b.Runs), cmp.Compare(a.ID, b.ID))
		})
	}
}

// setShares divides the CPU of all machines among the pools.
func (p *capacityPlanner) setShares() {
	total := p.spare.cpuMillis
	wanted, lateWanted := map[string]int64{}, map[string]int64{}
	for pool, s := range p.supplies {
		d := p.in.Demands[pool]
		total += s.cpuMillis
		wanted[pool] = d.Forecast() * targetSupplyPercent / 100
		lateWanted[pool] = d.Late
	}
	shares := maxMinShares(total, wanted)
	for _, share := range shares {
		total -= share
	}
	for pool, lateShare := range maxMinShares(total, lateWanted) {
		p.supplies[pool].share = shares[pool] + lateShare
	}
}

// poolsWithShortage returns the pools whose supply is below their share, the one
// with the largest shortage first.
func (p *capacityPlanner) poolsWithShortage() []*poolSupply {
	var out []*poolSupply
	for _, s := range p.supplies {
		if s.surplus() < 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *poolSupply) int {
		return cmp.Or(cmp.Compare(a.surplus(), b.surplus()), cmp.Compare(a.pool, b.pool))
	})
	return out
}

// fillShortage plans moves of machines to a pool until its shortage is small or
// no machine can be moved there. A machine that still has runs is reserved; a
// later round moves it.
func (p *capacityPlanner) fillShortage(to *poolSupply) {
	for len(p.out.Moves) < p.in.MaxMoves {
		source := p.selectSource(to)
		if source == nil || -to.surplus() < source.movable[0].CPUMillis*minShortagePercent/100 {
			return
		}
		m := source.take(0)
		to.cpuMillis += m.CPUMillis
		to.machines++
		if m.Runs > 0 {
			p.out.Reserve = append(p.out.Reserve, m.Incarnation)
			continue
		}
		p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: to.pool, Incarnation: m.Incarnation})
	}
}

// take removes a movable machine from the supply.
func (s *poolSupply) take(i int) *Machine {
	m := s.movable[i]
	s.movable = slices.Delete(s.movable, i, i+1)
	s.cpuMillis -= m.presentCPU()
	s.machines--
	return m
}

// selectSource returns the supply from which the next machine is moved to a pool,
// nil if no machine can be: machines that are powered off come first, then ones
// without runs, then those of the pool with the largest surplus. A pool keeps its
// share.
func (p *capacityPlanner) selectSource(to *poolSupply) *poolSupply {
	if len(p.spare.movable) > 0 {
		return p.spare
	}
	var best *poolSupply
	for _, s := range p.supplies {
		if s == to || len(s.movable) == 0 || s.surplus() < s.movable[0].presentCPU() {
			continue
		}
		if best == nil || isBetterSource(s, best) {
			best = s
		}
	}
	return best
}

func isBetterSource(a, b *poolSupply) bool {
	if x, y := a.movable[0].Runs > 0, b.movable[0].Runs > 0; x != y {
		return y
	}
	if x, y := a.surplus(), b.surplus(); x != y {
		return x > y
	}
	return a.pool < b.pool
}

// powerOffIdle moves idle machines that their pool can do without to the spare
// pool, which powers them off. A machine that was needed in the last seconds is
// powered off later.
func (p *capacityPlanner) powerOffIdle() {
	if p.in.PowerOffPool == "" {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(p.supplies)) {
		s := p.supplies[pool]
		d := p.in.Demands[pool]
		required := max(s.share, max(d.CPU(), d.Peak)*onSupplyPercent/100)
		for i := 0; i < len(s.movable) && len(p.out.Moves) < p.in.MaxMoves && s.machines > p.minMachines; {
			m := s.movable[i]
			if !m.Idle || m.Runs > 0 || s.cpuMillis-m.presentCPU() < required {
				i++
				continue
			}
			s.take(i)
			p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: p.in.PowerOffPool, Incarnation: m.Incarnation})
		}
	}
}

// SpareCPU returns, for each pool with queues, the CPU of machines that are neither its own
// nor on their way to it and that no other pool demands, in thousandths of a core: what it
// gets if its demand grows.
func SpareCPU(in CapacityInput) map[string]int64 {
	total, demand, own := int64(0), int64(0), map[string]int64{}
	for i := range in.Machines {
		if m := &in.Machines[i]; m.Available || m.Arriving {
			total += m.presentCPU()
			own[m.Pool] += m.presentCPU()
		}
	}
	for _, d := range in.Demands {
		demand += d.Forecast() + d.Late
	}
	out := map[string]int64{}
	for pool, d := range in.Demands {
		if spare := total - (demand - d.Forecast() - d.Late) - own[pool]; spare > 0 {
			out[pool] = spare
		}
	}
	return out
}
