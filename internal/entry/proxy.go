package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// A grant that the last check refused cost the minion nothing, so it may be
// replaced this often without the retry budget.
const maxGrantReplacements = 3

// serveService handles /v1/services/{service}/{path...}.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	if err := s.inFlight.enter(); err != nil {
		s.writeError(w, "", err)
		return
	}
	defer s.inFlight.leave()
	began := time.Now()
	q, err := s.parse(r)
	if err != nil {
		s.writeError(w, "", err)
		return
	}
	body, free, err := s.readBody(w, r, s.opts.MaxBodyBytes)
	if err != nil {
		s.writeError(w, q.service, err)
		return
	}
	defer free()
	q.body = body
	q.endsAt = began.Add(q.timeout)
	ctx, cancel := context.WithDeadline(r.Context(), q.endsAt)
	defer cancel()
	q.ctx = ctx
	defer func() { s.metrics.duration.WithLabelValues(q.service).Observe(time.Since(began).Seconds()) }()
	if q.repeatable {
		s.serveRepeatable(w, q)
		return
	}
	s.serveAtMostOnce(w, q)
}

// serveRepeatable runs the request, again when an attempt fails and the retry
// budget and the deadline allow.
func (s *Server) serveRepeatable(w http.ResponseWriter, q *request) {
	s.retries.deposit()
	run := &retryState{}
	for {
		h, err := s.acquire(q, run.avoid)
		if err != nil {
			s.writeRequestError(w, q, run.finalError(err))
			return
		}
		resp, f := s.sendAttempt(q, h, newAttemptID(), run.newConn, run.progressTimeout(s, q))
		if f == nil {
			if !isRetryable(resp) || !s.allowRetry(q, run, nil) {
				s.deliver(w, q, h, resp)
				return
			}
			s.closeAndRelease(h, resp)
			run.recordFailure(h, &failure{err: result.New(apiv1.ResultCode_RESULT_CODE_TARGET_FAILED, "minion %q answered %d", h.MinionId, resp.status)})
			continue
		}
		s.release(h, f.outcome)
		if !s.allowRetry(q, run, f) {
			s.writeRequestError(w, q, f.err)
			return
		}
		run.recordFailure(h, f)
	}
}

// retryState is what earlier attempts of one request teach the next.
type retryState struct {
	avoid             []string // minions tried without success
	newConn           bool     // use a new connection
	stalled           bool     // the last attempt ended on a silent connection
	grantReplacements int
	lastError         *result.Error
}

func (r *retryState) recordFailure(h *heldGrant, f *failure) {
	if f.replaceGrant {
		r.grantReplacements++
	} else {
		// Also after a silent connection, which is not blamed on the minion:
		// when its whole path is stalled, another one serves sooner.
		r.avoid = append(r.avoid, h.MinionId)
	}
	r.newConn = true
	r.stalled = f.stalled
	r.lastError = f.err
}

// finalError prefers what a minion did over the refusal of a further grant.
func (r *retryState) finalError(err *result.Error) *result.Error {
	if r.lastError != nil && !r.lastError.NotRun {
		return r.lastError
	}
	return err
}

// progressTimeout is the time without progress after which the next attempt ends. An
// attempt that follows a silent one gets all the time left: the work itself
// may be slower than before.
func (r *retryState) progressTimeout(s *Server, q *request) time.Duration {
	left := q.deadline - s.opts.Clock.Now()
	if r.stalled {
		return left
	}
	return s.progressTimeouts.timeout(q.service, left)
}

func (s *Server) allowRetry(q *request, run *retryState, f *failure) bool {
	if q.ctx.Err() != nil || (f != nil && f.permanent) {
		return false
	}
	if f != nil && f.replaceGrant {
		return run.grantReplacements < maxGrantReplacements
	}
	if !s.retries.tryTake() {
		s.metrics.retriesRefused.Inc()
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// isRetryable tells statuses that another minion may improve.
func isRetryable(a *response) bool {
	return a.status >= http.StatusInternalServerError && a.status != http.StatusNotImplemented && a.rest == nil
}

func outcomeOf(a *response) apiv1.GrantOutcome {
	if a.status >= http.StatusInternalServerError {
		return apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED
	}
	return apiv1.GrantOutcome_GRANT_OUTCOME_DONE
}

// deliver passes the answer to the caller and ends the grant.
func (s *Server) deliver(w http.ResponseWriter, q *request, h *heldGrant, a *response) {
	if a.rest != nil {
		s.streamResponse(w, q, h, a)
		return
	}
	s.closeAndRelease(h, a)
	s.writeResponse(w, q, a)
}

func (s *Server) closeAndRelease(h *heldGrant, a *response) {
	a.close(a.rest == nil)
	s.release(h, outcomeOf(a))
}

// newAttemptID returns a new id for each attempt, so that a late response to
// an earlier one is never taken for this one's.
func newAttemptID() string {
	return uuid.Must(uuid.NewV7()).String()
}
