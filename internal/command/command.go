// Package command implements the command line program bergamotctl, with which
// operators manage the fleet. Its outputs and exit codes may be used by scripts.
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

// CLI declares the commands and flags of bergamotctl for kong, which derives
// their names from the names of the fields.
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

// app holds the global flags, the outputs and the intervals that the commands
// share. kong passes it to each command's Run method.
type app struct {
	cli            *CLI
	stdout, stderr io.Writer
	// pollInterval is the time between two requests while a command waits for a
	// change to finish.
	pollInterval time.Duration
	// publishAttemptTimeout is operator.Options.PublishAttemptTimeout. Only tests
	// set it.
	publishAttemptTimeout time.Duration
}

const defaultPollInterval = 500 * time.Millisecond

// exitRequest is the value of the panic that carries an exit code, such as that
// of --help, out of kong's parser. kong expects its exit function not to return.
type exitRequest int

// Run parses and runs one command line, without the program's name, and returns
// the exit code. Results go to stdout; errors and notes go to stderr.
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
		panic(err) // CLI has invalid kong tags
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(a.stderr, "bergamotctl: %v; see bergamotctl --help\n", err)
		return exitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	return a.reportError(parsed.Run(a))
}

// reportError writes an error to stderr, as JSON with --output json, and returns
// the exit code that belongs to it. A nil error gives exit code 0.
func (a *app) reportError(err error) int {
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

// client returns a client of the operators' API, configured by the settings file.
// It does not connect yet. The error is INVALID_ARGUMENT.
func (a *app) client() (*operator.Client, error) {
	conf := &apiv1.ClientSettings{}
	if err := settings.JoinErrors(settings.Load(a.cli.Settings, "client", conf)); err != nil {
		return nil, invalidArgument("%v", err)
	}
	credential, problems := operator.ReadCredential(conf.OperatorName, conf.OperatorKeyFile)
	if err := settings.JoinErrors(problems); err != nil {
		return nil, invalidArgument("%v", err)
	}
	return operator.NewClient(operator.Options{
		Addresses:             conf.OperatorAddresses,
		Credential:            credential,
		Timeout:               time.Duration(conf.TimeoutMs) * time.Millisecond,
		PublishAttemptTimeout: a.publishAttemptTimeout,
	})
}

// invalidArgument returns an INVALID_ARGUMENT error, which says that nothing was
// done.
func invalidArgument(format string, args ...any) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, format, args...)
}

// isTerminal reports whether w is a terminal. Progress is shown only there.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}
