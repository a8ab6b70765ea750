// Package storage keeps a control replica's data folder: its identity, the
// write-ahead log in segments, and snapshot files.
//
// Invariants:
//   - what Save and SaveSnapshot acknowledged survives a crash;
//   - the log starts at or before the newest snapshot that it names;
//   - identity and log belong together: a folder that lost one of them does not
//     open, so that a replica never votes without its memory of earlier votes.
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

// Contents is what a folder held when it was opened.
type Contents struct {
	HardState *apiv1.HardState
	// Snapshot is nil while the replica belongs to no group.
	Snapshot *apiv1.Snapshot
	// Entries follow the snapshot without gaps.
	Entries []*apiv1.LogEntry
}

// Folder is an open data folder. Its methods must not run at the same time,
// except WriteSnapshot and ReadSnapshot.
type Folder struct {
	path     string
	lock     *os.File
	identity *apiv1.ReplicaIdentity
	wal      *wal
	// snapshots guards the choice and the files of snapshots.
	snapshots sync.Mutex
}

func damaged(format string, args ...any) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_DATA_DAMAGED, format, args...)
}

// Open opens or creates a data folder. It returns *result.Error with code
// DATA_DAMAGED when the folder must not be used.
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
	if err := removeUnfinished(f.path); err != nil {
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
	return r.contents()
}

// create gives an empty folder an identity. The segment comes first, so that a
// folder with an identity and no segment is known to be damaged.
func (f *Folder) create(segments []string) (*Contents, error) {
	if len(segments) > 1 {
		return nil, damaged("data folder %s has log segments but no identity: empty it, and the replica joins as a new one", f.path)
	}
	if len(segments) == 1 {
		if err := f.removeUnused(segments[0]); err != nil {
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

// removeUnused removes the segment of a creation that was cut off, but none
// that holds anything.
func (f *Folder) removeUnused(segment string) error {
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

// RandomID returns a random identity that is not zero.
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

// ReplicaID returns the random id of this replica.
func (f *Folder) ReplicaID() uint64 { return f.identity.ReplicaId }

// ClusterID returns the group's cluster id, zero while there is none.
func (f *Folder) ClusterID() uint64 { return f.identity.ClusterId }

// SetClusterID binds the replica to a cluster for good.
func (f *Folder) SetClusterID(id uint64) error {
	return f.writeIdentity(&apiv1.ReplicaIdentity{ReplicaId: f.identity.ReplicaId, ClusterId: id})
}

// Save appends hard state and entries to the log; either may be empty. With
// sync set it returns once they are durable.
func (f *Folder) Save(hs *apiv1.HardState, entries []*apiv1.LogEntry, sync bool) error {
	return f.wal.save(hs, entries, sync)
}

// Close closes the files and releases the folder.
func (f *Folder) Close() {
	if f.wal != nil {
		f.wal.close()
	}
	f.lock.Close()
}
