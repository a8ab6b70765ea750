package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resources is what a task requests and a minion has.
type resources struct {
	CPU    int `json:"cpu"`
	Memory int `json:"requestedMemoryMb"`
	GPU    int `json:"gpu"`
}

// work is what the stand-ins know of the tasks of a step: all that a real minion would
// learn from the specification.
type work struct {
	duration time.Duration // of one task; zero for tasks that last
	gang     int           // number of members, zero if it is none
	request  resources
}

// fleet holds the minions of a deployment.
type fleet struct {
	rec     *recorder
	control []string

	mu      sync.Mutex
	minions []*minion
	// works is by job id and step.
	works map[string]work
	// gangs holds the members that are present, by job.k.step#run.
	gangs map[string]map[*run]bool
	// ends holds how each run has ended, by task.
	ends map[string][]string
}

func newFleet(rec *recorder, control []string) *fleet {
	return &fleet{rec: rec, control: control, works: map[string]work{}, gangs: map[string]map[*run]bool{}, ends: map[string][]string{}}
}

// minion is one machine with one life of a minion at a time. The fleet's lock guards it.
type minion struct {
	f                    *fleet
	id, machine, service string
	zone, rack, address  string
	capacity             resources
	up, draining, dark   bool
	life                 int
	born                 int64
	started              time.Time
	sequence             int
	fence                uint64
	until                int64
	runs                 map[string]*run
	ended                []endRow
	nextEnd              int
	highest              map[string]int
	changed              chan struct{}
	server               *http.Server
	heartbeatTo          string
}

type run struct {
	m        *minion
	task     string
	number   int
	gangKey  string
	began    time.Time // when it began to work; zero before
	since    time.Time
	before   time.Duration // work that the checkpoint holds
	work     work
	stopping bool
}

type endRow struct {
	n     int
	task  string
	run   int
	how   string
	saved string
}

const clockOffsetMS = 5000

func (m *minion) clock() int64 { return clockOffsetMS + time.Since(m.started).Milliseconds() }

// add adds a machine with a minion that starts at once.
func (f *fleet) add(id, service, zone, rack, ip string, capacity resources) (*minion, error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	m := &minion{f: f, id: id, machine: "m-" + id, service: service, zone: zone, rack: rack, address: fmt.Sprintf("%s:%d", ip, port), capacity: capacity}
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	return m, m.begin()
}

// begin starts a life of the minion.
func (m *minion) begin() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.serve(m.runStart))
	mux.HandleFunc("POST /run-stop", m.serve(m.runStop))
	mux.HandleFunc("POST /hold", m.serve(m.hold))
	mux.HandleFunc("POST /pace", m.serve(m.pace))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server := &http.Server{Handler: mux}
	m.f.mu.Lock()
	m.life++
	m.up, m.draining, m.dark, m.server = true, false, false, server
	m.started, m.born = time.Now(), time.Now().UnixMilli()
	m.sequence, m.fence, m.until, m.nextEnd = 0, 0, 0, 1
	m.runs, m.ended, m.highest = map[string]*run{}, nil, map[string]int{}
	m.changed = make(chan struct{})
	life := m.life
	m.f.mu.Unlock()
	m.f.rec.log("minion %s starts life %d (born %d)", m.id, life, m.born)
	go func() { _ = server.Serve(l) }()
	go m.announceLoop(life)
	go m.workLoop(life)
	return nil
}

// crash ends the minion's process without notice; its tasks end with it.
func (m *minion) crash() {
	m.f.mu.Lock()
	m.up = false
	for key, r := range m.runs {
		m.f.rec.log("minion %s crashes with run %s", m.id, key)
		m.leaveGang(r)
		m.f.ends[r.task] = append(m.f.ends[r.task], "lost with its minion")
	}
	m.runs = map[string]*run{}
	server := m.server
	m.f.mu.Unlock()
	_ = server.Close()
	m.f.rec.log("minion %s is down", m.id)
}

