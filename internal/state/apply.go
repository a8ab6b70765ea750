package state

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// apply applies one command, which is at the index in the log. It is
// deterministic: its result and the new state depend only on the old state, the
// index and the command.
func (s *State) apply(index uint64, cmd *apiv1.Command) *apiv1.CommandResult {
	s.AppliedIndex = index
	s.LogTimeMS = max(s.LogTimeMS, cmd.TimeUnixMs)
	res := &apiv1.CommandResult{Index: index, Status: result.OK()}
	viewChanged := s.dispatch(index, cmd, res)
	if viewChanged {
		s.ViewVersion = index
	}
	return res
}

// dispatch passes the command to the part of the state that it concerns and stores
// the outcome in res. It reports whether the command may have changed the view, the
// part of the state that entry processes receive (see State.View). These processes
// take callers' requests and send them to minions.
func (s *State) dispatch(index uint64, cmd *apiv1.Command, res *apiv1.CommandResult) bool {
	switch c := cmd.Body.(type) {
	case *apiv1.Command_PublishConfig:
		return s.applyPublish(index, c.PublishConfig, res)
	case *apiv1.Command_OpenSession:
		return s.applyOpenSession(index, c.OpenSession, res)
	case *apiv1.Command_ExpireSessions:
		s.Membership.ExpireSessions(index, c.ExpireSessions)
		s.Ledger.ExpireSessions(c.ExpireSessions.SessionIds)
		return true
	case *apiv1.Command_ReleaseSessions:
		s.Membership.ReleaseSessions(c.ReleaseSessions)
		return true
	case *apiv1.Command_FinishRecovery:
		setError(res, s.Membership.FinishRecovery(c.FinishRecovery))
		return true
	case *apiv1.Command_SetStandby:
		setError(res, s.Membership.SetStandby(c.SetStandby))
		return true
	case *apiv1.Command_ReportDemand:
		s.applyReportDemand(c.ReportDemand, res)
	case *apiv1.Command_StartRequest:
		s.applyStartRequest(c.StartRequest, res)
	case *apiv1.Command_FinishRequest:
		s.applyFinishRequest(c.FinishRequest, res)
	case *apiv1.Command_Batch:
		s.applyBatch(c.Batch, res)
	default:
		return s.dispatchFleet(cmd, res)
	}
	return false
}

func (s *State) applyBatch(cmd *apiv1.BatchCommand, res *apiv1.CommandResult) {
	out, err := s.Batch.Apply(s.LogTimeMS, cmd)
	setError(res, err)
	res.Body = &apiv1.CommandResult_Batch{Batch: out}
}

