package control

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/httplimit"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// MaxOperatorBodyBytes bounds the body of an operator's request.
	MaxOperatorBodyBytes = 16 << 20
	// inForceTimeout bounds the time from a publish to its reply. If the
	// configuration is not yet in force everywhere (acknowledged by every entry
	// process with a live session) by then, the reply names the entry processes
	// that still have an older one.
	inForceTimeout = 8 * time.Second
	// maxListedJobs bounds the job list of one reply.
	maxListedJobs = 1000
)

// OperatorKeys checks the credentials of operators.
type OperatorKeys interface {
	// Authenticate returns the name of the operator whose credential is in the
	// value of an Authorization header.
	Authenticate(header string) (string, *result.Error)
}

// operatorCall is one authenticated call of the operators' API, handled by the
// leader.
type operatorCall struct {
	leadership *leadership
	operator   string
	request    *http.Request
	response   http.ResponseWriter
}

// operatorHandler handles one call and returns the message to reply with.
type operatorHandler func(ctx context.Context, c *operatorCall) (proto.Message, error)

// OperatorHandler returns the handler of the operators' HTTP API. Followers
// reply with NOT_LEADER and the leader's operator address.
func (s *Server) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range map[string]operatorHandler{
		"POST /v1/config/check":    s.checkConfig,
		"POST /v1/config/publish":  s.publishConfig,
		"GET /v1/config":           s.getConfig,
		"GET /v1/config/history":   s.configHistory,
		"GET /v1/config/in-force":  s.configInForce,
		"GET /v1/status":           s.status,
		"GET /v1/explain":          s.explain,
		"GET /v1/jobs":             s.listJobs,
		"GET /v1/jobs/{id}":        s.showJob,
		"POST /v1/jobs/cancel":     s.cancelJobs,
		"POST /v1/control/members": s.replaceReplica,
		"GET /v1/dump":             s.dump,
	} {
		mux.HandleFunc(pattern, s.operatorRoute(h))
	}
	return mux
}

// operatorRoute authenticates a call, checks that this replica is the leader and
// writes the reply of h or its error.
func (s *Server) operatorRoute(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, authErr := s.opts.OperatorKeys.Authenticate(r.Header.Get("Authorization"))
		if authErr != nil {
			writeError(w, authErr)
			return
		}
		l, err := s.leader()
		if err != nil {
			writeError(w, s.withOperatorAddress(result.From(err)))
			return
		}
		m, err := h(r.Context(), &operatorCall{leadership: l, operator: operator, request: r, response: w})
		if err != nil {
			writeError(w, s.withOperatorAddress(result.From(err)))
			return
		}
		writeMessage(w, http.StatusOK, m)
	}
}

// withOperatorAddress replaces the leader's RPC address in a NOT_LEADER error by
// its operator address. Operators cannot use the RPC address.
func (s *Server) withOperatorAddress(e *result.Error) *result.Error {
	if e.Code != apiv1.ResultCode_RESULT_CODE_NOT_LEADER {
		return e
	}
	out := *e
	out.LeaderAddress = s.opts.OperatorAddresses[e.LeaderAddress]
	return &out
}

func writeError(w http.ResponseWriter, e *result.Error) {
	w.Header().Set("Bergamot-Result", strconv.Itoa(int(e.Code)))
	if e.NotRun {
		w.Header().Set("Bergamot-Not-Run", "true")
	}
	writeMessage(w, result.HTTPStatus(e.Code), e.Status())
}

func writeMessage(w http.ResponseWriter, status int, m proto.Message) {
	body, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(body, '\n'))
}

// decode reads the body, which is JSON, into m.
func (c *operatorCall) decode(m proto.Message) error {
	body, err := httplimit.ReadBody(c.response, c.request, MaxOperatorBodyBytes)
	switch {
	case errors.Is(err, httplimit.ErrNoMemory):
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "%v; send the request again later", err)
	case err != nil:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "the body could not be read: %v", err)
	}
	if err := protojson.Unmarshal(body, m); err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the body is not a valid message: %v", err)
	}
	return nil
}

// read runs fn on the replicated state after a quorum has confirmed the
// leadership, so that fn sees every change committed before the call.
func (c *operatorCall) read(ctx context.Context, fn func(*state.State)) error {
	if err := c.leadership.server.node.Barrier(ctx); err != nil {
		return err
	}
	c.leadership.server.opts.StateMachine.Read(fn)
	return nil
}

// checkConfig serves POST /v1/config/check. It validates a set of objects
// without publishing it.
func (s *Server) checkConfig(ctx context.Context, c *operatorCall) (proto.Message, error) {
	req := &apiv1.CheckConfig{}
	if err := c.decode(req); err != nil {
		return nil, err
	}
	reply := &apiv1.CheckReply{Problems: objects.ConfigProblems(objects.Check(req.Objects))}
	err := c.read(ctx, func(st *state.State) { reply.ConfigVersion = st.Publish.Current().Version })
	return reply, err
}

