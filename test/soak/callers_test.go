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
	// maxSubmits is how often a caller sends one submission before it gives up.
	maxSubmits = 4
)

var accounts = []string{"north", "south"}

// accountLimit is each client account's limit in thousandths of a CPU core. The
// accounts ask for more at times, so that the limit has an effect.
const accountLimit = 40_000

func poolName(pool int) string { return fmt.Sprint("pool-", pool) }

func pathPrefix(pool int) string { return fmt.Sprintf("/q%d/", pool) }

// configuration returns the body of PUT /configuration: the whole configuration
// under a version number.
func configuration(version uint64) []byte {
	var routes, services, tenants []map[string]any
	for i := range numPools {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r", i), "host": host, "pathPrefix": pathPrefix(i), "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 600, "priority": 0, "service": poolName(i), "maxAttempts": 4, "stretch": 1.6, "public": false,
		})
		services = append(services, map[string]any{"name": poolName(i), "admissionCheck": i != unguardedPool, "spare": false})
	}
	routes = append(routes, map[string]any{
		"name": "crowd", "host": host, "pathPrefix": crowdPrefix, "kind": "unsafe", "timeoutMs": 3000,
		"targetLatencyMs": 600, "priority": 0, "service": poolName(0), "maxAttempts": 4, "stretch": 1.6, "public": true,
	})
	services = append(services, map[string]any{"name": "spare", "admissionCheck": true, "spare": true})
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{
			"name": a, "apiKeys": []string{"key-of-" + a}, "priority": 1, "weight": 10,
			"upperLimit": map[string]int{"cpu": accountLimit, "requestedMemoryMb": 0, "gpu": 0},
		})
	}
	body, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "tenants": tenants})
	if err != nil {
		panic(err) // cannot happen: every value above can be encoded
	}
	return body
}

// caller submits jobs as a client account does. A goroutine per accepted job
// then follows it until the job ends or the cluster stops.
type caller struct {
	cluster  *cluster
	rand     *rand.Rand
	client   *http.Client
	number   int
	jobCount int
}

// newJob generates a random job and records it with the checker before it is
// sent, since a task may start before the submission is answered.
func (c *caller) newJob() (*jobRecord, []byte) {
	c.jobCount++
	j := &jobRecord{id: fmt.Sprintf("%04x%012x", c.number, c.jobCount), account: accounts[c.rand.IntN(len(accounts))], maxFailures: 4}
	j.specification = "work of " + j.id
	var steps []map[string]any
	for i := range 1 + c.rand.IntN(3) {
		count := 1 + c.rand.IntN(5)
		step := stepRecord{cpu: 1000, tasks: make([]taskRecord, count)}
		body := map[string]any{"count": count, "cpu": step.cpu, "requestedMemoryMb": taskMemory, "estimatedMs": 400}
		if i > 0 {
			step.after = []int{i - 1}
			body["after"] = step.after
		}
		j.steps = append(j.steps, step)
		steps = append(steps, body)
	}
	body, err := json.Marshal(map[string]any{"specification": j.specification, "steps": steps})
	if err != nil {
		panic(err) // cannot happen: every value above can be encoded
	}
	c.cluster.checker.mu.Lock()
	c.cluster.checker.jobs[j.id] = j
	c.cluster.checker.mu.Unlock()
	return j, body
}

// send sends a request about a job through a random front. The status is 0 when
// no response arrived.
func (c *caller) send(method string, j *jobRecord, pool int, body []byte) (int, []byte) {
	front := c.cluster.frontLinks[c.rand.IntN(len(c.cluster.frontLinks))]
	status, data, err := doRequest(c.client, method, "http://"+front.address()+pathPrefix(pool)+j.id, body,
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
		pool := c.rand.IntN(numPools)
		if j := c.submit(pool); j != nil {
			c.cluster.wg.Go(func() { c.cluster.followJob(j, pool) })
		}
	}
}

// submit sends a new job up to maxSubmits times until it is accepted. It returns
// nil for a job that was not; only when every attempt was answered with 429 or
// 503 is it certain that none of the job's tasks may start.
func (c *caller) submit(pool int) *jobRecord { return c.submitJob(pool, c.newJob) }

// submitJob does so with a job that newJob generates.
func (c *caller) submitJob(pool int, newJob func() (*jobRecord, []byte)) *jobRecord {
	j, body := newJob()
	refusals := 0
	for range maxSubmits {
		status, _ := c.send("POST", j, pool, body)
		switch status {
		case 200:
			c.cluster.checker.mu.Lock()
			j.accepted = true
			c.cluster.checker.mu.Unlock()
			if c.rand.IntN(4) == 0 {
				_, _ = c.send("POST", j, pool, body) // a duplicate submission of an accepted job
			}
			return j
		case 429, 503:
			refusals++
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.cluster.checker.mu.Lock()
	j.refused = refusals == maxSubmits
	c.cluster.checker.mu.Unlock()
	return nil
}

// followJob polls a job until it has ended, or cancels it with a chance of one in
// 15.
func (c *cluster) followJob(j *jobRecord, pool int) {
	follower := &caller{cluster: c, rand: rand.New(rand.NewPCG(uint64(len(j.id)), uint64(time.Now().UnixNano()))), client: newHTTPClient()}
	defer follower.client.CloseIdleConnections()
	cancel := follower.rand.IntN(15) == 0
	for {
		select {
		case <-c.stopAll:
			return
		case <-time.After(time.Duration(200+follower.rand.IntN(600)) * time.Millisecond):
		}
		if cancel {
			// The first attempt may take effect even if its response is lost, so
			// the job may be shown as cancelled from now on. The time lies in the
			// future, as the bound on later starts counts from a confirmed cancel.
			c.checker.mu.Lock()
			if j.canceledAt.IsZero() {
				j.canceledAt = time.Now().Add(time.Hour)
			}
			c.checker.mu.Unlock()
			status, _ := follower.send("DELETE", j, pool, nil)
			if status != 200 && status != 410 {
				continue
			}
			c.checker.mu.Lock()
			j.canceledAt = time.Now()
			c.checker.mu.Unlock()
			return
		}
		status, data := follower.send("GET", j, pool, nil)
		var body struct{ State string }
		_ = json.Unmarshal(data, &body) // an invalid body leaves the state empty
		c.checker.checkJobState(j.id, status, body.State)
		if body.State == "completed" || body.State == "failed" || status == 410 {
			return
		}
	}
}
