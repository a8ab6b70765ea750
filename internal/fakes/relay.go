package fakes

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Direction is one way through a relay.
type Direction int

const (
	// ToTarget is from the dialling side to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to the dialling side.
	FromTarget
)

const relayBufferBytes = 32 << 10

// Relay passes TCP connections on to a target and can break them.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu      sync.Mutex
	changed *sync.Cond
	closed  bool
	stalled [2]bool // by direction, for all connections
	conns   map[*relayed]struct{}
}

type relayed struct {
	near, far net.Conn
	frozen    bool
	closed    bool
}

// StartRelay listens on a free loopback port.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: l, conns: map[*relayed]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the ip:port to dial.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// CloseConns closes the open connections; new ones work.
func (r *Relay) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.closeLocked(c)
	}
}

// Stall holds all bytes in one direction until it is called with false.
func (r *Relay) Stall(d Direction, stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalled[d] = stalled
	r.changed.Broadcast()
}

// StallOpenConns makes the open connections silent for good, while new ones work.
// Neither side sees them closed.
func (r *Relay) StallOpenConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.frozen = true
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.listener.Close()
	for c := range r.conns {
		r.closeLocked(c)
	}
	r.changed.Broadcast()
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.connect(near) })
	}
}

func (r *Relay) connect(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	c := &relayed{near: near, far: far}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	if r.closed {
		r.closeLocked(c)
	}
	r.mu.Unlock()
	r.wg.Go(func() { r.pump(c, far, near, ToTarget) })
	r.pump(c, near, far, FromTarget)
}

func (r *Relay) pump(c *relayed, dst io.Writer, src io.Reader, d Direction) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if !r.pass(c, d) {
			return
		}
		if n > 0 {
			_, werr := dst.Write(buf[:n])
			if err == nil {
				err = werr
			}
		}
		if err != nil {
			r.mu.Lock()
			r.closeLocked(c)
			r.mu.Unlock()
			return
		}
	}
}

// pass waits while the direction is stalled or the connection frozen, and
// reports whether the connection is still open.
func (r *Relay) pass(c *relayed, d Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !c.closed && (r.stalled[d] || c.frozen) {
		r.changed.Wait()
	}
	return !c.closed
}

func (r *Relay) closeLocked(c *relayed) {
	c.closed = true
	c.near.Close()
	c.far.Close()
	delete(r.conns, c)
	r.changed.Broadcast()
}
