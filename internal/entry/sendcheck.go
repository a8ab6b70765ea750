package entry

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// checkBeforeSend runs right before the first byte of a request is sent to a
// minion, a process that serves the service. Time may have passed since the grant
// (the permission to send the request to the minion), for example because the
// process was paused, so checkBeforeSend repeats every earlier check. Its errors
// are marked as not run: the caller may send the request again.
func (s *Server) checkBeforeSend(q *request, h *heldGrant) *result.Error {
	if !s.opts.Session.IsValid() || s.opts.Session.ID() != h.sessionID {
		return noSession()
	}
	if q.ctx.Err() != nil {
		return deadlineTooShort()
	}
	now := s.opts.Clock.Now()
	if now >= h.startBy {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_STALE_GRANT, "the grant was not used within %d ms", h.StartWithinMs)
	}
	if now >= q.deadline {
		return deadlineTooShort()
	}
	if err := s.grants.checkEpoch(h); err != nil {
		return err
	}
	return s.checkAgainstView(q, h)
}

// checkAgainstView checks the request and the grant against the current view,
// the part of the control group's replicated state that entry processes get.
func (s *Server) checkAgainstView(q *request, h *heldGrant) *result.Error {
	snap := s.opts.Session.Snapshot()
	queue, err := queueForService(snap.Index, q.queue, q.service)
	if err != nil {
		return err
	}
	who, err := authorize(snap.Index, q.credential, queue)
	if err != nil {
		return err
	}
	if who != q.identity {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_STALE_GRANT, "the key was moved to another client account or team")
	}
	if !snap.Index.IsZoneIn(h.AvailabilityZone) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_ZONE_OUT, "availability zone %q is out of service", h.AvailabilityZone)
	}
	if slices.Contains(snap.View.GetLeavingVms(), h.Vm) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_STALE_GRANT, "VM %q is leaving", h.Vm)
	}
	if shard := snap.Shard(q.service); shard.GetEpoch() > h.Epoch {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_STALE_GRANT, "the grant's epoch %d is older than %d", h.Epoch, shard.GetEpoch())
	}
	return nil
}
