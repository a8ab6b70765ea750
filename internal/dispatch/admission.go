package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/jobmemory"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

const (
	// limitedAge is for how long planning rounds must have had no more tasks to start than
	// the window of starts allows until the leader no longer counts as the limit. Rounds
	// that are late, as on a busy leader, say nothing.
	limitedAge = 250 * time.Millisecond
	// startRateWindow is the shortest time over which the rate of starts is measured.
	startRateWindow = 400 * time.Millisecond
	// maxUnansweredShare divides the answered starts into the unanswered ones from which
	// on minions are the limit, and not the leader.
	maxUnansweredShare = 10
	// waitingInterval is the shortest time between two counts of the waiting tasks.
	waitingInterval = 100 * time.Millisecond
	// minSubmitRetryAfter is the shortest time after which a refused caller is asked to
	// come back.
	minSubmitRetryAfter = time.Second
	// maxSubmitRetryAfter is the longest such time. The load may end at any time.
	maxSubmitRetryAfter = 30 * time.Second
)

// admission refuses jobs that the leader can't start in time (see
// placement.Admission), if it has been the limit for startRateWindow, those for
// which there is no room (see placement.RoomAdmission), and those that the memory of the
// replicas doesn't hold.
type admission struct {
	mu sync.Mutex
	// memory bounds what accepted jobs take.
	memory *jobmemory.Budget
	state  jobState
	// memoryLoggedAt is when memoryRefused, the number of jobs refused for it, was last
	// logged.
	memoryLoggedAt time.Duration
	memoryRefused  uint64
	// logRoom returns how many bytes the log takes until new jobs have to wait, nil for no
	// limit.
	logRoom func() int64
	// room decides by a forecast that was made at forecastAt.
	room       *placement.RoomAdmission
	forecastAt time.Duration
	// pending holds the jobs whose submission is proposed and has no outcome yet.
	pending map[string]*apiv1.BatchJob
	// decisions counts the decisions since loggedAt, by pool.
	decisions map[string]*decisionCounts
	loggedAt  time.Duration
	// totals counts the decisions of the term, by pool.
	totals map[string]decisionTotals
	// decider is nil until the rate of starts is known.
	decider   *placement.Admission
	countedAt time.Duration
	// limitedAt is the last planning round that the window of starts limited, zero when
	// the leader isn't the limit. limitedSince is when the rate was last measured.
	limitedAt, limitedSince time.Duration
	// totalsSince counts the starts that had ended at limitedSince.
	totalsSince startTotals
	// proposed holds the jobs whose submission was proposed in this term and that may
	// not be in the state yet, with the number of such submissions. They must not be
	// refused: a job that is refused must not run.
	proposed map[string]int
}

func newAdmission() *admission {
	return &admission{
		memory:   jobmemory.New(0),
		proposed: map[string]int{}, pending: map[string]*apiv1.BatchJob{}, room: placement.NewRoomAdmission(),
		decisions: map[string]*decisionCounts{}, totals: map[string]decisionTotals{},
	}
}

// observeRound records whether the window of starts limited a planning round, and
// how many starts ended during the term.
func (a *admission) observeRound(now time.Duration, limited bool, totals startTotals) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !limited && now-a.limitedAt >= limitedAge:
		a.limitedAt, a.decider = 0, nil
		return
	case !limited:
		return
	case a.limitedAt == 0:
		a.limitedSince, a.totalsSince = now, totals
	}
	a.limitedAt = now
	elapsed := now - a.limitedSince
	if elapsed < startRateWindow {
		return
	}
	answered, unanswered := totals.answered-a.totalsSince.answered, totals.unanswered-a.totalsSince.unanswered
	a.limitedSince, a.totalsSince = now, totals
	if unanswered > answered/maxUnansweredShare {
		a.decider = nil // minions that don't answer are the limit
		return
	}
	if a.decider == nil {
		a.decider = &placement.Admission{}
	}
	a.decider.StartsPerSecond = float64(answered) / elapsed.Seconds()
}

// isLimited reports whether the leader is the limit, and whether the waiting tasks are
// to be counted again.
func (a *admission) isLimited(now time.Duration) (limited, countDue bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limited = a.decider != nil
	return limited, limited && (a.decider.Waiting == nil || now-a.countedAt >= waitingInterval)
}

// startRate returns how many tasks the leader starts in a second, if it is the limit.
func (a *admission) startRate(now time.Duration) (perSecond float64, limited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.decider == nil || now-a.limitedAt > limitedAge {
		return 0, false
	}
	return a.decider.StartsPerSecond, true
}

func (a *admission) setWaiting(now time.Duration, waiting map[string]int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.decider != nil {
		a.decider.Waiting, a.countedAt = waiting, now
	}
}

// Reasons for which jobs are refused, beside those of placement.RoomAdmission.
const (
	reasonCommitTime placement.Reason = "commit_time"
	reasonStartRate  placement.Reason = "start_rate"
)

// decide returns the zero value when the job is accepted, and then counts it. inTime is
// set when the submission is expected to be committed before its caller gives up.
func (a *admission) decide(now time.Duration, q *apiv1.BatchQueue, j *apiv1.BatchJob, inTime bool) placement.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	refusal := a.refusal(now, q, j, inTime)
	a.count(q.GetPool(), refusal.Reason)
	if refusal.Reason == "" {
		a.markProposed(j)
	}
	return refusal
}

