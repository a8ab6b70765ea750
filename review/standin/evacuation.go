package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	evacuated = "zone-a"
	// freezeTime is how long a core machine stands still.
	freezeTime = 1100 * time.Millisecond
	// Bounds of the small sites: evacuationMs, maxStretchMs and contactMs.
	evacuationTime, maxStretch, contactTime = 5 * time.Second, 5 * time.Second, 3 * time.Second
	maxRounds                               = 20
)

// evacuation withdraws the evacuation of a zone and orders it again while a core machine
// stands still that the operator called first. It repeats that until work starts in the
// zone, and then checks whether that goes on after the bound.
func evacuation(c *cluster, trouble bool) (bool, error) {
	for round := range maxRounds {
		ackedAt, thawedAt, err := c.changeEvacuation(round%numCores, trouble)
		if err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
		starts, err := c.startsInZone(0x100 + round)
		if err != nil {
			return false, err
		}
		if starts == 0 {
			continue
		}
		c.rec.add("round %d: %d tasks start in the zone; waiting until the bound has passed", round, starts)
		time.Sleep(time.Until(ackedAt.Add(evacuationTime + maxStretch + time.Second)))
		time.Sleep(time.Until(thawedAt.Add(contactTime + time.Second)))
		starts, err = c.startsInZone(0x200 + round)
		c.rec.add("%d tasks start in the zone %.1f s after its evacuation was acknowledged", starts, time.Since(ackedAt).Seconds())
		return starts > 0, err
	}
	return false, nil
}

// changeEvacuation has the operator order an evacuation, withdraw it and order it again.
// With trouble, the machine that it calls first for the second order stands still. It
// returns when the last order was acknowledged and when the machine went on.
func (c *cluster) changeEvacuation(core int, trouble bool) (ackedAt, thawedAt time.Time, err error) {
	path := "/evacuation/" + evacuated
	first, next := net.JoinHostPort(c.host(firstCore+core), controlPort), net.JoinHostPort(c.host(firstCore+(core+1)%numCores), controlPort)
	send := func(method, address string) error {
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(retryPause) {
			if status, _ := c.client.call(method, address, path, "", "", nil, operatorTimeout); status == http.StatusOK {
				return nil
			}
		}
		return fmt.Errorf("%s %s was not acknowledged", method, path)
	}
	if err = send(http.MethodPost, next); err != nil {
		return ackedAt, thawedAt, err
	}
	frozenAt := time.Now()
	if trouble {
		c.rec.add("%s stands still", c.procs[core].name)
		_ = c.procs[core].cmd.Process.Signal(syscall.SIGSTOP) // it runs until the end of the case
	}
	if status, _ := c.client.call(http.MethodDelete, first, path, "", "", nil, operatorTimeout); status != http.StatusOK {
		err = send(http.MethodDelete, next)
	}
	if err == nil {
		err = send(http.MethodPost, next)
	}
	ackedAt = time.Now()
	if trouble {
		time.Sleep(time.Until(frozenAt.Add(freezeTime)))
		_ = c.procs[core].cmd.Process.Signal(syscall.SIGCONT) // as above
		c.rec.add("%s goes on", c.procs[core].name)
	}
	return ackedAt, time.Now(), err
}

// startsInZone hands in a job with one task for each minion, and returns how many of them
// start in the evacuated zone.
func (c *cluster) startsInZone(number int) (int, error) {
	j := job{fmt.Sprintf("%016x", number), []step{{Count: numMachines, CPU: 1000, MemoryMB: 256, EstimatedMS: 800, AntiAffinity: 1, WorkMS: 800}}}
	if err := c.client.submit(j, 10*time.Second); err != nil {
		return 0, err
	}
	seen := map[string]bool{}
	for end := time.Now().Add(600 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, n := range c.cloud.minions() {
			if n.machine.zone == evacuated && n.runs(j) {
				seen[n.id] = true
			}
		}
	}
	return len(seen), nil
}
