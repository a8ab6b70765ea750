package control

import (
	"context"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/jobs"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// explain serves GET /v1/explain. It explains why a job is pending, what state a
// request is in, or why a VM's planned operation has not started.
func (s *Server) explain(ctx context.Context, c *operatorCall) (proto.Message, error) {
	q := c.request.URL.Query()
	var report *apiv1.ExplainReport
	err := c.read(ctx, func(st *state.State) {
		switch {
		case q.Get("job") != "":
			report = explainJob(st, q.Get("job"))
		case q.Get("request") != "":
			report = explainRequest(st, q.Get("request"))
		case q.Get("vm") != "":
			report = c.leadership.explainVM(st, q.Get("vm"))
		}
	})
	if err != nil {
		return nil, err
	}
	if report == nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "nothing is known under that id; give one of job, request and vm")
	}
	return report, nil
}

// facts converts alternating names and values to facts, without empty values.
func facts(pairs ...string) []*apiv1.ExplainFact {
	var out []*apiv1.ExplainFact
	for pair := range slices.Chunk(pairs, 2) {
		if pair[1] != "" {
			out = append(out, &apiv1.ExplainFact{Name: pair[0], Value: pair[1]})
		}
	}
	return out
}

// explainJob returns nil if the job does not exist.
func explainJob(st *state.State, id string) *apiv1.ExplainReport {
	job, ok := st.Jobs.Get(id)
	if !ok {
		return nil
	}
	report := &apiv1.ExplainReport{
		Kind:    "job",
		Id:      id,
		Summary: "The job is " + stateName(job.State) + ".",
		Facts: facts("team", job.Team, "queue", job.Queue, "pool", job.Pool,
			"worker", job.Lease.GetWorkerId(), "reason", job.Reason),
	}
	if job.State == apiv1.JobState_JOB_STATE_PENDING {
		why := jobs.Explain(jobPlanInput(st), id)
		report.Reasons = append(report.Reasons, &apiv1.ExplainReason{Code: apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, Message: why})
	}
	return report
}

// explainRequest returns nil if the request ledger, which records non-repeatable
// requests, has no record of the request.
func explainRequest(st *state.State, id string) *apiv1.ExplainReport {
	record := st.Ledger.Find(id)
	if record == nil {
		return nil
	}
	return &apiv1.ExplainReport{
		Kind:    "request",
		Id:      id,
		Summary: "The request is " + strings.ToLower(strings.TrimPrefix(record.State.String(), "REQUEST_STATE_")) + ".",
		Facts:   facts("client account", record.ClientAccount),
	}
}

// explainVM returns nil if the VM is unknown.
func (l *leadership) explainVM(st *state.State, id string) *apiv1.ExplainReport {
	vm, ok := st.Fleet.VM(id)
	if !ok {
		return nil
	}
	report := &apiv1.ExplainReport{
		Kind:    "vm",
		Id:      id,
		Summary: fleet.Explain(l.capacityInput(st), id),
		Facts: facts("pool", vm.Pool, "availability zone", vm.AvailabilityZone, "rack", vm.Rack,
			"operation", vm.OperationId, "worker", vm.WorkerId),
	}
	return report
}
