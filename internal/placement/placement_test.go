package placement

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

const nowMS = 1_700_000_000_000

// harness holds a batch state with one pool, and the health of the pool's
// minions.
type harness struct {
	state  *batch.State
	health map[batch.Incarnation]Health
}

// newHarness returns a harness without minions. Its catalog has the queues "q"
// and "low" of lower priority, both leading to pool "p", and a client account "a"
// with the given limit.
func newHarness(limit *apiv1.Resources) *harness {
	h := &harness{state: batch.New(), health: map[batch.Incarnation]Health{}}
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 1, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "off", Spare: true}},
		Queues:   []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3, StretchMilli: 1500, TargetLatencyMs: 500}, {Name: "low", Pool: "p", Priority: 1, MaxAttempts: 3}},
		Accounts: []*apiv1.BatchAccount{{Name: "a", Limit: limit}},
	}}})
	return h
}

func (h *harness) apply(cmd *apiv1.BatchCommand) *apiv1.BatchResult { return h.applyAt(nowMS, cmd) }

func (h *harness) applyAt(logTimeMS int64, cmd *apiv1.BatchCommand) *apiv1.BatchResult {
	res, err := h.state.Apply(logTimeMS, cmd)
	if err != nil {
		panic(err)
	}
	return res
}

// addMinion adds a usable minion to pool "p", with its CPU capacity in
// thousandths of a core.
func (h *harness) addMinion(id string, cpu uint32, labels ...string) batch.Incarnation {
	incarnation := batch.Incarnation{ID: id, StartedMS: 1}
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{
		Life: incarnation.Message(), Pool: "p", AvailabilityZone: "z", Labels: labels, Capacity: &apiv1.Resources{CpuMillis: cpu, MemoryMb: 100_000},
	}}}}})
	h.health[incarnation] = Health{Usable: true}
	return incarnation
}

// submit adds a job of account "a" to a queue.
func (h *harness) submit(id, queue string, steps ...*apiv1.BatchStep) {
	h.submitAt(nowMS, id, queue, steps...)
}

// submitAt is submit at a log time.
func (h *harness) submitAt(logTimeMS int64, id, queue string, steps ...*apiv1.BatchStep) {
	q := h.state.Catalog().Queues[0]
	if queue == "low" {
		q = h.state.Catalog().Queues[1]
	}
	h.applyAt(logTimeMS, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{Id: id, Queue: queue, Account: "a", Steps: steps, AcceptedQueue: q}}})
}

func (h *harness) plan() []*apiv1.StartedRun {
	return Plan(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 1000})
}

// newStep returns a step with the given number of tasks, each of which needs cpu
// thousandths of a core.
func newStep(count, cpu uint32) *apiv1.BatchStep {
	return &apiv1.BatchStep{Count: count, Resources: &apiv1.Resources{CpuMillis: cpu, MemoryMb: 10}, EstimatedMs: 500}
}

// minionsByJob returns the minions of the starts, by job id.
func minionsByJob(starts []*apiv1.StartedRun) map[string][]string {
	out := map[string][]string{}
	for _, start := range starts {
		out[start.Task.JobId] = append(out[start.Task.JobId], start.Minion.Id)
	}
	return out
}

// Guards against starts that the state refuses when they are committed: beyond a
// minion's capacity or an account's limit. Also guards against starts on minions
// that aren't usable, and against a plan that leaves out tasks that fit.
func TestPlansAreCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(&apiv1.Resources{CpuMillis: uint32(rapid.IntRange(0, 20).Draw(t, "limit")) * 1000})
		for i := range rapid.IntRange(1, 4).Draw(t, "minions") {
			incarnation := h.addMinion(fmt.Sprint("m", i), uint32(rapid.IntRange(1, 8).Draw(t, "cpu"))*1000, fmt.Sprint("r", i%2))
			h.health[incarnation] = Health{Usable: rapid.Bool().Draw(t, "usable"), Suspect: rapid.Bool().Draw(t, "suspect")}
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			step := newStep(uint32(rapid.IntRange(1, 5).Draw(t, "count")), uint32(rapid.IntRange(1, 4).Draw(t, "need"))*500)
			step.Gang, step.SameRack = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "rack")
			step.MaxPerMinion = uint32(rapid.IntRange(0, 2).Draw(t, "spread"))
			step.LongRunning = !step.Gang && rapid.Bool().Draw(t, "long")
			h.submit(fmt.Sprint("j", i), []string{"q", "low"}[i%2], step)
		}
		starts := h.plan()
		for _, start := range starts {
			if !h.health[batch.IncarnationOf(start.Minion)].Usable {
				t.Fatalf("%v is on a minion that is not usable", start)
			}
		}
		res := h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: starts}}})
		if len(res.Runs.Refused) > 0 {
			t.Fatalf("the state refused %v of %v", res.Runs.Refused, starts)
		}
		if again := h.plan(); len(again) > 0 {
			t.Fatalf("the first plan left out %v that fits", again)
		}
	})
}

