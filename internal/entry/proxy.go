package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Limit on the grants of one request (permissions to send it to a minion, a
// process that serves the service) that are replaced outside the retry budget
// because checkBeforeSend refused them. Such an attempt sends nothing to the
// minion, so replacing it causes no load there.
const maxGrantReplacements = 3

// serveService handles /v1/services/{service}/{path...}. It accepts, checks and
// reads the request and forwards it to a minion.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	if err := s.inFlight.enter(); err != nil {
		s.writeError(w, "", err)
		return
	}
	defer s.inFlight.leave()
	start := time.Now()
	q, err := s.parse(r)
	if err != nil {
		s.writeError(w, "", err)
		return
	}
	body, err := s.readBody(w, r, s.opts.MaxBodyBytes)
	if err != nil {
		s.writeError(w, q.service, err)
		return
	}
	q.body = body
	q.endsAt = start.Add(q.timeout)
	ctx, cancel := context.WithDeadline(r.Context(), q.endsAt)
	defer cancel()
	q.ctx = ctx
	defer func() { s.metrics.duration.WithLabelValues(q.service).Observe(time.Since(start).Seconds()) }()
	if q.repeatable {
		s.serveRepeatable(w, q)
		return
	}
	s.serveAtMostOnce(w, q)
}

// serveRepeatable serves a request that may run more than once. It retries failed
// attempts as long as the deadline and the retry budget allow.
func (s *Server) serveRepeatable(w http.ResponseWriter, q *request) {
	s.retries.deposit()
	attempts := &retryState{}
	for {
		h, err := s.acquire(q, attempts.avoid)
		if err != nil {
			s.writeRequestError(w, q, attempts.finalError(err))
			return
		}
		resp, f := s.sendAttempt(q, h, newAttemptID(), attempts.newConn, attempts.progressTimeout(s, q))
		if f == nil {
			if !isRetryable(resp) || !s.allowRetry(q, attempts, nil) {
				s.deliver(w, q, h, resp)
				return
			}
			s.closeAndRelease(h, resp)
			attempts.recordFailure(h, &failure{err: result.New(apiv1.ResultCode_RESULT_CODE_TARGET_FAILED, "minion %q answered %d", h.MinionId, resp.status)})
			continue
		}
		s.release(h, f.outcome)
		if !s.allowRetry(q, attempts, f) {
			s.writeRequestError(w, q, f.err)
			return
		}
		attempts.recordFailure(h, f)
	}
}

// retryState holds what the next attempt of a request needs to know about the
// earlier ones.
type retryState struct {
	avoid             []string // ids of the minions where an attempt failed
	newConn           bool     // use a new connection
	stalled           bool     // the connection of the last attempt made no progress
	grantReplacements int
	lastError         *result.Error // of the last attempt; nil before the first
}

// recordFailure updates the state for the attempt after one that failed.
func (r *retryState) recordFailure(h *heldGrant, f *failure) {
	if f.replaceGrant {
		r.grantReplacements++
	} else {
		// A stalled connection does not count as a failure of the minion, but
		// the whole network path to it may be stalled, in which case another
		// minion responds sooner.
		r.avoid = append(r.avoid, h.MinionId)
	}
	r.newConn = true
	r.stalled = f.stalled
	r.lastError = f.err
}

// finalError returns the error to report when no further grant was obtained
// because of err. The last attempt's error takes precedence if that attempt may
// have run.
func (r *retryState) finalError(err *result.Error) *result.Error {
	if r.lastError != nil && !r.lastError.NotRun {
		return r.lastError
	}
	return err
}

// progressTimeout returns the time without progress after which the next attempt
// fails. After a stalled attempt it is all the time left, because the minion's
// work may take longer than for earlier requests.
func (r *retryState) progressTimeout(s *Server, q *request) time.Duration {
	left := q.deadline - s.opts.Clock.Now()
	if r.stalled {
		return left
	}
	return s.progressTimeouts.timeout(q.service, left)
}

// allowRetry reports whether the request may be attempted again, and takes a retry
// from the budget unless only the grant is replaced. f is nil when the minion
// responded with a retryable status.
func (s *Server) allowRetry(q *request, attempts *retryState, f *failure) bool {
	if q.ctx.Err() != nil || (f != nil && f.permanent) {
		return false
	}
	if f != nil && f.replaceGrant {
		return attempts.grantReplacements < maxGrantReplacements
	}
	if !s.retries.tryTake() {
		s.metrics.retriesRefused.Inc()
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// isRetryable reports whether another minion may respond better: the status is
// 5xx other than 501 (not implemented), and the response is not streamed.
func isRetryable(resp *response) bool {
	return resp.status >= http.StatusInternalServerError && resp.status != http.StatusNotImplemented && resp.rest == nil
}

// outcomeOf returns the outcome to report to the shard host for a response.
func outcomeOf(resp *response) apiv1.GrantOutcome {
	if resp.status >= http.StatusInternalServerError {
		return apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED
	}
	return apiv1.GrantOutcome_GRANT_OUTCOME_DONE
}

// deliver sends the response to the caller and releases the grant.
func (s *Server) deliver(w http.ResponseWriter, q *request, h *heldGrant, resp *response) {
	if resp.rest != nil {
		s.streamResponse(w, q, h, resp)
		return
	}
	s.closeAndRelease(h, resp)
	s.writeResponse(w, q, resp)
}

// closeAndRelease ends the use of the connection and of the grant.
func (s *Server) closeAndRelease(h *heldGrant, resp *response) {
	resp.close(resp.rest == nil)
	s.release(h, outcomeOf(resp))
}

// newAttemptID returns the id of one attempt, sent to the minion in the header
// Bergamot-Request-Id. It isn't the caller's Idempotency-Key, which the ledger
// calls the request id. Each attempt has its own, so that a late response to an
// earlier attempt is never taken for the response to this one.
func newAttemptID() string {
	return uuid.Must(uuid.NewV7()).String()
}
