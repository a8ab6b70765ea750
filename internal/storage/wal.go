package storage

import (
	"fmt"
	"os"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	segmentSuffix = ".wal"
	// segmentBytes is the size at which a segment is closed and the next one is
	// started.
	segmentBytes = 8 << 20
	// batchBytes is the size at which a batch is split into several records. A
	// record stays below maxRecordBytes even if one of its entries is as large as
	// an rpc frame may be.
	batchBytes = 16 << 20
	// keptBufferBytes is the size up to which the buffer of a write is kept for the
	// next one.
	keptBufferBytes = 1 << 20
)

// segment describes one file of the log.
type segment struct {
	name     string
	sequence uint64
	// lastIndex is the highest index of an entry in the file.
	lastIndex uint64
}

// wal is the write-ahead log. It appends to its last segment. Each segment
// starts with a header, the current hard state and a reference to the current
// snapshot, so that earlier segments can be removed once a snapshot covers their
// entries.
type wal struct {
	folder    string
	replicaID uint64
	segments  []segment
	file      *os.File
	size      int64
	// hasFailedWrite is set when bytes after size may be left of a failed write.
	hasFailedWrite bool
	hardState      *apiv1.HardState
	// hardStatePending is set while hardState has not been written to the log.
	hardStatePending bool
	snapshot         *apiv1.SnapshotMeta
	buf              []byte
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%020d%s", sequence, segmentSuffix)
}

func createWAL(folder string, replicaID uint64) (*wal, error) {
	w := &wal{folder: folder, replicaID: replicaID, hardState: &apiv1.HardState{}}
	if err := w.rotate(false); err != nil {
		return nil, err
	}
	return w, nil
}

func (w *wal) close() {
	if w.file != nil {
		w.file.Close()
	}
}

func (w *wal) current() *segment { return &w.segments[len(w.segments)-1] }

// save appends the entries and the hard state with a single write. A batch of up
// to batchBytes is one record, which a crash leaves whole or not at all. The hard
// state comes last, since its commit index refers to the entries before it. A
// hard state alone is written only with sync set, otherwise with the next
// entries: a power loss could drop an unsynced write and keep a later one, and
// replay would take the gap for corruption, not for a torn tail.
//
// After ErrDiskFull save may be repeated: the next write removes what the failed one
// has left.
func (w *wal) save(hs *apiv1.HardState, entries []*apiv1.LogEntry, sync bool) error {
	if len(entries) == 0 && (!sync || hs == nil && !w.hardStatePending) {
		w.setHardState(hs)
		return nil
	}
	// A segment starts with the hard state, so the new one, whose commit index may
	// cover the new entries, must not be set yet.
	if w.size >= segmentBytes {
		if err := w.rotate(false); err != nil {
			return fmt.Errorf("start log segment: %w", err)
		}
	}
	earlier, pending := w.hardState, w.hardStatePending
	w.setHardState(hs)
	w.buf = w.buf[:0]
	if err := w.encode(entries); err != nil {
		return err
	}
	if err := w.write(sync); err != nil {
		w.hardState, w.hardStatePending = earlier, pending
		return err
	}
	w.size += int64(len(w.buf))
	if cap(w.buf) > keptBufferBytes {
		w.buf = nil
	}
	return nil
}

// setHardState makes hs, unless it is nil, the hard state to write next.
func (w *wal) setHardState(hs *apiv1.HardState) {
	if hs != nil {
		w.hardState, w.hardStatePending = hs, true
	}
}

// write writes w.buf at the end of the current segment, and syncs it with sync set.
// It first removes what a write that failed has left there.
func (w *wal) write(sync bool) error {
	if err := w.removeFailedWrite(); err != nil {
		return err
	}
	w.hasFailedWrite = true
	if _, err := writeData(w.file, w.buf); err != nil {
		return fmt.Errorf("write log: %w", markDiskFull(err))
	}
	if sync {
		if err := syncData(w.file); err != nil {
			return fmt.Errorf("sync log: %w", markDiskFull(err))
		}
	}
	w.hasFailedWrite = false
	return nil
}

// removeFailedWrite removes what a write that failed has left in the current segment.
func (w *wal) removeFailedWrite() error {
	if !w.hasFailedWrite {
		return nil
	}
	if err := w.file.Truncate(w.size); err != nil {
		return fmt.Errorf("remove incomplete record from log: %w", markDiskFull(err))
	}
	w.hasFailedWrite = false
	return nil
}

