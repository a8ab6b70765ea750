package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/operator"
)

// waitInForce polls until the version of the reply is in force, which means that
// every live session of an entry process has acknowledged it, and then prints the
// last reply. It returns a pendingError when ctx or the wait ends first. Progress is
// shown on a terminal only.
func (a *app) waitInForce(ctx context.Context, client *operator.Client, reply *apiv1.PublishReply, wait time.Duration) error {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	last := ""
	for !reply.InForce {
		if waiting := sessionNames(reply.WaitingFor); waiting != last && isTerminal(a.stderr) {
			a.eprintf("version %d is published; waiting for %s", reply.Version, waiting)
			last = waiting
		}
		select {
		case <-ctx.Done():
			return a.reportNotInForce(reply)
		case <-deadline.C:
			return a.reportNotInForce(reply)
		case <-time.After(a.pollInterval):
		}
		next, err := client.InForce(ctx, reply.Version)
		if err != nil {
			a.eprintf("version %d is published; whether it is in force could not be learned", reply.Version)
			return err
		}
		reply = next
	}
	a.printMessage(reply, func() { a.printf("version %d is in force", reply.Version) })
	return nil
}

// reportNotInForce prints the last reply if the output is JSON, and returns the
// pendingError that names the sessions without the version.
func (a *app) reportNotInForce(reply *apiv1.PublishReply) error {
	a.printMessage(reply, func() {})
	return &pendingError{fmt.Sprintf("version %d is published and not yet in force; waiting for %s; see bergamotctl status",
		reply.Version, sessionNames(reply.WaitingFor))}
}

// sessionNames returns the entry processes of the sessions with their zones,
// separated by commas.
func sessionNames(list []*apiv1.WaitingSession) string {
	var names []string
	for _, s := range list {
		names = append(names, fmt.Sprintf("%s in %s", s.ProcessId, s.AvailabilityZone))
	}
	return strings.Join(names, ", ")
}

// printLines writes each text on its own line, or all as a JSON array with
// --output json. Without any text it writes emptyText, or an empty array.
func (a *app) printLines(lines []string, emptyText string) {
	if a.cli.Output == "json" {
		if lines == nil {
			lines = []string{}
		}
		data, err := json.MarshalIndent(lines, "", "  ")
		if err == nil {
			a.printf("%s", data)
		}
		return
	}
	if len(lines) == 0 {
		a.printf("%s", emptyText)
	}
	for _, l := range lines {
		a.printf("%s", l)
	}
}
