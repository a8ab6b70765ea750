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

// replay rebuilds the state of the log from its segments when a folder is
// opened, and opens the last segment for appending.
type replay struct {
	folder    string
	replicaID uint64
	wal       *wal
	entries   []*apiv1.LogEntry
}

// run reads the segments with the given names, oldest first.
func (r *replay) run(names []string) error {
	r.wal = &wal{folder: r.folder, replicaID: r.replicaID, hardState: &apiv1.HardState{}}
	for i, name := range names {
		if err := r.readSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	return nil
}

// readSegment applies the records of one segment. Only the last segment may end
// in a torn record, which a crash during a write leaves; any other damage means
// that synced data was lost, and is returned as DATA_DAMAGED.
func (r *replay) readSegment(name string, last bool) error {
	data, err := os.ReadFile(filepath.Join(r.folder, name))
	if err != nil {
		return fmt.Errorf("read segment %s: %w", name, err)
	}
	offset, record := int64(0), 0
	for offset < int64(len(data)) {
		kind, payload, next, err := decodeRecord(data, offset)
		if err != nil {
			if record == 0 || !last || hasIntactRecordAfter(data, offset) {
				return damagedAt(name, offset, record, "record is damaged")
			}
			break
		}
		if err := r.applyRecord(name, record, kind, payload); err != nil {
			return damagedAt(name, offset, record, err.Error())
		}
		offset = next
		record++
	}
	if record == 0 {
		return damagedAt(name, 0, 0, "header is missing")
	}
	if !last {
		return nil
	}
	return r.openLast(name, offset, int64(len(data)))
}

func damagedAt(name string, offset int64, record int, reason string) error {
	return damaged("segment %s, offset %d, record %d: %s: empty the data folder, and the replica joins as a new one", name, offset, record, reason)
}

// openLast opens the last segment for appending. It truncates the file from size
// to offset when the tail is torn. It syncs the rest, since the previous process
// may have ended between a write and its sync.
func (r *replay) openLast(name string, offset, size int64) error {
	if err := r.wal.open(offset); err != nil {
		return fmt.Errorf("open segment %s: %w", name, err)
	}
	// The file is open for append only, so writes continue at the new end.
	if offset != size {
		if err := r.wal.file.Truncate(offset); err != nil {
			return fmt.Errorf("truncate segment %s: %w", name, err)
		}
	}
	if err := syncFile(r.wal.file); err != nil {
		return fmt.Errorf("sync segment %s: %w", name, err)
	}
	return nil
}

// applyRecord applies a segment's record with the given number, counted from 0.
// The first must be the segment's header, all others log batches.
func (r *replay) applyRecord(name string, number int, kind recordKind, payload []byte) error {
	if number == 0 {
		return r.addSegment(name, kind, payload)
	}
	if kind != kindBatch {
		return fmt.Errorf("record of kind %d does not belong here", kind)
	}
	batch := &apiv1.LogBatch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return fmt.Errorf("batch does not decode: %w", err)
	}
	for _, rec := range batch.Records {
		switch body := rec.Body.(type) {
		case *apiv1.LogRecord_Entry:
			if err := r.addEntry(body.Entry); err != nil {
				return err
			}
		case *apiv1.LogRecord_HardState:
			r.wal.hardState = body.HardState
		case *apiv1.LogRecord_Snapshot:
			r.setSnapshot(body.Snapshot)
		case *apiv1.LogRecord_TruncateAfter:
			r.truncateAfter(body.TruncateAfter)
		default:
			return errors.New("log record of unknown type")
		}
	}
	return nil
}

// addSegment checks a segment's header, which must fit the replica, the file's
// name and the segment before, and adds the segment to the log.
func (r *replay) addSegment(name string, kind recordKind, payload []byte) error {
	h := &apiv1.SegmentHeader{}
	if kind != kindHeader || proto.Unmarshal(payload, h) != nil {
		return errors.New("segment does not start with a header")
	}
	if h.ReplicaId != r.replicaID {
		return fmt.Errorf("segment belongs to replica %x, the folder to %x", h.ReplicaId, r.replicaID)
	}
	if name != segmentName(h.Sequence) {
		return fmt.Errorf("segment is number %d by its header", h.Sequence)
	}
	if n := len(r.wal.segments); n > 0 && h.Sequence != r.wal.segments[n-1].sequence+1 {
		return fmt.Errorf("segment follows number %d", r.wal.segments[n-1].sequence)
	}
	r.wal.segments = append(r.wal.segments, segment{name: name, sequence: h.Sequence})
	return nil
}

// addEntry adds an entry and drops the entries that it overwrites. An entry with
// a lower index than the first one overwrites entries that were removed with an
// earlier segment; contents checks that a snapshot covers what is missing.
func (r *replay) addEntry(e *apiv1.LogEntry) error {
	current := r.wal.current()
	current.lastIndex = max(current.lastIndex, e.Index)
	if len(r.entries) > 0 {
		first := r.entries[0].Index
		next := first + uint64(len(r.entries))
		if e.Index > next {
			return fmt.Errorf("entry %d follows entry %d", e.Index, next-1)
		}
		r.entries = r.entries[:max(e.Index, first)-first]
	}
	r.entries = append(r.entries, e)
	return nil
}

// setSnapshot makes meta the current snapshot and drops the entries that it
// covers.
func (r *replay) setSnapshot(meta *apiv1.SnapshotMeta) {
	r.wal.snapshot = meta
	n := 0
	for n < len(r.entries) && r.entries[n].Index <= meta.Index {
		n++
	}
	r.entries = slices.Delete(r.entries, 0, n)
}

// truncateAfter drops the entries after index.
func (r *replay) truncateAfter(index uint64) {
	n := len(r.entries)
	for n > 0 && r.entries[n-1].Index > index {
		n--
	}
	r.entries = r.entries[:n]
}

// contents returns the state that was read. It checks that the snapshot is
// readable and that the entries follow it.
func (r *replay) contents() (*Contents, error) {
	c := &Contents{HardState: r.wal.hardState, Entries: r.entries}
	start := uint64(0)
	if r.wal.snapshot != nil {
		s, err := readSnapshot(r.folder, r.wal.snapshot)
		if err != nil {
			return nil, err
		}
		c.Snapshot, start = s, s.Meta.Index
	}
	if len(c.Entries) > 0 && c.Entries[0].Index != start+1 {
		return nil, damaged("log starts at entry %d, but its snapshot ends at %d: empty the data folder, and the replica joins as a new one", c.Entries[0].Index, start)
	}
	return c, nil
}
