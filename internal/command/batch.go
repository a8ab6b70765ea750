package command

import (
	"context"
	"time"

	"bergamotdrum.example/bergamotdrum/internal/operator"
)

// batchCallTimeout limits one call of the admin pages of a control replica.
const batchCallTimeout = 5 * time.Second

type batchCommands struct {
	Admin  string             `help:"Admin address (ip:port) of a control replica; the leader's state is the newest." required:"" env:"BERGAMOT_ADMIN"`
	Status batchStatusCommand `cmd:"" help:"Show the catalog in force, pools, queues, accounts, the leader's forecasts, the memory of accepted jobs, zones out and waves."`
	Jobs   batchJobsCommand   `cmd:"" help:"List jobs that have not ended, by pages."`
	Show   batchShowCommand   `cmd:"" help:"Show one job with its steps and runs."`
}

// client returns a client of the admin pages of the replica that --admin names.
func (b *batchCommands) client() *operator.BatchClient {
	return operator.NewBatchClient(b.Admin, batchCallTimeout)
}

type batchStatusCommand struct{}

func (batchStatusCommand) Help() string {
	return `Example:
  bergamotctl batch status --admin 10.0.0.4:7001`
}

// Run prints the catalog version in force and the tables of pools, queues, client
// accounts, forecasts, memory and waves.
func (batchStatusCommand) Run(ctx context.Context, a *app) error {
	s, err := a.cli.Batch.client().Status(ctx)
	if err != nil {
		return err
	}
	a.printMessage(s, func() {
		a.printf("catalog version %d in force", s.CatalogVersion)
		for _, zone := range s.ZonesOut {
			a.printf("availability zone %s is out of service", zone)
		}
		printTable(a.stdout, "\npools", s.Pools)
		printTable(a.stdout, "\nqueues", s.Queues)
		printTable(a.stdout, "\naccounts", s.Accounts)
		printTable(a.stdout, "\nforecasts of the leader", s.Forecasts)
		printTable(a.stdout, "\nmemory of accepted jobs", s.JobMemory)
		printTable(a.stdout, "\nmaintenance", s.Waves)
	})
	return nil
}

type batchJobsCommand struct {
	Queue string `help:"Only jobs of this queue."`
	After string `help:"Continue after this job id, as the last page says."`
	All   bool   `help:"Include jobs that have ended."`
	Limit int    `help:"Jobs on a page, at most 500." default:"100"`
}

func (batchJobsCommand) Help() string {
	return `Example:
  bergamotctl batch jobs --admin 10.0.0.4:7001 --queue dawn-warnings`
}

// Run prints one page of batch jobs, and the flag for the next page if there is
// one.
func (c *batchJobsCommand) Run(ctx context.Context, a *app) error {
	list, err := a.cli.Batch.client().Jobs(ctx, operator.BatchJobsQuery{Queue: c.Queue, After: c.After, All: c.All, Limit: c.Limit})
	if err != nil {
		return err
	}
	a.printMessage(list, func() {
		printTable(a.stdout, "", list.Jobs)
		if list.NextAfter != "" {
			a.printf("more: --after %s", list.NextAfter)
		}
	})
	return nil
}

type batchShowCommand struct {
	ID string `arg:"" help:"Id of the job."`
}

func (batchShowCommand) Help() string {
	return `Example:
  bergamotctl batch show --admin 10.0.0.4:7001 5c0e7a21d94b36f8`
}

// Run prints one batch job with its steps and runs.
func (c *batchShowCommand) Run(ctx context.Context, a *app) error {
	job, err := a.cli.Batch.client().Job(ctx, c.ID)
	if err != nil {
		return err
	}
	a.printMessage(job, func() {
		printFields(a.stdout, job.Summary)
		printTable(a.stdout, "\nsteps", job.Steps)
		printTable(a.stdout, "\nruns", job.Runs)
	})
	return nil
}
