package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// linkFault is a kind of fault of a link.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkDelayed delays each read by a random time of up to a few seconds; bytes
	// stay in order.
	linkDelayed
	// linkOneWay drops the bytes from the server to the client.
	linkOneWay
	// linkBlackhole drops the bytes of both directions, on open and new
	// connections.
	linkBlackhole
	// linkStallOpen stalls the connections that are open when the fault starts; new
	// connections work.
	linkStallOpen
	numLinkFaults // number of the constants above
)

// proxy is a TCP proxy on loopback that can disturb the link to its target.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	delay time.Duration
	// disturbed is set between the start and the end of a fault; calmSince is when the
	// last fault ended.
	disturbed bool
	calmSince time.Time
	conns     map[*proxyConn]bool
}

// proxyConn is a connection through a proxy. A stalled one drops all bytes.
type proxyConn struct {
	client, server net.Conn
	stalled        bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*proxyConn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setFault sets the link's fault, which lasts until the next call. The delay is
// the longest one of linkDelayed.
func (p *proxy) setFault(f linkFault, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.delay = f, delay
	p.disturbed, p.calmSince = f != linkHealthy, time.Now()
	if f != linkStallOpen {
		return
	}
	for c := range p.conns {
		c.stalled = true
	}
	p.fault = linkHealthy
}

// isCalm reports whether the link had no fault in the last d.
func (p *proxy) isCalm(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.disturbed && time.Since(p.calmSince) > d
}

// recordReset records that a fault resets the link's connections.
func (p *proxy) recordReset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calmSince = time.Now()
}

// reset closes the open connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, conn := range []net.Conn{c.client, c.server} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // makes Close send a reset
			}
			conn.Close()
		}
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.reset()
}

func (p *proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

func (p *proxy) connect(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	c := &proxyConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.copy(c, server, client, false) })
	done.Go(func() { p.copy(c, client, server, true) })
	done.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards bytes as the fault allows. A connection that has lost bytes is
// closed once the fault is over, since a stream with missing bytes must not
// continue.
func (p *proxy) copy(c *proxyConn, to, from net.Conn, fromServer bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.canForward(c, fromServer) {
				p.waitUntilHealthy(c)
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// canForward reports whether bytes may be forwarded; it first sleeps for the delay
// if the fault is linkDelayed.
func (p *proxy) canForward(c *proxyConn, fromServer bool) bool {
	p.mu.Lock()
	fault, delay, stalled := p.fault, p.delay, c.stalled
	p.mu.Unlock()
	switch {
	case stalled, fault == linkBlackhole, fault == linkOneWay && fromServer:
		return false
	case fault == linkDelayed:
		time.Sleep(time.Duration(rand.Int64N(int64(delay) + 1)))
	}
	return true
}

// maxStall is how long a connection that lost bytes stays open at most.
const maxStall = 20 * time.Second

// waitUntilHealthy returns once the connection is neither stalled nor subject to a
// fault, is closed, or maxStall has passed.
func (p *proxy) waitUntilHealthy(c *proxyConn) {
	deadline := time.Now().Add(maxStall)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		over := !c.stalled && p.fault == linkHealthy
		open := p.conns[c]
		p.mu.Unlock()
		if over || !open {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
