package soak

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// linkFault is what a link does to bytes.
type linkFault int

const (
	linkSound linkFault = iota
	// linkDelayed holds bytes back for seconds; they arrive late, in order.
	linkDelayed
	// linkOneWay loses the answers only.
	linkOneWay
	// linkSilent passes nothing in either direction, on old and new connections.
	linkSilent
	// linkOldSilent passes nothing on the connections that were open when the
	// fault began; new ones work.
	linkOldSilent
	linkFaults
)

// proxy is a link between two parties on loopback.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault linkFault
	delay time.Duration
	conns map[*proxied]bool
}

// proxied is one connection through a proxy.
type proxied struct {
	client, server net.Conn
	silent         bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[*proxied]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// begin sets a fault for a while.
func (p *proxy) begin(f linkFault, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.delay = f, delay
	if f != linkOldSilent {
		return
	}
	for c := range p.conns {
		c.silent = true
	}
	p.fault = linkSound
}

// reset breaks the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		for _, conn := range []net.Conn{c.client, c.server} {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // sends a reset at Close
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
	c := &proxied{client: client, server: server}
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

// copy passes bytes on as the fault allows. Lost bytes end the connection once
// the fault is over: a stream with a hole must not go on.
func (p *proxy) copy(c *proxied, to, from net.Conn, answers bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !p.pass(c, answers) {
				p.waitForSound(c)
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

// pass waits for a delay and tells whether the bytes may go on.
func (p *proxy) pass(c *proxied, answers bool) bool {
	p.mu.Lock()
	fault, delay, silent := p.fault, p.delay, c.silent
	p.mu.Unlock()
	switch {
	case silent, fault == linkSilent, fault == linkOneWay && answers:
		return false
	case fault == linkDelayed:
		time.Sleep(time.Duration(rand.Int64N(int64(delay) + 1)))
	}
	return true
}

// silentFor bounds how long a silent connection stays open.
const silentFor = 20 * time.Second

func (p *proxy) waitForSound(c *proxied) {
	deadline := time.Now().Add(silentFor)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		over := !c.silent && p.fault == linkSound
		open := p.conns[c]
		p.mu.Unlock()
		if over || !open {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
