package batchservice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// largeJobBytes is the encoded size from which on a job is large. It has hundreds of
	// steps then.
	largeJobBytes = 8 << 10
	// maxWaitingLargeJobs bounds the large jobs that wait. Each takes some tens of
	// milliseconds with its commit.
	maxWaitingLargeJobs = 8
	// largeJobRetryAfter is the shortest time after which a caller may send a large job again
	// that finds too many waiting.
	largeJobRetryAfter = 2 * time.Second
)

// largeJobs takes large jobs one after the other, so that those of a few callers leave the
// processor and the log to small ones. A job takes many times its size, and a time in
// proportion, when it is decoded, checked, proposed and applied.
type largeJobs struct {
	// working holds the job that is being taken.
	working chan struct{}
	mu      sync.Mutex
	// submissions counts those that are being taken or wait, by job id.
	submissions map[string]int
	total       int
}

func newLargeJobs() *largeJobs {
	return &largeJobs{working: make(chan struct{}, 1), submissions: map[string]int{}}
}

// enter waits for the turn of a job and returns the function that ends it. It refuses a
// large job at once if too many wait; small ones have no turn to wait for. mayBeKnown
// reports whether the job may be accepted already, so that it must not be called not run.
func (l *largeJobs) enter(ctx context.Context, id string, bytes int, mayBeKnown func() bool) (leave func(), err error) {
	if bytes < largeJobBytes {
		return func() {}, nil
	}
	if added, waits := l.add(id); !added {
		if waits || mayBeKnown() {
			return nil, errMayBeAccepted(id)
		}
		refused := result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "%d jobs of %d bytes and more are waiting; submit the job again later", maxWaitingLargeJobs, largeJobBytes)
		refused.RetryAfter = largeJobRetryAfter + rand.N(largeJobRetryAfter)
		return nil, refused
	}
	select {
	case l.working <- struct{}{}:
		return func() { <-l.working; l.remove(id) }, nil
	case <-ctx.Done():
		// In this order: another submission is proposed before its turn ends.
		if l.remove(id) || mayBeKnown() {
			return nil, errMayBeAccepted(id)
		}
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "the job was not proposed, since others of %d bytes and more came first: %v", largeJobBytes, ctx.Err())
	}
}

// add counts a submission, unless too many wait. waits reports whether another submission
// of the job does.
func (l *largeJobs) add(id string) (added, waits bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total > maxWaitingLargeJobs {
		return false, l.submissions[id] > 0
	}
	l.submissions[id]++
	l.total++
	return true, false
}

// remove ends a submission, and reports whether another one of the job is being taken or
// waits.
func (l *largeJobs) remove(id string) (others bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	if l.submissions[id]--; l.submissions[id] > 0 {
		return true
	}
	delete(l.submissions, id)
	return false
}

func errMayBeAccepted(id string) *result.Error {
	return result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "job %s may be accepted by another submission; ask for it", id)
}