// publishConfig serves POST /v1/config/publish. It replies when the version is
// in force everywhere, or after inForceTimeout.
func (s *Server) publishConfig(ctx context.Context, c *operatorCall) (proto.Message, error) {
	req := &apiv1.PublishConfig{}
	if err := c.decode(req); err != nil {
		return nil, err
	}
	if req.RequestId == "" {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "request_id is empty; set it so that a resend gets the first result")
	}
	req.Author = c.operator
	res, err := c.leadership.propose(ctx, &apiv1.Command{Body: &apiv1.Command_PublishConfig{PublishConfig: req}})
	if err != nil {
		return nil, err
	}
	s.metrics.publishes.Inc()
	version := res.GetPublish().Version
	s.opts.Log.WithField("version", version).WithField("author", c.operator).Info("configuration published")
	start := time.Now()
	reply := c.awaitInForce(ctx, version, inForceTimeout)
	if reply.InForce {
		s.metrics.inForce.Observe(time.Since(start).Seconds())
	}
	return reply, nil
}

// awaitInForce waits for at most the given time until the version is in force
// (acknowledged) in every live session of an entry process.
func (c *operatorCall) awaitInForce(ctx context.Context, version uint64, wait time.Duration) *apiv1.PublishReply {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	waiting := c.leadership.waitInForce(ctx, version)
	return &apiv1.PublishReply{Version: version, InForce: len(waiting) == 0, WaitingFor: waiting}
}

// configInForce serves GET /v1/config/in-force. It waits for up to a second until
// the version is in force.
func (s *Server) configInForce(ctx context.Context, c *operatorCall) (proto.Message, error) {
	version, err := c.versionParam()
	if err != nil {
		return nil, err
	}
	var current uint64
	if err := c.read(ctx, func(st *state.State) { current = st.Publish.Current().Version }); err != nil {
		return nil, err
	}
	if version > current {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "version %d is not published; the newest is %d", version, current)
	}
	return c.awaitInForce(ctx, version, time.Second), nil
}

// getConfig serves GET /v1/config. It returns the version given in the
// query, or the current one.
func (s *Server) getConfig(ctx context.Context, c *operatorCall) (proto.Message, error) {
	want, err := c.versionParam()
	if err != nil {
		return nil, err
	}
	var config *apiv1.Config
	err = c.read(ctx, func(st *state.State) {
		if want == 0 {
			config = st.Publish.Current()
			return
		}
		for _, v := range st.Publish.History() {
			if v.Version == want {
				config = v
			}
		}
	})
	if err == nil && config == nil {
		err = result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "version %d is not in the history", want)
	}
	return config, err
}

// versionParam returns the query parameter version, or 0 if it is absent.
func (c *operatorCall) versionParam() (uint64, error) {
	text := c.request.URL.Query().Get("version")
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "version must be a number")
	}
	return v, nil
}

// configHistory serves GET /v1/config/history. The newest version comes first.
func (s *Server) configHistory(ctx context.Context, c *operatorCall) (proto.Message, error) {
	reply := &apiv1.ConfigHistory{}
	err := c.read(ctx, func(st *state.State) {
		for _, config := range slices.Backward(st.Publish.History()) {
			reply.Versions = append(reply.Versions, &apiv1.ConfigVersion{
				Version: config.Version, PublishedUnixMs: config.PublishedUnixMs,
				Author: config.Author, Comment: config.Comment,
			})
		}
	})
	return reply, err
}

// listJobs serves GET /v1/jobs. It returns the newest jobs that match the query
// parameters queue, team and state, at most limit, in the order of submission.
func (s *Server) listJobs(ctx context.Context, c *operatorCall) (proto.Message, error) {
	q := c.request.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxListedJobs {
		limit = maxListedJobs
	}
	reply := &apiv1.JobList{}
	err = c.read(ctx, func(st *state.State) {
		defer func() { slices.Reverse(reply.Jobs) }()
		for _, job := range slices.Backward(st.Jobs.List()) {
			if !matchesFilter(q.Get("queue"), job.Queue) || !matchesFilter(q.Get("team"), job.Team) || !matchesFilter(q.Get("state"), stateName(job.State)) {
				continue
			}
			if len(reply.Jobs) == limit {
				reply.Truncated = true
				return
			}
			reply.Jobs = append(reply.Jobs, withoutData(job))
		}
	})
	return reply, err
}

// matchesFilter reports whether value passes the filter. An empty filter
// matches every value.
func matchesFilter(filter, value string) bool { return filter == "" || filter == value }

// stateName returns the lower-case name of a job state, such as "pending".
func stateName(s apiv1.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}

// showJob serves GET /v1/jobs/{id}.
func (s *Server) showJob(ctx context.Context, c *operatorCall) (proto.Message, error) {
	id := c.request.PathValue("id")
	var found *apiv1.Job
	err := c.read(ctx, func(st *state.State) {
		if job, ok := st.Jobs.Get(id); ok {
			found = withoutData(job)
		}
	})
	if err == nil && found == nil {
		err = result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "job %q does not exist", id)
	}
	return found, err
}

// withoutData returns a copy of a job without its payload, checkpoint and
// result, which are the data of the job's owner.
func withoutData(job *apiv1.Job) *apiv1.Job {
	out := proto.CloneOf(job)
	out.Payload, out.Checkpoint, out.Result = nil, nil, nil
	return out
}

// cancelJobs serves POST /v1/jobs/cancel.
func (s *Server) cancelJobs(ctx context.Context, c *operatorCall) (proto.Message, error) {
	req := &apiv1.CancelJobs{}
	if err := c.decode(req); err != nil {
		return nil, err
	}
	req.ClientAccount = "" // operators may cancel the jobs of all accounts
	res, err := c.leadership.propose(ctx, &apiv1.Command{Body: &apiv1.Command_CancelJobs{CancelJobs: req}})
	if err != nil {
		return nil, err
	}
	return res.GetRejections(), nil
}
