package batchservice

import (
	"sync/atomic"
	"time"
)

const (
	// commitTimeWeight is the part that one measurement has in the mean.
	commitTimeWeight = 0.1
	// maxCommitTime bounds the time that a commit is expected to take. Submissions that
	// have more time are always tried, so that the mean follows when commits get faster.
	maxCommitTime = 300 * time.Millisecond
)

// commitTime is how long commits take, as a moving mean in ns. A submission that has less
// time is refused before it is proposed: its caller couldn't learn the outcome, and
// would take the work as lost while it runs.
type commitTime struct{ mean atomic.Int64 }

func (c *commitTime) observe(d time.Duration) {
	for {
		old := c.mean.Load()
		next := old + int64(commitTimeWeight*float64(int64(d)-old))
		if c.mean.CompareAndSwap(old, next) {
			return
		}
	}
}

// allows reports whether a commit is expected to end within the time left.
func (c *commitTime) allows(left time.Duration) bool {
	return left >= min(time.Duration(c.mean.Load()), maxCommitTime)
}
