// Package httplimit bounds what the clients of an HTTP listener can take of a process:
// the memory of their request bodies, and its connections. Clients aren't controlled: they
// may send large bodies at once, stop short of their end, and stay. When memory or
// connections run short, those that have stalled longest are dropped first, so that
// ordinary clients still get answers.
package httplimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

const (
	// minStall is how long a client must have sent nothing until it may be dropped for
	// others. It is longer than a lost packet takes to be sent again.
	minStall = time.Second
	// reserveDivisor divides the budget into the part that only first buffers may take, so
	// that small bodies find room however many large ones are there.
	reserveDivisor = 4
	// silentGrace is how long a new connection may be silent until it may be closed for
	// others. Clients send at once.
	silentGrace = 100 * time.Millisecond
	// logInterval is the shortest time between two log lines of a listener.
	logInterval = time.Second
)

// Options configure a Limiter.
type Options struct {
	// Listener names the listener in logs and metrics.
	Listener string
	// MaxBytes bounds the memory of all request bodies and of what is decoded from them.
	MaxBytes int64
	// MaxConnections bounds the open connections.
	MaxConnections int
	Log            *logrus.Entry
	// Registry may be nil.
	Registry prometheus.Registerer
}

// Limiter bounds the clients of one listener, or of some together.
type Limiter struct {
	opts    Options
	dropped *prometheus.CounterVec

	mu sync.Mutex
	// used are the bytes that bodies take.
	used        int64
	connections map[net.Conn]*connection
	// released is closed when bytes are given back that a request waits for. It is nil
	// while none waits.
	released chan struct{}
	// drops counts, by reason, what wasn't logged since loggedAt.
	drops    map[string]int
	loggedAt time.Time
}

// connection is what the limiter knows of an open connection; Limiter.mu guards it.
type connection struct {
	conn net.Conn
	// state is that of net/http; waitsSince is since when the process waits for the client,
	// zero while a handler works.
	state      http.ConnState
	waitsSince time.Time
	// sent is set when it is known that the client has sent something, although nothing has
	// been read yet.
	sent bool
	// readsBody is set while a body is read.
	readsBody bool
	// dropped is set when the connection is closed to make room.
	dropped bool
}

// Reasons for which clients are refused or dropped, in logs and metrics.
const (
	reasonNoMemory      = "no_memory"
	reasonStalled       = "stalled"
	reasonIdle          = "idle"
	reasonSilent        = "silent"
	reasonNoConnections = "no_connections"
)

// New returns a limiter without connections.
func New(o Options) *Limiter {
	l := &Limiter{opts: o, connections: map[net.Conn]*connection{}, drops: map[string]int{}}
	labels := prometheus.Labels{"listener": o.Listener}
	l.dropped = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bergamot_http_clients_dropped_total", Help: "Requests refused and connections closed since memory or connections ran short, by reason.", ConstLabels: labels,
	}, []string{"reason"})
	if o.Registry != nil {
		o.Registry.MustRegister(l.dropped, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bergamot_http_body_bytes", Help: "Memory that request bodies take.", ConstLabels: labels,
		}, func() float64 { used, _ := l.inUse(); return float64(used) }), prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "bergamot_http_connections", Help: "Open connections of clients.", ConstLabels: labels,
		}, func() float64 { _, n := l.inUse(); return float64(n) }))
	}
	return l
}

func (l *Limiter) inUse() (bytes int64, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, len(l.connections)
}

// UsedBytes returns the memory that the bodies take.
func (l *Limiter) UsedBytes() int64 {
	used, _ := l.inUse()
	return used
}

// Install sets the limiter in a server that doesn't serve yet.
func (l *Limiter) Install(s *http.Server) {
	next := s.Handler
	s.ConnContext = l.accept
	s.ConnState = l.changeState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		lease := &lease{limiter: l}
		lease.connection, _ = r.Context().Value(connectionKey{}).(*connection)
		lease.setWaiting(false, false)
		defer lease.end()
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), leaseKey{}, lease)))
	})
}

type (
	connectionKey struct{}
	leaseKey      struct{}
)

