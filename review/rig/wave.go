package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// wave: a machine is added, and 0.1 s later a wave names it and three others.
func wave(d *deployment, trouble bool) error {
	var machines []*machine
	for range 9 {
		m, err := d.addMinion("service-1", 16000)
		if err != nil {
			return err
		}
		machines = append(machines, d.platform.add(m))
	}
	var added *machine
	add := func() error {
		m, err := d.addMinion("service-1", 16000)
		if err != nil {
			return err
		}
		added = d.platform.add(m)
		return nil
	}
	if !trouble {
		if err := add(); err != nil {
			return err
		}
	}
	routes := []route{{name: "route-1", prefix: "/jobs/", service: "service-1", attempts: 4}}
	if err := d.up(configuration(1, routes, []string{"service-1"})); err != nil {
		return err
	}
	if err := d.awaitList(); err != nil {
		return err
	}
	if trouble {
		if err := add(); err != nil {
			return err
		}
	}
	time.Sleep(100 * time.Millisecond)
	names := []string{machines[0].id, machines[1].id, machines[2].id, added.id}
	if err := d.order(http.MethodPost, "/wave-start", map[string]any{"wave": 1, "machines": names, "durationS": 26, "upperLimit": 1}); err != nil {
		return err
	}
	d.w.logf("wave 1 names %v, one at a time", names)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		status, text, err := d.call(http.MethodGet, "http://"+d.controls[0]+"/wave-get/1", "", nil, time.Second)
		if err != nil || status != http.StatusOK || !strings.Contains(text, "completed") {
			continue
		}
		d.w.logf("operator: wave 1 is said to be %s", text)
		d.platform.mu.Lock()
		begun := added.upkept
		d.platform.mu.Unlock()
		if !begun {
			d.w.mu.Lock()
			d.w.breakRule("MIXED", "wave 1 is said to be completed, and %s hasn't begun its upkeep", added.id)
			d.w.mu.Unlock()
		}
		time.Sleep(8 * time.Second) // it doesn't begin later either
		return nil
	}
	return errors.New("the wave wasn't completed in time")
}

// awaitList waits until the list of machines has just been read.
func (d *deployment) awaitList() error {
	select {
	case <-d.platform.listed: // of an earlier reading
	default:
	}
	select {
	case <-d.platform.listed:
		return nil
	case <-time.After(20 * time.Second):
		return errors.New("the list of machines isn't read")
	}
}
