package jobs

import (
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// maxIDAheadMS is how far, in milliseconds, the time in a job id may be
	// ahead of log time, the largest proposal time of a command, because callers
	// make the ids with their own clocks.
	maxIDAheadMS = 5 * 60 * 1000
	// maxDataBytes is the largest size of a payload, a checkpoint or a result.
	// Each of them is written to the replicated log.
	maxDataBytes = 256 << 10
	// maxTotalDataBytes limits the data of all jobs together, which every replica
	// holds in memory and writes to its snapshots. Without this limit 10,000 jobs
	// with the largest payload would take 2.5 GiB.
	maxTotalDataBytes = 64 << 20
	// dataLimitRetryAfter is the delay after which a caller is asked to submit a job
	// again that was refused because of maxTotalDataBytes.
	dataLimitRetryAfter = 10 * time.Second
	// emptyPoolRetryAfter is the delay after which a caller is asked to submit
	// again to a pool without workers. Workers of a pool take about that long to
	// announce themselves.
	emptyPoolRetryAfter = time.Second
)

// Submit adds a pending job and returns it. A duplicate submission returns the
// job as it is now. On an error nothing was changed. The error says that the job
// was not run, except where its id was used before or may have been: see
// checkDuplicate and checkID.
func (s *State) Submit(logTimeMS int64, cmd *apiv1.SubmitJob, ix *objects.Index, w Workers) (*apiv1.Job, *result.Error) {
	if j, ok := s.jobs[cmd.JobId]; ok {
		return checkDuplicate(j, cmd)
	}
	if err := s.checkID(logTimeMS, cmd.JobId); err != nil {
		return nil, err
	}
	q, err := s.checkQueue(cmd, ix)
	if err != nil {
		return nil, err
	}
	if len(cmd.Payload) > maxDataBytes {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE,
			"payload has %d bytes of at most %d", len(cmd.Payload), maxDataBytes)
	}
	if s.dataBytes+len(cmd.Payload) > maxTotalDataBytes {
		err := result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "the data of all jobs takes %d bytes already; submit again when some have ended", s.dataBytes)
		err.RetryAfter = dataLimitRetryAfter
		return nil, err
	}
	if cmd.Resources.GetCpuMillis() == 0 {
		// Without this check any number of such jobs would fit on one VM.
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "resources.cpu_millis must be at least 1")
	}
	if err := checkFits(cmd, q.Pool, w); err != nil {
		return nil, err
	}
	j := &apiv1.Job{
		JobId: cmd.JobId, ClientAccount: cmd.ClientAccount, Team: cmd.Team,
		Queue: q.Name, Pool: q.Pool, Priority: q.Priority, Resources: cmd.Resources,
		Repeatable: cmd.Repeatable, DeclaredRunMs: cmd.DeclaredRunMs, Payload: cmd.Payload,
		State: apiv1.JobState_JOB_STATE_PENDING, SubmittedUnixMs: logTimeMS, ChangedUnixMs: logTimeMS,
	}
	s.order = append(s.order, j.JobId)
	s.store(j)
	return j, nil
}

// checkDuplicate returns the job that was submitted under the id of cmd before.
// It returns IDEMPOTENCY_KEY_REUSED if cmd asks for a different job.
func checkDuplicate(j *apiv1.Job, cmd *apiv1.SubmitJob) (*apiv1.Job, *result.Error) {
	same := j.ClientAccount == cmd.ClientAccount && j.Queue == cmd.Queue && j.Repeatable == cmd.Repeatable &&
		proto.Equal(j.Resources, cmd.Resources)
	if !same {
		return nil, result.New(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_REUSED,
			"job id %s was used for another job; use a new id for each job", cmd.JobId)
	}
	return j, nil
}

// checkID returns an error if the id is not a canonical UUIDv7, is too far ahead
// of log time, or is so old that the record of an earlier job with that id may
// have been dropped. In that last case the outcome is unknown.
func (s *State) checkID(logTimeMS int64, id string) *result.Error {
	ms, ok := idTimeMS(id)
	if !ok {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID, "job id %q is not a UUIDv7 in lower case", id)
	}
	if ms > logTimeMS+maxIDAheadMS {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_IDEMPOTENCY_KEY_INVALID,
			"job id %s is more than 5 minutes ahead; set the caller's clock", id)
	}
	if ms < logTimeMS-retentionMS || ms <= s.forgottenMS {
		return result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN,
			"job id %s is older than the records kept; it may have run", id)
	}
	return nil
}

// idTimeMS returns the time in a UUIDv7, in Unix milliseconds, and whether id is
// one. Only the canonical form is accepted: otherwise two spellings of one id
// could become two jobs.
func idTimeMS(id string) (int64, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || u.String() != id {
		return 0, false
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// checkQueue returns the queue that cmd names. It returns an error if the queue
// does not take jobs, is not open to the team or is full.
func (s *State) checkQueue(cmd *apiv1.SubmitJob, ix *objects.Index) (*apiv1.Queue, *result.Error) {
	q, ok := ix.Queues[cmd.Queue]
	if !ok || q.Pool == "" {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNKNOWN_QUEUE, "queue %q takes no jobs", cmd.Queue)
	}
	if !ix.CanUseQueue(q, cmd.Team) {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_NOT_ALLOWED,
			"queue %s is not open to team %q", q.Name, cmd.Team)
	}
	if s.pendingByQueue[q.Name] >= q.MaxDepth {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "queue %s holds %d waiting jobs", q.Name, q.MaxDepth)
	}
	return q, nil
}

// checkFits returns an error if no VM of the pool could run the job even when
// empty, or if the pool has no workers yet.
func checkFits(cmd *apiv1.SubmitJob, pool string, w Workers) *result.Error {
	need := resourcesOf(cmd.Resources)
	var largest resources
	workers := 0
	for _, vm := range w.InPool(pool) {
		if vm.WorkerId == "" {
			continue
		}
		workers++
		c := resourcesOf(vm.Capacity)
		if need.fitsIn(c) {
			return nil
		}
		largest.cpuMillis = max(largest.cpuMillis, c.cpuMillis)
		largest.memoryMB = max(largest.memoryMB, c.memoryMB)
		largest.accelerators = max(largest.accelerators, c.accelerators)
	}
	if workers == 0 {
		err := result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_CAPACITY, "pool %s has no workers yet", pool)
		err.RetryAfter = emptyPoolRetryAfter
		return err
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NEVER_FITS,
		"job needs %s; no VM of pool %s has them together (largest of each: %s)", need, pool, largest)
}
