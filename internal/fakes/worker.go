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
	defaultHeartbeatInterval = time.Second
	// defaultTickInterval is the interval of lease checks, and so the longest time
	// that a task runs after its lease, the job's time-limited right to run on
	// this worker, has expired.
	defaultTickInterval = 50 * time.Millisecond
	defaultTaskDuration = 100 * time.Millisecond
	// throttleDivisor is the factor by which throttling slows down a task.
	throttleDivisor = 4
)

// Task is the JSON payload of a job for a fake worker. An empty payload is a
// task of 100 ms.
type Task struct {
	// RunMS is the task's duration in milliseconds at full speed.
	RunMS int64 `json:"run_ms"`
	// FailReason makes the task fail at its end with this reason, unless it is
	// empty.
	FailReason string `json:"fail,omitempty"`
	// CheckpointMS is the progress in milliseconds between two checkpoints, or 0
	// for a task without checkpoints.
	CheckpointMS int64 `json:"checkpoint_ms,omitempty"`
}

// checkpoint is the data from which a later run of the job resumes.
type checkpoint struct {
	// DoneMS is the progress in milliseconds.
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

// Run is one execution of a job by a worker.
type Run struct {
	JobID string
	// Epoch is the job's lease epoch under which the run was started. Each
	// lease of the job gets a higher one.
	Epoch    uint64
	WorkerID string
	// Started and Ended are readings of the worker's clock. Ended is the last time
	// at which the run made progress; a paused worker makes none.
	Started, Ended time.Duration
	// Outcome is empty while the run is in progress.
	Outcome string
}

// RunLog records the runs of any number of workers.
type RunLog struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns copies of all runs in the order of their start.
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

// Overlapping returns two runs of one job of which the earlier one made progress
// after the later one had started, and reports whether there are any.
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

// start records a new run and returns the record.
func (l *RunLog) start(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Ended = r.Started
	l.runs = append(l.runs, &r)
	return l.runs[len(l.runs)-1]
}

// progress records that the run was still executing at the given time.
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

// WorkerOptions configure a fake worker.
type WorkerOptions struct {
	WorkerID, VM, Pool, Zone, Rack string
	Capacity                       *apiv1.Resources
	// EntryURLs are the base URLs of entries' target listeners. After a failed
	// heartbeat the next one is used.
	EntryURLs                       []string
	HeartbeatInterval, TickInterval time.Duration
	Clock                           clock.Clock  // clock.Boot when nil
	Client                          *http.Client // with a timeout of one heartbeat when nil
	RunLog                          *RunLog      // a new one when nil
	// FailAll makes every task fail at its end, as on a broken worker.
	FailAll bool
}

// Worker is a fake worker. Its tasks only measure time: each makes progress with
// the clock while its lease is valid.
type Worker struct {
	opts WorkerOptions
	// heartbeatMu is held during a heartbeat, so that heartbeats do not overlap.
	heartbeatMu sync.Mutex

	mu           sync.Mutex
	tasks        map[string]*task  // by job id
	latestEpochs map[string]uint64 // newest epoch per job
	reports      []*apiv1.TaskReport
	entryIndex   int
	lastTick     time.Duration // time up to which tasks have made progress
	paused       bool
	leaving      bool
	// unanswered is the number of heartbeats that failed.
	unanswered int
}

// task is a started job.
type task struct {
	epoch            uint64
	spec             Task
	run              *Run
	doneMS           int64
	lastCheckpointMS int64 // doneMS at the last checkpoint
	leaseUntil       time.Duration
	throttled        bool
	// ended reports whether the task has ended. An ended task is kept until its
	// final report is acknowledged.
	ended bool
}

// NewWorker returns a worker that is inactive until Run, Step or SendHeartbeat is
// called.
func NewWorker(o WorkerOptions) *Worker {
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.TickInterval == 0 {
		o.TickInterval = defaultTickInterval
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
	return &Worker{opts: o, tasks: map[string]*task{}, latestEpochs: map[string]uint64{}, lastTick: o.Clock.Now()}
}

// RunLog returns the record of the runs.
func (w *Worker) RunLog() *RunLog { return w.opts.RunLog }

// Run sends heartbeats and runs tasks until ctx ends. It then drops all tasks
// without a report, as Crash does.
func (w *Worker) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { every(ctx, w.opts.TickInterval, w.Step) })
	wg.Go(func() { every(ctx, w.opts.HeartbeatInterval, func() { w.SendHeartbeat(ctx) }) })
	wg.Wait()
	w.Crash()
}

