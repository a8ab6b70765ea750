package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// link is the listener of a machine. It can be cut: then its connections stay open and
// carry nothing any more, and neither do those that are opened meanwhile.
type link struct {
	net.Listener
	mu    sync.Mutex
	down  bool
	conns map[*linkConn]bool
}

// linkConn is a connection through a link.
type linkConn struct {
	net.Conn
	link *link
	// closed is closed with the connection.
	closed    chan struct{}
	closeOnce sync.Once
	// silent is set, with the link's mu held, when the link was cut.
	silent bool
}

func newLink(address string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &link{Listener: l, conns: map[*linkConn]bool{}}, nil
}

// Accept implements net.Listener.
func (l *link) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &linkConn{Conn: conn, link: l, closed: make(chan struct{}), silent: l.down}
	l.conns[c] = true
	return c, nil
}

// cut silences the open connections, and new ones until join is called.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	for c := range l.conns {
		c.silent = true
	}
}

func (l *link) join() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// reset closes the open connections.
func (l *link) reset() {
	l.mu.Lock()
	var open []*linkConn
	for c := range l.conns {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

var errSilent = errors.New("the connection was cut")

func (c *linkConn) isSilent() bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.silent
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil && c.isSilent() {
		<-c.closed
		return 0, errSilent
	}
	return n, err
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. The other side learns nothing of it on a silent connection,
// which lasts until that side closes it.
func (c *linkConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	silent := c.silent
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	if !silent {
		return c.Conn.Close()
	}
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn) // until the other side closes it
		c.Conn.Close()
	}()
	return nil
}
