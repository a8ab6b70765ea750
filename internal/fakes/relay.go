package fakes

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Direction is a direction of data through a relay.
type Direction int

const (
	// ToTarget is from the client to the target.
	ToTarget Direction = iota
	// FromTarget is from the target to the client.
	FromTarget
)

const relayBufferBytes = 32 << 10

// Relay forwards TCP connections to a target. It can stall or close them.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu sync.Mutex
	// changed is signaled when a stalled direction flows again or a connection is
	// closed.
	changed           *sync.Cond
	closed            bool
	stalledDirections [2]bool // by Direction, for all connections
	conns             map[*relayedConn]struct{}
}

// relayedConn is a client's connection and the one to the target. Its flags are
// guarded by the relay's mutex.
type relayedConn struct {
	client, target net.Conn
	stalled        bool
	closed         bool
}

// StartRelay starts a relay to the target ip:port on a free loopback port.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{target: target, listener: l, conns: map[*relayedConn]struct{}{}}
	r.changed = sync.NewCond(&r.mu)
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the ip:port at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// CloseConns closes all open connections. New connections work.
func (r *Relay) CloseConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		r.closeLocked(c)
	}
}

// Stall holds back all bytes in one direction, on all connections, until it is
// called with false.
func (r *Relay) Stall(d Direction, stalled bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalledDirections[d] = stalled
	r.changed.Broadcast()
}

// StallOpenConns stalls the connections that are open now in both directions,
// permanently and without closing them. New connections work.
func (r *Relay) StallOpenConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.stalled = true
	}
}

// Close stops the relay, closes its connections and waits for its goroutines.
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.connect(client) })
	}
}

// connect dials the target and forwards a client's connection until it ends.
func (r *Relay) connect(client net.Conn) {
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		client.Close()
		return
	}
	c := &relayedConn{client: client, target: target}
	r.mu.Lock()
	r.conns[c] = struct{}{}
	if r.closed {
		r.closeLocked(c)
	}
	r.mu.Unlock()
	r.wg.Go(func() { r.forward(c, target, client, ToTarget) })
	r.forward(c, client, target, FromTarget)
}

// forward forwards bytes in one direction until either side closes.
func (r *Relay) forward(c *relayedConn, dst io.Writer, src io.Reader, d Direction) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buf)
		if !r.waitUntilFlowing(c, d) {
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

// waitUntilFlowing waits while the direction or the connection is stalled, and
// reports whether the connection is still open.
func (r *Relay) waitUntilFlowing(c *relayedConn, d Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for !c.closed && (r.stalledDirections[d] || c.stalled) {
		r.changed.Wait()
	}
	return !c.closed
}

func (r *Relay) closeLocked(c *relayedConn) {
	c.closed = true
	c.client.Close()
	c.target.Close()
	delete(r.conns, c)
	r.changed.Broadcast()
}
