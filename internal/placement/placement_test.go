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

type site struct {
	st     *batch.State
	health map[batch.Incarnation]Health
}

func newSite(limit *apiv1.Resources) *site {
	s := &site{st: batch.New(), health: map[batch.Incarnation]Health{}}
	s.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: &apiv1.Catalog{
		Version: 1, Pools: []*apiv1.BatchPool{{Name: "p"}, {Name: "off", Spare: true}},
		Queues:   []*apiv1.BatchQueue{{Name: "q", Pool: "p", MaxAttempts: 3, StretchMilli: 1500, TargetLatencyMs: 500}, {Name: "low", Pool: "p", Priority: 1, MaxAttempts: 3}},
		Accounts: []*apiv1.BatchAccount{{Name: "a", Limit: limit}},
	}}})
	return s
}

func (s *site) apply(cmd *apiv1.BatchCommand) *apiv1.BatchResult {
	res, err := s.st.Apply(nowMS, cmd)
	if err != nil {
		panic(err)
	}
	return res
}

func (s *site) minion(id string, cpu uint32, labels ...string) batch.Incarnation {
	life := batch.Incarnation{ID: id, StartedMS: 1}
	s.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_ObserveMinions{ObserveMinions: &apiv1.ObserveMinions{Minions: []*apiv1.BatchMinion{{
		Life: life.Message(), Pool: "p", AvailabilityZone: "z", Labels: labels, Capacity: &apiv1.Resources{CpuMillis: cpu, MemoryMb: 100_000},
	}}}}})
	s.health[life] = Health{Usable: true}
	return life
}

func (s *site) submit(id, queue string, steps ...*apiv1.BatchStep) {
	q := s.st.Catalog().Queues[0]
	if queue == "low" {
		q = s.st.Catalog().Queues[1]
	}
	s.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{Id: id, Queue: queue, Account: "a", Steps: steps, AcceptedQueue: q}}})
}

func (s *site) plan() []*apiv1.StartedRun {
	return Plan(Input{State: s.st, NowUnixMS: nowMS, Health: s.health, MaxStarts: 1000})
}

func tasks(count, cpu uint32) *apiv1.BatchStep {
	return &apiv1.BatchStep{Count: count, Resources: &apiv1.Resources{CpuMillis: cpu, MemoryMb: 10}, EstimatedMs: 500}
}

func places(starts []*apiv1.StartedRun) map[string][]string {
	out := map[string][]string{}
	for _, st := range starts {
		out[st.Task.JobId] = append(out[st.Task.JobId], st.Minion.Id)
	}
	return out
}

// Guards against a plan that the commit refuses: over capacity, over an
// account's limit, or on minions that must get nothing.
func TestPlansAreCommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(&apiv1.Resources{CpuMillis: uint32(rapid.IntRange(0, 20).Draw(t, "limit")) * 1000})
		for i := range rapid.IntRange(1, 4).Draw(t, "minions") {
			life := s.minion(fmt.Sprint("m", i), uint32(rapid.IntRange(1, 8).Draw(t, "cpu"))*1000, fmt.Sprint("r", i%2))
			s.health[life] = Health{Usable: rapid.Bool().Draw(t, "usable"), Suspect: rapid.Bool().Draw(t, "suspect")}
		}
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			st := tasks(uint32(rapid.IntRange(1, 5).Draw(t, "count")), uint32(rapid.IntRange(1, 4).Draw(t, "need"))*500)
			st.Gang, st.SameRack = rapid.Bool().Draw(t, "gang"), rapid.Bool().Draw(t, "rack")
			st.MaxPerMinion = uint32(rapid.IntRange(0, 2).Draw(t, "spread"))
			st.LongRunning = !st.Gang && rapid.Bool().Draw(t, "long")
			s.submit(fmt.Sprint("j", i), []string{"q", "low"}[i%2], st)
		}
		starts := s.plan()
		for _, st := range starts {
			if !s.health[batch.IncarnationOf(st.Minion)].Usable {
				t.Fatalf("%v starts on a minion that is not usable", st)
			}
		}
		res := s.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: starts}}})
		if len(res.Runs.Refused) > 0 {
			t.Fatalf("refused %v of %v", res.Runs.Refused, starts)
		}
		if again := s.plan(); len(again) > 0 {
			t.Fatalf("the first plan left out %v", again)
		}
	})
}

