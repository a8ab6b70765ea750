package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHold   = 6 * time.Second // maxHoldMs
	gangWait  = 3 * time.Second // gangMs
	beatEvery = 1500 * time.Millisecond
)

// liveRun is a run that is on a minion.
type liveRun struct {
	e         *execution
	cpu       uint32
	work      time.Duration
	how       string
	endsAt    time.Time // zero while members of the gang are missing
	waitsTill time.Time // of a gang: when it ends alone
}

type endRow struct {
	number uint64
	task   string
	run    int
	how    string
	e      *execution
	// lapsed: the lease ran out after the end and before the end was taken note of.
	lapsed bool
}

// minion is a stand-in of a minion that follows the pages. Its fields failing, silent and
// so on are the disruptions that a case may cause.
type minion struct {
	w        *world
	name     string // for the record
	service  string
	zone     string
	labels   []string
	cpu      uint32
	listener net.Listener
	controls []string
	client   *http.Client

	mu      sync.Mutex
	id      string
	life    int
	born    time.Time
	up      bool
	token   uint64
	until   int64
	running map[string]*liveRun
	ended   []endRow
	last    uint64
	highest map[string]int
	seq     uint64
	// sheds: run-start is answered 503, as by an unhealthy minion. silent: no call is
	// answered or carried out, and no heartbeat leaves, as behind a cut.
	sheds, silent, noBeats bool
	// lateShare of the orders is carried out late.
	lateShare float64
}

var (
	gangMu sync.Mutex
	gangs  = map[string]map[int]*minion{} // task's step and run -> members present, by index
)

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// begin starts a new life of the minion.
func (m *minion) begin(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.id, m.born, m.up = id, time.Now(), true
	m.life++
	m.token, m.until, m.last, m.seq = 0, 0, 0, 0
	m.running, m.highest, m.ended = map[string]*liveRun{}, map[string]int{}, nil
}

// crash ends the life of the minion with all that runs there. Its port refuses
// connections from then on.
func (m *minion) crash() {
	m.listener.Close()
	m.mu.Lock()
	m.up = false
	var gone []*liveRun
	for _, r := range m.running {
		gone = append(gone, r)
	}
	m.running = map[string]*liveRun{}
	m.mu.Unlock()
	for _, r := range gone {
		m.w.end(r.e, "lost with its minion")
		m.leaveGang(r.e, "lost")
	}
	m.w.logf("%s crashes", m.name)
}

func (m *minion) serve() {
	s := &http.Server{Handler: m}
	go func() { _ = s.Serve(m.listener) }()
}

// reopen makes a crashed minion listen at its address again, as a new life.
func (m *minion) reopen(id string) error {
	l, err := net.Listen("tcp", m.listener.Addr().String())
	if err != nil {
		return err
	}
	m.listener = l
	m.begin(id)
	m.serve()
	m.w.logf("%s starts again as %s", m.name, id)
	return nil
}

func (m *minion) loop(stop <-chan struct{}) {
	beat := time.Time{}
	next := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.update()
		if time.Since(beat) < beatEvery {
			continue
		}
		beat = time.Now()
		m.mu.Lock()
		quiet := !m.up || m.silent || m.noBeats
		m.mu.Unlock()
		if quiet {
			continue
		}
		go func(first int) {
			for i := range m.controls {
				if m.beat(m.controls[(first+i)%len(m.controls)], m.service, 0) {
					return
				}
			}
		}(next)
		next++
	}
}

// beat sends a heartbeat to a control address and reports whether it was acknowledged.
func (m *minion) beat(control, service string, ahead uint64) bool {
	m.mu.Lock()
	m.seq++
	body := map[string]any{
		"service": service, "address": m.listener.Addr().String(), "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]any{"cpu": m.cpu, "requestedMemoryMb": 32768, "gpu": 0}, "labels": m.labels,
		"clockMs": m.clock(), "sequence": m.seq + ahead, "born": m.born.UnixMilli(),
	}
	id := m.id
	m.mu.Unlock()
	data, _ := json.Marshal(body)
	req, _ := http.NewRequest(http.MethodPut, "http://"+control+"/instances/"+id, bytes.NewReader(data))
	resp, err := m.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < 300
}

