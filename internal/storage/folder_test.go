package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

func newEntry(index, term uint64, data string) *apiv1.LogEntry {
	return &apiv1.LogEntry{Index: index, Term: term, Kind: apiv1.EntryKind_ENTRY_KIND_COMMAND, Data: []byte(data)}
}

func entryData(c *Contents) []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, string(e.Data))
	}
	return out
}

// createWithEntries creates a folder with three entries, each in a record of its
// own, and returns the paths of the folder and its only segment.
func createWithEntries(t *testing.T) (path, segment string) {
	g := NewWithT(t)
	path = filepath.Join(t.TempDir(), "data")
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	for i, text := range []string{"one", "two", "three"} {
		index := uint64(i + 1)
		g.Expect(f.Save(&apiv1.HardState{Term: 1, Commit: index}, []*apiv1.LogEntry{newEntry(index, 1, text)}, true)).To(Succeed())
	}
	return path, filepath.Join(path, segmentName(1))
}

func reopen(t *testing.T, path string) (*Contents, error) {
	f, c, err := Open(path)
	if err == nil {
		t.Cleanup(f.Close)
	}
	return c, err
}

// Guards against a replica that can't start after a crash during a write, and
// against a record that can't be read because it follows a torn one.
func TestTornTailIsTruncated(t *testing.T) {
	path, segment := createWithEntries(t)
	whole, err := os.ReadFile(segment)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	third := int64(bytes.Index(whole, []byte("three")))
	for cut := third - 9; cut < int64(len(whole)); cut++ {
		g := NewWithT(t)
		g.Expect(os.WriteFile(segment, whole[:cut], fileMode)).To(Succeed())
		f, c, err := Open(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(entryData(c)).To(Equal([]string{"one", "two"}))
		g.Expect(f.Save(nil, []*apiv1.LogEntry{newEntry(3, 2, "new")}, true)).To(Succeed())
		f.Close()
		f, c, err = Open(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(entryData(c)).To(Equal([]string{"one", "two", "new"}))
		f.Close()
	}
}

// Guards against corrupt records that were synced being dropped without an error:
// a folder with a flipped bit anywhere before the last record must not open.
func TestDamageBeforeTailIsRefused(t *testing.T) {
	path, segment := createWithEntries(t)
	whole, err := os.ReadFile(segment)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	second, last := 0, 0
	for record, offset := 0, int64(0); offset < int64(len(whole)); record++ {
		if record == 2 {
			second = int(offset)
		}
		last = int(offset)
		_, _, offset, _ = decodeRecord(whole, offset)
	}
	for at := range last {
		g := NewWithT(t)
		damaged := bytes.Clone(whole)
		damaged[at] ^= 4
		g.Expect(os.WriteFile(segment, damaged, fileMode)).To(Succeed())
		_, err := reopen(t, path)
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_DATA_DAMAGED), "byte %d", at)
		if at >= second && at < second+recordHeaderBytes {
			g.Expect(err.Error()).To(And(ContainSubstring(segmentName(1)), ContainSubstring("record 2"), ContainSubstring("offset")))
		}
	}
}

// Guards against a replica that starts without the snapshot that its log
// continues.
func TestDamagedSnapshotIsRefused(t *testing.T) {
	g := NewWithT(t)
	path, _ := createWithEntries(t)
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	meta := &apiv1.SnapshotMeta{Index: 2, Term: 1}
	g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: meta, Data: []byte("state")})).To(Succeed())
	g.Expect(f.UseSnapshot(meta, false)).To(Succeed())
	f.Close()
	g.Expect(os.Truncate(filepath.Join(path, snapshotName(2)), 12)).To(Succeed())
	_, err = reopen(t, path)
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_DATA_DAMAGED))
}

// Guards against a log with missing entries being accepted as complete.
func TestGapBetweenEntriesIsRefused(t *testing.T) {
	g := NewWithT(t)
	path, _ := createWithEntries(t)
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Save(nil, []*apiv1.LogEntry{newEntry(5, 1, "five")}, true)).To(Succeed())
	f.Close()
	_, err = reopen(t, path)
	g.Expect(err).To(MatchError(ContainSubstring("entry 5 follows entry 3")))
}

// Guards against a folder that lost some of its files being accepted as new or
// complete: the replica could vote twice in a term.
func TestFolderWithMissingFilesIsRefused(t *testing.T) {
	const identityOfOneSegment = "ident*"
	for _, missing := range []string{identityName, "*1.wal", "*2.wal", "*.wal", "tail", identityOfOneSegment} {
		g := NewWithT(t)
		path, _ := createWithEntries(t)
		f, _, err := Open(path)
		g.Expect(err).NotTo(HaveOccurred())
		for missing != identityOfOneSegment && len(f.wal.segments) < 3 {
			g.Expect(f.wal.rotate(false)).To(Succeed())
			g.Expect(f.Save(nil, []*apiv1.LogEntry{newEntry(4, 1, "four")}, true)).To(Succeed())
		}
		f.Close()
		if missing == "tail" {
			g.Expect(os.Truncate(filepath.Join(path, segmentName(2)), 60)).To(Succeed())
		}
		names, err := filepath.Glob(filepath.Join(path, missing))
		g.Expect(err).NotTo(HaveOccurred())
		for _, name := range names {
			g.Expect(os.Remove(name)).To(Succeed())
		}
		_, err = reopen(t, path)
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_DATA_DAMAGED), missing)
	}
}

