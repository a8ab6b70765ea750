package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

// receive passes a batch of messages from another replica to the core, the Raft
// algorithm without I/O. Batches of another cluster are ignored.
func (n *Node) receive(b *apiv1.RaftBatch) {
	if n.clusterID == 0 && !n.adoptCluster(b) {
		return
	}
	if b.ClusterId != n.clusterID {
		return
	}
	for _, m := range b.Messages {
		n.recordAddress(m.From, b.FromAddress)
		if len(m.Entries) > 0 && n.snapshotIsBehind() {
			n.metrics.dropped.Inc() // the leader sends them again
			continue
		}
		n.core.Step(m)
	}
}

// adoptCluster binds a replica without a group to the cluster that sent b if a
// message is addressed to this replica's id. The id is random, so only a group
// that contains this replica knows it.
func (n *Node) adoptCluster(b *apiv1.RaftBatch) bool {
	addressed := false
	for _, m := range b.Messages {
		addressed = addressed || m.To == n.core.ID()
	}
	if !addressed || b.ClusterId == 0 {
		return false
	}
	if err := n.folder.SetClusterID(b.ClusterId); err != nil {
		n.failUnlessDiskFull(err)
		return false
	}
	n.clusterID = b.ClusterId
	return true
}

// processReady carries out one Ready of the core, a batch of work. The leader's
// messages are sent before its own sync, so that followers sync at the same time;
// the core counts the leader's copy of an entry only after Advance.
func (n *Node) processReady() error {
	rd := n.core.Ready()
	n.send(rd.MessagesBeforeSync)
	if err := n.persist(&rd); err != nil {
		return err
	}
	n.send(rd.MessagesAfterSync)
	if rd.Snapshot != nil {
		if err := n.restore(rd.Snapshot); err != nil {
			return err
		}
		n.log.WithField("index", n.applied).Info("installed a snapshot from the leader")
	}
	for _, e := range rd.CommittedEntries {
		if err := n.apply(e); err != nil {
			return err
		}
	}
	for _, r := range rd.ReadStates {
		n.finishBarrier(r)
	}
	n.core.Advance()
	if n.hasWaited {
		n.finishWait()
	}
	n.updateLeadership()
	return nil
}

// persist makes the state of a Ready durable. It waits for space when the disk is
// full. Any other error stops the replica, because it is unknown what reached the
// disk.
func (n *Node) persist(rd *consensus.Ready) error {
	err := n.store(rd)
	if errors.Is(err, storage.ErrDiskFull) {
		err = n.waitForSpace(rd, err)
	}
	return err
}

// store writes and syncs the state of a Ready. It may be repeated after an error
// that wraps storage.ErrDiskFull. It writes the hard state after the snapshot, since
// its commit index would otherwise refer to entries that the snapshot replaces.
func (n *Node) store(rd *consensus.Ready) error {
	start := n.opts.Clock.Now()
	if rd.Snapshot != nil {
		if err := n.folder.WriteSnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := n.folder.UseSnapshot(rd.Snapshot.Meta, true); err != nil {
			return err
		}
	}
	if err := n.folder.Save(rd.HardState, rd.Entries, rd.MustSync); err != nil {
		return err
	}
	if rd.MustSync {
		now := n.opts.Clock.Now()
		n.metrics.syncSeconds.Observe((now - start).Seconds())
		n.observeSync(start, now)
	}
	return nil
}

// slowSyncDivisor divides the election timeout into the time from which a sync of the log
// is slow.
const slowSyncDivisor = 5

// observeSync makes a leader step down whose syncs have all been slow for an election
// timeout. The loop syncs, so a leader with a slow disk delays every call, while the
// disks of the other replicas may be fast.
func (n *Node) observeSync(start, end time.Duration) {
	switch {
	case end-start < n.opts.ElectionTimeout/slowSyncDivisor:
		n.slowSyncsSince = 0
	case n.slowSyncsSince == 0:
		n.slowSyncsSince = start
	case end-n.slowSyncsSince > n.opts.ElectionTimeout && n.core.Role() == consensus.Leader:
		n.log.WithField("duration_ms", (end - start).Milliseconds()).Warn("syncs of the log are slow; stepping down")
		n.slowSyncsSince = 0
		n.core.StepDown()
	}
}

// apply applies a committed entry, finishes the proposal that waits for it, and
// starts OnLeader after the first entry of a leader's own term.
func (n *Node) apply(e *apiv1.LogEntry) error {
	var res *apiv1.CommandResult
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
		cmd := &apiv1.Command{}
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			return fmt.Errorf("entry %d does not decode: %w", e.Index, err)
		}
		res = n.opts.StateMachine.Apply(e.Index, cmd)
	}
	n.observeApplied(e)
	if p, ok := n.pendingProposals[e.Index]; ok {
		delete(n.pendingProposals, e.Index)
		n.finishProposal(p, e, res)
	}
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_NOOP && n.core.Role() == consensus.Leader && e.Term == n.core.Term() {
		n.leadFromNow()
	}
	return nil
}

// updateLeadership follows changes of the role. A replica that no longer leads
// can't learn the outcome of pending calls, so they fail.
func (n *Node) updateLeadership() {
	leads := n.core.Role() == consensus.Leader
	if n.leaderTerm != 0 && (!leads || n.core.Term() != n.leaderTerm) {
		n.log.WithField("term", n.leaderTerm).Info("no longer leader")
		n.leaderTerm = 0
		n.stopOnLeader()
		n.failPending()
	}
	if leads && n.leaderTerm == 0 {
		n.leaderTerm = n.core.Term()
		n.log.WithField("term", n.leaderTerm).Info("elected leader")
	}
}

// startOnLeader calls Options.OnLeader in a goroutine after the earlier call has
// returned.
func (n *Node) startOnLeader() {
	n.stopOnLeader()
	if n.opts.OnLeader == nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.cancelOnLeader = cancel
	previousDone, done := n.onLeaderDone, make(chan struct{})
	n.onLeaderDone = done
	go func() {
		defer close(done)
		<-previousDone
		if ctx.Err() == nil {
			n.opts.OnLeader(ctx)
		}
	}()
}

// stopOnLeader cancels the running OnLeader call without waiting for its end.
func (n *Node) stopOnLeader() {
	if n.cancelOnLeader != nil {
		n.cancelOnLeader()
		n.cancelOnLeader = nil
	}
}
