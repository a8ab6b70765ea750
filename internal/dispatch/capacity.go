package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// moveCooldown is the shortest time from an order that was carried out for a
	// machine to the machine's next move.
	moveCooldown = 3 * time.Second
	// peakWindow is how long a peak of a pool's demand counts.
	peakWindow = 2 * time.Second
	// trendWindow is the time over which the growth of a pool's demand is measured.
	trendWindow = time.Second
	// moveLeadTime is the time from a move order to the first start of a task on
	// the machine: 1.5 s for the move, and the planning rounds before and after
	// it.
	moveLeadTime = 1700 * time.Millisecond
	// minionStartTime is how long after an order for a machine was carried out a machine
	// without a minion in use counts as one that gets it.
	minionStartTime = 2 * moveLeadTime
	// startRateMemory is how long the rate of starts counts that the leader reached
	// while it was the limit. It bridges the time in which refused callers stay away:
	// the machines that they need would be powered off and ordered again.
	startRateMemory = 10 * time.Second
	// idleTimeout is how long a machine is idle before it is powered off.
	idleTimeout = 2 * time.Second
)

// planCapacity orders moves of machines to pools that have a shortage, or to a
// spare pool, in which machines are powered off. It returns the incarnations
// (lifetimes of a minion's process) that get no new work, since their machines
// are about to be moved.
func (f *fleetManager) planCapacity(unmovable map[string]bool) []batch.Incarnation {
	if f.d.clock.Now() < f.firstOrderAt {
		return nil
	}
	in := f.capacityInput(unmovable)
	plan := placement.PlanCapacity(in)
	f.logCapacity(plan)
	f.recordArrivals(in, plan)
	reserved := plan.Reserve
	var ready []placement.Move
	for _, m := range plan.Moves {
		// A planning round may have started a task there in the meantime, so the
		// order waits until the minion has been reserved for a whole round.
		if f.isReserved(m.Incarnation) || m.Incarnation == (batch.Incarnation{}) {
			ready = append(ready, m)
		}
		reserved = append(reserved, m.Incarnation)
	}
	f.startMoves(ready)
	return reserved
}

// capacityLogInterval is the time between two logs of the pools' capacity.
const capacityLogInterval = time.Second

// logCapacity logs the supply and demand of each pool every capacityLogInterval.
func (f *fleetManager) logCapacity(plan placement.CapacityPlan) {
	now := f.d.clock.Now()
	if now-f.capacityLoggedAt < capacityLogInterval {
		return
	}
	f.capacityLoggedAt = now
	for _, pool := range slices.Sorted(maps.Keys(plan.Pools)) {
		s := plan.Pools[pool]
		f.d.log.WithFields(logrus.Fields{
			"pool": pool, "machines": s.Machines, "supply_cpu_millis": s.SupplyCPU, "demand_cpu_millis": s.DemandCPU, "late_cpu_millis": s.LateCPU,
		}).Info("pool capacity")
	}
}

// isReserved reports whether an incarnation got no new work since the last round.
func (f *fleetManager) isReserved(inc batch.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserved[inc]
}

// capacityInput returns the basis for planning moves. unmovable holds the
// machines that must stay in their pool, by id.
func (f *fleetManager) capacityInput(unmovable map[string]bool) placement.CapacityInput {
	now := f.d.clock.Now()
	in := placement.CapacityInput{SparePools: map[string]bool{}, MaxMoves: f.orders.available(now)}
	usable := f.usableIncarnations(now)
	f.d.opts.StateMachine.Read(func(st *state.State) {
		in.Demands = placement.Demands(st.Batch, time.Now().UnixMilli())
		f.d.admission.addRefused(in.Demands, now)
		f.limitDemands(in.Demands, now)
		f.recordDemands(in.Demands, now)
		in.RoomDemands = f.roomDemands(st.Batch, usable, now)
		for _, p := range st.Batch.Catalog().Pools {
			in.SparePools[p.Name] = p.Spare
			if p.Spare && in.PowerOffPool == "" {
				in.PowerOffPool = p.Name
			}
		}
		for _, id := range sortedIDs(f.machines) {
			in.Machines = append(in.Machines, f.poolMachine(st.Batch, f.machines[id], unmovable[id], usable, now))
		}
	})
	return in
}

// rateSample is the leader's rate of starts at one time at which it was the limit.
type rateSample struct {
	at        time.Duration
	perSecond float64
}

// limitDemands limits the demands to what the leader can start, if it was the limit
// within startRateMemory.
func (f *fleetManager) limitDemands(demands map[string]placement.Demand, now time.Duration) {
	rate, isLimit := f.d.admission.startRate(now)
	if isLimit {
		f.startRates = append(f.startRates, rateSample{now, rate})
	}
	f.startRates = slices.DeleteFunc(f.startRates, func(s rateSample) bool { return now-s.at > startRateMemory })
	if len(f.startRates) == 0 {
		return
	}
	most := slices.MaxFunc(f.startRates, func(a, b rateSample) int { return cmp.Compare(a.perSecond, b.perSecond) })
	placement.LimitToStartRate(demands, most.perSecond, isLimit)
}

// demandSample is a pool's demand at one time, in thousandths of a core.
type demandSample struct {
	at  time.Duration
	cpu int64
}

