package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Outcomes of a run, as a minion reports them.
const (
	endDone         = "done"
	endFailed       = "failed"
	endStopped      = "stopped"
	endLeaseExpired = "lapsed"
	// The outcomes below are known to the checker only: the minion reports no ends
	// of an incarnation that is over.
	endCrashedByFault = "crashed by a fault"
	endCrashedByTask  = "crashed by a deadly task"
	endTakenDown      = "taken down for a move or maintenance"
)

// clockRate is the rate of a minion's clock relative to the control VMs' clocks.
// The clock is slow, so leases expire later at the minion than a control VM
// calculates from its own clock.
const clockRate = 0.98

// maxLease is the longest lease that a minion accepts; it equals max_lease in the
// cores' settings.
const maxLease = 3 * time.Second

// taskKey identifies a task; on the wire it is "job.occurrence.step.index".
type taskKey struct {
	job         string
	occurrence  int
	step, index int
}

func parseTaskName(name string) (taskKey, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskKey{}, fmt.Errorf("task name %q does not have four parts", name)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return taskKey{}, err
		}
		n[i] = v
	}
	return taskKey{job: parts[0], occurrence: n[0], step: n[1], index: n[2]}, nil
}

// runState is a run that is active on a minion.
type runState struct {
	run    int
	endsAt time.Time
	cpu    int
}

// endedRun is an ended run whose end has not been acknowledged. Ends are numbered
// in order within an incarnation.
type endedRun struct {
	number  uint64
	key     taskKey
	name    string
	run     int
	outcome string
}

// minion is a fake of the back end that runs tasks. Its address stays the same over
// its incarnations, the lifetimes of its process; its id stays the same unless a
// deadly task crashed it. The wire's word for the start of an incarnation is
// "born".
type minion struct {
	checker    *checker
	zone, rack string
	cpu        int
	listener   net.Listener
	link       *proxy   // in front of listener
	controls   []string // addresses of the control VMs' proxies
	beatClient *http.Client
	// inTouch reports whether neither the cores nor the minion's link had a fault in
	// the last contactTime; crashUnder crashes the minion under a run.
	inTouch    func() bool
	crashUnder func(name string, run int)

	mu              sync.Mutex
	id, pool        string
	rooms           []room // changes of the capacity, the latest one last
	reportedRoom    room   // the capacity of the last violation of LIMIT
	startedAt       time.Time
	up              bool
	failUntil       time.Time // until then runs end as failed
	fencingToken    uint64    // highest one received
	leaseEndMS      int64     // by the minion's clock
	running         map[string]*runState
	ended           []endedRun
	lastEnd         uint64         // number of the last end
	lastEndAtExpiry uint64         // value of lastEnd when the lease was last seen as expired
	highestRun      map[string]int // by task: lower or equal run numbers must not start
	sequence        uint64         // number of heartbeats
	usedCPU         int
}

// clockMS returns the minion's clock: milliseconds since the start of the
// incarnation, at clockRate.
func (m *minion) clockMS() int64 {
	return int64(float64(time.Since(m.startedAt).Milliseconds()) * clockRate)
}

// startIncarnation starts a new incarnation, without any state of the last one.
func (m *minion) startIncarnation() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startedAt, m.up = time.Now(), true
	m.fencingToken, m.leaseEndMS, m.lastEnd, m.lastEndAtExpiry, m.sequence, m.usedCPU = 0, 0, 0, 0, 0, 0
	m.running, m.highestRun, m.ended = map[string]*runState{}, map[string]int{}, nil
}

// crash ends the incarnation with all of its runs and resets its connections, so
// that an order that is on its way does not reach the next incarnation. The outcome
// tells the checker why the runs ended.
func (m *minion) crash(outcome string) {
	m.link.reset()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.up = false
	for name, r := range m.running {
		key, _ := parseTaskName(name)
		m.checker.runEnded(key, r.run, outcome)
	}
	m.running = map[string]*runState{}
}

// updateRuns ends the runs that are finished, and all runs if the lease has
// expired. The caller holds mu.
func (m *minion) updateRuns() {
	leaseExpired := m.clockMS() > m.leaseEndMS
	if leaseExpired && len(m.running) > 0 {
		m.lastEndAtExpiry = m.lastEnd
	}
	for name, r := range m.running {
		switch {
		case time.Now().After(r.endsAt):
			outcome := endDone
			if time.Now().Before(m.failUntil) {
				outcome = endFailed
			}
			m.endRun(name, r, outcome)
		case leaseExpired:
			m.endRun(name, r, endLeaseExpired)
		}
	}
	if leaseExpired {
		m.lastEndAtExpiry = m.lastEnd
	}
}

// endRun moves a run to the list of ended runs and tells the checker. The caller
// holds mu.
func (m *minion) endRun(name string, r *runState, outcome string) {
	key, _ := parseTaskName(name)
	delete(m.running, name)
	m.usedCPU -= r.cpu
	m.lastEnd++
	m.highestRun[name] = max(m.highestRun[name], r.run)
	m.ended = append(m.ended, endedRun{m.lastEnd, key, name, r.run, outcome})
	m.checker.runEnded(key, r.run, outcome)
}

