package replica

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	chunkTimeout = 10 * time.Second
	// maxSnapshotBytes bounds the chunks that a follower collects in memory. It is
	// the maximum size of a snapshot file.
	maxSnapshotBytes = 1 << 30
)

// chunkBytes is the size of the parts in which a snapshot is sent. The state may
// be larger than one rpc frame, and both sides hold some copies of a part. Tests set a
// smaller size.
var chunkBytes = 512 << 10

func (s *sender) sendSnapshots(clusterID uint64) {
	for {
		select {
		case <-s.n.ctx.Done():
			return
		case m := <-s.snapshots:
			if err := s.sendSnapshot(clusterID, m); err != nil {
				s.n.log.WithError(err).WithField("address", s.address).Warn("cannot send a snapshot to a replica")
			}
		}
	}
}

// sendSnapshot sends the newest snapshot, which may be newer than the one that
// the core's message m refers to.
func (s *sender) sendSnapshot(clusterID uint64, m *apiv1.RaftMessage) error {
	snapshot, err := s.n.folder.ReadSnapshot()
	if err != nil {
		return err
	}
	header := &apiv1.RaftMessage{Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, Snapshot: &apiv1.Snapshot{Meta: snapshot.Meta}}
	total := len(snapshot.Data)
	for offset := 0; offset == 0 || offset < total; offset += chunkBytes {
		chunk := &apiv1.SnapshotChunk{
			Message: header, FromAddress: s.n.opts.RPCAddress, ClusterId: clusterID,
			Offset: uint64(offset), TotalBytes: uint64(total),
			Data: snapshot.Data[offset:min(offset+chunkBytes, total)],
		}
		if err := s.sendChunk(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (s *sender) sendChunk(chunk *apiv1.SnapshotChunk) error {
	ctx, cancel := context.WithTimeout(s.n.ctx, chunkTimeout)
	defer cancel()
	return s.n.opts.RPCClient.Call(ctx, s.address, "Raft.SendSnapshot", chunk, &apiv1.Empty{})
}

// snapshotAssembler collects the chunks of one snapshot in memory. The first
// chunk of another snapshot discards them.
type snapshotAssembler struct {
	mu      sync.Mutex
	message *apiv1.RaftMessage // of the first chunk, without the snapshot's data
	data    []byte
}

// handleChunk collects a chunk of a snapshot and, after the last one, passes the
// whole snapshot to the loop, the goroutine that runs the replica.
func (n *Node) handleChunk(ctx context.Context, chunk *apiv1.SnapshotChunk) (*apiv1.Empty, error) {
	cluster := n.Status().ClusterID
	if chunk.Message.GetSnapshot().GetMeta() == nil || chunk.Message.To != n.replicaID || cluster != 0 && cluster != chunk.ClusterId {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "snapshot is for another replica")
	}
	m, err := n.incomingSnapshot.addChunk(chunk)
	if err != nil || m == nil {
		return &apiv1.Empty{}, err
	}
	batch := &apiv1.RaftBatch{Messages: []*apiv1.RaftMessage{m}, FromAddress: chunk.FromAddress, ClusterId: chunk.ClusterId}
	return n.handleStep(ctx, batch)
}

// addChunk returns the message with the whole snapshot after the last chunk, and
// nil before. A chunk that doesn't follow the last one is refused.
func (a *snapshotAssembler) addChunk(chunk *apiv1.SnapshotChunk) (*apiv1.RaftMessage, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if chunk.Offset == 0 {
		a.message, a.data = chunk.Message, nil
		if chunk.TotalBytes <= maxSnapshotBytes {
			a.data = make([]byte, 0, chunk.TotalBytes)
		}
	}
	end := chunk.Offset + uint64(len(chunk.Data))
	if !proto.Equal(a.message, chunk.Message) || chunk.Offset != uint64(len(a.data)) || end > chunk.TotalBytes || chunk.TotalBytes > maxSnapshotBytes {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "chunk at %d does not continue the snapshot", chunk.Offset)
	}
	a.data = append(a.data, chunk.Data...)
	if end < chunk.TotalBytes {
		return nil, nil
	}
	m := a.message
	m.Snapshot.Data = a.data
	a.message, a.data = nil, nil
	return m, nil
}
