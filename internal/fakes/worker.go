// Package fakes holds stand-ins for workers, minions and the platform, for
// tests and bergamot-dev.
package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
)

const (
	defaultHeartbeat = time.Second
	// defaultTick bounds how long a task outlives its lease.
	defaultTick    = 50 * time.Millisecond
	defaultTaskRun = 100 * time.Millisecond
	// throttledShare of the full speed is what a throttled task runs at.
	throttledShare = 4
)

// Task is the JSON payload that a fake worker understands. An empty payload is
// a task of 100 ms.
type Task struct {
	RunMS int64 `json:"run_ms"`
	// FailReason is the reason with which the task fails at its end.
	FailReason string `json:"fail,omitempty"`
	// CheckpointMS is the progress between two checkpoints, 0 for none.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
}

// checkpoint is what a task needs to go on.
type checkpoint struct {
	DoneMS int64 `json:"done_ms"`
}

// Outcomes of a run.
const (
	RunDone      = "done"
	RunFailed    = "failed"
	RunStopped   = "stopped"
	RunLeaseLost = "lease lost"
	RunCrashed   = "crashed"
)

// Run is one execution of a job.
type Run struct {
	JobID    string
	Epoch    uint64
	WorkerID string
	// Started and Ended are times of the worker's clock. Ended is the last time
	// at which the run made progress; a frozen worker makes none.
	Started, Ended time.Duration
	// Outcome is empty while the run goes on.
	Outcome string
}

// RunLog collects the runs of many workers.
type RunLog struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns a copy of the runs in the order of their start.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Run, len(l.runs))
	for i, r := range l.runs {
		list[i] = *r
	}
	return list
}

// RunsOf returns the runs of one job in the order of their start.
func (l *RunLog) RunsOf(jobID string) []Run {
	return slices.DeleteFunc(l.Runs(), func(r Run) bool { return r.JobID != jobID })
}

// Overlapping returns a pair of runs of one job of which the earlier one made
// progress after the later one had started.
func (l *RunLog) Overlapping() (Run, Run, bool) {
	last := map[string]Run{}
	for _, r := range l.Runs() {
		if before, ok := last[r.JobID]; ok && before.Ended > r.Started {
			return before, r, true
		}
		last[r.JobID] = r
	}
	return Run{}, Run{}, false
}

func (l *RunLog) start(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended = r.Started
	l.runs = append(l.runs, &r)
	return l.runs[len(l.runs)-1]
}

// progress records that the run was executing at the time.
func (l *RunLog) progress(r *Run, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended = at
}

func (l *RunLog) end(r *Run, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Outcome = outcome
}

// WorkerOptions describe a fake worker.
type WorkerOptions struct {
	WorkerID, VM, Pool, Zone, Rack string
	Capacity                       *apiv1.Resources
	// EntryURLs are base URLs, tried in turn when one does not answer.
	EntryURLs                       []string
	HeartbeatInterval, TickInterval time.Duration
	Clock                           clock.Clock  // clock.Boot when nil
	Client                          *http.Client // with a timeout of one heartbeat when nil
	RunLog                          *RunLog      // an own one when nil
	// FailAll makes every task fail, as on a broken worker.
	FailAll bool
}

// Worker runs tasks as timed sleeps under leases.
type Worker struct {
	o WorkerOptions
	// sending keeps heartbeats one at a time.
	sending sync.Mutex

	mu      sync.Mutex
	tasks   map[string]*task  // by job id
	seen    map[string]uint64 // newest epoch per job
	reports []*apiv1.TaskReport
	entry   int
	last    time.Duration // time of the last tick
	paused  bool
	leaving bool
}

type task struct {
	epoch      uint64
	spec       Task
	run        *Run
	doneMS     int64
	savedMS    int64
	leaseUntil time.Duration
	throttled  bool
	// ended is true while the final report is not acknowledged.
	ended bool
}

