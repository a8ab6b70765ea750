package control

import (
	"context"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// reportWorkers handles a batch of worker heartbeats and announcements of minions
// (the processes that serve callers' requests) from one entry process, which
// collects them. It commits changes of VMs and the workers' reports on runs (a
// run is one execution of a job on a worker; the schema calls it a task), and
// replies with the renewed leases and the instructions for each worker. A quorum
// must confirm the leadership before a renewal is sent.
func (s *Server) reportWorkers(ctx context.Context, batch *apiv1.WorkerBatch) (*apiv1.WorkerBatchReply, error) {
	l, err := s.leader()
	if err != nil {
		return nil, err
	}
	s.metrics.heartbeats.Add(float64(len(batch.Heartbeats)))
	now := s.opts.Clock.Now()
	var changed []*apiv1.VmObservation
	s.opts.StateMachine.Read(func(st *state.State) {
		changed = l.workers.observe(now, st, batch)
		l.workers.renew(now, st, batch.Heartbeats)
	})
	if err := l.commitObservations(ctx, changed); err != nil {
		return nil, err
	}
	if err := l.commitReports(ctx, batch.Heartbeats); err != nil {
		return nil, err
	}
	if err := s.node.Barrier(ctx); err != nil {
		return nil, err
	}
	return l.buildReply(ctx, now, batch.Heartbeats), nil
}

// commitObservations commits changes of VMs.
func (l *leadership) commitObservations(ctx context.Context, changed []*apiv1.VmObservation) error {
	if len(changed) == 0 {
		return nil
	}
	_, err := l.propose(ctx, &apiv1.Command{Body: &apiv1.Command_ObserveVms{
		ObserveVms: &apiv1.ObserveVms{Observations: changed},
	}})
	return err
}

// commitReports commits the reports on runs in the heartbeats.
func (l *leadership) commitReports(ctx context.Context, heartbeats []*apiv1.WorkerHeartbeat) error {
	var reports []*apiv1.TaskReport
	for _, hb := range heartbeats {
		for _, r := range hb.Reports {
			r.WorkerId = hb.WorkerId // a worker reports for itself only
			reports = append(reports, r)
		}
	}
	if len(reports) == 0 {
		return nil
	}
	_, err := l.propose(ctx, reportCommand(reports))
	return err
}

func reportCommand(reports []*apiv1.TaskReport) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_ReportTasks{ReportTasks: &apiv1.ReportTasks{Reports: reports}}}
}

// buildReply returns the instructions for each worker, from a comparison of the
// job leases that it holds with the committed ones. A job lease lets one worker
// run the job until it is no longer renewed.
func (l *leadership) buildReply(ctx context.Context, now time.Duration, heartbeats []*apiv1.WorkerHeartbeat) *apiv1.WorkerBatchReply {
	reply := &apiv1.WorkerBatchReply{}
	var nonRepeatable []*apiv1.TaskReport
	l.server.opts.StateMachine.Read(func(st *state.State) {
		for _, hb := range heartbeats {
			out, starts := l.workerInstructions(now, st, hb)
			reply.Instructions = append(reply.Instructions, out)
			nonRepeatable = append(nonRepeatable, starts...)
		}
	})
	if len(nonRepeatable) > 0 && !l.commitStarts(ctx, nonRepeatable) {
		dropStarts(reply, nonRepeatable)
	}
	return reply
}

// commitStarts commits that non-repeatable jobs are running, before their
// workers get the instruction to start them. It returns false if a start was
// rejected or the outcome of the commit is unknown. Starts are then not sent:
// the lease expires, and the outcome of the job becomes unknown.
func (l *leadership) commitStarts(ctx context.Context, nonRepeatable []*apiv1.TaskReport) bool {
	res, err := l.propose(ctx, reportCommand(nonRepeatable))
	return err == nil && len(res.GetRejections().GetRejections()) == 0
}

