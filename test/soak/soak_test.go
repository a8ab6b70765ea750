package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

var (
	seedFlag    = flag.Uint64("soak.seed", 0, "first seed; 0 runs the short seeded run of CI")
	seedsFlag   = flag.Int("soak.seeds", 1, "number of seeds, one after the other")
	minutesFlag = flag.Float64("soak.minutes", 0.5, "duration of the faults of each seed")
	keepFlag    = flag.String("soak.keep", "", "folder that keeps logs and data of the runs")
)

// crowdSeed is a seed of CI with a crowd of clients that nobody controls.
const crowdSeed = 552

// hasCrowd reports whether a run has such a crowd.
func hasCrowd(seed uint64) bool { return seed%3 == 0 }

// regressions are seeds that once revealed a bug of the platform, each with its
// cause. CI runs them.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{2, "a machine was down for one wave while another wave, which also contained the machine, had as many machines down as its limit allows"},
	{115, "a delayed start order reached the next incarnation of a minion that had been without contact, after its runs were released with its lease; the leader knew that incarnation and did not stop the run there"},
}

const (
	// ciFaultDuration is how long faults are injected in a run of CI.
	ciFaultDuration = 12 * time.Second
	// formTimeout bounds the time until the control group has formed and accepts the
	// first configuration.
	formTimeout = 30 * time.Second
	// jobsEndTimeout is how long the jobs that have not ended may take after the
	// last fault. It is several times the sum of the longest lease, an election and
	// the work itself.
	jobsEndTimeout = 45 * time.Second
)

// Guards against violated guarantees under faults from outside: tasks that run
// twice, in the wrong order, without a job, beyond a limit, beyond a capacity that has
// shrunk, or again and again although they crash their minions; jobs that are lost
// or shown in a wrong state; configurations that revert; waves that take down more
// machines than their limit; processes that take more memory than their machine has.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "bergamot-platform")
	if out, err := exec.Command("go", "build", "-o", binary, "bergamotdrum.example/bergamotdrum/cmd/bergamot-platform").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	if *seedFlag == 0 {
		for _, r := range regressions {
			t.Run(fmt.Sprint("seed=", r.seed), func(t *testing.T) { runSeed(t, binary, r.seed, ciFaultDuration) })
		}
		t.Run(fmt.Sprint("crowd/seed=", crowdSeed), func(t *testing.T) { runSeed(t, binary, crowdSeed, ciFaultDuration) })
		return
	}
	for i := range *seedsFlag {
		seed := *seedFlag + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			runSeed(t, binary, seed, time.Duration(*minutesFlag*float64(time.Minute)))
		})
	}
}

// runFolder returns an empty folder for the logs and data of a run: a temporary
// one, or a folder in -soak.keep.
func runFolder(t *testing.T, seed uint64) string {
	if *keepFlag == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*keepFlag, fmt.Sprint("seed-", seed))
	// The data of an earlier run names the addresses of that run's processes, which
	// this run does not use.
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// runSeed injects faults for the duration into a new cluster under load and checks
// the outcome. The seed fixes the random decisions, not the timing of the
// processes.
func runSeed(t *testing.T, binary string, seed uint64, duration time.Duration) {
	dir := runFolder(t, seed)
	c, err := newCluster(dir, binary)
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	random := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	for _, a := range accounts {
		c.checker.cpuLimits[a] = accountLimit
	}
	o := &operator{cluster: c, rand: random(1), client: newHTTPClient(), sentVersion: 1}
	if !o.send("PUT", "/configuration", configuration(1), formTimeout) {
		t.Fatal("the control group did not form in time")
	}
	o.ackedVersion = 1
	if err := c.clearFirstStart(); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { o.run(stop) })
	work.Go(func() { o.readLoop(stop) })
	for i := range 4 {
		cl := &caller{cluster: c, rand: random(uint64(10 + i)), client: newHTTPClient(), number: i}
		work.Go(func() { cl.run(stop) })
	}
	if hasCrowd(seed) {
		uncontrolled := &crowd{cluster: c, rand: random(3), client: newHTTPClient()}
		work.Go(func() { uncontrolled.run(stop) })
	}
	f := &faultInjector{cluster: c, rand: random(2), affected: map[*proc]bool{}, log: t.Logf}
	work.Go(func() { f.run(stop, f.platformFaults()) })
	c.injectMinionFaults(random, stop, &work, t.Logf)
	time.Sleep(duration)
	close(stop)
	work.Wait()
	c.check(t, o)
}

// check ends the link faults, waits until all accepted jobs have ended, reads the
// configuration back and fails the test with the violations of the run.
func (c *cluster) check(t *testing.T, o *operator) {
	for _, l := range c.allLinks() {
		l.setFault(linkHealthy, 0)
		l.reset()
	}
	deadline := time.Now().Add(jobsEndTimeout)
	for len(c.checker.openJobs()) > 0 && time.Now().Before(deadline) {
		time.Sleep(100 * time.Millisecond)
	}
	if open := c.checker.openJobs(); len(open) > 0 {
		c.checker.addViolation("%d accepted jobs have not ended: %s", len(open), strings.Join(open, " "))
	}
	read := uint64(0)
	for read == 0 && time.Now().Before(deadline) {
		for i := range c.controlLinks {
			version, err := o.readVersion(o.client, i)
			if err != nil {
				c.checker.addViolation("%v", err)
			}
			read = max(read, version)
		}
	}
	c.checkWaves(o)
	c.checkMemory()
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	if read < o.ackedVersion || read > o.sentVersion {
		c.checker.addViolationLocked("configuration %d is read back; acknowledged %d, sent %d", read, o.ackedVersion, o.sentVersion)
	}
	accepted := 0
	for _, j := range c.checker.jobs {
		if j.accepted {
			accepted++
		}
	}
	t.Logf("%d jobs, %d accepted, %d starts, configuration %d, %d waves", len(c.checker.jobs), accepted, c.checker.starts, read, o.lastWave)
	t.Log(c.checker.deadlySummaryLocked())
	if c.checker.starts == 0 {
		t.Error("no run was started")
	}
	for _, v := range slices.Compact(c.checker.violations) {
		t.Error(v)
	}
}

// checkWaves requests the state of each wave once. It ignores failed requests, as
// a replica without a leader does not answer.
func (c *cluster) checkWaves(o *operator) {
	for n := uint64(1); n <= o.lastWave; n++ {
		link := c.controlLinks[int(n)%len(c.controlLinks)]
		status, data, err := doRequest(o.client, "GET", fmt.Sprintf("http://%s/wave-get/%d", link.address(), n), nil, nil)
		if err == nil && status == 200 && strings.Contains(string(data), "completed") && c.provider.countUnmaintained(n) > 0 {
			c.checker.addViolation("wave %d is shown as completed although %d machines were not maintained", n, c.provider.countUnmaintained(n))
		}
	}
}
