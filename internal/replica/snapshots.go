package replica

import (
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// keptEntries stay in memory behind a snapshot, so that a follower a little
// behind gets entries instead of the whole state.
const keptEntries = 1000

// maybeSnapshot starts a snapshot when enough entries were applied. The state
// is marshalled here, since the state machine may change what Snapshot returned
// with the next Apply; the file is written in the background.
func (n *Node) maybeSnapshot() {
	if n.snapshotting || n.applied < max(n.core.SnapshotIndex(), n.lastSnapshot)+n.o.SnapshotEntries {
		return
	}
	n.lastSnapshot = n.applied
	start := n.o.Clock.Now()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(n.o.StateMachine.Snapshot())
	if err != nil {
		n.err = err
		return
	}
	n.metrics.snapshotSeconds.Observe((n.o.Clock.Now() - start).Seconds())
	n.snapshotting = true
	s := &apiv1.Snapshot{Meta: n.core.SnapshotMetaAt(n.applied), Data: data}
	n.io.Go(func() {
		err := n.folder.WriteSnapshot(s)
		// The loop has ended when the task does not run.
		_ = n.do(n.ctx, func() { n.finishSnapshot(s.Meta, err) })
	})
}

func (n *Node) finishSnapshot(meta *apiv1.SnapshotMeta, err error) {
	n.snapshotting = false
	if err != nil {
		// The log still holds everything; the next one is tried as usual.
		n.log.WithError(err).Error("snapshot was not written")
		return
	}
	if meta.Index <= n.core.SnapshotIndex() {
		return // a newer one came from the leader
	}
	if err := n.folder.UseSnapshot(meta, false); err != nil {
		n.err = err
		return
	}
	n.core.Compact(meta, meta.Index-min(meta.Index, keptEntries))
}
