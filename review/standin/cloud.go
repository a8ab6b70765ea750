package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	numMachines = 9
	moveTime    = 1500 * time.Millisecond
	perRack     = 4
	// States of a machine.
	up, moving = "up", "moving"
)

// machine is what a minion runs on. The cloud's mu guards what changes.
type machine struct {
	id, zone, rack, address string
	pool, state             string
	minion                  *minion
	lives                   int
	link                    *link
	server                  *http.Server
}

func (m *machine) labels() []string { return []string{"a", m.rack} }

// cloud stands in for the platform's machine API.
type cloud struct {
	c      *cluster
	server *http.Server

	mu       sync.Mutex
	closed   bool
	machines []*machine
}

// startCloud starts the machine API and a minion on each machine.
func startCloud(c *cluster) (*cloud, error) {
	p := &cloud{c: c}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-move", p.order(p.move))
	l, err := net.Listen("tcp", net.JoinHostPort(c.host(cloudHost), cloudPort))
	if err != nil {
		return nil, err
	}
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }() // returns when close closes the server
	for i := range numMachines {
		m := &machine{
			id: fmt.Sprint("m-", i+1), zone: zones[i%len(zones)], rack: fmt.Sprint("r1-", i/perRack+1), pool: service, state: up,
			address: net.JoinHostPort(c.host(firstMinion+i), minionPort),
		}
		if m.link, err = newLink(m.address); err != nil {
			return nil, err
		}
		m.server = &http.Server{Handler: p.handlerOf(m)}
		go func() { _ = m.server.Serve(m.link) }() // returns when close closes the server
		p.machines = append(p.machines, m)
		p.newLife(m)
	}
	return p, nil
}

// handlerOf serves the calls to a machine. Without a minion they get no response.
func (p *cloud) handlerOf(m *machine) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		n := m.minion
		p.mu.Unlock()
		if n == nil {
			panic(http.ErrAbortHandler)
		}
		n.ServeHTTP(w, r)
	})
}

// newLife starts a minion with a new id on a machine.
func (p *cloud) newLife(m *machine) {
	m.lives++
	m.minion = startMinion(p.c, m, fmt.Sprintf("i-%s-%d", m.id, m.lives), 0)
}

func (p *cloud) close() {
	p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, m := range p.machines {
		if m.minion != nil {
			m.minion.end("ends with the case")
		}
		m.server.Close()
	}
}

func (p *cloud) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var rows []map[string]any
	for _, m := range p.machines {
		id, state := "", m.state
		if m.minion != nil {
			id = m.minion.id
		}
		rows = append(rows, map[string]any{
			"machine": m.id, "pool": m.pool, "state": state, "zone": m.zone, "labels": m.labels(), "capacity": capacity(), "identifier": id,
		})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "nextPageToken": ""}) // the caller may have gone
}

// machineOrder is the body of an order for a machine.
type machineOrder struct{ Machine, Pool string }

// order serves an order, which returns the reason of a refusal.
func (p *cloud) order(carryOut func(m *machine, o machineOrder) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o machineOrder
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range p.machines {
			if m.id != o.Machine {
				continue
			}
			reason := carryOut(m, o)
			p.c.rec.add("cloud: %s of %s by %s: %q", r.URL.Path, m.id, r.Header.Get("Bergamotdrum-Duty-Holder"), reason)
			if reason != "" {
				w.WriteHeader(http.StatusConflict)
			}
			_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason}) // the caller may have gone
			return
		}
		w.WriteHeader(http.StatusBadRequest)
	}
}

// move moves a machine to another pool. The caller holds mu.
func (p *cloud) move(m *machine, o machineOrder) string {
	switch {
	case m.pool == o.Pool:
		return ""
	case m.state != up:
		return "busy"
	}
	m.pool = o.Pool
	p.away(m, moving, moveTime, "is moved to "+o.Pool)
	return ""
}

// away ends a machine's minion and starts another one after a time, unless the machine
// is in the spare pool then, where machines are off. The caller holds mu.
func (p *cloud) away(m *machine, state string, d time.Duration, reason string) {
	m.state = state
	if m.minion != nil {
		m.minion.end(reason)
		m.minion = nil
		m.link.reset()
	}
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.closed {
			return
		}
		m.state = up
		if m.pool != spareName {
			p.newLife(m)
		}
	})
}

// minions returns the minions of the service that are up.
func (p *cloud) minions() []*minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*minion
	for _, m := range p.machines {
		if m.minion != nil && m.pool == service {
			out = append(out, m.minion)
		}
	}
	return out
}

// loseContact has a machine fall silent with a crash of its minion. After a time the minion
// starts again under its id, and new connections to it work.
func (p *cloud) loseContact(m *machine, down, firstHeartbeat time.Duration) {
	p.mu.Lock()
	n := m.minion
	m.link.cut()
	n.end("crashes, silently")
	m.minion = nil
	p.mu.Unlock()
	time.Sleep(down)
	p.mu.Lock()
	defer p.mu.Unlock()
	m.link.join()
	m.minion = startMinion(p.c, m, n.id, firstHeartbeat)
}

// minionOf returns the minion on a machine.
func (p *cloud) minionOf(m *machine) *minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return m.minion
}
