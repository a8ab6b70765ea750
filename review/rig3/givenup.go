package main

import (
	"fmt"
	"time"
)

const (
	givenUpTasks  = 6
	givenUpCrash  = 6
	shortOutage   = 500 * time.Millisecond
	youngRun      = 250 * time.Millisecond
	givenUpLimit  = 70 * time.Second
	observedAfter = 3 * time.Second
)

// givenUp has minions crash, one of nine at a time, soon after a task that lasts was started
// there again. The rule is broken when the system stops more tasks of the step than may be
// missed, on sound minions and while nobody has cancelled the job.
func givenUp(r *rig) (bool, error) {
	if err := r.setUp(5, 2, service{"s1", 9, true}); err != nil {
		return false, err
	}
	const id = "5eed5eed5eed5eed"
	step := answer{"count": givenUpTasks, "cpu": 2000, "requestedMemoryMb": 1024, "estimatedMs": 1000, "longRunning": true, "antiAffinity": 1, "mayMiss": 1}
	if !r.submit("/s1/", id, step, work{}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	for begin := time.Now(); len(r.fleet.atWork(id)) < givenUpTasks; time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			return false, fmt.Errorf("the tasks did not start")
		}
	}
	begin, crashed := time.Now(), 0
	var failedAt time.Time
	for time.Since(begin) < givenUpLimit && (failedAt.IsZero() || time.Since(failedAt) < observedAfter) {
		if r.trouble && crashed < givenUpCrash {
			if m := r.fleet.startedLately(id+".0.0.0", crashed == 0); m != nil {
				m.crash()
				time.AfterFunc(shortOutage, func() { _ = m.begin() })
				crashed++
			}
		}
		if !r.trouble && time.Since(begin) > 20*time.Second {
			break
		}
		time.Sleep(20 * time.Millisecond)
		if failedAt.IsZero() && crashed > 3 && time.Since(begin).Milliseconds()%500 < 25 && r.state("/s1/", id) == "failed" {
			failedAt = time.Now()
		}
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	stopped := 0
	for i := range givenUpTasks {
		for _, how := range r.fleet.ends[fmt.Sprintf("%s.0.0.%d", id, i)] {
			if how == "stopped" {
				stopped++
			}
		}
	}
	r.rec.log("%d crashes; %d tasks were stopped on sound minions, 1 may be missed; shown as failed: %v", crashed, stopped, !failedAt.IsZero())
	return stopped > 1, nil
}

// startedLately returns the minion on which a run of the task began to work lately, or runs
// at all with any set.
func (f *fleet) startedLately(task string, anyAge bool) *minion {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		if run := m.runs[task]; m.up && run != nil && !run.began.IsZero() && (anyAge || time.Since(run.began) < youngRun) {
			return m
		}
	}
	return nil
}
