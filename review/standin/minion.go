package main

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

const (
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is how long a minion waits for the acknowledgement.
	heartbeatTimeout = time.Second
	minionCPU        = 16_000
	minionMB         = 64_000
	// recordedHoldsMS is the age of a minion up to which its hold calls are recorded.
	recordedHoldsMS = 3000
	// pollInterval is the resolution of a minion's work.
	pollInterval = 10 * time.Millisecond
)

// run is a run of a task on a minion.
type run struct {
	number, cpu int
	endsAt      time.Time
}

// minion is one life of a machine's minion, as the protocol describes it.
type minion struct {
	c       *cluster
	machine *machine
	id      string
	born    time.Time

	mu      sync.Mutex
	up      bool
	token   uint64
	leaseMS int64
	running map[string]*run
	// ended holds the rows of the ends that were not acknowledged.
	ended   [][]any
	lastEnd int
	// highest holds, by task, the highest run that was stopped or has ended.
	highest  map[string]int
	sequence int
	// lastHold is when the last hold call arrived.
	lastHold time.Time
}

// startMinion starts a minion on a machine under an id. Its first heartbeat is sent after
// a time.
func startMinion(c *cluster, m *machine, id string, firstHeartbeat time.Duration) *minion {
	n := &minion{c: c, machine: m, id: id, born: time.Now(), up: true, running: map[string]*run{}, highest: map[string]int{}}
	c.wg.Go(n.work)
	c.wg.Go(func() {
		select {
		case <-c.stop:
		case <-time.After(firstHeartbeat):
			n.announce()
		}
	})
	c.rec.add("minion %s, born %d, starts on %s in %s", id, n.born.UnixMilli(), m.id, m.pool)
	return n
}

// end ends the process with all that runs on it.
func (n *minion) end(reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = false
	for name, r := range n.running {
		n.c.rec.add("minion %s: run %d of %s ends with the minion", n.id, r.number, name)
	}
	n.running = map[string]*run{}
	n.c.rec.add("minion %s %s", n.id, reason)
}

func (n *minion) isUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// runs reports whether a run of the job is in progress.
func (n *minion) runs(j job) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.running {
		if strings.HasPrefix(name, j.id+".") {
			return true
		}
	}
	return false
}

// clockMS is the minion's steady clock.
func (n *minion) clockMS() int64 { return time.Since(n.born).Milliseconds() + 1 }

// work ends the runs that are done or whose lease has expired.
func (n *minion) work() {
	for n.isUp() {
		select {
		case <-n.c.stop:
			return
		case <-time.After(pollInterval):
		}
		n.mu.Lock()
		for name, r := range n.running {
			switch {
			case n.clockMS() > n.leaseMS:
				n.endRun(name, r, "lapsed")
			case time.Now().After(r.endsAt):
				n.endRun(name, r, "done")
			}
		}
		n.mu.Unlock()
	}
}

// endRun lists the end of a run. The caller holds mu.
func (n *minion) endRun(name string, r *run, how string) {
	delete(n.running, name)
	n.lastEnd++
	n.highest[name] = max(n.highest[name], r.number)
	n.ended = append(n.ended, []any{n.lastEnd, name, r.number, how, ""})
	n.c.rec.add("minion %s: run %d of %s ends %s", n.id, r.number, name, how)
}

