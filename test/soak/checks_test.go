package soak

import (
	"strings"
	"testing"
	"time"
)

// recordDeadlyJob adds a job with a deadly task, 0.0, and a harmless one, 0.1.
func recordDeadlyJob(c *checker) *jobRecord {
	j := &jobRecord{id: "a", accepted: true, maxFailures: 4, deadly: &deadlyTask{}}
	j.steps = []stepRecord{{cpu: 1000, tasks: make([]taskRecord, 2)}}
	c.jobs[j.id] = j
	return j
}

// crashOnce starts the deadly task of recordDeadlyJob once and crashes its minion.
func crashOnce(c *checker, run int, inTouch bool) {
	key := taskKey{job: "a"}
	c.deadlyStarted(key, run, "i-0", inTouch)
	c.runEnded(key, run, endCrashedByTask)
}

// Guards against a soak that overlooks the rule BUDGET, or reports starts that the
// rule does not count.
func TestBudgetCheck(t *testing.T) {
	for _, test := range []struct {
		name          string
		starts        int
		inTouch, want bool
	}{
		{"three crashes and two starts more", budgetCrashes + budgetStarts - 1, true, false},
		{"three crashes and three starts more", budgetCrashes + budgetStarts, true, true},
		{"starts by machines without contact", 2 * (budgetCrashes + budgetStarts), false, false},
	} {
		c := newChecker()
		recordDeadlyJob(c)
		for run := range test.starts {
			crashOnce(c, run+1, test.inTouch)
		}
		if got := strings.Contains(strings.Join(c.violations, "\n"), "BUDGET"); got != test.want {
			t.Errorf("%s: violations %q, want one: %v", test.name, c.violations, test.want)
		}
	}
}

// Guards against a soak that accepts a job as failed although no two minions crashed
// under one of its tasks, or only because of another job's deadly task, or a job with
// a deadly task as completed.
func TestGivenUpCheck(t *testing.T) {
	for _, test := range []struct {
		name     string
		deadly   bool
		outcomes []string
		state    string
		want     int
	}{
		{"deadly task after two crashes", true, []string{endCrashedByTask, endCrashedByTask}, "failed", 0},
		{"deadly task after one crash", true, []string{endCrashedByTask}, "failed", 1},
		{"lost runs are no crashes", true, []string{endLeaseExpired, endTakenDown, endStopped}, "failed", 1},
		{"neighbor of deadly tasks", false, []string{endCrashedByTask, endCrashedByTask, endCrashedByTask}, "failed", 1},
		{"neighbor with one crash by a fault", false, []string{endCrashedByTask, endCrashedByFault}, "failed", 1},
		{"two crashes by faults", false, []string{endCrashedByFault, endCrashedByFault}, "failed", 0},
		{"completed with a deadly task", true, []string{endDone}, "completed", 1},
	} {
		c := newChecker()
		j := recordDeadlyJob(c)
		if !test.deadly {
			j.deadly = nil
		}
		j.steps[0].tasks[1].done = true
		for run, outcome := range test.outcomes {
			c.runEnded(taskKey{job: "a"}, run+1, outcome)
		}
		c.checkJobState(j.id, 200, test.state)
		if len(c.violations) != test.want {
			t.Errorf("%s: violations %q, want %d", test.name, c.violations, test.want)
		}
	}
}

// Guards against a soak that overlooks the rule LIMIT on a capacity that has shrunk,
// or reports starts within the time that the rule allows.
func TestRoomCheck(t *testing.T) {
	full, small := room{cpu: 8000, memory: minionMemory}, room{cpu: 2000, memory: minionMemory}
	for _, test := range []struct {
		name      string
		shrunkAgo time.Duration
		disturbed bool
		pool      int
		want      int
	}{
		{"shrunk just now", 0, false, unguardedPool, 0},
		{"shrunk longer ago than the rule allows", roomGrace + time.Second, false, unguardedPool, 1},
		{"order that may be late", roomGrace + time.Second, true, unguardedPool, 0},
		{"minion that guards its capacity", roomGrace + time.Second, false, unguardedPool - 1, 0},
	} {
		m := &minion{checker: newChecker(), cpu: full.cpu, pool: poolName(test.pool), usedCPU: small.cpu, link: &proxy{disturbed: test.disturbed}}
		m.inTouch = func() bool { return true }
		small.since = time.Now().Add(-test.shrunkAgo)
		m.rooms = []room{small}
		m.checkRoom("a.0.0.0", 1000)
		if len(m.checker.violations) != test.want {
			t.Errorf("%s: violations %q, want %d", test.name, m.checker.violations, test.want)
		}
	}
}
