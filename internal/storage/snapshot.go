package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const snapshotSuffix = ".snapshot"

func snapshotName(index uint64) string {
	return fmt.Sprintf("%020d%s", index, snapshotSuffix)
}

// WriteSnapshot durably writes a snapshot to a file. The log refers to it only
// after UseSnapshot. It may be called while another method runs.
func (f *Folder) WriteSnapshot(s *apiv1.Snapshot) error {
	record, err := snapshotRecordStart(s)
	if err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	if err := writeFile(f.path, snapshotName(s.Meta.Index), record, s.Data); err != nil {
		return fmt.Errorf("write snapshot: %w", err)
	}
	return nil
}

// Numbers of the fields of a Snapshot message.
const (
	snapshotMetaField protowire.Number = 1
	snapshotDataField protowire.Number = 2
)

// snapshotRecordStart returns the record of a snapshot up to its data, which ends it. A
// snapshot is large, so its data is not copied into the record.
func snapshotRecordStart(s *apiv1.Snapshot) ([]byte, error) {
	meta, err := proto.Marshal(s.Meta)
	if err != nil {
		return nil, fmt.Errorf("marshal: %w", err)
	}
	start := make([]byte, recordHeaderBytes)
	start = protowire.AppendBytes(protowire.AppendTag(start, snapshotMetaField, protowire.BytesType), meta)
	if len(s.Data) > 0 {
		start = protowire.AppendVarint(protowire.AppendTag(start, snapshotDataField, protowire.BytesType), uint64(len(s.Data)))
	}
	if size := len(start) + len(s.Data); size > maxRecordBytes {
		return nil, fmt.Errorf("%d bytes exceed the limit of %d", size, maxRecordBytes)
	}
	fillHeader(start, 0, kindSnapshot, s.Data)
	return start, nil
}

// decodeSnapshot decodes a snapshot message. Its data shares memory with the message.
func decodeSnapshot(message []byte) (*apiv1.Snapshot, error) {
	s := &apiv1.Snapshot{}
	for len(message) > 0 {
		number, kind, n := protowire.ConsumeTag(message)
		if n < 0 {
			return nil, protowire.ParseError(n)
		}
		message = message[n:]
		if kind != protowire.BytesType || number > snapshotDataField {
			if n = protowire.ConsumeFieldValue(number, kind, message); n < 0 {
				return nil, protowire.ParseError(n)
			}
			message = message[n:]
			continue
		}
		value, n := protowire.ConsumeBytes(message)
		if n < 0 {
			return nil, protowire.ParseError(n)
		}
		message = message[n:]
		if number == snapshotDataField {
			s.Data = value
			continue
		}
		s.Meta = &apiv1.SnapshotMeta{}
		if err := proto.Unmarshal(value, s.Meta); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// UseSnapshot makes the log start after a snapshot that WriteSnapshot has
// written, then removes older segments and snapshots. With replaceLog set, as
// for a snapshot that the leader sent, it drops all entries of the log;
// otherwise it keeps those after the snapshot. After ErrDiskFull the log is
// as before.
func (f *Folder) UseSnapshot(meta *apiv1.SnapshotMeta, replaceLog bool) error {
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	if err := f.wal.startAtSnapshot(meta, replaceLog); err != nil {
		return fmt.Errorf("record snapshot: %w", err)
	}
	return f.removeSnapshotsBefore(meta.Index)
}

// ReadSnapshot reads the snapshot that the log starts from. It returns an error
// when there is none, and a *result.Error with code DATA_DAMAGED when the file is
// missing or corrupt. It may be called while another method runs.
func (f *Folder) ReadSnapshot() (*apiv1.Snapshot, error) {
	f.snapshotMu.Lock()
	defer f.snapshotMu.Unlock()
	if f.wal.snapshot == nil {
		return nil, errors.New("no snapshot exists")
	}
	return readSnapshot(f.path, f.wal.snapshot)
}

// readSnapshot reads and checks the snapshot file that meta refers to.
func readSnapshot(folder string, meta *apiv1.SnapshotMeta) (*apiv1.Snapshot, error) {
	name := snapshotName(meta.Index)
	data, err := os.ReadFile(filepath.Join(folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, damaged("snapshot %s is missing", name)
	}
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	kind, payload, next, err := decodeRecord(data, 0)
	if err != nil || kind != kindSnapshot || next != int64(len(data)) {
		return nil, damaged("snapshot %s is damaged", name)
	}
	s, err := decodeSnapshot(payload)
	if err != nil {
		return nil, damaged("snapshot %s is damaged", name)
	}
	if s.Meta.GetIndex() != meta.Index || s.Meta.GetTerm() != meta.Term {
		return nil, damaged("snapshot %s does not fit the log", name)
	}
	return s, nil
}

// removeUnusedSnapshots removes the snapshot files that the log doesn't refer to. The
// process that wrote them ended before it could use them, and on a full disk they take
// the space that the log needs.
func (f *Folder) removeUnusedSnapshots() error {
	names, err := listNames(f.path, snapshotSuffix)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	unused := slices.DeleteFunc(names, func(name string) bool {
		return f.wal.snapshot != nil && name == snapshotName(f.wal.snapshot.Index)
	})
	if err := removeFiles(f.path, unused); err != nil {
		return fmt.Errorf("remove unused snapshots: %w", err)
	}
	return nil
}

// removeSnapshotsBefore removes the snapshot files with a lower index.
func (f *Folder) removeSnapshotsBefore(index uint64) error {
	names, err := listNames(f.path, snapshotSuffix)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	old := slices.DeleteFunc(names, func(name string) bool { return name >= snapshotName(index) })
	if err := removeFiles(f.path, old); err != nil {
		return fmt.Errorf("remove snapshots: %w", err)
	}
	return nil
}