// encode appends the records of the entries and a pending hard state to w.buf.
func (w *wal) encode(entries []*apiv1.LogEntry) error {
	batch := &apiv1.LogBatch{}
	bytes := 0
	for _, e := range entries {
		size := proto.Size(e)
		if bytes > 0 && bytes+size > batchBytes {
			if err := w.addRecord(batch); err != nil {
				return err
			}
			batch, bytes = &apiv1.LogBatch{}, 0
		}
		batch.Records = append(batch.Records, &apiv1.LogRecord{Body: &apiv1.LogRecord_Entry{Entry: e}})
		bytes += size
		w.current().lastIndex = max(w.current().lastIndex, e.Index)
	}
	if w.hardStatePending {
		w.hardStatePending = false
		batch.Records = append(batch.Records, hardStateRecord(w.hardState))
	}
	return w.addRecord(batch)
}

func hardStateRecord(hs *apiv1.HardState) *apiv1.LogRecord {
	return &apiv1.LogRecord{Body: &apiv1.LogRecord_HardState{HardState: hs}}
}

// addRecord appends a batch to w.buf as a record at the end of the current
// segment.
func (w *wal) addRecord(batch *apiv1.LogBatch) error {
	payload, err := proto.Marshal(batch)
	if err != nil {
		return fmt.Errorf("marshal log batch: %w", err)
	}
	w.buf = appendRecord(w.buf, w.size+int64(len(w.buf)), kindBatch, payload)
	return nil
}

// rotate starts the next segment. It syncs the previous one first: only the last
// segment may end in a torn record. With replaceLog set, the new segment records
// that all earlier entries are dropped.
func (w *wal) rotate(replaceLog bool) error {
	next := segment{sequence: 1}
	if w.file != nil {
		if err := w.removeFailedWrite(); err != nil {
			return err
		}
		if err := syncFile(w.file); err != nil {
			return err
		}
		next.sequence = w.current().sequence + 1
	}
	next.name = segmentName(next.sequence)
	data, err := w.initialRecords(next.sequence, replaceLog)
	if err != nil {
		return err
	}
	if err := writeFile(w.folder, next.name, data); err != nil {
		return err
	}
	w.close()
	w.segments = append(w.segments, next)
	return w.open(int64(len(data)))
}

// initialRecords encodes what a new segment starts with: the header and, unless
// the log is new, the hard state, the truncation and the snapshot.
func (w *wal) initialRecords(sequence uint64, replaceLog bool) ([]byte, error) {
	payload, err := proto.Marshal(&apiv1.SegmentHeader{ReplicaId: w.replicaID, Sequence: sequence})
	if err != nil {
		return nil, err
	}
	data := appendRecord(nil, 0, kindHeader, payload)
	if w.hardState.Term == 0 && w.snapshot == nil {
		return data, nil
	}
	batch := &apiv1.LogBatch{Records: []*apiv1.LogRecord{hardStateRecord(w.hardState)}}
	if replaceLog {
		batch.Records = append(batch.Records, &apiv1.LogRecord{Body: &apiv1.LogRecord_TruncateAfter{}})
	}
	if w.snapshot != nil {
		batch.Records = append(batch.Records, &apiv1.LogRecord{Body: &apiv1.LogRecord_Snapshot{Snapshot: w.snapshot}})
	}
	if payload, err = proto.Marshal(batch); err != nil {
		return nil, err
	}
	return appendRecord(data, int64(len(data)), kindBatch, payload), nil
}

// open opens the last segment, which is size bytes long, for appending.
func (w *wal) open(size int64) error {
	file, err := os.OpenFile(filepath.Join(w.folder, w.current().name), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	w.file, w.size = file, size
	return nil
}

// startAtSnapshot records a snapshot in a new segment and removes the oldest
// segments, from the first on, as far as the snapshot covers all their entries.
func (w *wal) startAtSnapshot(meta *apiv1.SnapshotMeta, replaceLog bool) error {
	earlier := w.snapshot
	w.snapshot = meta
	if err := w.rotate(replaceLog); err != nil {
		w.snapshot = earlier
		return err
	}
	// Each removal is durable before the next one. A power loss could undo some of several
	// that aren't, and a log with a gap can't be opened.
	for len(w.segments) > 1 && w.segments[0].lastIndex <= meta.Index {
		if err := removeFiles(w.folder, []string{w.segments[0].name}); err != nil {
			return fmt.Errorf("remove log segment: %w", err)
		}
		w.segments = w.segments[1:]
	}
	return nil
}
