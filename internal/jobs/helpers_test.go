package jobs

import (
	"flag"
	"fmt"

	"github.com/google/uuid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// startMS is the log time (the largest proposal time of an applied command) at which
// the tests start, in Unix milliseconds.
const startMS = 1_800_000_000_000

// setRapidChecks sets the number of cases that rapid generates for the test that
// calls it, and the mean number of steps in each.
func setRapidChecks(n, steps int) {
	flag.Set("rapid.checks", fmt.Sprint(n))
	flag.Set("rapid.steps", fmt.Sprint(steps))
}

// jobID returns a UUIDv7 with the time ms, in Unix milliseconds, whose other bits
// hold n.
func jobID(ms int64, n int) string {
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = 0x70, 0x80
	u[13], u[14], u[15] = byte(n>>16), byte(n>>8), byte(n)
	return u.String()
}

// testIndex returns a configuration with pools p0 and p1, a queue per pool and
// priority ("p0-1" is the urgent one of p0), zones z0 to z2 of which z2 is out of
// service, and teams t0, t1 and so on with weights 1, 2 and so on.
func testIndex(teams int) *objects.Index {
	set := &apiv1.ObjectSet{
		Pool:               []*apiv1.Pool{{Name: "p0", AvailabilityBudget: "b"}, {Name: "p1", AvailabilityBudget: "b"}},
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "b", MaxDown: 2}},
		Limit:              []*apiv1.Limit{{Name: "l", MaxRunning: 100}},
	}
	for i := range 3 {
		set.AvailabilityZone = append(set.AvailabilityZone, &apiv1.AvailabilityZone{Name: fmt.Sprint("z", i)})
	}
	set.AvailabilityZone[2].State = apiv1.ZoneState_ZONE_STATE_OUT
	for i := range teams {
		set.Team = append(set.Team, &apiv1.Team{Name: fmt.Sprint("t", i), Weight: uint32(i + 1), Limit: "l"})
	}
	for _, p := range []string{"p0", "p1"} {
		for _, prio := range []apiv1.Priority{1, 2, 3} {
			set.Queue = append(set.Queue, &apiv1.Queue{Name: fmt.Sprintf("%s-%d", p, prio), Pool: p, Open: true, Priority: prio, MaxDepth: 1000})
		}
	}
	return objects.NewIndex(set)
}

// observe adds a VM to the fleet, with a worker named after it.
func observe(f *fleet.State, ix *objects.Index, vm, pool, zone string, r *apiv1.Resources) {
	f.Observe(startMS, &apiv1.ObserveVms{Observations: []*apiv1.VmObservation{{
		Vm: vm, Pool: pool, AvailabilityZone: zone, Rack: "r", WorkerId: "w-" + vm, Capacity: r,
	}}}, ix)
}

// teamLimits implements TeamLimits with the same limit for every team.
type teamLimits struct {
	max     uint32
	running map[string]uint32
}

func (l *teamLimits) AcquireJob(team string) bool {
	if l.running[team] >= l.max {
		return false
	}
	l.running[team]++
	return true
}

func (l *teamLimits) ReleaseJob(team string) { l.running[team]-- }
