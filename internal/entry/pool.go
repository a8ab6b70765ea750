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
	// Idle connections are closed after this time; minions commonly close
	// theirs after a minute or more.
	maxIdleTime = 30 * time.Second
	// Taken when a grant states no maximum.
	defaultMaxConnections = 1
)

// connPools holds the connections to each minion address.
type connPools struct {
	mu        sync.Mutex
	byAddress map[string]*connPool
}

func newConnPools() *connPools { return &connPools{byAddress: map[string]*connPool{}} }

func (p *connPools) get(address string) *connPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, ok := p.byAddress[address]
	if !ok {
		list = &connPool{address: address}
		p.byAddress[address] = list
	}
	list.lastUsed = time.Now()
	return list
}

// closeIdleLongerThan closes connections that have been idle for age and forgets minions
// that have no connections and were not used for maxIdle.
func (p *connPools) closeIdleLongerThan(age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.byAddress {
		if list.closeIdleLongerThan(age) && time.Since(list.lastUsed) > maxIdleTime {
			delete(p.byAddress, address)
		}
	}
}

func (p *connPools) closeAllIdle() { p.closeIdleLongerThan(0) }

func (p *connPools) list() []*connPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.byAddress))
}

// connPool bounds the connections to one minion.
type connPool struct {
	address  string
	lastUsed time.Time // guarded by pools.mu
	mu       sync.Mutex
	total    int // connections open or being opened
	idle     []*minionConn
	waiters  []chan struct{}
}

// get returns a connection, a new one when fresh is set. It waits while the
// maximum is in use.
func (p *connPool) get(ctx context.Context, fresh bool, limit int) (*minionConn, error) {
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	for {
		conn, wait := p.tryGet(fresh, limit)
		if conn != nil {
			return conn, nil
		}
		if wait == nil {
			return p.dial(ctx)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			p.wake() // this waiter may have been the one woken
			return nil, ctx.Err()
		}
	}
}

// tryGet returns an idle connection, or nothing when the caller may dial, or
// a channel to wait on.
func (p *connPool) tryGet(fresh bool, limit int) (*minionConn, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		if fresh && p.total < limit {
			break
		}
		p.idle = p.idle[:len(p.idle)-1]
		if !fresh && last.isUsable() {
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

func (p *connPool) dial(ctx context.Context) (*minionConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.connClosed()
		return nil, err
	}
	return newMinionConn(c), nil
}

// put returns a connection that carried a whole exchange.
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

func (p *connPool) wakeLocked() {
	if len(p.waiters) > 0 {
		close(p.waiters[0])
		p.waiters = p.waiters[1:]
	}
}

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

func (p *connPool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total, len(p.idle)
}
