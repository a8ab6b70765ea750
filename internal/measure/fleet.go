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
	vmsPerPool    = 10
	drainTime     = 10 * time.Second
	operationTime = 120 * time.Second
	moveTime      = 60 * time.Second
	waveLimit     = 4 * time.Hour
	demandLength  = 4 * time.Hour
	demandTurn    = 10 * time.Minute
	// One pool at a time asks for demandHigh VMs, more than it holds; the others
	// for demandLow.
	demandHigh = 14.0
	demandLow  = 1.5
	// Failures a day of one VM, each for failureTime. The expected rate
	// of 21 for 3,200 VMs would show none among 50, so it is 100 times that.
	vmFailuresPerVMDay = 0.66
	failureTime        = 10 * time.Minute
	// demandSmoothing is the leader's gain per round of 1 s.
	demandSmoothing = 0.05
)

// fleetSim advances a fleet in steps of one second.
type fleetSim struct {
	ix         *objects.Index
	st         *fleet.State
	rng        *rand.Rand
	now        time.Duration
	phaseSince map[string]time.Duration
	downUntil  map[string]time.Duration
	moves      int
	violations int
}

func newFleetSim(ix *objects.Index, seed uint64) *fleetSim {
	f := &fleetSim{
		ix: ix, st: fleet.New(), rng: rand.New(rand.NewPCG(seed, seed)),
		phaseSince: map[string]time.Duration{}, downUntil: map[string]time.Duration{},
	}
	f.st.SetConfig(ix)
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
	f.st.Observe(0, cmd, ix)
	return f
}

func (f *fleetSim) ms() int64 { return 1 + f.now.Milliseconds() }

// fail takes VMs down at random and back up, whatever the planners do.
func (f *fleetSim) fail() {
	cmd := &apiv1.ObserveVms{}
	for _, vm := range f.st.VMs() {
		until, down := f.downUntil[vm.Id]
		switch {
		case down && f.now >= until:
			delete(f.downUntil, vm.Id)
			cmd.Observations = append(cmd.Observations, f.observation(vm, false))
		case !down && vm.Down:
			// Its worker announces itself after the reboot.
			cmd.Observations = append(cmd.Observations, f.observation(vm, false))
		case !down && f.rng.Float64() < vmFailuresPerVMDay/(24*3600):
			f.downUntil[vm.Id] = f.now + failureTime
			cmd.Observations = append(cmd.Observations, f.observation(vm, true))
		}
	}
	if len(cmd.Observations) > 0 {
		f.st.Observe(f.ms(), cmd, f.ix)
	}
}

func (f *fleetSim) observation(vm *apiv1.Vm, down bool) *apiv1.VmObservation {
	return &apiv1.VmObservation{
		Vm: vm.Id, AvailabilityZone: vm.AvailabilityZone, Rack: vm.Rack, Capacity: vm.Capacity,
		WorkerId: vm.WorkerId, Down: down,
	}
}

// create commits a plan and checks the budgets independently. A VM that fails
// by itself may exceed a budget; an operation that starts then may not.
func (f *fleetSim) create(intents []*apiv1.Intent) {
	if len(intents) == 0 {
		return
	}
	before := f.unavailable()
	rejected := f.st.CreateIntents(f.ms(), &apiv1.CreateIntents{Intents: intents}, f.ix)
	f.moves += len(intents) - len(rejected)
	for pool, n := range f.unavailable() {
		limit := int(f.ix.Budgets[f.ix.Pools[pool].AvailabilityBudget].MaxDown)
		if n > before[pool] && n > limit {
			f.violations++
		}
	}
}

func (f *fleetSim) unavailable() map[string]int {
	out := map[string]int{}
	for _, vm := range f.st.VMs() {
		if vm.Down || vm.OperationId != "" || vm.Quarantined {
			out[vm.Pool]++
		}
	}
	return out
}

// advance moves operations on after their time.
func (f *fleetSim) advance() {
	cmd := &apiv1.AdvanceIntents{}
	for _, in := range f.st.Intents() {
		if fleet.Finished(in.Phase) {
			continue
		}
		key := in.OperationId + in.Phase.String()
		since, ok := f.phaseSince[key]
		if !ok {
			f.phaseSince[key] = f.now
			continue
		}
		length := operationTime
		if in.Kind == apiv1.IntentKind_INTENT_KIND_MOVE {
			length = moveTime
		}
		switch {
		case in.Phase == apiv1.IntentPhase_INTENT_PHASE_DRAINING && f.now-since >= drainTime:
			cmd.Advances = append(cmd.Advances, &apiv1.IntentAdvance{OperationId: in.OperationId, Phase: apiv1.IntentPhase_INTENT_PHASE_OPERATING})
		case in.Phase == apiv1.IntentPhase_INTENT_PHASE_OPERATING && f.now-since >= length:
			cmd.Advances = append(cmd.Advances, &apiv1.IntentAdvance{OperationId: in.OperationId, Phase: apiv1.IntentPhase_INTENT_PHASE_DONE})
		}
	}
	if len(cmd.Advances) > 0 {
		f.st.AdvanceIntents(f.ms(), cmd, f.ix)
	}
}

