package placement

import (
	"cmp"
	"slices"

	"bergamotdrum.example/bergamotdrum/internal/batch"
)

const (
	// targetSupplyPercent is the supply of a pool to reach, in percent of its
	// demand. The part above the demand lets work start at once that arrives
	// before further machines do.
	targetSupplyPercent = 115
	// minSourceSupplyPercent is the supply that stays in a pool that a machine is
	// moved out of, in percent of its demand.
	minSourceSupplyPercent = 125
	// minShortagePercent is the shortage of a pool below which no machine is moved
	// there, in percent of the machine's CPU.
	minShortagePercent = 30
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

// CapacityInput is the input of PlanCapacity.
type CapacityInput struct {
	// Demands of the pools that have queues, by pool.
	Demands map[string]Demand
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
	// In thousandths of a core.
	SupplyCPU, DemandCPU int64
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
}

// PlanCapacity plans the machine moves of one round, a pass of the planner. It
// moves machines to pools with a shortage, first those that are powered off,
// then those of pools whose supply well exceeds their demand. Then it powers off
// idle machines. The leader calls it in every round and orders the moves.
func PlanCapacity(in CapacityInput) CapacityPlan {
	p := &capacityPlanner{in: in, supplies: map[string]*poolSupply{}, claimed: map[string]bool{}}
	for pool := range in.Demands {
		p.supplies[pool] = &poolSupply{pool: pool}
	}
	for _, m := range in.Machines {
		if s := p.supplies[m.Pool]; s != nil && (m.Available || m.Arriving) {
			s.cpuMillis += m.CPUMillis
			s.machines++
		}
	}
	p.out.Pools = map[string]PoolSupply{}
	for pool, s := range p.supplies {
		p.out.Pools[pool] = PoolSupply{Machines: s.machines, SupplyCPU: s.cpuMillis, DemandCPU: in.Demands[pool].CPU()}
	}
	p.minMachines = max(len(in.Machines)/max(len(in.Demands), 1)/2, 1)
	for _, s := range p.poolsWithShortage() {
		p.fillShortage(s)
	}
	p.powerOffIdle()
	return p.out
}

// powerOffIdle moves idle machines that their pool can do without to the spare
// pool, which powers them off.
func (p *capacityPlanner) powerOffIdle() {
	for i := range p.in.Machines {
		m := &p.in.Machines[i]
		if p.in.PowerOffPool == "" || len(p.out.Moves) >= p.in.MaxMoves {
			return
		}
		if !m.Idle || m.Runs > 0 || p.in.SparePools[m.Pool] || !p.canMove(m, &poolSupply{pool: p.in.PowerOffPool}) {
			continue
		}
		p.claim(m)
		p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: p.in.PowerOffPool, Incarnation: m.Incarnation})
	}
}

// claim takes a machine out of its pool's supply; it isn't planned again in this
// round.
func (p *capacityPlanner) claim(m *Machine) {
	p.claimed[m.ID] = true
	if source := p.supplies[m.Pool]; source != nil {
		source.cpuMillis -= m.CPUMillis
		source.machines--
	}
}

// capacityPlanner is the working state of one round.
type capacityPlanner struct {
	in       CapacityInput
	supplies map[string]*poolSupply
	claimed  map[string]bool
	// The number of machines that a pool keeps at least when others are moved out
	// of it: half of an equal share of all machines.
	minMachines int
	out         CapacityPlan
}

// shortage returns the CPU that is missing from a pool's target supply, in
// thousandths of a core. It is negative if the pool has more than that.
func (p *capacityPlanner) shortage(s *poolSupply) int64 {
	d := p.in.Demands[s.pool]
	return (d.CPU()+d.ForecastGrowth)*targetSupplyPercent/100 - s.cpuMillis
}

// poolsWithShortage returns the pools whose supply is below the target, the one
// with the largest shortage first.
func (p *capacityPlanner) poolsWithShortage() []*poolSupply {
	var out []*poolSupply
	for _, s := range p.supplies {
		if p.shortage(s) > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *poolSupply) int {
		return cmp.Or(cmp.Compare(p.shortage(b), p.shortage(a)), cmp.Compare(a.pool, b.pool))
	})
	return out
}

// fillShortage plans moves of machines to a pool until its shortage is small or
// no machine can be moved there. A machine that still has runs is reserved; a
// later round moves it.
func (p *capacityPlanner) fillShortage(s *poolSupply) {
	for len(p.out.Moves) < p.in.MaxMoves {
		m := p.selectMachine(s)
		if m == nil || p.shortage(s) < m.CPUMillis*minShortagePercent/100 {
			return
		}
		p.claim(m)
		s.cpuMillis += m.CPUMillis
		s.machines++
		if m.Runs > 0 {
			p.out.Reserve = append(p.out.Reserve, m.Incarnation)
			continue
		}
		p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: s.pool, Incarnation: m.Incarnation})
	}
}

// selectMachine returns the best machine to move to a pool, nil if none can be
// moved there.
func (p *capacityPlanner) selectMachine(to *poolSupply) *Machine {
	var best *Machine
	for i := range p.in.Machines {
		m := &p.in.Machines[i]
		if p.canMove(m, to) && (best == nil || p.isBetterToMove(m, best)) {
			best = m
		}
	}
	return best
}

// canMove reports whether a machine may be moved to a pool. A machine that is
// powered off always may, if it is available. Another one may only when its
// cooldown is over, it runs no long-running task, and its pool keeps enough
// supply and machines without it.
func (p *capacityPlanner) canMove(m *Machine, to *poolSupply) bool {
	if p.claimed[m.ID] || m.Pool == to.pool || m.Arriving || !m.Available {
		return false
	}
	if p.in.SparePools[m.Pool] {
		return true
	}
	source := p.supplies[m.Pool]
	if source == nil || m.LongRunning || !m.CooldownOver || source.machines <= p.minMachines {
		return false
	}
	d := p.in.Demands[m.Pool]
	requiredCPU := d.CPU()
	if to.pool == p.in.PowerOffPool {
		// A machine that was needed in the last seconds is powered off later.
		requiredCPU = max(requiredCPU, d.Peak)
	}
	return source.cpuMillis-m.CPUMillis >= requiredCPU*minSourceSupplyPercent/100
}

// isBetterToMove reports whether a is a better machine to move than b. Machines
// that are powered off come first, then machines without runs, then those of the
// pool with the larger surplus.
func (p *capacityPlanner) isBetterToMove(a, b *Machine) bool {
	if x, y := p.in.SparePools[a.Pool], p.in.SparePools[b.Pool]; x != y {
		return x
	}
	if x, y := a.Runs > 0, b.Runs > 0; x != y {
		return y
	}
	if x, y := p.surplus(a.Pool), p.surplus(b.Pool); x != y {
		return x > y
	}
	return a.ID < b.ID
}

// surplus returns the CPU by which a pool's supply exceeds its demand, in
// thousandths of a core.
func (p *capacityPlanner) surplus(pool string) int64 {
	s := p.supplies[pool]
	if s == nil {
		return 0
	}
	return s.cpuMillis - p.in.Demands[pool].CPU()
}
