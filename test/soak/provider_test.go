package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// orderDuration is how long a move or the maintenance of a machine takes.
const orderDuration = time.Second

// machineProvider is a fake of the machine provider: the HTTP interface through
// which the platform lists machines and orders their moves and maintenance. Maps
// by machine have the machine's number as key; minion i runs on machine i. Maps
// by wave have the wave's number as key.
type machineProvider struct {
	cluster *cluster
	mu      sync.Mutex
	state   map[int]string
	// lastHolder, lastToken and orderedAt belong to the last order for a machine:
	// the process that sent it, its fencing token, and the time.
	lastHolder   map[int]string
	lastToken    map[int]string
	orderedAt    map[int]time.Time
	waveMachines map[uint64]map[int]bool
	waveLimit    map[uint64]int
	maintained   map[uint64]map[int]bool
}

func (c *cluster) startProvider() error {
	c.provider = &machineProvider{
		cluster: c, state: map[int]string{}, lastHolder: map[int]string{}, lastToken: map[int]string{}, orderedAt: map[int]time.Time{},
		waveMachines: map[uint64]map[int]bool{}, waveLimit: map[uint64]int{}, maintained: map[uint64]map[int]bool{},
	}
	link, err := newProxy(hostAddr(199)+":8344", hostAddr(99)+":8344")
	if err != nil {
		return err
	}
	c.providerLink = link
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", c.provider.listMachines)
	mux.HandleFunc("POST /machine-move", c.provider.move)
	mux.HandleFunc("POST /machine-upkeep", c.provider.startMaintenance)
	server := &http.Server{Addr: hostAddr(99) + ":8344", Handler: mux}
	go func() { _ = server.ListenAndServe() }() // returns when the server is closed below
	c.wg.Go(func() {
		<-c.stopAll
		server.Close()
	})
	return nil
}

func machineName(i int) string { return fmt.Sprint("machine-", i) }

func (p *machineProvider) listMachines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []map[string]any
	for i, m := range p.cluster.minions {
		m.mu.Lock()
		state := "up"
		if s := p.state[i]; s != "" {
			state = s
		}
		id := ""
		if m.up {
			id = m.id
		}
		out = append(out, map[string]any{
			"machine": machineName(i), "pool": m.pool, "state": state, "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int{"cpu": m.cpu, "requestedMemoryMb": minionMemory}, "identifier": id,
		})
		m.mu.Unlock()
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": out, "nextPageToken": nil})
}

type machineOrder struct {
	Machine, Pool string
	Wave          uint64
}

// acceptOrder decodes an order into b and returns the machine's number. It answers
// an invalid order with 400 and returns false. Two processes that send orders for
// a machine with the same fencing token are a violation. The caller holds mu.
func (p *machineProvider) acceptOrder(w http.ResponseWriter, r *http.Request, b *machineOrder) (int, bool) {
	var i int
	if json.NewDecoder(r.Body).Decode(b) != nil {
		http.Error(w, "{}", http.StatusBadRequest)
		return 0, false
	}
	if _, err := fmt.Sscanf(b.Machine, "machine-%d", &i); err != nil || i >= len(p.cluster.minions) {
		http.Error(w, "{}", http.StatusBadRequest)
		return 0, false
	}
	holder, token := r.Header.Get("Bergamotdrum-Duty-Holder"), r.Header.Get("Bergamotdrum-Fencing-Token")
	if p.lastHolder[i] != "" && p.lastHolder[i] != holder && p.lastToken[i] == token {
		p.cluster.checker.addViolation("%s: orders from %s and %s have the same fencing token %s", b.Machine, p.lastHolder[i], holder, token)
	}
	p.lastHolder[i], p.lastToken[i], p.orderedAt[i] = holder, token, time.Now()
	return i, true
}

func (p *machineProvider) move(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b machineOrder
	i, ok := p.acceptOrder(w, r, &b)
	if !ok {
		return
	}
	m := p.cluster.minions[i]
	m.mu.Lock()
	there := m.pool == b.Pool
	m.mu.Unlock()
	switch {
	case there:
		_, _ = w.Write([]byte("{}"))
	case p.state[i] != "":
		refuse(w, "busy")
	default:
		p.takeDown(i, "moving", b.Pool)
		_, _ = w.Write([]byte("{}"))
	}
}

// refuse answers an order with 409 and the reason.
func refuse(w http.ResponseWriter, reason string) {
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(map[string]string{"reason": reason})
}

func (p *machineProvider) startMaintenance(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var b machineOrder
	i, ok := p.acceptOrder(w, r, &b)
	if !ok {
		return
	}
	switch {
	case !p.waveMachines[b.Wave][i]:
		refuse(w, "wave")
	case p.maintained[b.Wave][i]:
		_, _ = w.Write([]byte("{}"))
	case p.state[i] != "":
		refuse(w, "busy")
	default:
		down := 0
		for n := range p.waveMachines[b.Wave] {
			if p.state[n] == "upkeep" {
				down++
			}
		}
		if down >= p.waveLimit[b.Wave] {
			p.cluster.checker.addViolation("wave %d: maintenance of %s starts while %d machines are down, the limit is %d", b.Wave, b.Machine, down, p.waveLimit[b.Wave])
		}
		p.maintained[b.Wave][i] = true
		p.takeDown(i, "upkeep", "")
		_, _ = w.Write([]byte("{}"))
	}
}

// takeDown crashes the machine's minion and puts the machine into the state for
// orderDuration. Then the minion starts again, in the given pool if it is not
// empty, unless the machine belongs to the spare pool, which is powered off. The
// caller holds mu.
func (p *machineProvider) takeDown(i int, state, pool string) {
	m := p.cluster.minions[i]
	m.crash(endTakenDown)
	p.state[i] = state
	time.AfterFunc(orderDuration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.state[i] = ""
		m.mu.Lock()
		if pool != "" {
			m.pool = pool
		}
		off := m.pool == "spare"
		m.mu.Unlock()
		if !off {
			m.startIncarnation()
		}
	})
}

// addWave records a wave before the operator starts it.
func (p *machineProvider) addWave(number uint64, machines []int, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waveMachines[number], p.maintained[number], p.waveLimit[number] = map[int]bool{}, map[int]bool{}, limit
	for _, i := range machines {
		p.waveMachines[number][i] = true
	}
}

// countUnmaintained returns the number of machines of a wave whose maintenance has
// not started; a wave with such a machine must not be shown as completed.
func (p *machineProvider) countUnmaintained(number uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waveMachines[number]) - len(p.maintained[number])
}