// recordDemands records the demands and sets the peak of the last peakWindow and
// the forecast growth in each of them.
func (f *fleetManager) recordDemands(demands map[string]placement.Demand, now time.Duration) {
	for pool, d := range demands {
		samples := append(f.samples[pool], demandSample{now, d.CPU()})
		samples = slices.DeleteFunc(samples, func(s demandSample) bool { return now-s.at > peakWindow })
		f.samples[pool] = samples
		for _, s := range samples {
			d.Peak = max(d.Peak, s.cpu)
		}
		d.ForecastGrowth = forecastGrowth(samples, now)
		demands[pool] = d
	}
}

// forecastGrowth returns how much a demand is expected to grow until a machine
// ordered now is usable, from its growth over the last trendWindow. The result is
// at most the latest demand, so that one large job is not taken for an endless
// trend. The samples are ordered by time, and there is at least one.
func forecastGrowth(samples []demandSample, now time.Duration) int64 {
	latest := samples[len(samples)-1].cpu
	for _, s := range samples {
		if now-s.at > trendWindow {
			continue
		}
		growth := (latest - s.cpu) * int64(moveLeadTime/time.Millisecond) / int64(trendWindow/time.Millisecond)
		return min(max(growth, 0), latest)
	}
	return 0
}

// sortedIDs returns the ids of the machines in order, so that equal input gives
// equal plans.
func sortedIDs(machines map[string]Machine) []string {
	ids := make([]string, 0, len(machines))
	for id := range machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// usableIncarnations returns the incarnations whose session, the leader's exchange
// with them, is usable: they answered recently and haven't just refused an order.
// Quarantined ones, which get no new work after failed runs, are included.
func (f *fleetManager) usableIncarnations(now time.Duration) map[batch.Incarnation]bool {
	out := map[batch.Incarnation]bool{}
	for _, s := range f.d.sessionList() {
		if s.usable(now) {
			out[s.target.Incarnation] = true
		}
	}
	return out
}

// poolMachine describes a machine for the planner. A machine that is moving
// counts for the pool that it moves to.
func (f *fleetManager) poolMachine(st *batch.State, m Machine, unmovable bool, usable map[batch.Incarnation]bool, now time.Duration) placement.Machine {
	out := placement.Machine{ID: m.ID, Pool: m.Pool, CPUMillis: int64(m.Capacity.GetCpuMillis()), Capacity: m.Capacity, Labels: m.Labels}
	orderedAt, hadOrder := f.answeredAt[m.ID]
	if to, ok := f.movingTo[m.ID]; ok {
		out.Pool = to
	}
	out.CooldownOver = !hadOrder || now-orderedAt > moveCooldown
	out.Arriving = m.State == MachineMoving || f.movingTo[m.ID] != ""
	spare := st.Pool(m.Pool).GetSpare()
	minion := st.Minion(m.MinionID)
	if minion != nil && minion.Pool == m.Pool {
		out.Incarnation = batch.IncarnationOf(minion.Life)
		load := st.LoadOf(out.Incarnation)
		out.Runs = load.Len()
		out.LongRunning = load.HasLongRunning()
		out.Available = usable[out.Incarnation] && !minion.Draining
		if !out.Arriving {
			out.ShrunkCPUMillis = max(out.CPUMillis-int64(minion.Capacity.GetCpuMillis()), 0)
		}
	}
	// Its minion may need a moment to get its first work.
	out.Arriving = out.Arriving || hadOrder && now-orderedAt < minionStartTime && m.State == MachineUp && !spare && !usable[out.Incarnation]
	out.Idle = f.idleFor(m.ID, out.Runs, now) > idleTimeout
	out.Available = (out.Available || spare) && m.State == MachineUp && !unmovable && !f.failedRecently(m.ID) && !st.IsZoneOut(m.AvailabilityZone)
	return out
}

// idleFor returns how long the machine has been seen without runs.
func (f *fleetManager) idleFor(id string, runs int, now time.Duration) time.Duration {
	since, ok := f.idleSince[id]
	if runs > 0 || !ok {
		f.idleSince[id] = now
		return 0
	}
	return now - since
}

// startMoves sends the orders for moves, until one must wait, and records the
// destinations until the provider lists the machines there.
func (f *fleetManager) startMoves(moves []placement.Move) {
	for _, m := range moves {
		sent := f.sendOrder(machineCall{machine: m.Machine, name: "move to " + m.To, incarnation: m.Incarnation, send: func(ctx context.Context, o MachineOrder) error {
			return f.opts.Provider.Move(ctx, o, m.To)
		}})
		if !sent {
			return
		}
		f.movingTo[m.Machine] = m.To
	}
}

// removeFinishedMoves removes the recorded destinations of machines that the
// provider lists as up in their new pool, or no longer lists.
func (f *fleetManager) removeFinishedMoves() {
	for id, to := range f.movingTo {
		if f.orders.isPending(id) {
			continue
		}
		m, listed := f.machines[id]
		arrived := listed && m.Pool == to && m.State == MachineUp && f.listedAfterOrder(id)
		if !listed || arrived {
			delete(f.movingTo, id)
		}
	}
}
