package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// maintenanceTime is maintenanceS: how long the upkeep of a machine takes.
const maintenanceTime = 2 * time.Second

// machine is a machine of the platform's list.
type machine struct {
	id     string
	state  string
	minion *minion
	upkept bool
}

// platform is a stand-in of the platform's machine API.
type platform struct {
	w        *world
	listener net.Listener

	mu       sync.Mutex
	machines []*machine
	// listed has a value after each answered reading of the list.
	listed chan struct{}
}

func newPlatform(w *world) (*platform, error) {
	l, err := net.Listen("tcp", host(40)+":0")
	if err != nil {
		return nil, err
	}
	p := &platform{w: w, listener: l, listed: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", p.list)
	mux.HandleFunc("POST /machine-upkeep", p.upkeep)
	mux.HandleFunc("POST /machine-move", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusBadRequest) })
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return p, nil
}

// add puts a machine with its minion into the list.
func (p *platform) add(m *minion) *machine {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := &machine{id: fmt.Sprintf("m-%d", len(p.machines)+1), state: "up", minion: m}
	p.machines = append(p.machines, out)
	p.w.logf("machine %s with %s is in the list", out.id, m.name)
	return out
}

func (p *platform) list(rw http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	rows := []any{}
	for _, m := range p.machines {
		row := map[string]any{
			"machine": m.id, "pool": m.minion.service, "state": m.state, "zone": m.minion.zone, "labels": m.minion.labels,
			"capacity": map[string]any{"cpu": m.minion.cpu, "requestedMemoryMb": 32768, "gpu": 0},
		}
		if m.state == "up" {
			m.minion.mu.Lock()
			row["identifier"] = m.minion.id
			m.minion.mu.Unlock()
		}
		rows = append(rows, row)
	}
	p.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows})
	select {
	case p.listed <- struct{}{}:
	default:
	}
}

func (p *platform) upkeep(rw http.ResponseWriter, r *http.Request) {
	var o struct{ Machine string }
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.id != o.Machine {
			continue
		}
		if m.state == "up" && !m.upkept {
			m.state, m.upkept = "upkeep", true
			p.w.logf("upkeep of %s begins", m.id)
			go p.finish(m)
		}
		_, _ = rw.Write([]byte("{}"))
		return
	}
	rw.WriteHeader(http.StatusBadRequest)
}

// finish ends the upkeep of a machine, on which a new minion starts.
func (p *platform) finish(m *machine) {
	m.minion.crash()
	time.Sleep(maintenanceTime)
	if err := m.minion.reopen("i-" + randomHex(5)); err != nil {
		p.w.logf("%s: %v", m.id, err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m.state = "up"
}
