package main

import (
	"net/http"
	"time"
)

// public: a configuration makes a route public while a job runs that was handed in with a
// key. Clients of a public route send no key.
func public(d *deployment, trouble bool) error {
	for range 3 {
		if _, err := d.addMinion("service-1", 16000); err != nil {
			return err
		}
	}
	const prefix = "/jobs/"
	routes := []route{{name: "route-1", prefix: prefix, service: "service-1", attempts: 4}}
	if err := d.up(configuration(1, routes, []string{"service-1"})); err != nil {
		return err
	}
	id, err := d.submit(prefix, &plan{
		job:  job{Specification: "one task", Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMS: 3000}}},
		work: func(taskID, int) time.Duration { return 8 * time.Second },
		end:  func(taskID, int) string { return "done" },
	})
	if err != nil {
		return err
	}
	key := apiKey
	if trouble {
		routes[0].public = true
		key = "none"
	}
	if err := d.order(http.MethodPut, "/configuration", configuration(2, routes, []string{"service-1"})); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for range 3 {
		status, text := d.state(prefix, id, key)
		d.w.logf("client: job %s is shown as %d %s", id, status, text)
		if status == http.StatusGone {
			d.w.mu.Lock()
			d.w.breakRule("LOST", "a GET for the accepted job %s is answered 410", id)
			d.w.mu.Unlock()
		}
		time.Sleep(2 * time.Second)
	}
	return nil
}