// Guards against a long-running task, which runs until its job is canceled, that
// waits because tasks that end by themselves take all capacity of the pool.
func TestLongRunningTasksComeFirst(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 1000)
	h.submit("finite", "q", newStep(1, 1000))
	longRunning := newStep(1, 1000)
	longRunning.LongRunning = true
	h.submit("long-running", "low", longRunning)
	g.Expect(minionsByJob(h.plan())).To(Equal(map[string][]string{"long-running": {"m"}}))
}

// Guards against a job that starts before one of higher priority.
func TestPriorityGoesFirst(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 1000)
	h.submit("a-low", "low", newStep(1, 1000))
	h.submit("b-high", "q", newStep(1, 1000))
	g.Expect(minionsByJob(h.plan())).To(Equal(map[string][]string{"b-high": {"m"}}))
}

// Guards against all tasks of a long-running step being lost with one minion,
// and against long-running tasks spread over the whole pool.
func TestLongRunningStepSharesFewMinions(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	for i := range 4 {
		h.addMinion(fmt.Sprint("m", i), 10_000)
	}
	longRunning := newStep(4, 1000)
	longRunning.LongRunning = true
	h.submit("j", "q", longRunning)
	perMinion := map[string]int{}
	for _, m := range minionsByJob(h.plan())["j"] {
		perMinion[m]++
	}
	g.Expect(perMinion).To(HaveLen(2))
	for _, n := range perMinion {
		g.Expect(n).To(Equal(preferredMaxPerMinion))
	}
}

// Guards against a gang (tasks that run only together) on two racks while one
// rack has the free capacity for all of it, and against starting only some tasks
// of a gang.
func TestGangPlacement(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m0", 1000, "r1")
	h.addMinion("m1", 1000, "r2")
	h.addMinion("m2", 1000, "r2")
	gang := newStep(2, 1000)
	gang.Gang, gang.SameRack = true, true
	h.submit("pair", "q", gang)
	g.Expect(minionsByJob(h.plan())["pair"]).To(ConsistOf("m1", "m2"))
	big := newStep(4, 1000)
	big.Gang = true
	h = newHarness(nil)
	h.addMinion("m0", 3000)
	h.submit("big", "q", big)
	g.Expect(h.plan()).To(BeEmpty())
}

// Guards against a task that runs away from its data while a minion on the same
// rack has free capacity, and against one that waits for that rack although
// another minion can run it.
func TestDataRackIsPreferred(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("far", 1000, "r1")
	h.addMinion("near", 1000, "r2")
	step := newStep(2, 1000)
	step.PreferredRack = "r2"
	h.submit("j", "q", step)
	g.Expect(minionsByJob(h.plan())["j"]).To(Equal([]string{"near", "far"}))
}

// Guards against an occurrence of a recurring job that starts before it is due,
// and against only one of the due occurrences starting.
func TestOccurrencesStartWhenDue(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 10_000)
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: "j", Queue: "q", Steps: []*apiv1.BatchStep{newStep(1, 100)}, AcceptedQueue: h.state.Catalog().Queues[0],
		FirstDueUnixMs: nowMS - 1500, IntervalMs: 1000, Repetitions: 3,
	}}})
	starts := h.plan()
	g.Expect(starts).To(HaveLen(2))
	g.Expect(starts[1].Task.Occurrence).To(BeNumerically("==", 1))
}