// every calls fn immediately and then at the interval d until ctx ends.
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

// Pause simulates a suspended process: no heartbeats, progress or lease checks.
func (w *Worker) Pause() { w.set(func() { w.paused = true }) }

// Resume ends a pause. The first step checks the leases before tasks make
// progress.
func (w *Worker) Resume() { w.set(func() { w.paused = false }) }

// Leave makes further heartbeats say that the worker takes no more tasks.
func (w *Worker) Leave() { w.set(func() { w.leaving = true }) }

// Unanswered returns the number of heartbeats that failed so far. Instructions in
// a response that did not arrive in time are lost.
func (w *Worker) Unanswered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unanswered
}

// SetFailAll sets whether all tasks that end from now on fail.
func (w *Worker) SetFailAll(fail bool) { w.set(func() { w.opts.FailAll = fail }) }

// Crash drops all tasks and reports, as when the VM is lost.
func (w *Worker) Crash() {
	w.set(func() {
		for _, t := range w.tasks {
			if !t.ended {
				w.opts.RunLog.end(t.run, RunCrashed)
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

// Step stops tasks whose lease has expired and advances the others to the
// current time.
func (w *Worker) Step() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused {
		return
	}
	now := w.opts.Clock.Now()
	elapsed := (now - w.lastTick).Milliseconds()
	w.lastTick += time.Duration(elapsed) * time.Millisecond
	for _, id := range w.sortedTaskIDs() {
		w.stepTask(id, w.tasks[id], now, elapsed)
	}
}

func (w *Worker) stepTask(id string, t *task, now time.Duration, elapsedMS int64) {
	if t.ended {
		return
	}
	if now >= t.leaseUntil {
		w.opts.RunLog.end(t.run, RunLeaseLost)
		delete(w.tasks, id)
		return
	}
	w.opts.RunLog.progress(t.run, now)
	if t.throttled {
		elapsedMS /= throttleDivisor
	}
	t.doneMS += elapsedMS
	if t.doneMS >= t.spec.RunMS {
		w.finishTask(id, t)
		return
	}
	if every := t.spec.CheckpointMS; every > 0 && t.doneMS-t.lastCheckpointMS >= every {
		t.lastCheckpointMS = t.doneMS
		w.addReport(id, t, apiv1.TaskEvent_TASK_EVENT_CHECKPOINT, t.encodeCheckpoint(), "")
	}
}

// finishTask ends a task that has run its full time and reports its outcome.
func (w *Worker) finishTask(id string, t *task) {
	t.ended = true
	reason := t.spec.FailReason
	if w.opts.FailAll {
		reason = "worker fails every task"
	}
	if reason != "" {
		w.opts.RunLog.end(t.run, RunFailed)
		w.addReport(id, t, apiv1.TaskEvent_TASK_EVENT_FAILED, nil, reason)
		return
	}
	w.opts.RunLog.end(t.run, RunDone)
	w.addReport(id, t, apiv1.TaskEvent_TASK_EVENT_DONE, []byte(`"done by `+w.opts.WorkerID+`"`), "")
}

func (t *task) encodeCheckpoint() []byte {
	data, err := json.Marshal(checkpoint{DoneMS: t.doneMS})
	if err != nil {
		panic(err) // can't happen: the struct has only a number
	}
	return data
}

// addReport adds a report to those that each heartbeat carries until they are
// acknowledged.
func (w *Worker) addReport(id string, t *task, e apiv1.TaskEvent, data []byte, reason string) {
	w.reports = append(w.reports, &apiv1.TaskReport{
		JobId: id, Epoch: t.epoch, WorkerId: w.opts.WorkerID, Event: e, Data: data, Reason: reason,
	})
}

func (w *Worker) sortedTaskIDs() []string {
	ids := make([]string, 0, len(w.tasks))
	for id := range w.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
