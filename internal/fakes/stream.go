package fakes

import (
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
)

// StreamNetwork connects a leader with replicas by streams in memory, and applies the
// faults of processes and links to them.
type StreamNetwork struct {
	// Serve serves the replica's end of a stream until it ends.
	Serve func(ctx context.Context, address string, s *Stream)

	mu sync.Mutex
	// suspendedUntil is until when nothing arrives at or from an address.
	suspendedUntil map[string]time.Time
	cut            map[string]bool
	streams        map[*Stream]bool
	wg             sync.WaitGroup
}

// NewStreamNetwork returns a network without faults.
func NewStreamNetwork() *StreamNetwork {
	return &StreamNetwork{suspendedUntil: map[string]time.Time{}, cut: map[string]bool{}, streams: map[*Stream]bool{}}
}

// Stream is one end of a stream. What one end has sent arrives even if that end closes
// the stream meanwhile, as with TCP.
type Stream struct {
	network *StreamNetwork
	address string
	// isReplica is set for the replica's end.
	isReplica bool
	peer      *Stream
	inbox     chan []byte
	closed    chan struct{}
	once      sync.Once
}

var errCut = errors.New("address cannot be reached")

// Open opens a stream to an address.
func (n *StreamNetwork) Open(ctx context.Context, address string) (*Stream, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut[address] {
		return nil, errCut
	}
	local, remote := n.newEnd(address), n.newEnd(address)
	local.peer, remote.peer, remote.isReplica = remote, local, true
	n.streams[local] = true
	n.wg.Go(func() {
		n.Serve(context.WithoutCancel(ctx), address, remote)
		remote.Close()
	})
	return local, nil
}

func (n *StreamNetwork) newEnd(address string) *Stream {
	return &Stream{network: n, address: address, inbox: make(chan []byte, 4096), closed: make(chan struct{})}
}

// Suspend delays all messages of an address, as if its process were suspended.
func (n *StreamNetwork) Suspend(address string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspendedUntil[address] = time.Now().Add(d)
}

// Cut closes the streams of an address, and refuses new ones until Restore.
func (n *StreamNetwork) Cut(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = true
	for s := range n.streams {
		if s.address == address {
			s.Close()
			s.peer.Close()
			delete(n.streams, s)
		}
	}
}

// Restore ends the faults of an address.
func (n *StreamNetwork) Restore(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, address)
	delete(n.suspendedUntil, address)
}

// Close closes all streams and waits until they are no longer served.
func (n *StreamNetwork) Close() {
	n.mu.Lock()
	for s := range n.streams {
		s.Close()
		s.peer.Close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *StreamNetwork) untilDelivery(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Until(n.suspendedUntil[address])
}

// Send sends a message.
func (s *Stream) Send(m proto.Message, _ time.Duration) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	select {
	case <-s.closed:
		return io.ErrClosedPipe
	case <-s.peer.closed:
		return io.ErrClosedPipe
	case s.peer.inbox <- data:
		return nil
	}
}

// Receive receives a message, or fails after timeout.
func (s *Stream) Receive(m proto.Message, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		if wait := s.network.untilDelivery(s.address); wait > 0 {
			if err := s.await(timer.C, wait); err != nil {
				return err
			}
			continue
		}
		select {
		case data := <-s.inbox:
			return proto.Unmarshal(data, m)
		default:
		}
		select {
		case data := <-s.inbox:
			if wait := s.network.untilDelivery(s.address); wait > 0 {
				if err := s.await(timer.C, wait); err != nil {
					return err
				}
			}
			return proto.Unmarshal(data, m)
		case <-s.closed:
			return io.ErrClosedPipe
		case <-s.peer.closed:
			if len(s.inbox) == 0 {
				return io.EOF
			}
		case <-timer.C:
			return os.ErrDeadlineExceeded
		}
	}
}

// await waits until delayed messages are delivered. A suspended replica doesn't notice that
// its time is over or that the stream was closed before it has resumed.
func (s *Stream) await(timeout <-chan time.Time, d time.Duration) error {
	if s.isReplica {
		time.Sleep(d)
		return nil
	}
	resumed := time.NewTimer(d)
	defer resumed.Stop()
	select {
	case <-resumed.C:
		return nil
	case <-s.closed:
		return io.ErrClosedPipe
	case <-timeout:
		return os.ErrDeadlineExceeded
	}
}

// Close closes the stream.
func (s *Stream) Close() error {
	s.once.Do(func() { close(s.closed) })
	return nil
}