// Guards against jobs without a due time that wait when the leader's clock is
// behind. A job's submission time is log time, the time of the replicated log,
// which never goes back, so it may be later than the leader's clock.
func TestUnscheduledJobsAreAlwaysDue(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 1000)
	h.submit("j", "q", newStep(1, 1000))
	in := Input{State: h.state, NowUnixMS: nowMS - 5000, Health: h.health, MaxStarts: 10}
	g.Expect(Plan(in)).To(HaveLen(1))
	g.Expect(Demands(h.state, in.NowUnixMS)["p"].Ready).To(BeNumerically("==", 1000))
}

// Guards against one job with many tasks that exceeds the limit on the starts of
// one planning round.
func TestStartsOfOneRoundAreBounded(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 64_000)
	h.submit("j", "q", newStep(10, 1000))
	starts := Plan(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 3})
	g.Expect(starts).To(HaveLen(3))
}

// Guards against a task that is too large for the free capacity and keeps a
// smaller one from starting in the same round.
func TestLargeTaskHoldsUpNoSmallerOne(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m1", 3000)
	h.addMinion("m2", 3000)
	h.submit("large", "q", newStep(1, 4000))
	h.submit("small", "q", newStep(2, 3000))
	g.Expect(minionsByJob(h.plan())["small"]).To(ConsistOf("m1", "m2"))
}

// newTwoPoolHarness returns a harness in which the queue "low" leads to a pool of its
// own, "other". Each pool has one minion.
func newTwoPoolHarness() *harness {
	h := newHarness(nil)
	h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 2, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "other"}},
		Queues: []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3, StretchMilli: 1500}, {Name: "low", Pool: "other", Priority: 1, MaxAttempts: 3}},
	}}})
	h.addMinion("m", 64_000)
	h.addMinion("n", 64_000)
	h.state.Minion("n").Pool = "other"
	return h
}

// Load: a flood of small jobs for one pool, and a few large ones of lower priority
// for another, while the leader can send only some of the orders. Guards against
// machines of the second pool that stay idle until the flood is over.
func TestFloodOfOnePoolSparesAnother(t *testing.T) {
	g := NewWithT(t)
	h := newTwoPoolHarness()
	for i := range 50 {
		h.submit(fmt.Sprintf("flood%02d", i), "q", newStep(2, 100))
	}
	h.submit("large", "low", newStep(3, 10_000))
	starts := Plan(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 10})
	g.Expect(minionsByJob(starts)["large"]).To(HaveLen(3))
}

// Load: the late backlog of one pool, and jobs of another that can be on time, while
// the leader can send only some of the orders. Guards against orders for late work
// that make the work of another pool late too.
func TestLateWorkYieldsToAnotherPoolsWorkOnTime(t *testing.T) {
	g := NewWithT(t)
	h := newTwoPoolHarness()
	for i := range 5 {
		h.submit(fmt.Sprint("late", i), "q", newStep(2, 100))
		h.submit(fmt.Sprint("on-time", i), "low", newStep(2, 100))
	}
	starts := Plan(Input{State: h.state, NowUnixMS: nowMS + 1000, Health: h.health, MaxStarts: 10})
	for job := range minionsByJob(starts) {
		g.Expect(job).To(HavePrefix("on-time"))
	}
	g.Expect(starts).To(HaveLen(10))
}

// Load: more jobs than can be on time. Guards against jobs that are begun and then
// held up by others until they are late, so that the work done for them is wasted.
func TestBegunJobsAreFinishedFirst(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 64_000)
	second := newStep(2, 100)
	second.After = []uint32{0}
	h.submit("begun", "q", newStep(2, 100), second)
	h.round()
	h.endRuns(2)
	for i := range 5 {
		h.submit(fmt.Sprint("small", i), "q", newStep(1, 100))
	}
	starts := Plan(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 2})
	g.Expect(minionsByJob(starts)).To(HaveKeyWithValue("begun", HaveLen(2)))
}

// Load: more jobs than can be on time, of different sizes. Guards against jobs that
// wait until they have just enough time left and then displace those that have more,
// and against a choice by size, which would give large jobs nothing.
func TestNewestJobsComeFirstOfThoseOnTime(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m", 64_000)
	for i, count := range []uint32{1, 2, 4} {
		h.submitAt(nowMS+int64(i)*100, fmt.Sprint("j", i), "q", newStep(count, 100))
	}
	starts := Plan(Input{State: h.state, NowUnixMS: nowMS + 200, Health: h.health, MaxStarts: 4})
	g.Expect(minionsByJob(starts)).To(HaveKeyWithValue("j2", HaveLen(4)))
}
