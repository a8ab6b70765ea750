package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator publishes configurations, takes zones out and starts maintenance
// waves at random, while it reads the configuration back all the time.
type operator struct {
	cluster      *cluster
	rand         *rand.Rand
	client       *http.Client
	sentVersion  uint64
	lastWave     uint64
	ackedVersion uint64
}

// send repeats a request until it succeeds, is refused, or the time limit is over.
// It reports whether the request succeeded. 408 and 429 are retried; any other
// 4xx status is a violation, as the operator sends valid requests only.
func (o *operator) send(method, path string, body []byte, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		link := o.cluster.controlLinks[o.rand.IntN(len(o.cluster.controlLinks))]
		status, data, err := doRequest(o.client, method, "http://"+link.address()+path, body, nil)
		if err == nil && status == 200 {
			return true
		}
		if err == nil && status >= 400 && status < 500 && status != 408 && status != 429 {
			o.cluster.checker.addViolation("operator: %s %s was refused with %d %s", method, path, status, data)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// publishConfig publishes a configuration with a higher version number.
func (o *operator) publishConfig() {
	o.sentVersion += 1 + o.rand.Uint64N(5)
	version := o.sentVersion
	if !o.send("PUT", "/configuration", configuration(version), 10*time.Second) {
		return
	}
	o.cluster.checker.mu.Lock()
	o.ackedVersion = max(o.ackedVersion, version)
	o.cluster.checker.mu.Unlock()
}

// takeZoneOut takes a random zone out and returns it to service after d.
func (o *operator) takeZoneOut(d time.Duration) {
	zone := zones[o.rand.IntN(len(zones))]
	if o.send("POST", "/evacuation/"+zone, nil, 5*time.Second) {
		o.cluster.checker.mu.Lock()
		o.cluster.checker.zoneOutSince[zone] = time.Now()
		o.cluster.checker.mu.Unlock()
	}
	time.Sleep(d)
	o.cluster.checker.mu.Lock()
	delete(o.cluster.checker.zoneOutSince, zone)
	o.cluster.checker.mu.Unlock()
	o.send("DELETE", "/evacuation/"+zone, nil, 20*time.Second)
}

// startWave starts a maintenance wave over three random machines.
func (o *operator) startWave() {
	o.lastWave++
	machines := o.rand.Perm(len(o.cluster.minions))[:3]
	names := make([]string, len(machines))
	for i, n := range machines {
		names[i] = machineName(n)
	}
	limit := 1 + o.rand.IntN(2)
	o.cluster.provider.addWave(o.lastWave, machines, limit)
	body, err := json.Marshal(map[string]any{"wave": o.lastWave, "machines": names, "durationS": 15, "upperLimit": limit})
	if err != nil {
		panic(err) // cannot happen: every value above can be encoded
	}
	o.send("POST", "/wave-start", body, 5*time.Second)
}

func (o *operator) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+o.rand.IntN(2000)) * time.Millisecond):
		}
		switch o.rand.IntN(8) {
		case 0:
			o.takeZoneOut(time.Duration(o.rand.IntN(6000)) * time.Millisecond)
		case 1:
			o.startWave()
		default:
			o.publishConfig()
		}
	}
}

// readLoop reads the configuration from one replica after the other and checks
// that no replica returns an older version than one that was acknowledged before
// the read.
func (o *operator) readLoop(stop <-chan struct{}) {
	client := newHTTPClient()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if _, err := o.readVersion(client, i%len(o.cluster.controlLinks)); err != nil {
			o.cluster.checker.addViolation("%v", err)
		}
	}
}

// readVersion returns the version of the configuration that a replica returns, 0
// if it does not answer with one. The error says that the version is too old or
// the body invalid.
func (o *operator) readVersion(client *http.Client, replica int) (uint64, error) {
	o.cluster.checker.mu.Lock()
	acked := o.ackedVersion
	o.cluster.checker.mu.Unlock()
	link := o.cluster.controlLinks[replica]
	status, data, err := doRequest(client, "GET", "http://"+link.address()+"/configuration", nil, nil)
	if err != nil || status != 200 {
		return 0, nil
	}
	var body struct{ Version uint64 }
	if err := json.Unmarshal(data, &body); err != nil {
		return 0, fmt.Errorf("configuration read from core-%d does not decode: %w", replica, err)
	}
	if body.Version < acked {
		return 0, fmt.Errorf("core-%d returns version %d, %d was acknowledged before", replica, body.Version, acked)
	}
	return body.Version, nil
}
