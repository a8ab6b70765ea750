package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/ledger"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/session"
)

const (
	// Interval at which the ledger, the record of at-most-once requests, is
	// polled for the outcome of a request that another call is running; it
	// doubles from the minimum to the maximum.
	minPollInterval = 100 * time.Millisecond
	maxPollInterval = time.Second
	// Time within which the outcome must be committed. It is longer than an
	// election of the control group's leader takes.
	finishTimeout    = 10 * time.Second
	finishRetryDelay = 100 * time.Millisecond
	// Retry-After of requests that fail while the control group elects a leader.
	ledgerRetryAfter = 500 * time.Millisecond
)

// serveAtMostOnce serves a request that may run at most once, identified by the
// caller's Idempotency-Key (in the ledger: request id). It records the start in
// the ledger, the control group's replicated record of such requests, which
// decides whether this call runs the request. Otherwise another call runs or ran
// it, and the response comes from the ledger.
func (s *Server) serveAtMostOnce(w http.ResponseWriter, q *request) {
	for {
		h, err := s.acquire(q, nil)
		if err != nil {
			s.serveWithoutGrant(w, q, err)
			return
		}
		rec, err := s.recordStart(q, h)
		if err != nil {
			s.abandonStart(q, h, err)
			s.writeRequestError(w, q, err)
			return
		}
		if rec.Created {
			s.runAtMostOnce(w, q, h)
			return
		}
		s.release(h, apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED)
		if s.serveFromRecord(w, q, rec) {
			return
		}
	}
}

// serveWithoutGrant serves a request that got no grant (permission of the
// service's scheduler to send it to a minion, a process that serves the service),
// for the reason refused. A caller's retry of a request that ran before gets the
// recorded response even when there is no free capacity.
func (s *Server) serveWithoutGrant(w http.ResponseWriter, q *request, refused *result.Error) {
	rec, err := s.lookupRecord(q)
	if err == nil && s.serveFromRecord(w, q, rec) {
		return
	}
	if err != nil && overridesRefusal(err.Code) {
		s.writeRequestError(w, q, err)
		return
	}
	e := *refused
	// If the ledger could not be read, an earlier request with the same id may
	// have run.
	e.NotRun = e.NotRun && (err == nil || err.Code == apiv1.ResultCode_RESULT_CODE_NOT_FOUND)
	s.writeRequestError(w, q, &e)
}

// overridesRefusal reports whether the ledger's code tells the caller more about
// the request than the error of the refused grant.
func overridesRefusal(code apiv1.ResultCode) bool {
	return code == apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN || code == apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REUSED
}

// recordStart commits to the ledger that the request is about to run under the
// grant. It returns the request's record; Created is set if this call may run it.
func (s *Server) recordStart(q *request, h *heldGrant) (*apiv1.RequestRecord, *result.Error) {
	return s.commitStart(q.ctx, &apiv1.StartRequest{
		ClientAccount: q.identity.account,
		RequestId:     q.id,
		SessionId:     h.sessionID,
		Service:       q.service,
		Epoch:         h.Epoch,
		GrantId:       h.GrantId,
		MinionId:      h.MinionId,
		Fingerprint:   q.fingerprint(),
	})
}

// lookupRecord returns the record of the request without starting it. A
// StartRequest without a grant only reads.
func (s *Server) lookupRecord(q *request) (*apiv1.RequestRecord, *result.Error) {
	return s.commitStart(q.ctx, &apiv1.StartRequest{
		ClientAccount: q.identity.account,
		RequestId:     q.id,
		SessionId:     s.opts.Session.ID(),
		Service:       q.service,
		Fingerprint:   q.fingerprint(),
	})
}

// commitStart commits cmd and returns the record that the ledger then has.
func (s *Server) commitStart(ctx context.Context, cmd *apiv1.StartRequest) (*apiv1.RequestRecord, *result.Error) {
	res, err := s.opts.Control.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_StartRequest{StartRequest: cmd}})
	if isOutcomeUnknown(err) {
		return nil, ledgerUnreachable(err)
	}
	if err != nil {
		return nil, result.From(err)
	}
	if res.GetRequest() == nil {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "StartRequest returned no record")
	}
	return res.GetRequest(), nil
}

// isOutcomeUnknown reports whether a command was sent and no reply to it arrived,
// so that it may have been committed.
func isOutcomeUnknown(err error) bool {
	_, unknown := errors.AsType[*session.UnknownOutcomeError](err)
	return unknown
}

// ledgerUnreachable returns an error that is not marked as not run, because an
// earlier request with the same id may have run.
func ledgerUnreachable(err error) *result.Error {
	e := result.New(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "the ledger of started requests did not answer; send the request again with the same %s: %v", headerIdempotencyKey, err)
	e.RetryAfter = ledgerRetryAfter
	return e
}

// abandonStart releases the grant after the start could not be recorded, or after
// no reply to the command arrived. In the second case the record may exist, so
// the record is marked as not run, which allows the caller to send the request
// again.
func (s *Server) abandonStart(q *request, h *heldGrant, err *result.Error) {
	s.release(h, apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED)
	if err.Code == apiv1.ResultCode_RESULT_CODE_NO_QUORUM && !err.NotRun {
		s.recordInLedger(q, h, apiv1.RequestState_REQUEST_STATE_NOT_RUN, nil)
	}
}

