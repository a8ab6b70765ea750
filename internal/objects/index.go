// Package objects handles the operators' named objects: parsing, validation as
// one set, comparison and lookup.
package objects

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Index gives constant-time lookup by name in one object set. It is immutable.
type Index struct {
	Set      *apiv1.ObjectSet
	Pools    map[string]*apiv1.Pool
	Teams    map[string]*apiv1.Team
	Accounts map[string]*apiv1.ClientAccount
	Keys     map[string]*apiv1.Key
	Zones    map[string]*apiv1.AvailabilityZone
	Budgets  map[string]*apiv1.AvailabilityBudget
	Limits   map[string]*apiv1.Limit
	Services map[string]*apiv1.Service
	Queues   map[string]*apiv1.Queue
	Policies map[string]*apiv1.CapacityPolicy
}

type named interface{ GetName() string }

func byName[T named](list []T) map[string]T {
	m := make(map[string]T, len(list))
	for _, o := range list {
		m[o.GetName()] = o
	}
	return m
}

// NewIndex indexes set, which must not change afterwards. A nil set is empty.
func NewIndex(set *apiv1.ObjectSet) *Index {
	if set == nil {
		set = &apiv1.ObjectSet{}
	}
	return &Index{
		Set:      set,
		Pools:    byName(set.Pool),
		Teams:    byName(set.Team),
		Accounts: byName(set.ClientAccount),
		Keys:     byName(set.Key),
		Zones:    byName(set.AvailabilityZone),
		Budgets:  byName(set.AvailabilityBudget),
		Limits:   byName(set.Limit),
		Services: byName(set.Service),
		Queues:   byName(set.Queue),
		Policies: byName(set.CapacityPolicy),
	}
}

// IsZoneIn reports whether work may start in the zone. A zone without an object
// is refused, so a misspelt announcement gets no work.
func (ix *Index) IsZoneIn(zone string) bool {
	z, ok := ix.Zones[zone]
	return ok && z.State != apiv1.ZoneState_ZONE_STATE_OUT
}

// MaxRunning returns the upper limit of the team, 0 when the team is unknown.
func (ix *Index) MaxRunning(team string) uint32 {
	t, ok := ix.Teams[team]
	if !ok {
		return 0
	}
	return ix.Limits[t.Limit].GetMaxRunning()
}

// CanUseQueue reports whether the team may use the queue.
func (ix *Index) CanUseQueue(q *apiv1.Queue, team string) bool {
	if q.Open {
		return true
	}
	for _, t := range q.Teams {
		if t == team {
			return true
		}
	}
	return false
}
