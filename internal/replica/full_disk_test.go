package replica

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

// limitedFolder is a data folder on a disk that takes no more bytes while full is
// set.
type limitedFolder struct {
	dataFolder
	// freedBySnapshot makes the use of a snapshot free the disk, as the removal of
	// older segments does.
	freedBySnapshot *atomic.Bool
	full            *atomic.Bool
	saves           *atomic.Int32
	saveTime        *atomic.Int64
	// snapshotsFail makes the writes of the replica's own snapshots fail, which cover no
	// entry after lastSaved.
	snapshotsFail *atomic.Bool
	lastSaved     atomic.Uint64
}

func (m *member) openFolder(path string) (dataFolder, *storage.Contents, error) {
	folder, contents, err := openFolder(path)
	return &limitedFolder{
		dataFolder: folder, freedBySnapshot: &m.freedBySnapshot, full: &m.diskFull, saves: &m.saves, saveTime: &m.saveTime,
		snapshotsFail: &m.snapshotsFail,
	}, contents, err
}

func (f *limitedFolder) check() error {
	if f.full.Load() {
		return fmt.Errorf("write log: %w", storage.ErrDiskFull)
	}
	return nil
}

func (f *limitedFolder) Save(hs *apiv1.HardState, entries []*apiv1.LogEntry, sync bool) error {
	f.saves.Add(1)
	time.Sleep(time.Duration(f.saveTime.Load()))
	if err := f.check(); err != nil && (sync || len(entries) > 0) {
		return err
	}
	if len(entries) > 0 {
		f.lastSaved.Store(entries[len(entries)-1].Index)
	}
	return f.dataFolder.Save(hs, entries, sync)
}

func (f *limitedFolder) WriteSnapshot(s *apiv1.Snapshot) error {
	if f.snapshotsFail.Load() && s.Meta.Index <= f.lastSaved.Load() {
		return errors.New("snapshots can't be written")
	}
	if err := f.check(); err != nil && !f.freedBySnapshot.Load() {
		return err
	}
	return f.dataFolder.WriteSnapshot(s)
}

func (f *limitedFolder) UseSnapshot(meta *apiv1.SnapshotMeta, replaceLog bool) error {
	if f.freedBySnapshot.Load() {
		f.full.Store(false)
	}
	if err := f.check(); err != nil {
		return err
	}
	return f.dataFolder.UseSnapshot(meta, replaceLog)
}

// Guards against replicas that stay stopped after their disk was full for a while,
// so that full disks one after the other cost the group its quorum for good.
func TestGroupKeepsQuorumWhenDisksAreFullInTurn(t *testing.T) {
	c := newCluster(t, 5)
	authors := c.proposeMany("before", 2)
	for i, m := range c.members {
		m.diskFull.Store(true)
		authors = append(authors, c.proposeMany(fmt.Sprintf("full-%d", i), 60)...)
		m.diskFull.Store(false)
		c.expectApplied(m, authors)
	}
	for _, m := range c.members {
		c.expectApplied(m, authors)
	}
}

// Guards against a group that never recovers when all its disks were full at once,
// and against an answer "not run" for a command that is committed later.
func TestGroupRecoversWhenAllDisksWereFull(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("before")
	leader := c.leader()
	for _, m := range c.members {
		m.diskFull.Store(true)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := leader.node.Propose(ctx, publish("during"))
	c.g.Expect(err).To(HaveOccurred())
	notRun := result.From(err).NotRun
	for _, m := range c.members {
		m.diskFull.Store(false)
	}
	c.propose("after")
	for _, m := range c.members {
		c.expectApplied(m, []string{"before", "after"})
		if notRun {
			c.g.Expect(m.stateMachine.applied()).NotTo(ContainElement("during"))
		}
	}
}

// Guards against a leader that still seems to lead, and keeps its OnLeader function
// running, while its disk is full.
func TestLeaderWithFullDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("before")
	leader := c.leader()
	leader.diskFull.Store(true)
	c.propose("during")
	c.g.Eventually(leader.running.Load).Should(BeZero())
	c.g.Expect(leader.node.Status().LeaderID).NotTo(Equal(leader.node.Status().ReplicaID))
	leader.diskFull.Store(false)
	c.expectApplied(leader, []string{"before", "during"})
}

