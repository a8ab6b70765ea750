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

// BatchClient reads the pages about batch jobs on the admin listener of a control
// replica.
type BatchClient struct {
	address string
	http    *http.Client
}

// NewBatchClient returns a reader of the admin listener at address (ip:port);
// timeout bounds each call.
func NewBatchClient(address string, timeout time.Duration) *BatchClient {
	return &BatchClient{address: address, http: &http.Client{Timeout: timeout}}
}

// BatchJobsQuery selects a page of jobs.
type BatchJobsQuery struct {
	Queue, After string
	// All includes jobs that have ended.
	All   bool
	Limit int
}

// Status returns the overview.
func (p *BatchClient) Status(ctx context.Context) (*apiv1.BatchStatus, error) {
	out := &apiv1.BatchStatus{}
	return out, p.get(ctx, "/batch/status", nil, out)
}

// Jobs returns a page of jobs.
func (p *BatchClient) Jobs(ctx context.Context, q BatchJobsQuery) (*apiv1.BatchJobList, error) {
	values := url.Values{"queue": {q.Queue}, "after": {q.After}, "all": {strconv.FormatBool(q.All)}, "limit": {strconv.Itoa(q.Limit)}}
	out := &apiv1.BatchJobList{}
	return out, p.get(ctx, "/batch/jobs", values, out)
}

// Job returns one job. The error is JOB_NOT_FOUND when there is none of that id.
func (p *BatchClient) Job(ctx context.Context, id string) (*apiv1.BatchJobView, error) {
	out := &apiv1.BatchJobView{}
	return out, p.get(ctx, "/batch/jobs/"+url.PathEscape(id), nil, out)
}

func (p *BatchClient) get(ctx context.Context, path string, query url.Values, into proto.Message) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	req, err := sling.New().Base("http://" + p.address).Get(path).Request()
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "admin address %s: %v", p.address, err)
	}
	resp, err := p.http.Do(req.WithContext(ctx))
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "no answer: %v", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "answer of %s was cut off: %v", p.address, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "%s has no page %s", p.address, path)
	default:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%s answered status %d: %s", p.address, resp.StatusCode, data)
	}
	if err := protojson.Unmarshal(data, into); err != nil {
		return fmt.Errorf("answer of %s does not decode: %w", p.address, err)
	}
	return nil
}
