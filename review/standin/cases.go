package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() {
	cases["quota"] = quota
	cases["heartbeat"] = foreignHeartbeats
	cases["evacuation"] = evacuation
}

// quota lowers the limit of a tenant that runs a task which lasts, of 2 cores, to 5 cores,
// while the first step of a job of the tenant runs. The second step takes 4 cores. Beyond
// its limit a tenant may run one task more, and it has under half of the limit.
func quota(c *cluster, trouble bool) (bool, error) {
	lasting := job{"00000000000000d2", []step{{Count: 1, CPU: 2000, MemoryMB: 256, EstimatedMS: 1000, LongRunning: true, WorkMS: lastingMS}}}
	j := job{"00000000000000c2", []step{
		{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMS: 3000, WorkMS: 3000},
		{Count: 1, CPU: 4000, MemoryMB: 256, EstimatedMS: 1000, WorkMS: 1000, After: []int{0}},
	}}
	if err := c.client.submit(lasting, 10*time.Second); err != nil {
		return false, err
	}
	if err := c.client.await(lasting, "running", 10*time.Second); err != nil {
		return false, err
	}
	if err := c.client.submit(j, 10*time.Second); err != nil {
		return false, err
	}
	if trouble {
		next := baseConfiguration()
		next.Version, next.LimitCPU = 2, 5000
		if err := c.client.operator("PUT", "/configuration", next.encode(), 10*time.Second); err != nil {
			return false, err
		}
	}
	return c.neverRuns(j, 30*time.Second)
}

// neverRuns reports whether a job isn't completed within a time although nothing else
// runs.
func (c *cluster) neverRuns(j job, limit time.Duration) (bool, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if _, state := c.client.state(j, tenantKey); state == "completed" {
			return false, nil
		}
	}
	for _, n := range c.cloud.minions() {
		c.rec.add("minion %s runs a task of the job: %t", n.id, n.runs(j))
		if n.runs(j) {
			return false, fmt.Errorf("the job runs still")
		}
	}
	return true, nil
}

// foreignHeartbeats sends one heartbeat of another writer under the id of each minion.
// It names a service that no configuration has.
func foreignHeartbeats(c *cluster, trouble bool) (bool, error) {
	if trouble {
		client := &http.Client{Timeout: operatorTimeout}
		for _, n := range c.cloud.minions() {
			id, body := n.heartbeat()
			body["service"], body["version"], body["sequence"] = "omega", "v9", 1000
			address := net.JoinHostPort(c.host(firstCore), controlPort)
			status, data := put(client, address, "/instances/"+id, body)
			c.rec.add("another writer: PUT /instances/%s with service omega: %d %s", id, status, data)
		}
	}
	// The minions' own heartbeats go on.
	time.Sleep(4 * time.Second)
	j := oneTask("00000000000000c4", 1000, 1000)
	if err := c.client.submit(j, 10*time.Second); err != nil {
		return false, err
	}
	return c.neverRuns(j, 30*time.Second)
}
