package fleet

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	operating = apiv1.IntentPhase_INTENT_PHASE_OPERATING
	done      = apiv1.IntentPhase_INTENT_PHASE_DONE
	failed    = apiv1.IntentPhase_INTENT_PHASE_FAILED
)

// newMaintainedFleet returns a fleet of VMs in three zones, every fourth of them
// spare, with a reboot of the pool p running.
func newMaintainedFleet(vms int) (*State, *objects.Index) {
	ix := objects.NewIndex(&apiv1.ObjectSet{
		Pool:               []*apiv1.Pool{{Name: "p", AvailabilityBudget: "b", CapacityPolicy: "c"}, {Name: "spare", AvailabilityBudget: "b", Spare: true}},
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "b", MaxDown: uint32(1 + vms/50)}},
		AvailabilityZone:   []*apiv1.AvailabilityZone{{Name: "z0"}, {Name: "z1"}, {Name: "z2"}},
		CapacityPolicy:     []*apiv1.CapacityPolicy{{Name: "c", GrowAtPercent: 85, ShrinkAtPercent: 50, ReserveZoneLoss: true}},
		Maintenance: []*apiv1.Maintenance{{
			Name: "m", Pool: "p", Action: apiv1.IntentKind_INTENT_KIND_REBOOT, State: apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING,
		}},
	})
	s := New()
	for i := range vms {
		s.Observe(0, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{
			Vm: fmt.Sprintf("vm%05d", i), Pool: []string{"p", "p", "p", "spare"}[i%4], AvailabilityZone: fmt.Sprint("z", i%3), Rack: fmt.Sprint("r", i%40),
			WorkerId: fmt.Sprint("w", i), Capacity: &apiv1.Resources{CpuMillis: 64_000, MemoryMb: 256_000, Accelerators: 1},
		}}}, ix)
	}
	return s, ix
}

func (s *State) waveInput(nowMS int64, ix *objects.Index) WaveInput {
	return WaveInput{NowMS: nowMS, VMs: s.VMs(), Intents: s.Intents(), Index: ix}
}

// Guards against a broken VM that blocks a wave (the operations of a maintenance that
// start together) forever, a paused wave that continues, and an availability budget
// (the most VMs that may be down at once) that doesn't count a VM that still boots.
func TestWaveRetriesPausesAndReboots(t *testing.T) {
	g := NewWithT(t)
	s, ix := newMaintainedFleet(3)
	now := int64(1000)
	start := func() string {
		plan := PlanWaves(s.waveInput(now, ix))
		g.Expect(plan).To(HaveLen(1))
		g.Expect(s.CreateIntents(now, &apiv1.CreateIntents{Intents: plan}, ix)).To(BeEmpty())
		return plan[0].OperationId
	}
	advance := func(id string, phases ...apiv1.IntentPhase) {
		for _, p := range phases {
			g.Expect(s.AdvanceIntents(now, &apiv1.AdvanceIntents{Advances: []*apiv1.IntentAdvance{{OperationId: id, Phase: p}}}, ix)).To(BeEmpty())
		}
	}
	observeUp := func(vm string) { s.Observe(now, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{Vm: vm}}}, ix) }
	for range maxAttempts {
		advance(start(), failed)
		g.Expect(PlanWaves(s.waveInput(now, ix))[0].Vm).To(Equal("vm00001"), "another VM during the wait for the next attempt")
		now += retryWaitMS
	}
	g.Expect(Explain(CapacityInput{WaveInput: s.waveInput(now, ix)}, "vm00000")).To(ContainSubstring("failed 3 times"))
	advance(start(), operating, done)
	g.Expect(PlanWaves(s.waveInput(now, ix))).To(BeEmpty(), "vm00001 is not up yet and holds the budget")
	g.Expect(Explain(CapacityInput{WaveInput: s.waveInput(now, ix)}, "vm00002")).To(ContainSubstring("has 1 VMs down of at most 1"))
	observeUp("vm00001")
	last := start()
	ix.Set.Maintenance[0].State = apiv1.MaintenanceState_MAINTENANCE_STATE_PAUSED
	advance(last, operating)
	g.Expect(PlanCancellations(s.waveInput(now, ix))).To(BeEmpty(), "the platform may have started the operation")
	advance(last, done)
	observeUp("vm00002")
	g.Expect(PlanWaves(s.waveInput(now, ix))).To(BeEmpty())
	ix.Set.Maintenance[0].State = apiv1.MaintenanceState_MAINTENANCE_STATE_PLANNED
	s.SetConfig(ix)
	ix.Set.Maintenance[0].State = apiv1.MaintenanceState_MAINTENANCE_STATE_RUNNING
	next := start()
	ix.Set.Maintenance[0].State = apiv1.MaintenanceState_MAINTENANCE_STATE_PAUSED
	s.AdvanceIntents(now, &apiv1.AdvanceIntents{Advances: PlanCancellations(s.waveInput(now, ix))}, ix)
	g.Expect(s.intents[next].Phase).To(Equal(apiv1.IntentPhase_INTENT_PHASE_CANCELED))
	g.Expect(s.LeavingVMs()).To(BeEmpty())
}

// Guards against a quarantine of a worker that never ends although its VM is rebooted
// for repair, and against repair reboots without a wait between them.
func TestQuarantinedWorkerIsRepaired(t *testing.T) {
	g := NewWithT(t)
	s, ix := newMaintainedFleet(3)
	now := int64(repairWaitMS)
	for i := range 5 {
		g.Expect(PlanRepairs(s.waveInput(now, ix))).To(BeEmpty())
		s.RecordFailure("vm00001", fmt.Sprint("job", i%3), ix)
	}
	for _, phase := range []apiv1.IntentPhase{failed, done} {
		plan := PlanRepairs(s.waveInput(now, ix))
		g.Expect(plan).To(HaveLen(1))
		g.Expect(s.CreateIntents(now, &apiv1.CreateIntents{Intents: plan}, ix)).To(BeEmpty())
		for _, p := range []apiv1.IntentPhase{operating, phase} {
			s.AdvanceIntents(now, &apiv1.AdvanceIntents{Advances: []*apiv1.IntentAdvance{{OperationId: plan[0].OperationId, Phase: p}}}, ix)
		}
		g.Expect(PlanRepairs(s.waveInput(now+repairWaitMS-1, ix))).To(BeEmpty())
		now += repairWaitMS
	}
	g.Expect(s.LeavingVMs()).To(BeEmpty())
}

func BenchmarkPlans(b *testing.B) {
	for _, vms := range []int{200, 3200} {
		s, ix := newMaintainedFleet(vms)
		in := CapacityInput{WaveInput: s.waveInput(1, ix), Demand: map[string]uint64{"p": uint64(vms) * 650}}
		b.Run(fmt.Sprint("waves/vms=", vms), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n = len(PlanWaves(in.WaveInput))
			}
			b.ReportMetric(float64(n), "intents/op")
		})
		b.Run(fmt.Sprint("capacity/vms=", vms), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n = len(PlanCapacity(in))
			}
			b.ReportMetric(float64(n), "intents/op")
			b.ReportMetric(float64(proto.Size(s.Snapshot()))/float64(vms), "snapshot-bytes/vm")
		})
	}
}
