package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// newRoomDispatcher returns a dispatcher whose term has just begun, with two recorded
// minions of ten cores that it hasn't heard from.
func newRoomDispatcher(t *testing.T) (*Dispatcher, *fakeNode) {
	d, node := newIdleDispatcher(t)
	propose := func(cmd *apiv1.BatchCommand) {
		if _, err := node.Propose(t.Context(), &apiv1.Command{Body: &apiv1.Command_Batch{Batch: cmd}}); err != nil {
			t.Fatal(err)
		}
	}
	propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 1, Pools: []*apiv1.BatchPool{{Name: "p"}}, Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3, StretchMilli: 1000, TargetLatencyMs: 1000}},
	}}})
	for _, id := range []string{"m1", "m2"} {
		propose(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{
			Life: &apiv1.MinionLife{Id: id, BornUnixMs: 1}, Address: id, Pool: "p", Capacity: &apiv1.Resources{CpuMillis: 10_000, MemoryMb: 10_000},
		}}}}})
	}
	return d, node
}

// newRoomJob returns a job of ten core-seconds.
func newRoomJob(i int) *apiv1.BatchJob {
	j := newRefusedJob(fmt.Sprint("job", i))
	j.Steps = []*apiv1.BatchStep{{Count: 10, EstimatedMs: 1000, Resources: &apiv1.Resources{CpuMillis: 1000, MemoryMb: 1}}}
	return j
}

// Load: a flood at a new leader, whose submissions aren't committed yet. Guards against a
// leader that accepts everything until it has heard from the minions, and against forecasts
// that forget the jobs whose commit is under way.
func TestNewLeaderRefusesWhatThereIsNoRoomFor(t *testing.T) {
	g := NewWithT(t)
	d, _ := newRoomDispatcher(t)
	accepted := 0
	for i := range 50 {
		if i%10 == 0 {
			d.admission.forecastAt = 0 // the next forecast is due
		}
		if d.AdmitJob(newRoomJob(i), true) == nil {
			accepted++
		}
	}
	g.Expect(accepted).To(And(BeNumerically(">=", 1), BeNumerically("<=", 10)), "20 cores do 100 core-seconds within five seconds of slack")
	err := d.AdmitJob(newRoomJob(50), true)
	g.Expect(err.NotRun).To(BeTrue())
	g.Expect(err.RetryAfter).To(And(BeNumerically(">=", minSubmitRetryAfter), BeNumerically("<=", maxSubmitRetryAfter*5/4)))
	g.Expect(err.Error()).To(ContainSubstring(string(placement.ReasonRoom)))
}

// Guards against "not run" for a job for which there is no room any more, but whose earlier
// submission may be committed.
func TestJobThatMayBeAcceptedIsNotRefusedForRoom(t *testing.T) {
	g := NewWithT(t)
	d, _ := newRoomDispatcher(t)
	first := newRoomJob(0)
	g.Expect(d.AdmitJob(first, true)).To(BeNil())
	d.SubmissionEnded(first.Id, result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the outcome is unknown"))
	for i := range 50 {
		_ = d.AdmitJob(newRoomJob(i+1), true)
	}
	g.Expect(d.AdmitJob(newRoomJob(51), true)).NotTo(BeNil())
	g.Expect(d.AdmitJob(first, true)).To(BeNil())
}

// Guards against room of minions that a leader has had time to hear from and hasn't, and
// against machines on their way that count for ever once the fleet is no longer planned.
func TestSilentMinionsAndOldArrivalsAreNoRoom(t *testing.T) {
	g := NewWithT(t)
	d, _ := newRoomDispatcher(t)
	later := d.clock.Now() + firstContactTime
	g.Expect(d.takesWork(d.clock.Now())(&apiv1.BatchMinion{Life: &apiv1.MinionLife{Id: "m1", BornUnixMs: 1}})).To(BeTrue())
	g.Expect(d.takesWork(later)(&apiv1.BatchMinion{Life: &apiv1.MinionLife{Id: "m1", BornUnixMs: 1}})).To(BeFalse())

	now := d.clock.Now()
	d.fleet.recordArrivals(placement.CapacityInput{Machines: []placement.Machine{{ID: "a", Pool: "p", CPUMillis: 10, Arriving: true}, {ID: "b", Pool: "off", CPUMillis: 20}}},
		placement.CapacityPlan{Moves: []placement.Move{{Machine: "b", To: "p"}}})
	g.Expect(d.fleet.arrivalsAt(now)["p"]).To(HaveLen(2))
	g.Expect(d.fleet.arrivalsAt(now + time.Minute)).To(BeEmpty())
}
