package control

import (
	"context"
	"slices"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/state"
	"bergamotdrum.example/bergamotdrum/internal/vmapi"
)

const (
	// milliVM is the unit of demand: 1,000 is one whole VM.
	milliVM = 1000
	// demandSmoothing is the weight of a new sample in the moving average of
	// demand. It averages over about 20 planning rounds of 1 s. A burst of some
	// seconds then moves no VM, since the move would be done too late for the
	// burst.
	demandSmoothing = 0.05
)

// planFleet proposes repairs, maintenance and moves of VMs between pools. Each
// plan is committed before the next planner runs, so that two plans do not use
// the same VM or the same availability budget (the most VMs that may be down at
// once).
func (l *leadership) planFleet(ctx context.Context) {
	if l.server.opts.Platform == nil {
		return
	}
	l.server.opts.StateMachine.Read(func(st *state.State) { l.demand.addSample(st) })
	l.cancelDrains(ctx)
	l.planIntents(ctx, "repairs", func(in fleet.CapacityInput) []*apiv1.Intent { return fleet.PlanRepairs(in.WaveInput) })
	l.planIntents(ctx, "maintenance", func(in fleet.CapacityInput) []*apiv1.Intent { return fleet.PlanWaves(in.WaveInput) })
	l.planIntents(ctx, "moves", fleet.PlanCapacity)
}

// planIntents commits the operations on VMs, called intents, that plan returns.
// The argument what names the intents in log messages.
func (l *leadership) planIntents(ctx context.Context, what string, plan func(fleet.CapacityInput) []*apiv1.Intent) {
	var intents []*apiv1.Intent
	l.server.opts.StateMachine.Read(func(st *state.State) { intents = plan(l.capacityInput(st)) })
	if len(intents) == 0 {
		return
	}
	l.commitChange(ctx, what+" planned", &apiv1.Command{Body: &apiv1.Command_CreateIntents{
		CreateIntents: &apiv1.CreateIntents{Intents: intents},
	}})
}

// cancelDrains cancels the drains (waits until a VM that gets no new work is
// idle) of maintenance objects that operators paused or removed.
func (l *leadership) cancelDrains(ctx context.Context) {
	var advances []*apiv1.IntentAdvance
	l.server.opts.StateMachine.Read(func(st *state.State) { advances = fleet.PlanCancellations(l.capacityInput(st).WaveInput) })
	if len(advances) == 0 {
		return
	}
	l.commitChange(ctx, "drains canceled", &apiv1.Command{Body: &apiv1.Command_AdvanceIntents{
		AdvanceIntents: &apiv1.AdvanceIntents{Advances: advances},
	}})
}

// capacityInput returns the input of the planners of repairs, maintenance and
// moves.
func (l *leadership) capacityInput(st *state.State) fleet.CapacityInput {
	return fleet.CapacityInput{
		WaveInput: fleet.WaveInput{
			// Log time, the largest time stamped on an applied command, does not
			// advance while nothing is committed.
			NowMS:   max(st.LogTimeMS, time.Now().UnixMilli()),
			VMs:     st.Fleet.VMs(),
			Intents: st.Fleet.Intents(),
			Index:   st.Index,
			Load:    st.Jobs.LeaseCount,
		},
		Demand: l.demand.perPool(),
	}
}

// demandEstimate is a moving average of the running and waiting work per pool,
// in thousandths of a VM.
type demandEstimate struct {
	mu    sync.Mutex
	pools map[string]float64
}

// addSample updates the averages of all pools. The first sample of a pool is
// taken as its average.
func (d *demandEstimate) addSample(st *state.State) {
	now := unsmoothedDemand(st)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range st.Index.Set.Pool {
		old, known := d.pools[pool.Name]
		if !known {
			old = now[pool.Name]
		}
		d.pools[pool.Name] = old + demandSmoothing*(now[pool.Name]-old)
	}
}

// perPool returns the averages by pool, in thousandths of a VM.
func (d *demandEstimate) perPool() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]uint64, len(d.pools))
	for pool, v := range d.pools {
		out[pool] = uint64(v)
	}
	return out
}

