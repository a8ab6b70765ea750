package scheduler

import (
	"maps"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// demandChangePart is the part of the last reported demand by which the demand
// must change before it is reported; the headroom of allotments covers less.
const demandChangePart = 4

// reportState is what the control group knows of a team on this shard.
type reportState struct {
	// Demand in the last report that was answered, and in the one under way.
	wanted, sent uint32
	// Committed amount in the last answer; at least the ceiling.
	amount uint32
	// While frozen the team starts nothing, until a report made after frozenAt
	// is answered.
	frozen   bool
	frozenAt uint64
}

func (r *reportState) freeze(sequence uint64) {
	r.frozen = true
	r.frozenAt = sequence
}

func (t *teamState) wanted() uint32 { return t.running + t.queued }

// changed reports whether the control group should hear of the team: it can
// take back an amount, or the demand differs too much.
func (t *teamState) changed() bool {
	r := &t.report
	if r.frozen || max(t.ceiling, t.running) < r.amount {
		return true
	}
	wanted := t.wanted()
	if (wanted == 0) != (r.wanted == 0) {
		return true
	}
	if wanted > r.wanted && wanted > t.ceiling {
		return true
	}
	return max(wanted, r.wanted)-min(wanted, r.wanted) > max(1, r.wanted/demandChangePart)
}

// DemandChanged reports whether Report would name a team.
func (c *Core) DemandChanged() bool {
	for _, t := range c.teams {
		if t.changed() {
			return true
		}
	}
	return false
}

// HoldsAllotments reports whether targets may change without a change here.
func (c *Core) HoldsAllotments() bool {
	for _, t := range c.teams {
		if t.ceiling > 0 || t.report.amount > 0 || t.wanted() > 0 {
			return true
		}
	}
	return false
}

// Report returns the next demand report. A report must be answered or have
// failed before the next one is made.
func (c *Core) Report() *apiv1.ReportDemand {
	c.sequence++
	cmd := &apiv1.ReportDemand{Service: c.service, Epoch: c.epoch, Sequence: c.sequence}
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		t := c.teams[name]
		t.report.sent = t.report.wanted
		if t.changed() {
			t.report.sent = t.wanted()
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
	if sequence != c.sequence {
		return
	}
	amounts := make(map[string]*apiv1.Allotment, len(answer.GetAllotments()))
	for _, a := range answer.GetAllotments() {
		amounts[a.Team] = a
		c.team(now, a.Team)
	}
	for _, t := range c.teams {
		a := amounts[t.name]
		t.report.wanted = t.report.sent
		t.report.amount = a.GetAmount()
		t.ceiling = min(a.GetAmount(), a.GetTarget())
		if sequence > t.report.frozenAt {
			t.report.frozen = false
		}
		c.updateBlocked(now, t)
	}
}

// Counted returns what runs per team, for FinishRecovery, and makes it the
// ceiling of each team.
func (c *Core) Counted(now time.Duration) []*apiv1.TeamDemand {
	var out []*apiv1.TeamDemand
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		t := c.teams[name]
		t.ceiling = t.running
		t.report.amount = t.running
		c.updateBlocked(now, t)
		if t.running > 0 {
			out = append(out, t.demand())
		}
	}
	return out
}
