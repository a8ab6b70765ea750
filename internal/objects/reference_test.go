package objects

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// referenceCheck is the reference implementation of Check: nested loops over the
// set, with the rules of the schema written out by hand. It returns sorted lines
// of the form "section|key|kind|warning".
func referenceCheck(set *apiv1.ObjectSet) []string {
	r := reference{set: set, found: map[string]bool{}}
	for _, p := range set.Pool {
		r.checkPool(p)
	}
	for _, t := range set.Team {
		r.checkTeam(t)
	}
	for _, l := range set.Limit {
		r.checkName("limit", l.Name)
		r.checkRange("limit", l.Name, "max_running", l.MaxRunning, 1, 1000000)
		r.addUnusedUnless("limit", l.Name, slices.ContainsFunc(set.Team, func(t *apiv1.Team) bool { return t.Limit == l.Name }))
	}
	for _, a := range set.ClientAccount {
		r.checkName("client_account", a.Name)
		r.checkRef("client_account", a.Name, "team", a.Team, true, "team")
		r.addUnusedUnless("client_account", a.Name, slices.ContainsFunc(set.Key, func(k *apiv1.Key) bool { return k.ClientAccount == a.Name }))
	}
	hex := func(size int) *regexp.Regexp { return regexp.MustCompile(fmt.Sprintf("^[0-9a-f]{%d}$", size)) }
	for _, k := range set.Key {
		r.checkName("key", k.Name)
		r.checkRef("key", k.Name, "client_account", k.ClientAccount, true, "client_account")
		r.addIf(k.Salt == "", "key", k.Name, "salt", "missing value", false)
		r.addIf(k.Hash == "", "key", k.Name, "hash", "missing value", false)
		r.addIf(k.Salt != "" && !hex(32).MatchString(k.Salt), "key", k.Name, "salt", "wrong value", false)
		r.addIf(k.Hash != "" && !hex(64).MatchString(k.Hash), "key", k.Name, "hash", "wrong value", false)
	}
	anyIn := slices.ContainsFunc(set.AvailabilityZone, func(z *apiv1.AvailabilityZone) bool { return z.State == apiv1.ZoneState_ZONE_STATE_IN })
	for _, z := range set.AvailabilityZone {
		r.checkName("availability_zone", z.Name)
		r.addIf(z.Region == "", "availability_zone", z.Name, "region", "missing value", false)
		r.addIf(z.State < 1 || z.State > 2, "availability_zone", z.Name, "state", "wrong value", false)
		r.addIf(!anyIn && len(set.Queue) > 0, "availability_zone", z.Name, "state", "contradiction", true)
	}
	if len(set.AvailabilityZone) == 0 && len(set.Queue) > 0 {
		r.found["||missing value|true"] = true
	}
	for _, b := range set.AvailabilityBudget {
		r.checkBudget(b)
	}
	for _, s := range set.Service {
		r.checkService(s)
	}
	for _, q := range set.Queue {
		r.checkQueue(q)
	}
	for _, p := range set.CapacityPolicy {
		r.checkPolicy(p)
	}
	for _, m := range set.Maintenance {
		r.checkMaintenance(m)
	}
	var out []string
	for f := range r.found {
		out = append(out, f)
	}
	slices.Sort(out)
	return out
}

type reference struct {
	set   *apiv1.ObjectSet
	found map[string]bool
}

func (r reference) addIf(cond bool, kind, name, key, problemKind string, warning bool) {
	if cond {
		r.found[fmt.Sprintf("%s %q|%s|%s|%v", kind, name, key, problemKind, warning)] = true
	}
}

func (r reference) count(kind, name string) int {
	c := 0
	for _, o := range allObjects(r.set) {
		if o.kind == kind && o.name == name {
			c++
		}
	}
	return c
}

func (r reference) checkName(kind, name string) {
	bad := name == "" || len(name) > 63 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz-") != "" || name[0] == '-'
	r.addIf(bad, kind, name, "", "wrong value", false)
	r.addIf(r.count(kind, name) > 1, kind, name, "", "duplicate name", false)
}

func (r reference) checkRange(kind, name, key string, value, lowest, highest uint32) {
	r.addIf(value < lowest || value > highest, kind, name, key, "out of range", false)
}

func (r reference) checkRef(kind, name, key, target string, required bool, targetKind string) {
	r.addIf(target == "" && required, kind, name, key, "missing value", false)
	r.addIf(target != "" && r.count(targetKind, target) == 0, kind, name, key, "broken reference", false)
}

