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
		n.writtenSnapshots <- writtenSnapshot{s.Meta, n.folder.WriteSnapshot(s)}
	})
}

// writtenSnapshot is a snapshot whose file was written, or failed with err.
type writtenSnapshot struct {
	meta *apiv1.SnapshotMeta
	err  error
}

// useSnapshot makes the log start at a written snapshot and drops older entries from
// memory.
func (n *Node) useSnapshot(w writtenSnapshot) {
	n.snapshotInProgress = false
	if n.recordSnapshot(w) {
		n.compact(w.meta)
	}
}

// recordSnapshot makes the stored log start at a written snapshot, and reports whether
// it does. Otherwise the log still has all entries, and the next snapshot is due as
// usual.
func (n *Node) recordSnapshot(w writtenSnapshot) bool {
	if w.err != nil {
		n.log.WithError(w.err).Error("cannot write a snapshot")
		return false
	}
	if w.meta.Index <= n.core.SnapshotIndex() {
		return false // a newer one was installed from the leader
	}
	if err := n.folder.UseSnapshot(w.meta, false); err != nil {
		n.failUnlessDiskFull(err)
		return false
	}
	return true
}

// compact drops the entries before a recorded snapshot from memory.
func (n *Node) compact(meta *apiv1.SnapshotMeta) {
	n.core.Compact(meta, meta.Index-min(meta.Index, retainedEntries))
}