// announce sends a heartbeat about every heartbeatInterval.
func (n *minion) announce() {
	client := &http.Client{Timeout: heartbeatTimeout}
	address := ""
	for n.isUp() {
		for _, i := range rand.Perm(numCores) {
			if n.machine.link.isDown() {
				break
			}
			if address == "" {
				address = net.JoinHostPort(n.c.host(firstCore+i), controlPort)
			}
			id, body := n.heartbeat()
			status, data := put(client, address, "/instances/"+id, body)
			if status == http.StatusOK {
				var reply struct{ HeartbeatAddress string }
				_ = json.Unmarshal(data, &reply) // the field is optional
				address = reply.HeartbeatAddress
				break
			}
			address = ""
		}
		select {
		case <-n.c.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat returns the minion's id and the body of its next heartbeat.
func (n *minion) heartbeat() (string, map[string]any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	return n.id, map[string]any{
		"service": n.machine.pool, "address": n.machine.address, "zone": n.machine.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": capacity(), "labels": n.machine.labels(), "clockMs": n.clockMS(),
		"born": n.born.UnixMilli(), "sequence": n.sequence,
	}
}

func capacity() map[string]int {
	return map[string]int{"cpu": minionCPU, "requestedMemoryMb": minionMB, "gpu": 0}
}

// order is the body of a call to a minion.
type order struct {
	Task             string
	Run              int
	UntilMS, WaitMS  int64
	FencingToken     uint64
	LastSeen         int
	Specification    string
	Checkpoint, Path string
}

// ServeHTTP implements http.Handler.
func (n *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Bergamotdrum-Expect-Instance") != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n.mu.Lock()
	status, reply := http.StatusOK, map[string]any{}
	switch {
	case !n.up:
		n.mu.Unlock()
		panic(http.ErrAbortHandler)
	case o.FencingToken < n.token:
		status, reply["reason"] = http.StatusConflict, "fence"
	case r.URL.Path == "/run-start":
		if reason := n.startRun(o); reason != "" {
			status, reply["reason"] = http.StatusConflict, reason
		}
	case r.URL.Path == "/run-stop":
		n.token = o.FencingToken
		n.stopRun(o)
	case r.URL.Path == "/hold":
		n.token = o.FencingToken
		n.extend(o.UntilMS)
		n.lastHold = time.Now()
		if n.clockMS() < recordedHoldsMS {
			n.c.rec.add("minion %s, born %d: hold call with token %d and untilMs %d at %d ms of its clock", n.id, n.born.UnixMilli(), o.FencingToken, o.UntilMS, n.clockMS())
		}
		n.hold(o, reply)
	default:
		status = http.StatusNotFound
	}
	up := n.up
	reply["clockMs"], reply["born"] = n.clockMS(), n.born.UnixMilli()
	n.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply) // the caller may have gone
}

// startRun starts a run, or returns why it doesn't. The caller holds mu.
func (n *minion) startRun(o order) string {
	n.token = o.FencingToken
	id, number, ok := splitTask(o.Task)
	s, known := n.c.client.step(id, number)
	current := n.running[o.Task]
	switch {
	case !ok || !known:
		n.c.rec.add("minion %s: start of %s, which nobody sent", n.id, o.Task)
		return "old"
	case current != nil && current.number == o.Run:
		return ""
	case o.Run <= n.highest[o.Task]:
		n.extend(o.UntilMS)
		return "old"
	case o.UntilMS <= n.clockMS():
		return "late"
	}
	n.extend(o.UntilMS)
	used := s.CPU
	for _, other := range n.running {
		used += other.cpu
	}
	if used > minionCPU {
		return "room"
	}
	n.running[o.Task] = &run{o.Run, s.CPU, time.Now().Add(time.Duration(s.WorkMS) * time.Millisecond)}
	n.c.rec.add("minion %s: run %d of %s starts", n.id, o.Run, o.Task)
	return ""
}

// splitTask returns the job and the step of a task's name.
func splitTask(name string) (id string, number int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	number, err := strconv.Atoi(parts[2])
	return parts[0], number, err == nil
}

// stopRun stops a run. The caller holds mu.
func (n *minion) stopRun(o order) {
	n.highest[o.Task] = max(n.highest[o.Task], o.Run)
	if r := n.running[o.Task]; r != nil && r.number == o.Run {
		n.endRun(o.Task, r, "stopped")
	}
}

// extend extends the lease. The caller holds mu.
func (n *minion) extend(untilMS int64) {
	n.leaseMS = max(n.leaseMS, min(untilMS, n.clockMS()+n.c.maxHoldMS))
}

// hold waits for an end and fills in both lists. The caller holds mu.
func (n *minion) hold(o order, reply map[string]any) {
	var kept [][]any
	for _, e := range n.ended {
		if e[0].(int) > o.LastSeen {
			kept = append(kept, e)
		}
	}
	n.ended = kept
	for end := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond); n.up && len(n.ended) == 0 && time.Now().Before(end); {
		n.mu.Unlock()
		time.Sleep(pollInterval)
		n.mu.Lock()
	}
	running := [][]any{}
	for name, r := range n.running {
		running = append(running, []any{name, r.number, "", 100, r.cpu})
	}
	ended := n.ended
	if ended == nil {
		ended = [][]any{}
	}
	reply["running"], reply["ended"] = running, ended
}

// put sends a PUT and returns the status, zero without a response.
func put(client *http.Client, address, path string, body map[string]any) (int, []byte) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("heartbeat does not encode: ", err)) // all values can be encoded
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+address+path, strings.NewReader(string(data)))
	if err != nil {
		panic(err) // the address and the path are valid
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var buf [4096]byte
	read, _ := resp.Body.Read(buf[:]) // replies are short
	return resp.StatusCode, buf[:read]
}
