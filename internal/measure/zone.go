package measure

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	zoneLeavesAt    = 60 * time.Second
	zoneReturnsAt   = 120 * time.Second
	zoneSimDuration = 180 * time.Second
	// sessionExpiry is the time until the session of a lost process expires: its TTL
	// and the margin.
	sessionExpiry = 2250 * time.Millisecond
	// reportCollection is how long a new host collects reports of grants from the
	// live sessions.
	reportCollection = 300 * time.Millisecond
	// grantMargin is the time after a grant's deadline until its slot counts as
	// free.
	grantMargin     = 500 * time.Millisecond
	zoneServiceTime = 100 * time.Millisecond
)

// ZoneResult describes the work done while an availability zone is unavailable for
// 60 s, and the time until it is in full use again.
type ZoneResult struct {
	Scenario string
	// WorkPercent is the slot time used in the other zones while the zone was
	// unavailable, in percent of the slot time of their minions.
	WorkPercent float64
	// StartsInZone counts the requests that started in the zone while a
	// configuration was in force that took it out.
	StartsInZone int
	// RecoveryTime is the time from the zone's return until the first second in which
	// at least 95 % of its slot time was used. It is the rest of the simulation if
	// there is no such second.
	RecoveryTime time.Duration
	Violations   int
}

// zoneSim is a shard of which one zone becomes unavailable for a while.
type zoneSim struct {
	*shardSim
	zone          string
	usedElsewhere time.Duration // slot time in the other zones while the zone was unavailable
	startsInZone  int
	usedBySecond  map[int]time.Duration // slot time in the zone after its return
	isOut         bool                  // operators have taken the zone out
}

func newZoneSim(ix *objects.Index, seed uint64) *zoneSim {
	q := findRequestQueue(ix)
	z := &zoneSim{
		shardSim:     newShardSim(seed, ix, q.Service),
		zone:         ix.Set.AvailabilityZone[0].Name,
		usedBySecond: map[int]time.Duration{},
	}
	z.onStart = func(_ *request, zone string) {
		if z.isOut && zone == z.zone {
			z.startsInZone++
		}
	}
	z.onRun = func(_ *request, zone string, start, end time.Duration) {
		if zone == z.zone {
			z.addUseAfterReturn(start, end)
			return
		}
		if overlap := min(end, zoneReturnsAt) - max(start, zoneLeavesAt); overlap > 0 {
			z.usedElsewhere += overlap
		}
	}
	timeout := time.Duration(ix.Services[q.Service].MaxDeadlineMs) * time.Millisecond
	for _, team := range q.Teams {
		for range clientsPerTeam {
			z.startClient(team, q.Name, zoneServiceTime, timeout)
		}
	}
	return z
}

// addUseAfterReturn adds a request that ran in the zone to the used slot time of
// each second after the zone's return.
func (z *zoneSim) addUseAfterReturn(start, end time.Duration) {
	for s := int(max(start, zoneReturnsAt) / time.Second); time.Duration(s)*time.Second < end; s++ {
		from := time.Duration(s) * time.Second
		if overlap := min(end, from+time.Second) - max(start, from); overlap > 0 {
			z.usedBySecond[s] += overlap
		}
	}
}

// zoneSlots returns the number of slots in the zone.
func (z *zoneSim) zoneSlots() int {
	n := 0
	for i := range minionsPerService {
		if zoneOf(z.ix, i) == z.zone {
			n += slotsPerMinion
		}
	}
	return n
}

func (z *zoneSim) result(name string) ZoneResult {
	remaining := float64(slots-z.zoneSlots()) * (zoneReturnsAt - zoneLeavesAt).Seconds()
	out := ZoneResult{
		Scenario:     name,
		WorkPercent:  100 * z.usedElsewhere.Seconds() / remaining,
		StartsInZone: z.startsInZone,
		RecoveryTime: zoneSimDuration - zoneReturnsAt,
		Violations:   z.overLimit + z.overSlots,
	}
	full := time.Duration(z.zoneSlots()) * time.Second * 95 / 100
	for s := int(zoneReturnsAt / time.Second); s < int(zoneSimDuration/time.Second); s++ {
		if z.usedBySecond[s] >= full {
			out.RecoveryTime = time.Duration(s)*time.Second - zoneReturnsAt
			break
		}
	}
	return out
}

// withZoneState returns the index of an object set in which the zone has the given
// state and that equals that of ix otherwise.
func withZoneState(ix *objects.Index, zone string, state apiv1.ZoneState) *objects.Index {
	set := proto.CloneOf(ix.Set)
	i := slices.IndexFunc(set.AvailabilityZone, func(z *apiv1.AvailabilityZone) bool { return z.Name == zone })
	set.AvailabilityZone[i].State = state
	return objects.NewIndex(set)
}

// Zone measures a zone that operators take out, one that fails with its minions,
// and one that fails together with its entry processes and the shard's host, with
// and without a standby that survives.
func Zone(ix *objects.Index, seed uint64) []ZoneResult {
	longest := time.Duration(ix.Services[findRequestQueue(ix).Service].MaxDeadlineMs) * time.Millisecond
	return []ZoneResult{
		takeZoneOut(ix, seed),
		loseZone(ix, seed, "minions of the zone lost", 0),
		loseZone(ix, seed, "minions, entry processes and shard host lost, standby left", sessionExpiry+reportCollection),
		loseZone(ix, seed, "the same, standby lost too", sessionExpiry+longest+grantMargin),
	}
}

func takeZoneOut(ix *objects.Index, seed uint64) ZoneResult {
	z := newZoneSim(ix, seed)
	set := func(state apiv1.ZoneState) func() {
		return func() {
			z.isOut = state == apiv1.ZoneState_ZONE_STATE_OUT
			z.core.SetConfig(z.now, withZoneState(ix, z.zone, state), nil)
			z.handleOutcomes(z.core.Step(z.now))
		}
	}
	z.after(zoneLeavesAt, set(apiv1.ZoneState_ZONE_STATE_OUT))
	z.after(zoneReturnsAt, set(apiv1.ZoneState_ZONE_STATE_IN))
	z.run(zoneSimDuration)
	return z.result("taken out by operators")
}

// loseZone measures the failure of the zone's minions. If recovery is not 0, the
// shard's host and the entry processes of the zone are lost too, and a new host
// grants requests after that time.
func loseZone(ix *objects.Index, seed uint64, name string, recovery time.Duration) ZoneResult {
	z := newZoneSim(ix, seed)
	z.after(zoneLeavesAt, func() { z.zonesDown[z.zone] = true })
	z.after(zoneReturnsAt, func() { z.zonesDown[z.zone] = false })
	if recovery > 0 {
		z.after(zoneLeavesAt, func() { z.loseHost(recovery) })
	}
	z.run(zoneSimDuration)
	return z.result(name)
}

// loseHost ends the shard's host and the entry processes of the zone; a new host
// starts after the recovery time.
func (z *zoneSim) loseHost(recovery time.Duration) {
	z.hasHost = false
	for _, held := range z.openGrants {
		held.holderLost = held.inLostZone
	}
	for ticket, r := range z.requestsByTicket {
		delete(z.requestsByTicket, ticket)
		z.refuseRequest(r, apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE)
	}
	z.after(recovery, func() {
		z.members.ExpireSessions(3, &apiv1.ExpireSessions{SessionIds: []uint64{1}})
		z.members.ReleaseSessions(&apiv1.ReleaseSessions{SessionIds: []uint64{1}})
		z.openSession(4, "entry-2")
		z.startHost(0)
		z.announceMinions()
	})
}
