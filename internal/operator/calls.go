package operator

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/google/uuid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Check has the control leader check a set of objects by itself, without comparing
// it with a published version. The reply lists the problems and gives the number of
// the newest published version.
func (c *Client) Check(ctx context.Context, set *apiv1.ObjectSet) (*apiv1.CheckReply, error) {
	reply := &apiv1.CheckReply{}
	return reply, c.do(ctx, apiCall{
		method: http.MethodPost, path: "/v1/config/check",
		body: &apiv1.CheckConfig{Objects: set}, reply: reply,
	})
}

// NewRequestID returns a new id for one publish. Duplicates of the publish use
// the same id.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// Publish publishes a set of objects. The command must have a request id: after
// a lost reply the client sends it again with the same id, and the control
// leader returns the result of the first one. After OUTCOME_UNKNOWN the caller
// may publish again with the same id.
func (c *Client) Publish(ctx context.Context, cmd *apiv1.PublishConfig) (*apiv1.PublishReply, error) {
	if cmd.RequestId == "" {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "a publish needs a request id")
	}
	reply := &apiv1.PublishReply{}
	return reply, c.do(ctx, apiCall{
		method: http.MethodPost, path: "/v1/config/publish",
		body: cmd, reply: reply, attemptTimeout: c.opts.PublishAttemptTimeout,
	})
}

// versionQuery selects a configuration version; zero is the current one.
type versionQuery struct {
	Version uint64 `url:"version,omitempty"`
}

// InForce returns whether the version is in force, which means that every live
// session of an entry process has acknowledged it, and the sessions that have not.
func (c *Client) InForce(ctx context.Context, version uint64) (*apiv1.PublishReply, error) {
	reply := &apiv1.PublishReply{}
	return reply, c.do(ctx, apiCall{
		method: http.MethodGet, path: "/v1/config/in-force",
		query: versionQuery{version}, reply: reply,
	})
}

// Config returns a configuration version from the history, or the current one
// for version 0. It includes the hashes of keys. The error is INTERNAL when the
// control leader sends another version than the requested one.
func (c *Client) Config(ctx context.Context, version uint64) (*apiv1.Config, error) {
	reply := &apiv1.Config{}
	err := c.do(ctx, apiCall{
		method: http.MethodGet, path: "/v1/config",
		query: versionQuery{version}, reply: reply,
	})
	if err == nil && version != 0 && reply.Version != version {
		// An operator who goes back to a version must not publish the objects of
		// another one.
		err = result.NotRun(apiv1.ResultCode_RESULT_CODE_INTERNAL, "asked for version %d, the control leader sent version %d", version, reply.Version)
	}
	return reply, err
}

// History returns the last configuration versions without their objects, newest
// first.
func (c *Client) History(ctx context.Context) (*apiv1.ConfigHistory, error) {
	reply := &apiv1.ConfigHistory{}
	return reply, c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/config/history", reply: reply})
}

// Status returns the state of the whole system as the control leader sees it.
func (c *Client) Status(ctx context.Context) (*apiv1.StatusReport, error) {
	reply := &apiv1.StatusReport{}
	return reply, c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/status", reply: reply})
}

// ExplainQuery selects a job, a request or a VM by its id. Exactly one field is
// set.
type ExplainQuery struct {
	Job     string `url:"job,omitempty"`
	Request string `url:"request,omitempty"`
	VM      string `url:"vm,omitempty"`
}

// Explain returns the state of the selected job, request or VM, and the reasons
// why it does not make progress.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (*apiv1.ExplainReport, error) {
	reply := &apiv1.ExplainReport{}
	return reply, c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/explain", query: q, reply: reply})
}

// JobsQuery filters the fleet's jobs; an empty field matches all jobs.
type JobsQuery struct {
	Queue string `url:"queue,omitempty"`
	Team  string `url:"team,omitempty"`
	// State is the lower-case name without its prefix, for example "pending".
	State string `url:"state,omitempty"`
	// Limit is the maximum number of jobs to return; with zero, the server
	// chooses.
	Limit int `url:"limit,omitempty"`
}

// Jobs returns the matching jobs in the order of their submission. It applies
// the filter to the reply as well, because an older server ignores fields that
// it does not know.
func (c *Client) Jobs(ctx context.Context, q JobsQuery) (*apiv1.JobList, error) {
	reply := &apiv1.JobList{}
	if err := c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/jobs", query: q, reply: reply}); err != nil {
		return nil, err
	}
	reply.Jobs = slices.DeleteFunc(reply.Jobs, func(j *apiv1.Job) bool { return !q.matches(j) })
	if q.Limit > 0 && len(reply.Jobs) > q.Limit {
		reply.Jobs, reply.Truncated = reply.Jobs[:q.Limit], true
	}
	return reply, nil
}

// matches reports whether a job passes the filter. It ignores the limit.
func (q JobsQuery) matches(j *apiv1.Job) bool {
	state := strings.ToLower(strings.TrimPrefix(j.State.String(), "JOB_STATE_"))
	return (q.Queue == "" || q.Queue == j.Queue) && (q.Team == "" || q.Team == j.Team) && (q.State == "" || q.State == state)
}

// Job returns one of the fleet's jobs. The error is JOB_NOT_FOUND when it does
// not exist.
func (c *Client) Job(ctx context.Context, id string) (*apiv1.Job, error) {
	reply := &apiv1.Job{}
	return reply, c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id), reply: reply})
}

// CancelJobs requests the cancellation of jobs and returns the ids that were
// rejected, each with its reason.
func (c *Client) CancelJobs(ctx context.Context, ids []string) (*apiv1.Rejections, error) {
	reply := &apiv1.Rejections{}
	return reply, c.do(ctx, apiCall{
		method: http.MethodPost, path: "/v1/jobs/cancel",
		body: &apiv1.CancelJobs{JobIds: ids}, reply: reply,
	})
}

// ReplaceReplica makes one step of a replacement in the control group: it adds
// the new replica as a learner (without a vote) if it is not a member yet, makes it
// a voter, or removes the old replica. It only removes the old one if the command names no
// new one. While the reply says that the change is pending, the caller repeats
// the call.
func (c *Client) ReplaceReplica(ctx context.Context, cmd *apiv1.ReplaceReplica) (*apiv1.ControlMembers, error) {
	reply := &apiv1.ControlMembers{}
	return reply, c.do(ctx, apiCall{
		method: http.MethodPost, path: "/v1/control/members",
		body: cmd, reply: reply,
	})
}

// Dump returns the state of the control leader as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	var reply []byte
	err := c.do(ctx, apiCall{method: http.MethodGet, path: "/v1/dump", reply: &reply})
	return reply, err
}
