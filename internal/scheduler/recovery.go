package scheduler

import (
	"context"
	"fmt"
	"math"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	reportGrantsTimeout = time.Second
	retryInterval       = 100 * time.Millisecond
	executeTimeout      = 2 * time.Second
	// mirroredReportTimeout is how long a new host that has the mirror of the
	// previous one, a copy of its grants (permissions to send one request to a
	// minion), waits for the entry processes' reports of the grants that they hold.
	// The host needs the reports only to free slots earlier, and after the loss of
	// an availability zone the sessions of the lost processes stay live for up to
	// their TTL.
	mirroredReportTimeout = 300 * time.Millisecond
)

// recover runs one epoch of the shard, the scheduler of one service, on this
// host: it does the recovery, that is, adds the grants of earlier epochs to the
// core, starts granting, and then maintains a standby (the process that is to
// take the shard over) until ctx ends. The recovery needs the grant report of
// every session (an entry process's lease with the control group) that was open
// when the shard was assigned. For a session that expires without a report, the
// recovery waits until none of the session's requests for this service can run
// any more.
func (sh *hostedShard) recover(ctx context.Context) {
	start := sh.now()
	if !sh.collectReports(ctx) || !sh.finishRecovery(ctx) || !sh.startGranting(start) {
		return
	}
	sh.maintainStandby(ctx)
}

// startGranting ends the recovery that began at start. It returns false when
// the shard was stopped in the meantime.
func (sh *hostedShard) startGranting(start time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.stopReason != nil {
		return false
	}
	sh.core.StartGranting()
	took := sh.now() - start
	sh.host.metrics.observeRecovery(sh.assigned.Service, took)
	sh.log.WithField("recovery_seconds", took.Seconds()).Info("shard recovered, granting slots")
	sh.step()
	sh.reportDemand()
	return true
}

// collectReports adds the grants of earlier epochs to the core, from the mirror
// and from the sessions' reports. It returns true once all of them are known,
// or false when ctx ends first.
func (sh *hostedShard) collectReports(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sh.addMirrorCopies()
	start := sh.now()
	reports := make(chan *apiv1.GrantReport)
	requested := map[uint64]bool{}
	received := map[uint64]bool{}
	expirySeen := map[uint64]time.Duration{}
	for {
		pending := sh.pendingSessions(received, expirySeen)
		if sh.hasView() && (len(pending) == 0 || sh.hasMirror && sh.now()-start >= mirroredReportTimeout) {
			return true
		}
		for _, s := range pending {
			if !s.Expired && !requested[s.Id] {
				requested[s.Id] = true
				sh.host.wg.Go(func() { sh.requestReport(ctx, s, reports) })
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-sh.viewChanged:
		case <-time.After(retryInterval):
		case report := <-reports:
			received[report.SessionId] = true
			sh.addReport(report)
		}
	}
}

func (sh *hostedShard) hasView() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.snap != nil
}

// pendingSessions returns the sessions of the newest view that may hold grants of
// earlier epochs and whose report has not been received. A session opened since
// the assignment holds none: its first view already names this epoch. An expired
// session holds none once it is released, nor after the longest request timeout
// of the service (max_deadline_ms), counted from the time at which the expiry was
// first seen. To wait for the release alone would take the longest request
// timeout of all services. pendingSessions records the first sight of expiries in
// expirySeen.
func (sh *hostedShard) pendingSessions(received map[uint64]bool, expirySeen map[uint64]time.Duration) []*apiv1.Session {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var pending []*apiv1.Session
	sh.recoveryWaitsFor = nil
	if sh.snap == nil {
		return nil
	}
	for _, s := range sh.snap.View.GetSessions() {
		if s.OpenedIndex >= sh.assigned.AssignedIndex || received[s.Id] {
			continue
		}
		state := "report"
		if s.Expired && sh.hasMirror {
			continue // its grants are in the mirror
		}
		if s.Expired {
			left := sh.grantsEndBy(s.Id, expirySeen) - sh.now()
			if left <= 0 {
				continue
			}
			state = fmt.Sprintf("release (at most %v)", left.Round(time.Millisecond))
		}
		pending = append(pending, s)
		sh.recoveryWaitsFor = append(sh.recoveryWaitsFor, fmt.Sprintf("%s of session %d of %s", state, s.Id, s.ProcessId))
	}
	return pending
}