// runAtMostOnce runs the request, after the ledger recorded this call as the only
// one that may. It continues when the caller closes the connection, so that a
// retry by the caller finds the response in the ledger.
func (s *Server) runAtMostOnce(w http.ResponseWriter, q *request, h *heldGrant) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(q.ctx), q.endsAt)
	defer cancel()
	q.ctx = ctx
	left := q.deadline - s.opts.Clock.Now()
	resp, f := s.sendAttempt(q, h, q.id, true, left)
	if f != nil {
		s.release(h, f.outcome)
		s.failAtMostOnce(w, q, h, f)
		return
	}
	// A header may hold any bytes, but a command only texts in UTF-8.
	contentType := strings.ToValidUTF8(resp.contentType, string(utf8.RuneError))
	stored := &apiv1.StoredAnswer{HttpStatus: uint32(resp.status), ContentType: contentType}
	if resp.rest != nil || len(resp.body) > ledger.MaxBodyBytes {
		stored.BodyDropped = true
	} else {
		stored.Body = resp.body
	}
	s.recordInLedger(q, h, apiv1.RequestState_REQUEST_STATE_DONE, stored)
	s.deliver(w, q, h, resp)
}

// failAtMostOnce records the outcome of a failed run and responds with the error.
// The outcome is unknown if a byte was sent to the minion.
func (s *Server) failAtMostOnce(w http.ResponseWriter, q *request, h *heldGrant, f *failure) {
	if !q.sentBytes {
		s.recordInLedger(q, h, apiv1.RequestState_REQUEST_STATE_NOT_RUN, nil)
		s.writeRequestError(w, q, f.err)
		return
	}
	s.recordInLedger(q, h, apiv1.RequestState_REQUEST_STATE_UNKNOWN, nil)
	s.writeRequestError(w, q, result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the request was sent and may have run: %s", f.err.Message))
}

// recordInLedger commits the outcome, as the record's new state, to the ledger in
// the background, which Drain waits for. stored is nil unless the state is DONE.
func (s *Server) recordInLedger(q *request, h *heldGrant, state apiv1.RequestState, stored *apiv1.StoredAnswer) {
	cmd := &apiv1.Command{Body: &apiv1.Command_FinishRequest{FinishRequest: &apiv1.FinishRequest{
		ClientAccount: q.identity.account,
		RequestId:     q.id,
		SessionId:     h.sessionID,
		Epoch:         h.Epoch,
		GrantId:       h.GrantId,
		State:         state,
		Answer:        stored,
	}}}
	s.inFlight.runBackground(func() { s.commitOutcome(cmd) })
}

// commitOutcome retries transient errors for finishTimeout.
func (s *Server) commitOutcome(cmd *apiv1.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	for {
		_, err := s.opts.Control.Execute(ctx, cmd)
		if err == nil {
			return
		}
		if !isTransient(err) || ctx.Err() != nil {
			s.opts.Log.WithError(err).Warn("failed to record the outcome of a request in the ledger")
			return
		}
		time.Sleep(finishRetryDelay)
	}
}

// isTransient reports whether the control group may answer again later.
func isTransient(err error) bool {
	if isOutcomeUnknown(err) {
		return true
	}
	code := result.CodeOf(err)
	return code == apiv1.ResultCode_RESULT_CODE_NO_QUORUM || code == apiv1.ResultCode_RESULT_CODE_NOT_LEADER
}

// serveFromRecord responds from the ledger's record of the request once its run
// has ended. It returns false, without a response, if the request did not run
// and may be started again.
func (s *Server) serveFromRecord(w http.ResponseWriter, q *request, rec *apiv1.RequestRecord) bool {
	rec, err := s.awaitOutcome(q, rec)
	if err != nil {
		s.writeRequestError(w, q, err)
		return true
	}
	switch rec.State {
	case apiv1.RequestState_REQUEST_STATE_NOT_RUN:
		return false
	case apiv1.RequestState_REQUEST_STATE_DONE:
		s.writeStoredResponse(w, q, rec.Answer)
	default:
		s.writeRequestError(w, q, result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "request %s was started and its outcome is not known", q.id))
	}
	return true
}

// awaitOutcome polls the ledger until the started request ends or q.ctx does. In
// the latter case it returns the record in state STARTED.
func (s *Server) awaitOutcome(q *request, rec *apiv1.RequestRecord) (*apiv1.RequestRecord, *result.Error) {
	wait := minPollInterval
	for rec.State == apiv1.RequestState_REQUEST_STATE_STARTED {
		select {
		case <-q.ctx.Done():
			return rec, nil // reported to the caller as OUTCOME_UNKNOWN
		case <-time.After(wait):
		}
		wait = min(2*wait, maxPollInterval)
		next, err := s.lookupRecord(q)
		if err != nil && q.ctx.Err() == nil && !isTransient(err) {
			return nil, err
		}
		if err == nil {
			rec = next
		}
	}
	return rec, nil
}

// writeStoredResponse sends the response that the ledger keeps, or
// ANSWER_NOT_KEPT if it was too large to be stored or is no longer kept.
func (s *Server) writeStoredResponse(w http.ResponseWriter, q *request, a *apiv1.StoredAnswer) {
	if a.GetBodyDropped() {
		s.writeRequestError(w, q, result.New(apiv1.ResultCode_RESULT_CODE_ANSWER_NOT_KEPT, "request %s ran and answered %d; its response is no longer kept", q.id, a.GetHttpStatus()))
		return
	}
	s.writeResponse(w, q, &response{
		status:      int(a.GetHttpStatus()),
		contentType: a.GetContentType(),
		length:      int64(len(a.GetBody())),
		body:        a.GetBody(),
	})
}
