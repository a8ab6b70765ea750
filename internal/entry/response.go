package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const streamChunkBytes = 64 << 10

var resultOK = strconv.Itoa(int(apiv1.ResultCode_RESULT_CODE_OK))

// errorBody is the JSON body of every error response.
type errorBody struct {
	Code         int32  `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// writeRequestError responds with err. The response is marked as not run (the
// caller may send the request again) only if err is, and no attempt sent a byte
// to a minion.
func (s *Server) writeRequestError(w http.ResponseWriter, q *request, err *result.Error) {
	e := *err
	e.NotRun = e.NotRun && !q.sentBytes
	s.writeError(w, q.service, &e)
}

// writeError responds with err and counts it. service is the label of the metric,
// empty if it is not known.
func (s *Server) writeError(w http.ResponseWriter, service string, err *result.Error) {
	s.metrics.countRequest(service, err.Code, err.NotRun)
	s.setCallerDeadline(w)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerResult, strconv.Itoa(int(err.Code)))
	if err.NotRun {
		h.Set(headerNotRun, "true")
	}
	if err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	w.WriteHeader(result.HTTPStatus(err.Code))
	body, _ := json.Marshal(errorBody{ // the struct always marshals
		Code:         int32(err.Code),
		Name:         err.Code.String(),
		Message:      err.Message,
		NotRun:       err.NotRun,
		RetryAfterMS: err.RetryAfter.Milliseconds(),
	})
	w.Write(append(body, '\n'))
}

func (s *Server) serveNotFound(w http.ResponseWriter, r *http.Request) {
	s.writeError(w, "", result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "%s %s does not exist", r.Method, r.URL.Path))
}

// writeResponse sends a complete response to the caller.
func (s *Server) writeResponse(w http.ResponseWriter, q *request, resp *response) {
	s.metrics.countRequest(q.service, apiv1.ResultCode_RESULT_CODE_OK, false)
	s.setCallerDeadline(w)
	writeResponseHeader(w, q.method, resp)
	w.Write(resp.body) // the HTTP server handles an error of the connection
}

// writeResponseHeader sends the status and the header. Of the minion's header only
// Content-Type and Content-Length are sent on.
func writeResponseHeader(w http.ResponseWriter, method string, resp *response) {
	h := w.Header()
	h.Set(headerResult, resultOK)
	if resp.contentType != "" {
		h.Set("Content-Type", resp.contentType)
	} else {
		h["Content-Type"] = nil // otherwise the HTTP server detects and sets one
	}
	if hasBody(method, resp.status) || (method == http.MethodHead && resp.length >= 0) {
		h.Set("Content-Length", strconv.FormatInt(resp.length, 10))
	}
	w.WriteHeader(resp.status)
}

// streamResponse sends a large response to the caller as it arrives from the
// minion, and releases the grant, the permission to send the request there. If
// the response is cut off, it resets the caller's connection, so that the caller
// cannot take the response for complete.
func (s *Server) streamResponse(w http.ResponseWriter, q *request, h *heldGrant, resp *response) {
	err := s.copyResponse(w, q, resp)
	resp.close(err == nil)
	if err == nil {
		s.release(h, outcomeOf(resp))
		s.metrics.countRequest(q.service, apiv1.ResultCode_RESULT_CODE_OK, false)
		return
	}
	outcome := apiv1.GrantOutcome_GRANT_OUTCOME_DONE // the caller's connection failed
	if errors.Is(err, errTruncatedResponse) {
		outcome = apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED
	}
	s.release(h, outcome)
	s.metrics.countRequest(q.service, apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, false)
	s.opts.Log.WithError(err).WithField("service", q.service).Warn("a streamed response was cut off")
	panic(http.ErrAbortHandler)
}

var errTruncatedResponse = errors.New("the minion's response was cut off")

// copyResponse copies the header and the body to the caller. An error of the
// minion's connection wraps errTruncatedResponse.
func (s *Server) copyResponse(w http.ResponseWriter, q *request, resp *response) error {
	s.setCallerDeadline(w)
	writeResponseHeader(w, q.method, resp)
	if _, err := w.Write(resp.body); err != nil {
		return err
	}
	left := resp.length - int64(len(resp.body))
	buf := make([]byte, streamChunkBytes)
	for left > 0 {
		n, err := resp.rest.Read(buf[:min(left, streamChunkBytes)])
		left -= int64(n)
		if n > 0 {
			s.setCallerDeadline(w)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if err != nil && left > 0 {
			return fmt.Errorf("%w with %d bytes missing: %w", errTruncatedResponse, left, toUnexpectedEOF(err))
		}
	}
	return expectEOF(resp.rest)
}

// expectEOF reads the end of the body, after which the connection can be reused.
func expectEOF(r io.Reader) error {
	var b [1]byte
	if n, err := r.Read(b[:]); n != 0 || !errors.Is(err, io.EOF) {
		return errTruncatedResponse
	}
	return nil
}

// setCallerDeadline limits the time of the next writes to WriteTimeout from now.
// The HTTP server clears the deadline at the end of the request.
func (s *Server) setCallerDeadline(w http.ResponseWriter) {
	// httptest.ResponseRecorder does not support a deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.opts.WriteTimeout))
}
