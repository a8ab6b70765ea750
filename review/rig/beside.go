package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// beside: one minion is lost for good that runs many small jobs. All others are nearly
// empty and have room for all of these jobs.
func beside(d *deployment, trouble bool) error {
	const minions, jobs, cpu, work = 9, 70, 200, 40 * time.Second
	for range minions {
		if _, err := d.addMinion("service-1", 16000); err != nil {
			return err
		}
	}
	const prefix = "/jobs/"
	if err := d.up(configuration(1, []route{{name: "route-1", prefix: prefix, service: "service-1", attempts: 4}}, []string{"service-1"})); err != nil {
		return err
	}
	var ids []string
	for range jobs {
		id, err := d.submit(prefix, &plan{
			job:  job{Specification: "one task", Steps: []step{{Count: 1, CPU: cpu, MemoryMB: 64, EstimatedMS: 40000}}},
			work: func(taskID, int) time.Duration { return work },
			end:  func(taskID, int) string { return "done" },
		})
		if err != nil {
			return err
		}
		ids = append(ids, id)
	}
	end := time.Now()
	time.Sleep(2 * time.Second)
	if trouble {
		if err := d.crashBusiest(ids); err != nil {
			return err
		}
	}
	lastRun := map[string]time.Time{}
	for _, id := range ids {
		lastRun[id] = time.Now()
	}
	for time.Since(end) < 35*time.Second {
		time.Sleep(200 * time.Millisecond)
		for _, id := range ids {
			if len(d.w.runningNow(id)) > 0 {
				lastRun[id] = time.Now()
			}
		}
	}
	var idle []string
	for _, id := range ids {
		if _, done := d.w.begun(id, "done"); done == 0 && time.Since(lastRun[id]) > 3*time.Second {
			idle = append(idle, id)
		}
	}
	running := len(ids) - len(idle)
	d.w.logf("%d s after the last job was handed in, %d of %d jobs have nothing running; %d run, on %d minions of 16000", int(time.Since(end).Seconds()), len(idle), len(ids), running, minions-1)
	if len(idle) == 0 {
		return nil
	}
	status, text := d.state(prefix, idle[0], apiKey)
	if status != http.StatusOK || !strings.Contains(text, "running") && !strings.Contains(text, "queued") {
		return fmt.Errorf("job %s is shown as %d %s", idle[0], status, text)
	}
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	d.w.breakRule("LOST", "%d jobs have had nothing running for %.0f s (the first is shown as %s), while %d of %d thousandths of a core are in use",
		len(idle), time.Since(lastRun[idle[0]]).Seconds(), text, running*cpu, (minions-1)*16000)
	return nil
}

// crashBusiest ends the minion that runs the most of the jobs.
func (d *deployment) crashBusiest(ids []string) error {
	runs := map[*minion]int{}
	var busiest *minion
	for _, id := range ids {
		for _, e := range d.w.runningNow(id) {
			runs[e.minion]++
			if busiest == nil || runs[e.minion] > runs[busiest] {
				busiest = e.minion
			}
		}
	}
	if busiest == nil {
		return errors.New("no job runs")
	}
	d.w.logf("%s runs %d of the jobs", busiest.name, runs[busiest])
	busiest.crash()
	return nil
}