// Guards against a long-running task that waits behind finite work of a full
// pool.
func TestLongRunningTasksComeFirst(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("m", 1000)
	s.submit("finite", "q", tasks(1, 1000))
	lasting := tasks(1, 1000)
	lasting.LongRunning = true
	s.submit("lasting", "low", lasting)
	g.Expect(places(s.plan())).To(Equal(map[string][]string{"lasting": {"m"}}))
}

// Guards against less urgent work that goes first.
func TestPriorityGoesFirst(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("m", 1000)
	s.submit("a-low", "low", tasks(1, 1000))
	s.submit("b-high", "q", tasks(1, 1000))
	g.Expect(places(s.plan())).To(Equal(map[string][]string{"b-high": {"m"}}))
}

// Guards against members of a long-running step that all go down with one
// minion, and against anchors spread over the whole pool.
func TestLongRunningStepSharesFewMinions(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	for i := range 4 {
		s.minion(fmt.Sprint("m", i), 10_000)
	}
	lasting := tasks(4, 1000)
	lasting.LongRunning = true
	s.submit("j", "q", lasting)
	perMinion := map[string]int{}
	for _, m := range places(s.plan())["j"] {
		perMinion[m]++
	}
	g.Expect(perMinion).To(HaveLen(2))
	for _, n := range perMinion {
		g.Expect(n).To(Equal(sharedFate))
	}
}

// Guards against a gang on two racks while one rack has room for all of it, and
// against a part of a gang.
func TestGangPlacement(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("m0", 1000, "r1")
	s.minion("m1", 1000, "r2")
	s.minion("m2", 1000, "r2")
	gang := tasks(2, 1000)
	gang.Gang, gang.SameRack = true, true
	s.submit("pair", "q", gang)
	g.Expect(places(s.plan())["pair"]).To(ConsistOf("m1", "m2"))
	big := tasks(4, 1000)
	big.Gang = true
	s = newSite(nil)
	s.minion("m0", 3000)
	s.submit("big", "q", big)
	g.Expect(s.plan()).To(BeEmpty())
}

// Guards against a task that runs far from its data while there is room near
// it, or that waits for room there.
func TestDataRackIsPreferred(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("far", 1000, "r1")
	s.minion("near", 1000, "r2")
	st := tasks(2, 1000)
	st.PreferredRack = "r2"
	s.submit("j", "q", st)
	g.Expect(places(s.plan())["j"]).To(Equal([]string{"near", "far"}))
}

// Guards against a recurring job that runs before it is due, or only once.
func TestOccurrencesStartWhenDue(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("m", 10_000)
	s.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: &apiv1.BatchJob{
		Id: "j", Queue: "q", Steps: []*apiv1.BatchStep{tasks(1, 100)}, AcceptedQueue: s.st.Catalog().Queues[0],
		FirstDueUnixMs: nowMS - 1500, IntervalMs: 1000, Repetitions: 3,
	}}})
	starts := s.plan()
	g.Expect(starts).To(HaveLen(2))
	g.Expect(starts[1].Task.Occurrence).To(BeNumerically("==", 1))
}

// Guards against jobs that wait for a clock that stepped back: their submission
// has log time, which never does.
func TestUnscheduledJobsAreAlwaysDue(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("m", 1000)
	s.submit("j", "q", tasks(1, 1000))
	in := Input{State: s.st, NowUnixMS: nowMS - 5000, Health: s.health, MaxStarts: 10}
	g.Expect(Plan(in)).To(HaveLen(1))
	g.Expect(Demands(s.st, in.NowUnixMS)["p"].Ready).To(BeNumerically("==", 1000))
}

// Guards against a commit of more starts than the round may have, by one job
// with many tasks.
func TestStartsOfOneRoundAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("m", 64_000)
	s.submit("j", "q", tasks(10, 1000))
	starts := Plan(Input{State: s.st, NowUnixMS: nowMS, Health: s.health, MaxStarts: 3})
	g.Expect(starts).To(HaveLen(3))
}

// Guards against a large task without room that keeps a smaller one from
// starting in the same round.
func TestLargeTaskHoldsUpNoSmallerOne(t *testing.T) {
	g := NewWithT(t)
	s := newSite(nil)
	s.minion("m1", 3000)
	s.minion("m2", 3000)
	s.submit("large", "q", tasks(1, 4000))
	s.submit("small", "q", tasks(2, 3000))
	g.Expect(places(s.plan())["small"]).To(ConsistOf("m1", "m2"))
}
