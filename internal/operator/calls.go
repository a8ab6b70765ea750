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

// Check has the control leader check a set against the version in force.
func (c *Client) Check(ctx context.Context, set *apiv1.ObjectSet) (*apiv1.CheckReply, error) {
	reply := &apiv1.CheckReply{}
	return reply, c.do(ctx, call{
		method: http.MethodPost, path: "/v1/config/check",
		body: &apiv1.CheckConfig{Objects: set}, reply: reply,
	})
}

// NewRequestID returns an id for one publish and its resends.
func NewRequestID() string { return uuid.Must(uuid.NewV7()).String() }

// Publish publishes a set. The command must have a request id: after a lost
// answer it is sent again under the same id and gets the first result. With
// OUTCOME_UNKNOWN the caller may publish again under the same id.
func (c *Client) Publish(ctx context.Context, cmd *apiv1.PublishConfig) (*apiv1.PublishReply, error) {
	if cmd.RequestId == "" {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "a publish needs a request id")
	}
	reply := &apiv1.PublishReply{}
	return reply, c.do(ctx, call{
		method: http.MethodPost, path: "/v1/config/publish",
		body: cmd, reply: reply, attempt: c.options.PublishAttemptTimeout,
	})
}

// versionQuery selects a version; zero is the current one.
type versionQuery struct {
	Version uint64 `url:"version,omitempty"`
}

// InForce says whether every live session has the version, and which do not.
func (c *Client) InForce(ctx context.Context, version uint64) (*apiv1.PublishReply, error) {
	reply := &apiv1.PublishReply{}
	return reply, c.do(ctx, call{
		method: http.MethodGet, path: "/v1/config/in-force",
		query: versionQuery{version}, reply: reply,
	})
}

// Config returns a version from the history, and the current one for 0. It
// holds the hashes of keys.
func (c *Client) Config(ctx context.Context, version uint64) (*apiv1.Config, error) {
	reply := &apiv1.Config{}
	err := c.do(ctx, call{
		method: http.MethodGet, path: "/v1/config",
		query: versionQuery{version}, reply: reply,
	})
	if err == nil && version != 0 && reply.Version != version {
		// Going back to a version must never publish another one's objects.
		err = result.NotRun(apiv1.ResultCode_RESULT_CODE_INTERNAL, "asked for version %d, the control leader sent version %d", version, reply.Version)
	}
	return reply, err
}

// History lists the last versions, newest first.
func (c *Client) History(ctx context.Context) (*apiv1.ConfigHistory, error) {
	reply := &apiv1.ConfigHistory{}
	return reply, c.do(ctx, call{method: http.MethodGet, path: "/v1/config/history", reply: reply})
}

// Status returns the state of the whole system.
func (c *Client) Status(ctx context.Context) (*apiv1.StatusReport, error) {
	reply := &apiv1.StatusReport{}
	return reply, c.do(ctx, call{method: http.MethodGet, path: "/v1/status", reply: reply})
}

// ExplainQuery names one subject; exactly one field is set.
type ExplainQuery struct {
	Job     string `url:"job,omitempty"`
	Request string `url:"request,omitempty"`
	VM      string `url:"vm,omitempty"`
}

// Explain says what state the subject is in and what holds it back.
func (c *Client) Explain(ctx context.Context, q ExplainQuery) (*apiv1.ExplainReport, error) {
	reply := &apiv1.ExplainReport{}
	return reply, c.do(ctx, call{method: http.MethodGet, path: "/v1/explain", query: q, reply: reply})
}

// JobsQuery filters jobs; empty fields match all.
type JobsQuery struct {
	Queue string `url:"queue,omitempty"`
	Team  string `url:"team,omitempty"`
	// State is the short name, for example "pending".
	State string `url:"state,omitempty"`
	// Limit is the most jobs to return; zero leaves it to the server.
	Limit int `url:"limit,omitempty"`
}

// Jobs lists jobs in the order of their submission. The filter is applied here
// too, so that a server that does not know a field of it changes nothing.
func (c *Client) Jobs(ctx context.Context, q JobsQuery) (*apiv1.JobList, error) {
	reply := &apiv1.JobList{}
	if err := c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs", query: q, reply: reply}); err != nil {
		return nil, err
	}
	reply.Jobs = slices.DeleteFunc(reply.Jobs, func(j *apiv1.Job) bool { return !q.matches(j) })
	if q.Limit > 0 && len(reply.Jobs) > q.Limit {
		reply.Jobs, reply.Truncated = reply.Jobs[:q.Limit], true
	}
	return reply, nil
}

func (q JobsQuery) matches(j *apiv1.Job) bool {
	state := strings.ToLower(strings.TrimPrefix(j.State.String(), "JOB_STATE_"))
	return (q.Queue == "" || q.Queue == j.Queue) && (q.Team == "" || q.Team == j.Team) && (q.State == "" || q.State == state)
}

// Job returns one job; the code is JOB_NOT_FOUND when there is none.
func (c *Client) Job(ctx context.Context, id string) (*apiv1.Job, error) {
	reply := &apiv1.Job{}
	return reply, c.do(ctx, call{method: http.MethodGet, path: "/v1/jobs/" + url.PathEscape(id), reply: reply})
}

// CancelJobs asks for the end of jobs and returns those that were refused.
func (c *Client) CancelJobs(ctx context.Context, ids []string) (*apiv1.Rejections, error) {
	reply := &apiv1.Rejections{}
	return reply, c.do(ctx, call{
		method: http.MethodPost, path: "/v1/jobs/cancel",
		body: &apiv1.CancelJobs{JobIds: ids}, reply: reply,
	})
}

// ReplaceReplica adds the new replica as a learner when it is not a member yet,
// or removes the old one when no new one is given. While the reply is pending,
// the same call asks for the progress.
func (c *Client) ReplaceReplica(ctx context.Context, cmd *apiv1.ReplaceReplica) (*apiv1.ControlMembers, error) {
	reply := &apiv1.ControlMembers{}
	return reply, c.do(ctx, call{
		method: http.MethodPost, path: "/v1/control/members",
		body: cmd, reply: reply,
	})
}

// Dump returns the state of the control leader as JSON.
func (c *Client) Dump(ctx context.Context) ([]byte, error) {
	var reply []byte
	err := c.do(ctx, call{method: http.MethodGet, path: "/v1/dump", reply: &reply})
	return reply, err
}
