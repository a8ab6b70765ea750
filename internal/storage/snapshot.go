package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const snapshotSuffix = ".snapshot"

func snapshotName(index uint64) string {
	return fmt.Sprintf("%020d%s", index, snapshotSuffix)
}

// WriteSnapshot makes a snapshot file durable. The log does not refer to it
// before UseSnapshot. It may run beside the other methods.
func (f *Folder) WriteSnapshot(s *apiv1.Snapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return fmt.Errorf("marshal snapshot: %w", err)
	}
	if len(payload) > maxRecordBytes {
		return fmt.Errorf("snapshot of %d bytes exceeds the limit of %d", len(payload), maxRecordBytes)
	}
	if err := writeFile(f.path, snapshotName(s.Meta.Index), appendRecord(nil, 0, kindSnapshot, payload)); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// UseSnapshot makes the log start at a written snapshot, then removes the
// segments and snapshots before it. With replaceLog set all entries of the log
// are dropped, which a snapshot from the leader asks for; otherwise those after
// the snapshot stay.
func (f *Folder) UseSnapshot(meta *apiv1.SnapshotMeta, replaceLog bool) error {
	f.snapshots.Lock()
	defer f.snapshots.Unlock()
	if err := f.wal.startAt(meta, replaceLog); err != nil {
		return fmt.Errorf("record snapshot: %w", err)
	}
	return f.removeSnapshotsBefore(meta.Index)
}

// ReadSnapshot returns the newest snapshot that the log refers to.
func (f *Folder) ReadSnapshot() (*apiv1.Snapshot, error) {
	f.snapshots.Lock()
	defer f.snapshots.Unlock()
	if f.wal.snapshot == nil {
		return nil, errors.New("no snapshot exists")
	}
	return readSnapshot(f.path, f.wal.snapshot)
}

func readSnapshot(folder string, meta *apiv1.SnapshotMeta) (*apiv1.Snapshot, error) {
	name := snapshotName(meta.Index)
	data, err := os.ReadFile(filepath.Join(folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, damaged("snapshot %s is missing", name)
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	s := &apiv1.Snapshot{}
	kind, payload, next, err := decodeRecord(data, 0)
	if err != nil || kind != kindSnapshot || next != int64(len(data)) || proto.Unmarshal(payload, s) != nil {
		return nil, damaged("snapshot %s is damaged", name)
	}
	if s.Meta.GetIndex() != meta.Index || s.Meta.GetTerm() != meta.Term {
		return nil, damaged("snapshot %s does not fit the log", name)
	}
	return s, nil
}

func (f *Folder) removeSnapshotsBefore(index uint64) error {
	names, err := listNames(f.path, snapshotSuffix)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	old := slices.DeleteFunc(names, func(name string) bool { return name >= snapshotName(index) })
	if err := removeAll(f.path, old); err != nil {
		return fmt.Errorf("remove snapshots: %w", err)
	}
	return nil
}
