package replica

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/consensus"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/storage"
)

const (
	testSnapshotBytes = 256 << 10
	// largeCommandBytes is the size of what a large command carries beside what the
	// state keeps of it.
	largeCommandBytes = 16 << 10
)

// newClusterOfLargeCommands returns a group whose snapshots are due by their size.
func newClusterOfLargeCommands(t *testing.T) *cluster {
	return newClusterWith(t, 3, func(o *Options) { o.SnapshotEntries, o.SnapshotBytes = 1_000_000, testSnapshotBytes })
}

// publishLarge is publish with a comment that the state machine of the tests drops.
func publishLarge(author string) *apiv1.Command {
	cmd := publish(author)
	cmd.GetPublishConfig().Comment = strings.Repeat("x", largeCommandBytes)
	return cmd
}

// proposeLarge proposes large commands and returns their authors.
func (c *cluster) proposeLarge(prefix string, count int) []string {
	var authors []string
	for i := range count {
		author := fmt.Sprint(prefix, i)
		c.g.Eventually(func() error {
			ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
			defer cancel()
			_, err := c.leader().node.Propose(ctx, publishLarge(author))
			return err
		}).Should(Succeed())
		authors = append(authors, author)
	}
	return authors
}

// logBytesOf returns the size of the log that a running member has in memory.
func (c *cluster) logBytesOf(m *member) (bytes int) {
	c.g.Expect(m.node.runInLoop(c.t.Context(), func() { bytes = m.node.core.LogBytes() })).To(Succeed())
	return bytes
}

// segmentBytesOf returns the size of the log that a member has on its disk.
func (c *cluster) segmentBytesOf(m *member) (bytes int64) {
	files, err := os.ReadDir(m.folder)
	c.g.Expect(err).NotTo(HaveOccurred())
	for _, f := range files {
		if info, err := f.Info(); err == nil && strings.HasSuffix(f.Name(), ".wal") {
			bytes += info.Size()
		}
	}
	return bytes
}

// Guards against replicas that run out of memory after some hundred large commands, such
// as configurations, and again at each start: the log was bounded by the number of its
// entries only. It covers the memory, the disk, and what is read at the start.
func TestLogOfLargeCommandsStaysSmall(t *testing.T) {
	c := newClusterOfLargeCommands(t)
	const bound = maxLogFactor * testSnapshotBytes
	authors := c.proposeLarge("before-", 200) // 3 MiB
	for _, m := range c.members {
		c.expectApplied(m, authors)
		c.g.Eventually(func() int { return c.logBytesOf(m) }).Should(BeNumerically("<", bound))
		c.g.Eventually(func() int64 { return c.segmentBytesOf(m) }).Should(BeNumerically("<", bound))
	}
	for _, m := range c.members {
		c.stop(m)
		folder, contents, err := storage.Open(m.folder)
		c.g.Expect(err).NotTo(HaveOccurred())
		folder.Close()
		read := 0
		for _, e := range contents.Entries {
			read += consensus.EntryBytes(e)
		}
		c.g.Expect(read).To(BeNumerically("<", bound))
		c.start(m)
	}
	c.expectApplied(c.leader(), append(authors, c.proposeLarge("after-", 1)...))
}

// Guards against snapshots that write more than the log: they are due less often when
// the state is large.
func TestSnapshotsOfLargeStateAreAsRareAsItIsLarge(t *testing.T) {
	c := newClusterWith(t, 1, func(o *Options) { o.SnapshotEntries, o.SnapshotBytes = 1_000_000, testSnapshotBytes })
	m := c.leader()
	large := strings.Repeat("x", 4*testSnapshotBytes)
	c.propose(large) // the state keeps the author
	begun := func() (index uint64) {
		c.g.Expect(m.node.runInLoop(t.Context(), func() { index = m.node.snapshots.lastIndex })).To(Succeed())
		return index
	}
	c.g.Eventually(begun).Should(BeNumerically(">", 0))
	first := begun()
	c.proposeLarge("a", 3*testSnapshotBytes/largeCommandBytes)
	c.g.Expect(begun()).To(Equal(first), "the log is smaller than the snapshot")
	c.proposeLarge("b", 2*testSnapshotBytes/largeCommandBytes)
	c.g.Eventually(begun).Should(BeNumerically(">", first))
}

// Guards against a log that grows without bound on a replica that can't write snapshots,
// while the others can, and against one that never catches up again. It takes no further
// entries, so that it gets the leader's snapshot.
func TestReplicaWithoutSnapshotsTakesNoFurtherEntries(t *testing.T) {
	c := newClusterOfLargeCommands(t)
	m := c.follower()
	m.snapshotsFail.Store(true)
	authors := c.proposeLarge("a", 200)
	c.g.Expect(c.logBytesOf(m)).To(BeNumerically("<", (maxLogFactor+1)*testSnapshotBytes))
	m.snapshotsFail.Store(false)
	c.expectApplied(m, authors)
}

// Guards against a leader whose log grows without bound when it can't write snapshots,
// and against an answer that leaves open whether a refused command was run.
func TestLeaderWithoutSnapshotsRefusesCommands(t *testing.T) {
	c := newClusterWith(t, 1, func(o *Options) { o.SnapshotEntries, o.SnapshotBytes = 1_000_000, testSnapshotBytes })
	m := c.leader()
	m.snapshotsFail.Store(true)
	var err error
	accepted := 0
	for ; err == nil && accepted < 1000; accepted++ {
		_, err = m.node.Propose(t.Context(), publishLarge("a"))
	}
	c.g.Expect(err).To(HaveOccurred())
	c.g.Expect(result.From(err).NotRun).To(BeTrue(), "%v", err)
	c.g.Expect(accepted).To(BeNumerically("<", 2*maxLogFactor*testSnapshotBytes/largeCommandBytes))
	m.snapshotsFail.Store(false)
	c.proposeLarge("after", 1)
}

// Guards against a log that follows the size of the state beyond what the machine has for
// it, in memory and on the disk, and against a status by which new jobs don't wait.
func TestLogIsBoundedWhenTheStateIsLarge(t *testing.T) {
	const bound = 2 * testSnapshotBytes
	c := newClusterWith(t, 1, func(o *Options) {
		o.SnapshotEntries, o.SnapshotBytes, o.MaxLogBytes = 1_000_000, testSnapshotBytes, bound
	})
	m := c.leader()
	c.propose(strings.Repeat("x", bound/2)) // the state keeps the author
	c.proposeLarge("a", 4*bound/largeCommandBytes)
	c.g.Expect(m.node.Status().MaxLogBytes).To(Equal(bound))
	c.g.Eventually(func() int { return m.node.Status().LogBytes }).Should(BeNumerically("<", bound/2))
	m.snapshotsFail.Store(true)
	var err error
	for i := 0; err == nil && i < 1000; i++ {
		_, err = m.node.Propose(t.Context(), publishLarge("b"))
	}
	c.g.Expect(result.From(err).NotRun).To(BeTrue(), "%v", err)
	c.g.Expect(c.logBytesOf(m)).To(BeNumerically("<=", bound+2*largeCommandBytes))
	m.snapshotsFail.Store(false)
	c.proposeLarge("after", 1)
}