// refusal is decide without the counts of submissions; the caller holds the lock.
func (a *admission) refusal(now time.Duration, q *apiv1.BatchQueue, j *apiv1.BatchJob, inTime bool) placement.Refusal {
	if a.proposed[j.Id] > 0 {
		return placement.Refusal{}
	}
	if !inTime {
		return placement.Refusal{Reason: reasonCommitTime, RetryAfter: minSubmitRetryAfter}
	}
	if refusal := a.replicaRefusal(now, j); refusal.Reason != "" {
		return refusal
	}
	limited := a.decider != nil && a.decider.Waiting != nil
	if limited {
		if wait := a.decider.Decide(now, q, j); wait > 0 {
			return placement.Refusal{Reason: reasonStartRate, RetryAfter: wait}
		}
	}
	if refusal := a.room.Decide(now, q, j); refusal.Reason != "" {
		return refusal
	}
	if limited {
		a.decider.Add(q, j)
	}
	a.room.Add(q, j)
	return placement.Refusal{}
}

// AdmitJob returns nil when a job may be submitted. Then SubmissionEnded is called
// with the outcome. Otherwise the error says that the job was not accepted, why, and when
// the caller may come back. inTime is set when the submission is expected to be
// committed before its caller gives up: what runs for a caller that doesn't know of it
// takes starts from others.
func (d *Dispatcher) AdmitJob(j *apiv1.BatchJob, inTime bool) *result.Error {
	now := d.clock.Now()
	_, countDue := d.admission.isLimited(now)
	known := false
	var waiting map[string]int64
	d.opts.StateMachine.Read(func(st *state.State) {
		known = st.Batch.Job(j.Id) != nil
		if countDue {
			waiting = placement.WaitingTasks(st.Batch)
		}
	})
	if countDue {
		d.admission.setWaiting(now, waiting)
	}
	if known {
		d.admission.addProposed(j)
		return nil
	}
	if d.admission.submissions(j.Id) >= maxSubmissions {
		return result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "job %s is being submitted %d times already; ask for it", j.Id, maxSubmissions)
	}
	d.updateForecast(now)
	refusal := d.refusalOf(now, j, inTime)
	if refusal.Reason == "" {
		return nil
	}
	d.metrics.jobsRefused.WithLabelValues(string(refusal.Reason)).Inc()
	if refusal.Reason == reasonTooLarge {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "job takes %d bytes of memory with all of its tasks, more than there are for its account: divide the job", proposalBytes(j))
	}
	err := result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "queue %s can't accept the job in time (%s); submit it again later", j.Queue, refusal.Reason)
	wait := min(max(refusal.RetryAfter, minSubmitRetryAfter), maxSubmitRetryAfter)
	// Callers that were refused together are not to return together.
	err.RetryAfter = wait + rand.N(wait/4)
	return err
}

// refusalOf returns the zero value when the job is accepted.
func (d *Dispatcher) refusalOf(now time.Duration, j *apiv1.BatchJob, inTime bool) placement.Refusal {
	refusal := d.admission.decide(now, j.AcceptedQueue, j, inTime)
	if refusal.Reason == "" {
		return refusal
	}
	// An earlier call may have submitted the job since AdmitJob read the state. Then it
	// no longer counts as proposed.
	known := false
	d.opts.StateMachine.Read(func(st *state.State) { known = st.Batch.Job(j.Id) != nil })
	if known {
		d.admission.addProposed(j)
		return placement.Refusal{}
	}
	return refusal
}

// MayBeAccepted reports whether a job is accepted, or a submission of it was proposed in
// this term that may still be committed. Such a job must not be called not run.
func (d *Dispatcher) MayBeAccepted(id string) bool {
	d.admission.mu.Lock()
	proposed := d.admission.proposed[id] > 0
	d.admission.mu.Unlock()
	if proposed {
		return true
	}
	// Read last: a submission that ended before has changed the state.
	accepted := false
	d.opts.StateMachine.Read(func(st *state.State) { accepted = st.Batch.Job(id) != nil })
	return accepted
}

// submissions returns how many submissions of a job are proposed.
func (a *admission) submissions(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proposed[id]
}

// addProposed counts a submission of a job that isn't refused.
func (a *admission) addProposed(j *apiv1.BatchJob) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markProposed(j)
}

// markProposed is addProposed for a caller that holds the lock.
func (a *admission) markProposed(j *apiv1.BatchJob) {
	a.proposed[j.Id]++
	a.pending[j.Id] = j
	a.memory.Propose(j.Id, j.Account, proposalBytes(j))
}

// SubmissionEnded records the outcome of a job's submission. A job whose submission
// may still be committed stays among those that are not refused.
func (d *Dispatcher) SubmissionEnded(id string, err error) {
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	delete(d.admission.pending, id)
	if err != nil && !result.From(err).NotRun {
		return
	}
	if d.admission.proposed[id]--; d.admission.proposed[id] <= 0 {
		delete(d.admission.proposed, id)
		d.admission.memory.Settle(id)
	}
}
