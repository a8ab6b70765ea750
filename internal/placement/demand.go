package placement

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Demand is the demand of a pool's queues, in thousandths of a core. A task that takes
// a larger share of its minion's memory or accelerators than of the CPU counts with the
// CPU that stands for it (see equivalence).
type Demand struct {
	// Running is the CPU of the running tasks of jobs that can still meet their
	// latency limit, and of long-running tasks.
	Running int64
	// Ready is the CPU of the waiting tasks of such jobs that would start at once if
	// there were enough free capacity.
	Ready int64
	// ArrivalRate is the work that became due in the last arrivalWindowMS, divided
	// by that time: the CPU that keeps up with such work.
	ArrivalRate int64
	// FiniteRunning is the part of Running that ends by itself.
	FiniteRunning int64
	// FiniteTasks is the number of the tasks in Running and Ready that end by
	// themselves, FiniteCPU their CPU, and FiniteTaskMS the sum of their estimated
	// durations in milliseconds.
	FiniteTasks, FiniteCPU, FiniteTaskMS int64
	// Late is the CPU for jobs that can't meet their latency limit any more. It yields
	// to the demand of all pools for jobs that can.
	Late int64
	// LateRunning is the part of Late that runs.
	LateRunning int64
	// Peak is the highest demand of the last seconds. The caller of Demands
	// records and sets it; it delays powering off machines.
	Peak int64
	// ForecastGrowth is the growth of the demand expected until a machine that is
	// ordered now can run tasks. The caller of Demands forecasts and sets it.
	ForecastGrowth int64
	// StartableCPU is the CPU of the tasks that can run at the same time while the
	// leader starts as many as it can. Zero means that the leader starts all ready
	// tasks that find room. LimitToStartRate sets it.
	StartableCPU int64
}

// CPU returns the capacity, in thousandths of a core, with which all jobs that can
// meet their latency limit do, as far as the leader can start their tasks.
func (d Demand) CPU() int64 { return d.startable(max(d.Running+d.Ready, d.ArrivalRate)) }

// Forecast returns the CPU that is expected when a machine that is ordered now can
// run tasks.
func (d Demand) Forecast() int64 { return d.startable(d.CPU() + d.ForecastGrowth) }

// startable returns the part of a demand that the leader can start.
func (d Demand) startable(cpu int64) int64 {
	if d.StartableCPU == 0 {
		return cpu
	}
	return min(cpu, d.StartableCPU)
}

const (
	// arrivalWindowMS is the time in milliseconds over which ArrivalRate is measured.
	arrivalWindowMS = 2000
	// lateDrainMS is the time in milliseconds in which Late would do all work of the
	// jobs that are late.
	lateDrainMS = 4000
)

// Demands returns the current demand of each pool that has a queue, with Peak and
// ForecastGrowth left at 0.
func Demands(st *batch.State, nowUnixMS int64) map[string]Demand {
	out := map[string]Demand{}
	for _, q := range st.Catalog().Queues {
		out[q.Pool] = Demand{}
	}
	e := newEquivalence(st)
	for _, j := range st.ActiveJobs() {
		q := st.QueueOf(j)
		d := out[q.GetPool()]
		e.addJobDemand(&d, q, j, nowUnixMS)
		out[q.GetPool()] = d
	}
	return out
}

// addJobDemand adds the demand of a job's due occurrences, the repetitions of a
// recurring job.
func (e equivalence) addJobDemand(d *Demand, q *apiv1.BatchQueue, j *batch.Job, nowUnixMS int64) {
	limit := latencyLimitMS(q, j.BatchJob)
	for k := range j.NumOccurrences() {
		if !j.IsDue(k, nowUnixMS) {
			return
		}
		slack := slackMS(limit, j, k, nowUnixMS)
		recent := nowUnixMS-j.DueMS(k) < arrivalWindowMS
		for s, step := range j.Steps {
			e.addStepDemand(d, j, k, uint32(s), slack)
			if recent && (slack >= 0 || step.LongRunning) {
				d.ArrivalRate += e.arrivingCPU(step)
			}
		}
	}
}

// addStepDemand adds the demand of one step of an occurrence that has the given
// slack, in milliseconds.
func (e equivalence) addStepDemand(d *Demand, j *batch.Job, occurrence, number uint32, slack int64) {
	step := j.Steps[number]
	waiting, running := countTasks(j, occurrence, number)
	cpu := e.cpuMillis(batch.ResourcesOnMinion(step))
	if !j.StepReady(occurrence, number) {
		waiting = 0
	}
	switch {
	case step.LongRunning:
		d.Running += running * cpu
		d.Ready += waiting * cpu
	case slack >= 0:
		d.Running += running * cpu
		d.Ready += waiting * cpu
		d.FiniteRunning += running * cpu
		d.FiniteTasks += running + waiting
		d.FiniteCPU += (running + waiting) * cpu
		d.FiniteTaskMS += (running + waiting) * int64(step.EstimatedMs)
	default:
		d.LateRunning += running * cpu
		d.Late += running*cpu + spreadCPU(waiting*cpu, int64(step.EstimatedMs), lateDrainMS)
	}
}

// spreadCPU returns the CPU that does, within a time, the work of tasks that would
// take cpu at once if they all ran in parallel. It is at most cpu.
func spreadCPU(cpu, taskMS, withinMS int64) int64 {
	if withinMS <= taskMS || withinMS == 0 {
		return cpu
	}
	return cpu * taskMS / withinMS
}

// arrivingCPU returns the CPU that a step adds to ArrivalRate, in thousandths of
// a core: its estimated work divided by the arrival window. Tasks of a
// long-running step don't end, so their whole CPU counts.
func (e equivalence) arrivingCPU(step *apiv1.BatchStep) int64 {
	cpu := int64(step.Count) * e.cpuMillis(batch.ResourcesOnMinion(step))
	if step.LongRunning {
		return cpu
	}
	return mulDiv(cpu, int64(step.EstimatedMs), arrivalWindowMS, maxArrivingCPU)
}

// countTasks returns the number of a step's tasks that neither run nor are done,
// and the number of those that run.
func countTasks(j *batch.Job, occurrence, step uint32) (waiting, running int64) {
	return int64(j.Waiting(occurrence, step)), int64(j.Progress(occurrence, step).Running)
}