// updateLoop calls updateRuns every 20 ms until stop is closed.
func (m *minion) updateLoop(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		if m.up {
			m.updateRuns()
		}
		m.mu.Unlock()
	}
}

// ServeHTTP handles /run-start, /run-stop and, for any other path, a hold call:
// the long poll that renews the minion's lease, acknowledges the ends up to
// lastSeen and waits for new ones. An order with a fencing token older than the
// newest one is refused. A request gets no response if the minion crashed.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Task, Specification, Checkpoint string
		Run                             int
		UntilMs                         int64
		FencingToken, LastSeen          uint64
		WaitMs                          int64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("Bergamotdrum-Expect-Instance"); want != m.id {
		m.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.updateRuns()
	startedAt := m.startedAt
	var reply map[string]any
	status := http.StatusOK
	switch {
	case order.FencingToken < m.fencingToken:
		status, reply = http.StatusConflict, map[string]any{"reason": "fence"}
	case r.URL.Path == "/run-start":
		m.fencingToken = order.FencingToken
		status, reply = m.startRun(order.Task, order.Run, order.Specification, order.UntilMs)
	case r.URL.Path == "/run-stop":
		m.fencingToken = order.FencingToken
		m.highestRun[order.Task] = max(m.highestRun[order.Task], order.Run)
		if run := m.running[order.Task]; run != nil && run.run == order.Run {
			m.endRun(order.Task, run, endStopped)
		}
		reply = map[string]any{}
	default:
		m.fencingToken = order.FencingToken
		m.extendLease(order.UntilMs)
		m.dropAcknowledged(order.LastSeen)
		deadline := time.Now().Add(time.Duration(order.WaitMs) * time.Millisecond)
		for m.up && m.startedAt.Equal(startedAt) && len(m.ended) == 0 && time.Now().Before(deadline) {
			m.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			m.mu.Lock()
		}
		reply = m.holdReply()
	}
	sameIncarnation := m.up && m.startedAt.Equal(startedAt)
	reply["clockMs"], reply["born"] = m.clockMS(), m.startedAt.UnixMilli()
	m.mu.Unlock()
	if !sameIncarnation {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

// extendLease sets the end of the lease, at most maxLease from now; it never
// shortens the lease. Times are the minion's clock. The caller holds mu.
func (m *minion) extendLease(untilMS int64) {
	m.leaseEndMS = max(m.leaseEndMS, min(untilMS, m.clockMS()+maxLease.Milliseconds()))
}

// startRun handles an order to start a run and returns the response's status and
// body. A start of a run that is active already succeeds again. The caller holds
// mu.
func (m *minion) startRun(name string, run int, specification string, untilMS int64) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	key, err := parseTaskName(name)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if current := m.running[name]; current != nil && current.run == run {
		return http.StatusOK, map[string]any{}
	}
	cpu := m.checker.taskCPU(key)
	switch {
	case run <= m.highestRun[name]:
		return refuse("old")
	case untilMS <= m.clockMS():
		return refuse("late")
	case m.guardsCapacity() && !m.fits(m.currentRoom(), cpu):
		m.extendLease(untilMS)
		return refuse("room")
	}
	m.extendLease(untilMS)
	m.checkRoom(name, cpu)
	m.usedCPU += cpu
	work := time.Duration(100+rand.IntN(600)) * time.Millisecond
	m.running[name] = &runState{run: run, endsAt: time.Now().Add(work), cpu: cpu}
	m.checker.runStarted(key, run, specification, m.zone, m.id)
	m.startDeadly(key, name, run, specification)
	return http.StatusOK, map[string]any{}
}

// dropAcknowledged removes the ends up to number lastSeen, which the control VM
// has committed. The caller holds mu.
func (m *minion) dropAcknowledged(lastSeen uint64) {
	var kept []endedRun
	for _, e := range m.ended {
		if e.number > lastSeen {
			kept = append(kept, e)
			continue
		}
		m.checker.endAcknowledged(e.key, e.run, e.outcome, e.number <= m.lastEndAtExpiry)
	}
	m.ended = kept
}

// holdReply returns the body of a response to a hold call. The caller holds mu.
func (m *minion) holdReply() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for name, r := range m.running {
		running = append(running, []any{name, r.run, "", 100, r.cpu})
	}
	for _, e := range m.ended {
		ended = append(ended, []any{e.number, e.name, e.run, e.outcome, ""})
	}
	return map[string]any{"running": running, "ended": ended}
}

// taskCPU returns the CPU of a task, 0 if the task is not known.
func (c *checker) taskCPU(key taskKey) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.jobs[key.job]; j != nil && key.step < len(j.steps) {
		return j.steps[key.step].cpu
	}
	return 0
}
