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

// errorBody is the JSON body of every refusal and failure.
type errorBody struct {
	Code         int32  `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// writeRequestError keeps "not run" only when no attempt wrote a byte.
func (s *Server) writeRequestError(w http.ResponseWriter, q *request, err *result.Error) {
	e := *err
	e.NotRun = e.NotRun && !q.sentBytes
	s.writeError(w, q.service, &e)
}

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

// writeResponse sends a whole answer.
func (s *Server) writeResponse(w http.ResponseWriter, q *request, a *response) {
	s.metrics.countRequest(q.service, apiv1.ResultCode_RESULT_CODE_OK, false)
	s.setCallerDeadline(w)
	writeResponseHeader(w, q.method, a)
	w.Write(a.body) // a caller that left is noticed by the HTTP server
}

func writeResponseHeader(w http.ResponseWriter, method string, a *response) {
	h := w.Header()
	h.Set(headerResult, resultOK)
	if a.contentType != "" {
		h.Set("Content-Type", a.contentType)
	} else {
		h["Content-Type"] = nil // the server must not guess one
	}
	if hasBody(method, a.status) || (method == http.MethodHead && a.length >= 0) {
		h.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	w.WriteHeader(a.status)
}

// streamResponse passes a large answer on as it arrives. When it breaks off, the
// caller's connection is reset, so that the caller cannot take it for whole.
func (s *Server) streamResponse(w http.ResponseWriter, q *request, h *heldGrant, a *response) {
	err := s.copyResponse(w, q, a)
	a.close(err == nil)
	if err == nil {
		s.release(h, outcomeOf(a))
		s.metrics.countRequest(q.service, apiv1.ResultCode_RESULT_CODE_OK, false)
		return
	}
	outcome := apiv1.GrantOutcome_GRANT_OUTCOME_DONE // the caller's connection failed
	if errors.Is(err, errTruncatedResponse) {
		outcome = apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED
	}
	s.release(h, outcome)
	s.metrics.countRequest(q.service, apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, false)
	s.opts.Log.WithError(err).WithField("service", q.service).Warn("a streamed response broke off")
	panic(http.ErrAbortHandler)
}

var errTruncatedResponse = errors.New("the minion's response broke off")

func (s *Server) copyResponse(w http.ResponseWriter, q *request, a *response) error {
	s.setCallerDeadline(w)
	writeResponseHeader(w, q.method, a)
	if _, err := w.Write(a.body); err != nil {
		return err
	}
	left := a.length - int64(len(a.body))
	buf := make([]byte, streamChunkBytes)
	for left > 0 {
		n, err := a.rest.Read(buf[:min(left, streamChunkBytes)])
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
	return expectEOF(a.rest)
}

// expectEOF reads the end mark, which leaves the connection clean for reuse.
func expectEOF(r io.Reader) error {
	var b [1]byte
	if n, err := r.Read(b[:]); n != 0 || !errors.Is(err, io.EOF) {
		return errTruncatedResponse
	}
	return nil
}

// setCallerDeadline bounds the next write. The HTTP server lifts the deadline at
// the end of the request.
func (s *Server) setCallerDeadline(w http.ResponseWriter) {
	// Recorders in tests have no deadline.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.opts.WriteTimeout))
}
