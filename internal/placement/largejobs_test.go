package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Load: jobs of many steps. Guards against admission that walks all steps of a job for
// each of them: a few such jobs would hold the leader for minutes.
func TestAdmissionWalksTheStepsOfAJobAFewTimes(t *testing.T) {
	allocations := func(steps int) float64 {
		h := newHarness(nil)
		job := &apiv1.BatchJob{Id: "j", AcceptedQueue: &apiv1.BatchQueue{Name: "q", Pool: "p", StretchMilli: 1500, TargetLatencyMs: 500}}
		for range steps {
			job.Steps = append(job.Steps, newStep(1, 100))
		}
		a := NewRoomAdmission()
		a.SetForecast(NewForecast(ForecastInput{State: h.state, NowUnixMS: nowMS}))
		return testing.AllocsPerRun(5, func() {
			a.Decide(0, job.AcceptedQueue, job)
			a.Add(job.AcceptedQueue, job)
		})
	}
	// Each walk over the steps allocates once.
	NewWithT(t).Expect(allocations(1000)).To(Equal(allocations(10)))
}

// Load: a step of very many tasks beside a full pool, and beside room for a few. Guards
// against rounds that list all tasks of it to start a few.
func TestRoundListsNoMoreTasksThanItMayStart(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	h.addMinion("m1", 3200, "r1")
	h.submit("j", "q", newStep(100_000, 100))
	p := newPlanner(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 8})
	g.Expect(p.waitingTasks(h.state.Job("j"), 0, 0, 8)).To(HaveLen(8))
	starts := Plan(p.in)
	g.Expect(starts).To(HaveLen(8))
	seen := map[batch.TaskRef]bool{}
	for _, s := range starts {
		seen[batch.RefOf(s.Task)] = true
	}
	g.Expect(seen).To(HaveLen(8))
	bytes := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			Plan(p.in)
		}
	}).AllocedBytesPerOp()
	g.Expect(bytes).To(BeNumerically("<", 100_000), "one byte for each task")
}
