package entry

import (
	"errors"
	"net/http"
	"os"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/httplimit"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// readBody reads the whole body within the limits of size, time and memory. The memory is
// given back when the request is answered. Errors are marked as not run, so that the caller
// may send the request again.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength <= limit {
		s.setCallerDeadline(w) // for the interim response "100 Continue"
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.opts.BodyTimeout)) // httptest.ResponseRecorder does not support it
	body, err := httplimit.ReadBody(w, r, limit)
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyError(err, limit, s.opts.BodyTimeout)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, nil
}

// bodyError converts an error of httplimit.ReadBody.
func bodyError(err error, limit int64, timeout time.Duration) *result.Error {
	if errors.Is(err, httplimit.ErrTooLarge) {
		return tooLarge(limit)
	}
	if errors.Is(err, httplimit.ErrNoMemory) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "this entry holds too many request bodies; retry later")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request body did not arrive within %v", timeout)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request body could not be read: %v", err)
}

func tooLarge(limit int64) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "the request body exceeds %d bytes", limit)
}
