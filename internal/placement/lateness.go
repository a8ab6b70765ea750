package placement

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// lateness is how far a job can still meet its latency limit, which is the
// critical path times the queue's stretch (a factor of the queue), plus the
// queue's target latency, counted from the time at which it is due.
type lateness int

const (
	// onTime means that the job can end within the limit.
	onTime lateness = iota
	// late means that it can only end later, but before lateFactor times the limit.
	late
	// worthless means neither.
	worthless
)

// lateFactor times the latency limit, counted from the due time, is the time
// after which a job's result has no value any more.
const lateFactor = 3

// latencyLimitMS returns the latency limit of a job of the queue in milliseconds.
func latencyLimitMS(q *apiv1.BatchQueue, j *apiv1.BatchJob) int64 {
	return mulDiv(criticalPathMS(j), int64(q.GetStretchMilli()), 1000, maxLatencyLimitMS) + int64(q.GetTargetLatencyMs())
}

// slackMS returns the time in milliseconds that an occurrence (one repetition of a
// recurring job) can still lose without missing its latency limit, if its waiting
// tasks started now. It is negative once the limit can't be met. Steps of which no
// task waits are taken as done: they need no further capacity.
func slackMS(limitMS int64, j *batch.Job, occurrence uint32, nowMS int64) int64 {
	remaining := criticalPathWithoutMS(j.BatchJob, func(step int) bool { return j.Waiting(occurrence, uint32(step)) == 0 })
	return j.DueMS(occurrence) + limitMS - nowMS - remaining
}
