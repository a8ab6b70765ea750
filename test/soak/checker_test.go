package soak

import (
	"fmt"
	"sync"
	"time"
)

// Upper bounds on how long the platform may take to act; they follow from its
// settings.
const (
	cancelBound     = 3 * time.Second
	evacuationBound = 5 * time.Second
	// undisturbedTime is how long there must have been no fault before the bounds
	// above are checked.
	undisturbedTime = 5 * time.Second
)

// checker records what callers, minions and operators have observed and checks
// each event against the platform's guarantees.
type checker struct {
	mu           sync.Mutex
	violations   []string
	jobs         map[string]*jobRecord
	runningCPU   map[string]int // by account, in thousandths of a CPU core
	cpuLimits    map[string]int // by account, in thousandths of a CPU core
	faultUntil   time.Time
	zoneOutSince map[string]time.Time
	starts       int
	// coreFaults is the number of faults that cores have now; coresCalmSince is when
	// the last one ended.
	coreFaults     int
	coresCalmSince time.Time
	// shrinks counts the times that a minion shrank. On minions that do not guard their
	// capacity, shrunkStarts counts the starts during that, and overRoomStarts those
	// beyond the capacity of that moment, which may still be allowed.
	shrinks, shrunkStarts, overRoomStarts int
}

// jobRecord is a submitted job and what has been observed of it.
type jobRecord struct {
	id, account, specification string
	steps                      []stepRecord
	accepted, refused          bool      // a submission was accepted; every submission was refused
	canceledAt                 time.Time // zero: not canceled; in the future: not confirmed
	maxFailures                int
	completed, failed          bool
	deadly                     *deadlyTask // nil: the job has none
}

// stepRecord is a step of a job; its tasks start after the steps in after.
type stepRecord struct {
	cpu   int // of each task, in thousandths of a CPU core
	after []int
	tasks []taskRecord
}

// taskRecord follows one task over all of its runs.
type taskRecord struct {
	activeRuns int
	// done is set once a minion has completed a run of the task; acknowledged is
	// set once the control VMs have acknowledged that end in time.
	done, acknowledged bool
	// rerunAfterDone has a key for each run that ended as done. The value is true
	// once a later run has started, which is a violation if the end of the earlier
	// run is acknowledged.
	rerunAfterDone map[int]bool
	failures       int
	// crashes counts the minions that crashed while they ran the task, faultCrashes
	// those of them that a fault of the soak crashed.
	crashes, faultCrashes int
	// lateStarts counts the starts after budgetCrashes crashes, inTouchStarts those of
	// them that were made in touch.
	lateStarts, inTouchStarts int
}

func newChecker() *checker {
	return &checker{jobs: map[string]*jobRecord{}, runningCPU: map[string]int{}, cpuLimits: map[string]int{}, zoneOutSince: map[string]time.Time{}}
}

// addViolationLocked records a violation with the time of day. The caller holds
// mu.
func (c *checker) addViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

// addViolation records a violation; the test fails with it at the end of the run.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolationLocked(format, args...)
}

// recordFault records that a fault lasts until the given time.
func (c *checker) recordFault(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.faultUntil) {
		c.faultUntil = until
	}
}

// isUndisturbedLocked reports whether the bounds on time must hold, as no fault
// has been active for a while. The caller holds mu.
func (c *checker) isUndisturbedLocked() bool { return time.Since(c.faultUntil) > undisturbedTime }

