package main

import (
	"time"
)

// foreign: a heartbeat of another writer names a service that no configuration has. It
// carries the ids of minions that are sound and go on with their own heartbeats.
func foreign(d *deployment, trouble bool) error {
	for i := range 10 {
		service := "service-1"
		if i >= 7 {
			service = "service-2"
		}
		if _, err := d.addMinion(service, 16000); err != nil {
			return err
		}
	}
	const prefix = "/jobs/"
	routes := []route{{name: "route-1", prefix: prefix, service: "service-2", attempts: 4}}
	if err := d.up(configuration(1, routes, []string{"service-1", "service-2"})); err != nil {
		return err
	}
	if trouble {
		for _, m := range d.minions[7:] {
			acked := m.beat(d.controls[0], "service-of-another-writer", 1000)
			m.mu.Lock()
			m.seq--
			m.mu.Unlock()
			d.w.logf("another writer's heartbeat under the id of %s, acknowledged: %v", m.name, acked)
		}
	}
	time.Sleep(4 * time.Second) // the minions' own heartbeats hold
	id, err := d.submit(prefix, &plan{
		job:  job{Specification: "one task", Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMS: 500}}},
		work: func(taskID, int) time.Duration { return 500 * time.Millisecond },
		end:  func(taskID, int) string { return "done" },
	})
	if err != nil {
		return err
	}
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if _, done := d.w.begun(id, "done"); done > 0 {
			d.w.logf("job %s is done", id)
			return nil
		}
	}
	_, text := d.state(prefix, id, apiKey)
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	d.w.breakRule("LOST", "job %s has nothing running for 30 s (it is shown as %s) though three sound minions of its service are empty", id, text)
	return nil
}
