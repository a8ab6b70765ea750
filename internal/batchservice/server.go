// Package batchservice implements the rpc service for batch jobs. Its clients
// are the processes to which callers, minions and operators connect. Only the
// leader of the control group serves calls, and reads are linearizable: a
// response reflects everything that was committed before the call arrived. A
// deployment has either this service (process in daemon/batchcore) or that of
// package control (daemon/control); both run on the same kind of replica.
package batchservice

import (
	"context"
	"math"
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

// Names of the service's rpc methods.
const (
	MethodSubmit      = "Batch.Submit"
	MethodGet         = "Batch.Get"
	MethodCancel      = "Batch.Cancel"
	MethodPutCatalog  = "Batch.PutCatalog"
	MethodGetCatalog  = "Batch.GetCatalog"
	MethodSetZone     = "Batch.SetZone"
	MethodStartWave   = "Batch.StartWave"
	MethodGetWave     = "Batch.GetWave"
	MethodAnnounceAll = "Batch.AnnounceAll"
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
	// Registry registers the metrics; nil registers none.
	Registry prometheus.Registerer
	// Dispatch configures the dispatcher that runs while this replica leads. Its
	// StateMachine, Node and Log are set by the server.
	Dispatch dispatch.Options
}

// Server serves the rpc methods on every replica. A replica that doesn't lead
// has no dispatcher and refuses calls with NOT_LEADER.
type Server struct {
	opts Options
	node atomic.Pointer[Node]
	// dispatcher assigns tasks to minions; it is nil unless this replica leads.
	dispatcher    atomic.Pointer[dispatch.Dispatcher]
	barrier       *readBarrier
	metrics       *dispatch.Metrics
	callDurations *prometheus.HistogramVec
	commits       commitTime
	largeJobs     *largeJobs
}

// New returns a server without a node. SetNode must be called before calls are
// served.
func New(o Options) *Server {
	s := &Server{opts: o, metrics: dispatch.NewMetrics(o.Registry), callDurations: newCallDurations(o.Registry), largeJobs: newLargeJobs()}
	s.barrier = newReadBarrier(func(ctx context.Context) error { return s.mustNode().Barrier(ctx) })
	return s
}

func newCallDurations(r prometheus.Registerer) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "bergamot_batch_call_seconds", Help: "Duration of calls to the batch service at the leader.",
		Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
	}, []string{"method", "code"})
	if r != nil {
		r.MustRegister(h)
	}
	return h
}

// SetNode sets the replica that the server proposes to. It must be called
// before the rpc server serves. OnLeader may already run and waits for it.
func (s *Server) SetNode(n Node) { s.node.Store(&n) }

func (s *Server) mustNode() Node { return *s.node.Load() }

// Register adds the service's methods to srv.
func (s *Server) Register(srv *rpc.Server) {
	register(s, srv, MethodSubmit, s.submit)
	register(s, srv, MethodGet, s.get)
	register(s, srv, MethodCancel, s.cancel)
	register(s, srv, MethodPutCatalog, s.putCatalog)
	register(s, srv, MethodGetCatalog, s.getCatalog)
	register(s, srv, MethodSetZone, s.setZone)
	register(s, srv, MethodStartWave, s.startWave)
	register(s, srv, MethodGetWave, s.getWave)
	register(s, srv, MethodAnnounceAll, s.announceAll)
}

// register adds a method that only the leader serves and records the duration
// and result code of each call.
func register[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](s *Server, srv *rpc.Server, method string, fn func(context.Context, *dispatch.Dispatcher, PReq) (PResp, error)) {
	rpc.Register(srv, method, func(ctx context.Context, req PReq) (PResp, error) {
		start := time.Now()
		var resp PResp
		d, err := s.currentDispatcher()
		if err == nil {
			resp, err = fn(ctx, d, req)
		}
		s.callDurations.WithLabelValues(method, result.CodeOf(err).String()).Observe(time.Since(start).Seconds())
		return resp, err
	})
}

// OnLeader runs the dispatcher until ctx ends. The replica calls it each time it
// becomes leader, which may be before SetNode.
func (s *Server) OnLeader(ctx context.Context) {
	for s.node.Load() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Millisecond):
		}
	}
	o := s.opts.Dispatch
	o.StateMachine, o.Node, o.Log, o.LogRoom = s.opts.StateMachine, s.mustNode(), s.opts.Log, s.logRoom
	d := dispatch.New(ctx, s.mustNode().Status().Term, o, s.metrics)
	s.dispatcher.Store(d)
	d.Run()
	s.dispatcher.CompareAndSwap(d, nil)
}

// logReserveDivisor divides the largest size of the log into the part that new jobs leave
// to other commands: starts and ends of tasks, cancellations, heartbeats and the operators'
// changes.
const logReserveDivisor = 4

// logRoom returns how many bytes the log takes until new jobs have to wait.
func (s *Server) logRoom() int64 {
	status := s.mustNode().Status()
	if status.MaxLogBytes == 0 {
		return math.MaxInt64
	}
	return int64(status.MaxLogBytes - status.MaxLogBytes/logReserveDivisor - status.LogBytes)
}

// currentDispatcher returns the leader's dispatcher, or a NOT_LEADER error with
// the leader's address if that is known.
func (s *Server) currentDispatcher() (*dispatch.Dispatcher, error) {
	if d := s.dispatcher.Load(); d != nil && d.IsLeader() {
		return d, nil
	}
	err := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "this replica does not lead the control group; ask the leader")
	if n := s.node.Load(); n != nil {
		err.LeaderAddress = (*n).Status().LeaderAddress
	}
	return nil, err
}

// propose commits a command and returns its result. A refusal by the state
// machine is returned as a *result.Error.
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

// read runs fn on a state that reflects everything that was committed before
// the call. fn must not keep the state.
func (s *Server) read(ctx context.Context, fn func(*batch.State)) error {
	if err := s.barrier.wait(ctx); err != nil {
		return err
	}
	s.opts.StateMachine.Read(func(st *state.State) { fn(st.Batch) })
	return nil
}

// readCall is read for a call of a client: fn gets the queue and the client account of
// the call as well. It returns why the call is refused, by Authorize or by fn.
func (s *Server) readCall(ctx context.Context, call *apiv1.QueueCall, fn func(*batch.State, batch.AuthorizedCall) *result.Error) error {
	var refused *result.Error
	err := s.read(ctx, func(st *batch.State) {
		var caller batch.AuthorizedCall
		if caller, refused = st.Authorize(call); refused == nil {
			refused = fn(st, caller)
		}
	})
	if err == nil && refused != nil {
		err = refused
	}
	return err
}

// Forecasts returns the leader's forecasts of the pools, none on a replica that doesn't
// lead.
func (s *Server) Forecasts() []*apiv1.BatchForecast {
	if d := s.dispatcher.Load(); d != nil {
		return d.Forecasts()
	}
	return nil
}

// JobMemory returns the memory that accepted jobs take, by account.
func (s *Server) JobMemory() []*apiv1.BatchJobMemory {
	if d := s.dispatcher.Load(); d != nil {
		return d.JobMemory()
	}
	return dispatch.JobMemoryOf(s.opts.StateMachine)
}
