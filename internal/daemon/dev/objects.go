package dev

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

const (
	serviceName  = "heat-alerts"
	requestQueue = "alerts"
	jobQueue     = "summaries"
	poolName     = "heat-alerts"
)

// demoObjects returns a small configuration with one service, a queue for its
// requests, a queue for jobs and one client account, and the credential of that
// account.
func demoObjects() (*apiv1.ObjectSet, string) {
	key, credential := objects.NewKey("home-1", "home-1")
	objectSet := &apiv1.ObjectSet{
		Limit:              []*apiv1.Limit{{Name: "care", MaxRunning: 20}},
		Team:               []*apiv1.Team{{Name: "care", Weight: 1, Limit: "care"}},
		ClientAccount:      []*apiv1.ClientAccount{{Name: "home-1", Team: "care"}},
		Key:                []*apiv1.Key{key},
		AvailabilityZone:   []*apiv1.AvailabilityZone{{Name: zoneName, Region: "region-1", State: apiv1.ZoneState_ZONE_STATE_IN}},
		AvailabilityBudget: []*apiv1.AvailabilityBudget{{Name: "one-down", MaxDown: 1}},
		Pool:               []*apiv1.Pool{{Name: poolName, AvailabilityBudget: "one-down"}},
		Service: []*apiv1.Service{{
			Name: serviceName, Pool: poolName, SlotsPerMinion: 8, ConnectionsPerMinion: 64, EntryVms: 8, MaxDeadlineMs: 30000,
		}},
		Queue: []*apiv1.Queue{
			{Name: requestQueue, Service: serviceName, Teams: []string{"care"}, Priority: apiv1.Priority_PRIORITY_URGENT, MaxDepth: 1000},
			{Name: jobQueue, Pool: poolName, Teams: []string{"care"}, Priority: apiv1.Priority_PRIORITY_OVERNIGHT, MaxDepth: 1000},
		},
	}
	return objectSet, credential
}
