package command

import (
	"context"

	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

type jobsCommands struct {
	List   jobsListCommand   `cmd:"" help:"List jobs in the order of their submission."`
	Show   jobsShowCommand   `cmd:"" help:"Show one job."`
	Cancel jobsCancelCommand `cmd:"" help:"Cancel jobs."`
}

type jobsListCommand struct {
	Queue string `help:"Only jobs of this queue."`
	Team  string `help:"Only jobs of this team."`
	State string `help:"Only jobs in this state: pending, placed, running, stopping, done, failed, canceled, parked or unknown."`
	Limit int    `help:"Most jobs to list." default:"100"`
}

func (jobsListCommand) Help() string {
	return `Examples:
  bergamotctl jobs list --state parked
  bergamotctl jobs list --queue summaries --limit 1000 -o json`
}

// Run prints the jobs that match the flags.
func (c *jobsListCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	list, err := client.Jobs(ctx, operator.JobsQuery{Queue: c.Queue, Team: c.Team, State: c.State, Limit: c.Limit})
	if err != nil {
		return err
	}
	a.printMessage(list, func() {
		printTable(a.stdout, "", list.Jobs, "job_id", "state", "priority", "queue", "team", "submitted_unix_ms", "reason")
		if list.Truncated {
			a.eprintf("more jobs match; raise --limit or name a queue, a team or a state")
		}
	})
	return nil
}

type jobsShowCommand struct {
	JobID string `arg:"" help:"Job id."`
}

func (jobsShowCommand) Help() string {
	return `Shows the job as the control group knows it. To learn why it does not run, use explain job.

Example:
  bergamotctl jobs show 019ad1f2-0000-7000-8000-000000000001`
}

// Run prints one job and its lease, if it has one.
func (c *jobsShowCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	job, err := client.Job(ctx, c.JobID)
	if err != nil {
		return err
	}
	a.printMessage(job, func() {
		printFields(a.stdout, job)
		if job.Lease != nil {
			a.printf("lease:")
			printFields(a.stdout, job.Lease)
		}
	})
	return nil
}

type jobsCancelCommand struct {
	JobIDs []string `arg:"" help:"Job ids."`
}

func (jobsCancelCommand) Help() string {
	return `A pending job ends at once; a running one is told to stop and ends when its worker confirms.

Example:
  bergamotctl jobs cancel 019ad1f2-0000-7000-8000-000000000001`
}

// Run requests the cancellation of the jobs and prints those that were rejected.
// The error is that of the first rejected job.
func (c *jobsCancelCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	reply, err := client.CancelJobs(ctx, c.JobIDs)
	if err != nil {
		return err
	}
	a.printMessage(reply, func() {
		for _, r := range reply.Rejections {
			a.printf("%s: not canceled: %s", r.Id, r.Status.GetMessage())
		}
		a.printf("%s accepted", countOf(len(c.JobIDs)-len(reply.Rejections), "cancellation"))
	})
	if len(reply.Rejections) > 0 {
		return result.FromStatus(reply.Rejections[0].Status)
	}
	return nil
}