// dispatchFleet handles the commands on jobs and VMs and reports whether the view
// may have changed.
func (s *State) dispatchFleet(cmd *apiv1.Command, res *apiv1.CommandResult) bool {
	var rejected []*apiv1.Rejection
	changed := false
	switch c := cmd.Body.(type) {
	case *apiv1.Command_SubmitJob:
		s.applySubmitJob(c.SubmitJob, res)
		return false
	case *apiv1.Command_PlaceJobs:
		rejected = s.Jobs.Place(s.LogTimeMS, c.PlaceJobs, s.Index, s.Fleet, s.Membership)
	case *apiv1.Command_ReportTasks:
		changed = s.leavingVMsChangedBy(func() {
			rejected = s.Jobs.Report(s.LogTimeMS, c.ReportTasks, s.Index, s.Fleet, s.Membership)
		})
	case *apiv1.Command_ExpireLeases:
		rejected = s.Jobs.ExpireLeases(s.LogTimeMS, c.ExpireLeases, s.Membership)
	case *apiv1.Command_CancelJobs:
		rejected = s.Jobs.Cancel(s.LogTimeMS, c.CancelJobs, s.Membership)
	case *apiv1.Command_ObserveVms:
		changed = s.leavingVMsChangedBy(func() { rejected = s.Fleet.Observe(s.LogTimeMS, c.ObserveVms, s.Index) })
	case *apiv1.Command_CreateIntents:
		changed = s.leavingVMsChangedBy(func() { rejected = s.Fleet.CreateIntents(s.LogTimeMS, c.CreateIntents, s.Index) })
	case *apiv1.Command_AdvanceIntents:
		changed = s.leavingVMsChangedBy(func() { rejected = s.Fleet.AdvanceIntents(s.LogTimeMS, c.AdvanceIntents, s.Index) })
	default:
		setError(res, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the command has no body that this version knows"))
		return false
	}
	res.Body = &apiv1.CommandResult_Rejections{Rejections: &apiv1.Rejections{Rejections: rejected}}
	return changed
}

// setError sets the status of res to that of err, unless err is nil.
func setError(res *apiv1.CommandResult, err *result.Error) {
	if err != nil {
		res.Status = err.Status()
	}
}

// applyPublish publishes a configuration and reports whether the view changed.
func (s *State) applyPublish(index uint64, cmd *apiv1.PublishConfig, res *apiv1.CommandResult) bool {
	before := s.Publish.Current().Version
	out, err := s.Publish.Publish(s.LogTimeMS, cmd)
	if err != nil {
		setError(res, err)
		return false
	}
	res.Body = &apiv1.CommandResult_Publish{Publish: out}
	if s.Publish.Current().Version == before {
		return false // a duplicate submission; nothing changed
	}
	s.Index = objects.NewIndex(s.Publish.Current().Objects)
	s.Membership.SetConfig(index, s.Index)
	s.Fleet.SetConfig(s.Index)
	return true
}

// applyOpenSession opens a session, an entry process's lease, and reports whether
// the view changed.
func (s *State) applyOpenSession(index uint64, cmd *apiv1.OpenSession, res *apiv1.CommandResult) bool {
	before := s.Membership.Sessions()
	session, err := s.Membership.OpenSession(index, cmd)
	if err != nil {
		setError(res, err)
		return false
	}
	s.endRequestsOfReplacedSessions(before)
	res.Body = &apiv1.CommandResult_Session{Session: session}
	return true
}

// endRequestsOfReplacedSessions ends, in the ledger (the record of at-most-once
// requests), the started requests of the sessions that were live in before and have
// been replaced by a new session of the same process.
func (s *State) endRequestsOfReplacedSessions(before []*apiv1.Session) {
	var ids []uint64
	for _, old := range before {
		if !old.Expired && !s.Membership.IsSessionLive(old.Id) {
			ids = append(ids, old.Id)
		}
	}
	s.Ledger.ExpireSessions(ids)
}

func (s *State) applyReportDemand(cmd *apiv1.ReportDemand, res *apiv1.CommandResult) {
	out, err := s.Membership.ReportDemand(cmd)
	if err != nil {
		setError(res, err)
		return
	}
	res.Body = &apiv1.CommandResult_Allotments{Allotments: out}
}

// applyStartRequest rejects requests of expired sessions (the leases of entry
// processes): the expiry set the started requests of the session to UNKNOWN, and a
// request that started later would stay STARTED for ever. A grant is the permission
// of a shard, the scheduler of one service, to send one request to a minion. A
// command without a grant id only looks up the record of an earlier start.
func (s *State) applyStartRequest(cmd *apiv1.StartRequest, res *apiv1.CommandResult) {
	lookup := cmd.GrantId == 0
	if !lookup && !s.Membership.IsSessionLive(cmd.SessionId) {
		setError(res, result.NotRun(apiv1.ResultCode_RESULT_CODE_SESSION_EXPIRED, "session %d has expired; open a new one", cmd.SessionId))
		return
	}
	record, err := s.Ledger.Start(s.LogTimeMS, cmd)
	if err != nil {
		setError(res, err)
		return
	}
	res.Body = &apiv1.CommandResult_Request{Request: record}
}

func (s *State) applyFinishRequest(cmd *apiv1.FinishRequest, res *apiv1.CommandResult) {
	record, err := s.Ledger.Finish(s.LogTimeMS, cmd)
	if err != nil {
		setError(res, err)
		return
	}
	res.Body = &apiv1.CommandResult_Request{Request: record}
}

func (s *State) applySubmitJob(cmd *apiv1.SubmitJob, res *apiv1.CommandResult) {
	job, err := s.Jobs.Submit(s.LogTimeMS, cmd, s.Index, s.Fleet)
	if err != nil {
		setError(res, err)
		return
	}
	res.Body = &apiv1.CommandResult_Job{Job: job}
}
