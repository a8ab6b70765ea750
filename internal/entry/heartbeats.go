package entry

import (
	"context"
	"net/http"
	"sync"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// A heartbeat is a worker's periodic report on the jobs that it runs, which
// renews the worker's leases of these jobs. A heartbeat carries checkpoints and
// results, so it may be large.
const maxHeartbeatBytes = 16 << 20

// pendingHeartbeat is a heartbeat that was not sent on yet, or whose worker still
// waits for the leader's instructions.
type pendingHeartbeat struct {
	heartbeat *apiv1.WorkerHeartbeat
	reply     chan workerReply // takes one reply without blocking
}

// workerReply has either instructions or err.
type workerReply struct {
	instructions *apiv1.WorkerInstructions
	err          *result.Error
}

// heartbeatBuffer holds the latest heartbeat of each worker until the next batch.
type heartbeatBuffer struct {
	mu      sync.Mutex
	pending map[string]*pendingHeartbeat // by worker id
}

func newHeartbeatBuffer() *heartbeatBuffer {
	return &heartbeatBuffer{pending: map[string]*pendingHeartbeat{}}
}

// add stores a heartbeat for the next batch. An earlier one of the same worker
// that is still stored fails with INVALID_ARGUMENT.
func (b *heartbeatBuffer) add(hb *apiv1.WorkerHeartbeat) *pendingHeartbeat {
	p := &pendingHeartbeat{heartbeat: hb, reply: make(chan workerReply, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if old, ok := b.pending[hb.WorkerId]; ok {
		old.reply <- workerReply{err: result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "a newer heartbeat of worker %q replaced this one", hb.WorkerId)}
	}
	b.pending[hb.WorkerId] = p
	return p
}

// takeAll removes and returns the stored heartbeats, by worker id.
func (b *heartbeatBuffer) takeAll() map[string]*pendingHeartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.pending
	b.pending = map[string]*pendingHeartbeat{}
	return taken
}

// failAll removes the stored heartbeats and replies err to each.
func (b *heartbeatBuffer) failAll(err *result.Error) {
	for _, p := range b.takeAll() {
		p.reply <- workerReply{err: err}
	}
}

// serveHeartbeat handles POST /v1/workers/heartbeat. It responds once the leader
// has given the worker's instructions.
func (s *Server) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	hb := &apiv1.WorkerHeartbeat{}
	if err := s.decodeFromTarget(w, r, hb, maxHeartbeatBytes); err != nil {
		s.writeError(w, "", err)
		return
	}
	if hb.WorkerId == "" || hb.Vm == "" {
		s.writeError(w, "", result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the heartbeat lacks worker_id or vm"))
		return
	}
	pending := s.heartbeats.add(hb)
	select {
	case <-r.Context().Done():
	case reply := <-pending.reply:
		if reply.err != nil {
			s.writeError(w, "", reply.err)
			return
		}
		s.writeMessage(w, reply.instructions)
	}
}

// sendHeartbeats reports the heartbeats and VMs to the leader of the control
// group and replies to each worker with its instructions. If there are none, the
// worker gets an error, keeps its reports and sends them again; its leases are
// then not renewed.
func (s *Server) sendHeartbeats(ctx context.Context, pending map[string]*pendingHeartbeat, vms []*apiv1.VmObservation) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	batch := &apiv1.WorkerBatch{MinionVms: vms}
	for _, p := range pending {
		batch.Heartbeats = append(batch.Heartbeats, p.heartbeat)
	}
	reply, err := s.opts.Control.ReportWorkers(ctx, batch)
	if err != nil {
		s.metrics.batchFailures.WithLabelValues("heartbeats").Inc()
		s.opts.Log.WithError(err).Debug("failed to report heartbeats to the leader of the control group")
	}
	for _, in := range reply.GetInstructions() {
		if p, ok := pending[in.WorkerId]; ok && err == nil {
			p.reply <- workerReply{instructions: in}
			delete(pending, in.WorkerId)
		}
	}
	for id, p := range pending {
		p.reply <- workerReply{err: heartbeatError(id, err)}
	}
}

// heartbeatError is the reply to a worker without instructions. err is that of
// the call to the leader, or nil if the leader's reply left the worker out.
func heartbeatError(worker string, err error) *result.Error {
	if err == nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "the leader gave no instructions for worker %q", worker)
	}
	return result.New(result.CodeOf(err), "the heartbeat of worker %q may not have arrived: %v", worker, err)
}

// writeMessage sends m to the client as protobuf JSON.
func (s *Server) writeMessage(w http.ResponseWriter, m proto.Message) {
	body, err := protojson.Marshal(m)
	if err != nil {
		s.writeError(w, "", result.From(err))
		return
	}
	s.setCallerDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerResult, resultOK)
	w.Write(body)
}
