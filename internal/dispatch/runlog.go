package dispatch

import (
	"iter"
	"strings"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// A leader starts far more runs (executions of tasks) than jobs. What goes as usual is
// logged once a job at level info, and once a run only at level debug; metrics count
// the runs. Each run that doesn't go as usual is logged at level info, and so are the
// starts of long-running tasks and the release of their runs, since each moment without
// a run counts for them.

// logRun logs a line about a run, at level debug if it is a usual one. A line that the
// level leaves out costs nothing.
func (s *session) logRun(key batch.RunKey, usual bool, message string, fields logrus.Fields) {
	level := logrus.InfoLevel
	if usual {
		level = logrus.DebugLevel
	}
	if !s.log.Logger.IsLevelEnabled(level) {
		return
	}
	s.log.WithFields(fields).WithFields(logrus.Fields{"run": key.String(), "job_id": key.Job}).Log(level, message)
}

// logStart logs the answer to a start order.
func (s *session) logStart(key batch.RunKey, isLongRunning bool, err error) {
	s.logRun(key, err == nil && !isLongRunning, "start ordered", logrus.Fields{"outcome": outcomeName(err)})
}

// noteReleased logs that a run was released, whose incarnation or lease has ended. The
// caller holds mu.
func (s *session) noteReleased(key batch.RunKey, o *runOrder, end apiv1.RunEnd) {
	s.logRun(key, !o.isLongRunning, "run released", logrus.Fields{"end": endName(end)})
	if o.isLongRunning {
		s.d.downtimes.begin(key.TaskRef, o.statusAt, end)
	}
}

// logEnd logs the end of a run that the minion reported.
func (s *session) logEnd(e ReportedEnd) {
	s.logRun(e.Run, e.End == apiv1.RunEnd_RUN_END_DONE, "run ended", logrus.Fields{"end": endName(e.End), "number": e.EndNumber})
}

// jobsOf returns the ids of the given jobs that have a property in the committed state,
// each once.
func (d *Dispatcher) jobsOf(ids iter.Seq[string], has func(*batch.Job) bool) []string {
	var out []string
	seen := map[string]bool{}
	d.opts.StateMachine.Read(func(st *state.State) {
		for id := range ids {
			if j := st.Batch.Job(id); j != nil && !seen[id] && has(j) {
				out = append(out, id)
			}
			seen[id] = true
		}
	})
	return out
}

// runningJobs returns the jobs among the ends that have runs.
func (d *Dispatcher) runningJobs(ends []*apiv1.EndedRun) []string {
	return d.jobsOf(func(yield func(string) bool) {
		for _, e := range ends {
			if !yield(e.Task.JobId) {
				return
			}
		}
	}, func(j *batch.Job) bool { return j.NumRuns() > 0 })
}

// logStartedJobs logs which of the jobs, of which no minion was known to have begun a
// task, have begun now, and how long they waited since they were due.
func (d *Dispatcher) logStartedJobs(queued []string) {
	d.logJobs(queued, "job started", func(st *state.State, j *batch.Job) logrus.Fields {
		if j.State == apiv1.BatchState_BATCH_STATE_QUEUED {
			return nil
		}
		return logrus.Fields{"waited_ms": st.LogTimeMS - j.DueMS(0)}
	})
}

// logEndedJobs logs which of the jobs, which had runs, have ended and have none now.
func (d *Dispatcher) logEndedJobs(running []string) {
	d.logJobs(running, "job ended", func(_ *state.State, j *batch.Job) logrus.Fields {
		if !batch.Ended(j.State) || j.NumRuns() > 0 {
			return nil
		}
		name := strings.ToLower(strings.TrimPrefix(j.State.String(), "BATCH_STATE_"))
		return logrus.Fields{"state": name, "took_ms": j.EndedUnixMs - j.DueMS(0)}
	})
}

// logJobs logs a line for each of the jobs for which fieldsOf returns fields.
func (d *Dispatcher) logJobs(ids []string, message string, fieldsOf func(*state.State, *batch.Job) logrus.Fields) {
	var lines []*logrus.Entry
	d.opts.StateMachine.Read(func(st *state.State) {
		for _, id := range ids {
			if j := st.Batch.Job(id); j != nil {
				if fields := fieldsOf(st, j); fields != nil {
					lines = append(lines, d.log.WithFields(fields).WithFields(logrus.Fields{"job_id": id, "queue": j.Queue}))
				}
			}
		}
	})
	for _, line := range lines {
		line.Info(message)
	}
}
