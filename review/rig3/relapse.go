package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	relapseTasks = 9
	relapseRack  = "r-0"
	// outage is for how long the rack is without power the first time.
	outage = 1500 * time.Millisecond
	// leaderDies is how long after the minions' return the leader is lost: a little after the
	// time for which a minion that has returned and fallen silent is waited for.
	leaderDies = 10700 * time.Millisecond
	// settleTime is how long nothing is disturbed before the check begins, and checkTime how
	// long that lasts.
	settleTime = 12 * time.Second
	checkTime  = 15 * time.Second
)

// relapse has a rack of four minions lose power, come back with the minions under their
// identifiers, and be lost for good after their first heartbeats. Some seconds later the
// leader is killed. Five minions are sound all the while. The rule is broken when a task
// that lasts, of a job that nobody cancels, doesn't run again.
func relapse(r *rig) (bool, error) {
	const id = "0ddba110ddba11aa"
	if err := r.startLasting(id); err != nil {
		return false, err
	}
	if r.trouble {
		if err := r.loseRackAndLeader(); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	missing := map[string]bool{}
	for i := range relapseTasks {
		missing[fmt.Sprintf("%s.0.0.%d", id, i)] = true
	}
	for begin := time.Now(); time.Since(begin) < checkTime; time.Sleep(50 * time.Millisecond) {
		for _, task := range r.fleet.atWork(id) {
			delete(missing, task)
		}
	}
	state := r.state("/s1/", id)
	for task := range missing {
		r.rec.log("LOST: %s has not run for %v although five minions have room; the job is shown as %s", task, checkTime, state)
	}
	return len(missing) > 0, nil
}

// startLasting starts the deployment and a job whose nine tasks last, and waits until they
// have been at work for some seconds.
func (r *rig) startLasting(id string) error {
	if err := r.setUp(5, 2, service{"s1", 9, true}); err != nil {
		return err
	}
	step := answer{"count": relapseTasks, "cpu": 2000, "requestedMemoryMb": 1024, "estimatedMs": 1000, "longRunning": true, "antiAffinity": 3}
	if !r.submit("/s1/", id, step, work{}) {
		return fmt.Errorf("the job was not accepted")
	}
	for begin := time.Now(); len(r.fleet.atWork(id)) < relapseTasks; time.Sleep(50 * time.Millisecond) {
		if time.Since(begin) > 10*time.Second {
			return fmt.Errorf("the tasks did not start")
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// loseRackAndLeader disturbs the deployment, see relapse.
func (r *rig) loseRackAndLeader() error {
	var rack []*minion
	for _, m := range r.fleet.minions {
		if m.rack == relapseRack {
			rack = append(rack, m)
			m.losePower()
		}
	}
	time.Sleep(outage)
	var back []<-chan struct{}
	for _, m := range rack {
		back = append(back, m.returnBriefly())
	}
	late := time.After(5 * time.Second)
	for _, b := range back {
		select {
		case <-b:
		case <-late:
			return fmt.Errorf("a minion's heartbeat was not acknowledged")
		}
	}
	returned := time.Now()
	leader := r.d.leader()
	if leader == nil {
		return fmt.Errorf("no core leads")
	}
	time.Sleep(time.Until(returned.Add(leaderDies)))
	r.d.kill(leader)
	time.Sleep(2 * time.Second)
	return r.d.start(leader, false)
}

// atWork returns the tasks of a job that run on minions that are up.
func (f *fleet) atWork(id string) (out []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		for task := range m.runs {
			if m.up && task[:len(id)] == id {
				out = append(out, task)
			}
		}
	}
	return out
}

// losePower ends the minion with its machine: calls to it hang.
func (m *minion) losePower() {
	m.f.mu.Lock()
	defer m.f.mu.Unlock()
	m.dark, m.up = true, false
	for _, r := range m.sortedRuns() {
		m.f.rec.log("minion %s loses power with run %s#%d", m.id, r.task, r.number)
		m.leaveGang(r)
	}
	m.runs = map[string]*run{}
}

// returnBriefly starts the next life of the minion. Its machine is lost for good once the
// first heartbeat is acknowledged, before it answers a call. The channel is closed then.
func (m *minion) returnBriefly() <-chan struct{} {
	m.f.mu.Lock()
	m.life++
	m.started, m.born, m.sequence = time.Now(), time.Now().UnixMilli(), 1
	body := m.heartbeat()
	m.f.mu.Unlock()
	m.f.rec.log("minion %s starts life %d (born %d)", m.id, m.life, m.born)
	done := make(chan struct{})
	go func() {
		for i := 0; ; i++ {
			to := m.f.control[i%len(m.f.control)]
			status, _ := call(http.MethodPut, "http://"+to+"/instances/"+m.id, nil, body, time.Second)
			m.f.rec.log("minion %s: heartbeat to %s: %d", m.id, to, status)
			if status/100 == 2 {
				m.f.rec.log("minion %s loses power for good", m.id)
				close(done)
				return
			}
		}
	}()
	return done
}

// leader returns the core that says that it leads, nil if none does.
func (d *deployment) leader() *process {
	for _, p := range d.cores {
		if p.cmd == nil {
			continue
		}
		var dump struct {
			Replica struct{ LeaderAddress string } `json:"replica"`
		}
		status, body := call(http.MethodGet, fmt.Sprintf("http://%s:7001/debug/state", p.ip), nil, nil, time.Second)
		if status != http.StatusOK || json.Unmarshal(body, &dump) != nil {
			continue
		}
		if host, _, err := net.SplitHostPort(dump.Replica.LeaderAddress); err == nil && host == p.ip {
			return p
		}
	}
	return nil
}
