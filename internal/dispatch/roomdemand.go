package dispatch

import (
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/placement"
)

const (
	// roomMoveInterval is the shortest time between two moves of machines to a pool for
	// the same demand for room: the time until a moved machine's minion gets work.
	roomMoveInterval = 2 * moveLeadTime
	// maxRoomDemandAge is how long the demand of a task that can't be relocated counts.
	// Each try sets it anew.
	maxRoomDemandAge = 2 * relocationRetryInterval
)

// relocationDemand is the demand for room of a task that can't be relocated from a
// machine that is due for maintenance.
type relocationDemand struct {
	demand placement.RoomDemand
	at     time.Duration
}

// roomDemands returns the demands for room by pool, without those of pools to which a
// machine has been moved for one just now. It is called while the state is locked for
// reading.
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
	for pool := range demands {
		if at, moved := f.movedForRoomAt[pool]; moved && now-at < roomMoveInterval {
			delete(demands, pool)
		}
	}
	return demands
}

// recordRoomMoves records which of the moves are for demands for room.
func (f *fleetManager) recordRoomMoves(demands map[string][]placement.RoomDemand, moves []placement.Move) {
	for _, m := range moves {
		if len(demands[m.To]) > 0 {
			f.movedForRoomAt[m.To] = f.d.clock.Now()
		}
	}
}
