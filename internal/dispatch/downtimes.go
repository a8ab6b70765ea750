package dispatch

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// downtimes measures for how long long-running tasks have no run. It knows those whose
// run ended during this term and was listed before.
type downtimes struct {
	mu   sync.Mutex
	down map[batch.TaskRef]downSince
}

// downSince is when a run was listed for the last time, and how it ended.
type downSince struct {
	at  time.Duration
	end apiv1.RunEnd
}

// begin records the end of a run that was last listed at a time, zero if it never was.
func (d *downtimes) begin(ref batch.TaskRef, listedAt time.Duration, end apiv1.RunEnd) {
	if listedAt == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down[ref] = downSince{listedAt, end}
}

// finish returns since when the task had no run, if that is known. It has one again.
func (d *downtimes) finish(ref batch.TaskRef) (since downSince, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok = d.down[ref]
	delete(d.down, ref)
	return since, ok
}

// forgetEnded drops the tasks of jobs that have ended.
func (d *downtimes) forgetEnded(st *batch.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for ref := range d.down {
		if j := st.Job(ref.Job); j == nil || batch.Ended(j.State) {
			delete(d.down, ref)
		}
	}
}

// observeDowntime measures the time that a long-running task was without a run, when a
// minion lists its next one.
func (s *session) observeDowntime(key batch.RunKey, now time.Duration) {
	since, ok := s.d.downtimes.finish(key.TaskRef)
	if !ok {
		return
	}
	down := now - since.at
	s.d.metrics.downSeconds.WithLabelValues(endName(since.end)).Observe(down.Seconds())
	s.logRun(key, false, "long-running task runs again", logrus.Fields{"down_ms": down.Milliseconds(), "last_end": endName(since.end)})
}

func (d *Dispatcher) forgetDowntimes() {
	d.opts.StateMachine.Read(func(st *state.State) { d.downtimes.forgetEnded(st.Batch) })
}