// Guards against a single replica that no longer runs its OnLeader function after its
// disk was full.
func TestOnlyVoterLeadsAgainAfterFullDisk(t *testing.T) {
	c := newCluster(t, 1)
	c.propose("before")
	m := c.leader()
	m.diskFull.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := m.node.Propose(ctx, publish("during"))
	c.g.Expect(err).To(HaveOccurred())
	m.diskFull.Store(false)
	c.propose("after")
	c.g.Eventually(m.running.Load).Should(BeEquivalentTo(1))
}

// Guards against a loop that goes on after a stop during the wait for space: it would
// store entries without the snapshot or the hard state that came before them.
func TestStopDuringWaitForSpaceEndsLoop(t *testing.T) {
	c := newCluster(t, 1)
	m := c.leader()
	wrote := 0
	for range 12 {
		m.diskFull.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err := m.node.Propose(ctx, publish("during"))
		cancel()
		c.g.Expect(err).To(HaveOccurred())
		time.Sleep(2 * m.node.opts.tick()) // so that the loop has more to do than to end
		before := m.saves.Load()
		c.stop(m)
		wrote += int(m.saves.Load() - before)
		m.diskFull.Store(false)
		c.start(m)
		c.leader()
	}
	// The wait's own next attempt may come just before the stop.
	c.g.Expect(wrote).To(BeNumerically("<=", 1))
}

// Guards against a replica that waits for space for ever although its own snapshot,
// which was being written when the disk became full, would free it.
func TestSnapshotFreesSpaceDuringWait(t *testing.T) {
	c := newCluster(t, 1)
	m := c.leader()
	for i := range 200 {
		if m.node.runInLoop(t.Context(), func() {
			if m.node.snapshots.inProgress {
				m.freedBySnapshot.Store(true)
				m.diskFull.Store(true)
			}
		}); m.diskFull.Load() {
			break
		}
		c.propose(fmt.Sprint(i))
	}
	c.g.Expect(m.diskFull.Load()).To(BeTrue())
	c.propose("after")
}

// Guards against the work of a leader that begins just before the replica gives up the
// leadership, because its first entry was committed by the write that waited.
func TestWaitDefersOnLeader(t *testing.T) {
	c := newCluster(t, 1)
	n := c.leader().node
	noop := &apiv1.LogEntry{Kind: apiv1.EntryKind_ENTRY_KIND_NOOP}
	var during, after bool
	c.g.Expect(n.runInLoop(t.Context(), func() {
		n.stopOnLeader()
		n.hasWaited, n.resumeOnLeader = true, false
		noop.Index, noop.Term = n.applied, n.core.Term()
		c.g.Expect(n.apply(noop)).To(Succeed())
		during = n.cancelOnLeader != nil
		n.finishWait()
		after = n.cancelOnLeader != nil // the only voter stays leader
	})).To(Succeed())
	c.g.Expect(during).To(BeFalse())
	c.g.Expect(after).To(BeTrue())
}

// Guards against a replica that joins as a learner again and again while its disk is
// full: it can't store the log, is removed, and each time counts as a replacement that
// permits the removal of another voter.
func TestReplicaWithFullDiskDoesNotJoinAgain(t *testing.T) {
	c := newSeededCluster(t)
	c.propose("before")
	full := c.follower()
	full.diskFull.Store(true)
	c.propose("during")
	c.joinAt("replacement")
	isMember := func() bool {
		for _, r := range c.leader().node.Status().Group.Replicas {
			if r.RpcAddress == full.address {
				return true
			}
		}
		return false
	}
	c.g.Eventually(isMember).Should(BeFalse())
	c.g.Consistently(isMember).WithTimeout(3 * rejoinElectionTimeouts * c.options.ElectionTimeout).Should(BeFalse())
	full.diskFull.Store(false)
	c.g.Eventually(isMember).Should(BeTrue())
	c.expectApplied(full, []string{"before", "during"})
}
