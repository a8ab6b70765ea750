package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

const (
	// deadlyDelay is how long a minion runs a deadly task until it crashes.
	deadlyDelay = 10 * time.Millisecond
	// deadlyWork is the length of a deadly task; no run of it lasts that long.
	deadlyWork = time.Hour
	// A minion that a deadly task crashed is back after minDeadlyOutage to
	// maxDeadlyOutage: before the end of the lease (2 s) or after that of the longest
	// one (maxLease).
	minDeadlyOutage = 200 * time.Millisecond
	maxDeadlyOutage = 6 * time.Second
	// contactTime is the platform's contactMs. A rule that holds for machines in touch
	// holds once there has been no fault for that long.
	contactTime = 3 * time.Second
	// A task may be given up after crashesToGiveUp minions have crashed under it. After
	// budgetCrashes crashes, the budgetStarts-th further start breaks the rule BUDGET.
	crashesToGiveUp = 2
	budgetCrashes   = 3
	budgetStarts    = 3
	// maxDeadlyJobs is the largest number of jobs with a deadly task in a series.
	maxDeadlyJobs = 2
	// deadlyMark stands in a specification before the step and the index of the deadly
	// task.
	deadlyMark = "; deadly task "
	coreRole   = "core"
)

// deadlyTask names the task of a job that crashes each minion that starts it.
type deadlyTask struct{ step, index int }

// deadlyFault draws how long the minions that crash under deadly tasks are away, and
// whether they come back under a new id.
type deadlyFault struct {
	mu     sync.Mutex
	rand   *rand.Rand
	log    func(format string, args ...any)
	newIDs int
}

// injectMinionFaults starts the goroutines that submit deadly jobs and shrink
// minions until stop is closed. They have random numbers of their own, so that the
// other faults of a seed stay the same.
func (c *cluster) injectMinionFaults(random func(uint64) *rand.Rand, stop <-chan struct{}, work *sync.WaitGroup, log func(string, ...any)) {
	c.deadly.mu.Lock()
	c.deadly.rand, c.deadly.log = random(20), log
	c.deadly.mu.Unlock()
	cl := &caller{cluster: c, rand: random(21), client: newHTTPClient(), number: 0xdead}
	work.Go(func() { cl.runDeadly(stop) })
	f := &faultInjector{cluster: c, rand: random(22), affected: map[*proc]bool{}, log: log}
	work.Go(func() { f.run(stop, []func(){f.shrinkMinions}) })
}

// runDeadly submits series of jobs that have one deadly task each until stop is
// closed.
func (c *caller) runDeadly(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1000+c.rand.IntN(6000)) * time.Millisecond):
		}
		for range 1 + c.rand.IntN(maxDeadlyJobs) {
			pool := c.rand.IntN(numPools)
			if j := c.submitJob(pool, c.newDeadlyJob); j != nil {
				c.cluster.wg.Go(func() { c.cluster.followJob(j, pool) })
			}
		}
	}
}

// newDeadlyJob generates a random job, chooses a deadly task and marks it in the
// specification.
func (c *caller) newDeadlyJob() (*jobRecord, []byte) {
	j, body := c.newJob()
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		panic(err) // cannot happen: newJob encoded it
	}
	c.cluster.checker.mu.Lock()
	defer c.cluster.checker.mu.Unlock()
	j.deadly = &deadlyTask{step: c.rand.IntN(len(j.steps))}
	j.deadly.index = c.rand.IntN(len(j.steps[j.deadly.step].tasks))
	j.specification += fmt.Sprintf("%s%d.%d", deadlyMark, j.deadly.step, j.deadly.index)
	fields["specification"] = j.specification
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // cannot happen: it was decoded above
	}
	return j, body
}

// isDeadly reports whether the specification marks the task as deadly.
func isDeadly(specification string, key taskKey) bool {
	_, mark, found := strings.Cut(specification, deadlyMark)
	return found && mark == fmt.Sprintf("%d.%d", key.step, key.index)
}

// startDeadly lets a run that was just started crash the minion if its task is
// deadly. The caller holds mu.
func (m *minion) startDeadly(key taskKey, name string, run int, specification string) {
	if !isDeadly(specification, key) {
		return
	}
	m.running[name].endsAt = time.Now().Add(deadlyWork)
	m.checker.deadlyStarted(key, run, m.id, m.inTouch())
	time.AfterFunc(deadlyDelay, func() { m.crashUnder(name, run) })
}

// crashUnder crashes minion i with all of its runs if the given one is active, and
// starts the minion again later at the same address, under the same or a new id.
func (c *cluster) crashUnder(i int, name string, run int) {
	m := c.minions[i]
	c.provider.mu.Lock()
	defer c.provider.mu.Unlock()
	c.deadly.mu.Lock()
	defer c.deadly.mu.Unlock()
	m.mu.Lock()
	current := m.running[name]
	active, id := m.up && current != nil && current.run == run, m.id
	m.mu.Unlock()
	if !active || c.provider.state[i] != "" || c.deadly.log == nil {
		return
	}
	outage := minDeadlyOutage + time.Duration(c.deadly.rand.Int64N(int64(maxDeadlyOutage-minDeadlyOutage)))
	if c.deadly.rand.IntN(2) == 0 {
		c.deadly.newIDs++
		id = fmt.Sprintf("i-%d-%d", i, c.deadly.newIDs)
	}
	c.deadly.log("deadly task %s run %d crashes %s, back as %s in %v", name, run, m.id, id, outage)
	c.provider.state[i] = "down"
	m.crash(endCrashedByTask)
	time.AfterFunc(outage, func() {
		c.provider.mu.Lock()
		defer c.provider.mu.Unlock()
		c.provider.state[i] = ""
		m.mu.Lock()
		m.id = id
		m.mu.Unlock()
		m.startIncarnation()
	})
}

