package jobs

import (
	"fmt"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
)

// Explain returns a sentence for operators that says why the job waits or, if the job
// is not pending, its state. Only the jobs in in.Jobs are known to Explain.
func Explain(in PlanInput, jobID string) string {
	for _, j := range in.Jobs {
		if j.JobId == jobID {
			return explain(in, j)
		}
	}
	return fmt.Sprintf("job %s is not known; its id is wrong or its record was dropped after 24 h", jobID)
}

// explain implements Explain for a known job.
func explain(in PlanInput, j *apiv1.Job) string {
	if j.State != apiv1.JobState_JOB_STATE_PENDING {
		return explainState(j)
	}
	last := ""
	if j.Reason != "" {
		last = " Last run: " + j.Reason + "."
	}
	if in.FreeSlots[j.Team] == 0 {
		return fmt.Sprintf("waits: team %s is at its limit of %d running.%s", j.Team, in.Index.MaxRunning(j.Team), last)
	}
	return "waits: " + explainCapacity(in, j) + last
}

// explainState describes a job that is not pending.
func explainState(j *apiv1.Job) string {
	text := "state " + j.State.String()
	if j.Lease != nil {
		text += fmt.Sprintf(" on worker %s, epoch %d", j.Lease.WorkerId, j.Lease.Epoch)
	}
	if j.Reason != "" {
		text += ": " + j.Reason
	}
	return text
}

// explainCapacity says for what reason how many VMs of the pool do not take the
// pending job or, if one has enough free resources, how many jobs come first.
func explainCapacity(in PlanInput, j *apiv1.Job) string {
	p := newPlanner(in)
	need := resourcesOf(j.Resources)
	var total, down, leaving, zoneOutOfService, small int
	for _, vm := range in.VMs {
		if vm.Pool != j.Pool || vm.WorkerId == "" {
			continue
		}
		total++
		switch {
		case !need.fitsIn(resourcesOf(vm.Capacity)):
			small++
		case vm.Down:
			down++
		case !in.Index.IsZoneIn(vm.AvailabilityZone):
			zoneOutOfService++
		case !fleet.Placeable(vm, in.Index):
			leaving++
		}
	}
	if p.bestCandidate(j, need) != nil {
		return fmt.Sprintf("%d %s jobs were submitted earlier; there is room and it is placed in turn.", pendingAhead(in, j), j.Priority)
	}
	full := total - down - leaving - zoneOutOfService - small
	return fmt.Sprintf("needs %s; of %d VMs in pool %s %d are too small, %d down, %d leaving or quarantined, "+
		"%d in a zone that is out, %d full.", need, total, j.Pool, small, down, leaving, zoneOutOfService, full)
}

// pendingAhead returns the number of pending jobs of the same pool and priority
// that were submitted before j.
func pendingAhead(in PlanInput, j *apiv1.Job) int {
	n := 0
	for _, o := range in.Jobs {
		if o.JobId == j.JobId {
			break
		}
		if o.State == apiv1.JobState_JOB_STATE_PENDING && o.Priority == j.Priority && o.Pool == j.Pool {
			n++
		}
	}
	return n
}
