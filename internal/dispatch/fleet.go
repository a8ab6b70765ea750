package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// fleetInterval is the time between two rounds (passes) of the fleet manager.
	fleetInterval = 50 * time.Millisecond
	// activeListInterval is the age from which the list of machines is read again
	// while a wave (a list of machines to be maintained) is open or a machine is
	// moving to another pool.
	activeListInterval = 600 * time.Millisecond
	// idleListInterval is the same at other times.
	idleListInterval = 2 * time.Second
	// failedOrderBackoff is how long a machine gets no order after one failed.
	failedOrderBackoff = time.Second
	// providerTimeout bounds one call to the provider.
	providerTimeout = 2 * time.Second
	// maxReservedAge is how long minions stay reserved without a completed round, which
	// may wait for one call to the provider. Without rounds no order is planned.
	maxReservedAge = providerTimeout + 2*fleetInterval
)

// FleetOptions configures the management of machines.
type FleetOptions struct {
	// Provider is nil when machines are not managed.
	Provider Provider
	// Holder names this process in orders to the provider.
	Holder string
	// TakeoverDelay is how long a new leader gives no machine orders, so that the
	// holder of orders never changes twice within this time.
	TakeoverDelay time.Duration
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
	// OrdersPerSecond is how many orders the provider accepts; zero means no limit.
	OrdersPerSecond int
}

// fleetManager manages the machines, which minions (worker processes) run on,
// during one term: it moves them between pools and takes them down for
// maintenance. It works in rounds, one per fleetInterval.
type fleetManager struct {
	d    *Dispatcher
	opts FleetOptions
	// firstOrderAt is when this leader may give its first machine order.
	firstOrderAt time.Duration

	// mu guards the sets that the planning rounds read, and reservedAt, and the arrivals
	// that the forecasts read.
	mu sync.Mutex
	// reserved holds the incarnations (lifetimes of a minion's process) that get
	// no new work because their machine is draining for maintenance, is about to
	// be moved, or has an unanswered order. Minions that are draining or
	// quarantined themselves are not in it. It is nil from maxReservedAge after
	// reservedAt until the next completed round.
	reserved map[batch.Incarnation]bool
	// reservedAt is when reserved was last set, or a round began to plan with it.
	reservedAt time.Duration
	// maintenanceRanks holds the incarnations whose machine belongs to an open wave
	// (a maintenance request that is not completed) and has yet to be maintained, with
	// their placement.Input.MaintenanceRank.
	maintenanceRanks map[batch.Incarnation]int
	// arrivals are the machines that were on their way to pools at arrivalsAsOf.
	arrivals     []machineArrival
	arrivalsAsOf time.Duration

	// availabilityMu is locked while it is decided which long-running tasks may become
	// unavailable. It guards maintainedIncarnation and relocated.
	availabilityMu sync.Mutex
	// relocated holds the tasks that were stopped on draining minions and don't run
	// elsewhere yet.
	relocated map[batch.TaskRef]bool
	// drainingSeen holds when the leader first saw that an incarnation drains, nil before
	// its first look. Only the relocation loop uses it.
	drainingSeen map[batch.Incarnation]time.Duration

	// Only the manager's goroutine uses the fields below, but for orders, which
	// synchronizes itself. Maps are by machine id if not said otherwise.

	// machines holds the entries of the provider's list, as requested at listedAt, that
	// can be used.
	machines map[string]Machine
	// unusable holds the machines that the list names in entries that can't be used,
	// and unnamed counts its entries that name no machine.
	unusable map[string]bool
	unnamed  int
	listedAt time.Duration
	// receivedAt is when the list arrived.
	receivedAt time.Duration
	// missingLists holds how many lists in a row, the latest included, lack a machine of
	// an open wave. Lists that were requested before the wave was accepted don't count.
	missingLists map[machineInWave]int
	// listOutdated is set when the next round is to read the list again.
	listOutdated bool
	// answeredAt holds when a round recorded that a machine's last successful
	// order was carried out. A list of machines requested before may still show
	// the machine as it was before the order.
	answeredAt map[string]time.Duration
	// machinesDue holds, for each machine of an open wave, whether its maintenance
	// is still to be done. The wave's due time is another matter: it is the
	// deadline.
	machinesDue map[string]bool
	// availability describes the long-running tasks in this round. Tasks that the
	// round makes unavailable are counted in it.
	availability taskAvailability
	// maintainedIncarnation holds the incarnation that ran on a machine when its
	// maintenance was first ordered in this term.
	maintainedIncarnation map[string]batch.Incarnation
	// startSeen holds the ordered maintenance during which the list showed the machine
	// in maintenance. Its commit waits for the answer to a repeated order, and the
	// machine may be back by then.
	startSeen map[machineInWave]bool
	// clearing holds the machine to clear of each pool.
	clearing map[string]clearedMachine
	// relocationDemands holds the latest demand for room of each pool by a task that
	// can't be relocated.
	relocationDemands map[string]relocationDemand
	// nextRelocationAt holds from when on a task may be relocated from a machine.
	nextRelocationAt map[string]time.Duration
	// waitsLoggedAt holds when it was last logged, by wave, why its machines wait.
	waitsLoggedAt map[uint64]time.Duration
	// failedAt holds when an order for a machine last failed.
	failedAt map[string]time.Duration
	// movingTo holds the destination pools of machines that are moving.
	movingTo map[string]string
	// ending holds the incarnations that an order may end. It synchronizes itself.
	ending endingIncarnations
	// checks is held while it is checked whether an order may end tasks and until that
	// is recorded, so that the orders are counted together.
	checks sync.Mutex
	// orders limits the orders and holds those that are not answered yet.
	orders *machineOrders
	// capacityLoggedAt is when the capacity of the pools was last logged.
	capacityLoggedAt time.Duration
	// samples holds the demands of the last peakWindow by pool.
	samples map[string][]demandSample
	// startRates holds the leader's rates of starts of the last startRateMemory in
	// rounds in which it was the limit.
	startRates []rateSample
	// idleSince holds when a machine was last seen with runs, or first seen.
	idleSince map[string]time.Duration
	// drainingSince holds since when a machine is draining for maintenance: it
	// gets no new work, and its finite tasks, which end by themselves, are
	// awaited.
	drainingSince map[string]time.Duration
}