// NewWorker returns a worker that does nothing before Run or Step.
func NewWorker(o WorkerOptions) *Worker {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeat
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTick
	}
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	if o.Client == nil {
		o.Client = &http.Client{Timeout: o.HeartbeatInterval}
	}
	if o.RunLog == nil {
		o.RunLog = &RunLog{}
	}
	return &Worker{o: o, tasks: map[string]*task{}, seen: map[string]uint64{}, last: o.Clock.Now()}
}

// RunLog returns the record of the runs.
func (w *Worker) RunLog() *RunLog { return w.o.RunLog }

// Run sends heartbeats and runs tasks until ctx ends, which stops every task
// without a report, as a crash does.
func (w *Worker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, w.o.TickInterval, w.Step) })
	wg.Go(func() { every(ctx, w.o.HeartbeatInterval, func() { w.SendHeartbeat(ctx) }) })
	wg.Wait()
	w.Crash()
}

func every(ctx context.Context, d time.Duration, fn func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		fn()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// Pause freezes the process: no heartbeat, no progress and no lease check.
func (w *Worker) Pause() { w.set(func() { w.paused = true }) }

// Resume ends a pause. The first step checks the leases before any progress.
func (w *Worker) Resume() { w.set(func() { w.paused = false }) }

// Leave announces that the worker takes no more tasks.
func (w *Worker) Leave() { w.set(func() { w.leaving = true }) }

// SetFailAll makes every task that ends from now on fail or not.
func (w *Worker) SetFailAll(fail bool) { w.set(func() { w.o.FailAll = fail }) }

// Crash drops every task and report, as when the VM is lost.
func (w *Worker) Crash() {
	w.set(func() {
		for _, t := range w.tasks {
			if !t.ended {
				w.o.RunLog.end(t.run, RunCrashed)
			}
		}
		w.tasks = map[string]*task{}
		w.reports = nil
	})
}

func (w *Worker) set(fn func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn()
}

// Step stops tasks whose lease ran out and lets the others progress up to now.
func (w *Worker) Step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused {
		return
	}
	now := w.o.Clock.Now()
	elapsed := (now - w.last).Milliseconds()
	w.last += time.Duration(elapsed) * time.Millisecond
	for _, id := range w.sorted() {
		w.step(id, w.tasks[id], now, elapsed)
	}
}

func (w *Worker) step(id string, t *task, now time.Duration, elapsedMS int64) {
	if t.ended {
		return
	}
	if now >= t.leaseUntil {
		w.o.RunLog.end(t.run, RunLeaseLost)
		delete(w.tasks, id)
		return
	}
	w.o.RunLog.progress(t.run, now)
	if t.throttled {
		elapsedMS /= throttledShare
	}
	t.doneMS += elapsedMS
	if t.doneMS >= t.spec.RunMS {
		w.finish(id, t)
		return
	}
	if every := t.spec.CheckpointMS; every > 0 && t.doneMS-t.savedMS >= every {
		t.savedMS = t.doneMS
		w.report(id, t, apiv1.TaskEvent_TASK_EVENT_CHECKPOINT, t.save(), "")
	}
}

func (w *Worker) finish(id string, t *task) {
	t.ended = true
	reason := t.spec.FailReason
	if w.o.FailAll {
		reason = "worker fails every task"
	}
	if reason != "" {
		w.o.RunLog.end(t.run, RunFailed)
		w.report(id, t, apiv1.TaskEvent_TASK_EVENT_FAILED, nil, reason)
		return
	}
	w.o.RunLog.end(t.run, RunDone)
	w.report(id, t, apiv1.TaskEvent_TASK_EVENT_DONE, []byte(`"done by `+w.o.WorkerID+`"`), "")
}

func (t *task) save() []byte {
	data, err := json.Marshal(checkpoint{DoneMS: t.doneMS})
	if err != nil {
		panic(err) // a struct of one number always marshals
	}
	return data
}

func (w *Worker) report(id string, t *task, e apiv1.TaskEvent, data []byte, reason string) {
	w.reports = append(w.reports, &apiv1.TaskReport{
		JobId: id, Epoch: t.epoch, WorkerId: w.o.WorkerID, Event: e, Data: data, Reason: reason,
	})
}

func (w *Worker) sorted() []string {
	ids := make([]string, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
