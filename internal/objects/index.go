// Package objects handles the named objects with which operators configure the
// system, such as pools, teams and queues. It reads and writes them as INI
// files, validates and compares whole sets, and looks objects up by name.
package objects

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Index holds an object set and maps from names to its objects. It must not be
// modified, so that it may be used concurrently.
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

// NewIndex returns an index of set, which must not be modified afterwards. A nil
// set is treated as empty.
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

// IsZoneIn reports whether the availability zone is in service, so that work may
// start there. It returns false for a zone without an object, so that a process that
// announces a misspelt zone gets no work.
func (ix *Index) IsZoneIn(zone string) bool {
	z, ok := ix.Zones[zone]
	return ok && z.State != apiv1.ZoneState_ZONE_STATE_OUT
}

// MaxRunning returns how many requests and jobs of the team may run at the same
// time, or 0 if the team is unknown.
func (ix *Index) MaxRunning(team string) uint32 {
	t, ok := ix.Teams[team]
	if !ok {
		return 0
	}
	return ix.Limits[t.Limit].GetMaxRunning()
}

// CanUseQueue reports whether the team may use the queue. Any team may use an
// open queue.
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