// update ends runs that are finished, whose lease has run out, or whose gang is incomplete.
func (m *minion) update() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	lapsed := m.clock() > m.until
	for i := range m.ended {
		m.ended[i].lapsed = m.ended[i].lapsed || lapsed
	}
	for task, r := range m.running {
		switch {
		case lapsed:
			m.finish(task, r, "lapsed")
		case !r.endsAt.IsZero() && time.Now().After(r.endsAt):
			m.finish(task, r, r.how)
		case r.endsAt.IsZero() && time.Now().After(r.waitsTill):
			m.finish(task, r, "alone")
		}
	}
}

// finish ends a run. The caller holds mu.
func (m *minion) finish(task string, r *liveRun, how string) {
	delete(m.running, task)
	m.last++
	m.highest[task] = max(m.highest[task], r.e.run)
	m.ended = append(m.ended, endRow{number: m.last, task: task, run: r.e.run, how: how, e: r.e})
	m.w.end(r.e, how)
	go m.leaveGang(r.e, how)
}

func gangKey(e *execution) string {
	return fmt.Sprintf("%s.%d.%d#%d", e.id.job, e.id.occurrence, e.id.st, e.run)
}

// joinGang adds a member and, when all are present, lets them work.
func (m *minion) joinGang(e *execution, count uint32) {
	gangMu.Lock()
	key := gangKey(e)
	if gangs[key] == nil {
		gangs[key] = map[int]*minion{}
	}
	gangs[key][e.id.index] = m
	var members map[int]*minion
	if len(gangs[key]) == int(count) {
		members = map[int]*minion{}
		for i, o := range gangs[key] {
			members[i] = o
		}
	}
	gangMu.Unlock()
	for i, o := range members {
		name := fmt.Sprintf("%s.%d.%d.%d", e.id.job, e.id.occurrence, e.id.st, i)
		o.mu.Lock()
		if r := o.running[name]; r != nil && r.e.run == e.run {
			r.endsAt = time.Now().Add(r.work)
		}
		o.mu.Unlock()
	}
}

// leaveGang ends the other members of a run's gang: done with it, or broken.
func (m *minion) leaveGang(e *execution, how string) {
	gangMu.Lock()
	members := gangs[gangKey(e)]
	delete(gangs, gangKey(e))
	gangMu.Unlock()
	for i, o := range members {
		if i == e.id.index {
			continue
		}
		name := fmt.Sprintf("%s.%d.%d.%d", e.id.job, e.id.occurrence, e.id.st, i)
		o.mu.Lock()
		if r := o.running[name]; r != nil && r.e.run == e.run {
			if how == "done" {
				o.finish(name, r, "done")
			} else {
				o.finish(name, r, "broken")
			}
		}
		o.mu.Unlock()
	}
}

