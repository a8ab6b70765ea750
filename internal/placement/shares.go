package placement

import (
	"cmp"
	"slices"
)

// maxMinShares divides an amount among pools by what each wants. When it doesn't
// suffice for all, pools that want little get that, and the others equal shares
// (max-min fairness), so that the backlog of one pool doesn't starve another.
func maxMinShares(amount int64, wanted map[string]int64) map[string]int64 {
	pools := make([]string, 0, len(wanted))
	for pool := range wanted {
		pools = append(pools, pool)
	}
	slices.SortFunc(pools, func(a, b string) int {
		return cmp.Or(cmp.Compare(wanted[a], wanted[b]), cmp.Compare(a, b))
	})
	shares := make(map[string]int64, len(wanted))
	left := max(amount, 0)
	for i, pool := range pools {
		shares[pool] = min(wanted[pool], left/int64(len(pools)-i))
		left -= shares[pool]
	}
	return shares
}
