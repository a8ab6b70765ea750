package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator changes the configuration, takes zones out, asks for waves, and
// reads the configuration back all the time.
type operator struct {
	s       *site
	rand    *rand.Rand
	http    *http.Client
	version uint64
	waves   uint64
	acked   uint64
}

// order sends one order until it has a clear answer or the time is over.
func (o *operator) order(method, path string, body []byte, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		link := o.s.controlLinks[o.rand.IntN(len(o.s.controlLinks))]
		status, data, err := call(o.http, method, "http://"+link.address()+path, body, nil)
		if err == nil && status == 200 {
			return true
		}
		if err == nil && status >= 400 && status < 500 && status != 408 && status != 429 {
			o.s.t.wrong("operator: %s %s was refused with %d %s", method, path, status, data)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (o *operator) change() {
	o.version += 1 + o.rand.Uint64N(5)
	version := o.version
	if !o.order("PUT", "/configuration", configuration(version), 10*time.Second) {
		return
	}
	o.s.t.mu.Lock()
	o.acked = max(o.acked, version)
	o.s.t.mu.Unlock()
}

// evacuate takes a zone out for a while.
func (o *operator) evacuate(d time.Duration) {
	zone := zones[o.rand.IntN(len(zones))]
	if o.order("POST", "/evacuation/"+zone, nil, 5*time.Second) {
		o.s.t.mu.Lock()
		o.s.t.zoneOut[zone] = time.Now()
		o.s.t.mu.Unlock()
	}
	time.Sleep(d)
	o.s.t.mu.Lock()
	delete(o.s.t.zoneOut, zone)
	o.s.t.mu.Unlock()
	o.order("DELETE", "/evacuation/"+zone, nil, 20*time.Second)
}

// wave asks for services of some machines.
func (o *operator) wave() {
	o.waves++
	machines := o.rand.Perm(len(o.s.minions))[:3]
	names := make([]string, len(machines))
	for i, n := range machines {
		names[i] = machineName(n)
	}
	limit := 1 + o.rand.IntN(2)
	o.s.cloud.addWave(o.waves, machines, limit)
	body, err := json.Marshal(map[string]any{"wave": o.waves, "machines": names, "durationS": 15, "upperLimit": limit})
	if err != nil {
		panic(err) // the value is made above
	}
	o.order("POST", "/wave-start", body, 5*time.Second)
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
			o.evacuate(time.Duration(o.rand.IntN(6000)) * time.Millisecond)
		case 1:
			o.wave()
		default:
			o.change()
		}
	}
}

// read checks that no replica returns a configuration older than one that was
// acknowledged before the read.
func (o *operator) read(stop <-chan struct{}) {
	client := newHTTP()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if _, err := o.readOnce(client, i%len(o.s.controlLinks)); err != nil {
			o.s.t.wrong("%v", err)
		}
	}
}

// readOnce returns the version that a replica gives out, zero for none.
func (o *operator) readOnce(client *http.Client, replica int) (uint64, error) {
	o.s.t.mu.Lock()
	acked := o.acked
	o.s.t.mu.Unlock()
	link := o.s.controlLinks[replica]
	status, data, err := call(client, "GET", "http://"+link.address()+"/configuration", nil, nil)
	if err != nil || status != 200 {
		return 0, nil
	}
	var body struct{ Version uint64 }
	if err := json.Unmarshal(data, &body); err != nil {
		return 0, fmt.Errorf("configuration read from core-%d does not decode: %w", replica, err)
	}
	if body.Version < acked {
		return 0, fmt.Errorf("core-%d gives out version %d, %d was acknowledged before", replica, body.Version, acked)
	}
	return body.Version, nil
}
