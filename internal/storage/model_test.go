package storage

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// harness holds an open folder and the state that it must return when it is
// reopened. Its methods that take a *rapid.T are the steps of the test.
type harness struct {
	t             *rapid.T
	path          string
	folder        *Folder
	hardState     *apiv1.HardState
	snapshotIndex uint64 // index of the last entry that the snapshot covers
	entries       []*apiv1.LogEntry
	counter       int
}

func (h *harness) lastIndex() uint64 { return h.snapshotIndex + uint64(len(h.entries)) }

func (h *harness) must(err error) {
	if err != nil {
		h.t.Fatal(err)
	}
}

// save appends entries. They may overwrite entries that no snapshot covers.
func (h *harness) save(t *rapid.T) {
	first := rapid.Uint64Range(h.snapshotIndex+1, h.lastIndex()+1).Draw(t, "first")
	h.hardState = &apiv1.HardState{Term: h.hardState.Term + 1, Commit: h.snapshotIndex}
	h.entries = h.entries[: first-h.snapshotIndex-1 : first-h.snapshotIndex-1]
	var batch []*apiv1.LogEntry
	for i := range rapid.Uint64Range(1, 5).Draw(t, "count") {
		h.counter++
		batch = append(batch, newEntry(first+i, h.hardState.Term, fmt.Sprint(h.counter)))
	}
	h.entries = append(h.entries, batch...)
	h.must(h.folder.Save(h.hardState, batch, true))
}

func (h *harness) useSnapshot(index uint64, replaceLog bool) {
	s := &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: index, Term: 1}}
	h.must(h.folder.WriteSnapshot(s))
	h.must(h.folder.UseSnapshot(s.Meta, replaceLog))
}

// takeSnapshot writes a snapshot of a part of the entries and checks that older
// snapshots and segments are removed.
func (h *harness) takeSnapshot(t *rapid.T) {
	if len(h.entries) == 0 {
		return
	}
	index := rapid.Uint64Range(h.snapshotIndex+1, h.lastIndex()).Draw(t, "index")
	h.entries = h.entries[index-h.snapshotIndex:]
	h.snapshotIndex = index
	h.useSnapshot(index, false)
	names, err := listNames(h.path, snapshotSuffix)
	h.must(err)
	if oldest := h.folder.wal.segments[0]; len(names) != 1 || oldest.lastIndex <= index && len(h.folder.wal.segments) > 1 {
		t.Fatalf("after snapshot %d there are snapshots %v and segment %v", index, names, oldest)
	}
}

// installSnapshot replaces the whole log by a snapshot that is ahead of it, as one
// from the leader does.
func (h *harness) installSnapshot(t *rapid.T) {
	h.snapshotIndex += rapid.Uint64Range(1, 6).Draw(t, "ahead")
	h.entries = nil
	h.useSnapshot(h.snapshotIndex, true)
}

// rotate starts a new segment, as if the last one had reached its size.
func (h *harness) rotate(*rapid.T) { h.must(h.folder.wal.rotate(false)) }

// crash cuts off all or the end of a record that was not synced, and reopens the
// folder.
func (h *harness) crash(t *rapid.T) {
	name, size := h.folder.wal.current().name, h.folder.wal.size
	h.must(h.folder.Save(nil, []*apiv1.LogEntry{newEntry(h.lastIndex()+1, h.hardState.Term, "unsynced")}, false))
	written := h.folder.wal.size
	h.folder.Close()
	h.must(os.Truncate(filepath.Join(h.path, name), rapid.Int64Range(size, written-1).Draw(t, "size")))
	h.open()
}

func (h *harness) reopen(*rapid.T) {
	h.folder.Close()
	h.open()
}

// open opens the folder and compares what it returns with what was saved.
func (h *harness) open() {
	f, c, err := Open(h.path)
	h.must(err)
	h.folder = f
	same := proto.Equal(c.HardState, h.hardState) && c.Snapshot.GetMeta().GetIndex() == h.snapshotIndex && len(c.Entries) == len(h.entries)
	for i := 0; same && i < len(c.Entries); i++ {
		same = proto.Equal(c.Entries[i], h.entries[i])
	}
	if !same {
		h.t.Fatalf("folder holds %v, snapshot %d, entries %v; want %v, %d, %v", c.HardState, c.Snapshot.GetMeta().GetIndex(), c.Entries, h.hardState, h.snapshotIndex, h.entries)
	}
}

// Guards against a folder that doesn't return exactly what was saved, for any order
// of batches, overwritten entries, new segments, snapshots and crashes.
func TestFolderReturnsWhatWasSaved(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	root := t.TempDir()
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		h := &harness{t: t, path: filepath.Join(root, fmt.Sprint(runs)), hardState: &apiv1.HardState{}}
		h.open()
		t.Repeat(map[string]func(*rapid.T){
			// Two names for save let rapid choose it twice as often as the others.
			"save": h.save, "save2": h.save, "snapshot": h.takeSnapshot, "install": h.installSnapshot,
			"rotate": h.rotate, "crash": h.crash, "reopen": h.reopen,
		})
		h.reopen(t)
		h.folder.Close()
	})
}
