package fakes

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// stallingListener accepts connections that can be stalled.
type stallingListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*stallingConn]struct{}
}

func newStallingListener(l net.Listener) *stallingListener {
	return &stallingListener{Listener: l, conns: map[*stallingConn]struct{}{}}
}

// Accept implements net.Listener.
func (l *stallingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sc := &stallingConn{Conn: c, listener: l}
	l.mu.Lock()
	l.conns[sc] = struct{}{}
	l.mu.Unlock()
	return sc, nil
}

func (l *stallingListener) stallOpenConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.stalled.Store(true)
	}
}

func (l *stallingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
}

// stallingConn is a connection that discards all bytes in both directions once
// it is stalled. The peer still sees it as open.
type stallingConn struct {
	net.Conn
	listener *stallingListener
	stalled  atomic.Bool
}

// Read implements net.Conn.
func (c *stallingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil && c.stalled.Load() {
		_, err = io.Copy(io.Discard, c.Conn)
		if err == nil {
			err = io.EOF
		}
		return 0, err
	}
	return n, err
}

// Write implements net.Conn.
func (c *stallingConn) Write(p []byte) (int, error) {
	if c.stalled.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. It leaves a stalled connection open.
func (c *stallingConn) Close() error {
	if c.stalled.Load() {
		return nil
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