// notify wakes calls that wait for an end. The caller holds the lock.
func (m *minion) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// end ends a run. The caller holds the lock.
func (m *minion) end(r *run, how string) {
	delete(m.runs, r.task)
	m.highest[r.task] = max(m.highest[r.task], r.number)
	m.ended = append(m.ended, endRow{m.nextEnd, r.task, r.number, how, r.checkpoint()})
	m.nextEnd++
	m.f.ends[r.task] = append(m.f.ends[r.task], how)
	m.f.rec.log("minion %s: run %s#%d ends %s", m.id, r.task, r.number, how)
	m.leaveGang(r)
	m.notify()
}

// leaveGang removes a run from its gang, whose other members break unless all are done.
func (m *minion) leaveGang(r *run) {
	if r.gangKey == "" {
		return
	}
	members := m.f.gangs[r.gangKey]
	if !members[r] {
		return
	}
	complete := len(members) == r.work.gang
	delete(members, r)
	if !complete {
		return
	}
	delete(m.f.gangs, r.gangKey)
	for other := range members {
		if other.m.runs[other.task] == other {
			how := "broken"
			if r.done() {
				how = "done"
			}
			other.gangKey = ""
			other.m.end(other, how)
		}
	}
}

// worked returns the work that a run has done, what its checkpoint held included.
func (r *run) worked() time.Duration {
	if r.began.IsZero() {
		return r.before
	}
	return r.before + time.Since(r.began)
}

func (r *run) done() bool { return r.work.duration > 0 && r.worked() >= r.work.duration }

// checkpoint is renewed with each second of work.
func (r *run) checkpoint() string {
	return fmt.Sprintf("%016x", r.worked().Truncate(time.Second).Milliseconds())
}

func (m *minion) workLoop(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		m.f.mu.Lock()
		if !m.up || m.life != life {
			m.f.mu.Unlock()
			return
		}
		lapsed := m.clock() > m.until
		for _, r := range m.sortedRuns() {
			if m.runs[r.task] != r {
				continue // ended with its gang
			}
			members := m.f.gangs[r.gangKey]
			if r.began.IsZero() && (r.gangKey == "" || len(members) == r.work.gang) {
				r.began = time.Now()
			}
			switch {
			case lapsed:
				m.end(r, "lapsed")
			case r.done():
				m.end(r, "done")
			case r.began.IsZero() && time.Since(r.since) > gangMS*time.Millisecond:
				m.end(r, "alone")
			}
		}
		m.f.mu.Unlock()
	}
}

func (m *minion) sortedRuns() []*run {
	var out []*run
	for _, r := range m.runs {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].task < out[j].task })
	return out
}

// order is any call to a minion.
type order struct {
	Task          string `json:"task"`
	Run           int    `json:"run"`
	Specification string `json:"specification"`
	UntilMS       int64  `json:"untilMs"`
	FencingToken  uint64 `json:"fencingToken"`
	Checkpoint    string `json:"checkpoint"`
	LastSeen      int    `json:"lastSeen"`
	WaitMS        int    `json:"waitMs"`
}

type answer map[string]any

