package membership

import (
	"cmp"
	"slices"
)

const (
	// An allotment is the part of a team's limit that a service's shard (scheduler)
	// may use. Headroom is the part of the allotment above the demand, the service's
	// running and waiting requests. A service with demand has minHeadroom plus
	// 1/demandPerHeadroom of its demand as headroom, so that small changes of the
	// demand don't need a report, each of which must be committed to the log.
	minHeadroom       = 2
	demandPerHeadroom = 4
	// A service without demand keeps at most this much of its amount (what its
	// allotment counts against the limit) as headroom, so that occasional requests
	// don't need a report each.
	idleHeadroom = 2
	// The headroom of all services together is at most 1/unusedPerHeadroom of
	// what their demands leave of the limit. The rest stays free for jobs, whose
	// demand isn't reported.
	unusedPerHeadroom = 2
)

// rebalanceTeam computes the targets of a team from the demands and raises amounts
// below their targets (the parts that the shards should have) as far as the limit
// permits. It lowers no amount, since that needs the acknowledgement of the shard. A
// team without limit, leased jobs and allotments is removed.
func (s *State) rebalanceTeam(name string) {
	t, ok := s.teams[name]
	if !ok {
		return
	}
	s.setTargets(t)
	t.growAmounts()
	t.removeEmptyAllotments()
	if t.limit == 0 && t.leasedJobs == 0 && len(t.allotments) == 0 {
		delete(s.teams, name)
	}
}

// setTargets divides the limit among the shards, after the leased jobs and the
// amounts of recovering shards. These are fixed until the new host has counted the
// requests that still run. Retiring shards, whose service is no longer configured,
// get a target of zero.
func (s *State) setTargets(t *team) {
	reserved := t.leasedJobs
	var services []string
	for _, service := range sortedKeys(t.allotments) {
		a := t.allotments[service]
		if s.shards[service] == nil || s.shards[service].Recovering {
			a.target = min(a.amount, t.limit)
			reserved += a.amount
			continue
		}
		a.target = 0
		if !s.shards[service].Retiring {
			services = append(services, service)
		}
	}
	available := t.limit - min(t.limit, reserved)
	demands := make([]uint32, len(services))
	amounts := make([]uint32, len(services))
	for i, service := range services {
		demands[i] = t.allotments[service].wanted
		amounts[i] = t.allotments[service].amount
	}
	for i, n := range divide(available, demands, amounts) {
		t.allotments[services[i]].target = n
	}
}

// growAmounts raises amounts to their targets, in the order of the service names,
// until the limit is reached.
func (t *team) growAmounts() {
	allocated := t.allocated()
	for _, service := range sortedKeys(t.allotments) {
		a := t.allotments[service]
		if a.target <= a.amount || allocated >= t.limit {
			continue
		}
		step := min(a.target-a.amount, t.limit-allocated)
		a.amount += step
		allocated += step
	}
}

func (t *team) removeEmptyAllotments() {
	for service, a := range t.allotments {
		if *a == (allotment{}) {
			delete(t.allotments, service)
		}
	}
}

// divide divides available among services by their demands and current amounts.
// If available covers all demands, each service gets its demand and some headroom.
// Otherwise each service with demand gets one, or the first ones if there aren't
// enough, and the rest is divided in proportion to the demands.
func divide(available uint32, demands, amounts []uint32) []uint32 {
	total := uint64(0)
	for _, w := range demands {
		total += uint64(w)
	}
	if total <= uint64(available) {
		return withHeadroom(available-uint32(total), demands, amounts)
	}
	out := make([]uint32, len(demands))
	unmet := make([]uint32, len(demands))
	for i, w := range demands {
		if available == 0 {
			return out
		}
		if w == 0 {
			continue
		}
		out[i] = 1
		unmet[i] = w - 1
		available--
	}
	for i, n := range proportional(available, unmet) {
		out[i] += n
	}
	return out
}

// withHeadroom returns the demands, each with headroom from the unused part of the
// limit.
func withHeadroom(unused uint32, demands, amounts []uint32) []uint32 {
	extra := make([]uint32, len(demands))
	total := uint32(0)
	for i, w := range demands {
		extra[i] = min(amounts[i], idleHeadroom)
		if w > 0 {
			extra[i] = minHeadroom + w/demandPerHeadroom
		}
		total += extra[i]
	}
	if budget := unused / unusedPerHeadroom; total > budget {
		extra = proportional(budget, extra)
	}
	for i, w := range demands {
		extra[i] += w
	}
	return extra
}

// proportional divides n in proportion to the weights by the largest remainder
// method. No part exceeds its weight if n is at most the sum of the weights.
func proportional(n uint32, weights []uint32) []uint32 {
	total := uint64(0)
	for _, w := range weights {
		total += uint64(w)
	}
	out := make([]uint32, len(weights))
	if total == 0 {
		return out
	}
	order := make([]int, len(weights))
	remaining := n
	for i, w := range weights {
		order[i] = i
		out[i] = uint32(uint64(n) * uint64(w) / total)
		remaining -= out[i]
	}
	remainder := func(i int) uint64 { return uint64(n) * uint64(weights[i]) % total }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder(b), remainder(a)) })
	for _, i := range order[:remaining] {
		out[i]++
	}
	return out
}
