package placement

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Demand is the CPU demand of a pool's queues, in thousandths of a core.
type Demand struct {
	// Running is the CPU of the running tasks.
	Running int64
	// Ready is the CPU of the tasks that would start at once if there were enough
	// free capacity.
	Ready int64
	// ArrivalRate is the work that became due in the last arrivalWindowMS, divided
	// by that time: the CPU that keeps up with such work.
	ArrivalRate int64
	// Peak is the highest demand of the last seconds. The caller of Demands
	// records and sets it; it delays powering off machines.
	Peak int64
	// ForecastGrowth is the growth of the demand expected until a machine that is
	// ordered now can run tasks. The caller of Demands forecasts and sets it.
	ForecastGrowth int64
}

// CPU returns the capacity that serves the demand without a queue, in
// thousandths of a core.
func (d Demand) CPU() int64 { return max(d.Running+d.Ready, d.ArrivalRate) }

// arrivalWindowMS is the time in milliseconds over which ArrivalRate is measured.
const arrivalWindowMS = 2000

// Demands returns the current demand of each pool that has a queue, with Peak and
// ForecastGrowth left at 0.
func Demands(st *batch.State, nowUnixMS int64) map[string]Demand {
	out := map[string]Demand{}
	for _, q := range st.Catalog().Queues {
		out[q.Pool] = Demand{}
	}
	for _, j := range st.ActiveJobs() {
		pool := st.QueueOf(j).GetPool()
		d := out[pool]
		addJobDemand(&d, j, nowUnixMS)
		out[pool] = d
	}
	return out
}

// addJobDemand adds the demand of a job's due occurrences, the repetitions of a
// recurring job.
func addJobDemand(d *Demand, j *batch.Job, nowUnixMS int64) {
	for k := range j.NumOccurrences() {
		if !j.IsDue(k, nowUnixMS) {
			return
		}
		recent := nowUnixMS-j.DueMS(k) < arrivalWindowMS
		for s, step := range j.Steps {
			waiting, running := countTasks(j, k, uint32(s))
			cpu := batch.ResourcesOnMinion(step).CPUMillis
			d.Running += running * cpu
			if waiting > 0 && j.StepReady(k, uint32(s)) {
				d.Ready += waiting * cpu
			}
			if recent {
				d.ArrivalRate += arrivingCPU(step, cpu)
			}
		}
	}
}

// arrivingCPU returns the CPU that a step adds to ArrivalRate, in thousandths of
// a core: its estimated work divided by the arrival window. Tasks of a
// long-running step don't end, so their whole CPU counts.
func arrivingCPU(step *apiv1.BatchStep, cpu int64) int64 {
	if step.LongRunning {
		return int64(step.Count) * cpu
	}
	return int64(step.Count) * cpu * int64(step.EstimatedMs) / arrivalWindowMS
}

// countTasks returns the number of a step's tasks that neither run nor are done,
// and the number of those that run.
func countTasks(j *batch.Job, occurrence, step uint32) (waiting, running int64) {
	return int64(j.Waiting(occurrence, step)), int64(j.Progress(occurrence, step).Running)
}
