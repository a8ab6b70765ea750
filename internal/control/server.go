// Package control implements the services of the control group's leader over the
// replicated state: the sessions of entry processes, heartbeats of workers, the
// planning of jobs and of operations on VMs, and the operators' HTTP API. A VM is
// the operators' unit of pools and maintenance; the batch service calls it a
// machine.
//
// An entry process passes callers' requests on to minions. It holds a session, and
// acts on the view: the sessions, shards, leaving VMs and configuration that
// state.State.View returns.
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

// Node is the part of replica.Node that a Server uses: commands to commit, reads
// confirmed by a quorum, and the membership of the control group.
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
	// SessionTTL is how long a session stays valid after the sending time of its
	// last renewal.
	SessionTTL time.Duration
	// ExpiryMargin is added to a TTL before the leader treats a session or lease
	// as expired. It covers the drift between the boot clocks of the leader and of
	// the holder over one TTL.
	ExpiryMargin time.Duration
	LeaseTTL     time.Duration
	// Platform carries out operations on VMs. If it is nil, none are planned.
	Platform vmapi.Platform
	// OperatorKeys authenticates calls of the operators' API.
	OperatorKeys OperatorKeys
	// OperatorAddresses maps a replica's RPC address to its operator address,
	// which NOT_LEADER replies of the operators' API name.
	OperatorAddresses map[string]string
	Registry          prometheus.Registerer
	// Dump returns the state dump of the process as JSON.
	Dump func() ([]byte, error)
}

// Server serves calls to one replica of the control group. On followers it
// replies with NOT_LEADER.
type Server struct {
	opts Options
	node Node
	// nodeSet is closed by SetNode. OnLeader waits for it, since a group of one
	// replica may elect its leader before replica.Start returns the node.
	nodeSet    chan struct{}
	leadership atomic.Pointer[leadership]
	metrics    *metrics
}

// New returns a server without a node. The node is created later, since its
// options include the server's OnLeader. SetNode must be called before the
// server is used.
func New(o Options) *Server {
	return &Server{opts: o, metrics: newMetrics(o.Registry), nodeSet: make(chan struct{})}
}

// SetNode sets the server's node. It must be called once, before the RPC server
// and the operators' HTTP server accept calls.
func (s *Server) SetNode(n Node) {
	s.node = n
	close(s.nodeSet)
}

// Register registers the Control methods with an RPC server.
func (s *Server) Register(srv *rpc.Server) {
	rpc.Register(srv, "Control.Execute", s.execute)
	rpc.Register(srv, "Control.RenewSession", s.renewSession)
	rpc.Register(srv, "Control.GetView", s.getView)
	rpc.Register(srv, "Control.ReportWorkers", s.reportWorkers)
	rpc.Register(srv, "Control.GetJob", s.getJob)
}

// OnLeader runs the leader's loops until ctx is done. The replica calls it when
// it becomes leader, and ends ctx when it no longer is.
func (s *Server) OnLeader(ctx context.Context) {
	select {
	case <-s.nodeSet:
	case <-ctx.Done():
		return
	}
	l := newLeadership(s, ctx)
	s.leadership.Store(l)
	s.metrics.leader.Set(1)
	s.opts.Log.WithField("term", s.node.Status().Term).Info("this replica leads the control group")
	l.run()
	s.leadership.CompareAndSwap(l, nil)
	s.metrics.leader.Set(0)
	s.opts.Log.Info("this replica no longer leads the control group")
}

// leader returns the current leadership, or a NOT_LEADER error with the leader's
// address on a follower.
func (s *Server) leader() (*leadership, error) {
	if l := s.leadership.Load(); l != nil && l.ctx.Err() == nil {
		return l, nil
	}
	err := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "this replica does not lead the control group; ask the leader")
	err.LeaderAddress = s.node.Status().LeaderAddress
	return nil, err
}

// execute commits a command of an entry process. Commands that only planners or
// operators may propose fail with INVALID_ARGUMENT.
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
		l.sessions.markExpiring(c.ExpireSessions.SessionIds)
		return l.propose(ctx, cmd)
	default:
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the command is not one that entry processes may propose")
	}
}

// getView returns the current view, without the configuration if the caller
// already has its version.
func (s *Server) getView(ctx context.Context, req *apiv1.GetView) (*apiv1.View, error) {
	if _, err := s.leader(); err != nil {
		return nil, err
	}
	if err := s.node.Barrier(ctx); err != nil {
		return nil, err
	}
	var view *apiv1.View
	s.opts.StateMachine.Read(func(st *state.State) { view = st.View(req.HaveConfigVersion) })
	return view, nil
}

// getJob returns a job if it belongs to the client account. An empty account
// matches every job.
func (s *Server) getJob(ctx context.Context, req *apiv1.GetJob) (*apiv1.Job, error) {
	if _, err := s.leader(); err != nil {
		return nil, err
	}
	if err := s.node.Barrier(ctx); err != nil {
		return nil, err
	}
	var job *apiv1.Job
	s.opts.StateMachine.Read(func(st *state.State) {
		if j, ok := st.Jobs.Get(req.JobId); ok && (req.ClientAccount == "" || j.ClientAccount == req.ClientAccount) {
			job = j
		}
	})
	if job == nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "job %q does not exist for this client account", req.JobId)
	}
	return job, nil
}

// propose commits cmd and returns its result. A status other than OK in the
// result is returned as an error.
func (l *leadership) propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	res, err := l.server.node.Propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	if err := result.FromStatus(res.Status); err != nil {
		return nil, err
	}
	return res, nil
}

// isContextError reports whether err only says that a context was canceled or
// timed out, as when the leadership ends.
func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}
