package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// newBenchHarness returns a harness with two waiting jobs for each minion. No
// task runs.
func newBenchHarness(minions int) *harness {
	h := newHarness(nil)
	for i := range minions {
		h.addMinion(fmt.Sprintf("m%05d", i), 64_000, fmt.Sprint("r", i/20))
	}
	for i := range 2 * minions {
		h.submit(fmt.Sprintf("j%05d", i), "q", newStep(6, 3200), newStep(6, 3200))
	}
	return h
}

// BenchmarkPlan measures a planning round, a call of Plan, over a backlog that
// exceeds the pool's capacity.
func BenchmarkPlan(b *testing.B) {
	for _, minions := range []int{50, 350, 3200} {
		b.Run(fmt.Sprint("minions=", minions), func(b *testing.B) {
			h := newBenchHarness(minions)
			in := Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 512}
			b.ResetTimer()
			for b.Loop() {
				if len(Plan(in)) == 0 {
					b.Fatal("nothing planned")
				}
			}
		})
	}
}

// BenchmarkPlanLoaded measures a planning round over a pool that is nearly full of
// runs, in which one run of each minion has just ended.
func BenchmarkPlanLoaded(b *testing.B) {
	for _, minions := range []int{50, 350, 3200} {
		b.Run(fmt.Sprint("minions=", minions), func(b *testing.B) {
			h := newBenchHarness(minions)
			starts := Plan(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 1 << 20})
			h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: starts}}})
			h.endRuns(1)
			in := Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 512}
			b.ResetTimer()
			for b.Loop() {
				if len(Plan(in)) == 0 {
					b.Fatal("nothing planned")
				}
			}
		})
	}
}

// BenchmarkCapacity measures Demands and PlanCapacity in one round.
func BenchmarkCapacity(b *testing.B) {
	for _, minions := range []int{50, 350, 3200} {
		b.Run(fmt.Sprint("minions=", minions), func(b *testing.B) {
			h := newBenchHarness(minions)
			var ms []Machine
			for _, m := range h.state.Minions() {
				ms = append(ms, Machine{ID: m.Life.Id, Pool: "p", Incarnation: batch.IncarnationOf(m.Life), CPUMillis: 64_000, Available: true})
			}
			b.ResetTimer()
			for b.Loop() {
				PlanCapacity(CapacityInput{Demands: Demands(h.state, nowMS), Machines: ms, MaxMoves: 8})
			}
		})
	}
}

// BenchmarkForecast measures a forecast of the pools' room, which the leader makes at most
// ten times a second, over the backlog of BenchmarkPlan.
func BenchmarkForecast(b *testing.B) {
	for _, minions := range []int{50, 350, 3200} {
		b.Run(fmt.Sprint("minions=", minions), func(b *testing.B) {
			h := newBenchHarness(minions)
			in := ForecastInput{State: h.state, NowUnixMS: nowMS, TakesWork: func(*apiv1.BatchMinion) bool { return true }}
			for b.Loop() {
				NewForecast(in)
			}
		})
	}
}

// BenchmarkLargeJobs measures, for jobs of many steps or tasks, alone and five at a time,
// what the leader does with them: admission, forecast, demand and a planning round, in
// which no minion has room.
func BenchmarkLargeJobs(b *testing.B) {
	shapes := map[string]func() []*apiv1.BatchStep{
		"tasks=100000": func() []*apiv1.BatchStep { return []*apiv1.BatchStep{newStep(100_000, 3200)} },
		"gang=100000": func() []*apiv1.BatchStep {
			gang := newStep(100_000, 3200)
			gang.Gang = true
			return []*apiv1.BatchStep{gang}
		},
	}
	for _, n := range []int{1, 100, 1000, 8000} {
		shapes[fmt.Sprint("steps=", n)] = func() []*apiv1.BatchStep {
			steps := make([]*apiv1.BatchStep, n)
			for i := range steps {
				steps[i] = newStep(1, 3200)
			}
			return steps
		}
	}
	for _, name := range slices.Sorted(maps.Keys(shapes)) {
		for _, jobs := range []int{1, 5} {
			h := newHarness(nil)
			h.addMinion("m1", 3200, "r1")
			h.submit("runs", "q", newStep(1, 3200))
			starts := Plan(Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 512})
			h.apply(&apiv1.BatchCommand{Body: &apiv1.BatchCommand_UpdateRuns{UpdateRuns: &apiv1.UpdateRuns{Starts: starts}}})
			for i := range jobs {
				h.submit(fmt.Sprint("j", i), "q", shapes[name]()...)
			}
			job := h.state.Job("j0").BatchJob
			in := Input{State: h.state, NowUnixMS: nowMS, Health: h.health, MaxStarts: 512}
			forecast := ForecastInput{State: h.state, NowUnixMS: nowMS, TakesWork: func(*apiv1.BatchMinion) bool { return true }}
			for part, run := range map[string]func(){
				"admit": func() {
					a := NewRoomAdmission()
					a.SetForecast(NewForecast(ForecastInput{State: batch.New(), NowUnixMS: nowMS}))
					a.Decide(0, job.AcceptedQueue, job)
					a.Add(job.AcceptedQueue, job)
				},
				"forecast": func() { NewForecast(forecast) },
				"demand":   func() { Demands(h.state, nowMS) },
				"plan":     func() { Plan(in) },
			} {
				b.Run(fmt.Sprintf("%s/jobs=%d/%s", name, jobs, part), func(b *testing.B) {
					for b.Loop() {
						run()
					}
				})
			}
		}
	}
}