func (r reference) addUnusedUnless(kind, name string, used bool) {
	r.addIf(!used, kind, name, "", "unused", true)
}

func (r reference) checkPool(p *apiv1.Pool) {
	r.checkName("pool", p.Name)
	r.checkRef("pool", p.Name, "availability_budget", p.AvailabilityBudget, true, "availability_budget")
	r.checkRef("pool", p.Name, "capacity_policy", p.CapacityPolicy, false, "capacity_policy")
	spares := map[string]bool{}
	for _, o := range r.set.Pool {
		if o.Spare {
			spares[o.Name] = true
		}
	}
	r.addIf(len(spares) > 1 && spares[p.Name], "pool", p.Name, "spare", "contradiction", false)
	r.addIf(p.CapacityPolicy != "" && (p.Spare || len(spares) == 0), "pool", p.Name, "capacity_policy", "contradiction", true)
	for _, b := range r.set.AvailabilityBudget {
		r.addIf(b.Name == p.AvailabilityBudget && p.MinVms >= 2 && b.MaxDown >= p.MinVms, "pool", p.Name, "min_vms", "contradiction", false)
	}
	used := p.Spare
	for _, s := range r.set.Service {
		used = used || s.Pool == p.Name
	}
	for _, q := range r.set.Queue {
		used = used || q.Pool == p.Name
	}
	for _, m := range r.set.Maintenance {
		used = used || m.Pool == p.Name
	}
	r.addUnusedUnless("pool", p.Name, used)
}

func (r reference) checkTeam(t *apiv1.Team) {
	r.checkName("team", t.Name)
	r.checkRange("team", t.Name, "weight", t.Weight, 1, 1000000)
	r.checkRef("team", t.Name, "limit", t.Limit, true, "limit")
	used, services := false, map[string]bool{}
	for _, a := range r.set.ClientAccount {
		used = used || a.Team == t.Name
	}
	for _, q := range r.set.Queue {
		used = used || q.OpenTeam == t.Name || slices.Contains(q.Teams, t.Name)
		if slices.Contains(q.Teams, t.Name) && q.Service != "" {
			services[q.Service] = true
		}
	}
	r.addUnusedUnless("team", t.Name, used)
	for _, l := range r.set.Limit {
		r.addIf(l.Name == t.Limit && int(l.MaxRunning) < len(services), "team", t.Name, "limit", "contradiction", true)
	}
}

func (r reference) checkBudget(b *apiv1.AvailabilityBudget) {
	r.checkName("availability_budget", b.Name)
	r.checkRange("availability_budget", b.Name, "max_down", b.MaxDown, 1, 100000)
	r.addIf(b.MaxDownPerZone > b.MaxDown, "availability_budget", b.Name, "max_down_per_zone", "contradiction", false)
	rackBound := b.MaxDown
	if b.MaxDownPerZone > 0 {
		rackBound = min(rackBound, b.MaxDownPerZone)
	}
	r.addIf(b.MaxDownPerRack > rackBound, "availability_budget", b.Name, "max_down_per_rack", "contradiction", false)
	r.addUnusedUnless("availability_budget", b.Name, slices.ContainsFunc(r.set.Pool, func(p *apiv1.Pool) bool { return p.AvailabilityBudget == b.Name }))
}

func (r reference) checkService(s *apiv1.Service) {
	r.checkName("service", s.Name)
	r.checkRef("service", s.Name, "pool", s.Pool, true, "pool")
	r.checkRange("service", s.Name, "slots_per_minion", s.SlotsPerMinion, 1, 1024)
	r.checkRange("service", s.Name, "connections_per_minion", s.ConnectionsPerMinion, 1, 65536)
	r.checkRange("service", s.Name, "entry_vms", s.EntryVms, 1, 64)
	r.checkRange("service", s.Name, "max_deadline", s.MaxDeadlineMs, 100, 3600000)
	opened := s.ConnectionsPerMinion
	for s.EntryVms > 0 && opened%s.EntryVms != 0 {
		opened--
	}
	r.addIf(s.EntryVms > 0 && opened == 0, "service", s.Name, "connections_per_minion", "contradiction", false)
	r.addIf(s.EntryVms > 0 && opened > 0 && opened < s.SlotsPerMinion, "service", s.Name, "slots_per_minion", "contradiction", true)
	r.addUnusedUnless("service", s.Name, slices.ContainsFunc(r.set.Queue, func(q *apiv1.Queue) bool { return q.Service == s.Name }))
}

