// Package vmapi provides a client of the platform's HTTP API for VMs, and the
// executor that carries out fleet intents through it. An intent is an operation
// on one VM (drain, reboot or move) that the control group has decided on.
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

// callTimeout limits one call. It is short because the executor retries calls.
const callTimeout = 5 * time.Second

// States of an operation, as the platform names them.
const (
	StatePending = "pending"
	StateRunning = "running"
	StateDone    = "done"
	StateFailed  = "failed"
)

// Operation is an operation on one VM, as the platform's API represents it.
type Operation struct {
	// OperationID identifies the operation. The platform runs each id once.
	OperationID string `json:"operation_id"`
	// Kind is drain, reboot or move.
	Kind string `json:"kind,omitempty"`
	VM   string `json:"vm,omitempty"`
	// Pool is the pool to which a move takes the VM.
	Pool string `json:"pool,omitempty"`
	// State is one of the State constants.
	State string `json:"state,omitempty"`
	// Error says why the operation failed. It is set in StateFailed only.
	Error string `json:"error,omitempty"`
}

// Client calls the platform's HTTP API.
type Client struct {
	base *sling.Sling
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the API at baseURL, which has no trailing slash.
func NewClient(baseURL string) *Client {
	return NewClientWithHTTP(baseURL, &http.Client{Timeout: callTimeout})
}

// NewClientWithHTTP returns a client that sends its requests with h. The timeout
// of h limits each call.
func NewClientWithHTTP(baseURL string, h *http.Client) *Client {
	return &Client{base: sling.New().Client(h).Base(baseURL).Set("Accept", "application/json")}
}

// Start starts the operation. A duplicate call with the same operation id has no
// further effect. Errors are *result.Error: NOT_FOUND for HTTP status 404,
// INVALID_ARGUMENT when the platform refuses the operation permanently, and
// otherwise PLATFORM_FAILED, after which the operation may have started.
func (c *Client) Start(ctx context.Context, op *Operation) error {
	return c.do(ctx, c.base.New().Post("/v1/operations").BodyJSON(op), &Operation{})
}

// Get returns the operation with its state. Errors are *result.Error: NOT_FOUND
// when the platform does not know the operation, INVALID_ARGUMENT when it
// refuses the call permanently, and otherwise PLATFORM_FAILED.
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

// do sends a request and decodes the reply into op.
func (c *Client) do(ctx context.Context, s *sling.Sling, op *Operation) error {
	req, err := s.Request()
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "call to the platform: %v", err)
	}
	errorBody := &struct {
		Error string `json:"error"`
	}{}
	resp, err := s.Do(req.WithContext(ctx), op, errorBody)
	if resp == nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_PLATFORM_FAILED, "call to the platform: %v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return result.New(codeOfStatus(resp.StatusCode), "%s", statusMessage(resp.StatusCode, errorBody.Error))
	}
	if err != nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_PLATFORM_FAILED, "answer of the platform: %v", err)
	}
	return nil
}

func statusMessage(status int, reason string) string {
	return fmt.Sprintf("platform answered HTTP status %d: %.200s", status, reason)
}

// codeOfStatus returns the result code for an HTTP error status. It separates
// permanent refusals, which another attempt cannot change, from failures that
// may be temporary (PLATFORM_FAILED).
func codeOfStatus(status int) apiv1.ResultCode {
	switch status {
	case http.StatusNotFound:
		return apiv1.ResultCode_RESULT_CODE_NOT_FOUND
	case http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity:
		return apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT
	}
	return apiv1.ResultCode_RESULT_CODE_PLATFORM_FAILED
}
