package dispatch

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/placement"
)

// maxRoomDemandAge is how long the demand of a task that can't be relocated counts.
// Each try sets it anew.
const maxRoomDemandAge = 2 * relocationRetryInterval

// relocationDemand is the demand for room of a task that can't be relocated from a
// machine that is due for maintenance.
type relocationDemand struct {
	demand placement.RoomDemand
	at     time.Duration
}

// roomDemands returns the demands for room by pool. It is called while the state is
// locked for reading.
func (f *fleetManager) roomDemands(st *batch.State, usable map[batch.Incarnation]bool, now time.Duration) map[string][]placement.RoomDemand {
	reserved, _ := f.reservedAndDue()
	demands := placement.RoomDemands(st, time.Now().UnixMilli(), func(m *apiv1.BatchMinion) bool {
		inc := batch.IncarnationOf(m.Life)
		return usable[inc] && !reserved[inc]
	})
	for pool, r := range f.relocationDemands {
		if now-r.at < maxRoomDemandAge {
			demands[pool] = placement.AddRoomDemand(demands[pool], r.demand)
		}
	}
	return demands
}
