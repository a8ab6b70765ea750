package placement

import (
	"cmp"
	"slices"

	"bergamotdrum.example/bergamotdrum/internal/batch"
)

const (
	// headroomPercent of a pool's demand is supplied, so that work that arrives
	// meanwhile starts at once.
	headroomPercent = 115
	// donorPercent of its demand stays with a pool that gives machines away.
	donorPercent = 125
	// minShortagePercent of a machine must be short before one is moved.
	minShortagePercent = 30
)

// Machine is a machine that may change its pool.
type Machine struct {
	ID, Pool    string
	Incarnation batch.Incarnation
	CPUMillis   int64
	// Arriving machines are on their way to the pool.
	Arriving bool
	// Available machines can run work where they are: in service, answering, and
	// not about to be taken away.
	Available bool
	// Runs on the machine; only one without runs is moved.
	Runs int
	// LongRunning: it has runs that do not end by themselves.
	LongRunning bool
	// Idle: nothing has run there for long enough to turn it off.
	Idle bool
	// CooldownOver: it joined its pool long enough ago to be moved again.
	CooldownOver bool
}

// CapacityInput is the basis of one round of machine moves.
type CapacityInput struct {
	Demands map[string]Demand
	// SparePools holds the names of the pools whose machines are off.
	SparePools map[string]bool
	// PowerOffPool is the spare pool that idle machines go to, empty for none.
	PowerOffPool string
	Machines     []Machine
	// MaxMoves bounds the moves of one round.
	MaxMoves int
}

// Move takes a machine to another pool.
type Move struct {
	Machine, To string
	Incarnation batch.Incarnation
}

// PoolSupply is what a round found in a pool.
type PoolSupply struct {
	Machines             int
	SupplyCPU, DemandCPU int64
}

// CapacityPlan is the outcome of a round.
type CapacityPlan struct {
	// Pools is the basis of the plan, before its moves.
	Pools map[string]PoolSupply
	Moves []Move
	// Reserve lists minions that get no new work, since their machine is wanted
	// elsewhere.
	Reserve []batch.Incarnation
}

// supply is what a pool has.
type supply struct {
	pool     string
	cpu      int64
	machines int
}

// PlanCapacity brings machines to pools that cannot serve their demand: first
// those that are off, then those of pools with much more than they need.
func PlanCapacity(in CapacityInput) CapacityPlan {
	p := &capacityPlanner{in: in, supplies: map[string]*supply{}, taken: map[string]bool{}}
	for pool := range in.Demands {
		p.supplies[pool] = &supply{pool: pool}
	}
	for _, m := range in.Machines {
		if s := p.supplies[m.Pool]; s != nil && (m.Available || m.Arriving) {
			s.cpu += m.CPUMillis
			s.machines++
		}
	}
	p.out.Pools = map[string]PoolSupply{}
	for pool, s := range p.supplies {
		p.out.Pools[pool] = PoolSupply{Machines: s.machines, SupplyCPU: s.cpu, DemandCPU: in.Demands[pool].CPU()}
	}
	p.floor = max(len(in.Machines)/max(len(in.Demands), 1)/2, 1)
	for _, s := range p.needy() {
		p.supply(s)
	}
	p.park()
	return p.out
}

// park turns off idle machines that their pool can spare.
func (p *capacityPlanner) park() {
	for i := range p.in.Machines {
		m := &p.in.Machines[i]
		if p.in.PowerOffPool == "" || len(p.out.Moves) >= p.in.MaxMoves {
			return
		}
		if !m.Idle || m.Runs > 0 || p.in.SparePools[m.Pool] || !p.mayGive(m, &supply{pool: p.in.PowerOffPool}) {
			continue
		}
		p.take(m)
		p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: p.in.PowerOffPool, Incarnation: m.Incarnation})
	}
}

func (p *capacityPlanner) take(m *Machine) {
	p.taken[m.ID] = true
	if donor := p.supplies[m.Pool]; donor != nil {
		donor.cpu -= m.CPUMillis
		donor.machines--
	}
}

type capacityPlanner struct {
	in       CapacityInput
	supplies map[string]*supply
	taken    map[string]bool
	// floor is the number of machines that a donor keeps.
	floor int
	out   CapacityPlan
}

func (p *capacityPlanner) shortage(s *supply) int64 {
	d := p.in.Demands[s.pool]
	return (d.CPU()+d.ForecastGrowth)*headroomPercent/100 - s.cpu
}

// needy returns the pools that are short, the shortest first.
func (p *capacityPlanner) needy() []*supply {
	var out []*supply
	for _, s := range p.supplies {
		if p.shortage(s) > 0 {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *supply) int {
		return cmp.Or(cmp.Compare(p.shortage(b), p.shortage(a)), cmp.Compare(a.pool, b.pool))
	})
	return out
}

func (p *capacityPlanner) supply(s *supply) {
	for len(p.out.Moves) < p.in.MaxMoves {
		m := p.best(s)
		if m == nil || p.shortage(s) < m.CPUMillis*minShortagePercent/100 {
			return
		}
		p.take(m)
		s.cpu += m.CPUMillis
		s.machines++
		if m.Runs > 0 {
			p.out.Reserve = append(p.out.Reserve, m.Incarnation)
			continue
		}
		p.out.Moves = append(p.out.Moves, Move{Machine: m.ID, To: s.pool, Incarnation: m.Incarnation})
	}
}

// best returns the machine that is given away most easily, nil when there is
// none.
func (p *capacityPlanner) best(to *supply) *Machine {
	var best *Machine
	for i := range p.in.Machines {
		m := &p.in.Machines[i]
		if p.mayGive(m, to) && (best == nil || p.easier(m, best)) {
			best = m
		}
	}
	return best
}

func (p *capacityPlanner) mayGive(m *Machine, to *supply) bool {
	if p.taken[m.ID] || m.Pool == to.pool || m.Arriving || !m.Available {
		return false
	}
	if p.in.SparePools[m.Pool] {
		return true
	}
	donor := p.supplies[m.Pool]
	if donor == nil || m.LongRunning || !m.CooldownOver || donor.machines <= p.floor {
		return false
	}
	d := p.in.Demands[m.Pool]
	keep := d.CPU()
	if to.pool == p.in.PowerOffPool {
		// A machine that was needed a moment ago is turned off later.
		keep = max(keep, d.Peak)
	}
	return donor.cpu-m.CPUMillis >= keep*donorPercent/100
}

// easier prefers machines that are off, then empty ones, then those of the pool
// with the most left.
func (p *capacityPlanner) easier(a, b *Machine) bool {
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

func (p *capacityPlanner) surplus(pool string) int64 {
	s := p.supplies[pool]
	if s == nil {
		return 0
	}
	return s.cpu - p.in.Demands[pool].CPU()
}
