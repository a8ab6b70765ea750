package measure

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	zoneLeaves  = 60 * time.Second
	zoneReturns = 120 * time.Second
	zoneEnd     = 180 * time.Second
	// sessionLost is the session TTL and margin.
	sessionLost = 2250 * time.Millisecond
	// askReports is how long a standby asks the live sessions for reports.
	askReports = 300 * time.Millisecond
	// grantMargin is added to deadlines before a slot counts as free.
	grantMargin = 500 * time.Millisecond
	zoneMean    = 100 * time.Millisecond
)

// ZoneResult is the work done while an availability zone is away for 60 s.
type ZoneResult struct {
	Case string
	// WorkPercent is the slot time used while the zone was away, in percent of
	// the slot time of the remaining minions.
	WorkPercent float64
	// StartsInZone counts starts in the zone while it was out, from the moment
	// the configuration was in force.
	StartsInZone int
	// BackAfter is the time from the return until a second of full use of the
	// zone's slots.
	BackAfter  time.Duration
	Violations int
}

type zoneRun struct {
	*shardSim
	zone    string
	used    time.Duration
	starts  int
	perTick map[int]time.Duration
	out     bool
}

func newZoneRun(ix *objects.Index, seed uint64) *zoneRun {
	q := requestQueue(ix)
	z := &zoneRun{
		shardSim: newShardSim(seed, ix, q.Service),
		zone:     ix.Set.AvailabilityZone[0].Name,
		perTick:  map[int]time.Duration{},
	}
	z.onStart = func(_ *request, zone string) {
		if z.out && zone == z.zone {
			z.starts++
		}
	}
	z.onRun = func(_ *request, zone string, start, end time.Duration) {
		if zone == z.zone {
			z.countReturn(start, end)
			return
		}
		if overlap := min(end, zoneReturns) - max(start, zoneLeaves); overlap > 0 {
			z.used += overlap
		}
	}
	timeout := time.Duration(ix.Services[q.Service].MaxDeadlineMs) * time.Millisecond
	for _, team := range q.Teams {
		for range clientsPerTeam {
			z.loop(team, q.Name, zoneMean, timeout)
		}
	}
	return z
}

// countReturn adds the zone's slot time after its return up by second.
func (z *zoneRun) countReturn(start, end time.Duration) {
	for s := int(max(start, zoneReturns) / time.Second); time.Duration(s)*time.Second < end; s++ {
		from := time.Duration(s) * time.Second
		if overlap := min(end, from+time.Second) - max(start, from); overlap > 0 {
			z.perTick[s] += overlap
		}
	}
}

func (z *zoneRun) zoneSlots() int {
	n := 0
	for i := range minionsPerService {
		if zoneOf(z.ix, i) == z.zone {
			n += slotsPerMinion
		}
	}
	return n
}

func (z *zoneRun) result(name string) ZoneResult {
	remaining := float64(slots-z.zoneSlots()) * (zoneReturns - zoneLeaves).Seconds()
	out := ZoneResult{
		Case:         name,
		WorkPercent:  100 * z.used.Seconds() / remaining,
		StartsInZone: z.starts,
		BackAfter:    zoneEnd - zoneReturns,
		Violations:   z.overLimit + z.overSlots,
	}
	full := time.Duration(z.zoneSlots()) * time.Second * 95 / 100
	for s := int(zoneReturns / time.Second); s < int(zoneEnd/time.Second); s++ {
		if z.perTick[s] >= full {
			out.BackAfter = time.Duration(s)*time.Second - zoneReturns
			break
		}
	}
	return out
}

func withZone(ix *objects.Index, zone string, state apiv1.ZoneState) *objects.Index {
	set := proto.CloneOf(ix.Set)
	i := slices.IndexFunc(set.AvailabilityZone, func(z *apiv1.AvailabilityZone) bool { return z.Name == zone })
	set.AvailabilityZone[i].State = state
	return objects.NewIndex(set)
}

// Zone measures a zone taken out by operators, one that fails with its minions,
// and one that fails together with its entry processes and the shard's host,
// with and without a standby that is left.
func Zone(ix *objects.Index, seed uint64) []ZoneResult {
	longest := time.Duration(ix.Services[requestQueue(ix).Service].MaxDeadlineMs) * time.Millisecond
	return []ZoneResult{
		zoneOut(ix, seed),
		zoneLost(ix, seed, "minions of the zone lost", 0),
		zoneLost(ix, seed, "minions, entry processes and shard host lost, standby left", sessionLost+askReports),
		zoneLost(ix, seed, "the same, standby lost too", sessionLost+longest+grantMargin),
	}
}

func zoneOut(ix *objects.Index, seed uint64) ZoneResult {
	z := newZoneRun(ix, seed)
	set := func(state apiv1.ZoneState) func() {
		return func() {
			z.out = state == apiv1.ZoneState_ZONE_STATE_OUT
			z.core.SetConfig(z.now, withZone(ix, z.zone, state), nil)
			z.handle(z.core.Step(z.now))
		}
	}
	z.after(zoneLeaves, set(apiv1.ZoneState_ZONE_STATE_OUT))
	z.after(zoneReturns, set(apiv1.ZoneState_ZONE_STATE_IN))
	z.run(zoneEnd)
	return z.result("taken out by operators")
}

// zoneLost loses the host too when its successor takes a time to start.
func zoneLost(ix *objects.Index, seed uint64, name string, successor time.Duration) ZoneResult {
	z := newZoneRun(ix, seed)
	z.after(zoneLeaves, func() { z.down[z.zone] = true })
	z.after(zoneReturns, func() { z.down[z.zone] = false })
	if successor > 0 {
		z.after(zoneLeaves, func() { z.loseHost(successor) })
	}
	z.run(zoneEnd)
	return z.result(name)
}

// loseHost ends the shard's host and the entry processes of the zone.
func (z *zoneRun) loseHost(successor time.Duration) {
	z.hosted = false
	for _, held := range z.open {
		held.lost = held.inZone
	}
	for ticket, r := range z.tickets {
		delete(z.tickets, ticket)
		z.refuse(r, apiv1.ResultCode_RESULT_CODE_SHARD_UNAVAILABLE)
	}
	z.after(successor, func() {
		z.members.ExpireSessions(3, &apiv1.ExpireSessions{SessionIds: []uint64{1}})
		z.members.ReleaseSessions(&apiv1.ReleaseSessions{SessionIds: []uint64{1}})
		z.openSession(4, "entry-2")
		z.newHost(0)
		z.announce()
	})
}
