package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is all that a case needs.
type rig struct {
	rec     *recorder
	fleet   *fleet
	cloud   *cloud
	d       *deployment
	trouble bool
	rand    *rand.Rand
	version int
}

type scenario func(r *rig) (broken bool, err error)

var scenarios = map[string]scenario{
	"crashes": crashes,
	"relapse": relapse,
	"renamed": renamed,
	"givenup": givenUp,
	"silent":  silent,
}

const (
	host   = "jobs.example"
	apiKey = "k3v9m2x7q1w8e5r4t6y0"
	// minionCPU and minionMemory are a worker's.
	minionCPU, minionMemory = 16000, 32768
)

func main() { os.Exit(runScenario()) }

func runScenario() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 SCENARIO RECORD")
		return exitNotRun
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("SEED"); text != "" {
		if seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
	}
	r := &rig{rec: rec, trouble: os.Getenv("TROUBLE") != "0", rand: rand.New(rand.NewPCG(seed, 3))}
	rec.log("scenario %s, trouble %v, seed %d", os.Args[1], r.trouble, seed)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := scenarios[os.Args[1]](r)
	r.stop()
	switch {
	case err != nil:
		rec.log("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// stop ends all programs that were started.
func (r *rig) stop() {
	if r.d != nil {
		r.d.stop()
	}
}

// service is a pool of minions.
type service struct {
	name    string
	minions int
	guards  bool
}

// setUp starts the platform, the minions and the programs, and publishes a configuration.
func (r *rig) setUp(cores, fronts int, services ...service) (err error) {
	r.fleet = newFleet(r.rec, nil)
	if r.cloud, err = newCloud(r.fleet); err != nil {
		return err
	}
	if r.d, err = newDeployment(r.rec, r.cloud.address(), cores, fronts); err != nil {
		return err
	}
	for i := range cores {
		r.fleet.control = append(r.fleet.control, r.d.controlAddress(i))
	}
	for _, s := range services {
		for i := range s.minions {
			id := fmt.Sprintf("i-%s%02d", s.name, i)
			if _, err = r.fleet.add(id, s.name, fmt.Sprintf("z%d", 1+i%3), fmt.Sprintf("r-%d", i/4), "127.0.0.1", resources{minionCPU, minionMemory, 0}); err != nil {
				return err
			}
		}
	}
	if !r.publish(services, nil) {
		return fmt.Errorf("the configuration was not acknowledged")
	}
	time.Sleep(stateSteady)
	return nil
}

// publish publishes the next configuration, with one route for each service.
func (r *rig) publish(services []service, change func(c answer)) bool {
	r.version++
	routes, pools := []answer{}, []answer{}
	for _, s := range services {
		routes = append(routes, answer{
			"name": "r-" + s.name, "host": host, "pathPrefix": "/" + s.name + "/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 600,
			"priority": 1, "service": s.name, "maxAttempts": 4, "stretch": 1.6, "public": false,
		})
		pools = append(pools, answer{"name": s.name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "admissionCheck": s.guards, "spare": false})
	}
	c := answer{
		"version": r.version, "routes": routes, "services": pools,
		"limits":  answer{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []answer{{"name": "t1", "apiKeys": []string{apiKey}, "priority": 1, "weight": 50, "upperLimit": resources{}}},
	}
	if change != nil {
		change(c)
	}
	return r.d.control(http.MethodPut, "/configuration", c, 20*time.Second)
}

// client makes a call of a client: at one front after the other until one gives a clear
// answer. It returns the status of the last.
func (r *rig) client(method, path string, body any, limit time.Duration) (int, []byte) {
	deadline := time.Now().Add(limit)
	header := map[string]string{"Host": host, "Authorization": "Bearer " + apiKey, "Bergamotdrum-Deadline-Ms": "3000"}
	status, data := 0, []byte(nil)
	for i := 0; time.Now().Before(deadline); i++ {
		front := i % len(r.d.fronts)
		status, data = call(method, "http://"+r.d.frontAddress(front)+path, header, body, 3*time.Second)
		r.rec.log("client %s %s at %s: %d %.100s", method, path, r.d.fronts[front].name, status, data)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, data
}

// submit submits a job with one step and reports whether it was accepted.
func (r *rig) submit(path, id string, step answer, w work) bool {
	w.request = resources{CPU: step["cpu"].(int), Memory: step["requestedMemoryMb"].(int)}
	r.fleet.mu.Lock()
	r.fleet.works[id+".0"] = w
	r.fleet.mu.Unlock()
	status, _ := r.client(http.MethodPost, path+id, answer{"specification": "job " + id, "steps": []answer{step}}, 15*time.Second)
	return status/100 == 2
}

// state returns the state of a job as a client sees it, "" without an answer, "410" if it
// is said not to exist.
func (r *rig) state(path, id string) string {
	status, data := r.client(http.MethodGet, path+id, nil, 3*time.Second)
	if status == http.StatusGone {
		return "410"
	}
	for _, s := range []string{"queued", "running", "completed", "failed", "cancelled"} {
		if status == http.StatusOK && bytes.Contains(data, []byte(`"`+s+`"`)) {
			return s
		}
	}
	return ""
}