// runStarted checks the start of a run on a minion.
func (c *checker) runStarted(key taskKey, run int, specification, zone, minion string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts++
	j := c.jobs[key.job]
	if j == nil || key.step >= len(j.steps) || key.index >= len(j.steps[key.step].tasks) {
		c.addViolationLocked("%s starts %v, which belongs to no submitted job", minion, key)
		return
	}
	if specification != j.specification {
		c.addViolationLocked("%v starts with a specification other than the submitted one", key)
	}
	if j.refused {
		c.addViolationLocked("%v starts although every submission of its job was refused", key)
	}
	step := &j.steps[key.step]
	task := &step.tasks[key.index]
	if task.activeRuns > 0 {
		c.addViolationLocked("%v run %d starts on %s while another run is active", key, run, minion)
	}
	if task.acknowledged {
		c.addViolationLocked("%v run %d starts on %s after its end was acknowledged", key, run, minion)
	}
	for earlier := range task.rerunAfterDone {
		task.rerunAfterDone[earlier] = true
	}
	for _, before := range step.after {
		for i := range j.steps[before].tasks {
			if !j.steps[before].tasks[i].done {
				c.addViolationLocked("%v starts before step %d is done", key, before)
				break
			}
		}
	}
	if task.failures >= j.maxFailures {
		c.addViolationLocked("%v starts after %d failures", key, task.failures)
	}
	if !j.canceledAt.IsZero() && time.Since(j.canceledAt) > cancelBound && c.isUndisturbedLocked() {
		c.addViolationLocked("%v starts %v after its job was canceled", key, time.Since(j.canceledAt))
	}
	if out, ok := c.zoneOutSince[zone]; ok && time.Since(out) > evacuationBound && c.isUndisturbedLocked() {
		c.addViolationLocked("%v starts in %s, which was taken out %v ago", key, zone, time.Since(out))
	}
	task.activeRuns++
	c.runningCPU[j.account] += step.cpu
	if limit := c.cpuLimits[j.account]; c.runningCPU[j.account] > limit+limit/10+step.cpu {
		c.addViolationLocked("account %s has CPU %d running, its limit is %d", j.account, c.runningCPU[j.account], limit)
	}
}

// runEnded records the end of a run. The outcome is one of the minion's end
// constants, or "crashed".
func (c *checker) runEnded(key taskKey, run int, outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key.job]
	if j == nil {
		return
	}
	task := &j.steps[key.step].tasks[key.index]
	task.activeRuns--
	c.runningCPU[j.account] -= j.steps[key.step].cpu
	task.countCrash(outcome)
	if outcome != endDone {
		return
	}
	task.done = true
	if task.rerunAfterDone == nil {
		task.rerunAfterDone = map[int]bool{}
	}
	task.rerunAfterDone[run] = false
}

// endAcknowledged records that the control VMs acknowledged the end of a run.
// leaseExpired is set if the minion's lease expired between the end and the
// acknowledgement: the run may then count as lost, and another one may start.
func (c *checker) endAcknowledged(key taskKey, run int, outcome string, leaseExpired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[key.job]
	if j == nil {
		return
	}
	task := &j.steps[key.step].tasks[key.index]
	switch {
	case outcome == endFailed:
		task.failures++
	case outcome != endDone || leaseExpired:
	case task.rerunAfterDone[run]:
		c.addViolationLocked("%v was started again although the end of run %d is acknowledged", key, run)
	default:
		task.acknowledged = true
	}
}

// checkJobState checks a response to a caller about an accepted job. 410 means
// that the job is not known.
func (c *checker) checkJobState(id string, status int, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	if j == nil || !j.accepted {
		return
	}
	canceled := !j.canceledAt.IsZero()
	switch {
	case status == 410 && !canceled:
		c.addViolationLocked("job %s was accepted and is no longer known", id)
	case state == "cancelled" && !canceled:
		c.addViolationLocked("job %s is shown as cancelled without a request to cancel it", id)
	case state == "failed" && !j.canFailLocked() && !j.canBeGivenUpLocked():
		c.addViolationLocked("job %s is shown as failed although none of its tasks has reached the maximum of failures or may be given up for crashes; %s", id, j.crashSummaryLocked())
	case state == "completed":
		if j.deadly != nil {
			c.addViolationLocked("job %s is shown as completed although its task %v is deadly", id, *j.deadly)
		}
		j.completed = true
		for s := range j.steps {
			for i := range j.steps[s].tasks {
				if !j.steps[s].tasks[i].done {
					c.addViolationLocked("job %s is shown as completed, task %d.%d is not done", id, s, i)
				}
			}
		}
	}
	j.failed = j.failed || state == "failed"
}

// canFailLocked reports whether the job has a task whose acknowledged failures
// and active runs together reach the maximum of failures. Another job may be shown
// as failed only if canBeGivenUpLocked allows it. The caller holds the checker's mu.
func (j *jobRecord) canFailLocked() bool {
	for s := range j.steps {
		for i := range j.steps[s].tasks {
			if j.steps[s].tasks[i].failures+j.steps[s].tasks[i].activeRuns >= j.maxFailures {
				return true
			}
		}
	}
	return false
}

// openJobs returns the ids of the accepted jobs that have not ended.
func (c *checker) openJobs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for id, j := range c.jobs {
		if j.accepted && j.canceledAt.IsZero() && !j.completed && !j.failed {
			out = append(out, id)
		}
	}
	return out
}
