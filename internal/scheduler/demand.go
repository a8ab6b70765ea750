package scheduler

import (
	"maps"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// demandChangeDivisor is the part of the last reported demand by which the demand
// must change before it is reported; the headroom of allotments covers less.
const demandChangeDivisor = 4

const (
	// decreaseDelay is how long demand must stay lower before it is reported, so
	// that sparse requests don't cause two reports each.
	decreaseDelay = 500 * time.Millisecond
	// idleCeilingTimeout is how long a shard keeps its part of a limit without use.
	idleCeilingTimeout = 30 * time.Second
)

// reportState is what the control group knows of a team on this shard.
type reportState struct {
	// Demand in the last report that was answered, and in the one under way.
	lastWanted, pendingWanted uint32
	// Committed amount in the last answer; at least the ceiling.
	amount uint32
	// Limit that the ceiling keeps. The answer may follow a configuration that
	// this process has not seen.
	limit uint32
	// While frozen the team starts nothing, until a report made after frozenAt
	// is answered.
	frozen           bool
	frozenAtSequence uint64
	// When the demand was last at least the reported one, and when it was last
	// not zero.
	lastReached, lastUsed time.Duration
}

func (r *reportState) freeze(sequence uint64) {
	r.frozen = true
	r.frozenAtSequence = sequence
}

func (t *teamState) wanted() uint32 { return t.running + t.queued }

// hasChanged reports whether the control group should hear of the team: it can
// take back an amount, or the demand differs too much.
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

// DemandChanged reports whether Report would name a team.
func (c *Core) DemandChanged(now time.Duration) bool {
	changed := false
	for _, t := range c.teams {
		changed = t.hasChanged(now) || changed
	}
	return changed
}

// releaseIdleCeilings sets the ceiling of teams without use to zero, which the next
// report acknowledges.
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

// HasAllotmentsOrDemand reports whether targets may change without a change here.
func (c *Core) HasAllotmentsOrDemand() bool {
	for _, t := range c.teams {
		if t.ceiling > 0 || t.report.amount > 0 || t.wanted() > 0 {
			return true
		}
	}
	return false
}

// Report returns the next demand report. A report must be answered or have
// failed before the next one is made.
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

func (t *teamState) demand() *apiv1.TeamDemand {
	return &apiv1.TeamDemand{Team: t.name, Running: t.running, Wanted: t.wanted(), Ceiling: t.ceiling}
}

// ApplyAllotments takes over the answer to the newest report. It ignores the
// answer to an older one: the control group may have committed a shrink that
// this shard acknowledged since.
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
			ceiling = min(ceiling, t.ceiling) // made before the newest view
		}
		t.ceiling = ceiling
		if sequence > t.report.frozenAtSequence {
			t.report.frozen = false
		}
		c.updateBlocked(now, t)
	}
}

// RecoveredDemands returns what runs per team, for FinishRecovery, and makes it the
// ceiling of each team. The limit may be below what runs, so a team starts
// nothing, not even in place of what ends, before the first report is answered.
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
