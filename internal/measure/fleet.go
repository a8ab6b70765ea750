package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	vmsPerPool          = 10
	drainDuration       = 10 * time.Second
	rebootDuration      = 120 * time.Second
	moveDuration        = 60 * time.Second
	maxWaveDuration     = 4 * time.Hour
	capacitySimDuration = 4 * time.Hour
	demandPeriod        = 10 * time.Minute
	// One pool at a time has a demand of demandHigh VMs, more than it holds; each
	// other one has a demand of demandLow VMs.
	demandHigh = 14.0
	demandLow  = 1.5
	// vmFailuresPerVMDay is the rate of failures per VM and day, each for
	// failureDuration. The expected rate of 21 a day for 3,200 VMs would cause no
	// failure among 50 VMs, so the rate is 100 times that.
	vmFailuresPerVMDay = 0.66
	failureDuration    = 10 * time.Minute
	// demandSmoothing is the weight of the newest value in the leader's exponential
	// smoothing of the demand, once per round of 1 s.
	demandSmoothing = 0.05
)

// fleetSim simulates a fleet of VMs in steps of one second.
type fleetSim struct {
	ix         *objects.Index
	state      *fleet.State
	rng        *rand.Rand
	now        time.Duration
	phaseStart map[string]time.Duration
	downUntil  map[string]time.Duration
	moves      int
	violations int
}

func newFleetSim(ix *objects.Index, seed uint64) *fleetSim {
	f := &fleetSim{
		ix: ix, state: fleet.New(), rng: rand.New(rand.NewPCG(seed, seed)),
		phaseStart: map[string]time.Duration{}, downUntil: map[string]time.Duration{},
	}
	f.state.SetConfig(ix)
	cmd := &apiv1.ObserveVms{}
	for p, pool := range ix.Set.Pool {
		for i := range vmsPerPool {
			id := fmt.Sprintf("vm-%d-%02d", p, i)
			cmd.Observations = append(cmd.Observations, &apiv1.VmObservation{
				Vm: id, Pool: pool.Name, AvailabilityZone: zoneOf(ix, i/rackSize),
				Rack: fmt.Sprintf("rack-%d-%d", p, i/rackSize), WorkerId: "worker-" + id,
				Capacity: &apiv1.Resources{CpuMillis: 16000, MemoryMb: 32 << 10},
			})
		}
	}
	f.state.Observe(0, cmd, ix)
	return f
}

// nowMS returns the simulated time in milliseconds. It is never 0, which stands for
// an unset time.
func (f *fleetSim) nowMS() int64 { return 1 + f.now.Milliseconds() }

// injectFailures takes VMs down at random and back up after failureDuration,
// independently of what the planners do.
func (f *fleetSim) injectFailures() {
	cmd := &apiv1.ObserveVms{}
	for _, vm := range f.state.VMs() {
		until, down := f.downUntil[vm.Id]
		switch {
		case down && f.now >= until:
			delete(f.downUntil, vm.Id)
			cmd.Observations = append(cmd.Observations, f.observation(vm, false))
		case !down && vm.Down:
			// An operation has left the VM down; its worker announces itself after
			// the reboot.
			cmd.Observations = append(cmd.Observations, f.observation(vm, false))
		case !down && f.rng.Float64() < vmFailuresPerVMDay/(24*3600):
			f.downUntil[vm.Id] = f.now + failureDuration
			cmd.Observations = append(cmd.Observations, f.observation(vm, true))
		}
	}
	if len(cmd.Observations) > 0 {
		f.state.Observe(f.nowMS(), cmd, f.ix)
	}
}

func (f *fleetSim) observation(vm *apiv1.Vm, down bool) *apiv1.VmObservation {
	return &apiv1.VmObservation{
		Vm: vm.Id, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack, Capacity: vm.Capacity,
		WorkerId: vm.WorkerId, Down: down,
	}
}

