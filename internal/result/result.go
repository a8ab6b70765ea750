// Package result defines the error that carries a numbered result code from one
// process to another and to the callers of the HTTP interfaces.
package result

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Error is a failure with a result code.
type Error struct {
	Code apiv1.ResultCode
	// NotRun is true only when no byte of the work reached a target, so that a retry
	// can't run it twice.
	NotRun bool
	// RetryAfter is how long to wait before a retry, zero when that is not known.
	RetryAfter time.Duration
	Message    string
	// LeaderAddress is the RPC address of the control leader, if known. It is set only
	// with code NOT_LEADER.
	LeaderAddress string
}

// Error returns the name and number of the code and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, int32(e.Code), e.Message)
}

// Status converts the error to the message that rpc responses carry. RetryAfter is
// truncated to milliseconds.
func (e *Error) Status() *apiv1.Status {
	return &apiv1.Status{
		Code:          e.Code,
		Message:       e.Message,
		NotRun:        e.NotRun,
		RetryAfterMs:  uint32(e.RetryAfter.Milliseconds()),
		LeaderAddress: e.LeaderAddress,
	}
}

// New returns an error for work that may have run, at least in part.
func New(code apiv1.ResultCode, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// NotRun returns an error for work that certainly reached no target.
func NotRun(code apiv1.ResultCode, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.NotRun = true
	return e
}

// FromStatus returns the error of an rpc response's status as an *Error, or nil when
// the status is nil, OK or unspecified.
func FromStatus(s *apiv1.Status) error {
	if s == nil || s.Code == apiv1.ResultCode_RESULT_CODE_OK || s.Code == apiv1.ResultCode_RESULT_CODE_UNSPECIFIED {
		return nil
	}
	return &Error{
		Code:          s.Code,
		NotRun:        s.NotRun,
		RetryAfter:    time.Duration(s.RetryAfterMs) * time.Millisecond,
		Message:       s.Message,
		LeaderAddress: s.LeaderAddress,
	}
}

// From returns the *Error in err's chain, or else a new one with code INTERNAL and
// err's text. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e
	}
	return New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "%v", err)
}

// CodeOf returns the result code of err: OK for nil, and INTERNAL for an error
// without an *Error in its chain.
func CodeOf(err error) apiv1.ResultCode {
	if err == nil {
		return apiv1.ResultCode_RESULT_CODE_OK
	}
	return From(err).Code
}

// OK returns the status of a successful call.
func OK() *apiv1.Status {
	return &apiv1.Status{Code: apiv1.ResultCode_RESULT_CODE_OK}
}

// HTTPStatus returns the HTTP status with which callers receive a result code. Codes
// without a case of their own are mapped by range: 1000 to 1999 (invalid requests)
// to 400, 4000 to 4999 (refused publishes) to 422, and all others to 503.
func HTTPStatus(code apiv1.ResultCode) int {
	switch code {
	case apiv1.ResultCode_RESULT_CODE_OK:
		return http.StatusOK
	case apiv1.ResultCode_RESULT_CODE_UNAUTHENTICATED, apiv1.ResultCode_RESULT_CODE_KEY_REVOKED:
		return http.StatusUnauthorized
	case apiv1.ResultCode_RESULT_CODE_QUEUE_NOT_ALLOWED:
		return http.StatusForbidden
	case apiv1.ResultCode_RESULT_CODE_UNKNOWN_SERVICE, apiv1.ResultCode_RESULT_CODE_UNKNOWN_QUEUE,
		apiv1.ResultCode_RESULT_CODE_NOT_FOUND, apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND:
		return http.StatusNotFound
	case apiv1.ResultCode_RESULT_CODE_TOO_LARGE:
		return http.StatusRequestEntityTooLarge
	case apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, apiv1.ResultCode_RESULT_CODE_TEAM_LIMIT:
		return http.StatusTooManyRequests
	case apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT, apiv1.ResultCode_RESULT_CODE_REQUEST_ID_REUSED,
		apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REUSED, apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
		apiv1.ResultCode_RESULT_CODE_ANSWER_NOT_KEPT:
		return http.StatusConflict
	case apiv1.ResultCode_RESULT_CODE_TIMEOUT:
		return http.StatusGatewayTimeout
	case apiv1.ResultCode_RESULT_CODE_TARGET_FAILED, apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER:
		return http.StatusBadGateway
	case apiv1.ResultCode_RESULT_CODE_INTERNAL, apiv1.ResultCode_RESULT_CODE_DATA_DAMAGED:
		return http.StatusInternalServerError
	}
	if code >= 1000 && code < 2000 {
		return http.StatusBadRequest
	}
	if code >= 4000 && code < 5000 {
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}
