// Package entry serves callers and targets (minions and workers) over HTTP. It
// authenticates callers' requests, obtains for each a grant from the host of the
// service's scheduler shard, and proxies it to the minion that the grant names.
// It also batches the announcements of minions for the shard hosts and the
// heartbeats of workers for the control group.
package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/httplimit"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

const (
	defaultMaxBodyBytes     = 64 << 20
	defaultMaxInFlight      = 4096 // for callers and, separately, for targets
	defaultMaxBufferedBytes = 256 << 20
	defaultMaxClients       = 1 << 20
	defaultProgressTimeout  = time.Second
	defaultHeaderTimeout    = 5 * time.Second
	defaultBodyTimeout      = 10 * time.Second
	defaultWriteTimeout     = 10 * time.Second
	idleTimeout             = 60 * time.Second
	maxHeaderBytes          = 32 << 10
	// Interval at which announcements and heartbeats are sent on in batches.
	batchInterval = 200 * time.Millisecond
)

// Session is this process's session with the control group; *session.Session
// implements it.
type Session interface {
	// IsValid reports whether the session is valid now. Without a valid session no
	// request is accepted or sent.
	IsValid() bool
	ID() uint64
	// Snapshot returns the current view, the part of the control group's
	// replicated state that entry processes get, and an index of its objects.
	Snapshot() *session.Snapshot
}

// Control calls the leader of the control group, the replicas that keep the
// replicated state; *session.ControlClient implements it.
type Control interface {
	// Execute commits a command. A *session.UnknownOutcomeError means that the
	// command may have been committed.
	Execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error)
	ReportWorkers(ctx context.Context, req *apiv1.WorkerBatch) (*apiv1.WorkerBatchReply, error)
	GetJob(ctx context.Context, req *apiv1.GetJob) (*apiv1.Job, error)
}

// RPCClient makes calls to shard hosts; *rpc.Client implements it.
type RPCClient interface {
	Call(ctx context.Context, address, method string, req, resp proto.Message) error
}

// Options configures a Server. Limits and timeouts that are zero take their
// defaults.
type Options struct {
	Session   Session
	Control   Control
	RPCClient RPCClient
	RPCServer *rpc.Server // Entry.ReportGrants is registered on it; nil in tests
	Clock     clock.Clock
	Log       *logrus.Entry
	Registry  prometheus.Registerer // nil in tests

	MaxBodyBytes     int64 // largest request body of one caller
	MaxInFlight      int   // requests of callers served at once, and likewise of targets
	MaxBufferedBytes int64 // memory of the request bodies of all clients
	MaxConnections   int   // open connections of all clients
	// ProgressTimeout is the lower limit of the time without progress after which a
	// connection to a minion is dropped; it is longer for slow services.
	ProgressTimeout time.Duration
	HeaderTimeout   time.Duration // for a caller to send the request header
	BodyTimeout     time.Duration // for a caller to send the whole body
	WriteTimeout    time.Duration // for a caller to accept one chunk of a response
}

func (o *Options) setDefaults() {
	setDefault(&o.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&o.MaxInFlight, defaultMaxInFlight)
	setDefault(&o.MaxBufferedBytes, defaultMaxBufferedBytes)
	setDefault(&o.MaxConnections, defaultMaxClients)
	setDefault(&o.ProgressTimeout, defaultProgressTimeout)
	setDefault(&o.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&o.BodyTimeout, defaultBodyTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
}

// setDefault sets *field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server serves callers and targets. Its methods are safe for concurrent use.
type Server struct {
	opts             Options
	inFlight         *inFlightTracker // requests of callers, and all background calls
	targetsInFlight  *inFlightTracker // requests of minions and workers
	clients          *httplimit.Limiter
	grants           *grantRegistry
	pools            *connPools
	retries          *retryBudget
	progressTimeouts *progressTimeouts
	metrics          *metrics
	announcements    *announcementBuffer
	heartbeats       *heartbeatBuffer
}

// New returns a server and registers its RPC methods and metrics.
func New(o Options) *Server {
	o.setDefaults()
	s := &Server{
		opts:            o,
		inFlight:        newInFlightTracker(o.MaxInFlight),
		targetsInFlight: newInFlightTracker(o.MaxInFlight),
		clients: httplimit.New(httplimit.Options{
			Listener: "entry", MaxBytes: o.MaxBufferedBytes, MaxConnections: o.MaxConnections, Log: o.Log, Registry: o.Registry,
		}),
		grants:           newGrantRegistry(o.Clock),
		pools:            newConnPools(),
		retries:          newRetryBudget(o.Clock),
		progressTimeouts: newProgressTimeouts(o.ProgressTimeout),
		announcements:    newAnnouncementBuffer(),
		heartbeats:       newHeartbeatBuffer(),
	}
	s.metrics = newMetrics(o.Registry, s)
	if o.RPCServer != nil {
		rpc.Register(o.RPCServer, "Entry.ReportGrants", s.reportGrants)
	}
	return s
}

// CallerHandler serves /v1/services/ and /v1/jobs.
func (s *Server) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", s.serveJob(s.submitJob))
	mux.HandleFunc("POST /v1/jobs/cancel", s.serveJob(s.cancelJobs))
	mux.HandleFunc("GET /v1/jobs/{id}", s.serveJob(s.getJob))
	mux.HandleFunc("/", s.serveNotFound)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// ServeMux would redirect paths such as "a//b", which belong to the
		// service.
		if strings.HasPrefix(r.URL.EscapedPath(), servicePrefix) {
			s.serveService(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// TargetHandler serves the announcements of minions and the heartbeats of
// workers.
func (s *Server) TargetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce/minion", s.limitTargets(s.serveAnnouncement))
	mux.HandleFunc("POST /v1/workers/heartbeat", s.limitTargets(s.serveHeartbeat))
	mux.HandleFunc("/", s.serveNotFound)
	return mux
}

// limitTargets limits the targets' requests served at once. They are served
// during a drain as well, because the work on the targets goes on.
func (s *Server) limitTargets(fn http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := s.targetsInFlight.enter(); err != nil {
			s.writeError(w, "", err)
			return
		}
		defer s.targetsInFlight.leave()
		fn(w, r)
	}
}

// HTTPServer returns a server for one of the handlers, with limits on slow
// clients, oversized headers, and what all clients of the servers take together.
func (s *Server) HTTPServer(h http.Handler) *http.Server {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: s.opts.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	s.clients.Install(server)
	return server
}

// Run sends batches of announcements and heartbeats on until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.pools.closeAllIdle()
			return nil
		case <-ticker.C:
			s.flush(ctx)
		}
	}
}

// Drain refuses new requests of callers. It waits until the requests in flight,
// the commits of their outcomes and the releases of their grants are done, or
// returns an error when ctx ends before that.
func (s *Server) Drain(ctx context.Context) error {
	return s.inFlight.drain(ctx)
}
