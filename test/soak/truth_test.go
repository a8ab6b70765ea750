package soak

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the promises that depend on time; they are those of the platform's
// settings.
const (
	cancelBound     = 3 * time.Second
	evacuationBound = 5 * time.Second
	// undisturbed is how long there must have been no fault for a bound to
	// hold.
	undisturbed = 5 * time.Second
)

// truth is what the outside has seen; it checks each event against the
// promises.
type truth struct {
	mu         sync.Mutex
	violations []string
	jobs       map[string]*jobTruth
	running    map[string]int // cpu by account
	limits     map[string]int
	faultUntil time.Time
	zoneOut    map[string]time.Time
	starts     int
}

type jobTruth struct {
	id, account, specification string
	steps                      []stepTruth
	accepted, refused          bool
	canceled                   time.Time
	maxFailures                int
	completed, failed          bool
}

type stepTruth struct {
	cpu   int
	after []int
	tasks []taskTruth
}

// taskTruth follows one task over all of its runs.
type taskTruth struct {
	active int
	// done: a run was listed as done. noted: that end was acknowledged.
	done, noted bool
	// overtaken holds the runs that were listed as done; true once a later run
	// began, which is wrong if the end of the earlier one is acknowledged.
	overtaken map[int]bool
	failures  int
}

func newTruth() *truth {
	return &truth{jobs: map[string]*jobTruth{}, running: map[string]int{}, limits: map[string]int{}, zoneOut: map[string]time.Time{}}
}

func (t *truth) wrongLocked(format string, args ...any) {
	t.violations = append(t.violations, fmt.Sprintf("%s ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
}

func (t *truth) wrong(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrongLocked(format, args...)
}

// disturb notes that a fault goes on until a time.
func (t *truth) disturb(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until.After(t.faultUntil) {
		t.faultUntil = until
	}
}

func (t *truth) calmLocked() bool { return time.Since(t.faultUntil) > undisturbed }

// started checks a start that a minion has carried out.
func (t *truth) started(key taskKey, run int, specification, zone, minion string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starts++
	j := t.jobs[key.job]
	if j == nil || key.step >= len(j.steps) || key.index >= len(j.steps[key.step].tasks) {
		t.wrongLocked("%s starts %v, which nobody asked for", minion, key)
		return
	}
	if specification != j.specification {
		t.wrongLocked("%v starts with another specification", key)
	}
	if j.refused {
		t.wrongLocked("%v starts though each attempt to submit its job was refused", key)
	}
	step := &j.steps[key.step]
	task := &step.tasks[key.index]
	if task.active > 0 {
		t.wrongLocked("%v run %d starts on %s while another run goes on", key, run, minion)
	}
	if task.noted {
		t.wrongLocked("%v run %d starts on %s after its end was acknowledged", key, run, minion)
	}
	for earlier := range task.overtaken {
		task.overtaken[earlier] = true
	}
	for _, before := range step.after {
		for i := range j.steps[before].tasks {
			if !j.steps[before].tasks[i].done {
				t.wrongLocked("%v starts before step %d is done", key, before)
				break
			}
		}
	}
	if task.failures >= j.maxFailures {
		t.wrongLocked("%v starts after %d failures", key, task.failures)
	}
	if !j.canceled.IsZero() && time.Since(j.canceled) > cancelBound && t.calmLocked() {
		t.wrongLocked("%v starts %v after its job was canceled", key, time.Since(j.canceled))
	}
	if out, ok := t.zoneOut[zone]; ok && time.Since(out) > evacuationBound && t.calmLocked() {
		t.wrongLocked("%v starts in %s, which was taken out %v ago", key, zone, time.Since(out))
	}
	task.active++
	t.running[j.account] += step.cpu
	if limit := t.limits[j.account]; t.running[j.account] > limit+limit/10+step.cpu {
		t.wrongLocked("%s has %d running, its limit is %d", j.account, t.running[j.account], limit)
	}
}

// ended records an end; how is one of the minion's words.
func (t *truth) ended(key taskKey, run int, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[key.job]
	if j == nil {
		return
	}
	task := &j.steps[key.step].tasks[key.index]
	task.active--
	t.running[j.account] -= j.steps[key.step].cpu
	if how != endDone {
		return
	}
	task.done = true
	if task.overtaken == nil {
		task.overtaken = map[int]bool{}
	}
	task.overtaken[run] = false
}

// noted records that an end was acknowledged. lapsed: the minion's lease was
// over between the two, so the run had been given up.
func (t *truth) noted(key taskKey, run int, how string, lapsed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[key.job]
	if j == nil {
		return
	}
	task := &j.steps[key.step].tasks[key.index]
	switch {
	case how == endFailed:
		task.failures++
	case how != endDone || lapsed:
	case task.overtaken[run]:
		t.wrongLocked("%v was started again though the end of run %d is acknowledged", key, run)
	default:
		task.noted = true
	}
}

// state checks what a caller was told of an accepted job.
func (t *truth) state(id string, status int, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil || !j.accepted {
		return
	}
	canceled := !j.canceled.IsZero()
	switch {
	case status == 410 && !canceled:
		t.wrongLocked("job %s was accepted and is not known", id)
	case state == "cancelled" && !canceled:
		t.wrongLocked("job %s is shown as cancelled and nobody cancelled it", id)
	case state == "failed" && !j.hopelessLocked():
		t.wrongLocked("job %s is shown as failed without cause", id)
	case state == "completed":
		j.completed = true
		for s := range j.steps {
			for i := range j.steps[s].tasks {
				if !j.steps[s].tasks[i].done {
					t.wrongLocked("job %s is shown as completed, task %d.%d is not done", id, s, i)
				}
			}
		}
	}
	j.failed = j.failed || state == "failed"
}

func (j *jobTruth) hopelessLocked() bool {
	for s := range j.steps {
		for i := range j.steps[s].tasks {
			if j.steps[s].tasks[i].failures+j.steps[s].tasks[i].active >= j.maxFailures {
				return true
			}
		}
	}
	return false
}

// open lists the accepted jobs that have not ended.
func (t *truth) open() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, j := range t.jobs {
		if j.accepted && j.canceled.IsZero() && !j.completed && !j.failed {
			out = append(out, id)
		}
	}
	return out
}