func (r reference) checkQueue(q *apiv1.Queue) {
	r.checkName("queue", q.Name)
	r.checkRef("queue", q.Name, "service", q.Service, false, "service")
	r.checkRef("queue", q.Name, "pool", q.Pool, false, "pool")
	r.checkRef("queue", q.Name, "open_team", q.OpenTeam, false, "team")
	r.addIf(q.Service != "" && q.Pool != "", "queue", q.Name, "pool", "contradiction", false)
	r.addIf(q.Service == "" && q.Pool == "", "queue", q.Name, "service", "contradiction", false)
	r.addIf(q.Open != (q.OpenTeam != ""), "queue", q.Name, "open_team", "contradiction", false)
	r.addIf(!q.Open && q.OpenTeam == "" && len(q.Teams) == 0, "queue", q.Name, "teams", "contradiction", false)
	r.addIf(q.Open && q.OpenTeam != "" && len(q.Teams) > 0, "queue", q.Name, "teams", "contradiction", true)
	for i, t := range q.Teams {
		r.addIf(t == "", "queue", q.Name, "teams", "missing value", false)
		repeated := t != "" && slices.Contains(q.Teams[:i], t)
		r.addIf(repeated, "queue", q.Name, "teams", "contradiction", false)
		if !repeated {
			r.checkRef("queue", q.Name, "teams", t, false, "team")
		}
	}
	r.addIf(q.Priority < 1 || q.Priority > 3, "queue", q.Name, "priority", "wrong value", false)
	r.checkRange("queue", q.Name, "max_depth", q.MaxDepth, 1, 100000)
}

func (r reference) checkPolicy(p *apiv1.CapacityPolicy) {
	r.checkName("capacity_policy", p.Name)
	r.checkRange("capacity_policy", p.Name, "buffer_percent", p.BufferPercent, 0, 100)
	r.checkRange("capacity_policy", p.Name, "grow_at_percent", p.GrowAtPercent, 1, 100)
	r.checkRange("capacity_policy", p.Name, "shrink_at_percent", p.ShrinkAtPercent, 0, 99)
	r.checkRange("capacity_policy", p.Name, "move_cooldown", p.MoveCooldownMs, 0, 86400000)
	r.addIf(p.ShrinkAtPercent >= p.GrowAtPercent, "capacity_policy", p.Name, "shrink_at_percent", "contradiction", false)
	zones := map[string]bool{}
	for _, z := range r.set.AvailabilityZone {
		zones[z.Name] = true
	}
	r.addIf(p.ReserveZoneLoss && len(zones) == 1, "capacity_policy", p.Name, "reserve_zone_loss", "contradiction", false)
	r.addUnusedUnless("capacity_policy", p.Name, slices.ContainsFunc(r.set.Pool, func(o *apiv1.Pool) bool { return o.CapacityPolicy == p.Name }))
}

func (r reference) checkMaintenance(m *apiv1.Maintenance) {
	r.checkName("maintenance", m.Name)
	r.checkRef("maintenance", m.Name, "pool", m.Pool, true, "pool")
	r.addIf(m.Action < 1 || m.Action > 3, "maintenance", m.Name, "action", "wrong value", false)
	r.addIf(m.Action == 3, "maintenance", m.Name, "action", "contradiction", false)
	r.addIf(m.State < 1 || m.State > 3, "maintenance", m.Name, "state", "wrong value", false)
	r.checkRange("maintenance", m.Name, "drain_timeout", m.DrainTimeoutMs, 0, 86400000)
	for _, p := range r.set.Pool {
		for _, b := range r.set.AvailabilityBudget {
			r.addIf(p.Name == m.Pool && b.Name == p.AvailabilityBudget && m.MaxParallel > b.MaxDown, "maintenance", m.Name, "max_parallel", "contradiction", false)
		}
	}
	for i, vm := range m.Vms {
		r.addIf(vm == "", "maintenance", m.Name, "vms", "missing value", false)
		r.addIf(slices.Contains(m.Vms[:i], vm), "maintenance", m.Name, "vms", "contradiction", false)
		for _, o := range r.set.Maintenance {
			r.addIf(o.Pool != m.Pool && slices.Contains(o.Vms, vm), "maintenance", m.Name, "vms", "contradiction", false)
		}
	}
}
