package control

import (
	"context"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/jobs"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// ExecutorSource is what an Executor reads and commits.
type ExecutorSource interface {
	// Intents returns the committed intents that are not finished.
	Intents() []*apiv1.Intent
	// Drained reports whether nothing runs on the VM and nothing more will be
	// sent to it.
	Drained(vm string) bool
	// Advance commits new phases.
	Advance(ctx context.Context, advances []*apiv1.IntentAdvance) error
}

// Executor carries out intents against the platform until ctx ends.
type Executor interface {
	Run(ctx context.Context)
}

// planJobs places pending jobs on workers.
func (l *leadership) planJobs(ctx context.Context) {
	var plan *apiv1.PlaceJobs
	l.s.o.Machine.Read(func(st *state.State) { plan = planJobs(st) })
	if plan == nil {
		return
	}
	l.s.m.planned.Add(float64(len(plan.Placements)))
	l.commit(ctx, "jobs placed", &apiv1.Command{Body: &apiv1.Command_PlaceJobs{PlaceJobs: plan}})
}

// planFleet proposes maintenance and moves between pools.
func (l *leadership) planFleet(ctx context.Context) {
	_ = ctx
}

func (l *leadership) runExecutor() {}

// planJobs returns nil when there is nothing to place.
func planJobs(st *state.State) *apiv1.PlaceJobs {
	in := planInput(st)
	if len(in.Jobs) == 0 {
		return nil
	}
	plan := jobs.Plan(in)
	if len(plan.Placements)+len(plan.PreemptJobIds)+len(plan.ThrottleJobIds) == 0 {
		return nil
	}
	return plan
}

func planInput(st *state.State) jobs.PlanInput {
	free := make(map[string]uint32, len(st.Index.Set.Team))
	for _, t := range st.Index.Set.Team {
		free[t.Name] = st.Membership.FreeJobs(t.Name)
	}
	return jobs.PlanInput{Jobs: st.Jobs.Live(), VMs: st.Fleet.VMs(), Index: st.Index, FreeSlots: free}
}
