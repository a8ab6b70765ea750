package dispatch

import (
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// forecastInterval is the shortest time between two forecasts of the pools' room.
	// Jobs that are accepted in between are counted in the last one.
	forecastInterval = 100 * time.Millisecond
	// laterMoveTime is the time until machines can run tasks that a pool gets if its demand
	// grows: some rounds notice it and order them.
	laterMoveTime = moveLeadTime + 500*time.Millisecond
	// firstContactTime is for how long a new leader takes recorded minions for usable
	// before it has heard from them.
	firstContactTime = 1500 * time.Millisecond
)

// machineArrival is a machine that is on its way to a pool.
type machineArrival struct {
	pool      string
	cpuMillis int64
	at        time.Duration
}

// claimForecast reports whether a forecast is due, which the caller then makes.
func (a *admission) claimForecast(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.forecastAt != 0 && now-a.forecastAt < forecastInterval {
		return false
	}
	a.forecastAt = now
	return true
}

// updateForecast makes a new forecast of the pools' room if one is due.
func (d *Dispatcher) updateForecast(now time.Duration) {
	if !d.admission.claimForecast(now) {
		return
	}
	in := placement.ForecastInput{NowUnixMS: time.Now().UnixMilli(), TakesWork: d.takesWork(now), Arrivals: d.fleet.arrivalsAt(now)}
	pending := d.admission.pendingIDs()
	committed := map[string]bool{}
	var forecast *placement.Forecast
	d.opts.StateMachine.Read(func(st *state.State) {
		in.State = st.Batch
		forecast = placement.NewForecast(in)
		for _, id := range pending {
			committed[id] = st.Batch.Job(id) != nil
		}
	})
	d.admission.setForecast(forecast, committed)
	d.admission.settle(committed)
	d.admission.log(now, d.log)
	d.admission.logMemory(now, d.log)
}

// admissionLogInterval is the time between two logs of the decisions on new jobs.
const admissionLogInterval = time.Second

// Forecasts returns the forecast of each pool, and the decisions on new jobs of this term.
func (d *Dispatcher) Forecasts() []*apiv1.BatchForecast {
	d.updateForecast(d.clock.Now())
	a := d.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*apiv1.BatchForecast
	for _, o := range a.room.Outlooks() {
		if o.Pool == "" {
			continue // minions without a pool in the catalog
		}
		total := a.totals[o.Pool]
		out = append(out, &apiv1.BatchForecast{
			Pool: o.Pool, RoomCpuMillis: o.RoomCPU, ArrivingCpuMillis: o.ArrivingCPU, WaitMs: o.WaitMS, LateWaitMs: o.LateWaitMS,
			Accepted: total.accepted, Refused: total.refused,
		})
	}
	return out
}

// decisionTotals counts the decisions on new jobs of a pool during the term.
type decisionTotals struct{ accepted, refused uint64 }

// decisionCounts counts the decisions on new jobs of one pool.
type decisionCounts struct {
	accepted int
	refused  map[placement.Reason]int
}

// count counts a decision; the caller holds the lock.
func (a *admission) count(pool string, r placement.Reason) {
	c := a.decisions[pool]
	if c == nil {
		c = &decisionCounts{refused: map[placement.Reason]int{}}
		a.decisions[pool] = c
	}
	total := a.totals[pool]
	if r == "" {
		c.accepted++
		total.accepted++
	} else {
		c.refused[r]++
		total.refused++
	}
	a.totals[pool] = total
}

// log logs, once in admissionLogInterval, the forecast and the decisions of each pool that
// refused jobs.
func (a *admission) log(now time.Duration, log *logrus.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.loggedAt < admissionLogInterval {
		return
	}
	a.loggedAt = now
	for _, o := range a.room.Outlooks() {
		if c := a.decisions[o.Pool]; c != nil && len(c.refused) > 0 {
			log.WithFields(logrus.Fields{
				"pool": o.Pool, "room_cpu_millis": o.RoomCPU, "arriving_cpu_millis": o.ArrivingCPU, "wait_ms": o.WaitMS,
				"late_wait_ms": o.LateWaitMS, "accepted": c.accepted, "refused": c.refused,
			}).Info("jobs are refused")
		}
	}
	clear(a.decisions)
}

// pendingIDs returns the ids of the jobs whose submission has no outcome yet, or an
// unknown one.
func (a *admission) pendingIDs() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.memory.Proposed()
}

// settle ends the proposals of jobs that are in the state, which counts them.
func (a *admission) settle(inState map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, known := range inState {
		if known {
			a.memory.Settle(id)
		}
	}
}

// setForecast sets the forecast and counts in it the pending jobs that it doesn't have,
// which are all but the committed ones.
func (a *admission) setForecast(f *placement.Forecast, committed map[string]bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.room.SetForecast(f)
	for id, j := range a.pending {
		if !committed[id] {
			a.room.Add(j.AcceptedQueue, j)
		}
	}
}

// takesWork returns whether a minion may get work, as far as the leader knows.
func (d *Dispatcher) takesWork(now time.Duration) func(*apiv1.BatchMinion) bool {
	reserved, _ := d.fleet.reservedAndDue()
	usable := map[batch.Incarnation]bool{}
	for _, s := range d.sessionList() {
		answers := s.usable(now)
		s.mu.Lock()
		usable[s.target.Incarnation] = answers && !s.health.quarantined(now)
		s.mu.Unlock()
	}
	isNew := now-d.startedAt < firstContactTime
	return func(m *apiv1.BatchMinion) bool {
		inc := batch.IncarnationOf(m.Life)
		return !reserved[inc] && (isNew || usable[inc])
	}
}

// addRefused adds to the demands what was refused for lack of room.
func (a *admission) addRefused(demands map[string]placement.Demand, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for pool, cpu := range a.room.RefusedCPU(now) {
		if d, ok := demands[pool]; ok {
			d.Ready += cpu
			demands[pool] = d
		}
	}
}

// recordArrivals records the machines on their way to pools, those that the plan moves
// included, and those that a pool could still get.
func (f *fleetManager) recordArrivals(in placement.CapacityInput, plan placement.CapacityPlan) {
	now := f.d.clock.Now()
	cpu := make(map[string]int64, len(in.Machines))
	var arrivals []machineArrival
	for _, m := range in.Machines {
		cpu[m.ID] = m.CPUMillis
		if !m.Arriving {
			continue
		}
		at := now + moveLeadTime
		if orderedAt, ok := f.answeredAt[m.ID]; ok && now-orderedAt < minionStartTime {
			at = max(orderedAt+moveLeadTime, now)
		}
		arrivals = append(arrivals, machineArrival{m.Pool, m.CPUMillis, at})
	}
	for _, m := range plan.Moves {
		arrivals = append(arrivals, machineArrival{m.To, cpu[m.Machine], now + moveLeadTime})
	}
	for pool, spare := range placement.SpareCPU(in) {
		arrivals = append(arrivals, machineArrival{pool, spare, now + laterMoveTime})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals, f.arrivalsAsOf = arrivals, now
}

// arrivalsAt returns the machines on their way, by pool.
func (f *fleetManager) arrivalsAt(now time.Duration) map[string][]placement.Arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string][]placement.Arrival{}
	if now-f.arrivalsAsOf > maxReservedAge {
		return out
	}
	for _, a := range f.arrivals {
		out[a.pool] = append(out[a.pool], placement.Arrival{CPUMillis: a.cpuMillis, InMS: max(a.at-now, 0).Milliseconds()})
	}
	return out
}
