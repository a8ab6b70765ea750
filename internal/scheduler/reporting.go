package scheduler

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// minReportInterval bounds the commits a shard causes under load.
	minReportInterval = 100 * time.Millisecond
	// targetRefreshInterval is how soon a shard without changes hears of targets
	// that changed for the demand of other services.
	targetRefreshInterval = 250 * time.Millisecond
)

// reportDemand commits the demand when it changed and asks for new targets
// otherwise. It must be called with the lock held and does not block.
func (sh *hostedShard) reportDemand() {
	if sh.reportInFlight || !sh.core.granting || !sh.canGrant() || !sh.isReportDue() {
		return
	}
	sh.reportInFlight = true
	sh.lastReport = sh.now()
	cmd := sh.core.Report(sh.now())
	sh.host.wg.Go(func() { sh.commitDemand(cmd) })
}

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

func (sh *hostedShard) commitDemand(cmd *apiv1.ReportDemand) {
	res, err := sh.execute(sh.host.ctx, &apiv1.Command{Body: &apiv1.Command_ReportDemand{ReportDemand: cmd}})
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.reportInFlight = false
	if err != nil {
		sh.log.WithError(err).Debug("demand report failed")
		return
	}
	sh.core.ApplyAllotments(sh.now(), cmd.Sequence, res.GetAllotments())
	sh.step()
}
