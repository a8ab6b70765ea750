package replica

import (
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
)

// The log stays in memory and on the disk until a snapshot covers it, and is read at the
// start, so its size is bounded as well as the number of its entries. The bound follows
// the size of the snapshots: the log takes no more than a few times what the state does,
// and the snapshots together write no more than the log.
const (
	// retainedEntries is the largest number of log entries before a snapshot that stay
	// in memory, so that a follower which is a little behind gets entries instead of
	// the whole state. Their size is bounded by a part of that of the log between two
	// snapshots.
	retainedEntries      = 1000
	retainedBytesDivisor = 2
	// maxLogFactor is by how much the log may exceed its size between two snapshots
	// while a snapshot is being written or entries wait for their commit.
	maxLogFactor = 4
	// maxLogDivisor divides Options.MaxLogBytes into the largest size between two
	// snapshots, so that a log that is bounded by it has room while one is written.
	maxLogDivisor = 3
	// snapshotRetryDelay is the pause before a snapshot that failed is repeated.
	snapshotRetryDelay = time.Second
)

// snapshotProgress is what a replica knows of its snapshots.
type snapshotProgress struct {
	inProgress bool
	// lastIndex is the index of the last snapshot that was begun, and size that of the
	// last one that was marshaled or read, in bytes.
	lastIndex uint64
	size      int
	// appliedBytes is the size of the entries that were applied since the last snapshot
	// was begun, and coveredBytes that of the entries which the one in progress covers.
	appliedBytes, coveredBytes int
	// retryAt is when a snapshot that failed is repeated.
	retryAt time.Duration
}

// logBytes is the size of the log entries between two snapshots.
func (n *Node) logBytes() int {
	size := max(n.opts.SnapshotBytes, n.snapshots.size)
	if n.opts.MaxLogBytes > 0 {
		size = min(size, n.opts.MaxLogBytes/maxLogDivisor)
	}
	return size
}

// maxLogBytes is the size of the log from which on it takes no further commands.
func (n *Node) maxLogBytes() int {
	size := maxLogFactor * n.logBytes()
	if n.opts.MaxLogBytes > 0 {
		size = min(size, n.opts.MaxLogBytes)
	}
	return size
}

// observeApplied counts an entry that was applied.
func (n *Node) observeApplied(e *apiv1.LogEntry) {
	n.applied = e.Index
	n.snapshots.appliedBytes += consensus.EntryBytes(e)
}

// observeRestored counts a snapshot that replaces the state.
func (n *Node) observeRestored(s *apiv1.Snapshot) {
	n.applied = s.Meta.Index
	n.snapshots.size, n.snapshots.appliedBytes = len(s.Data), 0
}

// logIsFull reports whether the log has no room for further commands.
func (n *Node) logIsFull() bool { return n.core.LogBytes() > n.maxLogBytes() }

// snapshotIsBehind reports whether the snapshots can't keep up with the entries that are
// applied. The entries that aren't applied don't count: only further messages of the
// leader commit or replace these.
func (n *Node) snapshotIsBehind() bool {
	return n.snapshots.appliedBytes+n.snapshots.coveredBytes > n.maxLogBytes()
}

func (n *Node) snapshotIsDue() bool {
	s := &n.snapshots
	last := max(n.core.SnapshotIndex(), s.lastIndex)
	if s.inProgress || n.applied <= n.core.SnapshotIndex() || n.opts.Clock.Now() < s.retryAt {
		return false
	}
	return n.applied >= last+n.opts.SnapshotEntries || s.appliedBytes >= n.logBytes()
}

// maybeSnapshot starts a snapshot when one is due. The state is marshaled in the calling
// loop goroutine, since the next Apply may change the message that Snapshot returned; the
// file is written in the background.
func (n *Node) maybeSnapshot() {
	if !n.snapshotIsDue() {
		return
	}
	s := &n.snapshots
	start := n.opts.Clock.Now()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(n.opts.StateMachine.Snapshot())
	if err != nil {
		n.err = err
		return
	}
	n.metrics.snapshotSeconds.Observe((n.opts.Clock.Now() - start).Seconds())
	s.inProgress, s.lastIndex, s.size = true, n.applied, len(data)
	s.appliedBytes, s.coveredBytes = 0, s.appliedBytes
	snapshot := &apiv1.Snapshot{Meta: n.core.SnapshotMetaAt(n.applied), Data: data}
	n.folderUsers.Go(func() {
		n.writtenSnapshots <- writtenSnapshot{snapshot.Meta, n.folder.WriteSnapshot(snapshot)}
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
	if n.recordSnapshot(w) {
		n.compact(w.meta)
	}
}

// recordSnapshot makes the stored log start at a written snapshot, and reports whether
// it does. Otherwise the log still has all entries.
func (n *Node) recordSnapshot(w writtenSnapshot) bool {
	s := &n.snapshots
	covered := s.coveredBytes
	s.inProgress, s.coveredBytes = false, 0
	if w.meta.Index <= n.core.SnapshotIndex() {
		return false // a newer one was installed from the leader
	}
	err := w.err
	if err != nil {
		n.log.WithError(err).Error("cannot write a snapshot")
	} else if err = n.folder.UseSnapshot(w.meta, false); err != nil {
		n.failUnlessDiskFull(err)
	}
	if err != nil {
		s.lastIndex = 0
		s.appliedBytes += covered
		s.retryAt = n.opts.Clock.Now() + snapshotRetryDelay
	}
	return err == nil
}

// compact drops the entries before a recorded snapshot from memory.
func (n *Node) compact(meta *apiv1.SnapshotMeta) {
	n.core.Compact(meta, retainedEntries, n.logBytes()/retainedBytesDivisor)
}
