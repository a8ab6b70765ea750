package placement

import (
	"fmt"
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