// Guards against a folder that can't be used after a crash between the writes of
// its first segment and its identity.
func TestInterruptedCreationIsRepeated(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "data")
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	before := f.ReplicaID()
	f.Close()
	g.Expect(os.Remove(filepath.Join(path, identityName))).To(Succeed())
	f, _, err = Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	g.Expect(f.ReplicaID()).NotTo(Equal(before))
}

// Guards against two processes writing the same log, and against files that other
// users can read.
func TestFolderIsLockedAndPrivate(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "data")
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = Open(path)
	g.Expect(err).To(MatchError(ContainSubstring("in use by another process")))
	g.Expect(f.SetClusterID(7)).To(Succeed())
	g.Expect(f.WriteSnapshot(&apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: 1}})).To(Succeed())
	f.Close()
	entries, err := os.ReadDir(path)
	g.Expect(err).NotTo(HaveOccurred())
	for _, e := range entries {
		info, err := e.Info()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Mode().Perm()).To(BeNumerically("==", 0o600), e.Name())
	}
	info, err := os.Stat(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(info.Mode().Perm()).To(BeNumerically("==", 0o700))
}

// Guards against acknowledging data that a power loss can still undo: every write
// is followed by a sync of the file, and the creation or removal of a file by a
// sync of the folder.
func TestEverythingIsSyncedBeforeItIsAcknowledged(t *testing.T) {
	g := NewWithT(t)
	var synced []string
	file, data := syncFile, syncData
	defer func() { syncFile, syncData = file, data }()
	syncFile = func(f *os.File) error { synced = append(synced, filepath.Base(f.Name())); return file(f) }
	syncData = func(f *os.File) error { synced = append(synced, filepath.Base(f.Name())); return data(f) }
	expect := func(names ...string) {
		t.Helper()
		g.Expect(synced).To(Equal(names))
		synced = nil
	}
	parent := t.TempDir()
	f, _, err := Open(filepath.Join(parent, "data"))
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	expect(segmentName(1)+tempSuffix, "data", identityName+tempSuffix, "data", filepath.Base(parent))
	g.Expect(f.Save(&apiv1.HardState{Term: 1}, []*apiv1.LogEntry{newEntry(1, 1, "one")}, true)).To(Succeed())
	expect(segmentName(1))
	s := &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1}}
	g.Expect(f.WriteSnapshot(s)).To(Succeed())
	expect(snapshotName(1)+tempSuffix, "data")
	g.Expect(f.UseSnapshot(s.Meta, false)).To(Succeed())
	expect(segmentName(1), segmentName(2)+tempSuffix, "data", "data")
	syncData = func(*os.File) error { return os.ErrInvalid }
	g.Expect(f.Save(nil, []*apiv1.LogEntry{newEntry(2, 1, "two")}, true)).To(MatchError(os.ErrInvalid))
}

// Guards against a power loss that drops an unsynced write and keeps a later one,
// so that the log looks corrupt in the middle: a hard state saved without sync
// is written only with the next entries.
func TestPowerLossLosesAtMostTheLastWrite(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "data")
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Save(&apiv1.HardState{Term: 1}, []*apiv1.LogEntry{newEntry(1, 1, "one")}, true)).To(Succeed())
	durable := f.wal.size
	for commit := range uint64(3) {
		g.Expect(f.Save(&apiv1.HardState{Term: 1, Commit: commit}, nil, false)).To(Succeed())
	}
	g.Expect(f.wal.size).To(Equal(durable))
	g.Expect(f.Save(nil, []*apiv1.LogEntry{newEntry(2, 1, "two")}, true)).To(Succeed())
	f.Close()
	f, contents, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	g.Expect(contents.HardState.Commit).To(BeNumerically("==", 2))
}

// Guards against a power loss that drops an unsynced write of the previous process
// after the current one has written more: opening the log syncs it.
func TestOpenSyncsWhatTheLastProcessWrote(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "data")
	f, _, err := Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	f.Close()
	file, synced := syncFile, false
	defer func() { syncFile = file }()
	syncFile = func(f *os.File) error { synced = true; return file(f) }
	f, _, err = Open(path)
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	g.Expect(synced).To(BeTrue())
}

// Guards against a decoder that panics, or accepts data that was not written as a
// record at the same offset.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(appendRecord(nil, 0, kindBatch, []byte("payload")), uint16(0))
	f.Add(appendRecord([]byte("head"), 4, kindHeader, nil), uint16(4))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 2, 1}, uint16(0))
	f.Add(make([]byte, 64), uint16(3))
	f.Fuzz(func(t *testing.T, data []byte, at uint16) {
		offset := min(int64(at), int64(len(data)))
		kind, payload, next, err := decodeRecord(data, offset)
		if err != nil {
			return
		}
		if again := appendRecord(nil, offset, kind, payload); !bytes.Equal(again, data[offset:next]) {
			t.Fatalf("record at %d encodes to %x, was %x", offset, again, data[offset:next])
		}
		if _, _, _, err := decodeRecord(data[offset:], 0); offset > 0 && err == nil {
			t.Fatalf("record of offset %d is accepted at offset 0", offset)
		}
	})
}
