package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// isolated: two minions are lost for good while each runs the one task of a job. All other
// minions run one long task each and have room for 15 more like the lost one.
func isolated(d *deployment, trouble bool) error {
	for range 9 {
		if _, err := d.addMinion("service-1", 16000); err != nil {
			return err
		}
	}
	const prefix = "/jobs/"
	if err := d.up(configuration(1, []route{{name: "route-1", prefix: prefix, service: "service-1", attempts: 4}}, []string{"service-1"})); err != nil {
		return err
	}
	long := &plan{
		job:  job{Specification: "long tasks", Steps: []step{{Count: 9, CPU: 1000, MemoryMB: 256, EstimatedMS: 60000, MaxPerMinion: 1}}},
		work: func(taskID, int) time.Duration { return 60 * time.Second },
		end:  func(taskID, int) string { return "done" },
	}
	if _, err := d.submit(prefix, long); err != nil {
		return err
	}
	time.Sleep(time.Second)
	work := 3 * time.Second
	id, err := d.submit(prefix, &plan{
		job:  job{Specification: "one task", Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMS: 3000}}},
		work: func(taskID, int) time.Duration { return work },
		end:  func(taskID, int) string { return "done" },
	})
	if err != nil {
		return err
	}
	lost, lastRun := 0, time.Now()
	for until := time.Now().Add(45 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		running := d.w.runningNow(id)
		if len(running) > 0 {
			lastRun = time.Now()
		}
		if _, done := d.w.begun(id, "done"); done > 0 {
			d.w.logf("job %s is done", id)
			return nil
		}
		if !trouble || lost == 2 || len(running) == 0 || time.Since(running[0].started) < 800*time.Millisecond {
			continue
		}
		lost++
		running[0].minion.crash()
	}
	status, text := d.state(prefix, id, apiKey)
	d.w.logf("client: job %s is shown as %d %s", id, status, text)
	if status != http.StatusOK || !strings.Contains(text, "running") && !strings.Contains(text, "queued") {
		return fmt.Errorf("the job ended otherwise")
	}
	idle := time.Since(lastRun)
	used := len(d.minions) - lost
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	d.w.logLocked("%d minions are sound, each runs one task of 1000 in 16000", used)
	if idle > 3*time.Second {
		d.w.breakRule("LOST", "job %s has had nothing running for %.0f s, with room for it on each of %d sound minions", id, idle.Seconds(), used)
	}
	return nil
}
