package replica

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	senderQueue = 1024
	// A batch ends at this size, which leaves room for the largest command
	// within rpc.MaxFrameBytes.
	batchBytes = 4 << 20
	// maxLearned bounds the addresses kept for replicas outside the group.
	maxLearned = 64
)

// sender delivers messages to one address. Raft repeats what is lost, so a full
// queue drops messages instead of holding up the loop.
type sender struct {
	n       *Node
	address string
	queue   chan *apiv1.RaftMessage
	// snapshot has no buffer: while one is on its way others are dropped.
	snapshot chan *apiv1.RaftMessage
}

// learn keeps the address of a replica that is in no group known here, such as
// the leader of a replica that has just joined.
func (n *Node) learn(id uint64, address string) {
	if address != "" && (len(n.learned) < maxLearned || n.learned[id] != "") {
		n.learned[id] = address
	}
}

// address returns the rpc address of a replica, empty when it is not known.
func (n *Node) address(id uint64) string {
	for _, r := range n.core.Group().Replicas {
		if r.Id == id {
			return r.RpcAddress
		}
	}
	return n.learned[id]
}

func (n *Node) send(messages []*apiv1.RaftMessage) {
	for _, m := range messages {
		address := n.address(m.To)
		if address == "" || address == n.o.RPCAddress {
			continue
		}
		s := n.senderFor(address)
		queue := s.queue
		if m.Kind == apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT {
			queue = s.snapshot
		}
		select {
		case queue <- m:
		default:
			n.metrics.dropped.Inc()
		}
	}
}

func (n *Node) senderFor(address string) *sender {
	s, ok := n.senders[address]
	if !ok {
		s = &sender{n: n, address: address, queue: make(chan *apiv1.RaftMessage, senderQueue), snapshot: make(chan *apiv1.RaftMessage)}
		n.senders[address] = s
		clusterID := n.clusterID
		n.io.Go(func() { s.runMessages(clusterID) })
		n.io.Go(func() { s.runSnapshots(clusterID) })
	}
	return s
}

func (s *sender) runMessages(clusterID uint64) {
	for {
		select {
		case <-s.n.ctx.Done():
			return
		case m := <-s.queue:
			s.deliver(clusterID, s.collect(m), s.n.o.ElectionTimeout)
		}
	}
}

func (s *sender) collect(first *apiv1.RaftMessage) []*apiv1.RaftMessage {
	batch := []*apiv1.RaftMessage{first}
	size := proto.Size(first)
	for size < batchBytes {
		select {
		case m := <-s.queue:
			batch = append(batch, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

// deliver makes one call. Failures are not reported: the core notices the
// missing replies.
func (s *sender) deliver(clusterID uint64, messages []*apiv1.RaftMessage, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.n.ctx, timeout)
	defer cancel()
	batch := &apiv1.RaftBatch{Messages: messages, FromAddress: s.n.o.RPCAddress, ClusterId: clusterID}
	if err := s.n.o.RPCClient.Call(ctx, s.address, "Raft.Step", batch, &apiv1.Empty{}); err != nil {
		s.n.log.WithError(err).Debug("messages were not delivered")
	}
}

// knownAddresses returns the addresses of the group and of the settings.
func (n *Node) knownAddresses(group *apiv1.GroupConfig) []string {
	addresses := slices.Clone(n.o.ControlAddresses)
	for _, r := range group.GetReplicas() {
		addresses = append(addresses, r.RpcAddress)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
