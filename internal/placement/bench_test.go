package placement

import (
	"fmt"
	"testing"

	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// benchSite has two waiting jobs and one running task a minion.
func benchSite(minions int) *site {
	s := newSite(nil)
	for i := range minions {
		s.minion(fmt.Sprintf("m%05d", i), 64_000, fmt.Sprint("r", i/20))
	}
	for i := range 2 * minions {
		s.submit(fmt.Sprintf("j%05d", i), "q", tasks(6, 3200), tasks(6, 3200))
	}
	return s
}

// BenchmarkPlan measures a round over a backlog that fills the pool.
func BenchmarkPlan(b *testing.B) {
	for _, minions := range []int{50, 350, 3200} {
		b.Run(fmt.Sprint("minions=", minions), func(b *testing.B) {
			s := benchSite(minions)
			in := Input{State: s.st, NowUnixMS: nowMS, Health: s.health, MaxStarts: 512}
			b.ResetTimer()
			for b.Loop() {
				if len(Plan(in)) == 0 {
					b.Fatal("nothing planned")
				}
			}
		})
	}
}

// BenchmarkCapacity measures the demand and the machine moves of a round.
func BenchmarkCapacity(b *testing.B) {
	for _, minions := range []int{50, 350, 3200} {
		b.Run(fmt.Sprint("minions=", minions), func(b *testing.B) {
			s := benchSite(minions)
			var ms []Machine
			for _, m := range s.st.Minions() {
				ms = append(ms, Machine{ID: m.Life.Id, Pool: "p", Incarnation: batch.IncarnationOf(m.Life), CPUMillis: 64_000, Available: true})
			}
			b.ResetTimer()
			for b.Loop() {
				PlanCapacity(CapacityInput{Demands: Demands(s.st, nowMS), Machines: ms, MaxMoves: 8})
			}
		})
	}
}
