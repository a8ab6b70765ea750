// Package command is the command line of bergamotctl.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/term"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// CLI is the grammar of bergamotctl.
type CLI struct {
	Settings string `help:"Settings file with a [client] section." type:"path" default:"~/.config/bergamot/client.ini" env:"BERGAMOT_SETTINGS"`
	Output   string `help:"Output as table or json." short:"o" enum:"table,json" default:"table"`

	Check       checkCommand       `cmd:"" help:"Check a folder of objects without publishing it."`
	Diff        diffCommand        `cmd:"" help:"Say what publishing a folder would change."`
	Publish     publishCommand     `cmd:"" help:"Publish a folder and wait until it is in force."`
	Get         getCommand         `cmd:"" help:"Write a published version into a folder, or print it."`
	History     historyCommand     `cmd:"" help:"List the last published versions."`
	Status      statusCommand      `cmd:"" help:"Show the state of the whole system."`
	Explain     explainCommand     `cmd:"" help:"Say why a job, a request or a VM is in its state."`
	Key         keyCommands        `cmd:"" help:"Issue and withdraw keys of client accounts."`
	Zone        zoneCommands       `cmd:"" help:"Take availability zones out of service and back."`
	Maintenance maintenanceCommand `cmd:"" help:"Plan, start and pause maintenance waves."`
	Jobs        jobsCommands       `cmd:"" help:"List, show and cancel jobs."`
	Batch       batchCommands      `cmd:"" help:"Show batch jobs, pools and waves of a platform."`
	Control     controlCommands    `cmd:"" help:"Show and replace control replicas."`
	Dump        dumpCommand        `cmd:"" help:"Get the state dump of the control leader."`
	OperatorKey operatorKeyCommand `cmd:"" help:"Create a key for an operator."`
}

const description = `Manages the fleet through the operators' API of bergamot-control.

Exit codes follow the result codes: 0 for success, 2 for a wrong command line, 3 when a publish
is not yet in force or a change is still pending, and else the first digit of the result code
followed by its last one, at most 9: 40 for CONFIG_INVALID (4000), 41 for VERSION_CONFLICT (4001).
docs/result-codes.md lists them all.

Example:
  bergamotctl get objects && bergamotctl diff objects && bergamotctl publish objects`

// app is what commands work with.
type app struct {
	cli            *CLI
	stdout, stderr io.Writer
	// pollInterval is the time between two questions while waiting.
	pollInterval time.Duration
	// publishWait is operator.Options.PublishAttemptTimeout.
	publishWait time.Duration
}

const defaultPollInterval = 500 * time.Millisecond

// exitRequest carries the exit code of --help out of the parser.
type exitRequest int

// Run parses and runs one command line and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return run(ctx, args, &app{stdout: stdout, stderr: stderr, pollInterval: defaultPollInterval})
}

func run(ctx context.Context, args []string, a *app) (code int) {
	defer func() {
		if r := recover(); r != nil {
			exit, ok := r.(exitRequest)
			if !ok {
				panic(r)
			}
			code = int(exit)
		}
	}()
	a.cli = &CLI{}
	parser, err := kong.New(a.cli, kong.Name("bergamotctl"), kong.Description(description),
		kong.Writers(a.stdout, a.stderr), kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, WrapUpperBound: 100}))
	if err != nil {
		panic(err) // the grammar itself is wrong
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(a.stderr, "bergamotctl: %v; see bergamotctl --help\n", err)
		return exitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	return a.finish(parsed.Run(a))
}

// finish reports an error and returns the exit code.
func (a *app) finish(err error) int {
	if err == nil {
		return exitOK
	}
	var pending *pendingError
	if errors.As(err, &pending) {
		_, _ = fmt.Fprintf(a.stderr, "bergamotctl: %s\n", pending.message)
		return exitPending
	}
	e := result.From(err)
	if a.cli.Output == "json" {
		a.printJSON(a.stderr, e.Status())
	} else {
		name := strings.TrimPrefix(e.Code.String(), "RESULT_CODE_") // as docs/result-codes.md names it
		_, _ = fmt.Fprintf(a.stderr, "bergamotctl: %s (%d): %s\n", name, int32(e.Code), e.Message)
	}
	return ExitCode(e.Code)
}

// client connects as the settings file says.
func (a *app) client() (*operator.Client, error) {
	conf := &apiv1.ClientSettings{}
	if err := settings.JoinErrors(settings.Load(a.cli.Settings, "client", conf)); err != nil {
		return nil, invalid("%v", err)
	}
	credential, problems := operator.ReadCredential(conf.OperatorName, conf.OperatorKeyFile)
	if err := settings.JoinErrors(problems); err != nil {
		return nil, invalid("%v", err)
	}
	return operator.NewClient(operator.Options{
		Addresses:             conf.OperatorAddresses,
		Credential:            credential,
		Timeout:               time.Duration(conf.TimeoutMs) * time.Millisecond,
		PublishAttemptTimeout: a.publishWait,
	})
}

func invalid(format string, args ...any) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, format, args...)
}

// terminal reports whether w is a terminal, where progress may be shown.
func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}
