package scheduler

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"bergamotdrum.example/bergamotdrum/internal/fairshare"
)

// ShardDump is the state of one shard, the scheduler of one service, for the state
// dump that operators request. A grant is the permission to send one request to a
// minion.
type ShardDump struct {
	Service  string `json:"service"`
	Epoch    uint64 `json:"epoch"`
	Granting bool   `json:"granting"`
	// What the recovery, in which a new host learns the grants of earlier hosts,
	// waits for: one text for each session of an entry process.
	RecoveryWaitsFor []string `json:"recovery_waits_for,omitempty"`
	// Session of the process that may be the committed standby, which has a copy of
	// the grants to take the shard over.
	Standby uint64 `json:"standby,omitempty"`
	// Undelivered grants: those that wait for the standby's acknowledgement before
	// they are delivered. Grants counts them too.
	HeldGrants int             `json:"held,omitempty"`
	Grants     int             `json:"grants"`
	Queued     int             `json:"queued"`
	Slots      uint32          `json:"slots"`
	FreeSlots  uint32          `json:"free_slots"`
	MeanSlotMS float64         `json:"mean_slot_ms"`
	Teams      []TeamDump      `json:"teams"`
	Minions    []MinionDump    `json:"minions"`
	QueueHeads []QueueHeadDump `json:"queue_heads"`
}

// TeamDump is the usage of a team, its fair share and its limit. UsedPart and
// SharePart are its fractions of the usage and of the weight of all teams that
// used slots lately or have running or queued requests. Ceiling is the most
// requests of the team that the shard lets run; a Frozen team starts none.
type TeamDump struct {
	Team            string  `json:"team"`
	Running         uint32  `json:"running"`
	Queued          uint32  `json:"queued"`
	Ceiling         uint32  `json:"ceiling"`
	Limit           uint32  `json:"limit"`
	Frozen          bool    `json:"frozen,omitempty"`
	UsedSlotSeconds float64 `json:"used_slot_seconds"`
	UsedPart        float64 `json:"used_part"`
	SharePart       float64 `json:"share_part"`
}

// MinionDump is one minion and, when it gets no requests, the reason (Excluded).
type MinionDump struct {
	Minion   string `json:"minion"`
	VM       string `json:"vm"`
	Zone     string `json:"availability_zone"`
	Rack     string `json:"rack"`
	Used     uint32 `json:"used"`
	Slots    uint32 `json:"slots"`
	Failures int    `json:"failures_in_row,omitempty"`
	Excluded string `json:"excluded,omitempty"`
}

// QueueHeadDump is the oldest queued request of a team and class, and the reason
// why it waits.
type QueueHeadDump struct {
	Team        string `json:"team"`
	Class       string `json:"class"`
	WaitedMS    int64  `json:"waited_ms"`
	RemainingMS int64  `json:"left_ms"`
	Reason      string `json:"reason"`
}

// Dump returns the shard's state.
func (c *Core) Dump(now time.Duration) *ShardDump {
	slots, free := c.usableSlots(now)
	d := &ShardDump{
		Service:    c.service,
		Epoch:      c.epoch,
		Granting:   c.granting,
		Grants:     len(c.grants),
		Queued:     len(c.waiting),
		Slots:      slots,
		FreeSlots:  free,
		MeanSlotMS: c.slotTimes.mean * 1000,
	}
	d.Teams = c.dumpTeams(now)
	for _, id := range slices.Sorted(maps.Keys(c.minions)) {
		d.Minions = append(d.Minions, c.dumpMinion(now, c.minions[id]))
	}
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		d.QueueHeads = append(d.QueueHeads, c.dumpHeads(now, c.teams[name])...)
	}
	return d
}

func (c *Core) dumpTeams(now time.Duration) []TeamDump {
	var out []TeamDump
	used, weights := 0.0, uint64(0)
	for _, name := range slices.Sorted(maps.Keys(c.teams)) {
		t := c.teams[name]
		usage := c.picker.Usage(now, name)
		if usage > 0 || t.wanted() > 0 {
			used += usage
			weights += c.weight(t)
		}
		out = append(out, TeamDump{
			Team: name, Running: t.running, Queued: t.queued, Ceiling: t.ceiling,
			Limit: c.index.MaxRunning(name), Frozen: t.report.frozen, UsedSlotSeconds: usage,
		})
	}
	for i := range out {
		t := &out[i]
		if t.UsedSlotSeconds > 0 {
			t.UsedPart = t.UsedSlotSeconds / used
		}
		if t.UsedSlotSeconds > 0 || t.Running+t.Queued > 0 {
			t.SharePart = float64(c.weight(c.teams[t.Team])) / float64(weights)
		}
	}
	return out
}

func (c *Core) dumpMinion(now time.Duration, m *minion) MinionDump {
	return MinionDump{
		Minion:   m.id,
		VM:       m.announcement.GetVm(),
		Zone:     m.announcement.GetAvailabilityZone(),
		Rack:     m.announcement.GetRack(),
		Used:     m.used,
		Slots:    c.slots(now, m),
		Failures: m.consecutiveFailures,
		Excluded: c.exclusionReason(now, m),
	}
}

// exclusionReason returns the reason why a minion gets no requests, or "".
func (c *Core) exclusionReason(now time.Duration, m *minion) string {
	switch {
	case m.announcement == nil:
		return "has not announced itself"
	case now-m.lastAnnounced >= announceTimeout:
		return "last announced itself " + (now - m.lastAnnounced).Round(time.Millisecond).String() + " ago"
	case m.announcement.Leaving:
		return "announces that it leaves"
	case !c.index.IsZoneIn(m.announcement.AvailabilityZone):
		return "its availability zone is out or unknown"
	case !c.isEligible(now, m):
		return "its VM leaves"
	case now < m.avoidedUntil:
		return "avoided after failures for another " + (m.avoidedUntil - now).Round(time.Millisecond).String()
	}
	return ""
}

func (c *Core) dumpHeads(now time.Duration, t *teamState) []QueueHeadDump {
	var out []QueueHeadDump
	for class := range t.lists {
		if t.lists[class].l.Len() == 0 {
			continue
		}
		it := t.lists[class].front()
		out = append(out, QueueHeadDump{
			Team:        t.name,
			Class:       fairshare.Class(class).String(),
			WaitedMS:    (now - it.enqueued).Milliseconds(),
			RemainingMS: (it.deadline - now).Milliseconds(),
			Reason:      c.waitReason(now, t),
		})
	}
	return out
}

// waitReason returns the reason why the team's oldest queued request waits.
func (c *Core) waitReason(now time.Duration, t *teamState) string {
	slots, free := c.usableSlots(now)
	switch {
	case !c.granting:
		return "the shard counts the grants of its predecessor"
	case t.report.frozen:
		return "the team's limit fell; its new part is not known yet"
	case t.isAtCeiling():
		return "the team runs " + strconv.Itoa(int(t.running)) + " of its part " + strconv.Itoa(int(t.ceiling)) + " of its limit"
	case slots == 0:
		return "no minion is usable"
	case free == 0:
		return "all " + strconv.Itoa(int(slots)) + " slots are in use and other teams are further below their share"
	}
	return "it is granted at the next step"
}
