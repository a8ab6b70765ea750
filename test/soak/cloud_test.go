package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// awayFor is how long a move or a service takes.
const awayFor = time.Second

// cloud is a stand-in for the platform's machine API. Machine i carries minion
// i.
type cloud struct {
	s     *site
	mu    sync.Mutex
	state map[int]string
	// holder and orderedAt tell who gave the last order for a machine.
	holder    map[int]string
	token     map[int]string
	orderedAt map[int]time.Time
	waves     map[uint64]map[int]bool
	limit     map[uint64]int
	served    map[uint64]map[int]bool
}

func (s *site) startCloud() error {
	s.cloud = &cloud{
		s: s, state: map[int]string{}, holder: map[int]string{}, token: map[int]string{}, orderedAt: map[int]time.Time{},
		waves: map[uint64]map[int]bool{}, limit: map[uint64]int{}, served: map[uint64]map[int]bool{},
	}
	link, err := newProxy(hostOf(199)+":8344", hostOf(99)+":8344")
	if err != nil {
		return err
	}
	s.cloudLink = link
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", s.cloud.list)
	mux.HandleFunc("POST /machine-move", s.cloud.move)
	mux.HandleFunc("POST /machine-upkeep", s.cloud.upkeep)
	server := &http.Server{Addr: hostOf(99) + ":8344", Handler: mux}
	go func() { _ = server.ListenAndServe() }() // ends with the run
	s.wg.Go(func() {
		<-s.stopAll
		server.Close()
	})
	return nil
}

func machineName(i int) string { return fmt.Sprint("machine-", i) }

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []map[string]any
	for i, m := range c.s.minions {
		m.mu.Lock()
		state := "up"
		if s := c.state[i]; s != "" {
			state = s
		}
		id := ""
		if m.up {
			id = m.id
		}
		out = append(out, map[string]any{
			"machine": machineName(i), "pool": m.pool, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "requestedMemoryMb": 64000}, "identifier": id,
		})
		m.mu.Unlock()
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": out, "nextPageToken": nil})
}

type machineBody struct {
	Machine, Pool string
	Wave          uint64
}

// order checks who gives an order; it returns the machine's number, or false
// once it has answered.
func (c *cloud) order(w http.ResponseWriter, r *http.Request, b *machineBody) (int, bool) {
	var i int
	if json.NewDecoder(r.Body).Decode(b) != nil {
		http.Error(w, "{}", http.StatusBadRequest)
		return 0, false
	}
	if _, err := fmt.Sscanf(b.Machine, "machine-%d", &i); err != nil || i >= len(c.s.minions) {
		http.Error(w, "{}", http.StatusBadRequest)
		return 0, false
	}
	holder, token := r.Header.Get("Bergamotdrum-Duty-Holder"), r.Header.Get("Bergamotdrum-Fencing-Token")
	if c.holder[i] != "" && c.holder[i] != holder && c.token[i] == token {
		c.s.t.wrong("%s: %s and %s order with the same token %s", b.Machine, c.holder[i], holder, token)
	}
	c.holder[i], c.token[i], c.orderedAt[i] = holder, token, time.Now()
	return i, true
}

func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b machineBody
	i, ok := c.order(w, r, &b)
	if !ok {
		return
	}
	m := c.s.minions[i]
	m.mu.Lock()
	there := m.pool == b.Pool
	m.mu.Unlock()
	switch {
	case there:
		_, _ = w.Write([]byte("{}"))
	case c.state[i] != "":
		refuse(w, "busy")
	default:
		c.away(i, "moving", b.Pool)
		_, _ = w.Write([]byte("{}"))
	}
}

func refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b machineBody
	i, ok := c.order(w, r, &b)
	if !ok {
		return
	}
	switch {
	case !c.waves[b.Wave][i]:
		refuse(w, "wave")
	case c.served[b.Wave][i]:
		_, _ = w.Write([]byte("{}"))
	case c.state[i] != "":
		refuse(w, "busy")
	default:
		down := 0
		for n := range c.waves[b.Wave] {
			if c.state[n] == "upkeep" {
				down++
			}
		}
		if down >= c.limit[b.Wave] {
			c.s.t.wrong("wave %d: %s goes down while %d are, the limit is %d", b.Wave, b.Machine, down, c.limit[b.Wave])
		}
		c.served[b.Wave][i] = true
		c.away(i, "upkeep", "")
		_, _ = w.Write([]byte("{}"))
	}
}

// away ends what runs on a machine; a new life of its minion joins the pool
// later. The caller holds mu.
func (c *cloud) away(i int, state, pool string) {
	m := c.s.minions[i]
	m.crash()
	c.state[i] = state
	time.AfterFunc(awayFor, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state[i] = ""
		m.mu.Lock()
		if pool != "" {
			m.pool = pool
		}
		off := m.pool == "spare"
		m.mu.Unlock()
		if !off {
			m.begin()
		}
	})
}

// addWave notes a wave that the operator is about to ask for.
func (c *cloud) addWave(number uint64, machines []int, limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waves[number], c.served[number], c.limit[number] = map[int]bool{}, map[int]bool{}, limit
	for _, i := range machines {
		c.waves[number][i] = true
	}
}

// unserved counts the machines of a wave whose service has not begun; a wave
// with any of them must not be shown as completed.
func (c *cloud) unserved(number uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waves[number]) - len(c.served[number])
}
