package main

import (
	"fmt"
	"time"
)

const (
	crashedGang = 8
	gangWork    = 30 * time.Second
	crashGap    = 9 * time.Second
	crashOutage = 4500 * time.Millisecond
	crashCount  = 5
	crashLimit  = 85 * time.Second
)

// crashes has one minion of nine crash at a time, chosen at random of those that run a
// member, while a gang runs on eight of them. The gang saves its progress and never fails by itself. The rule is broken
// when the job, which nobody cancels, is shown as failed or cancelled, or isn't known.
func crashes(r *rig) (bool, error) {
	if err := r.setUp(5, 2, service{"s1", 9, true}); err != nil {
		return false, err
	}
	const id = "00c0ffee00c0ffee"
	step := answer{"count": crashedGang, "cpu": 9000, "requestedMemoryMb": 2048, "estimatedMs": 30000, "gang": true, "savesProgress": true}
	if !r.submit("/s1/", id, step, work{duration: gangWork, gang: crashedGang}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	begin := time.Now()
	next, crashed := begin.Add(5*time.Second), 0
	for time.Since(begin) < crashLimit {
		if r.trouble && crashed < crashCount && time.Now().After(next) {
			if m := r.busyMinion(); m != nil {
				m.crash()
				time.AfterFunc(crashOutage, func() { _ = m.begin() })
				crashed++
				next = next.Add(crashGap)
			}
		}
		state := r.state("/s1/", id)
		switch state {
		case "completed":
			return false, nil
		case "failed", "cancelled", "410":
			r.fleet.mu.Lock()
			defer r.fleet.mu.Unlock()
			for task, ends := range r.fleet.ends {
				r.rec.log("ends of %s: %v", task, ends)
				for _, how := range ends {
					if how == "failed" {
						return false, fmt.Errorf("a run ended failed")
					}
				}
			}
			r.rec.log("LOST: the job is shown as %s after %d crashes of single minions; no run of it ended failed", state, crashed)
			return true, nil
		}
		time.Sleep(700 * time.Millisecond)
	}
	return false, fmt.Errorf("the job neither completed nor failed")
}

// busyMinion returns a random minion that runs a task, nil if there is none.
func (r *rig) busyMinion() *minion {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	var busy []*minion
	for _, m := range r.fleet.minions {
		if m.up && len(m.runs) > 0 {
			busy = append(busy, m)
		}
	}
	if len(busy) == 0 {
		return nil
	}
	return busy[r.rand.IntN(len(busy))]
}
