package scheduler

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// minReportInterval limits the rate at which a shard, the scheduler of one
	// service, commits demand reports under load.
	minReportInterval = 100 * time.Millisecond
	// targetRefreshInterval is the interval of reports while the demand does not
	// change. The answers contain the targets, the most requests of each team that
	// the control group wants the shard to run, which also change with the demand
	// of other services.
	targetRefreshInterval = 250 * time.Millisecond
)

// reportDemand commits a demand report, which states the slots that each team
// wants and to which the control group replies with the allotments, the parts of
// the teams' limits that this shard may use. It does so in the background, and only
// if a report is due. A report without a change of demand serves to learn
// the current targets. reportDemand must be called with the lock held.
func (sh *hostedShard) reportDemand() {
	if sh.reportInFlight || !sh.core.granting || !sh.canGrant() || !sh.isReportDue() {
		return
	}
	sh.reportInFlight = true
	sh.lastReport = sh.now()
	cmd := sh.core.Report(sh.now())
	sh.host.wg.Go(func() { sh.commitDemand(cmd) })
}

// isReportDue reports whether it is time for a demand report.
func (sh *hostedShard) isReportDue() bool {
	since := sh.now() - sh.lastReport
	if sh.core.reportSequence > 0 && since < minReportInterval {
		return false
	}
	if sh.core.DemandChanged(sh.now()) {
		return true
	}
	return since >= targetRefreshInterval && sh.core.HasAllotmentsOrDemand()
}

// commitDemand commits a demand report and applies the allotments in the answer.
// After an error the report is not repeated; the next one is sent when isReportDue
// says so.
func (sh *hostedShard) commitDemand(cmd *apiv1.ReportDemand) {
	res, err := sh.execute(sh.host.ctx, &apiv1.Command{Body: &apiv1.Command_ReportDemand{ReportDemand: cmd}})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.reportInFlight = false
	if err != nil {
		sh.log.WithError(err).Debug("committing the demand report failed")
		return
	}
	sh.core.ApplyAllotments(sh.now(), cmd.Sequence, res.GetAllotments())
	sh.step()
}
