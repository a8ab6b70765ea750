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

// model is what a folder must hold.
type model struct {
	t       *rapid.T
	path    string
	folder  *Folder
	hard    *apiv1.HardState
	start   uint64 // index of the snapshot
	entries []*apiv1.LogEntry
	counter int
}

func (m *model) last() uint64 { return m.start + uint64(len(m.entries)) }

func (m *model) must(err error) {
	if err != nil {
		m.t.Fatal(err)
	}
}

// save appends entries, which may overwrite some that are not in a snapshot.
func (m *model) save(t *rapid.T) {
	first := rapid.Uint64Range(m.start+1, m.last()+1).Draw(t, "first")
	m.hard = &apiv1.HardState{Term: m.hard.Term + 1, Commit: m.start}
	m.entries = m.entries[: first-m.start-1 : first-m.start-1]
	var batch []*apiv1.LogEntry
	for i := range rapid.Uint64Range(1, 5).Draw(t, "count") {
		m.counter++
		batch = append(batch, entry(first+i, m.hard.Term, fmt.Sprint(m.counter)))
	}
	m.entries = append(m.entries, batch...)
	m.must(m.folder.Save(m.hard, batch, true))
}

func (m *model) useSnapshot(index uint64, replaceLog bool) {
	s := &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: index, Term: 1}}
	m.must(m.folder.WriteSnapshot(s))
	m.must(m.folder.UseSnapshot(s.Meta, replaceLog))
}

func (m *model) snapshot(t *rapid.T) {
	if len(m.entries) == 0 {
		return
	}
	index := rapid.Uint64Range(m.start+1, m.last()).Draw(t, "index")
	m.entries = m.entries[index-m.start:]
	m.start = index
	m.useSnapshot(index, false)
	names, err := listNames(m.path, snapshotSuffix)
	m.must(err)
	if oldest := m.folder.wal.segments[0]; len(names) != 1 || oldest.lastIndex <= index && len(m.folder.wal.segments) > 1 {
		t.Fatalf("after snapshot %d there are snapshots %v and segment %v", index, names, oldest)
	}
}

func (m *model) install(t *rapid.T) {
	m.start += rapid.Uint64Range(1, 6).Draw(t, "ahead")
	m.entries = nil
	m.useSnapshot(m.start, true)
}

// roll closes the segment as if it had reached its size.
func (m *model) roll(*rapid.T) { m.must(m.folder.wal.roll(false)) }

// crash cuts off a part of a batch that was not synced.
func (m *model) crash(t *rapid.T) {
	name, size := m.folder.wal.current().name, m.folder.wal.size
	m.must(m.folder.Save(nil, []*apiv1.LogEntry{entry(m.last()+1, m.hard.Term, "unsynced")}, false))
	written := m.folder.wal.size
	m.folder.Close()
	m.must(os.Truncate(filepath.Join(m.path, name), rapid.Int64Range(size, written-1).Draw(t, "size")))
	m.open()
}

func (m *model) reopen(*rapid.T) {
	m.folder.Close()
	m.open()
}

func (m *model) open() {
	f, c, err := Open(m.path)
	m.must(err)
	m.folder = f
	same := proto.Equal(c.HardState, m.hard) && c.Snapshot.GetMeta().GetIndex() == m.start && len(c.Entries) == len(m.entries)
	for i := 0; same && i < len(c.Entries); i++ {
		same = proto.Equal(c.Entries[i], m.entries[i])
	}
	if !same {
		m.t.Fatalf("folder holds %v, snapshot %d, entries %v; want %v, %d, %v", c.HardState, c.Snapshot.GetMeta().GetIndex(), c.Entries, m.hard, m.start, m.entries)
	}
}

// Guards against a folder that returns anything but what was saved, over any
// order of batches, overwritten entries, segments, snapshots and crashes.
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
		m := &model{t: t, path: filepath.Join(root, fmt.Sprint(runs)), hard: &apiv1.HardState{}}
		m.open()
		t.Repeat(map[string]func(*rapid.T){
			"save": m.save, "save2": m.save, "snapshot": m.snapshot, "install": m.install,
			"roll": m.roll, "crash": m.crash, "reopen": m.reopen,
		})
		m.reopen(t)
		m.folder.Close()
	})
}
