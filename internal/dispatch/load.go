package dispatch

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// loadLogInterval is the time between two logs of the leader's load.
const loadLogInterval = time.Second

// load sums up what the planning rounds of the last loadLogInterval took, so that the log
// shows what bounds the starts: the processor (planning), the log (commits), the answers
// of the minions (window and time of starts), or the rounds themselves.
type load struct {
	mu       sync.Mutex
	loggedAt time.Duration
	rounds   int
	// limited counts the rounds that the window of starts bounded.
	limited int
	// planned is how many starts the rounds planned.
	planned int
	// planning, commits and pauses are what the rounds took, one after the other.
	planning, commits, pauses time.Duration
	// answers counts the starts that were answered, answerTime is the sum of the times
	// that they took from their commit on.
	answers    int
	answerTime time.Duration
}

// observeStart counts a start that ended after a time since its commit.
func (l *load) observeStart(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers++
	l.answerTime += d
}

// observeRound counts a round that planned starts.
func (l *load) observeRound(starts int, limited bool, planning, commit, pause time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rounds++
	l.planned += starts
	if limited {
		l.limited++
	}
	l.planning += planning
	l.commits += commit
	l.pauses += max(pause, 0)
}

// log logs the load once in loadLogInterval.
func (l *load) log(now time.Duration, log *logrus.Entry, window, inFlight int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.loggedAt < loadLogInterval {
		return
	}
	if l.planned > 0 {
		log.WithFields(logrus.Fields{
			"rounds": l.rounds, "limited_rounds": l.limited, "starts": l.planned, "planning_ms": l.planning.Milliseconds(),
			"commit_ms": l.commits.Milliseconds(), "pause_ms": l.pauses.Milliseconds(), "window": window, "in_flight": inFlight,
			"answers": l.answers, "mean_answer_ms": (l.answerTime / time.Duration(max(l.answers, 1))).Milliseconds(),
		}).Info("load of the leader")
	}
	l.loggedAt, l.rounds, l.limited, l.planned, l.answers = now, 0, 0, 0, 0
	l.planning, l.commits, l.pauses, l.answerTime = 0, 0, 0, 0
}
