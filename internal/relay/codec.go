package relay

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"
	"unicode/utf8"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/dispatch"
)

func targetMessage(t dispatch.Target) *apiv1.RelayTarget {
	return &apiv1.RelayTarget{Minion: t.Incarnation.Message(), Address: t.Address}
}

func targetOf(m *apiv1.RelayTarget) dispatch.Target {
	return dispatch.Target{Incarnation: batch.IncarnationOf(m.GetMinion()), Address: m.GetAddress()}
}

func runKey(task *apiv1.TaskName, number uint32) batch.RunKey {
	return batch.RunKey{TaskRef: batch.RefOf(task), Number: number}
}

func startCall(to dispatch.Target, o dispatch.StartOrder) *apiv1.RelayedCall {
	return &apiv1.RelayedCall{Target: targetMessage(to), Token: o.Token, Body: &apiv1.RelayedCall_Start{Start: &apiv1.RelayedStart{
		Task: o.Run.Name(), Run: o.Run.Number, Specification: o.Specification, Checkpoint: o.Checkpoint, Ticket: o.Ticket, LeaseUntilMs: o.LeaseUntilMS,
	}}}
}

func stopCall(to dispatch.Target, run batch.RunKey, token uint64) *apiv1.RelayedCall {
	return &apiv1.RelayedCall{Target: targetMessage(to), Token: token, Body: &apiv1.RelayedCall_Stop{Stop: &apiv1.RelayedStop{
		Task: run.Name(), Run: run.Number,
	}}}
}

func holdCall(to dispatch.Target, o dispatch.HoldRequest) *apiv1.RelayedCall {
	return &apiv1.RelayedCall{Target: targetMessage(to), Token: o.Token, Body: &apiv1.RelayedCall_Hold{Hold: &apiv1.RelayedHold{
		LastAckedEnd: o.LastAckedEnd, LeaseUntilMs: o.LeaseUntilMS, MaxWaitMs: uint32(o.MaxWait.Milliseconds()),
	}}}
}

// carryOut makes a call through minions and returns the answer.
func carryOut(ctx context.Context, minions dispatch.MinionClient, c *apiv1.RelayedCall) *apiv1.RelayedAnswer {
	to := targetOf(c.Target)
	switch b := c.Body.(type) {
	case *apiv1.RelayedCall_Start:
		s := b.Start
		clockMS, err := minions.Start(ctx, to, dispatch.StartOrder{
			Run: runKey(s.GetTask(), s.GetRun()), Specification: s.GetSpecification(), Checkpoint: s.GetCheckpoint(), Ticket: s.GetTicket(),
			LeaseUntilMS: s.GetLeaseUntilMs(), Token: c.Token,
		})
		return answerMessage(c.Id, clockMS, err)
	case *apiv1.RelayedCall_Stop:
		clockMS, err := minions.Stop(ctx, to, runKey(b.Stop.GetTask(), b.Stop.GetRun()), c.Token)
		return answerMessage(c.Id, clockMS, err)
	case *apiv1.RelayedCall_Hold:
		reply, err := minions.Hold(ctx, to, dispatch.HoldRequest{
			Token: c.Token, LastAckedEnd: b.Hold.GetLastAckedEnd(), LeaseUntilMS: b.Hold.GetLeaseUntilMs(),
			MaxWait: time.Duration(b.Hold.GetMaxWaitMs()) * time.Millisecond,
		})
		out := answerMessage(c.Id, 0, err)
		if err == nil {
			out.ClockMs, out.Hold = reply.ClockMS, holdMessage(reply)
		}
		return out
	}
	return answerMessage(c.Id, 0, &dispatch.Refusal{Reason: dispatch.NotSent, Detail: "this version doesn't know the call"})
}

func answerMessage(id uint64, clockMS int64, err error) *apiv1.RelayedAnswer {
	out := &apiv1.RelayedAnswer{Id: id, ClockMs: clockMS}
	refusal, refused := errors.AsType[*dispatch.Refusal](err)
	switch {
	case err == nil:
	case refused:
		out.Refusal, out.ClockMs, out.Detail = uint32(refusal.Reason), refusal.ClockMS, encodableText(refusal.Detail)
	case errors.Is(err, syscall.ECONNREFUSED):
		out.Failure, out.Detail = apiv1.RelayFailure_RELAY_FAILURE_CONNECTION_REFUSED, encodableText(err.Error())
	default:
		out.Failure, out.Detail = apiv1.RelayFailure_RELAY_FAILURE_NO_ANSWER, encodableText(err.Error())
	}
	return out
}

// encodableText replaces what isn't UTF-8 in the text of an error, which may quote what a
// minion sent. A message with such a text can't be sent, and the stream would end.
func encodableText(text string) string {
	return strings.ToValidUTF8(text, string(utf8.RuneError))
}

// errNoAnswer is the error of a call to which the minion gave no answer to the replica.
var errNoAnswer = errors.New("minion did not answer the replica")

// answerError returns the error that the replica's call returned. A refusal that this
// version doesn't know counts as no answer.
func answerError(a *apiv1.RelayedAnswer) error {
	switch {
	case a.Failure == apiv1.RelayFailure_RELAY_FAILURE_CONNECTION_REFUSED:
		return fmt.Errorf("%s: %w", a.Detail, syscall.ECONNREFUSED)
	case a.Failure != apiv1.RelayFailure_RELAY_FAILURE_UNSPECIFIED || a.Refusal > uint32(dispatch.NotSent):
		return fmt.Errorf("%w: %s", errNoAnswer, a.Detail)
	case a.Refusal != 0:
		return &dispatch.Refusal{Reason: dispatch.RefusalReason(a.Refusal), ClockMS: a.ClockMs, Detail: a.Detail}
	}
	return nil
}

func holdMessage(r *dispatch.HoldReply) *apiv1.RelayedHoldReply {
	out := &apiv1.RelayedHoldReply{StartedMs: r.StartedMS, AckableEnd: r.AckableEnd}
	for _, s := range r.Running {
		out.Running = append(out.Running, &apiv1.RelayedRun{
			Task: s.Run.Name(), Run: s.Run.Number, Checkpoint: s.Checkpoint, SpeedPercent: uint32(s.SpeedPercent), Load: s.Load,
		})
	}
	for _, e := range r.Ended {
		out.Ended = append(out.Ended, &apiv1.RelayedEnd{Number: e.EndNumber, Task: e.Run.Name(), Run: e.Run.Number, End: e.End, Checkpoint: e.Checkpoint})
	}
	if r.Unreadable != nil {
		out.Unreadable = encodableText(r.Unreadable.Error())
	}
	return out
}

func holdReply(a *apiv1.RelayedAnswer) *dispatch.HoldReply {
	m := a.GetHold()
	out := &dispatch.HoldReply{StartedMS: m.GetStartedMs(), ClockMS: a.GetClockMs(), AckableEnd: m.GetAckableEnd()}
	for _, s := range m.GetRunning() {
		out.Running = append(out.Running, dispatch.RunStatus{
			Run: runKey(s.Task, s.Run), Checkpoint: s.Checkpoint, SpeedPercent: int(s.SpeedPercent), Load: s.Load,
		})
	}
	for _, e := range m.GetEnded() {
		out.Ended = append(out.Ended, dispatch.ReportedEnd{EndNumber: e.Number, Run: runKey(e.Task, e.Run), End: e.End, Checkpoint: e.Checkpoint})
	}
	if m.GetUnreadable() != "" {
		out.Unreadable = errors.New(m.GetUnreadable())
	}
	return out
}
