// Package batchservice serves batch jobs to the processes that callers, minions
// and operators reach. The leader of the control group answers; every answer
// reflects all that was committed before the call arrived.
//
// It is the service of a batch deployment (package daemon/batchcore). Package
// control is that of the other kind of deployment. Both work on the same
// replicated state machine.
package batchservice

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
	"bergamotdrum.example/bergamotdrum/internal/replica"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// Methods of the service.
const (
	MethodSubmit     = "Batch.Submit"
	MethodGet        = "Batch.Get"
	MethodCancel     = "Batch.Cancel"
	MethodPutCatalog = "Batch.PutCatalog"
	MethodGetCatalog = "Batch.GetCatalog"
	MethodSetZone    = "Batch.SetZone"
	MethodStartWave  = "Batch.StartWave"
	MethodGetWave    = "Batch.GetWave"
	MethodAnnounce   = "Batch.Announce"
)

// Node is the part of a control replica that the service uses.
type Node interface {
	dispatch.Node
	Status() replica.Status
}

// Options configure a Server.
type Options struct {
	StateMachine *state.Machine
	Log          *logrus.Entry
	// Registry may be nil.
	Registry prometheus.Registerer
	// ReportAddress is the address at which this replica takes minions'
	// announcements.
	ReportAddress string
	Dispatch      dispatch.Options
}

// Server serves the batch calls of one replica. Only the leader's server has a
// dispatcher and carries calls out; the others answer every call with
// NOT_LEADER.
type Server struct {
	o          Options
	node       atomic.Pointer[Node]
	dispatcher atomic.Pointer[dispatch.Dispatcher]
	reads      *readBarrier
	metrics    *dispatch.Metrics
	calls      *prometheus.HistogramVec
}

// New returns a server without a node; SetNode must be called before it is
// used.
func New(o Options) *Server {
	s := &Server{o: o, metrics: dispatch.NewMetrics(o.Registry), calls: newCallMetric(o.Registry)}
	s.reads = newReadBarrier(func(ctx context.Context) error { return s.mustNode().Barrier(ctx) })
	return s
}

func newCallMetric(r prometheus.Registerer) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "bergamot_batch_call_seconds", Help: "Duration of calls to the batch service at the leader.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
	}, []string{"method", "code"})
	if r != nil {
		r.MustRegister(h)
	}
	return h
}

// SetNode completes the server. It is called before the RPC server serves.
func (s *Server) SetNode(n Node) { s.node.Store(&n) }

func (s *Server) mustNode() Node { return *s.node.Load() }

// Register adds the Batch methods.
func (s *Server) Register(srv *rpc.Server) {
	register(s, srv, MethodSubmit, s.submit)
	register(s, srv, MethodGet, s.get)
	register(s, srv, MethodCancel, s.cancel)
	register(s, srv, MethodPutCatalog, s.putCatalog)
	register(s, srv, MethodGetCatalog, s.getCatalog)
	register(s, srv, MethodSetZone, s.setZone)
	register(s, srv, MethodStartWave, s.startWave)
	register(s, srv, MethodGetWave, s.getWave)
	register(s, srv, MethodAnnounce, s.announce)
}

// register adds a method that only the leader serves, and measures its calls.
func register[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](s *Server, srv *rpc.Server, method string, fn func(context.Context, *dispatch.Dispatcher, PReq) (PResp, error)) {
	rpc.Register(srv, method, func(ctx context.Context, req PReq) (PResp, error) {
		began := time.Now()
		var resp PResp
		d, err := s.leader()
		if err == nil {
			resp, err = fn(ctx, d, req)
		}
		s.calls.WithLabelValues(method, result.CodeOf(err).String()).Observe(time.Since(began).Seconds())
		return resp, err
	})
}

// OnLeader runs the dispatcher while this replica leads, until ctx ends.
func (s *Server) OnLeader(ctx context.Context) {
	for s.node.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
	o := s.o.Dispatch
	o.StateMachine, o.Node, o.Log = s.o.StateMachine, s.mustNode(), s.o.Log
	d := dispatch.New(ctx, s.mustNode().Status().Term, o, s.metrics)
	s.dispatcher.Store(d)
	d.Run()
	s.dispatcher.CompareAndSwap(d, nil)
}

func (s *Server) leader() (*dispatch.Dispatcher, error) {
	if d := s.dispatcher.Load(); d != nil && d.IsLeader() {
		return d, nil
	}
	err := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "this replica does not lead the control group; ask the leader")
	if n := s.node.Load(); n != nil {
		err.LeaderAddress = (*n).Status().LeaderAddress
	}
	return nil, err
}

func (s *Server) propose(ctx context.Context, cmd *apiv1.BatchCommand) (*apiv1.BatchResult, error) {
	res, err := s.mustNode().Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Batch{Batch: cmd}})
	if err != nil {
		return nil, err
	}
	if err := result.FromStatus(res.Status); err != nil {
		return nil, err
	}
	return res.GetBatch(), nil
}

// read runs fn on a state that holds all that was committed before the call.
func (s *Server) read(ctx context.Context, fn func(*batch.State)) error {
	if err := s.reads.wait(ctx); err != nil {
		return err
	}
	s.o.StateMachine.Read(func(st *state.State) { fn(st.Batch) })
	return nil
}

// authorize finds the queue and the client account of a call, and checks its
// key.
func (s *Server) authorize(ctx context.Context, call *apiv1.QueueCall) (authorized batch.AuthorizedCall, err error) {
	var refused *result.Error
	err = s.read(ctx, func(st *batch.State) { authorized, refused = st.Authorize(call) })
	if err == nil && refused != nil {
		err = refused
	}
	return authorized, err
}