// machineInWave names one machine of a wave.
type machineInWave struct {
	wave    uint64
	machine string
}

func newFleetManager(d *Dispatcher, now time.Duration) *fleetManager {
	return &fleetManager{
		d: d, opts: d.opts.Fleet,
		firstOrderAt:          now + d.opts.Fleet.TakeoverDelay,
		reserved:              map[batch.Incarnation]bool{},
		answeredAt:            map[string]time.Duration{},
		failedAt:              map[string]time.Duration{},
		waitsLoggedAt:         map[uint64]time.Duration{},
		maintainedIncarnation: map[string]batch.Incarnation{},
		startSeen:             map[machineInWave]bool{},
		clearing:              map[string]clearedMachine{},
		relocationDemands:     map[string]relocationDemand{},
		nextRelocationAt:      map[string]time.Duration{},
		relocated:             map[batch.TaskRef]bool{},
		movingTo:              map[string]string{},
		ending:                endingIncarnations{until: map[batch.Incarnation]time.Duration{}},
		orders:                newMachineOrders(d.opts.Fleet.OrdersPerSecond),
		idleSince:             map[string]time.Duration{},
		samples:               map[string][]demandSample{},
		drainingSince:         map[string]time.Duration{},
	}
}

// reservedAndDue returns the incarnations that get no new work, and the ranks of those
// whose machine is due for maintenance. The planning rounds call it. Without completed
// rounds only incarnations that an order on its way may end are reserved.
func (f *fleetManager) reservedAndDue() (reserved map[batch.Incarnation]bool, maintenanceRanks map[batch.Incarnation]int) {
	now := f.d.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if now-f.reservedAt > maxReservedAge {
		f.reserved = nil
	}
	reserved = maps.Clone(f.reserved)
	if reserved == nil {
		reserved = map[batch.Incarnation]bool{}
		for _, inc := range f.ending.list(now) {
			reserved[inc] = true
		}
	}
	return reserved, maps.Clone(f.maintenanceRanks)
}

// keepReserved prevents that the reservations expire while a round plans with them. If
// they have, minions may have got work, and the time to drain them begins again.
func (f *fleetManager) keepReserved() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reservedAt = f.d.clock.Now()
	if f.reserved == nil {
		f.drainingSince = map[string]time.Duration{}
	}
}