// accept counts a new connection. If there are too many, the one that has stalled longest
// is closed, or the new one if none has. It is called by the loop that accepts connections,
// which waits while all others are new: those that come later wait in the kernel.
func (l *Limiter) accept(ctx context.Context, conn net.Conn) context.Context {
	c := &connection{conn: conn, state: http.StateNew, waitsSince: time.Now()}
	l.mu.Lock()
	l.connections[conn] = c
	victim, wait := l.makeRoom(c)
	for wait > 0 {
		l.mu.Unlock()
		time.Sleep(wait)
		l.mu.Lock()
		victim, wait = l.makeRoom(c)
	}
	l.mu.Unlock()
	if victim != nil {
		victim.conn.Close()
	}
	return context.WithValue(ctx, connectionKey{}, c)
}

// makeRoom returns the connection to close, nil if there aren't too many, or after how long
// a new one that is silent may be. The caller holds the lock.
func (l *Limiter) makeRoom(c *connection) (victim *connection, wait time.Duration) {
	if len(l.connections) <= l.opts.MaxConnections {
		return nil, 0
	}
	others := func(other *connection) bool { return other != c }
	if victim = l.longestStalled(others); victim != nil {
		return victim, 0
	}
	silent := l.oldestSilent(others)
	if silent == nil {
		l.drop(c, reasonNoConnections)
		return c, 0
	}
	if wait = silentGrace - time.Since(silent.waitsSince); wait > 0 {
		return nil, wait
	}
	l.drop(silent, reasonSilent)
	return silent, 0
}

// oldestSilent returns the oldest connection on which the client has sent nothing. The
// caller holds the lock.
func (l *Limiter) oldestSilent(eligible func(*connection) bool) *connection {
	for {
		var oldest *connection
		for _, c := range l.connections {
			if !c.dropped && !c.sent && c.state == http.StateNew && eligible(c) && (oldest == nil || c.waitsSince.Before(oldest.waitsSince)) {
				oldest = c
			}
		}
		if oldest == nil || !hasArrived(oldest.conn) {
			return oldest
		}
		oldest.sent = true
	}
}

// hasArrived reports whether bytes have arrived on a connection that are not read yet.
func hasArrived(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // fails if it is closed
	return err == nil && n > 0
}

// changeState follows the state of a connection.
func (l *Limiter) changeState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.connections[conn]
	if c == nil {
		return
	}
	c.state = state
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.connections, conn)
	case http.StateIdle, http.StateActive:
		c.waitsSince = time.Now() // an active one waits for the rest of a header
	}
}

// longestStalled returns the connection to close for others, marked as dropped, and counts
// it; nil if there is none. Idle connections come first: they lose nothing. The caller
// holds the lock.
func (l *Limiter) longestStalled(eligible func(*connection) bool) *connection {
	now := time.Now()
	var idle, stalled *connection
	for _, c := range l.connections {
		if c.dropped || c.waitsSince.IsZero() || !eligible(c) {
			continue
		}
		switch {
		case c.state == http.StateIdle:
			if idle == nil || c.waitsSince.Before(idle.waitsSince) {
				idle = c
			}
		case now.Sub(c.waitsSince) >= minStall && (stalled == nil || c.waitsSince.Before(stalled.waitsSince)):
			stalled = c
		}
	}
	switch {
	case idle != nil:
		l.drop(idle, reasonIdle)
		return idle
	case stalled != nil:
		l.drop(stalled, reasonStalled)
	}
	return stalled
}

// drop marks a connection as dropped and counts it. The caller holds the lock and closes
// the connection.
func (l *Limiter) drop(c *connection, reason string) {
	c.dropped = true
	l.count(reason)
}

// count counts a client that was refused or dropped, and logs now and then. The caller
// holds the lock.
func (l *Limiter) count(reason string) {
	l.dropped.WithLabelValues(reason).Inc()
	l.drops[reason]++
	now := time.Now()
	if l.opts.Log == nil || now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.opts.Log.WithFields(logrus.Fields{
		"listener": l.opts.Listener, "dropped": l.drops, "body_bytes": l.used, "max_body_bytes": l.opts.MaxBytes,
		"connections": len(l.connections), "max_connections": l.opts.MaxConnections,
	}).Warn("clients are refused or dropped")
	l.loggedAt = now
	l.drops = map[string]int{}
}
