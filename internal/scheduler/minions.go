package scheduler

import (
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// announceTimeout is how long a minion counts as present after its last
	// announcement. Package control has the same rule for VMs.
	announceTimeout = 5 * time.Second
	// failuresToAvoid is the number of consecutive failed requests after which a
	// minion gets no requests for a while.
	failuresToAvoid = 3
	// avoidBase is the length of a minion's first avoidance. Each further one is
	// twice as long, up to avoidMax, until a request succeeds.
	avoidBase = time.Second
	avoidMax  = time.Minute
)

// minion is a process that runs requests of the service, as it announced itself,
// and its load. One whose requests fail is avoided: it gets no requests for a
// while.
type minion struct {
	id string
	// Nil while the minion is known only from grants (permissions to send it one
	// request) of an earlier epoch, an earlier assignment of the shard.
	announcement  *apiv1.MinionAnnouncement
	lastAnnounced time.Duration
	used          uint32 // slots occupied by grants
	zone, rack    *failureDomain
	lastGranted   time.Duration
	// While this is at least failuresToAvoid and the minion's avoidance is over,
	// the minion gets one request at a time, as a probe.
	consecutiveFailures int
	avoidances          int // since the last request that succeeded
	avoidedUntil        time.Duration
}

// failureDomain is the load of an availability zone or a rack: the slots of its
// minions, and how many of them are occupied.
type failureDomain struct {
	used, slots uint32
}

// addUsed changes the number of occupied slots of the minion, its zone and its
// rack by n, which may be negative.
func (m *minion) addUsed(n int) {
	m.used = uint32(int(m.used) + n)
	for _, d := range []*failureDomain{m.zone, m.rack} {
		if d != nil {
			d.used = uint32(int(d.used) + n)
		}
	}
}

// minion returns the minion with the id and creates it if necessary.
func (c *Core) minion(id string) *minion {
	m, ok := c.minions[id]
	if !ok {
		m = &minion{id: id}
		c.minions[id] = m
	}
	return m
}

// Announce records a minion's announcement. A minion repeats it while it is
// present.
func (c *Core) Announce(now time.Duration, a *apiv1.MinionAnnouncement) {
	m := c.minion(a.MinionId)
	m.announcement = a
	m.lastAnnounced = now
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

// recordGrantOutcome counts consecutive failures of a minion and starts its
// avoidance. A stalled connection (GRANT_OUTCOME_CONNECTION_SILENT) does
// not count as a failure of the minion. Failures during an avoidance are of
// requests that began before it, so they do not extend it.
func (c *Core) recordGrantOutcome(now time.Duration, m *minion, outcome apiv1.GrantOutcome) {
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

// canAvoidAnother reports whether at least half of the eligible minions stay in
// use when one more is avoided. When requests fail on most minions, the cause
// is not the minions.
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

// isEligible reports whether the minion may get requests, regardless of its
// failures: it announced itself lately, neither it nor its VM is leaving (is to get
// no new work), and its availability zone is in, as the configuration says.
func (c *Core) isEligible(now time.Duration, m *minion) bool {
	if m.announcement == nil || m.announcement.Leaving || now-m.lastAnnounced >= announceTimeout {
		return false
	}
	_, leaving := c.leavingVMs[m.announcement.Vm]
	return !leaving && c.index.IsZoneIn(m.announcement.AvailabilityZone)
}

// slots is the number of requests that the minion may run at the same time,
// given its failures; zero when it may get none.
func (c *Core) slots(now time.Duration, m *minion) uint32 {
	if c.config == nil || !c.isEligible(now, m) || now < m.avoidedUntil {
		return 0
	}
	if m.consecutiveFailures >= failuresToAvoid && m.avoidedUntil > 0 {
		return min(1, m.announcement.Slots)
	}
	return min(c.config.SlotsPerMinion, m.announcement.Slots)
}

// usableSlots returns the number of slots of all minions that may get requests,
// and how many of them are free.
func (c *Core) usableSlots(now time.Duration) (total, free uint32) {
	for _, m := range c.minions {
		slots := c.slots(now, m)
		total += slots
		free += slots - min(slots, m.used)
	}
	return total, free
}

// isOutInAllZones reports whether minions are present, but each one is in an
// availability zone that is out, as the configuration says.
func (c *Core) isOutInAllZones(now time.Duration) bool {
	present := false
	for _, m := range c.minions {
		if m.announcement == nil || now-m.lastAnnounced >= announceTimeout {
			continue
		}
		if c.index.IsZoneIn(m.announcement.AvailabilityZone) {
			return false
		}
		present = true
	}
	return present
}

// chooseMinion returns the minion for the next request, or nil when no slot is
// free. A minion in avoid is chosen only when no other has a free slot.
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

// candidate is a minion with a free slot, for one request.
type candidate struct {
	minion *minion
	slots  uint32
	avoid  bool
}

// before reports whether a is preferred to b: one that the request need not
// avoid, then the minion with the lower load, then the availability zone and
// the rack with the lower load, then the minion whose last grant is older. The
// id breaks ties.
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

// compareLoad compares usedA/slotsA with usedB/slotsB without division.
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

// removeAbsentMinions removes minions that are not announced any more and have
// no grants. The state of an avoidance is kept for its longest duration.
func (c *Core) removeAbsentMinions(now time.Duration) {
	for id, m := range c.minions {
		if m.used == 0 && (m.announcement == nil || now-m.lastAnnounced >= max(announceTimeout, avoidMax)) {
			delete(c.minions, id)
		}
	}
}

// recomputeDomains recomputes the loads of availability zones and racks. Their
// slots change over time as minions expire or are avoided.
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

// setDomains sets the minion's zone and rack from its announcement.
func (c *Core) setDomains(m *minion) {
	zone := m.announcement.AvailabilityZone
	m.zone = ensureDomain(c.zones, zone)
	m.rack = ensureDomain(c.racks, zone+"/"+m.announcement.Rack)
}