func (f *fleetSim) waveInput() fleet.WaveInput {
	return fleet.WaveInput{NowMS: f.ms(), VMs: f.st.VMs(), Intents: f.st.Intents(), Index: f.ix}
}

// WaveResult is the roll-out of one maintenance wave over one pool.
type WaveResult struct {
	Policy     string
	Pool       string
	RollOut    time.Duration
	Finished   bool
	Violations int
}

// Wave measures a wave as wide as the budget allows and one VM at a time.
func Wave(ix *objects.Index, seed uint64) []WaveResult {
	pool := ix.Set.Pool[0].Name
	return []WaveResult{
		wave(ix, seed, pool, "as the budget allows", 0),
		wave(ix, seed, pool, "one VM at a time", 1),
	}
}

func wave(ix *objects.Index, seed uint64, pool, policy string, parallel uint32) WaveResult {
	set := proto.CloneOf(ix.Set)
	set.Maintenance = []*apiv1.Maintenance{{
		Name: "wave", Pool: pool, Action: apiv1.IntentKind_INTENT_KIND_REBOOT,
		State: apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING, MaxParallel: parallel, DrainTimeoutMs: 60000,
	}}
	f := newFleetSim(objects.NewIndex(set), seed)
	out := WaveResult{Policy: policy, Pool: pool}
	for ; f.now < waveLimit; f.now += time.Second {
		f.fail()
		f.advance()
		f.create(fleet.PlanWaves(f.waveInput()))
		if f.maintained(pool) {
			out.Finished = true
			break
		}
	}
	out.RollOut = f.now
	out.Violations = f.violations
	return out
}

func (f *fleetSim) maintained(pool string) bool {
	for _, vm := range f.st.InPool(pool) {
		if vm.LastMaintainedUnixMs == 0 || vm.OperationId != "" {
			return false
		}
	}
	return true
}

// CapacityResult is the cost of capacity held in reserve against the demand
// that found none.
type CapacityResult struct {
	Policy string
	// IdleVMHours is capacity above the demand, UnmetVMHours demand above the
	// capacity, both summed over the pools that are not spare.
	IdleVMHours, UnmetVMHours float64
	Moves                     int
	Violations                int
}

// Capacity measures the planner against pools of fixed size.
func Capacity(ix *objects.Index, seed uint64) []CapacityResult {
	return []CapacityResult{
		capacityPlanned(ix, seed),
		capacityFixed(ix, "fixed: 10 VMs a pool", vmsPerPool),
		capacityFixed(ix, "fixed: each pool at its peak", int(math.Ceil(demandHigh))),
	}
}

// demandOf gives each pool its turn.
func demandOf(pool, pools int, now time.Duration) float64 {
	if int(now/demandTurn)%pools == pool {
		return demandHigh
	}
	return demandLow
}

func capacityPlanned(ix *objects.Index, seed uint64) CapacityResult {
	f := newFleetSim(ix, seed)
	out := CapacityResult{Policy: "planner, policy " + policyName(ix)}
	smooth := map[string]float64{}
	for ; f.now < demandLength; f.now += time.Second {
		f.fail()
		f.advance()
		demand := map[string]uint64{}
		for i, pool := range ix.Set.Pool {
			if pool.Spare {
				continue
			}
			d := demandOf(i, len(ix.Set.Pool)-1, f.now)
			smooth[pool.Name] += demandSmoothing * (d - smooth[pool.Name])
			demand[pool.Name] = uint64(1000 * smooth[pool.Name])
			out.add(float64(f.up(pool.Name)), d)
		}
		f.create(fleet.PlanCapacity(fleet.CapacityInput{WaveInput: f.waveInput(), Demand: demand}))
	}
	out.Moves = f.moves
	out.Violations = f.violations
	return out
}

func (f *fleetSim) up(pool string) int {
	n := 0
	for _, vm := range f.st.InPool(pool) {
		if fleet.Available(vm, f.ix) && vm.OperationId == "" {
			n++
		}
	}
	return n
}

func capacityFixed(ix *objects.Index, policy string, size int) CapacityResult {
	out := CapacityResult{Policy: policy}
	for now := time.Duration(0); now < demandLength; now += time.Second {
		for i, pool := range ix.Set.Pool {
			if !pool.Spare {
				out.add(float64(size), demandOf(i, len(ix.Set.Pool)-1, now))
			}
		}
	}
	return out
}

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
