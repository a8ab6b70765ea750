package dispatch

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// fleetInterval is the time between two rounds of the fleet manager.
	fleetInterval = 50 * time.Millisecond
	// activeListInterval bounds how old the list of machines may be while a wave is
	// open or a machine is on its way.
	activeListInterval = 600 * time.Millisecond
	// idleListInterval bounds it otherwise.
	idleListInterval = 2 * time.Second
	// failedOrderBackoff is how long a machine is left alone after an order for it
	// failed.
	failedOrderBackoff = time.Second
	// providerTimeout bounds one call to the platform.
	providerTimeout = 2 * time.Second
)

// FleetOptions configure the management of machines.
type FleetOptions struct {
	// Provider is nil when machines are not managed.
	Provider Provider
	// Holder names this process in orders.
	Holder string
	// TakeoverDelay is how long a new leader gives no orders, so that holders
	// never take turns within it.
	TakeoverDelay time.Duration
	// MaintenanceTime is how long a machine is away for service.
	MaintenanceTime time.Duration
	// OrdersPerSecond is how many orders the platform takes; zero is no limit.
	OrdersPerSecond int
}

// fleetManager gives orders for machines during one term.
type fleetManager struct {
	d    *Dispatcher
	opts FleetOptions
	// firstOrderAt is when this leader may give its first order.
	firstOrderAt time.Duration

	mu sync.Mutex
	// reservedLives holds the lives that get no new work.
	reserved map[batch.Incarnation]bool
	// leavingLives holds the lives whose machine is due for service.
	maintenanceDue map[batch.Incarnation]bool

	// The manager's goroutine alone uses these.
	machines map[string]Machine
	listedAt time.Duration
	// listOutdated asks for the list to be read in the next round.
	listOutdated bool
	// answeredAt holds when the last order for a machine was answered.
	answeredAt map[string]time.Duration
	// maintenanceDue holds the machines of open waves that are not serviced yet.
	machinesDue map[string]bool
	// availability is what the round knows of long-running tasks, less what it takes
	// from their work.
	availability taskAvailability
	// servicedLife holds the life that was on a machine when its service was
	// first ordered in this term.
	maintainedIncarnation map[string]batch.Incarnation
	// relocatedAt holds when a task was last moved off a machine.
	relocatedAt map[string]time.Duration
	// failedAt holds when an order for a machine last failed.
	failedAt map[string]time.Duration
	// movingTo holds the pools of machines that are on their way.
	movingTo map[string]string
	// orders holds those that are not answered yet.
	orders           *machineOrders
	capacityLoggedAt time.Duration
	// samples holds the demand of each pool over the last peakWindow.
	samples map[string][]demandSample
	// idleSince holds when a machine was last seen with runs.
	idleSince map[string]time.Duration
	// drainingSince holds since when a machine is being emptied.
	drainingSince map[string]time.Duration
}

func newFleetManager(d *Dispatcher, now time.Duration) *fleetManager {
	return &fleetManager{
		d: d, opts: d.opts.Fleet,
		firstOrderAt:          now + d.opts.Fleet.TakeoverDelay,
		reserved:              map[batch.Incarnation]bool{},
		answeredAt:            map[string]time.Duration{},
		failedAt:              map[string]time.Duration{},
		maintainedIncarnation: map[string]batch.Incarnation{},
		relocatedAt:           map[string]time.Duration{},
		movingTo:              map[string]string{},
		orders:                newMachineOrders(d.opts.Fleet.OrdersPerSecond),
		idleSince:             map[string]time.Duration{},
		samples:               map[string][]demandSample{},
		drainingSince:         map[string]time.Duration{},
	}
}

// reserved returns the lives that get no new work, and those whose machine is
// due for service.
func (f *fleetManager) reservedAndDue() (reserved, maintenanceDue map[batch.Incarnation]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.reserved), maps.Clone(f.maintenanceDue)
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

func (f *fleetManager) round() {
	if f.d.clock.Now() < f.firstOrderAt || !f.refreshMachines() {
		return
	}
	f.handleAnswers()
	f.removeFinishedMoves()
	draining, unmovable := f.advanceWaves()
	f.setReserved(draining, f.planCapacity(unmovable))
}

// refreshMachines reads the list of machines when it is too old.
func (f *fleetManager) refreshMachines() bool {
	now := f.d.clock.Now()
	interval := idleListInterval
	if len(f.movingTo) > 0 || f.wavesOpen() {
		interval = activeListInterval
	}
	if f.machines != nil && !f.listOutdated && now-f.listedAt < interval {
		return true
	}
	ctx, cancel := context.WithTimeout(f.d.ctx, providerTimeout)
	defer cancel()
	list, err := f.opts.Provider.Machines(ctx)
	if err != nil {
		if f.d.ctx.Err() == nil {
			f.d.log.WithError(err).Warn("list of machines cannot be read")
		}
		return false
	}
	f.machines = make(map[string]Machine, len(list))
	for _, m := range list {
		f.machines[m.ID] = m
	}
	f.listedAt, f.listOutdated = now, false
	return true
}

func (f *fleetManager) wavesOpen() bool {
	open := false
	f.d.opts.StateMachine.Read(func(st *state.State) { open = len(st.Batch.OpenWaves()) > 0 })
	return open
}