func (f *fleetManager) run() {
	if f.opts.Provider == nil {
		return
	}
	for f.d.ctx.Err() == nil {
		sleep(f.d.ctx, fleetInterval)
		if f.d.leadershipConfirmed() {
			f.round()
		}
	}
}

// round handles the answers to earlier orders, then advances the waves and plans
// moves between pools. Waves come first: the machines that they need don't move.
func (f *fleetManager) round() {
	if f.d.clock.Now() < f.firstOrderAt || !f.refreshMachines() {
		return
	}
	f.keepReserved()
	f.handleAnswers()
	f.removeFinishedMoves()
	draining, unmovable := f.advanceWaves()
	f.setReserved(draining, f.planCapacity(unmovable))
}

// setReserved sets which incarnations get no new work: those given, those on the
// given machines, which are draining, and those on machines with an unanswered
// order. It also sets the ranks of those whose machine is due for maintenance.
func (f *fleetManager) setReserved(machines []string, incarnations []batch.Incarnation) {
	now := f.d.clock.Now()
	reserved := map[batch.Incarnation]bool{}
	for _, inc := range slices.Concat(incarnations, f.ending.list(now)) {
		reserved[inc] = true
	}
	since := map[string]time.Duration{}
	var ranks map[batch.Incarnation]int
	f.d.opts.StateMachine.Read(func(st *state.State) {
		for _, id := range machines {
			since[id] = now
			if at, ok := f.drainingSince[id]; ok {
				since[id] = at
			}
			if minion := st.Batch.Minion(f.machines[id].MinionID); minion != nil {
				reserved[batch.IncarnationOf(minion.Life)] = true
			}
		}
		for _, id := range f.orders.pendingMachines() {
			if minion := st.Batch.Minion(f.machines[id].MinionID); minion != nil {
				reserved[batch.IncarnationOf(minion.Life)] = true
			}
		}
		ranks = f.rankDueMachines(st.Batch)
	})
	f.drainingSince = since
	f.mu.Lock()
	f.reserved, f.maintenanceRanks, f.reservedAt = reserved, ranks, now
	f.mu.Unlock()
}

// handleAnswers records the answers that arrived since the last round. A machine
// whose move failed counts for the pool in which the provider lists it.
func (f *fleetManager) handleAnswers() {
	for _, a := range f.orders.takeAnswers() {
		if !f.recordOutcome(a.call, a.err).done && a.call.maintenance == nil {
			delete(f.movingTo, a.call.machine)
		}
	}
}

// endIncarnation ends the session of an incarnation that the provider has ended
// with its machine, and releases the runs there, so that their tasks may run
// elsewhere.
func (f *fleetManager) endIncarnation(inc batch.Incarnation) {
	f.d.mu.Lock()
	s := f.d.sessions[inc]
	f.d.mu.Unlock()
	if s != nil {
		f.d.endIncarnation(f.d.ctx, s, "its machine was moved or taken down for maintenance", false)
	}
}

// sawStart reports whether the state of a machine's maintenance is "ordered" and a list
// has shown since the order that it has started.
func (f *fleetManager) sawStart(wave uint64, sv *apiv1.MachineService) bool {
	if sv.State != apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED {
		return false
	}
	key := machineInWave{wave, sv.Machine}
	if f.machines[sv.Machine].State == MachineInMaintenance {
		f.startSeen[key] = true
	}
	return f.startSeen[key]
}

// incarnationOn returns the incarnation that runs on a machine, or the zero value
// when it is not known.
func (f *fleetManager) incarnationOn(machine string) (inc batch.Incarnation) {
	f.d.opts.StateMachine.Read(func(st *state.State) {
		if m := st.Batch.Minion(f.machines[machine].MinionID); m != nil {
			inc = batch.IncarnationOf(m.Life)
		}
	})
	return inc
}

// stopRun asks all sessions, the leader's exchanges with minions, to stop a run,
// one execution of a task. Only the session of the minion that the run is
// committed on acts. stopRun returns before the minion has answered.
func (d *Dispatcher) stopRun(key batch.RunKey) {
	for _, s := range d.sessionList() {
		s.stopRun(key)
	}
}
