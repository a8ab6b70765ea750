package control

import (
	"context"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// reportWorkers handles one entry's batch of heartbeats: it commits what
// changed, renews leases after a quorum has confirmed the leadership, and
// answers with what each worker should do.
func (s *Server) reportWorkers(ctx context.Context, batch *apiv1.WorkerBatch) (*apiv1.WorkerBatchReply, error) {
	l, err := s.leader()
	if err != nil {
		return nil, err
	}
	s.m.heartbeats.Add(float64(len(batch.Heartbeats)))
	now := s.o.Clock.Now()
	var changed []*apiv1.VmObservation
	s.o.StateMachine.Read(func(st *state.State) {
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
	return l.instruct(ctx, now, batch.Heartbeats), nil
}

func (l *leadership) commitObservations(ctx context.Context, changed []*apiv1.VmObservation) error {
	if len(changed) == 0 {
		return nil
	}
	_, err := l.propose(ctx, &apiv1.Command{Body: &apiv1.Command_ObserveVms{
		ObserveVms: &apiv1.ObserveVms{Observations: changed},
	}})
	return err
}

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

// instruct compares the leases that each worker holds with the committed ones.
func (l *leadership) instruct(ctx context.Context, now time.Duration, heartbeats []*apiv1.WorkerHeartbeat) *apiv1.WorkerBatchReply {
	reply := &apiv1.WorkerBatchReply{}
	var once []*apiv1.TaskReport
	l.s.o.StateMachine.Read(func(st *state.State) {
		for _, hb := range heartbeats {
			out, starts := l.instructWorker(now, st, hb)
			reply.Instructions = append(reply.Instructions, out)
			once = append(once, starts...)
		}
	})
	if len(once) > 0 && !l.commitStarts(ctx, once) {
		dropStarts(reply, once)
	}
	return reply
}

// commitStarts marks jobs that may not be repeated as running before their
// worker hears of them. When the commit's outcome is not known the start is
// not sent: the lease expires and the job's outcome becomes unknown.
func (l *leadership) commitStarts(ctx context.Context, once []*apiv1.TaskReport) bool {
	res, err := l.propose(ctx, reportCommand(once))
	return err == nil && len(res.GetRejections().GetRejections()) == 0
}

func dropStarts(reply *apiv1.WorkerBatchReply, once []*apiv1.TaskReport) {
	drop := make(map[string]bool, len(once))
	for _, r := range once {
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

func (l *leadership) instructWorker(now time.Duration, st *state.State, hb *apiv1.WorkerHeartbeat) (*apiv1.WorkerInstructions, []*apiv1.TaskReport) {
	out := &apiv1.WorkerInstructions{
		WorkerId:   hb.WorkerId,
		LeaseTtlMs: uint32(l.s.o.LeaseTTL.Milliseconds()),
	}
	for _, r := range hb.Reports {
		out.Acknowledged = append(out.Acknowledged, &apiv1.JobEpoch{JobId: r.JobId, Epoch: r.Epoch})
	}
	held := make(map[string]uint64, len(hb.Leases))
	for _, lease := range hb.Leases {
		held[lease.JobId] = lease.Epoch
		if l.workers.renewable(now, st, hb.WorkerId, lease) {
			out.Renewed = append(out.Renewed, lease)
			continue
		}
		out.Instructions = append(out.Instructions, &apiv1.TaskInstruction{
			Action: apiv1.TaskAction_TASK_ACTION_STOP, JobId: lease.JobId, Epoch: lease.Epoch,
		})
	}
	var once []*apiv1.TaskReport
	for _, job := range st.Jobs.LeasedOn(hb.Vm) {
		if job.Lease.WorkerId != hb.WorkerId {
			continue
		}
		in := l.instruction(now, job, held[job.JobId] == job.Lease.Epoch)
		if in == nil {
			continue
		}
		out.Instructions = append(out.Instructions, in)
		if in.Action == apiv1.TaskAction_TASK_ACTION_START && !job.Repeatable {
			once = append(once, &apiv1.TaskReport{
				JobId: job.JobId, Epoch: job.Lease.Epoch, WorkerId: hb.WorkerId,
				Event: apiv1.TaskEvent_TASK_EVENT_RUNNING,
			})
		}
	}
	return out, once
}

// instruction returns what the worker should do about one leased job, nil when
// nothing.
func (l *leadership) instruction(now time.Duration, job *apiv1.Job, held bool) *apiv1.TaskInstruction {
	in := &apiv1.TaskInstruction{JobId: job.JobId, Epoch: job.Lease.Epoch}
	switch {
	case job.State == apiv1.JobState_JOB_STATE_STOPPING && job.CancelRequested:
		in.Action = apiv1.TaskAction_TASK_ACTION_STOP
	case job.State == apiv1.JobState_JOB_STATE_STOPPING:
		in.Action = apiv1.TaskAction_TASK_ACTION_CHECKPOINT_AND_STOP
	case held && job.Lease.Throttled:
		in.Action = apiv1.TaskAction_TASK_ACTION_THROTTLE
	case !held && l.workers.mayStart(now, job):
		in.Action = apiv1.TaskAction_TASK_ACTION_START
		in.Resources = job.Resources
		in.Payload = job.Payload
		in.Checkpoint = job.Checkpoint
	default:
		return nil
	}
	return in
}
