package main

import (
	"fmt"
	"time"
)

const (
	// unwatchedTime is for how long after its last run a task may have none, and watchedTime
	// how long it may have none after that.
	unwatchedTime = 6 * time.Second
	watchedTime   = 3 * time.Second
	silentLimit   = 25 * time.Second
)

// silent has one minion of nine, with two of nine tasks that last, lose power, start again
// under its identifier 1.5 s later, and be lost for good after its first heartbeat. The rule
// is broken when one of its tasks has no run for the 3 s that begin 6 s after its last one.
func silent(r *rig) (bool, error) {
	const id = "51e47a5c51e47a5c"
	if err := r.startLasting(id); err != nil {
		return false, err
	}
	if !r.trouble {
		time.Sleep(unwatchedTime + watchedTime)
		return len(r.fleet.atWork(id)) < relapseTasks, nil
	}
	x := r.busyMinion()
	if x == nil {
		return false, fmt.Errorf("no minion is at work")
	}
	before := map[string]bool{}
	for _, task := range r.fleet.atWork(id) {
		before[task] = true
	}
	x.losePower()
	lost := time.Now()
	for _, task := range r.fleet.atWork(id) {
		delete(before, task)
	}
	time.Sleep(outage)
	select {
	case <-x.returnBriefly():
	case <-time.After(5 * time.Second):
		return false, fmt.Errorf("the heartbeat was not acknowledged")
	}
	if time.Since(lost) > outage+400*time.Millisecond {
		return false, fmt.Errorf("the heartbeat was acknowledged too late")
	}
	broken := false
	for time.Since(lost) < silentLimit && len(before) > 0 {
		for _, task := range r.fleet.atWork(id) {
			if before[task] {
				r.rec.log("%s runs again %.1f s after its last run", task, time.Since(lost).Seconds())
				delete(before, task)
			}
		}
		if !broken && len(before) > 0 && time.Since(lost) > unwatchedTime+watchedTime+100*time.Millisecond {
			r.rec.log("LOST: %v have had no run for %v, from %v after their last one, although eight minions have room", before, watchedTime, unwatchedTime)
			broken = true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return broken, nil
}
