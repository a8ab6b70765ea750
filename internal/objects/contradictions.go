package objects

import (
	"encoding/hex"
	"fmt"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

const hashBytes = 32

func (c *checker) pools() {
	var spares []string
	for _, p := range c.ix.Set.Pool {
		title := Title("pool", p.Name)
		if p.Spare {
			spares = append(spares, p.Name)
		}
		if p.Spare && p.CapacityPolicy != "" {
			c.warn(settings.Contradiction, title, "capacity_policy", "remove the key",
				"a capacity policy has no effect on the spare pool")
		}
		c.minVMs(p, title)
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
		c.policiesWithoutSpare()
	}
}

// minVMs refuses a budget that lets the whole of a pool at its lowest size be
// down. A pool of one VM is allowed, because it could never be maintained.
func (c *checker) minVMs(p *apiv1.Pool, title string) {
	b := c.ix.Budgets[p.AvailabilityBudget]
	if b != nil && p.MinVms > 1 && b.MaxDown >= p.MinVms {
		c.contradiction(title, "min_vms", "raise min_vms above max_down, or lower max_down",
			"%s lets %d VMs be down, which is all of the min_vms %d", Title("availability_budget", b.Name), b.MaxDown, p.MinVms)
	}
}

func (c *checker) policiesWithoutSpare() {
	for _, p := range c.ix.Set.Pool {
		if p.CapacityPolicy != "" {
			c.warn(settings.Contradiction, Title("pool", p.Name), "capacity_policy", "set spare = true in one pool",
				"no pool is spare, so the capacity policy moves no VM")
		}
	}
}

// budgets refuses bounds that can never apply.
func (c *checker) budgets() {
	for _, b := range c.ix.Set.AvailabilityBudget {
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

// services refuses a division of connections that leaves an entry with none.
func (c *checker) services() {
	for _, s := range c.ix.Set.Service {
		if s.EntryVms == 0 {
			continue // out of range already
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

func (c *checker) queues() {
	services := map[string]map[string]bool{} // team to services
	for _, q := range c.ix.Set.Queue {
		title := Title("queue", q.Name)
		switch {
		case q.Service != "" && q.Pool != "":
			c.contradiction(title, "pool", "keep service for requests, or pool for jobs", "the queue has both a service and a pool")
		case q.Service == "" && q.Pool == "":
			c.contradiction(title, "service", "add service for requests, or pool for jobs", "the queue has neither a service nor a pool")
		}
		c.queueTeams(q, title)
		for _, t := range q.Teams {
			if services[t] == nil {
				services[t] = map[string]bool{}
			}
			if q.Service != "" {
				services[t][q.Service] = true
			}
		}
	}
	for _, t := range c.ix.Set.Team {
		if limit := c.ix.Limits[t.Limit]; limit != nil && int(limit.MaxRunning) < len(services[t.Name]) {
			c.warn(settings.Contradiction, Title("team", t.Name), "limit", "raise max_running, or take the team off some queues",
				"max_running %d is less than the %d services the team may use", limit.MaxRunning, len(services[t.Name]))
		}
	}
}

func (c *checker) queueTeams(q *apiv1.Queue, title string) {
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

func (c *checker) policies() {
	for _, p := range c.ix.Set.CapacityPolicy {
		title := Title("capacity_policy", p.Name)
		if p.ShrinkAtPercent >= p.GrowAtPercent {
			c.contradiction(title, "shrink_at_percent", "write less than grow_at_percent",
				"shrink_at_percent %d is not below grow_at_percent %d, so VMs would move back and forth", p.ShrinkAtPercent, p.GrowAtPercent)
		}
		if p.ReserveZoneLoss && len(c.ix.Zones) == 1 {
			c.contradiction(title, "reserve_zone_loss", "set it to false, or add the other zones",
				"with one availability zone nothing can be reserved for its loss")
		}
	}
}

func (c *checker) maintenances() {
	pools := map[string][]string{} // VM to pools
	for _, m := range c.ix.Set.Maintenance {
		title := Title("maintenance", m.Name)
		if m.Action == apiv1.IntentKind_INTENT_KIND_MOVE {
			c.contradiction(title, "action", "write reboot or drain", "a maintenance cannot move VMs")
		}
		c.maxParallel(m, title)
		seen := map[string]bool{}
		for _, vm := range m.Vms {
			if seen[vm] {
				c.contradiction(title, "vms", "name it once", "VM %q is named twice", vm)
			}
			seen[vm] = true
			pools[vm] = append(pools[vm], m.Pool)
		}
	}
	for _, m := range c.ix.Set.Maintenance {
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

func (c *checker) maxParallel(m *apiv1.Maintenance, title string) {
	pool := c.ix.Pools[m.Pool]
	b := c.ix.Budgets[pool.GetAvailabilityBudget()]
	if b != nil && m.MaxParallel > b.MaxDown {
		c.contradiction(title, "max_parallel", fmt.Sprintf("write at most %d, or 0 for as many as the budget allows", b.MaxDown),
			"%s never lets %d VMs be down at once", Title("availability_budget", b.Name), m.MaxParallel)
	}
}

func (c *checker) keys() {
	for _, k := range c.ix.Set.Key {
		if k.Salt != "" && !isHex(k.Salt, saltBytes) {
			c.report(settings.WrongValue, Title("key", k.Name), "salt", "issue the key anew with bergamotctl key issue", "the salt is not %d bytes in lower-case hex", saltBytes)
		}
		if k.Hash != "" && !isHex(k.Hash, hashBytes) {
			c.report(settings.WrongValue, Title("key", k.Name), "hash", "issue the key anew with bergamotctl key issue", "the hash is not %d bytes in lower-case hex", hashBytes)
		}
	}
}

func isHex(text string, size int) bool {
	data, err := hex.DecodeString(text)
	return err == nil && len(data) == size && hex.EncodeToString(data) == text
}

func (c *checker) zones() {
	in := 0
	for _, z := range c.ix.Set.AvailabilityZone {
		if z.State == apiv1.ZoneState_ZONE_STATE_IN {
			in++
		}
	}
	if len(c.ix.Set.Queue) == 0 || in > 0 {
		return
	}
	for _, z := range c.ix.Set.AvailabilityZone {
		c.warn(settings.Contradiction, Title("availability_zone", z.Name), "state", "set state = in for at least one zone", "every zone is out, so nothing starts anywhere")
	}
	if len(c.ix.Set.AvailabilityZone) == 0 {
		c.warn(settings.MissingValue, "", "", "add a section [availability_zone \"name\"] for each zone", "there is no availability zone, so nothing starts anywhere")
	}
}

// ValidKey reports whether the name, salt and hash of a key are well formed.
func ValidKey(k *apiv1.Key) bool {
	return namePattern.MatchString(k.Name) && isHex(k.Salt, saltBytes) && isHex(k.Hash, hashBytes)
}
