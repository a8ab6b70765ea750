package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

func init() {
	cases["crashes"] = crashes
	cases["quota"] = quota
	cases["wave"] = waveEntry
	cases["heartbeat"] = foreignHeartbeats
	cases["public"] = publicRoute
	cases["evacuation"] = evacuation
}

// crashes crashes the minion that runs a job's only task three times, one at a time. The
// task ends done by itself, and no run of it ends failed.
func crashes(c *cluster, trouble bool) (bool, error) {
	j := oneTask("00000000000000c1", 4000, 9000)
	if err := c.client.submit(j, 10*time.Second); err != nil {
		return false, err
	}
	crashed := 0
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		status, state := c.client.state(j, tenantKey)
		switch {
		case state == "completed":
			return false, nil
		case state == "failed" || state == "cancelled" || status == http.StatusGone:
			return true, nil
		}
		for _, n := range c.cloud.minions() {
			if trouble && crashed < 3 && n.runs(j) {
				time.Sleep(2 * time.Second)
				crashed++
				c.cloud.crash(n, 3*time.Second)
			}
		}
	}
	return false, fmt.Errorf("the job has not ended")
}

// quota lowers the limit of a job's tenant below what one task of the job's second step
// takes, while the first step runs. Beyond its limit a tenant may run one task more.
func quota(c *cluster, trouble bool) (bool, error) {
	j := job{"00000000000000c2", []step{
		{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMS: 3000, WorkMS: 3000},
		{Count: 1, CPU: 4000, MemoryMB: 256, EstimatedMS: 1000, WorkMS: 1000, After: []int{0}},
	}}
	if err := c.client.submit(j, 10*time.Second); err != nil {
		return false, err
	}
	if trouble {
		next := baseConfiguration()
		next.Version, next.LimitCPU = 2, 3000
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

// waveEntry lists one machine of a wave in a state that the protocol doesn't name, for
// three seconds at the start of the wave.
func waveEntry(c *cluster, trouble bool) (bool, error) {
	const number, machine = 1, "m-3"
	machines := []string{"m-1", "m-2", machine}
	c.cloud.addWave(number, machines)
	if trouble {
		c.cloud.setStrange(machine)
	}
	body, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "durationS": 30, "upperLimit": 1})
	if err != nil {
		return false, err
	}
	if err := c.client.operator("POST", "/wave-start", body, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c.cloud.setStrange("")
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		address := net.JoinHostPort(c.host(firstCore), controlPort)
		status, data := c.client.call("GET", address, fmt.Sprint("/wave-get/", number), "", "", nil, operatorTimeout)
		var reply struct{ State string }
		if status != http.StatusOK || json.Unmarshal(data, &reply) != nil || reply.State != "completed" {
			continue
		}
		broken := false
		for _, id := range machines {
			begun := c.cloud.upkeepBegun(number, id)
			c.rec.add("cloud: upkeep of %s has begun: %t", id, begun)
			broken = broken || !begun
		}
		return broken, nil
	}
	return false, fmt.Errorf("the wave is not completed")
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

// publicRoute replaces the route of an accepted job by a public one with the same host
// and prefix. Calls on a public route carry no key.
func publicRoute(c *cluster, trouble bool) (bool, error) {
	j := oneTask("00000000000000c5", 1000, 8000)
	if err := c.client.submit(j, 10*time.Second); err != nil {
		return false, err
	}
	key := tenantKey
	if trouble {
		next := baseConfiguration()
		next.Version, next.Routes[0].Name, next.Routes[0].Public = 2, "r-2", true
		if err := c.client.operator("PUT", "/configuration", next.encode(), 10*time.Second); err != nil {
			return false, err
		}
		key = ""
	}
	// visible_ms is 3 s, configurationApplyMs 2 s.
	time.Sleep(4 * time.Second)
	for range 8 {
		if status, _ := c.client.state(j, key); status == http.StatusGone {
			return true, nil
		}
		time.Sleep(time.Second)
	}
	return false, nil
}
