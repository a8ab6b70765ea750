package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// BatchClient reads batch jobs, pools and queues from the admin pages of one
// control replica. It does not look for the leader; a follower's state may be
// older.
type BatchClient struct {
	address string
	http    *http.Client
}

// NewBatchClient returns a client of the admin listener at address (ip:port).
// The timeout applies to each call.
func NewBatchClient(address string, timeout time.Duration) *BatchClient {
	return &BatchClient{address: address, http: &http.Client{Timeout: timeout}}
}

// BatchJobsQuery selects one page of the list of batch jobs.
type BatchJobsQuery struct {
	// Queue selects the jobs of one queue; empty selects all queues. After is the
	// id of the last job on the previous page; empty selects the first page.
	Queue, After string
	// All includes jobs that have ended.
	All bool
	// Limit is the maximum number of jobs on the page.
	Limit int
}

// Status returns the version in force of the catalog (the batch configuration) and
// the state of pools, queues, availability zones and maintenance waves.
func (c *BatchClient) Status(ctx context.Context) (*apiv1.BatchStatus, error) {
	out := &apiv1.BatchStatus{}
	return out, c.get(ctx, "/batch/status", nil, out)
}

// Jobs returns one page of batch jobs.
func (c *BatchClient) Jobs(ctx context.Context, q BatchJobsQuery) (*apiv1.BatchJobList, error) {
	values := url.Values{"queue": {q.Queue}, "after": {q.After}, "all": {strconv.FormatBool(q.All)}, "limit": {strconv.Itoa(q.Limit)}}
	out := &apiv1.BatchJobList{}
	return out, c.get(ctx, "/batch/jobs", values, out)
}

// Job returns one batch job with its steps and runs. The error is JOB_NOT_FOUND
// when it does not exist.
func (c *BatchClient) Job(ctx context.Context, id string) (*apiv1.BatchJobView, error) {
	out := &apiv1.BatchJobView{}
	return out, c.get(ctx, "/batch/jobs/"+url.PathEscape(id), nil, out)
}

// get reads a page and decodes its JSON into a message. The error is NO_QUORUM
// when the replica does not answer completely, JOB_NOT_FOUND for HTTP status
// 404, and INVALID_ARGUMENT for any other status except 200.
func (c *BatchClient) get(ctx context.Context, path string, query url.Values, into proto.Message) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	req, err := sling.New().Base("http://" + c.address).Get(path).Request()
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "admin address %s: %v", c.address, err)
	}
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "no answer: %v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "answer of %s was cut off: %v", c.address, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "%s has no page %s", c.address, path)
	default:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%s answered status %d: %s", c.address, resp.StatusCode, data)
	}
	if err := protojson.Unmarshal(data, into); err != nil {
		return fmt.Errorf("answer of %s does not decode: %w", c.address, err)
	}
	return nil
}
