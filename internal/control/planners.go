package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/jobs"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// planJobs places pending jobs on workers.
func (l *leadership) planJobs(ctx context.Context) {
	var plan *apiv1.PlaceJobs
	l.s.o.StateMachine.Read(func(st *state.State) { plan = planJobs(st) })
	if plan == nil {
		return
	}
	l.s.m.planned.Add(float64(len(plan.Placements)))
	l.commit(ctx, "jobs placed", &apiv1.Command{Body: &apiv1.Command_PlaceJobs{PlaceJobs: plan}})
}

// planJobs returns nil when there is nothing to place.
func planJobs(st *state.State) *apiv1.PlaceJobs {
	in := planInput(st)
	if len(in.Jobs) == 0 {
		return nil
	}
	plan := jobs.Plan(in)
	if proto.Size(plan) == 0 {
		return nil
	}
	return plan
}

func planInput(st *state.State) jobs.PlanInput {
	free := make(map[string]uint32, len(st.Index.Set.Team))
	for _, t := range st.Index.Set.Team {
		free[t.Name] = st.Membership.RemainingJobs(t.Name)
	}
	return jobs.PlanInput{
		NowMS: st.LogTimeMS, Jobs: st.Jobs.Live(), VMs: st.Fleet.VMs(), Index: st.Index, FreeSlots: free,
	}
}