// serve decodes a call, and refuses one for another instance or with a lower token. The
// handler is called with the lock held.
func (m *minion) serve(handle func(o order) (int, answer)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		m.f.mu.Lock()
		dark := m.dark
		m.f.mu.Unlock()
		if dark {
			<-r.Context().Done()
			return
		}
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.f.mu.Lock()
		var status int
		body := answer{}
		switch expected := r.Header.Get("Bergamotdrum-Expect-Instance"); {
		case expected != "" && expected != m.id:
			status = http.StatusMisdirectedRequest
		case o.FencingToken < m.fence:
			status, body = http.StatusConflict, answer{"reason": "fence"}
		default:
			m.fence = o.FencingToken
			status, body = handle(o)
		}
		if body == nil {
			body = answer{}
		}
		body["clockMs"], body["born"] = m.clock(), m.born
		m.f.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// extend takes the end of the lease from a call. The caller holds the lock.
func (m *minion) extend(until int64) {
	m.until = max(m.until, min(until, m.clock()+maxHoldMS))
}

func (m *minion) used() resources {
	var u resources
	for _, r := range m.runs {
		u.CPU += r.work.request.CPU
		u.Memory += r.work.request.Memory
	}
	return u
}

func (m *minion) runStart(o order) (int, answer) {
	status, body := m.tryStart(o)
	m.f.rec.log("minion %s: start %s#%d token %d: %d %v", m.id, o.Task, o.Run, o.FencingToken, status, body["reason"])
	return status, body
}

func (m *minion) tryStart(o order) (int, answer) {
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 || o.Run < 1 {
		return http.StatusBadRequest, nil
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		m.extend(o.UntilMS)
		return http.StatusOK, nil
	}
	if o.Run <= m.highest[o.Task] || m.runs[o.Task] != nil {
		m.extend(o.UntilMS)
		return http.StatusConflict, answer{"reason": "old"}
	}
	if o.UntilMS <= m.clock() {
		return http.StatusConflict, answer{"reason": "late"}
	}
	w, known := m.f.works[parts[0]+"."+parts[2]]
	if !known {
		m.f.rec.log("minion %s: start of %s, which no client sent", m.id, o.Task)
	}
	used := m.used()
	m.extend(o.UntilMS)
	if used.CPU+w.request.CPU > m.capacity.CPU || used.Memory+w.request.Memory > m.capacity.Memory {
		return http.StatusConflict, answer{"reason": "room"}
	}
	r := &run{m: m, task: o.Task, number: o.Run, since: time.Now(), work: w}
	if ms, err := strconv.ParseInt(o.Checkpoint, 16, 64); err == nil {
		r.before = time.Duration(ms) * time.Millisecond
	}
	m.runs[o.Task] = r
	if w.gang > 0 {
		r.gangKey = fmt.Sprintf("%s.%s.%s#%d", parts[0], parts[1], parts[2], o.Run)
		if m.f.gangs[r.gangKey] == nil {
			m.f.gangs[r.gangKey] = map[*run]bool{}
		}
		m.f.gangs[r.gangKey][r] = true
	}
	return http.StatusOK, nil
}

func (m *minion) runStop(o order) (int, answer) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.number == o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopMS/4*time.Millisecond, func() {
			m.f.mu.Lock()
			defer m.f.mu.Unlock()
			if m.runs[o.Task] == r {
				m.end(r, "stopped")
			}
		})
	}
	m.f.rec.log("minion %s: stop %s#%d token %d", m.id, o.Task, o.Run, o.FencingToken)
	return http.StatusOK, nil
}

func (m *minion) pace(order) (int, answer) { return http.StatusOK, nil }

// hold waits without the lock until an end is listed.
func (m *minion) hold(o order) (int, answer) {
	if o.UntilMS > 0 {
		m.extend(o.UntilMS)
	}
	for len(m.ended) > 0 && m.ended[0].n <= o.LastSeen {
		m.ended = m.ended[1:]
	}
	if len(m.ended) == 0 && o.WaitMS > 0 {
		changed := m.changed
		m.f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		m.f.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.sortedRuns() {
		percent := 0
		if !r.began.IsZero() {
			percent = 100
		}
		running = append(running, []any{r.task, r.number, r.checkpoint(), percent, r.work.request.CPU})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, answer{"running": running, "ended": ended}
}

// announceLoop sends heartbeats: to the node that was named last, else to one after the
// other until one acknowledges.
func (m *minion) announceLoop(life int) {
	for next := life; ; next++ {
		m.f.mu.Lock()
		if !m.up || m.life != life {
			m.f.mu.Unlock()
			return
		}
		m.sequence++
		body := m.heartbeat()
		to := m.heartbeatTo
		if to == "" {
			to = m.f.control[next%len(m.f.control)]
		}
		m.f.mu.Unlock()
		status, data := call(http.MethodPut, "http://"+to+"/instances/"+m.id, nil, body, time.Second)
		var named struct {
			HeartbeatAddress string `json:"heartbeatAddress"`
		}
		m.f.mu.Lock()
		m.heartbeatTo = ""
		if status/100 == 2 && json.Unmarshal(data, &named) == nil {
			m.heartbeatTo = named.HeartbeatAddress
		}
		m.f.mu.Unlock()
		if status/100 == 2 {
			time.Sleep(1500 * time.Millisecond)
		} else {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// heartbeat returns the body of a heartbeat. The caller holds the lock.
func (m *minion) heartbeat() answer {
	state := "ready"
	if m.draining {
		state = "draining"
	}
	return answer{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": m.capacity, "labels": []string{"a", m.rack}, "clockMs": m.clock(), "sequence": m.sequence, "born": m.born,
	}
}
