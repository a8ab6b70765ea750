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

// maxInstructionsBytes limits the size of the response to a heartbeat.
const maxInstructionsBytes = 64 << 20

// SendHeartbeat sends one heartbeat and carries out the instructions in the
// response. After an error the next heartbeat goes to the next entry process. A
// paused worker sends nothing.
func (w *Worker) SendHeartbeat(ctx context.Context) error {
	w.heartbeatMu.Lock()
	defer w.heartbeatMu.Unlock()
	hb, entry, sent, ok := w.prepareHeartbeat()
	if !ok {
		return nil
	}
	ins, err := w.postHeartbeat(ctx, entry, hb)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.entryIndex++
		w.unanswered++
		return err
	}
	w.applyInstructions(hb, ins, sent)
	return nil
}

// prepareHeartbeat returns the heartbeat, the entry process to send it to, and the
// current time. It returns false if the worker is paused or has no entries.
func (w *Worker) prepareHeartbeat() (*apiv1.WorkerHeartbeat, string, time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused || len(w.opts.EntryURLs) == 0 {
		return nil, "", 0, false
	}
	hb := &apiv1.WorkerHeartbeat{
		WorkerId: w.opts.WorkerID, Vm: w.opts.VM, Pool: w.opts.Pool, AvailabilityZone: w.opts.Zone, Rack: w.opts.Rack,
		Capacity: w.opts.Capacity, Used: &apiv1.Resources{}, Reports: slices.Clone(w.reports), Leaving: w.leaving,
	}
	for _, id := range w.sortedTaskIDs() {
		hb.Leases = append(hb.Leases, &apiv1.JobEpoch{JobId: id, Epoch: w.tasks[id].epoch})
	}
	return hb, w.opts.EntryURLs[w.entryIndex%len(w.opts.EntryURLs)], w.opts.Clock.Now(), true
}

func (w *Worker) postHeartbeat(ctx context.Context, entry string, hb *apiv1.WorkerHeartbeat) (*apiv1.WorkerInstructions, error) {
	body, err := protojson.Marshal(hb)
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/workers/heartbeat", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("heartbeat to %s: %w", entry, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.opts.Client.Do(req)
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

// applyInstructions carries out ins, the response to hb. Leases are counted from
// the time at which hb was sent: the leader counts them from a later time, so
// they expire here first.
func (w *Worker) applyInstructions(hb *apiv1.WorkerHeartbeat, ins *apiv1.WorkerInstructions, sent time.Duration) {
	if w.paused {
		return // the worker was paused during the call; the response counts as lost
	}
	until := sent + time.Duration(ins.LeaseTtlMs)*time.Millisecond
	for _, e := range ins.Renewed {
		if t, ok := w.tasks[e.JobId]; ok && t.epoch == e.Epoch {
			t.leaseUntil = max(t.leaseUntil, until)
		}
	}
	for _, e := range ins.Acknowledged {
		w.dropAcknowledged(hb, e)
	}
	// A task stays throttled only while each response says so again.
	for _, t := range w.tasks {
		t.throttled = false
	}
	for _, in := range ins.Instructions {
		w.applyInstruction(in, until)
	}
}

// dropAcknowledged drops the acknowledged reports, which are those of the job and
// epoch e that hb carried. Reports added since then have not been committed. It
// also drops an ended task that has no reports left.
func (w *Worker) dropAcknowledged(hb *apiv1.WorkerHeartbeat, e *apiv1.JobEpoch) {
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

// applyInstruction carries out one instruction. Instructions other than a start
// are ignored unless the task runs under the same epoch.
func (w *Worker) applyInstruction(in *apiv1.TaskInstruction, leaseUntil time.Duration) {
	if in.Action == apiv1.TaskAction_TASK_ACTION_START {
		w.startTask(in, leaseUntil)
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
		w.stopTask(in.JobId, t, nil)
	case apiv1.TaskAction_TASK_ACTION_CHECKPOINT_AND_STOP:
		w.stopTask(in.JobId, t, t.encodeCheckpoint())
	}
}

// stopTask ends a task before its time and reports data as its checkpoint.
func (w *Worker) stopTask(id string, t *task, data []byte) {
	t.ended = true
	w.opts.RunLog.end(t.run, RunStopped)
	w.addReport(id, t, apiv1.TaskEvent_TASK_EVENT_STOPPED, data, "")
}

// startTask starts a task, at most once per epoch. It does nothing if the lease
// has already expired, since the response may be late.
func (w *Worker) startTask(in *apiv1.TaskInstruction, leaseUntil time.Duration) {
	now := w.opts.Clock.Now()
	if in.Epoch <= w.latestEpochs[in.JobId] || now >= leaseUntil || w.tasks[in.JobId] != nil {
		return
	}
	w.latestEpochs[in.JobId] = in.Epoch
	t := &task{epoch: in.Epoch, spec: Task{RunMS: defaultTaskDuration.Milliseconds()}, leaseUntil: leaseUntil}
	t.run = w.opts.RunLog.start(Run{JobID: in.JobId, Epoch: in.Epoch, WorkerID: w.opts.WorkerID, Started: now})
	w.tasks[in.JobId] = t
	if len(in.Payload) > 0 {
		if err := json.Unmarshal(in.Payload, &t.spec); err != nil {
			t.spec = Task{FailReason: "payload: " + err.Error()}
		}
	}
	var from checkpoint
	if json.Unmarshal(in.Checkpoint, &from) == nil {
		t.doneMS, t.lastCheckpointMS = from.DoneMS, from.DoneMS
	}
	w.addReport(in.JobId, t, apiv1.TaskEvent_TASK_EVENT_RUNNING, nil, "")
}