type order struct {
	Task          string
	Run           int
	Specification string
	UntilMs       int64
	FencingToken  uint64
	LastSeen      uint64
	WaitMs        int64
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if m.isLate() {
		go m.carryOutLate(r.URL.Path, r.Header.Get("Bergamotdrum-Expect-Instance"), o)
		time.Sleep(3 * time.Second)
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	life := m.life
	if m.silent || !m.up {
		for m.silent && m.up && m.life == life {
			m.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			m.mu.Lock()
		}
		m.mu.Unlock()
		panic(http.ErrAbortHandler) // what was sent into the cut is lost
	}
	if r.Header.Get("Bergamotdrum-Expect-Instance") != m.id {
		m.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reply := http.StatusOK, map[string]any{}
	switch {
	case o.FencingToken < m.token:
		status, reply["reason"] = http.StatusConflict, "fence"
	case r.URL.Path == "/run-start" && m.sheds:
		status = http.StatusServiceUnavailable
	case r.URL.Path == "/run-start":
		m.token = o.FencingToken
		status, reply = m.startRun(o)
	case r.URL.Path == "/run-stop":
		m.token = o.FencingToken
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if run := m.running[o.Task]; run != nil && run.e.run == o.Run {
			m.finish(o.Task, run, "stopped")
		}
	default:
		m.token = o.FencingToken
		m.extend(o.UntilMs)
		m.forget(o.LastSeen)
		deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
		for m.up && m.life == life && len(m.ended) == 0 && time.Now().Before(deadline) {
			m.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			m.mu.Lock()
		}
		reply = m.lists()
	}
	reply["clockMs"], reply["born"] = m.clock(), m.born.UnixMilli()
	lost := !m.up || m.life != life || m.silent
	m.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(reply)
}

// isLate reports whether an order is left unanswered and carried out later.
func (m *minion) isLate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return rand.Float64() < m.lateShare
}

// carryOutLate carries out an order 2 to 12 s after it came.
func (m *minion) carryOutLate(path, id string, o order) {
	time.Sleep(2*time.Second + rand.N(10*time.Second))
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.silent || m.id != id || o.FencingToken < m.token {
		return
	}
	m.token = o.FencingToken
	switch path {
	case "/run-start":
		status, _ := m.startRun(o)
		m.w.logf("%s carries out a start of %s run %d late: %d", m.name, o.Task, o.Run, status)
	case "/run-stop":
		m.highest[o.Task] = max(m.highest[o.Task], o.Run)
		if run := m.running[o.Task]; run != nil && run.e.run == o.Run {
			m.finish(o.Task, run, "stopped")
		}
	default:
		m.extend(o.UntilMs)
		m.forget(o.LastSeen)
	}
}

func (m *minion) extend(until int64) {
	m.until = max(m.until, min(until, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) startRun(o order) (int, map[string]any) {
	id, err := parseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if r := m.running[o.Task]; r != nil && r.e.run == o.Run {
		return http.StatusOK, map[string]any{}
	}
	m.w.mu.Lock()
	p := m.w.jobs[id.job]
	m.w.mu.Unlock()
	var s step
	if p != nil {
		s = p.job.Steps[id.st]
	}
	used := uint32(0)
	same := uint32(0)
	for _, r := range m.running {
		used += r.cpu
		if r.e.id.job == id.job && r.e.id.occurrence == id.occurrence && r.e.id.st == id.st {
			same++
		}
	}
	switch {
	case o.Run <= m.highest[o.Task]:
		m.extend(o.UntilMs)
		return http.StatusConflict, map[string]any{"reason": "old"}
	case o.UntilMs <= m.clock():
		return http.StatusConflict, map[string]any{"reason": "late"}
	case used+s.CPU > m.cpu:
		m.extend(o.UntilMs)
		return http.StatusConflict, map[string]any{"reason": "room"}
	}
	m.extend(o.UntilMs)
	e, work, how := m.w.start(m, o.Task, id, o.Run, o.Specification)
	if s.MaxPerMinion > 0 && same >= s.MaxPerMinion {
		m.w.mu.Lock()
		m.w.breakRule("ROUTE", "%s on %s beyond antiAffinity", o.Task, m.name)
		m.w.mu.Unlock()
	}
	r := &liveRun{e: e, cpu: s.CPU, work: work, how: how}
	m.running[o.Task] = r
	if s.Gang {
		r.waitsTill = time.Now().Add(gangWait)
		go m.joinGang(e, s.Count)
	} else {
		r.endsAt = time.Now().Add(work)
	}
	return http.StatusOK, map[string]any{}
}

func (m *minion) forget(lastSeen uint64) {
	var kept []endRow
	for _, e := range m.ended {
		if e.number > lastSeen {
			kept = append(kept, e)
			continue
		}
		m.w.mu.Lock()
		e.e.noted = !e.lapsed
		m.w.mu.Unlock()
	}
	m.ended = kept
}

func (m *minion) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for task, r := range m.running {
		running = append(running, []any{task, r.e.run, "", 100, r.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"running": running, "ended": ended}
}