// setReserved replaces what gets no new work: the minions of machines that are
// due for service or have an order on its way, and lives.
func (f *fleetManager) setReserved(machines []string, incarnations []batch.Incarnation) {
	now := f.d.clock.Now()
	reserved := map[batch.Incarnation]bool{}
	for _, inc := range incarnations {
		reserved[inc] = true
	}
	since := map[string]time.Duration{}
	maintenanceDue := map[batch.Incarnation]bool{}
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
		for id, due := range f.machinesDue {
			if minion := st.Batch.Minion(f.machines[id].MinionID); minion != nil && due {
				maintenanceDue[batch.IncarnationOf(minion.Life)] = true
			}
		}
	})
	f.drainingSince = since
	f.mu.Lock()
	f.reserved, f.maintenanceDue = reserved, maintenanceDue
	f.mu.Unlock()
}

func (f *fleetManager) newOrder(machine string) MachineOrder {
	return MachineOrder{Machine: machine, Holder: f.opts.Holder, Token: f.d.term}
}

// machineCall is one order for a machine.
type machineCall struct {
	machine, name string
	// life is the one that the order ends. A repeated order may find that the
	// first one was carried out, and another life there since.
	incarnation batch.Incarnation
	call        func(ctx context.Context) error
	// service and its wave are set for a service, not for a move.
	service *apiv1.MachineService
	wave    uint64
	// commitFirst services are committed before the order leaves.
	commitFirst bool
}

// outcome of a machineCall: done when the platform has carried it out, refused
// when it certainly has not, neither when that is not known.
type outcome struct{ done, refused bool }

// send gives an order in the background: the rounds go on meanwhile, so that a
// slow platform delays no other machine. It returns false when the order must
// wait for earlier ones.
func (f *fleetManager) sendOrder(c machineCall) bool {
	if !f.d.leadershipConfirmed() || !f.orders.tryBegin(c.machine, f.d.clock.Now()) {
		return false
	}
	f.d.wg.Go(func() { f.orders.recordAnswer(machineAnswer{c, f.executeOrder(c)}) })
	return true
}

// errNotCommitted: the order was not committed, so it did not leave.
var errNotCommitted = errors.New("order was not committed")

// executeOrder commits an order that must be, gives it, releases what ran on the
// machine and commits the answer.
func (f *fleetManager) executeOrder(c machineCall) error {
	if c.commitFirst && !f.commitService(c.wave, c.service) || !f.d.leadershipConfirmed() {
		return errNotCommitted
	}
	err := f.callProvider(c)
	if err == nil {
		f.releaseIncarnation(c.incarnation)
	}
	if c.service == nil {
		return err
	}
	if next := serviceAfterAnswer(c.service, outcomeOf(err)); next != nil {
		f.commitService(c.wave, next)
	}
	return err
}

// handleAnswers takes over the answers that came since the last round. A machine
// whose move failed is where the list shows it.
func (f *fleetManager) handleAnswers() {
	for _, a := range f.orders.takeAnswers() {
		if !f.recordOutcome(a.call, a.err).done && a.call.service == nil {
			delete(f.movingTo, a.call.machine)
		}
	}
}

func (f *fleetManager) callProvider(c machineCall) error {
	ctx, cancel := context.WithTimeout(f.d.ctx, providerTimeout)
	defer cancel()
	return c.call(ctx)
}

// note records how an order ended.
func (f *fleetManager) recordOutcome(c machineCall, err error) outcome {
	log := f.d.log.WithFields(logrus.Fields{"machine": c.machine, "order": c.name, "list_age_ms": (f.d.clock.Now() - f.listedAt).Milliseconds()})
	if err == nil {
		log.Info("machine order carried out")
		f.answeredAt[c.machine] = f.d.clock.Now()
		return outcome{done: true}
	}
	log.WithError(err).Info("machine order was not carried out")
	f.failedAt[c.machine] = f.d.clock.Now()
	return outcomeOf(err)
}

func outcomeOf(err error) outcome {
	refusal, refused := errors.AsType[*ProviderRefusal](err)
	return outcome{done: err == nil, refused: refused && refusal.Reason != ProviderFenced}
}

func (f *fleetManager) failedRecently(machine string) bool {
	at, ok := f.failedAt[machine]
	return ok && f.d.clock.Now()-at < failedOrderBackoff
}

// releaseLife releases what ran on a machine's minion: the platform has ended it.
func (f *fleetManager) releaseIncarnation(inc batch.Incarnation) {
	f.d.mu.Lock()
	s := f.d.sessions[inc]
	f.d.mu.Unlock()
	if s != nil {
		f.d.endIncarnation(f.d.ctx, s, "its machine was ordered away")
	}
}

// lifeOn returns the life that runs on a machine, empty when it is not known.
func (f *fleetManager) incarnationOn(machine string) (inc batch.Incarnation) {
	f.d.opts.StateMachine.Read(func(st *state.State) {
		if m := st.Batch.Minion(f.machines[machine].MinionID); m != nil {
			inc = batch.IncarnationOf(m.Life)
		}
	})
	return inc
}

// stopRun has a run stopped wherever it is.
func (d *Dispatcher) stopRun(key batch.RunKey) {
	for _, s := range d.sessionList() {
		s.stopRun(key)
	}
}
