package batchservice

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// confirmTimeout bounds the wait for a quorum's confirmation of a read. A
// leader that gets none within this time is assumed to have lost leadership.
const confirmTimeout = time.Second

// submit proposes a job, unless it can't be started in time. The call's path names
// the job id, the queue and the client account; those in the request's job are
// overwritten. It is decoded when its turn has come.
func (s *Server) submit(ctx context.Context, d *dispatch.Dispatcher, req *apiv1.EncodedSubmission) (*apiv1.SubmitBatchResponse, error) {
	var caller batch.AuthorizedCall
	accepted := false
	err := s.readCall(ctx, req.Call, func(st *batch.State, authorized batch.AuthorizedCall) *result.Error {
		caller, accepted = authorized, st.Job(authorized.Subpath) != nil
		return nil
	})
	if err != nil {
		return nil, err
	}
	if req.Job == nil {
		return nil, errWithout("job")
	}
	if err := checkJobID(caller.Subpath); err != nil {
		return nil, err
	}
	if accepted { // by an earlier submission, whose answer was lost
		return &apiv1.SubmitBatchResponse{}, nil
	}
	leave, err := s.largeJobs.enter(ctx, caller.Subpath, len(req.Job), func() bool { return d.MayBeAccepted(caller.Subpath) })
	if err != nil {
		return nil, err
	}
	defer leave()
	job := &apiv1.BatchJob{}
	if err := proto.Unmarshal(req.Job, job); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "job does not decode: %v", err)
	}
	job.Id = caller.Subpath
	job.Queue, job.Account, job.AcceptedQueue = caller.Queue.Name, caller.Account, caller.Queue
	if refused := batch.CheckSubmission(job); refused != nil {
		return nil, refused
	}
	deadline, bounded := ctx.Deadline()
	inTime := !bounded || s.commits.allows(time.Until(deadline))
	if refused := d.AdmitJob(job, inTime); refused != nil {
		return nil, refused // logged by the process that the caller is connected to
	}
	start := time.Now()
	_, err = s.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Submit{Submit: job}})
	s.commits.observe(time.Since(start))
	d.SubmissionEnded(job.Id, err)
	s.logCall("job submitted", err, logrus.Fields{"job_id": job.Id, "queue": job.Queue, "account": job.Account, "steps": len(job.Steps)})
	return &apiv1.SubmitBatchResponse{}, err
}

// errWithout returns the error for a request that lacks a part.
func errWithout(part string) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "request has no %s", part)
}

// jobIDDigits is the length of a job id in hexadecimal digits.
const jobIDDigits = 16

// isValidJobID reports whether id consists of jobIDDigits hexadecimal digits.
func isValidJobID(id string) bool {
	if len(id) != jobIDDigits {
		return false
	}
	_, err := hex.DecodeString(id)
	return err == nil
}

// checkJobID returns NOT_FOUND unless id is a job id. What follows the prefix of a queue
// is none when it belongs to a queue that was removed and whose prefix was longer, so it
// doesn't show that the job is gone.
func checkJobID(id string) *result.Error {
	if !isValidJobID(id) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "%q is not a job id", id)
	}
	return nil
}

// logCall logs a call that may have changed state, with its result code. msg names
// the call and is the same when it failed or was refused, so only code and error
// tell whether it took effect.
func (s *Server) logCall(msg string, err error, fields logrus.Fields) {
	entry := s.opts.Log.WithFields(fields).WithField("code", int32(result.CodeOf(err)))
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info(msg)
}

// get returns the state of the job that the call's path names, or the number of
// waiting jobs if the path names only a queue. A job that the caller may not see is
// reported as not found.
func (s *Server) get(ctx context.Context, _ *dispatch.Dispatcher, req *apiv1.GetBatchRequest) (*apiv1.GetBatchResponse, error) {
	resp := &apiv1.GetBatchResponse{}
	err := s.readCall(ctx, req.Call, func(st *batch.State, caller batch.AuthorizedCall) *result.Error {
		if caller.Subpath == "" {
			resp.IsQueue, resp.Waiting = true, st.QueuedJobs(caller.Queue.Name)
			return nil
		}
		if refused := checkJobID(caller.Subpath); refused != nil {
			return refused
		}
		j := st.Job(caller.Subpath)
		if j == nil || !st.VisibleTo(j, caller.Account) {
			return result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "no job %s", caller.Subpath)
		}
		resp.State = j.State
		return nil
	})
	return resp, err
}

