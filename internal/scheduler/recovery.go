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
	// mirroredReportTimeout is how long a successor with a mirror waits for the
	// reports. They only free slots earlier, and the processes of a lost
	// availability zone stay live for up to a session's TTL.
	mirroredReportTimeout = 300 * time.Millisecond
)

// recover counts the grants of earlier epochs and then starts granting. It
// needs the report of every session that was open at the assignment. For a
// session that expires first, it waits until none of its requests for this
// service can run.
func (sh *hostedShard) recover(ctx context.Context) {
	began := sh.now()
	if !sh.collectReports(ctx) || !sh.finishRecovery(ctx) || !sh.startGranting(began) {
		return
	}
	sh.maintainStandby(ctx)
}

func (sh *hostedShard) startGranting(began time.Duration) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.stopReason != nil {
		return false
	}
	sh.core.StartGranting()
	took := sh.now() - began
	sh.host.metrics.observeRecovery(sh.assigned.Service, took)
	sh.log.WithField("recovery_seconds", took.Seconds()).Info("shard grants")
	sh.step()
	sh.reportDemand()
	return true
}

// collectReports returns true once all reports are in, false when ctx ended.
func (sh *hostedShard) collectReports(ctx context.Context) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sh.addMirrorCopies()
	began := sh.now()
	answers := make(chan *apiv1.GrantReport)
	asked := map[uint64]bool{}
	answered := map[uint64]bool{}
	ended := map[uint64]time.Duration{}
	for {
		open := sh.pendingSessions(answered, ended)
		if sh.hasView() && (len(open) == 0 || sh.hasMirror && sh.now()-began >= mirroredReportTimeout) {
			return true
		}
		for _, s := range open {
			if !s.Expired && !asked[s.Id] {
				asked[s.Id] = true
				sh.host.wg.Go(func() { sh.requestReport(ctx, s, answers) })
			}
		}
		select {
		case <-ctx.Done():
			return false
		case <-sh.viewChanged:
		case <-time.After(retryInterval):
		case report := <-answers:
			answered[report.SessionId] = true
			sh.addReport(report)
		}
	}
}

func (sh *hostedShard) hasView() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.snap != nil
}

// pendingSessions lists the sessions of the newest view that may hold grants of
// earlier epochs. A session opened since the assignment holds none: its first
// view already names this epoch. An expired session holds none after the
// longest deadline of the service, counted from when the expiry was seen, or
// once it is released. The release alone would make the service wait for the
// longest deadline of all services. The first sight of expiries is kept in
// ended.
func (sh *hostedShard) pendingSessions(answered map[uint64]bool, ended map[uint64]time.Duration) []*apiv1.Session {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var open []*apiv1.Session
	sh.recoveryWaitsFor = nil
	if sh.snap == nil {
		return nil
	}
	for _, s := range sh.snap.View.GetSessions() {
		if s.OpenedIndex >= sh.assigned.AssignedIndex || answered[s.Id] {
			continue
		}
		state := "report"
		if s.Expired && sh.hasMirror {
			continue // its grants are among the copies
		}
		if s.Expired {
			left := sh.grantsEndBy(s.Id, ended) - sh.now()
			if left <= 0 {
				continue
			}
			state = fmt.Sprintf("release (at most %v)", left.Round(time.Millisecond))
		}
		open = append(open, s)
		sh.recoveryWaitsFor = append(sh.recoveryWaitsFor, fmt.Sprintf("%s of session %d of %s", state, s.Id, s.ProcessId))
	}
	return open
}

// grantsEndBy is the time after which no request of an expired session runs. An
// entry starts nothing after its expiry, so the requests it had then end
// within the longest deadline.
func (sh *hostedShard) grantsEndBy(session uint64, ended map[uint64]time.Duration) time.Duration {
	seen, ok := ended[session]
	if !ok {
		seen = sh.now()
		ended[session] = seen
	}
	longest := sh.snap.Shard(sh.assigned.Service).GetMaxDeadlineMs()
	if longest == 0 {
		return math.MaxInt64 // unknown: only the release ends the wait
	}
	return seen + time.Duration(longest)*time.Millisecond + grantExpiryMargin
}

// addMirrorCopies counts what the ended host had mirrored to this process.
func (sh *hostedShard) addMirrorCopies() {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.AddMirrored(sh.now(), sh.mirrorCopies)
	sh.mirrorCopies = nil
}

func (sh *hostedShard) addReport(report *apiv1.GrantReport) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.core.DropUnreported(sh.now(), report)
	sh.core.AddReported(sh.now(), report)
}

// requestReport ends when the session answered or no longer needs to be
// asked. An answer from another session at the same address does not count:
// the asked one has ended and is released in its time.
func (sh *hostedShard) requestReport(ctx context.Context, s *apiv1.Session, answers chan<- *apiv1.GrantReport) {
	req := &apiv1.ReportGrants{Service: sh.assigned.Service, Epoch: sh.assigned.Epoch}
	for ctx.Err() == nil && sh.isSessionLive(s.Id) {
		report := &apiv1.GrantReport{}
		call, cancel := context.WithTimeout(ctx, reportGrantsTimeout)
		err := sh.host.opts.RPCClient.Call(call, s.RpcAddress, "Entry.ReportGrants", req, report)
		cancel()
		if err == nil && report.SessionId == s.Id {
			select {
			case answers <- report:
			case <-ctx.Done():
			}
			return
		}
		sh.log.WithError(err).WithField("session_id", s.Id).Debug("grant report is missing")
		sleep(ctx, retryInterval)
	}
}

func (sh *hostedShard) isSessionLive(id uint64) bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.snap.Session(id)
	return s != nil && !s.Expired
}

// finishRecovery commits the counts. It returns false when the epoch or ctx
// ended.
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
			sh.log.WithError(err).Info("shard moved during its recovery")
			return false
		}
		sh.log.WithError(err).Warn("recovery is not committed yet")
		sleep(ctx, retryInterval)
	}
	return false
}

// execute commits a command and turns a status in the result into an error.
func (sh *hostedShard) execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, executeTimeout)
	defer cancel()
	res, err := sh.host.opts.Control.Execute(ctx, cmd)
	if err != nil {
		return nil, err
	}
	return res, result.FromStatus(res.GetStatus())
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
