package placement

import (
	"cmp"
	"slices"
)

// maxMinShares divides an amount among pools by what each wants. When it doesn't
// suffice for all, pools that want little get that, and the others equal shares
// (max-min fairness), so that the backlog of one pool doesn't starve another.
func maxMinShares(amount int64, wanted map[string]int64) map[string]int64 {
	return weightedShares(amount, wanted, func(string) int64 { return 1 })
}

// weightedShares is maxMinShares with shares in proportion to weights, which are
// positive.
func weightedShares(amount int64, wanted map[string]int64, weight func(name string) int64) map[string]int64 {
	names := make([]string, 0, len(wanted))
	weights, total := make(map[string]int64, len(wanted)), int64(0)
	for name := range wanted {
		names = append(names, name)
		weights[name] = weight(name)
		total += weights[name]
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(float64(wanted[a])/float64(weights[a]), float64(wanted[b])/float64(weights[b])), cmp.Compare(a, b))
	})
	shares := make(map[string]int64, len(wanted))
	left := max(amount, 0)
	for _, name := range names {
		shares[name] = min(wanted[name], mulDiv(left, weights[name], total, left))
		left -= shares[name]
		total -= weights[name]
	}
	return shares
}
