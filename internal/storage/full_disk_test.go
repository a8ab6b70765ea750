package storage

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a log that is damaged by the part of a record that fitted on a full
// disk, and against a vote that is lost because its first write failed.
func TestLogGoesOnAfterWriteToFullDisk(t *testing.T) {
	g := NewWithT(t)
	path, _ := createWithEntries(t)
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	write := writeData
	t.Cleanup(func() { writeData = write })
	writeData = func(f *os.File, data []byte) (int, error) {
		n, _ := f.Write(data[:len(data)/2])
		return n, &os.PathError{Op: "write", Err: syscall.ENOSPC}
	}
	hs, entries := &apiv1.HardState{Term: 2, Vote: 7}, []*apiv1.LogEntry{newEntry(4, 2, "four")}
	g.Expect(f.Save(hs, nil, false)).To(Succeed())
	for range 2 {
		g.Expect(f.Save(nil, entries, true)).To(MatchError(ErrDiskFull))
	}
	writeData = write
	// A snapshot from the leader starts a segment before the write is repeated, and a
	// torn record is damage in all but the last segment.
	meta := &apiv1.SnapshotMeta{Index: 2, Term: 1}
	g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: meta})).To(Succeed())
	g.Expect(f.UseSnapshot(meta, false)).To(Succeed())
	g.Expect(f.Save(nil, entries, true)).To(Succeed())
	f.Close()
	contents, err := reopen(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entryData(contents)).To(Equal([]string{"three", "four"}))
	g.Expect(contents.HardState.Vote).To(Equal(uint64(7)))
}

// Guards against a snapshot that the log refers to although a full disk kept it from
// being recorded.
func TestSnapshotIsUsedOnceDiskHasSpace(t *testing.T) {
	g := NewWithT(t)
	path, _ := createWithEntries(t)
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	meta := &apiv1.SnapshotMeta{Index: 2, Term: 1}
	g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: meta})).To(Succeed())
	temp := filepath.Join(path, segmentName(2)+tempSuffix)
	g.Expect(os.Symlink("/dev/full", temp)).To(Succeed())
	g.Expect(f.UseSnapshot(meta, false)).To(MatchError(ErrDiskFull))
	_, err = f.ReadSnapshot()
	g.Expect(err).To(HaveOccurred())
	g.Expect(temp).NotTo(BeAnExistingFile(), "it would take the last space")
	g.Expect(f.UseSnapshot(meta, false)).To(Succeed())
	f.Close()
	contents, err := reopen(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(contents.Snapshot.Meta.Index).To(Equal(uint64(2)))
	g.Expect(entryData(contents)).To(Equal([]string{"three"}))
}

// Guards against a commit index on disk that is ahead of the entries it covers: after
// a restart, the entries that they replace would count as committed.
func TestCommitIndexIsNotStoredBeforeItsEntries(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		g := NewWithT(t)
		path := t.TempDir()
		f, _, err := Open(path)
		g.Expect(err).NotTo(HaveOccurred())
		replaced := newEntry(1, 1, string(make([]byte, segmentBytes)))
		g.Expect(f.Save(&apiv1.HardState{Term: 1}, []*apiv1.LogEntry{replaced}, true)).To(Succeed())
		write := writeData
		writeData = func(f *os.File, data []byte) (int, error) {
			if strings.HasSuffix(f.Name(), tempSuffix) {
				return write(f, data)
			}
			return 0, cause // the start of a segment fitted, the entry doesn't
		}
		err = f.Save(&apiv1.HardState{Term: 2, Commit: 1}, []*apiv1.LogEntry{newEntry(1, 2, "new")}, true)
		g.Expect(err).To(MatchError(cause))
		// A snapshot that was being written may start a segment, too.
		meta := &apiv1.SnapshotMeta{}
		g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: meta})).To(Succeed())
		g.Expect(f.UseSnapshot(meta, false)).To(Succeed())
		writeData = write
		f.Close()
		contents, err := reopen(t, path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(contents.Entries).To(HaveLen(1))
		g.Expect(contents.HardState.Commit).To(BeZero(), "entry 1 of term 1 would be applied")
	}
}

// Guards against a vote that is lost: a segment whose file can't be made durable is on
// disk, so the log must not go on in the one before as if it were not.
func TestSegmentOfUnknownEffectIsNoFullDisk(t *testing.T) {
	g := NewWithT(t)
	path, _ := createWithEntries(t)
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Close)
	meta := &apiv1.SnapshotMeta{Index: 2, Term: 1}
	g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: meta})).To(Succeed())
	sync := syncFile
	t.Cleanup(func() { syncFile = sync })
	syncFile = func(f *os.File) error {
		if info, err := f.Stat(); err != nil || info.IsDir() {
			return &os.PathError{Op: "sync", Err: syscall.ENOSPC}
		}
		return sync(f)
	}
	err = f.UseSnapshot(meta, false)
	g.Expect(err).To(MatchError(syscall.ENOSPC))
	g.Expect(err).NotTo(MatchError(ErrDiskFull))
}

// Guards against a snapshot that nobody uses and that takes the space which the log
// needs, after its process ended before it was recorded.
func TestUnusedSnapshotIsRemovedAtOpen(t *testing.T) {
	g := NewWithT(t)
	path, _ := createWithEntries(t)
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	used, unused := &apiv1.SnapshotMeta{Index: 1, Term: 1}, &apiv1.SnapshotMeta{Index: 2, Term: 1}
	g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: used})).To(Succeed())
	g.Expect(f.UseSnapshot(used, false)).To(Succeed())
	g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: unused})).To(Succeed())
	f.Close()
	contents, err := reopen(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(contents.Snapshot.Meta.Index).To(Equal(used.Index))
	g.Expect(filepath.Join(path, snapshotName(unused.Index))).NotTo(BeAnExistingFile())
}
