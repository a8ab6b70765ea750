package scheduler

import (
	"maps"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// demandChangeDivisor sets the change of demand that causes a report: more than
// a fourth of the demand last reported. The headroom that the control group
// adds to allotments, the parts of the teams' limits that one shard (the scheduler
// of one service) may use, covers smaller changes.
const demandChangeDivisor = 4

const (
	// decreaseDelay is how long demand must stay lower before it is reported, so
	// that sparse requests don't cause two reports each.
	decreaseDelay = 500 * time.Millisecond
	// idleCeilingTimeout is how long a shard keeps its part of a team's limit
	// while the team has no running and no queued requests.
	idleCeilingTimeout = 30 * time.Second
)

// reportState is what the shard reported to the control group about one team,
// and what the control group answered.
type reportState struct {
	// Demand in the last report that was answered, and in the one in progress.
	lastWanted, pendingWanted uint32
	// Part of the team's limit that the control group has allotted to this shard
	// and that counts against the limit (Allotment.Amount), from the last answer;
	// at least the ceiling, the most requests of the team that this shard lets run.
	amount uint32
	// Limit of the team that the ceiling respects, from the last answer. The
	// control group may have used a configuration version that this process has
	// not seen.
	limit uint32
	// While frozen the team starts nothing. It is frozen when its limit falls and
	// after a recovery, until its part of the limit is known. The answer to a
	// report with a sequence number above frozenAtSequence ends this.
	frozen           bool
	frozenAtSequence uint64
	// Last time at which the demand was at least the reported one, and at which
	// it was not zero.
	lastReached, lastUsed time.Duration
}

// freeze stops the team's starts until a report with a higher sequence number
// is answered.
func (r *reportState) freeze(sequence uint64) {
	r.frozen = true
	r.frozenAtSequence = sequence
}

// wanted is the team's demand on this shard, in slots.
func (t *teamState) wanted() uint32 { return t.running + t.queued }

// hasChanged reports whether the team belongs in the next report: the control
// group can reclaim a part of the amount, or the demand differs too much from
// the reported one. It also updates lastReached.
func (t *teamState) hasChanged(now time.Duration) bool {
	r := &t.report
	if r.frozen || max(t.ceiling, t.running) < r.amount {
		return true
	}
	wanted, margin := t.wanted(), max(1, r.lastWanted/demandChangeDivisor)
	if wanted >= r.lastWanted {
		r.lastReached = now
		return wanted > r.lastWanted && (wanted > t.ceiling || wanted-r.lastWanted > margin)
	}
	return now-r.lastReached >= decreaseDelay && (wanted == 0 || r.lastWanted-wanted > margin)
}

// DemandChanged reports whether the next Report would contain a team.
func (c *Core) DemandChanged(now time.Duration) bool {
	changed := false
	for _, t := range c.teams {
		changed = t.hasChanged(now) || changed
	}
	return changed
}

// releaseIdleCeilings sets the ceiling of idle teams to zero. The next report
// states the new ceiling, so that the control group can reclaim the amount.
func (c *Core) releaseIdleCeilings(now time.Duration) {
	for _, t := range c.teams {
		if t.wanted() > 0 {
			t.report.lastUsed = now
		} else if t.ceiling > 0 && now-t.report.lastUsed >= idleCeilingTimeout {
			t.ceiling = 0
			c.updateBlocked(now, t)
		}
	}
}

// HasAllotmentsOrDemand reports whether a team has a part of its limit here, or
// running or queued requests. Then its target, the part it is to have by the
// current demands, may change because of the demand of other shards, and an
// unchanged report is worth sending to learn it.
func (c *Core) HasAllotmentsOrDemand() bool {
	for _, t := range c.teams {
		if t.ceiling > 0 || t.report.amount > 0 || t.wanted() > 0 {
			return true
		}
	}
	return false
}

// Report returns the next demand report. It must not be called while an earlier
// report is in progress, that is, neither answered nor failed.
func (c *Core) Report(now time.Duration) *apiv1.ReportDemand {
	c.reportSequence++
	cmd := &apiv1.ReportDemand{Service: c.service, Epoch: c.epoch, Sequence: c.reportSequence}
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		t := c.teams[name]
		t.report.pendingWanted = t.report.lastWanted
		if t.hasChanged(now) {
			t.report.pendingWanted = t.wanted()
			cmd.Demands = append(cmd.Demands, t.demand())
		}
	}
	return cmd
}

// demand returns the team's part of a report. By stating a ceiling at a lowered
// target, the shard tells the control group that it starts requests of the team
// only below that number, so that the group can give the rest of the amount to
// other shards.
func (t *teamState) demand() *apiv1.TeamDemand {
	return &apiv1.TeamDemand{Team: t.name, Running: t.running, Wanted: t.wanted(), Ceiling: t.ceiling}
}

// ApplyAllotments sets the ceilings from the answer to the report with the given
// sequence number. It ignores the answer to any but the newest report: since an
// older one, the control group may have committed a reduction that this shard
// has acknowledged.
func (c *Core) ApplyAllotments(now time.Duration, sequence uint64, answer *apiv1.Allotments) {
	if sequence != c.reportSequence {
		return
	}
	amounts := make(map[string]*apiv1.Allotment, len(answer.GetAllotments()))
	for _, a := range answer.GetAllotments() {
		amounts[a.Team] = a
		c.team(now, a.Team)
	}
	for _, t := range c.teams {
		a := amounts[t.name]
		t.report.lastWanted = t.report.pendingWanted
		t.report.amount = a.GetAmount()
		t.report.limit = a.GetLimit()
		ceiling := min(a.GetAmount(), a.GetTarget())
		if sequence <= c.configSequence {
			ceiling = min(ceiling, t.ceiling) // the report is older than the configuration
		}
		t.ceiling = ceiling
		if sequence > t.report.frozenAtSequence {
			t.report.frozen = false
		}
		c.updateBlocked(now, t)
	}
}

// RecoveredDemands returns the number of running requests per team, for the
// command FinishRecovery, which ends the recovery: the shard's new host has learned
// which requests its predecessors granted. It makes that number the ceiling of the
// team. The limit may be lower, so a team starts nothing until the first report is
// answered, not even in place of a request that ends.
func (c *Core) RecoveredDemands(now time.Duration) []*apiv1.TeamDemand {
	var out []*apiv1.TeamDemand
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		t := c.teams[name]
		t.ceiling = t.running
		t.report.amount = t.running
		t.report.freeze(c.reportSequence)
		c.updateBlocked(now, t)
		if t.running > 0 {
			out = append(out, t.demand())
		}
	}
	return out
}
