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

// request is a request to a service that this process has accepted. An error
// marked as not run is about this request only. Whether an earlier one with the
// same Idempotency-Key ran, the caller learns only from an entry process that
// could read the ledger, the control group's record of such requests.
type request struct {
	ctx         context.Context // ends at the deadline or when the caller closes its connection
	service     string
	queue       string
	priority    apiv1.Priority
	credential  string // "<key id>.<secret>", or empty
	identity    identity
	method      string
	path        string // escaped path and query, as sent to the minion
	contentType string
	body        []byte
	repeatable  bool          // may run more than once
	id          string        // Idempotency-Key of a request that is not repeatable
	timeout     time.Duration // for the whole request
	deadline    time.Duration // reading of Options.Clock
	endsAt      time.Time     // the deadline as wall-clock time, for contexts
	sentBytes   bool          // a byte may have been sent to a minion in some attempt
}

// parse returns the request without its body, after checking its service, queue,
// credential and headers against the current view, the part of the replicated
// state that entry processes receive, which holds the configuration.
func (s *Server) parse(r *http.Request) (*request, *result.Error) {
	arrived := s.opts.Clock.Now()
	if !s.opts.Session.IsValid() {
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

// service returns the service whose path-escaped name is given.
func (s *Server) service(escaped string) (*apiv1.Service, *result.Error) {
	name, err := url.PathUnescape(escaped)
	if err == nil {
		if service, ok := s.opts.Session.Snapshot().Index.Services[name]; ok {
			return service, nil
		}
	}
	return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNKNOWN_SERVICE, "service %q does not exist", escaped)
}

// parseTimeout sets the timeout from the header, or to the service's maximum if
// there is none.
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

// parseRepeatable sets whether the request may run more than once, as HTTP defines
// it for the method or as the caller says. Otherwise it sets the id, and a
// UUIDv7 in Idempotency-Key is required.
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

// fingerprint returns a hash of the method, service, path and length of the body.
// The ledger compares it to detect an id that is reused for another request.
func (q *request) fingerprint() []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s%s %d", q.method, q.service, q.path, len(q.body)))
	return sum[:]
}

// noSession returns the error for a process without a valid session (lease with
// the control group), which may not accept or send requests.
func noSession() *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_SESSION, "this entry has no valid session with the control group; use another entry")
}
