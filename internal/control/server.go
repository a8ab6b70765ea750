// Package control serves the control group's leader: sessions, workers,
// planners and the operators' API over the replicated state.
package control

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/replica"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/state"
	"bergamotdrum.example/bergamotdrum/internal/vmapi"
)

// Node is the part of a control replica that the leader's services use.
type Node interface {
	Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
	Barrier(ctx context.Context) error
	Status() replica.Status
	Peers(ctx context.Context) ([]replica.PeerProgress, error)
	ChangeMembership(ctx context.Context, c *apiv1.ConfChange) error
}

// Options configure a Server.
type Options struct {
	StateMachine *state.Machine
	Clock        clock.Clock
	Log          *logrus.Entry
	// SessionTTL bounds how long an entry may act without a renewal.
	SessionTTL time.Duration
	// ExpiryMargin is added before the leader treats a session or lease as ended. It
	// covers the drift between two boot clocks over one TTL.
	ExpiryMargin time.Duration
	LeaseTTL     time.Duration
	// Platform is nil when fleet operations are off.
	Platform vmapi.Platform
	// OperatorKeys maps an operator's name to the key.
	OperatorKeys OperatorKeys
	// OperatorAddresses maps a replica's RPC address to its operator address;
	// NOT_LEADER answers of the operators' API name the latter.
	OperatorAddresses map[string]string
	Registry          prometheus.Registerer
	// Dump returns the state dump of the process as JSON.
	Dump func() ([]byte, error)
}

// Server answers on every replica; only the leader's holds a leadership.
type Server struct {
	o    Options
	node Node
	// nodeSet is closed by SetNode: a single-replica group may elect itself
	// before Start of the replica returns.
	nodeSet chan struct{}
	lead    atomic.Pointer[leadership]
	m       *metrics
}

// New returns a server without a node; call SetNode before it is used. The
// node needs OnLeader of the server, so that one of the two comes first.
func New(o Options) *Server {
	return &Server{o: o, m: newMetrics(o.Registry), nodeSet: make(chan struct{})}
}

// SetNode completes the server. It is called once, before the RPC server and
// the operators' listener serve.
func (s *Server) SetNode(n Node) {
	s.node = n
	close(s.nodeSet)
}

// Register adds the Control methods.
func (s *Server) Register(srv *rpc.Server) {
	rpc.Register(srv, "Control.Execute", s.execute)
	rpc.Register(srv, "Control.RenewSession", s.renewSession)
	rpc.Register(srv, "Control.GetView", s.getView)
	rpc.Register(srv, "Control.ReportWorkers", s.reportWorkers)
	rpc.Register(srv, "Control.GetJob", s.getJob)
}

// OnLeader runs the leader's loops until ctx ends.
func (s *Server) OnLeader(ctx context.Context) {
	select {
	case <-s.nodeSet:
	case <-ctx.Done():
		return
	}
	l := newLeadership(s, ctx)
	s.lead.Store(l)
	s.m.leader.Set(1)
	s.o.Log.WithField("term", s.node.Status().Term).Info("this replica leads the control group")
	l.run()
	s.lead.CompareAndSwap(l, nil)
	s.m.leader.Set(0)
	s.o.Log.Info("this replica no longer leads the control group")
}

// leader returns the current leadership or NOT_LEADER with the leader's
// address.
func (s *Server) leader() (*leadership, error) {
	if l := s.lead.Load(); l != nil && l.ctx.Err() == nil {
		return l, nil
	}
	err := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "this replica does not lead the control group; ask the leader")
	err.LeaderAddress = s.node.Status().LeaderAddress
	return nil, err
}

// execute commits the commands that entry processes may propose. The planners'
// and the operators' commands are refused here.
func (s *Server) execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	l, err := s.leader()
	if err != nil {
		return nil, err
	}
	switch c := cmd.Body.(type) {
	case *apiv1.Command_OpenSession, *apiv1.Command_FinishRecovery, *apiv1.Command_SetStandby,
		*apiv1.Command_ReportDemand, *apiv1.Command_StartRequest, *apiv1.Command_FinishRequest,
		*apiv1.Command_SubmitJob, *apiv1.Command_CancelJobs, *apiv1.Command_ReleaseSessions:
		return l.propose(ctx, cmd)
	case *apiv1.Command_ExpireSessions:
		l.sessions.forget(c.ExpireSessions.SessionIds)
		return l.propose(ctx, cmd)
	default:
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the command is not one that entry processes may propose")
	}
}

func (s *Server) getView(ctx context.Context, req *apiv1.GetView) (*apiv1.View, error) {
	if _, err := s.leader(); err != nil {
		return nil, err
	}
	if err := s.node.Barrier(ctx); err != nil {
		return nil, err
	}
	var view *apiv1.View
	s.o.StateMachine.Read(func(st *state.State) { view = st.View(req.HaveConfigVersion) })
	return view, nil
}

func (s *Server) getJob(ctx context.Context, req *apiv1.GetJob) (*apiv1.Job, error) {
	if _, err := s.leader(); err != nil {
		return nil, err
	}
	if err := s.node.Barrier(ctx); err != nil {
		return nil, err
	}
	var job *apiv1.Job
	s.o.StateMachine.Read(func(st *state.State) {
		if j, ok := st.Jobs.Get(req.JobId); ok && (req.ClientAccount == "" || j.ClientAccount == req.ClientAccount) {
			job = j
		}
	})
	if job == nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "job %q does not exist for this client account", req.JobId)
	}
	return job, nil
}

// propose commits cmd and turns a refusing status into an error.
func (l *leadership) propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	res, err := l.s.node.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if err := result.FromStatus(res.Status); err != nil {
		return nil, err
	}
	return res, nil
}

func isShutdown(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
