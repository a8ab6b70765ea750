// Package vmapi is the client of the platform's HTTP API and the executor
// that carries out fleet intents with it.
package vmapi

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/dghubble/sling"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// callTimeout bounds one call. Calls are repeated, so it is short.
const callTimeout = 5 * time.Second

// States of an operation.
const (
	StatePending = "pending"
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Operation is an operation on one VM as the platform knows it.
type Operation struct {
	OperationID string `json:"operation_id"`
	// Kind is drain, reboot or move.
	Kind string `json:"kind,omitempty"`
	VM   string `json:"vm,omitempty"`
	// Pool is the pool that a move ends in.
	Pool  string `json:"pool,omitempty"`
	State string `json:"state,omitempty"`
	// Error is set in state failed.
	Error string `json:"error,omitempty"`
}

// Client calls the platform's HTTP API.
type Client struct {
	base *sling.Sling
}

var _ Platform = (*Client)(nil)

// NewClient returns a client for the API at baseURL, without a final slash.
func NewClient(baseURL string) *Client {
	return NewClientWithHTTP(baseURL, &http.Client{Timeout: callTimeout})
}

// NewClientWithHTTP returns a client that calls through h, which sets the timeout.
func NewClientWithHTTP(baseURL string, h *http.Client) *Client {
	return &Client{base: sling.New().Client(h).Base(baseURL).Set("Accept", "application/json")}
}

// Start asks for the operation. A resend with the same id starts nothing more.
// The error is a *result.Error with INVALID_ARGUMENT when the platform refuses
// the operation for good, else PLATFORM_FAILED, after which it may have started.
func (c *Client) Start(ctx context.Context, op *Operation) error {
	return c.do(ctx, c.base.New().Post("/v1/operations").BodyJSON(op), &Operation{})
}

// Get returns the state of the operation. The error is a *result.Error with
// NOT_FOUND when the platform does not know the operation, else PLATFORM_FAILED.
func (c *Client) Get(ctx context.Context, operationID string) (*Operation, error) {
	op := &Operation{}
	if err := c.do(ctx, c.base.New().Get("/v1/operations/"+url.PathEscape(operationID)), op); err != nil {
		return nil, err
	}
	if op.OperationID != operationID {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_PLATFORM_FAILED,
			"platform answered for operation %q instead of %q", op.OperationID, operationID)
	}
	return op, nil
}

func (c *Client) do(ctx context.Context, s *sling.Sling, op *Operation) error {
	req, err := s.Request()
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "call to the platform: %v", err)
	}
	failure := &struct {
		Error string `json:"error"`
	}{}
	resp, err := s.Do(req.WithContext(ctx), op, failure)
	if resp == nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_PLATFORM_FAILED, "call to the platform: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return result.New(codeOf(resp.StatusCode), "%s", refusal(resp.StatusCode, failure.Error))
	}
	if err != nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_PLATFORM_FAILED, "answer of the platform: %v", err)
	}
	return nil
}

func refusal(status int, reason string) string {
	return fmt.Sprintf("platform answered HTTP status %d: %.200s", status, reason)
}

// codeOf separates refusals that a resend cannot change from passing ones.
func codeOf(status int) apiv1.ResultCode {
	switch status {
	case http.StatusNotFound:
		return apiv1.ResultCode_RESULT_CODE_NOT_FOUND
	case http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity:
		return apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT
	}
	return apiv1.ResultCode_RESULT_CODE_PLATFORM_FAILED
}
