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
	// demandGain smooths demand over about 20 planning rounds of 1 s, which is
	// longer than a burst of some seconds; a move would come too late for one.
	demandGain = 0.05
)

// planFleet proposes maintenance, repairs and moves between pools. Each result
// is committed before the next planner runs, so that plans do not overlap.
func (l *leadership) planFleet(ctx context.Context) {
	if l.s.o.Platform == nil {
		return
	}
	l.s.o.StateMachine.Read(func(st *state.State) { l.demand.update(st) })
	l.cancelDrains(ctx)
	l.planIntents(ctx, "repairs", func(in fleet.CapacityInput) []*apiv1.Intent { return fleet.PlanRepairs(in.WaveInput) })
	l.planIntents(ctx, "maintenance", func(in fleet.CapacityInput) []*apiv1.Intent { return fleet.PlanWaves(in.WaveInput) })
	l.planIntents(ctx, "moves", fleet.PlanCapacity)
}

func (l *leadership) planIntents(ctx context.Context, what string, plan func(fleet.CapacityInput) []*apiv1.Intent) {
	var intents []*apiv1.Intent
	l.s.o.StateMachine.Read(func(st *state.State) { intents = plan(l.capacityInput(st)) })
	if len(intents) == 0 {
		return
	}
	l.commit(ctx, what+" of VMs", &apiv1.Command{Body: &apiv1.Command_CreateIntents{
		CreateIntents: &apiv1.CreateIntents{Intents: intents},
	}})
}

// cancelDrains ends the drains of maintenance that operators paused or removed.
func (l *leadership) cancelDrains(ctx context.Context) {
	var advances []*apiv1.IntentAdvance
	l.s.o.StateMachine.Read(func(st *state.State) { advances = fleet.PlanCancellations(l.capacityInput(st).WaveInput) })
	if len(advances) == 0 {
		return
	}
	l.commit(ctx, "drains canceled", &apiv1.Command{Body: &apiv1.Command_AdvanceIntents{
		AdvanceIntents: &apiv1.AdvanceIntents{Advances: advances},
	}})
}

func (l *leadership) capacityInput(st *state.State) fleet.CapacityInput {
	return fleet.CapacityInput{
		WaveInput: fleet.WaveInput{
			// Log time stands still while nothing commits.
			NowMS:   max(st.LogTimeMS, time.Now().UnixMilli()),
			VMs:     st.Fleet.VMs(),
			Intents: st.Fleet.Intents(),
			Index:   st.Index,
			Load:    st.Jobs.LeaseCount,
		},
		Demand: l.demand.perPool(),
	}
}

// demandEstimate smooths the work running and waiting per pool, in milli-VMs.
type demandEstimate struct {
	mu    sync.Mutex
	pools map[string]float64
}

func (d *demandEstimate) update(st *state.State) {
	now := currentDemand(st)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range st.Index.Set.Pool {
		old, known := d.pools[pool.Name]
		if !known {
			old = now[pool.Name]
		}
		d.pools[pool.Name] = old + demandGain*(now[pool.Name]-old)
	}
}

func (d *demandEstimate) perPool() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]uint64, len(d.pools))
	for pool, v := range d.pools {
		out[pool] = uint64(v)
	}
	return out
}

// currentDemand counts requests by slots and jobs by their largest resource.
func currentDemand(st *state.State) map[string]float64 {
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
			c = largest(st.Fleet.InPool(job.Pool))
			capacity[job.Pool] = c
		}
		out[job.Pool] += milliVM * part(job.Resources, c)
	}
	return out
}

func largest(vms []*apiv1.Vm) *apiv1.Resources {
	out := &apiv1.Resources{}
	for _, vm := range vms {
		out.CpuMillis = max(out.CpuMillis, vm.GetCapacity().GetCpuMillis())
		out.MemoryMb = max(out.MemoryMb, vm.GetCapacity().GetMemoryMb())
		out.Accelerators = max(out.Accelerators, vm.GetCapacity().GetAccelerators())
	}
	return out
}

// part is the share of a VM that a job takes, by the resource it takes most of.
func part(need, capacity *apiv1.Resources) float64 {
	ratio := func(n, c uint32) float64 {
		if c == 0 {
			return 0
		}
		return float64(n) / float64(c)
	}
	return max(
		ratio(need.GetCpuMillis(), capacity.GetCpuMillis()),
		ratio(need.GetMemoryMb(), capacity.GetMemoryMb()),
		ratio(need.GetAccelerators(), capacity.GetAccelerators()),
	)
}

// runExecutor carries out the committed intents while this replica leads.
func (l *leadership) runExecutor() {
	if l.s.o.Platform == nil {
		return
	}
	vmapi.NewExecutor(vmapi.ExecutorOptions{
		Store:        l,
		Platform:     l.s.o.Platform,
		IsIdle:       l.idle,
		DrainTimeout: l.drainTimeout,
		Clock:        l.s.o.Clock,
		Log:          l.s.o.Log,
	}).Run(l.ctx)
}

// Intents implements vmapi.IntentStore.
func (l *leadership) Intents() []*apiv1.Intent {
	var out []*apiv1.Intent
	l.s.o.StateMachine.Read(func(st *state.State) { out = st.Fleet.Intents() })
	return out
}

// Advance implements vmapi.IntentStore.
func (l *leadership) Advance(ctx context.Context, cmd *apiv1.AdvanceIntents) error {
	_, err := l.propose(ctx, &apiv1.Command{Body: &apiv1.Command_AdvanceIntents{AdvanceIntents: cmd}})
	return err
}

// idle reports whether nothing runs on the intent's VM and nothing more will be
// sent to it. The view in which the VM is leaving is at most the one that this
// leader had when it first saw the intent.
func (l *leadership) idle(in *apiv1.Intent) bool {
	leases := 0
	var view uint64
	leaving := false
	l.s.o.StateMachine.Read(func(st *state.State) {
		leases = st.Jobs.LeaseCount(in.Vm)
		view = st.ViewVersion
		leaving = slices.Contains(st.Fleet.LeavingVMs(), in.Vm)
	})
	if !leaving {
		return false
	}
	since := l.leavingSince.first(in.OperationId, view)
	l.syncSessions()
	return leases == 0 && l.sessions.drained(in.Vm, since)
}

// firstViews remembers the view version at which this leader first saw each
// draining operation. The executor asks for several operations at once.
type firstViews struct {
	mu       sync.Mutex
	versions map[string]uint64
}

func (f *firstViews) first(operationID string, view uint64) uint64 {
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

func (l *leadership) drainTimeout(in *apiv1.Intent) time.Duration {
	var timeout time.Duration
	l.s.o.StateMachine.Read(func(st *state.State) { timeout = fleet.DrainTimeout(in, st.Index) })
	return timeout
}
