package placement

import "math/bits"

const (
	// maxArrivingCPU bounds the CPU that the work of one step adds to a demand, in
	// thousandths of a core. It is more than any fleet has, and millions of jobs together
	// stay below the largest int64.
	maxArrivingCPU = 1 << 40
	// maxLatencyLimitMS bounds a latency limit, so that sums of a few of them and of times
	// of day stay below the largest int64.
	maxLatencyLimitMS = 1 << 53
)

// mulDiv returns a*b/c, at most limit, of numbers that are not negative. The product may
// exceed the largest int64.
func mulDiv(a, b, c, limit int64) int64 {
	high, low := bits.Mul64(uint64(a), uint64(b))
	if high >= uint64(c) {
		return limit
	}
	quotient, _ := bits.Div64(high, low, uint64(c))
	return int64(min(quotient, uint64(limit)))
}
