package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"google.golang.org/protobuf/proto"

	"bergamotdrum.example/bergamotdrum/internal/operator"
)

type statusCommand struct{}

func (statusCommand) Help() string {
	return `Shows control replicas, sessions of entries, shards, pools with VMs up and down against the
budget, availability zones, maintenance waves, and teams with what they run against their share
and limit.

Examples:
  bergamotctl status
  bergamotctl status -o json`
}

// Run prints the configuration version and one table for each part of the system.
func (statusCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	a.printMessage(s, func() {
		a.printf("configuration version %d, in force: %s", s.ConfigVersion, yesNo(s.InForce))
		printTable(a.stdout, "\ncontrol replicas", s.ControlReplicas, replicaColumns...)
		printTable(a.stdout, "\nsessions", s.Sessions)
		printTable(a.stdout, "\nshards", s.Shards, "service", "epoch", "process_id", "recovering")
		printTable(a.stdout, "\npools", s.Pools)
		printTable(a.stdout, "\navailability zones", s.Zones)
		printTable(a.stdout, "\nmaintenance", s.Waves)
		printTable(a.stdout, "\nteams", s.Teams)
	})
	return nil
}

type explainCommand struct {
	Kind string `arg:"" help:"job, request or vm." enum:"job,request,vm"`
	ID   string `arg:"" help:"Id of the job, the request (its Idempotency-Key) or the VM."`
}

func (explainCommand) Help() string {
	return `Examples:
  bergamotctl explain job 019ad1f2-0000-7000-8000-000000000001
  bergamotctl explain request 019ad1f2-0000-7000-8000-000000000002
  bergamotctl explain vm wards-17`
}

// Run prints the state of a job, a request or a VM, with facts and reasons.
func (c *explainCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	query := map[string]operator.ExplainQuery{
		"job": {Job: c.ID}, "request": {Request: c.ID}, "vm": {VM: c.ID},
	}[c.Kind]
	report, err := client.Explain(ctx, query)
	if err != nil {
		return err
	}
	a.printMessage(report, func() {
		a.printf("%s %s: %s", report.Kind, report.Id, report.Summary)
		for _, f := range report.Facts {
			a.printf("  %s: %s", f.Name, f.Value)
		}
		for _, r := range report.Reasons {
			a.printf("because: %s (%d)", r.Message, int32(r.Code))
			if r.Fix != "" {
				a.printf("    fix: %s", r.Fix)
			}
		}
	})
	return nil
}

// printFields writes the scalar fields of a message, each on its own line.
func printFields(w io.Writer, m proto.Message) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	r := m.ProtoReflect()
	for _, fd := range columnFields(r.Descriptor(), nil) {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", columnName(fd), formatField(fd, r.Get(fd)))
	}
	_ = tw.Flush()
}

type dumpCommand struct {
	Out string `help:"File to write instead of the standard output." type:"path"`
}

func (dumpCommand) Help() string {
	return `The dump is JSON and holds no secrets. Each process also writes its own dump to its log on
SIGUSR1 and serves it at /debug/state of its admin address.

Example:
  bergamotctl dump --out dump.json`
}

// Run writes the state dump to the file or to stdout.
func (c *dumpCommand) Run(ctx context.Context, a *app) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	data, err := client.Dump(ctx)
	if err != nil {
		return err
	}
	if c.Out == "" {
		_, err = a.stdout.Write(data)
		return err
	}
	if err := os.WriteFile(c.Out, data, 0o600); err != nil {
		return fmt.Errorf("write the dump: %w", err)
	}
	return nil
}