// unsmoothedDemand returns the current demand per pool, in thousandths of a VM.
// Requests count by the slots they need, and jobs by the resource of which they
// need the largest share of a VM.
func unsmoothedDemand(st *state.State) map[string]float64 {
	out := map[string]float64{}
	for _, a := range st.Membership.Snapshot().Allotments {
		svc := st.Index.Services[a.Service]
		if svc == nil || svc.SlotsPerMinion == 0 {
			continue
		}
		out[svc.Pool] += float64(a.Wanted) * milliVM / float64(svc.SlotsPerMinion)
	}
	capacity := map[string]*apiv1.Resources{}
	for _, job := range st.Jobs.Live() {
		c, ok := capacity[job.Pool]
		if !ok {
			c = maxCapacity(st.Fleet.InPool(job.Pool))
			capacity[job.Pool] = c
		}
		out[job.Pool] += milliVM * shareOfVM(job.Resources, c)
	}
	return out
}

// maxCapacity returns the largest amount of each resource that any of the VMs
// has.
func maxCapacity(vms []*apiv1.Vm) *apiv1.Resources {
	out := &apiv1.Resources{}
	for _, vm := range vms {
		out.CpuMillis = max(out.CpuMillis, vm.GetCapacity().GetCpuMillis())
		out.MemoryMb = max(out.MemoryMb, vm.GetCapacity().GetMemoryMb())
		out.Accelerators = max(out.Accelerators, vm.GetCapacity().GetAccelerators())
	}
	return out
}

// shareOfVM returns the share of a VM that a job needs, for the resource with
// the largest share. A resource that the VM lacks is ignored.
func shareOfVM(resources, capacity *apiv1.Resources) float64 {
	ratio := func(n, c uint32) float64 {
		if c == 0 {
			return 0
		}
		return float64(n) / float64(c)
	}
	return max(
		ratio(resources.GetCpuMillis(), capacity.GetCpuMillis()),
		ratio(resources.GetMemoryMb(), capacity.GetMemoryMb()),
		ratio(resources.GetAccelerators(), capacity.GetAccelerators()),
	)
}

// runExecutor carries out the committed intents, which are operations on VMs,
// while this replica leads.
func (l *leadership) runExecutor() {
	if l.server.opts.Platform == nil {
		return
	}
	vmapi.NewExecutor(vmapi.ExecutorOptions{
		Store:        l,
		Platform:     l.server.opts.Platform,
		IsIdle:       l.isIdle,
		DrainTimeout: l.drainTimeout,
		Clock:        l.server.opts.Clock,
		Log:          l.server.opts.Log,
	}).Run(l.ctx)
}

// Intents implements vmapi.IntentStore.
func (l *leadership) Intents() []*apiv1.Intent {
	var out []*apiv1.Intent
	l.server.opts.StateMachine.Read(func(st *state.State) { out = st.Fleet.Intents() })
	return out
}

// Advance implements vmapi.IntentStore.
func (l *leadership) Advance(ctx context.Context, cmd *apiv1.AdvanceIntents) error {
	_, err := l.propose(ctx, &apiv1.Command{Body: &apiv1.Command_AdvanceIntents{AdvanceIntents: cmd}})
	return err
}

// isIdle reports whether nothing runs on the intent's VM and nothing will be sent
// to it. A leaving VM gets no new work from an entry process that has a view (its
// copy of the part of the state that it needs) in which the VM is leaving. The
// view that this leader had when it first saw the VM leaving is such a view, so
// every process must have acknowledged that one or a later one.
func (l *leadership) isIdle(in *apiv1.Intent) bool {
	leases := 0
	var view uint64
	leaving := false
	l.server.opts.StateMachine.Read(func(st *state.State) {
		leases = st.Jobs.LeaseCount(in.Vm)
		view = st.ViewVersion
		leaving = slices.Contains(st.Fleet.LeavingVMs(), in.Vm)
	})
	if !leaving {
		return false
	}
	since := l.leavingViews.recordFirst(in.OperationId, view)
	l.syncSessions()
	return leases == 0 && l.sessions.drained(in.Vm, since)
}

// firstSeenViews holds by operation id the view version at which this leader
// first saw the VM leaving. The executor of operations calls its method from
// several goroutines.
type firstSeenViews struct {
	mu       sync.Mutex
	versions map[string]uint64
}

// recordFirst returns the version recorded for the operation. The first call
// records view.
func (f *firstSeenViews) recordFirst(operationID string, view uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.versions == nil {
		f.versions = map[string]uint64{}
	}
	if _, ok := f.versions[operationID]; !ok {
		f.versions[operationID] = view
	}
	return f.versions[operationID]
}

// drainTimeout returns how long the VM of a draining intent may take to become
// idle before its operation starts.
func (l *leadership) drainTimeout(in *apiv1.Intent) time.Duration {
	var timeout time.Duration
	l.server.opts.StateMachine.Read(func(st *state.State) { timeout = fleet.DrainTimeout(in, st.Index) })
	return timeout
}
