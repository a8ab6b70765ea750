package placement

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
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
