package membership

import (
	"cmp"
	"slices"
)

const (
	// Headroom of a service with demand is this much plus a quarter of the
	// demand, so that small changes of demand need no committed report.
	headroomBase    = 2
	headroomDivisor = 4
	// A service whose demand ended keeps at most this much of its amount as
	// headroom, so that sparse requests need no commit each.
	idleHeadroom = 2
	// Headroom takes at most this part of what no service asks for; the rest
	// stays free for jobs, which have no demand report.
	headroomPart = 2
)

// rebalanceTeam computes the targets from the demand and grows the amounts
// from what is free. Amounts never fall here: a shrink needs the shard's
// acknowledgement.
func (s *State) rebalanceTeam(name string) {
	t, ok := s.teams[name]
	if !ok {
		return
	}
	s.setTargets(t)
	t.grow()
	t.dropEmpty()
	if t.limit == 0 && t.jobs == 0 && len(t.allotments) == 0 {
		delete(s.teams, name)
	}
}

func (s *State) setTargets(t *team) {
	reserved := t.jobs
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
	wants := make([]uint32, len(services))
	held := make([]uint32, len(services))
	for i, service := range services {
		wants[i] = t.allotments[service].wanted
		held[i] = t.allotments[service].amount
	}
	for i, n := range divide(available, wants, held) {
		t.allotments[services[i]].target = n
	}
}

func (t *team) grow() {
	held := t.held()
	for _, service := range sortedKeys(t.allotments) {
		a := t.allotments[service]
		if a.target <= a.amount || held >= t.limit {
			continue
		}
		step := min(a.target-a.amount, t.limit-held)
		a.amount += step
		held += step
	}
}

func (t *team) dropEmpty() {
	for service, a := range t.allotments {
		if *a == (allotment{}) {
			delete(t.allotments, service)
		}
	}
}

// divide splits available among services by what they want and hold now. When
// it does not suffice, each that wants any gets one (the first ones, if not
// even that is possible) and the rest is proportional to the want; otherwise
// each gets its want and some headroom.
func divide(available uint32, wants, held []uint32) []uint32 {
	total := uint64(0)
	for _, w := range wants {
		total += uint64(w)
	}
	if total <= uint64(available) {
		return withHeadroom(available-uint32(total), wants, held)
	}
	out := make([]uint32, len(wants))
	rest := make([]uint32, len(wants))
	for i, w := range wants {
		if available == 0 {
			return out
		}
		if w == 0 {
			continue
		}
		out[i] = 1
		rest[i] = w - 1
		available--
	}
	for i, n := range proportional(available, rest) {
		out[i] += n
	}
	return out
}

func withHeadroom(unused uint32, wants, held []uint32) []uint32 {
	extra := make([]uint32, len(wants))
	total := uint32(0)
	for i, w := range wants {
		extra[i] = min(held[i], idleHeadroom)
		if w > 0 {
			extra[i] = headroomBase + w/headroomDivisor
		}
		total += extra[i]
	}
	if budget := unused / headroomPart; total > budget {
		extra = proportional(budget, extra)
	}
	for i, w := range wants {
		extra[i] += w
	}
	return extra
}

// proportional splits n by weight with the largest remainders rounded up. No
// part exceeds its weight as long as n is at most their sum.
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
	left := n
	for i, w := range weights {
		order[i] = i
		out[i] = uint32(uint64(n) * uint64(w) / total)
		left -= out[i]
	}
	remainder := func(i int) uint64 { return uint64(n) * uint64(weights[i]) % total }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder(b), remainder(a)) })
	for _, i := range order[:left] {
		out[i]++
	}
	return out
}