// createIntents commits a plan and checks the availability budgets without the code
// under test. A VM failure may exceed a budget, but an operation must not start
// if it leads to more unavailable VMs than the budget allows.
func (f *fleetSim) createIntents(intents []*apiv1.Intent) {
	if len(intents) == 0 {
		return
	}
	before := f.unavailableByPool()
	rejected := f.state.CreateIntents(f.nowMS(), &apiv1.CreateIntents{Intents: intents}, f.ix)
	f.moves += len(intents) - len(rejected)
	for pool, n := range f.unavailableByPool() {
		limit := int(f.ix.Budgets[f.ix.Pools[pool].AvailabilityBudget].MaxDown)
		if n > before[pool] && n > limit {
			f.violations++
		}
	}
}

// unavailableByPool counts the VMs of each pool that are down, quarantined or in an
// operation.
func (f *fleetSim) unavailableByPool() map[string]int {
	out := map[string]int{}
	for _, vm := range f.state.VMs() {
		if vm.Down || vm.OperationId != "" || vm.Quarantined {
			out[vm.Pool]++
		}
	}
	return out
}

// advanceIntents moves each operation to its next phase when the duration of its
// current phase is over.
func (f *fleetSim) advanceIntents() {
	cmd := &apiv1.AdvanceIntents{}
	for _, in := range f.state.Intents() {
		if fleet.Finished(in.Phase) {
			continue
		}
		key := in.OperationId + in.Phase.String()
		since, ok := f.phaseStart[key]
		if !ok {
			f.phaseStart[key] = f.now
			continue
		}
		length := rebootDuration
		if in.Kind == apiv1.IntentKind_INTENT_KIND_MOVE {
			length = moveDuration
		}
		switch {
		case in.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING && f.now-since >= drainDuration:
			cmd.Advances = append(cmd.Advances, &apiv1.IntentAdvance{OperationId: in.OperationId, Phase: apiv1.IntentPhase_INTENT_PHASE_OPERATING})
		case in.Phase == apiv1.IntentPhase_INTENT_PHASE_OPERATING && f.now-since >= length:
			cmd.Advances = append(cmd.Advances, &apiv1.IntentAdvance{OperationId: in.OperationId, Phase: apiv1.IntentPhase_INTENT_PHASE_DONE})
		}
	}
	if len(cmd.Advances) > 0 {
		f.state.AdvanceIntents(f.nowMS(), cmd, f.ix)
	}
}

func (f *fleetSim) waveInput() fleet.WaveInput {
	return fleet.WaveInput{NowMS: f.nowMS(), VMs: f.state.VMs(), Intents: f.state.Intents(), Index: f.ix}
}

// WaveResult describes the roll-out of one maintenance wave over one pool.
type WaveResult struct {
	Policy     string
	Pool       string
	RollOut    time.Duration
	Finished   bool
	Violations int // starts of operations that exceeded the budget
}

// Wave measures a wave that takes down as many VMs at once as the availability
// budget allows, and one that takes down one VM at a time.
func Wave(ix *objects.Index, seed uint64) []WaveResult {
	pool := ix.Set.Pool[0].Name
	return []WaveResult{
		wave(ix, seed, pool, "as the budget allows", 0),
		wave(ix, seed, pool, "one VM at a time", 1),
	}
}

// wave measures a wave with max_parallel set to parallel, 0 for no such limit.
func wave(ix *objects.Index, seed uint64, pool, policy string, parallel uint32) WaveResult {
	set := proto.CloneOf(ix.Set)
	set.Maintenance = []*apiv1.Maintenance{{
		Name: "wave", Pool: pool, Action: apiv1.IntentKind_INTENT_KIND_REBOOT,
		State: apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING, MaxParallel: parallel, DrainTimeoutMs: 60000,
	}}
	f := newFleetSim(objects.NewIndex(set), seed)
	out := WaveResult{Policy: policy, Pool: pool}
	for ; f.now < maxWaveDuration; f.now += time.Second {
		f.injectFailures()
		f.advanceIntents()
		f.createIntents(fleet.PlanWaves(f.waveInput()))
		if f.isPoolMaintained(pool) {
			out.Finished = true
			break
		}
	}
	out.RollOut = f.now
	out.Violations = f.violations
	return out
}

