package entry

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// Idle connections are closed after this time. Minions commonly close theirs
	// after a minute or more, so this side closes first.
	maxIdleTime = 30 * time.Second
	// Maximum number of connections to a minion when the grant (the permission to
	// send a request to the minion) states none.
	defaultMaxConnections = 1
)

// connPools holds a connection pool for each minion address.
type connPools struct {
	mu        sync.Mutex
	byAddress map[string]*connPool
}

func newConnPools() *connPools { return &connPools{byAddress: map[string]*connPool{}} }

// get returns the pool of the address and creates it if needed.
func (ps *connPools) get(address string) *connPool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byAddress[address]
	if !ok {
		p = &connPool{address: address}
		ps.byAddress[address] = p
	}
	p.lastUsed = time.Now()
	return p
}

// closeIdleLongerThan closes connections that have been idle for age, and removes
// pools that have no connections and were not used for maxIdleTime.
func (ps *connPools) closeIdleLongerThan(age time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for address, p := range ps.byAddress {
		if p.closeIdleLongerThan(age) && time.Since(p.lastUsed) > maxIdleTime {
			delete(ps.byAddress, address)
		}
	}
}

func (ps *connPools) closeAllIdle() { ps.closeIdleLongerThan(0) }

func (ps *connPools) list() []*connPool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return slices.Collect(maps.Values(ps.byAddress))
}

// connPool limits and reuses the connections to one minion address.
type connPool struct {
	address  string
	lastUsed time.Time // guarded by connPools.mu
	mu       sync.Mutex
	total    int             // connections open or being opened
	idle     []*minionConn   // the last one was used most recently
	waiters  []chan struct{} // closed, oldest first, when a connection or capacity becomes free
}

// get returns an idle connection or opens one, always a new one if newConn is set.
// It waits while limit connections are in use, and returns ctx's error when ctx
// ends first.
func (p *connPool) get(ctx context.Context, newConn bool, limit int) (*minionConn, error) {
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	for {
		conn, wait := p.tryGet(newConn, limit)
		if conn != nil {
			return conn, nil
		}
		if wait == nil {
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.wake() // the signal may already have gone to this waiter; pass it to the next
			return nil, ctx.Err()
		}
	}
}

// tryGet returns an idle connection, or a channel to wait on before the next try.
// If it returns neither, the caller must dial; the new connection is counted
// already. With newConn, an idle connection is closed if the limit does not allow
// another one.
func (p *connPool) tryGet(newConn bool, limit int) (*minionConn, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		if newConn && p.total < limit {
			break
		}
		p.idle = p.idle[:len(p.idle)-1]
		if !newConn && last.isUsable() {
			return last, nil
		}
		last.Close()
		p.total--
	}
	if p.total < limit {
		p.total++
		return nil, nil
	}
	wait := make(chan struct{})
	p.waiters = append(p.waiters, wait)
	return nil, wait
}

// dial opens the connection that tryGet counted.
func (p *connPool) dial(ctx context.Context) (*minionConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.connClosed()
		return nil, err
	}
	return newMinionConn(c), nil
}

// put returns a connection to the pool after a complete request and response.
func (p *connPool) put(c *minionConn) {
	c.inRequest = false
	c.reused = true
	c.idleAt = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	p.wakeLocked()
	p.mu.Unlock()
}

// drop closes a connection that must not be used again.
func (p *connPool) drop(c *minionConn) {
	c.Close()
	p.connClosed()
}

// connClosed uncounts a connection that was closed or could not be opened.
func (p *connPool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total--
	p.wakeLocked()
}

func (p *connPool) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeLocked()
}

// wakeLocked wakes the waiter that has waited longest. The caller holds p.mu.
func (p *connPool) wakeLocked() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

// closeIdleLongerThan closes connections that have been idle for age. It reports
// whether the pool has neither connections nor waiters.
func (p *connPool) closeIdleLongerThan(age time.Duration) (empty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if time.Since(c.idleAt) < age {
			kept = append(kept, c)
			continue
		}
		c.Close()
		p.total--
	}
	p.idle = kept
	return p.total == 0 && len(p.waiters) == 0
}

// counts returns the numbers of connections, idle ones included, and of idle ones.
func (p *connPool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total, len(p.idle)
}
