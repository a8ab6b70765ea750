package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// crash: a job of one task runs while minions crash, one at a time. No run of the job ends
// as failed.
func crash(d *deployment, trouble bool) error {
	for range 9 {
		if _, err := d.addMinion("service-1", 16000); err != nil {
			return err
		}
	}
	const prefix = "/jobs/"
	if err := d.up(configuration(1, []route{{name: "route-1", prefix: prefix, service: "service-1", attempts: 4}}, []string{"service-1"})); err != nil {
		return err
	}
	p := &plan{
		job:  job{Specification: "one task", Steps: []step{{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMS: 3000}}},
		work: func(taskID, int) time.Duration { return 3 * time.Second },
		end:  func(taskID, int) string { return "done" },
	}
	id, err := d.submit(prefix, p)
	if err != nil {
		return err
	}
	crashes := 0
	deadline := time.Now().Add(60 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(500 * time.Millisecond)
		status, text := d.state(prefix, id, apiKey)
		if status == http.StatusOK && (strings.Contains(text, "completed") || strings.Contains(text, "failed")) {
			d.w.logf("client: job %s is shown as %s", id, text)
			_, failed := d.w.begun(id, "failed")
			if strings.Contains(text, "failed") && failed < 4 {
				d.w.mu.Lock()
				d.w.breakRule("LOST", "job %s is shown as failed after %d ends as failed; maxAttempts is 4", id, failed)
				d.w.mu.Unlock()
			}
			return nil
		}
		if !trouble || crashes == 3 {
			continue
		}
		for _, e := range d.w.runningNow(id) {
			if time.Since(e.started) < 800*time.Millisecond {
				continue
			}
			crashes++
			m := e.minion
			m.crash()
			go func() {
				time.Sleep(4500 * time.Millisecond)
				if err := m.reopen("i-" + randomHex(5)); err != nil {
					d.w.logf("%s stays away: %v", m.name, err)
				}
			}()
		}
	}
	return errors.New("the job didn't end in time")
}
