package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fleet"
	"bergamotdrum.example/bergamotdrum/internal/jobs"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// explain says why a job waits, what became of a request, or why a VM is held
// back.
func (s *Server) explain(ctx context.Context, c *operatorCall) (proto.Message, error) {
	q := c.r.URL.Query()
	var report *apiv1.ExplainReport
	err := c.read(ctx, func(st *state.State) {
		switch {
		case q.Get("job") != "":
			report = explainJob(st, q.Get("job"))
		case q.Get("request") != "":
			report = explainRequest(st, q.Get("request"))
		case q.Get("vm") != "":
			report = c.l.explainVM(st, q.Get("vm"))
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

func fact(name, value string) *apiv1.ExplainFact {
	return &apiv1.ExplainFact{Name: name, Value: value}
}

func explainJob(st *state.State, id string) *apiv1.ExplainReport {
	job, ok := st.Jobs.Get(id)
	if !ok {
		return nil
	}
	report := &apiv1.ExplainReport{
		Kind:    "job",
		Id:      id,
		Summary: "The job is " + job.State.String() + ".",
		Facts: []*apiv1.ExplainFact{
			fact("team", job.Team), fact("queue", job.Queue), fact("pool", job.Pool),
			fact("worker", job.Lease.GetWorkerId()), fact("reason", job.Reason),
		},
	}
	if job.State == apiv1.JobState_JOB_STATE_PENDING {
		why := jobs.Explain(planInput(st), id)
		report.Reasons = append(report.Reasons, &apiv1.ExplainReason{Code: apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, Message: why})
	}
	return report
}

func explainRequest(st *state.State, id string) *apiv1.ExplainReport {
	record := st.Ledger.Find(id)
	if record == nil {
		return nil
	}
	return &apiv1.ExplainReport{
		Kind:    "request",
		Id:      id,
		Summary: "The request is " + record.State.String() + ".",
		Facts:   []*apiv1.ExplainFact{fact("client account", record.ClientAccount)},
	}
}

func (l *leadership) explainVM(st *state.State, id string) *apiv1.ExplainReport {
	vm, ok := st.Fleet.VM(id)
	if !ok {
		return nil
	}
	report := &apiv1.ExplainReport{
		Kind:    "vm",
		Id:      id,
		Summary: fleet.Explain(l.capacityInput(st), id),
		Facts: []*apiv1.ExplainFact{
			fact("pool", vm.Pool), fact("availability zone", vm.AvailabilityZone), fact("rack", vm.Rack),
			fact("operation", vm.OperationId), fact("worker", vm.WorkerId),
		},
	}
	return report
}