// grantsEndBy returns the time after which no request of an expired session runs.
// An entry process starts nothing after its session has expired, so the requests
// that ran then end within the longest request timeout.
func (sh *hostedShard) grantsEndBy(session uint64, expirySeen map[uint64]time.Duration) time.Duration {
	seen, ok := expirySeen[session]
	if !ok {
		seen = sh.now()
		expirySeen[session] = seen
	}
	longest := sh.snap.Shard(sh.assigned.Service).GetMaxDeadlineMs()
	if longest == 0 {
		return math.MaxInt64 // unknown: only the release ends the wait
	}
	return seen + time.Duration(longest)*time.Millisecond + grantExpiryMargin
}

// addMirrorCopies adds the grants that the previous host mirrored to this
// process.
func (sh *hostedShard) addMirrorCopies() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.AddMirrored(sh.now(), sh.mirrorCopies)
	sh.mirrorCopies = nil
}

// addReport adds the grants of a session's report and removes mirrored grants of
// the session that it does not name.
func (sh *hostedShard) addReport(report *apiv1.GrantReport) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.DropUnreported(sh.now(), report)
	sh.core.AddReported(sh.now(), report)
}

// requestReport requests the grant report of a session until it receives it or
// the session is no longer live. It ignores a report of another session at the
// same address: the requested session has ended then, and pendingSessions waits
// for its expiry and release.
func (sh *hostedShard) requestReport(ctx context.Context, s *apiv1.Session, reports chan<- *apiv1.GrantReport) {
	req := &apiv1.ReportGrants{Service: sh.assigned.Service, Epoch: sh.assigned.Epoch}
	for ctx.Err() == nil && sh.isSessionLive(s.Id) {
		report := &apiv1.GrantReport{}
		call, cancel := context.WithTimeout(ctx, reportGrantsTimeout)
		err := sh.host.opts.RPCClient.Call(call, s.RpcAddress, "Entry.ReportGrants", req, report)
		cancel()
		if err == nil && report.SessionId == s.Id {
			select {
			case reports <- report:
			case <-ctx.Done():
			}
			return
		}
		sh.log.WithError(err).WithField("session_id", s.Id).Debug("no grant report received, retrying")
		sleep(ctx, retryInterval)
	}
}

func (sh *hostedShard) isSessionLive(id uint64) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.snap.Session(id)
	return s != nil && !s.Expired
}

// finishRecovery commits the number of running requests per team. It returns
// false when the epoch or ctx has ended.
func (sh *hostedShard) finishRecovery(ctx context.Context) bool {
	for ctx.Err() == nil {
		sh.mu.Lock()
		cmd := &apiv1.FinishRecovery{Service: sh.assigned.Service, Epoch: sh.assigned.Epoch, Demands: sh.core.RecoveredDemands(sh.now())}
		sh.mu.Unlock()
		_, err := sh.execute(ctx, &apiv1.Command{Body: &apiv1.Command_FinishRecovery{FinishRecovery: cmd}})
		if err == nil {
			return true
		}
		if result.CodeOf(err) == apiv1.ResultCode_RESULT_CODE_EPOCH_STALE {
			sh.log.WithError(err).Info("shard was assigned to another process during its recovery")
			return false
		}
		sh.log.WithError(err).Warn("committing the recovery failed, retrying")
		sleep(ctx, retryInterval)
	}
	return false
}

// execute commits a command and returns its result. A failure status in the
// result is returned as an error.
func (sh *hostedShard) execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, executeTimeout)
	defer cancel()
	res, err := sh.host.opts.Control.Execute(ctx, cmd)
	if err != nil {
		return nil, err
	}
	return res, result.FromStatus(res.GetStatus())
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
