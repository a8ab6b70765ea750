package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	waitingJobs = 6
	// visibleTime is visible_ms and the 2 s that the rule adds, with a margin.
	visibleTime = visibleMS*time.Millisecond + 3*time.Second
)

// renamed fills all minions, submits jobs that wait, and changes the configuration: the next
// version lacks the route and has one of another name at the same host and prefix. The rule is broken when the queue then gives as waiting under half of the jobs.
func renamed(r *rig) (bool, error) {
	services := []service{{"s1", 3, true}}
	if err := r.setUp(5, 2, services...); err != nil {
		return false, err
	}
	step := answer{"count": 3, "cpu": minionCPU, "requestedMemoryMb": 1024, "estimatedMs": 1000, "longRunning": true}
	if !r.submit("/s1/", "f111f111f111f111", step, work{}) {
		return false, fmt.Errorf("the first job was not accepted")
	}
	time.Sleep(2 * time.Second)
	step["count"] = 1
	for i := range waitingJobs {
		if !r.submit("/s1/", waitingID(i), step, work{}) {
			return false, fmt.Errorf("a job was not accepted")
		}
	}
	if r.trouble {
		again := func(c answer) { c["routes"].([]answer)[0]["name"] = "r-s1-again" }
		if !r.publish(services, again) {
			return false, fmt.Errorf("the configuration was not acknowledged")
		}
	}
	time.Sleep(visibleTime)
	queued := 0
	for i := range waitingJobs {
		if r.state("/s1/", waitingID(i)) == "queued" {
			queued++
		}
	}
	status, data := r.client(http.MethodGet, "/s1/", nil, 5*time.Second)
	var queue struct{ Waiting int }
	if status != http.StatusOK || json.Unmarshal(data, &queue) != nil {
		return false, fmt.Errorf("the queue answered %d", status)
	}
	if queued < waitingJobs || len(r.fleet.atWork(waitingID(0)[:8])) > 0 {
		return false, fmt.Errorf("%d jobs wait", queued)
	}
	if 2*queue.Waiting < queued {
		r.rec.log("MIXED: %d jobs of the queue are shown as queued, and the queue gives %d as waiting", queued, queue.Waiting)
		return true, nil
	}
	return false, nil
}

func waitingID(i int) string { return fmt.Sprintf("aaaa0000%08x", i) }
