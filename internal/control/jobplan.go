package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/jobs"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// planJobs plans and commits the placement of pending jobs on workers.
func (l *leadership) planJobs(ctx context.Context) {
	var plan *apiv1.PlaceJobs
	l.server.opts.StateMachine.Read(func(st *state.State) { plan = newPlacements(st) })
	if plan == nil {
		return
	}
	l.server.metrics.placements.Add(float64(len(plan.Placements)))
	l.commitChange(ctx, "jobs placed", &apiv1.Command{Body: &apiv1.Command_PlaceJobs{PlaceJobs: plan}})
}

// newPlacements plans one round of placements. It returns nil if the plan is empty.
func newPlacements(st *state.State) *apiv1.PlaceJobs {
	in := jobPlanInput(st)
	if len(in.Jobs) == 0 {
		return nil
	}
	plan := jobs.Plan(in)
	if proto.Size(plan) == 0 {
		return nil
	}
	return plan
}

// jobPlanInput returns the input of the job planner. FreeSlots holds by team how
// many more jobs may run under the team's limit.
func jobPlanInput(st *state.State) jobs.PlanInput {
	free := make(map[string]uint32, len(st.Index.Set.Team))
	for _, t := range st.Index.Set.Team {
		free[t.Name] = st.Membership.RemainingJobs(t.Name)
	}
	return jobs.PlanInput{
		NowMS: st.LogTimeMS, Jobs: st.Jobs.Live(), VMs: st.Fleet.VMs(), Index: st.Index, FreeSlots: free,
	}
}
