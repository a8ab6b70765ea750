package objects

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// naiveCheck is the oracle of Check: nested loops over the set, with the rules
// of the schema written out by hand. It returns "section|key|kind|warning".
func naiveCheck(set *apiv1.ObjectSet) []string {
	n := naive{set: set, found: map[string]bool{}}
	for _, p := range set.Pool {
		n.pool(p)
	}
	for _, t := range set.Team {
		n.team(t)
	}
	for _, l := range set.Limit {
		n.name("limit", l.Name)
		n.between("limit", l.Name, "max_running", l.MaxRunning, 1, 1000000)
		n.unusedUnless("limit", l.Name, slices.ContainsFunc(set.Team, func(t *apiv1.Team) bool { return t.Limit == l.Name }))
	}
	for _, a := range set.ClientAccount {
		n.name("client_account", a.Name)
		n.ref("client_account", a.Name, "team", a.Team, true, "team")
		n.unusedUnless("client_account", a.Name, slices.ContainsFunc(set.Key, func(k *apiv1.Key) bool { return k.ClientAccount == a.Name }))
	}
	hex := func(size int) *regexp.Regexp { return regexp.MustCompile(fmt.Sprintf("^[0-9a-f]{%d}$", size)) }
	for _, k := range set.Key {
		n.name("key", k.Name)
		n.ref("key", k.Name, "client_account", k.ClientAccount, true, "client_account")
		n.addIf(k.Salt == "", "key", k.Name, "salt", "missing value", false)
		n.addIf(k.Hash == "", "key", k.Name, "hash", "missing value", false)
		n.addIf(k.Salt != "" && !hex(32).MatchString(k.Salt), "key", k.Name, "salt", "wrong value", false)
		n.addIf(k.Hash != "" && !hex(64).MatchString(k.Hash), "key", k.Name, "hash", "wrong value", false)
	}
	anyIn := slices.ContainsFunc(set.AvailabilityZone, func(z *apiv1.AvailabilityZone) bool { return z.State == apiv1.ZoneState_ZONE_STATE_IN })
	for _, z := range set.AvailabilityZone {
		n.name("availability_zone", z.Name)
		n.addIf(z.Region == "", "availability_zone", z.Name, "region", "missing value", false)
		n.addIf(z.State < 1 || z.State > 2, "availability_zone", z.Name, "state", "wrong value", false)
		n.addIf(!anyIn && len(set.Queue) > 0, "availability_zone", z.Name, "state", "contradiction", true)
	}
	if len(set.AvailabilityZone) == 0 && len(set.Queue) > 0 {
		n.found["||missing value|true"] = true
	}
	for _, b := range set.AvailabilityBudget {
		n.budget(b)
	}
	for _, s := range set.Service {
		n.service(s)
	}
	for _, q := range set.Queue {
		n.queue(q)
	}
	for _, p := range set.CapacityPolicy {
		n.policy(p)
	}
	for _, m := range set.Maintenance {
		n.maintenance(m)
	}
	var out []string
	for f := range n.found {
		out = append(out, f)
	}
	slices.Sort(out)
	return out
}

type naive struct {
	set   *apiv1.ObjectSet
	found map[string]bool
}

func (n naive) addIf(cond bool, kind, name, key, what string, warning bool) {
	if cond {
		n.found[fmt.Sprintf("%s %q|%s|%s|%v", kind, name, key, what, warning)] = true
	}
}

func (n naive) count(kind, name string) int {
	c := 0
	for _, o := range each(n.set) {
		if o.kind == kind && o.name == name {
			c++
		}
	}
	return c
}

func (n naive) name(kind, name string) {
	bad := name == "" || len(name) > 63 || strings.Trim(name, "abcdefghijklmnopqrstuvwxyz-") != "" || name[0] == '-'
	n.addIf(bad, kind, name, "", "wrong value", false)
	n.addIf(n.count(kind, name) > 1, kind, name, "", "duplicate name", false)
}

func (n naive) between(kind, name, key string, value, lowest, highest uint32) {
	n.addIf(value < lowest || value > highest, kind, name, key, "out of range", false)
}

func (n naive) ref(kind, name, key, target string, required bool, targetKind string) {
	n.addIf(target == "" && required, kind, name, key, "missing value", false)
	n.addIf(target != "" && n.count(targetKind, target) == 0, kind, name, key, "broken reference", false)
}

