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
const maxRegrants = 3

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
	body, free, err := s.readBody(w, r, s.o.MaxBodyBytes)
	if err != nil {
		s.writeError(w, q.service, err)
		return
	}
	defer free()
	q.body = body
	q.ends = began.Add(q.timeout)
	ctx, cancel := context.WithDeadline(r.Context(), q.ends)
	defer cancel()
	q.ctx = ctx
	defer func() { s.metrics.duration.WithLabelValues(q.service).Observe(time.Since(began).Seconds()) }()
	if q.repeatable {
		s.serveRepeatable(w, q)
		return
	}
	s.serveOnce(w, q)
}

// serveRepeatable runs the request, again when an attempt fails and the retry
// budget and the deadline allow.
func (s *Server) serveRepeatable(w http.ResponseWriter, q *request) {
	s.retries.deposit()
	run := &retryState{}
	for {
		h, err := s.acquire(q, run.avoid)
		if err != nil {
			s.writeRequestError(w, q, run.lastError(err))
			return
		}
		ans, f := s.send(q, h, newAttemptID(), run.fresh, run.silence(s, q))
		if f == nil {
			if !failedStatus(ans) || !s.mayRetry(q, run, nil) {
				s.deliver(w, q, h, ans)
				return
			}
			s.discard(h, ans)
			run.note(h, &failure{err: result.New(apiv1.ResultCode_RESULT_CODE_TARGET_FAILED, "minion %q answered %d", h.MinionId, ans.status)})
			continue
		}
		s.release(h, f.outcome)
		if !s.mayRetry(q, run, f) {
			s.writeRequestError(w, q, f.err)
			return
		}
		run.note(h, f)
	}
}

// retryState is what earlier attempts of one request teach the next.
type retryState struct {
	avoid    []string // minions tried without success
	fresh    bool     // use a new connection
	silent   bool     // the last attempt ended on a silent connection
	regrants int
	last     *result.Error
}

func (r *retryState) note(h *heldGrant, f *failure) {
	if f.regrant {
		r.regrants++
	} else {
		// Also after a silent connection, which is not blamed on the minion:
		// when its whole path is stalled, another one serves sooner.
		r.avoid = append(r.avoid, h.MinionId)
	}
	r.fresh = true
	r.silent = f.silent
	r.last = f.err
}

// lastError prefers what a minion did over the refusal of a further grant.
func (r *retryState) lastError(err *result.Error) *result.Error {
	if r.last != nil && !r.last.NotRun {
		return r.last
	}
	return err
}

// silence is the time without progress after which the next attempt ends. An
// attempt that follows a silent one gets all the time left: the work itself
// may be slower than before.
func (r *retryState) silence(s *Server, q *request) time.Duration {
	left := q.deadline - s.o.Clock.Now()
	if r.silent {
		return left
	}
	return s.silence.allowance(q.service, left)
}

func (s *Server) mayRetry(q *request, run *retryState, f *failure) bool {
	if q.ctx.Err() != nil || (f != nil && f.final) {
		return false
	}
	if f != nil && f.regrant {
		return run.regrants < maxRegrants
	}
	if !s.retries.take() {
		s.metrics.retriesRefused.Inc()
		return false
	}
	s.metrics.retries.Inc()
	return true
}

// failedStatus tells statuses that another minion may improve.
func failedStatus(a *answer) bool {
	return a.status >= http.StatusInternalServerError && a.status != http.StatusNotImplemented && a.rest == nil
}

func outcomeOf(a *answer) apiv1.GrantOutcome {
	if a.status >= http.StatusInternalServerError {
		return apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED
	}
	return apiv1.GrantOutcome_GRANT_OUTCOME_DONE
}

// deliver passes the answer to the caller and ends the grant.
func (s *Server) deliver(w http.ResponseWriter, q *request, h *heldGrant, a *answer) {
	if a.rest != nil {
		s.stream(w, q, h, a)
		return
	}
	s.discard(h, a)
	s.writeAnswer(w, q, a)
}

func (s *Server) discard(h *heldGrant, a *answer) {
	a.close(a.rest == nil)
	s.release(h, outcomeOf(a))
}

// newAttemptID returns a new id for each attempt, so that a late response to
// an earlier one is never taken for this one's.
func newAttemptID() string {
	return uuid.Must(uuid.NewV7()).String()
}
