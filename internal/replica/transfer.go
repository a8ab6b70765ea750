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
	// maxSnapshotBytes bounds what a follower collects in memory, and equals
	// what a snapshot file holds.
	maxSnapshotBytes = 1 << 30
)

// chunkBytes is the size of a snapshot's parts. The state may exceed one rpc
// frame: stored responses alone may take 64 KiB each. Tests lower it.
var chunkBytes = 4 << 20

func (s *sender) runSnapshots(clusterID uint64) {
	for {
		select {
		case <-s.n.ctx.Done():
			return
		case m := <-s.snapshot:
			if err := s.sendSnapshot(clusterID, m); err != nil {
				s.n.log.WithError(err).WithField("address", s.address).Warn("snapshot was not delivered")
			}
		}
	}
}

// sendSnapshot sends the newest snapshot, which may be newer than the one the
// core announced.
func (s *sender) sendSnapshot(clusterID uint64, m *apiv1.RaftMessage) error {
	snapshot, err := s.n.folder.ReadSnapshot()
	if err != nil {
		return err
	}
	head := &apiv1.RaftMessage{Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, Snapshot: &apiv1.Snapshot{Meta: snapshot.Meta}}
	total := len(snapshot.Data)
	for offset := 0; offset == 0 || offset < total; offset += chunkBytes {
		chunk := &apiv1.SnapshotChunk{
			Message: head, FromAddress: s.n.o.RPCAddress, ClusterId: clusterID,
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
	return s.n.o.RPCClient.Call(ctx, s.address, "Raft.SendSnapshot", chunk, &apiv1.Empty{})
}

// assembly collects the chunks of one snapshot; a new one replaces it.
type assembly struct {
	mu   sync.Mutex
	head *apiv1.RaftMessage
	data []byte
}

func (n *Node) handleChunk(ctx context.Context, chunk *apiv1.SnapshotChunk) (*apiv1.Empty, error) {
	cluster := n.Status().ClusterID
	if chunk.Message.GetSnapshot().GetMeta() == nil || chunk.Message.To != n.folder.ReplicaID() || cluster != 0 && cluster != chunk.ClusterId {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "snapshot is for another replica")
	}
	m, err := n.incoming.add(chunk)
	if err != nil || m == nil {
		return &apiv1.Empty{}, err
	}
	batch := &apiv1.RaftBatch{Messages: []*apiv1.RaftMessage{m}, FromAddress: chunk.FromAddress, ClusterId: chunk.ClusterId}
	return n.handleStep(ctx, batch)
}

// add returns the whole message with the last chunk, nil before it.
func (a *assembly) add(chunk *apiv1.SnapshotChunk) (*apiv1.RaftMessage, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if chunk.Offset == 0 {
		a.head, a.data = chunk.Message, nil
	}
	end := chunk.Offset + uint64(len(chunk.Data))
	if !proto.Equal(a.head, chunk.Message) || chunk.Offset != uint64(len(a.data)) || end > chunk.TotalBytes || chunk.TotalBytes > maxSnapshotBytes {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "chunk at %d does not continue the snapshot", chunk.Offset)
	}
	a.data = append(a.data, chunk.Data...)
	if end < chunk.TotalBytes {
		return nil, nil
	}
	m := a.head
	m.Snapshot.Data = a.data
	a.head, a.data = nil, nil
	return m, nil
}
