// Package storage implements the data folder of a control replica: its
// identity, a segmented write-ahead log and snapshot files.
//
// Invariants:
//   - What Save (with sync set), WriteSnapshot and UseSnapshot have written
//     survives a crash once they have returned without an error.
//   - The log starts at or before the end of the newest snapshot that it refers
//     to.
//   - Identity and log belong together. A folder that lost one of them does not
//     open, since a replica that lost its log could vote twice in a term.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const identityName = "identity"

// Contents is the persistent state that Open read from a data folder.
type Contents struct {
	HardState *apiv1.HardState
	// Snapshot is the newest snapshot, nil while the replica belongs to no
	// group.
	Snapshot *apiv1.Snapshot
	// Entries are the log entries after the snapshot, without gaps.
	Entries []*apiv1.LogEntry
}

// Folder is an open and locked data folder. Its methods must not be called
// concurrently, except that WriteSnapshot and ReadSnapshot may run while another
// method does.
type Folder struct {
	path     string
	lock     *os.File
	identity *apiv1.ReplicaIdentity
	wal      *wal
	// snapshotMu keeps UseSnapshot from changing the current snapshot and
	// removing older files while ReadSnapshot reads one.
	snapshotMu sync.Mutex
}

// damaged returns a *result.Error with code DATA_DAMAGED.
func damaged(format string, args ...any) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_DATA_DAMAGED, format, args...)
}

// Open opens a data folder, which it creates when it doesn't exist, and returns
// the state that it holds. It returns a *result.Error with code DATA_DAMAGED
// when a file is missing or corrupt and the replica must not use the folder.
func Open(path string) (*Folder, *Contents, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, nil, fmt.Errorf("create data folder: %w", err)
	}
	if err := os.Chmod(path, folderMode); err != nil {
		return nil, nil, fmt.Errorf("set mode of data folder: %w", err)
	}
	lock, err := lockFolder(path)
	if err != nil {
		return nil, nil, err
	}
	f := &Folder{path: path, lock: lock}
	contents, err := f.load()
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, contents, nil
}

func (f *Folder) load() (*Contents, error) {
	if err := removeTempFiles(f.path); err != nil {
		return nil, fmt.Errorf("remove unfinished files: %w", err)
	}
	segments, err := listNames(f.path, segmentSuffix)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	data, err := os.ReadFile(filepath.Join(f.path, identityName))
	if errors.Is(err, os.ErrNotExist) {
		return f.create(segments)
	}
	if err != nil {
		return nil, fmt.Errorf("read identity: %w", err)
	}
	if f.identity, err = decodeIdentity(data); err != nil {
		return nil, err
	}
	if len(segments) == 0 {
		return nil, damaged("data folder %s has an identity but no log segment: empty it, and the replica joins as a new one", f.path)
	}
	r := &replay{folder: f.path, replicaID: f.identity.ReplicaId}
	if err := r.run(segments); err != nil {
		return nil, err
	}
	f.wal = r.wal
	contents, err := r.contents()
	if err != nil {
		return nil, err
	}
	return contents, f.removeUnusedSnapshots()
}

// create initializes a folder without an identity. The first segment is written
// before the identity, so a folder that has an identity but no segment must have
// lost its log.
func (f *Folder) create(segments []string) (*Contents, error) {
	if len(segments) > 1 {
		return nil, damaged("data folder %s has log segments but no identity: empty it, and the replica joins as a new one", f.path)
	}
	if len(segments) == 1 {
		if err := f.removeUnfinishedCreation(segments[0]); err != nil {
			return nil, err
		}
	}
	identity := &apiv1.ReplicaIdentity{ReplicaId: RandomID()}
	w, err := createWAL(f.path, identity.ReplicaId)
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	f.wal = w
	if err := f.writeIdentity(identity); err != nil {
		return nil, err
	}
	if err := syncFolder(filepath.Dir(f.path)); err != nil {
		return nil, fmt.Errorf("sync parent of data folder: %w", err)
	}
	return &Contents{HardState: &apiv1.HardState{}}, nil
}

// removeUnfinishedCreation removes the segment that create wrote before it was
// interrupted. It returns DATA_DAMAGED for a segment with more than a header:
// then the identity was lost, not unwritten.
func (f *Folder) removeUnfinishedCreation(segment string) error {
	path := filepath.Join(f.path, segment)
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read segment: %w", err)
	}
	_, _, next, err := decodeRecord(data, 0)
	if err != nil || next != int64(len(data)) {
		return damaged("data folder %s has log segments but no identity: empty it, and the replica joins as a new one", f.path)
	}
	return os.Remove(path)
}

// RandomID returns a random id for a replica or cluster. It is never zero, which
// stands for no id.
func RandomID() uint64 {
	var b [8]byte
	for {
		rand.Read(b[:])
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

func decodeIdentity(data []byte) (*apiv1.ReplicaIdentity, error) {
	id := &apiv1.ReplicaIdentity{}
	kind, payload, next, err := decodeRecord(data, 0)
	if err != nil || kind != kindHeader || next != int64(len(data)) || proto.Unmarshal(payload, id) != nil || id.ReplicaId == 0 {
		return nil, damaged("identity file does not decode: empty the data folder, and the replica joins as a new one")
	}
	return id, nil
}

func (f *Folder) writeIdentity(identity *apiv1.ReplicaIdentity) error {
	payload, err := proto.Marshal(identity)
	if err != nil {
		return fmt.Errorf("marshal identity: %w", err)
	}
	if err := writeFile(f.path, identityName, appendRecord(nil, 0, kindHeader, payload)); err != nil {
		return fmt.Errorf("write identity: %w", err)
	}
	f.identity = identity
	return nil
}

// ReplicaID returns the replica's id, which was drawn when the folder was
// created.
func (f *Folder) ReplicaID() uint64 { return f.identity.ReplicaId }

// ClusterID returns the id of the cluster that the replica belongs to, or zero
// when it belongs to none.
func (f *Folder) ClusterID() uint64 { return f.identity.ClusterId }

// SetClusterID durably records the cluster that the replica belongs to.
func (f *Folder) SetClusterID(id uint64) error {
	return f.writeIdentity(&apiv1.ReplicaIdentity{ReplicaId: f.identity.ReplicaId, ClusterId: id})
}

// Save appends a Raft hard state (the term, the vote and the commit index) and
// entries to the log; hs may be nil and entries empty. With sync set it returns
// once they are durable. Without it, a hard state that comes without entries may be
// written as late as with the next entries. After ErrDiskFull the folder is as
// before.
func (f *Folder) Save(hs *apiv1.HardState, entries []*apiv1.LogEntry, sync bool) error {
	return f.wal.save(hs, entries, sync)
}

// Close closes the log and unlocks the folder.
func (f *Folder) Close() {
	if f.wal != nil {
		f.wal.close()
	}
	f.lock.Close()
}
