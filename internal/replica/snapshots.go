package replica

import (
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// retainedEntries is the number of log entries before a snapshot that stay in
// memory, so that a follower which is a little behind gets entries instead of
// the whole state.
const retainedEntries = 1000

// maybeSnapshot starts a snapshot when enough entries were applied since the last
// one. The state is marshaled in the calling loop goroutine, since the next Apply
// may change the message that Snapshot returned; the file is written in the
// background.
func (n *Node) maybeSnapshot() {
	if n.snapshotInProgress || n.applied < max(n.core.SnapshotIndex(), n.lastSnapshotIndex)+n.opts.SnapshotEntries {
		return
	}
	n.lastSnapshotIndex = n.applied
	start := n.opts.Clock.Now()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(n.opts.StateMachine.Snapshot())
	if err != nil {
		n.err = err
		return
	}
	n.metrics.snapshotSeconds.Observe((n.opts.Clock.Now() - start).Seconds())
	n.snapshotInProgress = true
	s := &apiv1.Snapshot{Meta: n.core.SnapshotMetaAt(n.applied), Data: data}
	n.folderUsers.Go(func() {
		err := n.folder.WriteSnapshot(s)
		// An error means that the loop has ended, and the snapshot isn't needed.
		_ = n.runInLoop(n.ctx, func() { n.useSnapshot(s.Meta, err) })
	})
}

// useSnapshot makes the log start at a snapshot whose file was written, or failed
// with err, and drops older entries from memory.
func (n *Node) useSnapshot(meta *apiv1.SnapshotMeta, err error) {
	n.snapshotInProgress = false
	if err != nil {
		// The log still has all entries, and the next snapshot is due as usual.
		n.log.WithError(err).Error("cannot write a snapshot")
		return
	}
	if meta.Index <= n.core.SnapshotIndex() {
		return // a newer one was installed from the leader
	}
	if err := n.folder.UseSnapshot(meta, false); err != nil {
		n.failUnlessDiskFull(err)
		return // the log still has all entries, and the next snapshot is due as usual
	}
	n.core.Compact(meta, meta.Index-min(meta.Index, retainedEntries))
}