func (n naive) unusedUnless(kind, name string, used bool) {
	n.addIf(!used, kind, name, "", "unused", true)
}

func (n naive) pool(p *apiv1.Pool) {
	n.name("pool", p.Name)
	n.ref("pool", p.Name, "availability_budget", p.AvailabilityBudget, true, "availability_budget")
	n.ref("pool", p.Name, "capacity_policy", p.CapacityPolicy, false, "capacity_policy")
	spares := map[string]bool{}
	for _, o := range n.set.Pool {
		if o.Spare {
			spares[o.Name] = true
		}
	}
	n.addIf(len(spares) > 1 && spares[p.Name], "pool", p.Name, "spare", "contradiction", false)
	n.addIf(p.CapacityPolicy != "" && (p.Spare || len(spares) == 0), "pool", p.Name, "capacity_policy", "contradiction", true)
	for _, b := range n.set.AvailabilityBudget {
		n.addIf(b.Name == p.AvailabilityBudget && p.MinVms >= 2 && b.MaxDown >= p.MinVms, "pool", p.Name, "min_vms", "contradiction", false)
	}
	used := p.Spare
	for _, s := range n.set.Service {
		used = used || s.Pool == p.Name
	}
	for _, q := range n.set.Queue {
		used = used || q.Pool == p.Name
	}
	for _, m := range n.set.Maintenance {
		used = used || m.Pool == p.Name
	}
	n.unusedUnless("pool", p.Name, used)
}

func (n naive) team(t *apiv1.Team) {
	n.name("team", t.Name)
	n.between("team", t.Name, "weight", t.Weight, 1, 1000000)
	n.ref("team", t.Name, "limit", t.Limit, true, "limit")
	used, services := false, map[string]bool{}
	for _, a := range n.set.ClientAccount {
		used = used || a.Team == t.Name
	}
	for _, q := range n.set.Queue {
		used = used || q.OpenTeam == t.Name || slices.Contains(q.Teams, t.Name)
		if slices.Contains(q.Teams, t.Name) && q.Service != "" {
			services[q.Service] = true
		}
	}
	n.unusedUnless("team", t.Name, used)
	for _, l := range n.set.Limit {
		n.addIf(l.Name == t.Limit && int(l.MaxRunning) < len(services), "team", t.Name, "limit", "contradiction", true)
	}
}

func (n naive) budget(b *apiv1.AvailabilityBudget) {
	n.name("availability_budget", b.Name)
	n.between("availability_budget", b.Name, "max_down", b.MaxDown, 1, 100000)
	n.addIf(b.MaxDownPerZone > b.MaxDown, "availability_budget", b.Name, "max_down_per_zone", "contradiction", false)
	rackBound := b.MaxDown
	if b.MaxDownPerZone > 0 {
		rackBound = min(rackBound, b.MaxDownPerZone)
	}
	n.addIf(b.MaxDownPerRack > rackBound, "availability_budget", b.Name, "max_down_per_rack", "contradiction", false)
	n.unusedUnless("availability_budget", b.Name, slices.ContainsFunc(n.set.Pool, func(p *apiv1.Pool) bool { return p.AvailabilityBudget == b.Name }))
}

func (n naive) service(s *apiv1.Service) {
	n.name("service", s.Name)
	n.ref("service", s.Name, "pool", s.Pool, true, "pool")
	n.between("service", s.Name, "slots_per_minion", s.SlotsPerMinion, 1, 1024)
	n.between("service", s.Name, "connections_per_minion", s.ConnectionsPerMinion, 1, 65536)
	n.between("service", s.Name, "entry_vms", s.EntryVms, 1, 64)
	n.between("service", s.Name, "max_deadline", s.MaxDeadlineMs, 100, 3600000)
	opened := s.ConnectionsPerMinion
	for s.EntryVms > 0 && opened%s.EntryVms != 0 {
		opened--
	}
	n.addIf(s.EntryVms > 0 && opened == 0, "service", s.Name, "connections_per_minion", "contradiction", false)
	n.addIf(s.EntryVms > 0 && opened > 0 && opened < s.SlotsPerMinion, "service", s.Name, "slots_per_minion", "contradiction", true)
	n.unusedUnless("service", s.Name, slices.ContainsFunc(n.set.Queue, func(q *apiv1.Queue) bool { return q.Service == s.Name }))
}

