package main

import (
	"fmt"
	"time"
)

func init() { cases["lease"] = leaseOutlives }

const (
	// minAge is the age of the term and of the minion from which on the case goes on.
	minAge = 16 * time.Second
	// downTime is how long the minion's machine is silent, counted from the arrival of a
	// hold call, and firstBeat how long after its start the minion sends its first
	// heartbeat, of which it sends one about every 1.5 s.
	downTime, firstBeat = 1150 * time.Millisecond, 600 * time.Millisecond
	// cutTime is the for_s of a node_cut of servers on foulee-sahel.
	cutTime  = 5500 * time.Millisecond
	maxTries = 4
	// settleTime is how long the leader has to take the minion up again.
	settleTime = 700 * time.Millisecond
)

// leaseOutlives has a minion crash silently and start again under its id, and cuts it off
// when the next task has started there. The task must not start elsewhere while it runs.
func leaseOutlives(c *cluster, trouble bool) (bool, error) {
	m := c.cloud.machines[numMachines-1] // the only one of its rack
	time.Sleep(time.Until(c.rec.start.Add(minAge)))
	for try := range maxTries {
		if trouble {
			c.afterHold(m)
			c.cloud.loseContact(m, downTime, firstBeat)
			time.Sleep(firstBeat + settleTime)
			c.rec.add("minion %s: its lease ends %d ms from now", m.minion.id, c.cloud.minionOf(m).leaseLeftMS())
		}
		j := job{fmt.Sprintf("%016x", 0x300+try), []step{{Count: 1, CPU: 1000, MemoryMB: 256, EstimatedMS: 8000, Affinity: m.rack, WorkMS: 8000}}}
		if err := c.client.submit(j, 10*time.Second); err != nil {
			return false, err
		}
		started := false
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && !started; time.Sleep(20 * time.Millisecond) {
			started = c.cloud.minionOf(m).runs(j)
		}
		if !started {
			c.rec.add("the job doesn't run on %s", m.id)
			continue
		}
		if trouble {
			c.rec.add("%s is cut off", m.id)
			m.link.cut()
		}
		broken := c.runsTwice(j, cutTime)
		if trouble {
			m.link.join()
			c.rec.add("%s is in contact again", m.id)
		}
		if broken || !trouble {
			return broken, nil
		}
		time.Sleep(minAge) // the minion's clock has to go on
	}
	return false, nil
}

// afterHold returns shortly after a hold call has arrived at a machine.
func (c *cluster) afterHold(m *machine) {
	n := c.cloud.minionOf(m)
	last := n.holdArrivedAt()
	for !n.holdArrivedAt().After(last) {
		time.Sleep(pollInterval)
	}
}

// runsTwice reports whether two minions run the job's only task at the same time.
func (c *cluster) runsTwice(j job, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		var on []string
		for _, n := range c.cloud.minions() {
			if n.runs(j) {
				on = append(on, n.id)
			}
		}
		if len(on) > 1 {
			c.rec.add("the task of job %s runs on %v at the same time", j.id, on)
			return true
		}
	}
	return false
}

func (n *minion) holdArrivedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastHold
}

func (n *minion) leaseLeftMS() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaseMS - n.clockMS()
}
