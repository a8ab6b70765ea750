package objects

import (
	"encoding/hex"
	"fmt"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

const hashBytes = 32 // SHA-256

// checkPools checks that at most one pool is spare (gives VMs to other pools and
// takes them back) and that capacity policies, by which VMs move to and from the
// spare pool, can take effect.
func (c *checker) checkPools() {
	var spares []string
	for _, p := range c.index.Set.Pool {
		title := Title("pool", p.Name)
		if p.Spare {
			spares = append(spares, p.Name)
		}
		if p.Spare && p.CapacityPolicy != "" {
			c.warn(settings.Contradiction, title, "capacity_policy", "remove the key",
				"a capacity policy has no effect on the spare pool")
		}
		c.checkMinVMs(p, title)
	}
	slices.Sort(spares)
	spares = slices.Compact(spares)
	if len(spares) > 1 {
		for _, name := range spares {
			c.contradiction(Title("pool", name), "spare", "leave spare = true in one pool only",
				"more than one pool is spare: %s", joinTitles("pool", spares))
		}
	}
	if len(spares) == 0 {
		c.warnPoliciesWithoutSpare()
	}
}

// checkMinVMs reports an availability budget (the most VMs that may be down at
// once) that allows every VM of a pool at its minimum size to be down. A minimum
// of one VM is allowed, because such a pool could never be maintained otherwise.
func (c *checker) checkMinVMs(p *apiv1.Pool, title string) {
	b := c.index.Budgets[p.AvailabilityBudget]
	if b != nil && p.MinVms > 1 && b.MaxDown >= p.MinVms {
		c.contradiction(title, "min_vms", "raise min_vms above max_down, or lower max_down",
			"%s lets %d VMs be down, which is all of the min_vms %d", Title("availability_budget", b.Name), b.MaxDown, p.MinVms)
	}
}

// warnPoliciesWithoutSpare warns about capacity policies of a set without a
// spare pool, to and from which VMs would move.
func (c *checker) warnPoliciesWithoutSpare() {
	for _, p := range c.index.Set.Pool {
		if p.CapacityPolicy != "" {
			c.warn(settings.Contradiction, Title("pool", p.Name), "capacity_policy", "set spare = true in one pool",
				"no pool is spare, so the capacity policy moves no VM")
		}
	}
}

// checkBudgets reports a limit per zone or rack that never applies, because a
// wider limit is lower.
func (c *checker) checkBudgets() {
	for _, b := range c.index.Set.AvailabilityBudget {
		title := Title("availability_budget", b.Name)
		if b.MaxDownPerZone > b.MaxDown {
			c.contradiction(title, "max_down_per_zone", "write at most max_down, or remove the key",
				"max_down_per_zone %d is above max_down %d and never applies", b.MaxDownPerZone, b.MaxDown)
		}
		if b.MaxDownPerRack > b.MaxDown {
			c.contradiction(title, "max_down_per_rack", "write at most max_down, or remove the key",
				"max_down_per_rack %d is above max_down %d and never applies", b.MaxDownPerRack, b.MaxDown)
		}
		if b.MaxDownPerZone > 0 && b.MaxDownPerRack > b.MaxDownPerZone {
			c.contradiction(title, "max_down_per_rack", "write at most max_down_per_zone, or remove the key",
				"max_down_per_rack %d is above max_down_per_zone %d and never applies", b.MaxDownPerRack, b.MaxDownPerZone)
		}
	}
}

// checkServices checks the connections to one minion (a process that serves the
// service's requests) per entry VM, a VM whose entry process passes requests on.
// These are the service's connections per minion divided by its entry VMs. None
// at all is an error. A warning says that all entry VMs together have fewer than
// the minion's slots.
func (c *checker) checkServices() {
	for _, s := range c.index.Set.Service {
		if s.EntryVms == 0 {
			continue // checkFields reports it as out of range
		}
		title := Title("service", s.Name)
		perEntry := s.ConnectionsPerMinion / s.EntryVms
		switch {
		case perEntry == 0:
			c.contradiction(title, "connections_per_minion", "write at least entry_vms",
				"%d connections over %d entry VMs leave an entry without a connection", s.ConnectionsPerMinion, s.EntryVms)
		case perEntry*s.EntryVms < s.SlotsPerMinion:
			c.warn(settings.Contradiction, title, "slots_per_minion", "raise connections_per_minion, or lower slots_per_minion",
				"the %d connections that entries may open are fewer than the slots, so some slots stay empty", perEntry*s.EntryVms)
		}
	}
}

// checkQueues checks that a queue has either a service or a pool, and which
// teams may use it. It warns about a team whose limit is lower than the number
// of services that its queues lead to.
func (c *checker) checkQueues() {
	services := map[string]map[string]bool{} // services by team
	for _, q := range c.index.Set.Queue {
		title := Title("queue", q.Name)
		switch {
		case q.Service != "" && q.Pool != "":
			c.contradiction(title, "pool", "keep service for requests, or pool for jobs", "the queue has both a service and a pool")
		case q.Service == "" && q.Pool == "":
			c.contradiction(title, "service", "add service for requests, or pool for jobs", "the queue has neither a service nor a pool")
		}
		c.checkQueueTeams(q, title)
		for _, t := range q.Teams {
			if services[t] == nil {
				services[t] = map[string]bool{}
			}
			if q.Service != "" {
				services[t][q.Service] = true
			}
		}
	}
	for _, t := range c.index.Set.Team {
		if limit := c.index.Limits[t.Limit]; limit != nil && int(limit.MaxRunning) < len(services[t.Name]) {
			c.warn(settings.Contradiction, Title("team", t.Name), "limit", "raise max_running, or take the team off some queues",
				"max_running %d is less than the %d services the team may use", limit.MaxRunning, len(services[t.Name]))
		}
	}
}

// checkQueueTeams checks that a queue either is open, that is, takes work without a
// key, and has an open team to which this work is counted, or lists its teams.
func (c *checker) checkQueueTeams(q *apiv1.Queue, title string) {
	switch {
	case q.Open && q.OpenTeam == "":
		c.contradiction(title, "open_team", "add open_team = <name of a team>", "the queue is open to all and no team accounts for work without a key")
	case !q.Open && q.OpenTeam != "":
		c.contradiction(title, "open_team", "remove open_team, or set open = true", "open_team is set and the queue is not open")
	case !q.Open && len(q.Teams) == 0:
		c.contradiction(title, "teams", "add teams = <names>, or set open = true and open_team", "no team may use the queue")
	case q.Open && len(q.Teams) > 0:
		c.warn(settings.Contradiction, title, "teams", "remove teams, or remove open", "teams has no effect on a queue that is open to all")
	}
}

// checkPolicies checks the thresholds of capacity policies, and that there are
// enough availability zones to reserve capacity for the loss of one.
func (c *checker) checkPolicies() {
	for _, p := range c.index.Set.CapacityPolicy {
		title := Title("capacity_policy", p.Name)
		if p.ShrinkAtPercent >= p.GrowAtPercent {
			c.contradiction(title, "shrink_at_percent", "write less than grow_at_percent",
				"shrink_at_percent %d is not below grow_at_percent %d, so VMs would move back and forth", p.ShrinkAtPercent, p.GrowAtPercent)
		}
		if p.ReserveZoneLoss && len(c.index.Zones) == 1 {
			c.contradiction(title, "reserve_zone_loss", "set it to false, or add the other zones",
				"with one availability zone nothing can be reserved for its loss")
		}
	}
}

// checkMaintenances checks the action, the limits and the VMs of maintenance
// objects. A VM must not appear twice in one object, or in objects for
// different pools.
func (c *checker) checkMaintenances() {
	pools := map[string][]string{} // pools by VM
	for _, m := range c.index.Set.Maintenance {
		title := Title("maintenance", m.Name)
		if m.Action == apiv1.IntentKind_INTENT_KIND_MOVE {
			c.contradiction(title, "action", "write reboot or drain", "a maintenance cannot move VMs")
		}
		c.checkMaxParallel(m, title)
		seen := map[string]bool{}
		for _, vm := range m.Vms {
			if seen[vm] {
				c.contradiction(title, "vms", "name it once", "VM %q is named twice", vm)
			}
			seen[vm] = true
			pools[vm] = append(pools[vm], m.Pool)
		}
	}
	for _, m := range c.index.Set.Maintenance {
		for _, vm := range m.Vms {
			list := slices.Clone(pools[vm])
			slices.Sort(list)
			if list = slices.Compact(list); len(list) > 1 {
				c.contradiction(Title("maintenance", m.Name), "vms", "name the VM under the one pool it belongs to",
					"VM %q is named for more than one pool: %s", vm, joinTitles("pool", list))
			}
		}
	}
}

// checkMaxParallel reports a max_parallel above the number of VMs that the
// pool's availability budget allows to be down.
func (c *checker) checkMaxParallel(m *apiv1.Maintenance, title string) {
	pool := c.index.Pools[m.Pool]
	b := c.index.Budgets[pool.GetAvailabilityBudget()]
	if b != nil && m.MaxParallel > b.MaxDown {
		c.contradiction(title, "max_parallel", fmt.Sprintf("write at most %d, or 0 for as many as the budget allows", b.MaxDown),
			"%s never lets %d VMs be down at once", Title("availability_budget", b.Name), m.MaxParallel)
	}
}

// checkKeys checks the encoding of salts and hashes.
func (c *checker) checkKeys() {
	for _, k := range c.index.Set.Key {
		if k.Salt != "" && !isHexOfSize(k.Salt, saltBytes) {
			c.report(settings.WrongValue, Title("key", k.Name), "salt", "issue the key anew with bergamotctl key issue", "the salt is not %d bytes in lower-case hex", saltBytes)
		}
		if k.Hash != "" && !isHexOfSize(k.Hash, hashBytes) {
			c.report(settings.WrongValue, Title("key", k.Name), "hash", "issue the key anew with bergamotctl key issue", "the hash is not %d bytes in lower-case hex", hashBytes)
		}
	}
}

// isHexOfSize reports whether text is the lower-case hex encoding of size bytes.
func isHexOfSize(text string, size int) bool {
	data, err := hex.DecodeString(text)
	return err == nil && len(data) == size && hex.EncodeToString(data) == text
}

// checkZones warns about a set with queues in which no availability zone is in
// service, so that no work can start.
func (c *checker) checkZones() {
	zonesIn := 0
	for _, z := range c.index.Set.AvailabilityZone {
		if z.State == apiv1.ZoneState_ZONE_STATE_IN {
			zonesIn++
		}
	}
	if len(c.index.Set.Queue) == 0 || zonesIn > 0 {
		return
	}
	for _, z := range c.index.Set.AvailabilityZone {
		c.warn(settings.Contradiction, Title("availability_zone", z.Name), "state", "set state = in for at least one zone", "every zone is out, so nothing starts anywhere")
	}
	if len(c.index.Set.AvailabilityZone) == 0 {
		c.warn(settings.MissingValue, "", "", "add a section [availability_zone \"name\"] for each zone", "there is no availability zone, so nothing starts anywhere")
	}
}

// ValidKey reports whether the name, salt and hash of a key are well formed.
func ValidKey(k *apiv1.Key) bool {
	return namePattern.MatchString(k.Name) && isHexOfSize(k.Salt, saltBytes) && isHexOfSize(k.Hash, hashBytes)
}
