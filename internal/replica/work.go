package replica

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
)

// step takes in a batch from another replica.
func (n *Node) step(b *apiv1.RaftBatch) {
	if n.clusterID == 0 && !n.adoptCluster(b) {
		return
	}
	if b.ClusterId != n.clusterID {
		return
	}
	for _, m := range b.Messages {
		n.learn(m.From, b.FromAddress)
		n.core.Step(m)
	}
}

// adoptCluster binds a replica without a group to the cluster whose group
// contains it: no one else knows its random id.
func (n *Node) adoptCluster(b *apiv1.RaftBatch) bool {
	addressed := false
	for _, m := range b.Messages {
		addressed = addressed || m.To == n.core.ID()
	}
	if !addressed || b.ClusterId == 0 {
		return false
	}
	if err := n.folder.SetClusterID(b.ClusterId); err != nil {
		n.err = err
		return false
	}
	n.clusterID = b.ClusterId
	return true
}

// processReady carries out one round. The leader's messages go out beside its
// own sync; the core counts the leader's copy only after Advance.
func (n *Node) processReady() error {
	rd := n.core.Ready()
	n.send(rd.MessagesBeforeSync)
	if err := n.store(&rd); err != nil {
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
		n.finishRead(r)
	}
	n.core.Advance()
	n.followLeadership()
	return nil
}

// store writes hard state after a snapshot: its commit index would otherwise
// refer to entries that the snapshot replaces.
func (n *Node) store(rd *consensus.Ready) error {
	start := n.o.Clock.Now()
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
		n.metrics.syncSeconds.Observe((n.o.Clock.Now() - start).Seconds())
	}
	return nil
}

func (n *Node) apply(e *apiv1.LogEntry) error {
	var res *apiv1.CommandResult
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
		cmd := &apiv1.Command{}
		if err := proto.Unmarshal(e.Data, cmd); err != nil {
			return fmt.Errorf("entry %d does not decode: %w", e.Index, err)
		}
		res = n.o.StateMachine.Apply(e.Index, cmd)
	}
	n.applied = e.Index
	if p, ok := n.waiting[e.Index]; ok {
		delete(n.waiting, e.Index)
		n.finishProposal(p, e, res)
	}
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_NOOP && n.core.Role() == consensus.Leader && e.Term == n.core.Term() {
		n.beginLeadership()
	}
	return nil
}

// followLeadership fails what waits for an outcome that this replica can no
// longer learn.
func (n *Node) followLeadership() {
	leads := n.core.Role() == consensus.Leader
	if n.leadTerm != 0 && (!leads || n.core.Term() != n.leadTerm) {
		n.log.WithField("term", n.leadTerm).Info("no longer leader")
		n.leadTerm = 0
		n.endLeadership()
		n.failWaiting()
	}
	if leads && n.leadTerm == 0 {
		n.leadTerm = n.core.Term()
		n.log.WithField("term", n.leadTerm).Info("elected leader")
	}
}

func (n *Node) beginLeadership() {
	n.endLeadership()
	if n.o.OnLeader == nil {
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	n.cancelLeader = cancel
	before, stopped := n.leaderStopped, make(chan struct{})
	n.leaderStopped = stopped
	go func() {
		defer close(stopped)
		<-before
		if ctx.Err() == nil {
			n.o.OnLeader(ctx)
		}
	}()
}

func (n *Node) endLeadership() {
	if n.cancelLeader != nil {
		n.cancelLeader()
		n.cancelLeader = nil
	}
}
