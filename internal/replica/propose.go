package replica

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// maxPending bounds the proposals whose outcome is not known yet.
	maxPending = 16_384
	// maxCommandBytes leaves room for the frame around a command.
	maxCommandBytes = 32 << 20
)

type outcome struct {
	result *apiv1.CommandResult
	err    error
}

type proposal struct {
	ctx  context.Context
	data []byte
	// change is set for a membership change, data otherwise.
	change *apiv1.ConfChange
	term   uint64
	done   chan outcome
}

type barrier struct {
	ctx  context.Context
	done chan error
}

// Propose replicates cmd and returns the state machine's result. It sets
// cmd.TimeUnixMs. Errors are *result.Error: with NotRun set the command will
// never be applied; NO_QUORUM without it means that the outcome is not known.
func (n *Node) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	cmd.TimeUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "command does not marshal: %v", err)
	}
	if len(data) > maxCommandBytes {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "command of %d bytes exceeds the limit of %d", len(data), maxCommandBytes)
	}
	return n.submit(ctx, &proposal{ctx: ctx, data: data, done: make(chan outcome, 1)})
}

// ChangeMembership replicates one membership change and returns once it is
// committed. Errors are as with Propose; MEMBERSHIP_CHANGE_PENDING asks to try
// again later.
func (n *Node) ChangeMembership(ctx context.Context, c *apiv1.ConfChange) error {
	_, err := n.submit(ctx, &proposal{ctx: ctx, change: c, done: make(chan outcome, 1)})
	return err
}

func (n *Node) submit(ctx context.Context, p *proposal) (*apiv1.CommandResult, error) {
	if err := ctx.Err(); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "proposal was not started: %v", err)
	}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "proposal was not started: %v", ctx.Err())
	case <-n.done:
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN, "replica has stopped")
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "proposal may still commit: %v", ctx.Err())
	case <-n.done:
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	default:
		return nil, errLostOutcome()
	}
}

func errLostOutcome() error {
	return result.New(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "leadership was lost before the outcome was known: read the state before trying again")
}

func (n *Node) errNotLeader() *result.Error {
	e := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "this replica is not the leader")
	e.LeaderAddress = n.address(n.core.LeaderID())
	return e
}

// propose appends one proposal; the loop stores and sends all of them together.
func (n *Node) propose(p *proposal) {
	if p.ctx.Err() != nil {
		return
	}
	if len(n.waiting) >= maxPending {
		p.done <- outcome{err: result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "%d proposals are pending", len(n.waiting))}
		return
	}
	var index uint64
	var err error
	if p.change != nil {
		index, p.term, err = n.core.ProposeConfChange(p.change)
	} else {
		index, p.term, err = n.core.Propose(p.data)
	}
	if err != nil {
		p.done <- outcome{err: n.refusal(err)}
		return
	}
	n.metrics.proposals.Inc()
	n.waiting[index] = p
}

// refusal gives an error of the core its result code. Nothing was appended.
func (n *Node) refusal(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return n.errNotLeader()
	case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrNotCaughtUp):
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_MEMBERSHIP_CHANGE_PENDING, "%v", err)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
}

func (n *Node) finishProposal(p *proposal, e *apiv1.LogEntry, res *apiv1.CommandResult) {
	if e.Term != p.term {
		p.done <- outcome{err: errLostOutcome()}
		return
	}
	p.done <- outcome{result: res}
}

// Barrier returns nil once a quorum has confirmed, after the call began, that
// this replica leads, and once everything committed before is applied here.
func (n *Node) Barrier(ctx context.Context) error {
	b := &barrier{ctx: ctx, done: make(chan error, 1)}
	select {
	case n.barriers <- b:
	case <-ctx.Done():
	case <-n.done:
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "no quorum confirmed the leader: %v", ctx.Err())
	case <-n.done:
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN, "replica has stopped")
	}
}

func (n *Node) read(b *barrier) {
	if b.ctx.Err() != nil {
		return
	}
	n.nextRead++
	if err := n.core.ReadIndex(n.nextRead); err != nil {
		b.done <- n.refusal(err)
		return
	}
	n.reading[n.nextRead] = b
}

// finishRead releases a barrier. Its index is applied already: the core gives
// out a read together with or after the entries up to its index.
func (n *Node) finishRead(r consensus.ReadState) {
	if b, ok := n.reading[r.Context]; ok {
		delete(n.reading, r.Context)
		b.done <- nil
	}
}

func (n *Node) failWaiting() {
	for index, p := range n.waiting {
		delete(n.waiting, index)
		p.done <- outcome{err: errLostOutcome()}
	}
	for id, b := range n.reading {
		delete(n.reading, id)
		b.done <- n.errNotLeader()
	}
}
