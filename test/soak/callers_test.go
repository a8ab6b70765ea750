package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	host = "jobs.example"
	// tries bounds the sends of one submission.
	tries = 4
)

var accounts = []string{"north", "south"}

// accountLimit is in thousandths of a core; both accounts together ask for more
// at times.
const accountLimit = 40_000

func prefixOf(pool int) string { return fmt.Sprintf("/q%d/", pool) }

// configuration is a version of the operator's whole configuration.
func configuration(version uint64) []byte {
	var routes, services, tenants []map[string]any
	for i := range pools {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r", i), "host": host, "pathPrefix": prefixOf(i), "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": fmt.Sprint("pool-", i), "maxAttempts": 4, "stretch": 1.6, "public": false,
		})
		services = append(services, map[string]any{"name": fmt.Sprint("pool-", i), "admissionCheck": true, "spare": false})
	}
	services = append(services, map[string]any{"name": "spare", "admissionCheck": true, "spare": true})
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{
			"name": a, "apiKeys": []string{"key-of-" + a}, "priority": 1, "weight": 10,
			"upperLimit": map[string]int{"cpu": accountLimit, "requestedMemoryMb": 0, "gpu": 0},
		})
	}
	body, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants})
	if err != nil {
		panic(err) // the value is made above
	}
	return body
}

// caller submits jobs and follows them until the site stops.
type caller struct {
	s      *site
	rand   *rand.Rand
	http   *http.Client
	number int
	jobs   int
}

// newJob draws a job and notes it before it is sent.
func (c *caller) newJob() (*jobTruth, []byte) {
	c.jobs++
	j := &jobTruth{id: fmt.Sprintf("%04x%012x", c.number, c.jobs), account: accounts[c.rand.IntN(len(accounts))], maxFailures: 4}
	j.specification = "work of " + j.id
	var steps []map[string]any
	for i := range 1 + c.rand.IntN(3) {
		count := 1 + c.rand.IntN(5)
		step := stepTruth{cpu: 1000, tasks: make([]taskTruth, count)}
		body := map[string]any{"count": count, "cpu": step.cpu, "requestedMemoryMb": 100, "estimatedMs": 400}
		if i > 0 {
			step.after = []int{i - 1}
			body["after"] = step.after
		}
		j.steps = append(j.steps, step)
		steps = append(steps, body)
	}
	body, err := json.Marshal(map[string]any{"specification": j.specification, "steps": steps})
	if err != nil {
		panic(err) // the value is made above
	}
	c.s.t.mu.Lock()
	c.s.t.jobs[j.id] = j
	c.s.t.mu.Unlock()
	return j, body
}

func (c *caller) send(method string, j *jobTruth, pool int, body []byte) (int, []byte) {
	front := c.s.frontLinks[c.rand.IntN(len(c.s.frontLinks))]
	status, data, err := call(c.http, method, "http://"+front.address()+prefixOf(pool)+j.id, body,
		map[string]string{"Host": host, "Authorization": "Bearer key-of-" + j.account, "Bergamotdrum-Deadline-Ms": "2000"})
	if err != nil {
		return 0, nil
	}
	return status, data
}

func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+c.rand.IntN(400)) * time.Millisecond):
		}
		pool := c.rand.IntN(pools)
		if j := c.submit(pool); j != nil {
			c.s.wg.Go(func() { c.s.follow(j, pool) })
		}
	}
}

// submit sends a job until it is accepted; nil when it was not.
func (c *caller) submit(pool int) *jobTruth {
	j, body := c.newJob()
	refusals := 0
	for range tries {
		status, _ := c.send("POST", j, pool, body)
		switch status {
		case 200:
			c.s.t.mu.Lock()
			j.accepted = true
			c.s.t.mu.Unlock()
			if c.rand.IntN(4) == 0 {
				_, _ = c.send("POST", j, pool, body) // a late resend of an accepted job
			}
			return j
		case 429, 503:
			refusals++
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.s.t.mu.Lock()
	j.refused = refusals == tries
	c.s.t.mu.Unlock()
	return nil
}

// follow asks for a job until it has ended, and cancels some.
func (s *site) follow(j *jobTruth, pool int) {
	c := &caller{s: s, rand: rand.New(rand.NewPCG(uint64(len(j.id)), uint64(time.Now().UnixNano()))), http: newHTTP()}
	defer c.http.CloseIdleConnections()
	cancel := c.rand.IntN(15) == 0
	for {
		select {
		case <-s.stopAll:
			return
		case <-time.After(time.Duration(200+c.rand.IntN(600)) * time.Millisecond):
		}
		if cancel {
			// From the first send on the job may be shown as cancelled.
			s.t.mu.Lock()
			if j.canceled.IsZero() {
				j.canceled = time.Now().Add(time.Hour)
			}
			s.t.mu.Unlock()
			status, _ := c.send("DELETE", j, pool, nil)
			if status != 200 && status != 410 {
				continue
			}
			s.t.mu.Lock()
			j.canceled = time.Now()
			s.t.mu.Unlock()
			return
		}
		status, data := c.send("GET", j, pool, nil)
		var body struct{ State string }
		_ = json.Unmarshal(data, &body) // a broken answer has no state
		s.t.state(j.id, status, body.State)
		if body.State == "completed" || body.State == "failed" || status == 410 {
			return
		}
	}
}