// dropStarts removes the start instructions for the given jobs from the reply.
func dropStarts(reply *apiv1.WorkerBatchReply, nonRepeatable []*apiv1.TaskReport) {
	drop := make(map[string]bool, len(nonRepeatable))
	for _, r := range nonRepeatable {
		drop[r.JobId] = true
	}
	for _, w := range reply.Instructions {
		kept := w.Instructions[:0]
		for _, in := range w.Instructions {
			if in.Action == apiv1.TaskAction_TASK_ACTION_START && drop[in.JobId] {
				continue
			}
			kept = append(kept, in)
		}
		w.Instructions = kept
	}
}

// workerInstructions returns the instructions for the worker of one heartbeat,
// and a report for each non-repeatable job among those to start. The reports
// must be committed before the instructions are sent.
func (l *leadership) workerInstructions(now time.Duration, st *state.State, hb *apiv1.WorkerHeartbeat) (*apiv1.WorkerInstructions, []*apiv1.TaskReport) {
	out := &apiv1.WorkerInstructions{
		WorkerId:   hb.WorkerId,
		LeaseTtlMs: uint32(l.server.opts.LeaseTTL.Milliseconds()),
	}
	for _, r := range hb.Reports {
		out.Acknowledged = append(out.Acknowledged, &apiv1.JobEpoch{JobId: r.JobId, Epoch: r.Epoch})
	}
	held := make(map[string]uint64, len(hb.Leases))
	for _, lease := range hb.Leases {
		held[lease.JobId] = lease.Epoch
		if l.workers.isRenewable(now, st, hb.WorkerId, lease) {
			out.Renewed = append(out.Renewed, lease)
			continue
		}
		out.Instructions = append(out.Instructions, &apiv1.TaskInstruction{
			Action: apiv1.TaskAction_TASK_ACTION_STOP, JobId: lease.JobId, Epoch: lease.Epoch,
		})
	}
	var nonRepeatable []*apiv1.TaskReport
	for _, job := range st.Jobs.LeasedOn(hb.Vm) {
		if job.Lease.WorkerId != hb.WorkerId {
			continue
		}
		in := l.jobInstruction(now, job, held[job.JobId] == job.Lease.Epoch)
		if in == nil {
			continue
		}
		out.Instructions = append(out.Instructions, in)
		if in.Action == apiv1.TaskAction_TASK_ACTION_START && !job.Repeatable {
			nonRepeatable = append(nonRepeatable, &apiv1.TaskReport{
				JobId: job.JobId, Epoch: job.Lease.Epoch, WorkerId: hb.WorkerId,
				Event: apiv1.TaskEvent_TASK_EVENT_RUNNING,
			})
		}
	}
	return out, nonRepeatable
}

// jobInstruction returns what the worker should do about one leased job, or nil
// if nothing. held reports whether the worker listed the lease, at its current
// epoch, in the heartbeat.
func (l *leadership) jobInstruction(now time.Duration, job *apiv1.Job, held bool) *apiv1.TaskInstruction {
	in := &apiv1.TaskInstruction{JobId: job.JobId, Epoch: job.Lease.Epoch}
	switch {
	case job.State == apiv1.JobState_JOB_STATE_STOPPING && job.CancelRequested:
		in.Action = apiv1.TaskAction_TASK_ACTION_STOP
	case job.State == apiv1.JobState_JOB_STATE_STOPPING:
		in.Action = apiv1.TaskAction_TASK_ACTION_CHECKPOINT_AND_STOP
	case held && job.Lease.Throttled:
		in.Action = apiv1.TaskAction_TASK_ACTION_THROTTLE
	case !held && l.workers.tryStart(now, job):
		in.Action = apiv1.TaskAction_TASK_ACTION_START
		in.Resources = job.Resources
		in.Payload = job.Payload
		in.Checkpoint = job.Checkpoint
	default:
		return nil
	}
	return in
}
