package replica

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	senderQueueCapacity = 1024
	// fullBatchBytes is the size from which on a batch gets no more messages. One
	// more message with the largest command still fits into rpc.MaxFrameBytes.
	fullBatchBytes = 4 << 20
	// maxLearnedAddresses bounds the number of replicas outside the group whose
	// addresses are kept.
	maxLearnedAddresses = 64
)

// sender delivers messages to one address. Raft sends lost messages again, so a
// full queue drops messages instead of blocking the loop, the goroutine that runs
// the replica.
type sender struct {
	n        *Node
	address  string
	messages chan *apiv1.RaftMessage
	// snapshots has no buffer: while one is being sent, others are dropped.
	snapshots chan *apiv1.RaftMessage
}

// recordAddress records the address from which messages of a replica came. The
// address is needed for replicas that are not in the group known here, such as
// the leader on a replica that has just joined.
func (n *Node) recordAddress(id uint64, address string) {
	if address != "" && (len(n.learnedAddresses) < maxLearnedAddresses || n.learnedAddresses[id] != "") {
		n.learnedAddresses[id] = address
	}
}

// addressOf returns the rpc address of a replica, or "" if it is unknown.
func (n *Node) addressOf(id uint64) string {
	for _, r := range n.core.Group().Replicas {
		if r.Id == id {
			return r.RpcAddress
		}
	}
	return n.learnedAddresses[id]
}

// send queues messages for their receivers without blocking.
func (n *Node) send(messages []*apiv1.RaftMessage) {
	for _, m := range messages {
		address := n.addressOf(m.To)
		if address == "" || address == n.opts.RPCAddress {
			continue
		}
		s := n.senderFor(address)
		queue := s.messages
		if m.Kind == apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT {
			queue = s.snapshots
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
		s = &sender{n: n, address: address, messages: make(chan *apiv1.RaftMessage, senderQueueCapacity), snapshots: make(chan *apiv1.RaftMessage)}
		n.senders[address] = s
		clusterID := n.clusterID
		n.folderUsers.Go(func() { s.sendMessages(clusterID) })
		n.folderUsers.Go(func() { s.sendSnapshots(clusterID) })
	}
	return s
}

func (s *sender) sendMessages(clusterID uint64) {
	for {
		select {
		case <-s.n.ctx.Done():
			return
		case m := <-s.messages:
			s.deliver(clusterID, s.takeBatch(m), s.n.opts.ElectionTimeout)
		}
	}
}

// takeBatch returns first with the messages that are queued behind it.
func (s *sender) takeBatch(first *apiv1.RaftMessage) []*apiv1.RaftMessage {
	batch := []*apiv1.RaftMessage{first}
	size := proto.Size(first)
	for size < fullBatchBytes {
		select {
		case m := <-s.messages:
			batch = append(batch, m)
			size += proto.Size(m)
		default:
			return batch
		}
	}
	return batch
}

// deliver sends a batch in one call. Failures are only logged, since the core
// sends again what gets no reply.
func (s *sender) deliver(clusterID uint64, messages []*apiv1.RaftMessage, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(s.n.ctx, timeout)
	defer cancel()
	batch := &apiv1.RaftBatch{Messages: messages, FromAddress: s.n.opts.RPCAddress, ClusterId: clusterID}
	if err := s.n.opts.RPCClient.Call(ctx, s.address, "Raft.Step", batch, &apiv1.Empty{}); err != nil {
		s.n.log.WithError(err).Debug("cannot deliver messages to a replica")
	}
}

// knownAddresses returns the rpc addresses of the group's replicas and of
// Options.ControlAddresses, sorted and without duplicates.
func (n *Node) knownAddresses(group *apiv1.GroupConfig) []string {
	addresses := slices.Clone(n.opts.ControlAddresses)
	for _, r := range group.GetReplicas() {
		addresses = append(addresses, r.RpcAddress)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
