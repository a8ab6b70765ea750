package publish

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// fullSizeSet returns a set of the size that the system is built for: 460
// teams, 21 pools and 8 availability zones, with two accounts per team and two
// keys per account.
func fullSizeSet() *apiv1.ObjectSet {
	set := &apiv1.ObjectSet{
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "b", MaxDown: 2}},
		Limit:              []*apiv1.Limit{{Name: "l", MaxRunning: 100}},
	}
	for i := range 8 {
		set.AvailabilityZone = append(set.AvailabilityZone, &apiv1.AvailabilityZone{
			Name: fmt.Sprint("z", i), Region: "r", State: apiv1.ZoneState_ZONE_STATE_IN,
		})
	}
	var teams []string
	for i := range 460 {
		team := fmt.Sprint("team-", i)
		teams = append(teams, team)
		set.Team = append(set.Team, &apiv1.Team{Name: team, Weight: 1, Limit: "l"})
		for j := range 4 {
			account := fmt.Sprintf("%s-%d", team, j/2)
			if j%2 == 0 {
				set.ClientAccount = append(set.ClientAccount, &apiv1.ClientAccount{Name: account, Team: team})
			}
			set.Key = append(set.Key, &apiv1.Key{
				Name: fmt.Sprintf("%s-%d", account, j), ClientAccount: account,
				Salt: strings.Repeat("0a", 16), Hash: strings.Repeat("0f", 32),
			})
		}
	}
	for i := range 21 {
		pool := fmt.Sprint("pool-", i)
		set.Pool = append(set.Pool, &apiv1.Pool{Name: pool, AvailabilityBudget: "b", Spare: i == 0})
		set.Service = append(set.Service, &apiv1.Service{
			Name: pool, Pool: pool, SlotsPerMinion: 8, ConnectionsPerMinion: 64, EntryVms: 8, MaxDeadlineMs: 30_000,
		})
		set.Queue = append(set.Queue, &apiv1.Queue{
			Name: pool, Service: pool, Teams: teams, Priority: apiv1.Priority_PRIORITY_NORMAL, MaxDepth: 1000,
		})
	}
	return set
}

// BenchmarkPublish measures one publish of a full-size set. The replicated
// state machine is locked for this time.
func BenchmarkPublish(b *testing.B) {
	s, set := New(), fullSizeSet()
	if problems := objects.Check(set); len(problems) > 0 {
		b.Fatal(problems)
	}
	b.ReportMetric(float64(proto.Size(set)), "set-bytes")
	for i := range b.N {
		cmd := &apiv1.PublishConfig{RequestId: fmt.Sprint(i), ExpectedVersion: uint64(i), Objects: set}
		if _, err := s.Publish(1, cmd); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(proto.Size(s.Snapshot())), "snapshot-bytes")
}
