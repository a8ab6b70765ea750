package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Load: a flood of jobs for one pool, more than the leader can start. Guards against
// refusing jobs of another pool that can be started in time, against accepting those
// that can't, and against a time to come back that doesn't grow with the backlog.
func TestFloodOfOnePoolIsRefusedThereOnly(t *testing.T) {
	g := NewWithT(t)
	flooded := &apiv1.BatchQueue{Name: "q", Pool: "p", StretchMilli: 1500, TargetLatencyMs: 500}
	other := &apiv1.BatchQueue{Name: "o", Pool: "other", StretchMilli: 1500, TargetLatencyMs: 500}
	// The limit is 1250 ms, of which the job's work takes 500.
	job := &apiv1.BatchJob{Steps: []*apiv1.BatchStep{newStep(10, 1000)}}
	a := Admission{Waiting: map[string]int64{"p": 1000}, StartsPerSecond: 1000}
	wait := a.Decide(0, flooded, job)
	g.Expect(wait).To(BeNumerically(">", 200*time.Millisecond))
	g.Expect(a.Decide(0, other, job)).To(BeZero())
	a.Waiting["p"] = 2000
	g.Expect(a.Decide(0, flooded, job)).To(BeNumerically(">", wait))
	a.Waiting["p"] = 700
	g.Expect(a.Decide(0, flooded, job)).To(BeZero())
}

// Guards against refusing jobs that the backlog doesn't make late: long-running ones,
// which start first, recurring ones, which start later, and those without a limit.
func TestSomeJobsAreAlwaysAdmitted(t *testing.T) {
	g := NewWithT(t)
	q := &apiv1.BatchQueue{Name: "q", Pool: "p", StretchMilli: 1500, TargetLatencyMs: 500}
	a := Admission{Waiting: map[string]int64{"p": 1_000_000}, StartsPerSecond: 10}
	longRunning := newStep(1, 1000)
	longRunning.LongRunning = true
	g.Expect(a.Decide(0, q, &apiv1.BatchJob{Steps: []*apiv1.BatchStep{longRunning}})).To(BeZero())
	g.Expect(a.Decide(0, q, &apiv1.BatchJob{Steps: []*apiv1.BatchStep{newStep(1, 1)}, Repetitions: 2})).To(BeZero())
	g.Expect(a.Decide(0, &apiv1.BatchQueue{Name: "unlimited", Pool: "p"}, &apiv1.BatchJob{Steps: []*apiv1.BatchStep{newStep(1, 1)}})).To(BeZero())
	g.Expect(a.Decide(0, q, &apiv1.BatchJob{Steps: []*apiv1.BatchStep{newStep(1, 1)}})).NotTo(BeZero())
}

// Guards against tasks of later steps that are forgotten, and against long-running
// tasks that are taken for a backlog.
func TestWaitingTasksAreThoseOfFiniteJobs(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(nil)
	second, longRunning := newStep(2, 100), newStep(5, 100)
	second.After, longRunning.LongRunning = []uint32{0}, true
	h.submit("j", "q", newStep(3, 100), second)
	h.submit("long-running", "q", longRunning)
	g.Expect(WaitingTasks(h.state)).To(Equal(map[string]int64{"p": 5}))
}

// Load: callers that are refused one after the other. Guards against asking all of them
// to come back at the same time, when only a few can be started, and against a time to
// come back that stays long after the load is over.
func TestRefusedCallersReturnAtTheRateOfStarts(t *testing.T) {
	g := NewWithT(t)
	q := &apiv1.BatchQueue{Name: "q", Pool: "p", StretchMilli: 1500, TargetLatencyMs: 500}
	job := &apiv1.BatchJob{Steps: []*apiv1.BatchStep{newStep(100, 1000)}}
	a := Admission{Waiting: map[string]int64{"p": 750}, StartsPerSecond: 1000}
	first := a.Decide(time.Minute, q, job)
	for range 9 {
		a.Decide(time.Minute, q, job)
	}
	g.Expect(a.Decide(time.Minute, q, job) - first).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	g.Expect(a.Decide(time.Minute+10*time.Second, q, job)).To(Equal(first))
}
