package batch

import (
	"net/netip"
	"slices"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Bounds of an entry that describes a minion or the machine that it runs on. Entries
// come from outside and may be another writer's.
const (
	// maxNameBytes bounds ids, names, labels and addresses.
	maxNameBytes = 256
	maxLabels    = 64
	// maxCapacity bounds each resource: ten thousand cores in thousandths of a core, or
	// ten TB of memory in MB.
	maxCapacity = 10_000_000
	// MaxClockLead is how far the clock of a minion's machine may be ahead of the
	// leader's.
	MaxClockLead = time.Minute
	// MaxWholeNumber bounds the times and clocks from outside, in ms: larger whole
	// numbers are not exact in each reader of JSON.
	MaxWholeNumber = 1<<53 - 1
)

// EntryFault says why an entry names no minion to use. Logs and metrics show it.
type EntryFault string

// Faults of entries; faultTexts says what they mean.
const (
	// NoFault is the fault of an entry that names a minion to use.
	NoFault       EntryFault = ""
	FaultID       EntryFault = "id"
	FaultStart    EntryFault = "start"
	FaultNumber   EntryFault = "number"
	FaultCapacity EntryFault = "capacity"
	FaultTexts    EntryFault = "texts"
	FaultAddress  EntryFault = "address"
	FaultNoPool   EntryFault = "no_pool"
	FaultNoZone   EntryFault = "no_zone"
	// FaultUnknownPool is the fault of an entry whose pool no published catalog has. A
	// later catalog may have it.
	FaultUnknownPool EntryFault = "unknown_pool"
	// FaultOtherPool and FaultOtherZone are the faults of an entry that differs from the
	// recorded one of its incarnation in what no incarnation changes: a machine keeps its
	// zone, and a move to another pool ends the incarnation.
	FaultOtherPool EntryFault = "other_pool"
	FaultOtherZone EntryFault = "other_zone"
	// FaultNoCatalog is the fault of an entry that arrives before the first catalog.
	FaultNoCatalog EntryFault = "no_catalog"
)

var faultTexts = map[EntryFault]string{
	FaultID:          "its id is empty or too long",
	FaultStart:       "it started in the future",
	FaultNumber:      "its number is too high",
	FaultCapacity:    "its capacity is missing or too large",
	FaultTexts:       "its texts are too long",
	FaultAddress:     "its address is not ip:port",
	FaultNoPool:      "it has no pool",
	FaultNoZone:      "it has no zone",
	FaultUnknownPool: "no published catalog has its pool",
	FaultOtherPool:   "its incarnation is in another pool",
	FaultOtherZone:   "its incarnation is in another zone",
	FaultNoCatalog:   "no catalog has been published yet",
}

// String returns the fault in words.
func (f EntryFault) String() string { return faultTexts[f] }

// Error returns INVALID_ARGUMENT for an entry that has the fault, nil without one.
func (f EntryFault) Error(m *apiv1.BatchMinion) error {
	if f == NoFault {
		return nil
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "entry of minion %.64q names none to use: %s", m.GetLife().GetId(), f)
}

// FaultOf returns the fault of an entry as far as it shows without the state. nowUnixMS
// is the time of day in Unix ms.
//
// Entries with a later start or a higher number replace earlier ones, so one that no
// minion can have reached would keep the minion's own entries out until its end: a start
// in the future, or a number above one announcement for each millisecond since.
func FaultOf(m *apiv1.BatchMinion, nowUnixMS int64) EntryFault {
	if fault := recordFault(m, nowUnixMS); fault != NoFault {
		return fault
	}
	address, err := netip.ParseAddrPort(m.Address)
	switch {
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return FaultAddress
	case m.Pool == "":
		return FaultNoPool
	case m.AvailabilityZone == "":
		return FaultNoZone
	case m.Capacity == nil:
		return FaultCapacity
	}
	return NoFault
}

// EntryFault returns the fault of an entry that shows only beside the state, for an entry
// without a fault of its own. An entry that has one must not replace a recorded one.
func (s *State) EntryFault(m *apiv1.BatchMinion) EntryFault {
	switch {
	case s.catalog.Version == 0:
		return FaultNoCatalog
	case !s.poolPublished(m.Pool):
		return FaultUnknownPool
	}
	known := s.minions[m.Life.GetId()]
	if known == nil || IncarnationOf(known.Life) != IncarnationOf(m.Life) {
		return NoFault
	}
	switch {
	case known.Pool != m.Pool:
		return FaultOtherPool
	case known.AvailabilityZone != m.AvailabilityZone:
		return FaultOtherZone
	}
	return NoFault
}

// Contradicts reports whether an entry with the fault differs from a recorded one, either
// of which may be another writer's.
func (f EntryFault) Contradicts() bool { return f == FaultOtherPool || f == FaultOtherZone }

// poolPublished reports whether a published catalog, the one in force or an earlier one,
// has a pool. A queue that accepted jobs was in one.
func (s *State) poolPublished(name string) bool {
	if s.catalog.pools[name] != nil || s.formerPools[name] {
		return true
	}
	return slices.ContainsFunc(s.active, func(j *Job) bool { return j.AcceptedQueue.GetPool() == name })
}

// ValidRecord reports whether a recorded entry is one that the state would record. An
// earlier version may have recorded another one, which any valid entry replaces.
func ValidRecord(m *apiv1.BatchMinion, nowUnixMS int64) bool {
	return recordFault(m, nowUnixMS) == NoFault
}

// recordFault returns why the state must not record an entry, NoFault when it may. What
// a wrong address or pool leads to shows when the minion is called. All replicas apply
// the same rule, so a change of it divides replicas of different versions.
func recordFault(m *apiv1.BatchMinion, nowUnixMS int64) EntryFault {
	born, lead := m.GetLife().GetBornUnixMs(), MaxClockLead.Milliseconds()
	switch {
	case !ValidName(m.GetLife().GetId()):
		return FaultID
	case born <= 0 || born > nowUnixMS+lead:
		return FaultStart
	case m.Sequence > uint64(max(nowUnixMS-born, 0)+lead):
		return FaultNumber
	case !ValidCapacity(m.Capacity):
		return FaultCapacity
	case len(m.Address) > maxNameBytes || len(m.Pool) > maxNameBytes || len(m.AvailabilityZone) > maxNameBytes || !ValidLabels(m.Labels):
		return FaultTexts
	}
	return NoFault
}

// ValidName reports whether an id or name from outside may be used.
func ValidName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// ValidLabels reports whether labels from outside may be used.
func ValidLabels(labels []string) bool {
	for _, l := range labels {
		if len(l) > maxNameBytes {
			return false
		}
	}
	return len(labels) <= maxLabels
}

// ValidCapacity reports whether a capacity from outside may be used.
func ValidCapacity(r *apiv1.Resources) bool {
	return max(r.GetCpuMillis(), r.GetMemoryMb(), r.GetAccelerators()) <= maxCapacity
}