func (n naive) queue(q *apiv1.Queue) {
	n.name("queue", q.Name)
	n.ref("queue", q.Name, "service", q.Service, false, "service")
	n.ref("queue", q.Name, "pool", q.Pool, false, "pool")
	n.ref("queue", q.Name, "open_team", q.OpenTeam, false, "team")
	n.addIf(q.Service != "" && q.Pool != "", "queue", q.Name, "pool", "contradiction", false)
	n.addIf(q.Service == "" && q.Pool == "", "queue", q.Name, "service", "contradiction", false)
	n.addIf(q.Open != (q.OpenTeam != ""), "queue", q.Name, "open_team", "contradiction", false)
	n.addIf(!q.Open && q.OpenTeam == "" && len(q.Teams) == 0, "queue", q.Name, "teams", "contradiction", false)
	n.addIf(q.Open && q.OpenTeam != "" && len(q.Teams) > 0, "queue", q.Name, "teams", "contradiction", true)
	for i, t := range q.Teams {
		n.addIf(t == "", "queue", q.Name, "teams", "missing value", false)
		repeated := t != "" && slices.Contains(q.Teams[:i], t)
		n.addIf(repeated, "queue", q.Name, "teams", "contradiction", false)
		if !repeated {
			n.ref("queue", q.Name, "teams", t, false, "team")
		}
	}
	n.addIf(q.Priority < 1 || q.Priority > 3, "queue", q.Name, "priority", "wrong value", false)
	n.between("queue", q.Name, "max_depth", q.MaxDepth, 1, 100000)
}

func (n naive) policy(p *apiv1.CapacityPolicy) {
	n.name("capacity_policy", p.Name)
	n.between("capacity_policy", p.Name, "buffer_percent", p.BufferPercent, 0, 100)
	n.between("capacity_policy", p.Name, "grow_at_percent", p.GrowAtPercent, 1, 100)
	n.between("capacity_policy", p.Name, "shrink_at_percent", p.ShrinkAtPercent, 0, 99)
	n.between("capacity_policy", p.Name, "move_cooldown", p.MoveCooldownMs, 0, 86400000)
	n.addIf(p.ShrinkAtPercent >= p.GrowAtPercent, "capacity_policy", p.Name, "shrink_at_percent", "contradiction", false)
	zones := map[string]bool{}
	for _, z := range n.set.AvailabilityZone {
		zones[z.Name] = true
	}
	n.addIf(p.ReserveZoneLoss && len(zones) == 1, "capacity_policy", p.Name, "reserve_zone_loss", "contradiction", false)
	n.unusedUnless("capacity_policy", p.Name, slices.ContainsFunc(n.set.Pool, func(o *apiv1.Pool) bool { return o.CapacityPolicy == p.Name }))
}

func (n naive) maintenance(m *apiv1.Maintenance) {
	n.name("maintenance", m.Name)
	n.ref("maintenance", m.Name, "pool", m.Pool, true, "pool")
	n.addIf(m.Action < 1 || m.Action > 3, "maintenance", m.Name, "action", "wrong value", false)
	n.addIf(m.Action == 3, "maintenance", m.Name, "action", "contradiction", false)
	n.addIf(m.State < 1 || m.State > 3, "maintenance", m.Name, "state", "wrong value", false)
	n.between("maintenance", m.Name, "drain_timeout", m.DrainTimeoutMs, 0, 86400000)
	for _, p := range n.set.Pool {
		for _, b := range n.set.AvailabilityBudget {
			n.addIf(p.Name == m.Pool && b.Name == p.AvailabilityBudget && m.MaxParallel > b.MaxDown, "maintenance", m.Name, "max_parallel", "contradiction", false)
		}
	}
	for i, vm := range m.Vms {
		n.addIf(vm == "", "maintenance", m.Name, "vms", "missing value", false)
		n.addIf(slices.Contains(m.Vms[:i], vm), "maintenance", m.Name, "vms", "contradiction", false)
		for _, o := range n.set.Maintenance {
			n.addIf(o.Pool != m.Pool && slices.Contains(o.Vms, vm), "maintenance", m.Name, "vms", "contradiction", false)
		}
	}
}
