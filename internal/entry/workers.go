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

// A heartbeat carries checkpoints and results.
const maxHeartbeatBytes = 16 << 20

// pendingHeartbeat is a heartbeat whose worker waits for instructions.
type pendingHeartbeat struct {
	heartbeat *apiv1.WorkerHeartbeat
	reply     chan workerReply // buffered
}

type workerReply struct {
	instructions *apiv1.WorkerInstructions
	err          *result.Error
}

// heartbeatBuffer holds the newest heartbeat of each worker until the next batch.
type heartbeatBuffer struct {
	mu      sync.Mutex
	pending map[string]*pendingHeartbeat
}

func newHeartbeatBuffer() *heartbeatBuffer {
	return &heartbeatBuffer{pending: map[string]*pendingHeartbeat{}}
}

func (h *heartbeatBuffer) add(hb *apiv1.WorkerHeartbeat) *pendingHeartbeat {
	w := &pendingHeartbeat{heartbeat: hb, reply: make(chan workerReply, 1)}
	h.mu.Lock()
	defer h.mu.Unlock()
	if old, ok := h.pending[hb.WorkerId]; ok {
		old.reply <- workerReply{err: result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "a newer heartbeat of worker %q replaced this one", hb.WorkerId)}
	}
	h.pending[hb.WorkerId] = w
	return w
}

func (h *heartbeatBuffer) takeAll() map[string]*pendingHeartbeat {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.pending
	h.pending = map[string]*pendingHeartbeat{}
	return taken
}

// failAll answers every waiting worker with err.
func (h *heartbeatBuffer) failAll(err *result.Error) {
	for _, w := range h.takeAll() {
		w.reply <- workerReply{err: err}
	}
}

// serveHeartbeat handles POST /v1/workers/heartbeat.
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
	waiting := s.heartbeats.add(hb)
	select {
	case <-r.Context().Done():
	case reply := <-waiting.reply:
		if reply.err != nil {
			s.writeError(w, "", reply.err)
			return
		}
		s.writeMessage(w, reply.instructions)
	}
}

// sendWorkers reports the heartbeats and VMs to the leader and gives each
// worker its instructions. Without an answer a worker gets an error, keeps its
// reports and sends them again; its leases are then not renewed.
func (s *Server) sendWorkers(ctx context.Context, waiting map[string]*pendingHeartbeat, vms []*apiv1.VmObservation) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	batch := &apiv1.WorkerBatch{MinionVms: vms}
	for _, w := range waiting {
		batch.Heartbeats = append(batch.Heartbeats, w.heartbeat)
	}
	reply, err := s.opts.Control.ReportWorkers(ctx, batch)
	if err != nil {
		s.metrics.batchFailures.WithLabelValues("heartbeats").Inc()
		s.opts.Log.WithError(err).Debug("heartbeats could not be reported")
	}
	for _, in := range reply.GetInstructions() {
		if w, ok := waiting[in.WorkerId]; ok && err == nil {
			w.reply <- workerReply{instructions: in}
			delete(waiting, in.WorkerId)
		}
	}
	for id, w := range waiting {
		w.reply <- workerReply{err: heartbeatError(id, err)}
	}
}

func heartbeatError(worker string, err error) *result.Error {
	if err == nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "the leader gave no instructions for worker %q", worker)
	}
	return result.New(result.CodeOf(err), "the heartbeat of worker %q may not have arrived: %v", worker, err)
}

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
