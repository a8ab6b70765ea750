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

// waitInForce asks until every live session has the version. It prints the
// reply, and returns a pendingError when the wait ends first.
func (a *app) waitInForce(ctx context.Context, client *operator.Client, reply *apiv1.PublishReply, wait time.Duration) error {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	last := ""
	for !reply.InForce {
		if waiting := sessionNames(reply.WaitingFor); waiting != last && terminal(a.stderr) {
			a.note("version %d is published; waiting for %s", reply.Version, waiting)
			last = waiting
		}
		select {
		case <-ctx.Done():
			return a.notInForce(reply)
		case <-deadline.C:
			return a.notInForce(reply)
		case <-time.After(a.pollInterval):
		}
		next, err := client.InForce(ctx, reply.Version)
		if err != nil {
			a.note("version %d is published; whether it is in force could not be learned", reply.Version)
			return err
		}
		reply = next
	}
	a.print(reply, func() { a.say("version %d is in force", reply.Version) })
	return nil
}

func (a *app) notInForce(reply *apiv1.PublishReply) error {
	a.print(reply, func() {})
	return &pendingError{fmt.Sprintf("version %d is published and not yet in force; waiting for %s; see bergamotctl status",
		reply.Version, sessionNames(reply.WaitingFor))}
}

func sessionNames(list []*apiv1.WaitingSession) string {
	var names []string
	for _, s := range list {
		names = append(names, fmt.Sprintf("%s in %s", s.ProcessId, s.AvailabilityZone))
	}
	return strings.Join(names, ", ")
}

// printLines writes one text a line, or a JSON list.
func (a *app) printLines(lines []string, none string) {
	if a.cli.Output == "json" {
		if lines == nil {
			lines = []string{}
		}
		data, err := json.MarshalIndent(lines, "", "  ")
		if err == nil {
			a.say("%s", data)
		}
		return
	}
	if len(lines) == 0 {
		a.say("%s", none)
	}
	for _, l := range lines {
		a.say("%s", l)
	}
}
