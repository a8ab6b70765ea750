package main

import (
	"time"
)

// foreign: heartbeats of another writer name a service that no configuration has. They carry
// the ids of minions that are sound, run a job and go on with their own heartbeats.
func foreign(d *deployment, trouble bool) error {
	const own = 3 // minions of the job's service
	for i := range 10 {
		service := "service-1"
		if i >= 10-own {
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
	id, err := d.submit(prefix, &plan{
		job:  job{Specification: "a task on each", Steps: []step{{Count: own, CPU: 1000, MemoryMB: 256, EstimatedMS: 5000, MaxPerMinion: 1}}},
		work: func(taskID, int) time.Duration { return 5 * time.Second },
		end:  func(taskID, int) string { return "done" },
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		for _, m := range d.minions[10-own:] {
			acked := m.foreignBeat(d.controls[0])
			d.w.logf("heartbeat of another writer under the id of %s, acknowledged: %v", m.name, acked)
		}
	}
	idle := time.Now()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if len(d.w.runningNow(id)) > 0 {
			idle = time.Now()
		}
		if _, done := d.w.begun(id, "done"); done == own {
			d.w.logf("all tasks of job %s are done", id)
			return nil
		}
	}
	_, text := d.state(prefix, id, apiKey)
	_, stopped := d.w.begun(id, "stopped")
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	d.w.breakRule("LOST", "job %s, of which %d runs were stopped, has had nothing running for %.0f s (it is shown as %s), while the %d minions of its service are sound and empty",
		id, stopped, time.Since(idle).Seconds(), text, own)
	return nil
}
