package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// cloud serves the list of machines, and moves and upkeep of machines.
type cloud struct {
	f        *fleet
	listener net.Listener
	// away holds the state of machines that are on their way or down, by machine.
	away map[string]string
}

func newCloud(f *fleet) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{f: f, listener: l, away: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machine-move", c.order("moving", moveTime))
	mux.HandleFunc("POST /machine-upkeep", c.order("upkeep", upkeepTime))
	go func() { _ = http.Serve(l, mux) }()
	return c, nil
}

func (c *cloud) address() string { return c.listener.Addr().String() }

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.f.mu.Lock()
	rows := []answer{}
	for _, m := range c.f.minions {
		state := c.away[m.machine]
		switch {
		case state != "":
		case m.up:
			state = "up"
		default:
			state = "down"
		}
		rows = append(rows, answer{
			"machine": m.machine, "pool": m.service, "state": state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.capacity, "identifier": m.id,
		})
	}
	c.f.mu.Unlock()
	_ = json.NewEncoder(w).Encode(answer{"machines": rows, "nextPageToken": ""})
}

// order ends the minion of a machine, and starts another after some time.
func (c *cloud) order(state string, lasts time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o struct {
			Machine, Pool string
			Wave          int
		}
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		c.f.mu.Lock()
		var m *minion
		for _, other := range c.f.minions {
			if other.machine == o.Machine {
				m = other
			}
		}
		known := m != nil
		busy := known && (!m.up || m.draining || c.away[o.Machine] != "")
		if known && !busy {
			c.away[o.Machine] = state
		}
		c.f.mu.Unlock()
		c.f.rec.log("platform: %s of %s to %q by %s, token %s; busy %v", state, o.Machine, o.Pool, r.Header.Get("Bergamotdrum-Duty-Holder"), r.Header.Get("Bergamotdrum-Fencing-Token"), busy)
		switch {
		case !known:
			w.WriteHeader(http.StatusBadRequest)
			return
		case busy:
			w.WriteHeader(http.StatusConflict)
			_ = json.NewEncoder(w).Encode(answer{"reason": "busy"})
			return
		}
		m.crash()
		time.AfterFunc(lasts, func() {
			c.f.mu.Lock()
			delete(c.away, o.Machine)
			m.id += "n"
			if o.Pool != "" {
				m.service = o.Pool
			}
			c.f.mu.Unlock()
			_ = m.begin()
		})
		_ = json.NewEncoder(w).Encode(answer{})
	}
}
