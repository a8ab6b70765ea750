package replica

import (
	"errors"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

// fullDiskRetryInterval is the time between two attempts to write to a full disk.
const fullDiskRetryInterval = 50 * time.Millisecond

// waitForSpace repeats the write of a Ready (the core's work, such as entries to
// store) that failed with err until the disk takes it. Nothing of the Ready counts
// as stored before. Meanwhile the replica is like one that is cut off: it doesn't
// lead, drops the messages of other replicas, which repeat them, and refuses calls.
func (n *Node) waitForSpace(rd *consensus.Ready, err error) error {
	n.log.WithError(err).Error("disk is full; the replica waits for space")
	n.metrics.diskFull.Set(1)
	defer n.metrics.diskFull.Set(0)
	n.diskFull.Store(true)
	defer n.diskFull.Store(false)
	start := n.opts.Clock.Now()
	n.resumeOnLeader = n.cancelOnLeader != nil
	n.stopOnLeader()
	n.failPending()
	n.publishWithoutLeader()
	retry := time.NewTicker(fullDiskRetryInterval)
	defer retry.Stop()
	for errors.Is(err, storage.ErrDiskFull) {
		select {
		case <-n.ctx.Done():
			return err
		case <-retry.C:
			err = n.store(rd)
		case w := <-n.writtenSnapshots:
			n.recordDuringWait(w)
			if n.err != nil {
				return n.err
			}
		case <-n.inbox:
		case p := <-n.proposals:
			p.done <- outcome{err: errDiskFull()}
		case b := <-n.barriers:
			b.done <- errDiskFull()
		}
	}
	n.hasWaited = true
	n.log.WithField("waited_ms", (n.opts.Clock.Now() - start).Milliseconds()).Info("disk has space again")
	return err
}

// recordDuringWait records a snapshot that was written when the disk became full,
// which removes older segments. The core takes no calls before Advance, so it drops
// the entries later.
func (n *Node) recordDuringWait(w writtenSnapshot) {
	if n.recordSnapshot(w) {
		n.compactAfterWait = w.meta
	}
}

// failUnlessDiskFull stops the replica after a failed write, because it is unknown
// what reached the disk. A write that fails with ErrDiskFull has no effect, so the
// caller may go on as before it.
func (n *Node) failUnlessDiskFull(err error) {
	if !errors.Is(err, storage.ErrDiskFull) {
		n.err = err
		return
	}
	n.log.WithError(err).Error("disk is full; the write is left out")
}

func errDiskFull() error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "this replica cannot lead while its disk is full")
}

// leadFromNow starts OnLeader, unless the replica has waited for space: then finishWait
// decides.
func (n *Node) leadFromNow() {
	if n.hasWaited {
		n.resumeOnLeader = true
		return
	}
	n.startOnLeader()
}

// finishWait gives up the leadership after a wait for space, during which
// OnLeader was stopped. The only voter of a group stays leader, so OnLeader is called
// again.
func (n *Node) finishWait() {
	n.hasWaited = false
	if n.compactAfterWait != nil {
		n.compact(n.compactAfterWait)
		n.compactAfterWait = nil
	}
	n.core.StepDown()
	if n.resumeOnLeader && n.core.Role() == consensus.Leader {
		n.startOnLeader()
	}
}
