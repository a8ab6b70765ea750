package scheduler

import (
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// announceExpiry is how long a minion counts as present after it was heard.
	announceExpiry = 5 * time.Second
	// failuresToAvoid is the number of failed requests in a row after which a
	// minion is avoided.
	failuresToAvoid = 3
	avoidBase       = time.Second
	avoidMax        = time.Minute
)

// minion is one back end of the service.
type minion struct {
	id string
	// nil when only known from grants of an earlier epoch.
	announcement *apiv1.MinionAnnouncement
	lastSeen     time.Duration
	used         uint32
	zone, rack   *failureDomain
	lastGranted  time.Duration
	// Failed requests in a row; while it is at least failuresToAvoid, only one
	// request at a time probes the minion after its avoidance.
	consecutiveFailures int
	avoidances          int
	avoidedUntil        time.Duration
}

// failureDomain is an availability zone or a rack.
type failureDomain struct {
	used, slots uint32
}

func (m *minion) addUsed(n int) {
	m.used = uint32(int(m.used) + n)
	for _, d := range []*failureDomain{m.zone, m.rack} {
		if d != nil {
			d.used = uint32(int(d.used) + n)
		}
	}
}

func (c *Core) minion(id string) *minion {
	m, ok := c.minions[id]
	if !ok {
		m = &minion{id: id}
		c.minions[id] = m
	}
	return m
}

// Announce takes over a minion's announcement.
func (c *Core) Announce(now time.Duration, a *apiv1.MinionAnnouncement) {
	m := c.minion(a.MinionId)
	m.announcement = a
	m.lastSeen = now
	used := int(m.used)
	m.addUsed(-used)
	c.setDomains(m)
	m.addUsed(used)
}

func ensureDomain(domains map[string]*failureDomain, name string) *failureDomain {
	d, ok := domains[name]
	if !ok {
		d = &failureDomain{}
		domains[name] = d
	}
	return d
}

// recordOutcome counts failures in a row. A silent connection does not blame the
// minion, and failures of requests that began before the avoidance don't
// lengthen it.
func (c *Core) recordOutcome(now time.Duration, m *minion, outcome apiv1.GrantOutcome) {
	switch outcome {
	case apiv1.GrantOutcome_GRANT_OUTCOME_DONE:
		m.consecutiveFailures = 0
		m.avoidances = 0
	case apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED:
		if now < m.avoidedUntil {
			return
		}
		m.consecutiveFailures++
		if m.consecutiveFailures >= failuresToAvoid && c.canAvoidAnother(now) {
			m.avoidedUntil = now + min(avoidMax, avoidBase<<min(m.avoidances, 10))
			m.avoidances++
		}
	}
}

// canAvoidAnother keeps at least half of the minions in use, because requests
// that fail everywhere say nothing about the minions.
func (c *Core) canAvoidAnother(now time.Duration) bool {
	present, avoided := 0, 1
	for _, m := range c.minions {
		if c.isEligible(now, m) {
			present++
			if now < m.avoidedUntil {
				avoided++
			}
		}
	}
	return 2*avoided <= present
}

// isEligible reports whether the minion may get work, apart from its failures.
func (c *Core) isEligible(now time.Duration, m *minion) bool {
	if m.announcement == nil || m.announcement.Leaving || now-m.lastSeen >= announceExpiry {
		return false
	}
	_, leaving := c.leavingVMs[m.announcement.Vm]
	return !leaving && c.index.IsZoneIn(m.announcement.AvailabilityZone)
}

// slots is the number of requests the minion may run now.
func (c *Core) slots(now time.Duration, m *minion) uint32 {
	if c.config == nil || !c.isEligible(now, m) || now < m.avoidedUntil {
		return 0
	}
	if m.consecutiveFailures >= failuresToAvoid && m.avoidedUntil > 0 {
		return min(1, m.announcement.Slots)
	}
	return min(c.config.SlotsPerMinion, m.announcement.Slots)
}

// usableSlots returns the slots of all minions that may get work, and how many
// of them are free.
func (c *Core) usableSlots(now time.Duration) (total, free uint32) {
	for _, m := range c.minions {
		slots := c.slots(now, m)
		total += slots
		free += slots - min(slots, m.used)
	}
	return total, free
}

func (c *Core) allZonesOut(now time.Duration) bool {
	present := false
	for _, m := range c.minions {
		if m.announcement == nil || now-m.lastSeen >= announceExpiry {
			continue
		}
		if c.index.IsZoneIn(m.announcement.AvailabilityZone) {
			return false
		}
		present = true
	}
	return present
}

// chooseMinion returns the minion for the next request, nil when no slot is free.
// Minions that the request should avoid are taken only when no other is free.
func (c *Core) chooseMinion(now time.Duration, avoid []string) *minion {
	var best *candidate
	for _, m := range c.minions {
		slots := c.slots(now, m)
		if m.used >= slots {
			continue
		}
		next := candidate{minion: m, slots: slots, avoid: slices.Contains(avoid, m.id)}
		if best == nil || next.before(best) {
			best = &next
		}
	}
	if best == nil {
		return nil
	}
	return best.minion
}

type candidate struct {
	minion *minion
	slots  uint32
	avoid  bool
}

// before orders candidates: the least loaded minion, then the least loaded
// availability zone and rack, then the one that waited longest for work.
func (a *candidate) before(b *candidate) bool {
	if a.avoid != b.avoid {
		return b.avoid
	}
	if d := compareLoad(a.minion.used, a.slots, b.minion.used, b.slots); d != 0 {
		return d < 0
	}
	if d := compareDomains(a.minion.zone, b.minion.zone); d != 0 {
		return d < 0
	}
	if d := compareDomains(a.minion.rack, b.minion.rack); d != 0 {
		return d < 0
	}
	if a.minion.lastGranted != b.minion.lastGranted {
		return a.minion.lastGranted < b.minion.lastGranted
	}
	return a.minion.id < b.minion.id
}

func compareDomains(a, b *failureDomain) int { return compareLoad(a.used, a.slots, b.used, b.slots) }

// compareLoad compares used/slots without division.
func compareLoad(usedA, slotsA, usedB, slotsB uint32) int {
	left, right := uint64(usedA)*uint64(slotsB), uint64(usedB)*uint64(slotsA)
	switch {
	case left < right:
		return -1
	case left > right:
		return 1
	}
	return 0
}

// removeAbsentMinions forgets minions that are gone and hold no slots.
func (c *Core) removeAbsentMinions(now time.Duration) {
	for id, m := range c.minions {
		if m.used == 0 && (m.announcement == nil || now-m.lastSeen >= max(announceExpiry, avoidMax)) {
			delete(c.minions, id)
		}
	}
}

// recomputeDomains rebuilds the loads of availability zones and racks, whose
// slots change with time as minions expire or are avoided.
func (c *Core) recomputeDomains(now time.Duration) {
	clear(c.zones)
	clear(c.racks)
	for _, m := range c.minions {
		if m.announcement == nil {
			continue
		}
		c.setDomains(m)
		slots := c.slots(now, m)
		m.zone.slots += slots
		m.rack.slots += slots
		m.zone.used += m.used
		m.rack.used += m.used
	}
}

func (c *Core) setDomains(m *minion) {
	zone := m.announcement.AvailabilityZone
	m.zone = ensureDomain(c.zones, zone)
	m.rack = ensureDomain(c.racks, zone+"/"+m.announcement.Rack)
}
