package entry

import (
	"context"
	"net/http"
	"unicode/utf8"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const maxCancelBytes = 1 << 20

// jobHandler handles an authenticated call to /v1/jobs and returns the message to
// respond with.
type jobHandler func(ctx context.Context, w http.ResponseWriter, r *http.Request, who identity) (proto.Message, *result.Error)

// serveJob returns a handler that accepts, within the limit of requests in
// flight, and authenticates a call to /v1/jobs. A key is always required,
// because jobs are read and canceled by client account, and an empty client
// account stands for the operators.
func (s *Server) serveJob(fn jobHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := s.inFlight.enter(); err != nil {
			s.writeError(w, "", err)
			return
		}
		defer s.inFlight.leave()
		m, err := s.handleJobCall(fn, w, r)
		if err != nil {
			s.writeError(w, "", err)
			return
		}
		s.writeMessage(w, m)
	}
}

func (s *Server) handleJobCall(fn jobHandler, w http.ResponseWriter, r *http.Request) (proto.Message, *result.Error) {
	if !s.opts.Session.IsValid() {
		return nil, noSession()
	}
	account, team, err := s.opts.Session.Snapshot().Index.Authenticate(credentialOf(r))
	if err != nil {
		return nil, err
	}
	return fn(r.Context(), w, r, identity{account: account.Name, team: team.Name})
}

// submitJob handles POST /v1/jobs. The account and the team are those of the key,
// whatever the body names.
func (s *Server) submitJob(ctx context.Context, w http.ResponseWriter, r *http.Request, who identity) (proto.Message, *result.Error) {
	job := &apiv1.SubmitJob{}
	if err := s.decode(w, r, job, s.opts.MaxBodyBytes); err != nil {
		return nil, err
	}
	job.ClientAccount = who.account
	job.Team = who.team
	if err := s.validateJob(job); err != nil {
		return nil, err
	}
	// The key may have been revoked while the body arrived.
	if _, _, err := s.opts.Session.Snapshot().Index.Authenticate(credentialOf(r)); err != nil {
		return nil, err
	}
	if !s.opts.Session.IsValid() {
		return nil, noSession()
	}
	res, err := s.opts.Control.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_SubmitJob{SubmitJob: job}})
	if err != nil {
		return nil, result.From(err)
	}
	return withoutPayload(res.GetJob()), nil
}

// validateJob checks the queue, the team and the job id, and puts the id into its
// canonical form.
func (s *Server) validateJob(job *apiv1.SubmitJob) *result.Error {
	ix := s.opts.Session.Snapshot().Index
	queue, ok := ix.Queues[job.Queue]
	if !ok || queue.Pool == "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_UNKNOWN_QUEUE, "queue %q does not take jobs", job.Queue)
	}
	if !ix.CanUseQueue(queue, job.Team) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_NOT_ALLOWED, "team %q may not use queue %q", job.Team, job.Queue)
	}
	id, err := uuid.Parse(job.JobId)
	if err != nil || id.Version() != 7 {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID, "job_id %q is not a UUIDv7", job.JobId)
	}
	job.JobId = id.String()
	return nil
}

// getJob handles GET /v1/jobs/{id}.
func (s *Server) getJob(ctx context.Context, _ http.ResponseWriter, r *http.Request, who identity) (proto.Message, *result.Error) {
	id := r.PathValue("id")
	if !utf8.ValidString(id) { // no message can carry it
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "job id %q is not valid UTF-8", id)
	}
	job, err := s.opts.Control.GetJob(ctx, &apiv1.GetJob{JobId: id, ClientAccount: who.account})
	if err != nil {
		return nil, result.From(err)
	}
	return withoutPayload(job), nil
}

// cancelJobs handles POST /v1/jobs/cancel. It returns the jobs that could not be
// canceled.
func (s *Server) cancelJobs(ctx context.Context, w http.ResponseWriter, r *http.Request, who identity) (proto.Message, *result.Error) {
	cmd := &apiv1.CancelJobs{}
	if err := s.decode(w, r, cmd, maxCancelBytes); err != nil {
		return nil, err
	}
	cmd.ClientAccount = who.account
	res, err := s.opts.Control.Execute(ctx, &apiv1.Command{Body: &apiv1.Command_CancelJobs{CancelJobs: cmd}})
	if err != nil {
		return nil, result.From(err)
	}
	if res.GetRejections() == nil {
		return &apiv1.Rejections{}, nil
	}
	return res.GetRejections(), nil
}

// withoutPayload returns a copy of the job without its payload, or an empty job
// for nil.
func withoutPayload(job *apiv1.Job) *apiv1.Job {
	if job == nil {
		return &apiv1.Job{}
	}
	c := proto.CloneOf(job)
	c.Payload = nil
	return c
}
