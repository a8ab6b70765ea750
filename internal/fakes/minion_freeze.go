package fakes

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// freezingListener accepts connections that can be made silent.
type freezingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*freezingConn]struct{}
}

func newFreezingListener(l net.Listener) *freezingListener {
	return &freezingListener{Listener: l, conns: map[*freezingConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *freezingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	f := &freezingConn{Conn: c, listener: l}
	l.mu.Lock()
	l.conns[f] = struct{}{}
	l.mu.Unlock()
	return f, nil
}

func (l *freezingListener) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.frozen.Store(true)
	}
}

func (l *freezingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
}

// freezingConn discards all bytes in both directions once frozen; the peer
// sees an open connection.
type freezingConn struct {
	net.Conn
	listener *freezingListener
	frozen   atomic.Bool
}

// Read implements net.Conn.
func (c *freezingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.frozen.Load() {
		_, err = io.Copy(io.Discard, c.Conn)
		if err == nil {
			err = io.EOF
		}
		return 0, err
	}
	return n, err
}

// Write implements net.Conn.
func (c *freezingConn) Write(p []byte) (int, error) {
	if c.frozen.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A frozen connection stays open towards the peer.
func (c *freezingConn) Close() error {
	if c.frozen.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
