package placement

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Demand is what a pool's queues ask for, in thousandths of a core.
type Demand struct {
	// Running tasks hold this much.
	Running int64
	// Ready tasks could start at once if there were room.
	Ready int64
	// ArrivalRate is the work handed in lately, per second.
	ArrivalRate int64
	// Peak is the highest demand of the last seconds, for the decision to turn
	// machines off; the caller keeps it.
	Peak int64
	// ForecastGrowth is how much the demand is likely to grow until a machine that is
	// ordered now arrives; the caller forecasts it.
	ForecastGrowth int64
}

// CPU is the capacity that serves the demand without a queue.
func (d Demand) CPU() int64 { return max(d.Running+d.Ready, d.ArrivalRate) }

// arrivalWindowMS is the time over which arriving work is counted.
const arrivalWindowMS = 2000

// Demands returns the demand of each pool that a queue leads to.
func Demands(st *batch.State, nowUnixMS int64) map[string]Demand {
	out := map[string]Demand{}
	for _, q := range st.Catalog().Queues {
		out[q.Pool] = Demand{}
	}
	for _, j := range st.ActiveJobs() {
		pool := st.QueueOf(j).GetPool()
		d := out[pool]
		addJob(&d, j, nowUnixMS)
		out[pool] = d
	}
	return out
}

func addJob(d *Demand, j *batch.Job, nowUnixMS int64) {
	for k := range j.NumOccurrences() {
		if !j.IsDue(k, nowUnixMS) {
			return
		}
		fresh := nowUnixMS-j.DueMS(k) < arrivalWindowMS
		for s, step := range j.Steps {
			waiting, running := countTasks(j, k, uint32(s))
			cpu := batch.ResourcesOnMinion(step).CPUMillis
			d.Running += running * cpu
			if waiting > 0 && j.StepReady(k, uint32(s)) {
				d.Ready += waiting * cpu
			}
			if fresh {
				d.ArrivalRate += workOf(step, cpu)
			}
		}
	}
}

// workOf is the cpu that a step keeps busy, spread over the arrival window.
func workOf(step *apiv1.BatchStep, cpu int64) int64 {
	if step.LongRunning {
		return int64(step.Count) * cpu
	}
	return int64(step.Count) * cpu * int64(step.EstimatedMs) / arrivalWindowMS
}

// countTasks counts the tasks of a step that neither run nor are done, and
// those that run.
func countTasks(j *batch.Job, occurrence, step uint32) (waiting, running int64) {
	return int64(j.Waiting(occurrence, step)), int64(j.Progress(occurrence, step).Running)
}