// stop ends the crashes; it is called before the test ends, as there is no log
// afterwards.
func (d *deadlyFault) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = nil
}

// isInTouch reports whether the machines that may have ordered a start on the minion
// were in touch: in the last contactTime no core was killed, stopped, paused or
// started, and the links to the cores and to the minion had no fault. The sender of
// an order is not known here, so a fault of any core's link counts.
func (c *cluster) isInTouch(m *minion) bool {
	for _, l := range c.controlLinks {
		if !l.isCalm(contactTime) {
			return false
		}
	}
	return m.link.isCalm(contactTime) && c.checker.areCoresCalm()
}

func (c *checker) coreFaultStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coreFaults++
}

func (c *checker) coreFaultEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coreFaults--
	c.coresCalmSince = time.Now()
}

func (c *checker) areCoresCalm() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.coreFaults == 0 && time.Since(c.coresCalmSince) > contactTime
}

// deadlyStarted checks the start of a deadly task against the rule BUDGET, which
// counts only starts by machines in touch.
func (c *checker) deadlyStarted(key taskKey, run int, minion string, inTouch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key.job]
	if j == nil || j.deadly == nil {
		c.addViolationLocked("%s starts the deadly task %v, which no job contains", minion, key)
		return
	}
	task := &j.steps[key.step].tasks[key.index]
	if task.crashes < budgetCrashes {
		return
	}
	task.lateStarts++
	if !inTouch {
		return
	}
	if task.inTouchStarts++; task.inTouchStarts == budgetStarts {
		c.addViolationLocked("BUDGET: deadly task %v run %d starts on %s after %d minions crashed under it; starts in touch after %d crashes: %d",
			key, run, minion, task.crashes, budgetCrashes, task.inTouchStarts)
	}
}

// countCrash counts the end of a run if it is a crash of its minion.
func (t *taskRecord) countCrash(outcome string) {
	switch outcome {
	case endCrashedByFault:
		t.crashes++
		t.faultCrashes++
	case endCrashedByTask:
		t.crashes++
	}
}

// canBeGivenUpLocked reports whether the job may be shown as failed because minions
// crashed under one of its tasks. Crashes by another job's deadly task do not count
// for a job without a deadly task. The caller holds the checker's mu.
func (j *jobRecord) canBeGivenUpLocked() bool {
	for s := range j.steps {
		for i := range j.steps[s].tasks {
			t := &j.steps[s].tasks[i]
			if t.faultCrashes >= crashesToGiveUp || j.deadly != nil && t.crashes >= crashesToGiveUp {
				return true
			}
		}
	}
	return false
}

// crashSummaryLocked lists the crashes under the job's tasks. The caller holds the
// checker's mu.
func (j *jobRecord) crashSummaryLocked() string {
	text := "deadly: " + fmt.Sprint(j.deadly != nil) + ", crashes (by faults):"
	for s := range j.steps {
		for i := range j.steps[s].tasks {
			if t := &j.steps[s].tasks[i]; t.crashes > 0 {
				text += fmt.Sprintf(" %d.%d: %d (%d)", s, i, t.crashes, t.faultCrashes)
			}
		}
	}
	return text
}

// deadlySummaryLocked counts the deadly tasks of accepted jobs, the crashes under
// them, and how they ended. The caller holds the checker's mu.
func (c *checker) deadlySummaryLocked() string {
	jobs, failed, crashes, most, late, inTouch, harmlessFailed := 0, 0, 0, 0, 0, 0, 0
	for _, j := range c.jobs {
		if j.deadly == nil && j.failed {
			harmlessFailed++
		}
		if j.deadly == nil || !j.accepted {
			continue
		}
		t := &j.steps[j.deadly.step].tasks[j.deadly.index]
		jobs, crashes, most = jobs+1, crashes+t.crashes, max(most, t.crashes)
		late, inTouch = late+t.lateStarts, inTouch+t.inTouchStarts
		if j.failed {
			failed++
		}
	}
	return fmt.Sprintf("%d accepted jobs with a deadly task, %d of them failed, %d crashes under the deadly tasks, %d under one at most, %d starts after %d crashes, %d of them in touch; %d jobs without a deadly task failed; %d shrinks of minions, %d starts during one on a minion that guards nothing, %d over the room while it still counted",
		jobs, failed, crashes, most, late, budgetCrashes, inTouch, harmlessFailed, c.shrinks, c.shrunkStarts, c.overRoomStarts)
}
