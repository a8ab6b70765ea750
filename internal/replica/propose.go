package replica

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// maxPendingProposals bounds the proposals whose outcome is not yet known.
	maxPendingProposals = 16_384
	// maxCommandBytes is the largest size of a command. It is half of
	// rpc.MaxFrameBytes, so that a command and its envelope fit into a frame.
	maxCommandBytes = 32 << 20
)

type outcome struct {
	result *apiv1.CommandResult
	err    error
}

// proposal is a call of Propose or ChangeMembership that the loop, the goroutine
// that owns the core and the log, carries out.
type proposal struct {
	ctx  context.Context
	data []byte
	// change is set for a membership change, data for a command.
	change *apiv1.ConfChange
	term   uint64       // in which the entry was appended
	done   chan outcome // gets one value; has a buffer of one
	// claimed is set once, by the loop that is about to append the proposal or by the
	// caller that gives it up before.
	claimed atomic.Bool
}

// claim reports whether the caller of claim is the first one.
func (p *proposal) claim() bool { return p.claimed.CompareAndSwap(false, true) }

// barrier is a call of Barrier that the loop carries out. The core, the Raft
// algorithm, confirms it as a linearizable read.
type barrier struct {
	ctx  context.Context
	done chan error // gets one value; has a buffer of one
}

// Propose replicates cmd and returns the result of the state machine's Apply. It
// sets cmd.TimeUnixMs. Errors are *result.Error: with NotRun set the command will
// never be applied; NO_QUORUM without NotRun means that the outcome is unknown.
func (n *Node) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	cmd.TimeUnixMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "command does not marshal: %v", err)
	}
	if len(data) > maxCommandBytes {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "command of %d bytes exceeds the limit of %d", len(data), maxCommandBytes)
	}
	return n.proposeAndWait(ctx, &proposal{ctx: ctx, data: data, done: make(chan outcome, 1)})
}

// ChangeMembership replicates one membership change and returns when it is
// committed. Errors are as with Propose. With MEMBERSHIP_CHANGE_PENDING the
// caller should try again later.
func (n *Node) ChangeMembership(ctx context.Context, c *apiv1.ConfChange) error {
	_, err := n.proposeAndWait(ctx, &proposal{ctx: ctx, change: c, done: make(chan outcome, 1)})
	return err
}

// proposeAndWait passes p to the loop and waits for the outcome until ctx ends.
func (n *Node) proposeAndWait(ctx context.Context, p *proposal) (*apiv1.CommandResult, error) {
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
		if p.claim() {
			return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "proposal was not started: %v", ctx.Err())
		}
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "proposal may still commit: %v", ctx.Err())
	case <-n.done:
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	default:
		return nil, errOutcomeUnknown()
	}
}

func errOutcomeUnknown() error {
	return result.New(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "leadership was lost before the outcome was known: read the state before trying again")
}

func (n *Node) errNotLeader() *result.Error {
	e := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "this replica is not the leader")
	e.LeaderAddress = n.addressOf(n.core.LeaderID())
	return e
}

// propose appends a proposal to the log. The round of the loop then syncs and
// sends all appended entries together.
func (n *Node) propose(p *proposal) {
	if p.ctx.Err() != nil || !p.claim() {
		return // the caller learns that nothing was started
	}
	if len(n.pendingProposals) >= maxPendingProposals || p.change == nil && n.logIsFull() {
		p.done <- outcome{err: result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "%d proposals are pending, the log has %d bytes", len(n.pendingProposals), n.core.LogBytes())}
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
		p.done <- outcome{err: n.withResultCode(err)}
		return
	}
	n.metrics.proposals.Inc()
	n.pendingProposals[index] = p
}

// withResultCode returns the *result.Error for an error of the core, which means
// that nothing was appended.
func (n *Node) withResultCode(err error) error {
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		return n.errNotLeader()
	case errors.Is(err, consensus.ErrChangePending), errors.Is(err, consensus.ErrNotCaughtUp):
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_MEMBERSHIP_CHANGE_PENDING, "%v", err)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
}

// finishProposal answers p after the entry e at its index was applied. If e is of
// another term, a new leader has replaced the entry that was proposed.
func (n *Node) finishProposal(p *proposal, e *apiv1.LogEntry, res *apiv1.CommandResult) {
	if e.Term != p.term {
		p.done <- outcome{err: errOutcomeUnknown()}
		return
	}
	p.done <- outcome{result: res}
}

// Barrier returns nil when a quorum has confirmed, after the start of the call,
// that this replica is the leader, and when all entries that were committed
// before the call are applied here. A read of the state machine after it is
// linearizable. Errors are *result.Error with NotRun set.
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

func (n *Node) startBarrier(b *barrier) {
	if b.ctx.Err() != nil {
		return
	}
	n.lastBarrierID++
	if err := n.core.ReadIndex(n.lastBarrierID); err != nil {
		b.done <- n.withResultCode(err)
		return
	}
	n.pendingBarriers[n.lastBarrierID] = b
}

// finishBarrier ends the barrier of a confirmed read. The entries up to its index
// are already applied, because the core returns a read in the same Ready as these
// entries or later.
func (n *Node) finishBarrier(r consensus.ReadState) {
	if b, ok := n.pendingBarriers[r.Context]; ok {
		delete(n.pendingBarriers, r.Context)
		b.done <- nil
	}
}

// failPending fails all pending calls.
func (n *Node) failPending() {
	for index, p := range n.pendingProposals {
		delete(n.pendingProposals, index)
		p.done <- outcome{err: errOutcomeUnknown()}
	}
	for id, b := range n.pendingBarriers {
		delete(n.pendingBarriers, id)
		b.done <- n.errNotLeader()
	}
}
