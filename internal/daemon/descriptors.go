package daemon

import (
	"fmt"
	"syscall"
)

const (
	// reserveDivisor divides the limit into the part that is reserved.
	reserveDivisor = 8
	// minReservedDescriptors is the smallest reserve.
	minReservedDescriptors = 64
)

// DescriptorBudget divides the file descriptors of a control process. Calls to
// minions must not take those that the log, the snapshots and the other replicas
// need: a replica that can't write its log stops.
type DescriptorBudget struct {
	// Limit is how many descriptors the process may have open.
	Limit int
	// Reserved are for the log, snapshots, replicas, entries, operators and the
	// machine API.
	Reserved int
	// MinionCalls are for connections to minions. The rest is for connections from
	// minions.
	MinionCalls int
}

// PlanDescriptors divides a limit.
func PlanDescriptors(limit int) DescriptorBudget {
	reserved := max(limit/reserveDivisor, minReservedDescriptors)
	return DescriptorBudget{Limit: limit, Reserved: reserved, MinionCalls: max(limit-reserved, 0) * 3 / 5}
}

// DescriptorLimit returns how many file descriptors the process may open: the limit
// of the operating system, or configured if that is lower and not zero.
func DescriptorLimit(configured uint32) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, fmt.Errorf("read the limit of file descriptors: %w", err)
	}
	if configured > 0 {
		return int(min(limit.Cur, uint64(configured))), nil
	}
	return int(min(limit.Cur, 1<<20)), nil
}