// isPoolMaintained reports whether each VM of the pool has been maintained and is
// in no operation.
func (f *fleetSim) isPoolMaintained(pool string) bool {
	for _, vm := range f.state.InPool(pool) {
		if vm.LastMaintainedUnixMs == 0 || vm.OperationId != "" {
			return false
		}
	}
	return true
}

// CapacityResult compares the cost of unused capacity with the demand that was
// not met.
type CapacityResult struct {
	Policy string
	// IdleVMHours is the capacity above the demand and UnmetVMHours the demand above
	// the capacity, both summed over time and over all pools but the spare ones.
	IdleVMHours, UnmetVMHours float64
	Moves                     int
	Violations                int
}

// Capacity measures the capacity planner and, for comparison, pools of fixed size.
func Capacity(ix *objects.Index, seed uint64) []CapacityResult {
	return []CapacityResult{
		capacityPlanned(ix, seed),
		capacityFixed(ix, "fixed: 10 VMs a pool", vmsPerPool),
		capacityFixed(ix, "fixed: each pool at its peak", int(math.Ceil(demandHigh))),
	}
}

// poolDemand returns the demand of a pool in VMs. The pools have high demand in
// turn, for demandPeriod each.
func poolDemand(pool, pools int, now time.Duration) float64 {
	if int(now/demandPeriod)%pools == pool {
		return demandHigh
	}
	return demandLow
}

func capacityPlanned(ix *objects.Index, seed uint64) CapacityResult {
	f := newFleetSim(ix, seed)
	out := CapacityResult{Policy: "planner, policy " + policyName(ix)}
	smoothedDemand := map[string]float64{}
	for ; f.now < capacitySimDuration; f.now += time.Second {
		f.injectFailures()
		f.advanceIntents()
		demand := map[string]uint64{}
		for i, pool := range ix.Set.Pool {
			if pool.Spare {
				continue
			}
			d := poolDemand(i, len(ix.Set.Pool)-1, f.now)
			smoothedDemand[pool.Name] += demandSmoothing * (d - smoothedDemand[pool.Name])
			demand[pool.Name] = uint64(1000 * smoothedDemand[pool.Name])
			out.add(float64(f.availableVMs(pool.Name)), d)
		}
		f.createIntents(fleet.PlanCapacity(fleet.CapacityInput{WaveInput: f.waveInput(), Demand: demand}))
	}
	out.Moves = f.moves
	out.Violations = f.violations
	return out
}

// availableVMs counts the VMs of a pool that can take work.
func (f *fleetSim) availableVMs(pool string) int {
	n := 0
	for _, vm := range f.state.InPool(pool) {
		if fleet.Available(vm, f.ix) && vm.OperationId == "" {
			n++
		}
	}
	return n
}

// capacityFixed measures pools of size VMs each, without failures and operations.
func capacityFixed(ix *objects.Index, policy string, size int) CapacityResult {
	out := CapacityResult{Policy: policy}
	for now := time.Duration(0); now < capacitySimDuration; now += time.Second {
		for i, pool := range ix.Set.Pool {
			if !pool.Spare {
				out.add(float64(size), poolDemand(i, len(ix.Set.Pool)-1, now))
			}
		}
	}
	return out
}

// add adds one second in which a pool had the given capacity and demand, in VMs.
func (r *CapacityResult) add(up, demand float64) {
	r.IdleVMHours += max(0, up-demand) / 3600
	r.UnmetVMHours += max(0, demand-up) / 3600
}

func policyName(ix *objects.Index) string {
	if len(ix.Set.CapacityPolicy) == 0 {
		return "none"
	}
	return ix.Set.CapacityPolicy[0].Name
}
