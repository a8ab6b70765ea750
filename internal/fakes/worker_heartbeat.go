package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// maxInstructionsBytes bounds the answer to one heartbeat.
const maxInstructionsBytes = 64 << 20

// SendHeartbeat sends one heartbeat and carries out the instructions in the answer. An
// entry that does not answer is replaced by the next one.
func (w *Worker) SendHeartbeat(ctx context.Context) error {
	w.sending.Lock()
	defer w.sending.Unlock()
	hb, entry, sent, ok := w.heartbeat()
	if !ok {
		return nil
	}
	ins, err := w.post(ctx, entry, hb)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.entry++
		return err
	}
	w.follow(hb, ins, sent)
	return nil
}

// heartbeat returns what to send, to which entry, and the time before it is sent.
func (w *Worker) heartbeat() (*apiv1.WorkerHeartbeat, string, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused || len(w.o.EntryURLs) == 0 {
		return nil, "", 0, false
	}
	hb := &apiv1.WorkerHeartbeat{
		WorkerId: w.o.WorkerID, Vm: w.o.VM, Pool: w.o.Pool, AvailabilityZone: w.o.Zone, Rack: w.o.Rack,
		Capacity: w.o.Capacity, Used: &apiv1.Resources{}, Reports: slices.Clone(w.reports), Leaving: w.leaving,
	}
	for _, id := range w.sorted() {
		hb.Leases = append(hb.Leases, &apiv1.JobEpoch{JobId: id, Epoch: w.tasks[id].epoch})
	}
	return hb, w.o.EntryURLs[w.entry%len(w.o.EntryURLs)], w.o.Clock.Now(), true
}

func (w *Worker) post(ctx context.Context, entry string, hb *apiv1.WorkerHeartbeat) (*apiv1.WorkerInstructions, error) {
	body, err := protojson.Marshal(hb)
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/workers/heartbeat", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("heartbeat to %s: %w", entry, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.o.Client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("heartbeat to %s: %w", entry, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxInstructionsBytes))
	if err != nil {
		return nil, fmt.Errorf("heartbeat to %s: %w", entry, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("heartbeat to %s: HTTP status %d: %.200s", entry, resp.StatusCode, data)
	}
	ins := &apiv1.WorkerInstructions{}
	if err := protojson.Unmarshal(data, ins); err != nil {
		return nil, fmt.Errorf("instructions from %s: %w", entry, err)
	}
	return ins, nil
}

// follow carries out ins, the answer to hb. Leases count from the time at which
// hb was sent, which is before the leader renewed them.
func (w *Worker) follow(hb *apiv1.WorkerHeartbeat, ins *apiv1.WorkerInstructions, sent time.Duration) {
	if w.paused {
		return // the answer is lost to a process that froze meanwhile
	}
	until := sent + time.Duration(ins.LeaseTtlMs)*time.Millisecond
	for _, e := range ins.Renewed {
		if t, ok := w.tasks[e.JobId]; ok && t.epoch == e.Epoch {
			t.leaseUntil = max(t.leaseUntil, until)
		}
	}
	for _, e := range ins.Acknowledged {
		w.acknowledged(hb, e)
	}
	// A task is throttled for as long as each answer says so.
	for _, t := range w.tasks {
		t.throttled = false
	}
	for _, in := range ins.Instructions {
		w.instruct(in, until)
	}
}

// acknowledged drops the reports of the epoch that hb carried. Later ones were
// not part of what was committed.
func (w *Worker) acknowledged(hb *apiv1.WorkerHeartbeat, e *apiv1.JobEpoch) {
	w.reports = slices.DeleteFunc(w.reports, func(r *apiv1.TaskReport) bool {
		return r.JobId == e.JobId && r.Epoch == e.Epoch && slices.Contains(hb.Reports, r)
	})
	t, ok := w.tasks[e.JobId]
	if !ok || !t.ended || t.epoch != e.Epoch {
		return
	}
	waiting := slices.ContainsFunc(w.reports, func(r *apiv1.TaskReport) bool { return r.JobId == e.JobId && r.Epoch == e.Epoch })
	if !waiting {
		delete(w.tasks, e.JobId)
	}
}

func (w *Worker) instruct(in *apiv1.TaskInstruction, leaseUntil time.Duration) {
	if in.Action == apiv1.TaskAction_TASK_ACTION_START {
		w.start(in, leaseUntil)
		return
	}
	t, ok := w.tasks[in.JobId]
	if !ok || t.epoch != in.Epoch || t.ended {
		return
	}
	switch in.Action {
	case apiv1.TaskAction_TASK_ACTION_THROTTLE:
		t.throttled = true
	case apiv1.TaskAction_TASK_ACTION_STOP:
		w.stop(in.JobId, t, nil)
	case apiv1.TaskAction_TASK_ACTION_CHECKPOINT_AND_STOP:
		w.stop(in.JobId, t, t.save())
	}
}

func (w *Worker) stop(id string, t *task, data []byte) {
	t.ended = true
	w.o.RunLog.end(t.run, RunStopped)
	w.report(id, t, apiv1.TaskEvent_TASK_EVENT_STOPPED, data, "")
}

// start begins a task once per epoch, unless its lease ran out already: the
// answer may be late.
func (w *Worker) start(in *apiv1.TaskInstruction, leaseUntil time.Duration) {
	now := w.o.Clock.Now()
	if in.Epoch <= w.seen[in.JobId] || now >= leaseUntil || w.tasks[in.JobId] != nil {
		return
	}
	w.seen[in.JobId] = in.Epoch
	t := &task{epoch: in.Epoch, spec: Task{RunMS: defaultTaskRun.Milliseconds()}, leaseUntil: leaseUntil}
	t.run = w.o.RunLog.start(Run{JobID: in.JobId, Epoch: in.Epoch, WorkerID: w.o.WorkerID, Started: now})
	w.tasks[in.JobId] = t
	if len(in.Payload) > 0 {
		if err := json.Unmarshal(in.Payload, &t.spec); err != nil {
			t.spec = Task{FailReason: "payload: " + err.Error()}
		}
	}
	var from checkpoint
	if json.Unmarshal(in.Checkpoint, &from) == nil {
		t.doneMS, t.savedMS = from.DoneMS, from.DoneMS
	}
	w.report(in.JobId, t, apiv1.TaskEvent_TASK_EVENT_RUNNING, nil, "")
}
