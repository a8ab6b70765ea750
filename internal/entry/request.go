package entry

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	servicePrefix        = "/v1/services/"
	headerQueue          = "Bergamot-Queue"
	headerTimeout        = "Bergamot-Timeout-Ms"
	headerRepeatable     = "Bergamot-Repeatable"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "Bergamot-Request-Id"
	headerResult         = "Bergamot-Result"
	headerNotRun         = "Bergamot-Not-Run"
)

// request is one admitted call to a service. A refusal marked as not run speaks
// of this call; a caller that sent the same Idempotency-Key before learns the
// outcome of that one only from an entry that could ask the ledger.
type request struct {
	ctx         context.Context // ends at the deadline or when the caller leaves
	service     string
	queue       string
	priority    apiv1.Priority
	credential  string
	identity    identity
	method      string
	path        string // escaped path and query, as sent to the minion
	contentType string
	body        []byte
	repeatable  bool
	id          string        // of a non-repeatable request
	timeout     time.Duration // for the whole request
	deadline    time.Duration // on the clock
	endsAt      time.Time     // the deadline for contexts and connections
	sentBytes   bool          // a byte left for a minion in some attempt
}

// parse reads everything but the body and checks it against the view.
func (s *Server) parse(r *http.Request) (*request, *result.Error) {
	arrived := s.opts.Clock.Now()
	if !s.opts.Session.Valid() {
		return nil, noSession()
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix), "/")
	service, err := s.service(name)
	if err != nil {
		return nil, err
	}
	queue, err := queueForService(s.opts.Session.Snapshot().Index, r.Header.Get(headerQueue), service.Name)
	if err != nil {
		return nil, err
	}
	req := &request{
		service:     service.Name,
		queue:       queue.Name,
		priority:    queue.Priority,
		credential:  credentialOf(r),
		method:      r.Method,
		path:        "/" + path,
		contentType: r.Header.Get("Content-Type"),
	}
	if r.URL.RawQuery != "" {
		req.path += "?" + r.URL.RawQuery
	}
	if req.identity, err = authorize(s.opts.Session.Snapshot().Index, req.credential, queue); err != nil {
		return nil, err
	}
	if err := req.parseTimeout(r, service); err != nil {
		return nil, err
	}
	req.deadline = arrived + req.timeout
	return req, req.parseRepeatable(r)
}

func (s *Server) service(escaped string) (*apiv1.Service, *result.Error) {
	name, err := url.PathUnescape(escaped)
	if err == nil {
		if service, ok := s.opts.Session.Snapshot().Index.Services[name]; ok {
			return service, nil
		}
	}
	return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNKNOWN_SERVICE, "service %q does not exist", escaped)
}

func (q *request) parseTimeout(r *http.Request, service *apiv1.Service) *result.Error {
	longest := time.Duration(service.MaxDeadlineMs) * time.Millisecond
	q.timeout = longest
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "header %s must be a whole number of milliseconds above 0", headerTimeout)
	}
	q.timeout = time.Duration(ms) * time.Millisecond
	if q.timeout > longest {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "header %s is above the service's maximum of %d", headerTimeout, service.MaxDeadlineMs)
	}
	return nil
}

func (q *request) parseRepeatable(r *http.Request) *result.Error {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		q.repeatable = true
	default:
		q.repeatable = r.Header.Get(headerRepeatable) == "true"
	}
	if q.repeatable {
		return nil
	}
	text := r.Header.Get(headerIdempotencyKey)
	if text == "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REQUIRED, "send a UUIDv7 in %s, or %s: true when the request may run more than once", headerIdempotencyKey, headerRepeatable)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID, "header %s is not a UUIDv7", headerIdempotencyKey)
	}
	q.id = id.String()
	return nil
}

// fingerprint tells a resend from another request under the same id.
func (q *request) fingerprint() []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s%s %d", q.method, q.service, q.path, len(q.body)))
	return sum[:]
}

func noSession() *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_SESSION, "this entry has no valid session with the control group; use another entry")
}