// cancel proposes the cancellation of the job that the call's path names. The command
// is proposed also when the job is not known yet, because its submission may be committed
// before it.
func (s *Server) cancel(ctx context.Context, _ *dispatch.Dispatcher, req *apiv1.CancelBatchRequest) (*apiv1.Empty, error) {
	cmd := &apiv1.CancelBatchJob{}
	err := s.readCall(ctx, req.Call, func(st *batch.State, caller batch.AuthorizedCall) *result.Error {
		cmd.JobId, cmd.Account = caller.Subpath, caller.Account
		// Decided here and not when the command is applied, so that replicas of an
		// earlier version, which know no visibility by queue, apply the same.
		j := st.Job(cmd.JobId)
		cmd.AnyAccount = j != nil && st.VisibleTo(j, cmd.Account)
		return checkJobID(cmd.JobId)
	})
	if err != nil {
		return nil, err
	}
	_, err = s.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_Cancel{Cancel: cmd}})
	s.logCall("job canceled", err, logrus.Fields{"job_id": cmd.JobId, "account": cmd.Account})
	return &apiv1.Empty{}, err
}

// putCatalog proposes a catalog, the batch configuration of queues, pools and
// client accounts.
func (s *Server) putCatalog(ctx context.Context, _ *dispatch.Dispatcher, req *apiv1.PutCatalogRequest) (*apiv1.Empty, error) {
	if req.Catalog == nil {
		return nil, errWithout("catalog")
	}
	res, err := s.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_PutCatalog{PutCatalog: req.Catalog}})
	s.logCall("catalog received", err, logrus.Fields{"version": req.Catalog.GetVersion(), "version_in_force": res.GetCatalogVersion()})
	return &apiv1.Empty{}, err
}

func (s *Server) getCatalog(ctx context.Context, _ *dispatch.Dispatcher, _ *apiv1.GetCatalogRequest) (*apiv1.GetCatalogResponse, error) {
	resp := &apiv1.GetCatalogResponse{}
	err := s.read(ctx, func(st *batch.State) {
		resp.Version, resp.Source = st.Catalog().Version, st.Catalog().Source
	})
	if err == nil && resp.Version == 0 {
		err = result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, "no catalog has been published yet")
	}
	return resp, err
}

func (s *Server) setZone(ctx context.Context, _ *dispatch.Dispatcher, req *apiv1.SetZoneService) (*apiv1.Empty, error) {
	_, err := s.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_SetZone{SetZone: req}})
	s.logCall("zone service changed", err, logrus.Fields{"availability_zone": req.AvailabilityZone, "out": req.Out})
	return &apiv1.Empty{}, err
}

// startWave proposes a maintenance wave. The request carries a duration; its due
// time is computed from the leader's wall clock.
func (s *Server) startWave(ctx context.Context, _ *dispatch.Dispatcher, req *apiv1.StartWaveRequest) (*apiv1.Empty, error) {
	if req.Wave == nil {
		return nil, errWithout("wave")
	}
	req.Wave.DueUnixMs = time.Now().UnixMilli() + int64(req.DurationMs)
	_, err := s.propose(ctx, &apiv1.BatchCommand{Body: &apiv1.BatchCommand_StartWave{StartWave: req.Wave}})
	s.logCall("maintenance wave received", err, logrus.Fields{"wave": req.Wave.Number, "machines": len(req.Wave.Machines), "max_down": req.Wave.MaxDown})
	return &apiv1.Empty{}, err
}

func (s *Server) getWave(ctx context.Context, _ *dispatch.Dispatcher, req *apiv1.GetWaveRequest) (*apiv1.GetWaveResponse, error) {
	var wave *apiv1.GetWaveResponse
	err := s.read(ctx, func(st *batch.State) {
		if w := st.Wave(req.Number); w != nil {
			wave = &apiv1.GetWaveResponse{Completed: w.Completed}
		}
	})
	if err == nil && wave == nil {
		err = result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "no wave %d", req.Number)
	}
	return wave, err
}

// announceAll records announcements of minions.
func (s *Server) announceAll(ctx context.Context, d *dispatch.Dispatcher, req *apiv1.AnnounceMinionsRequest) (*apiv1.AnnounceMinionsResponse, error) {
	resp := &apiv1.AnnounceMinionsResponse{Results: make([]*apiv1.Status, len(req.Announcements))}
	now := time.Now().UnixMilli()
	var wg sync.WaitGroup
	for i, a := range req.Announcements {
		wg.Go(func() {
			err := announce(ctx, d, a, now)
			resp.Results[i] = result.OK()
			if err != nil {
				resp.Results[i] = result.From(err).Status()
			}
		})
	}
	wg.Wait()
	return resp, nil
}

// announce records an announcement. A notice of leaving carries an id, and the start of
// the incarnation where that is known. Announce itself sets aside an announcement whose
// fault shows only beside the state.
func announce(ctx context.Context, d *dispatch.Dispatcher, req *apiv1.AnnounceMinionRequest, nowUnixMS int64) error {
	if req.Minion.GetLife().GetId() == "" {
		return errWithout("minion")
	}
	if !req.Leaves {
		req.Minion.Sequence = req.Sequence
		if fault := batch.FaultOf(req.Minion, nowUnixMS); fault != batch.NoFault {
			d.NoteSetAside(req.Minion, fault)
			return fault.Error(req.Minion)
		}
	}
	return d.Announce(ctx, req)
}
