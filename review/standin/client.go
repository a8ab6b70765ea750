package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	callerHost = "jobs.example"
	prefix     = "/alpha/"
	service    = "alpha"
	spareName  = "spare"
	// tenantKey is a key of the tenant under test, otherKey one of the other tenant.
	tenantKey = "key-of-tenant-1"
	otherKey  = "key-of-tenant-2"
	// operatorTimeout is how long an operator waits for a response until it calls
	// another node.
	operatorTimeout = time.Second
	callerTimeout   = 3 * time.Second
	retryPause      = 200 * time.Millisecond
	// lastingMS is longer than any case.
	lastingMS = 3_600_000
)

// route, tenantEntry and configuration are the parts of a configuration that the cases
// change.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Stretch         float64 `json:"stretch"`
	Public          bool    `json:"public"`
}

type configuration struct {
	Version int
	Routes  []route
	// LimitCPU is the tenant's upperLimit in thousandths of a core.
	LimitCPU int
}

func baseConfiguration() configuration {
	return configuration{Version: 1, LimitCPU: 200_000, Routes: []route{{
		Name: "r-1", Host: callerHost, PathPrefix: prefix, Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 600,
		Service: service, MaxAttempts: 4, Stretch: 1.6,
	}}}
}

func (c configuration) encode() []byte {
	type m = map[string]any
	data, err := json.Marshal(m{
		"version": c.Version, "routes": c.Routes,
		"services": []m{
			{"name": service, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "admissionCheck": true, "spare": false},
			{"name": spareName, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "admissionCheck": true, "spare": true},
		},
		"limits": m{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []m{
			{"name": "tenant-1", "apiKeys": []string{tenantKey}, "priority": 1, "weight": 10, "upperLimit": m{"cpu": c.LimitCPU, "requestedMemoryMb": 0, "gpu": 0}},
			{"name": "tenant-2", "apiKeys": []string{otherKey}, "priority": 1, "weight": 10, "upperLimit": m{"cpu": 0, "requestedMemoryMb": 0, "gpu": 0}},
		},
	})
	if err != nil {
		panic(err) // every value above can be encoded
	}
	return data
}

// step is a step of a job. WorkMS is how long its tasks take; minions know it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemoryMB     int    `json:"requestedMemoryMb"`
	EstimatedMS  int    `json:"estimatedMs"`
	After        []int  `json:"after,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	WorkMS       int    `json:"-"`
}

type job struct {
	id    string
	steps []step
}

// oneTask returns a job with one task.
func oneTask(id string, cpu, workMS int) job {
	return job{id, []step{{Count: 1, CPU: cpu, MemoryMB: 256, EstimatedMS: workMS, WorkMS: workMS}}}
}

// lastingJob returns a job with a task that lasts on each minion, so that no machine is
// idle and moved to the spare pool.
func lastingJob() job {
	return job{"00000000000000bb", []step{{
		Count: numMachines, CPU: 500, MemoryMB: 256, EstimatedMS: 1000, AntiAffinity: 1, LongRunning: true, WorkMS: lastingMS,
	}}}
}

// client stands in for the tenant's clients and for the operator.
type client struct {
	c    *cluster
	http *http.Client
	mu   sync.Mutex
	jobs map[string]job
}

func newClient(c *cluster) *client {
	return &client{c: c, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}, jobs: map[string]job{}}
}

// step returns a step of a job that was sent.
func (cl *client) step(id string, number int) (step, bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	j, ok := cl.jobs[id]
	if !ok || number >= len(j.steps) {
		return step{}, false
	}
	return j.steps[number], true
}

// call sends one request and records it with its response. A status of zero means that
// there was no response.
func (cl *client) call(method, address, path, host, key string, body []byte, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the addresses and paths are valid
	}
	req.Header.Set("Content-Type", "application/json")
	if host != "" {
		req.Host = host
		req.Header.Set("Bergamotdrum-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	h := *cl.http
	h.Timeout = timeout
	resp, err := h.Do(req)
	if err != nil {
		cl.c.rec.add("%s %s at %s: no response (%v)", method, path, address, errors.Unwrap(err))
		return 0, nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body) // a broken body fails to decode
	cl.c.rec.add("%s %s at %s: %d %.120s", method, path, address, resp.StatusCode, bytes.TrimSpace(data))
	return resp.StatusCode, data
}

// operator sends an order of the operator, to one node after the other, until it is
// acknowledged.
func (cl *client) operator(method, path string, body []byte, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(retryPause) {
		address := net.JoinHostPort(cl.c.host(firstCore+rand.IntN(numCores)), controlPort)
		if status, _ := cl.call(method, address, path, "", "", body, operatorTimeout); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

// caller sends a call of a client to a front that is chosen at random.
func (cl *client) caller(method, path, key string, body []byte) (int, []byte) {
	address := net.JoinHostPort(cl.c.host(firstFront+rand.IntN(numFronts)), frontPort)
	return cl.call(method, address, path, callerHost, key, body, callerTimeout)
}

// submit hands a job of the tenant under test in until it is accepted.
func (cl *client) submit(j job, limit time.Duration) error { return cl.submitAs(tenantKey, j, limit) }

func (cl *client) submitAs(key string, j job, limit time.Duration) error {
	cl.mu.Lock()
	cl.jobs[j.id] = j
	cl.mu.Unlock()
	body, err := json.Marshal(map[string]any{"specification": "work of " + j.id, "steps": j.steps})
	if err != nil {
		return err
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(retryPause) {
		if status, _ := cl.caller("POST", prefix+j.id, key, body); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// state asks for the state of a job. It is empty without a 200.
func (cl *client) state(j job, key string) (status int, state string) {
	status, data := cl.caller("GET", prefix+j.id, key, nil)
	var body struct{ State string }
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return status, ""
	}
	return status, body.State
}

// await waits until a job has a state.
func (cl *client) await(j job, want string, limit time.Duration) error {
	last := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, last = cl.state(j, tenantKey); last == want {
			return nil
		}
	}
	return fmt.Errorf("job %s is %q, not %q", j.id, last, want)
}
