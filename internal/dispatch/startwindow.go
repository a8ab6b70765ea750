package dispatch

import (
	"sync"
	"time"
)

const (
	// maxStartWindow bounds the committed starts of tasks whose order a minion, the
	// worker process that is to run the task, has not answered yet.
	maxStartWindow = 1024
	// initialStartWindow is the bound at the start of a term.
	initialStartWindow = 192
	// minStartWindow is the lowest such bound. It keeps starts going while answers
	// are late for another reason than the leader's load.
	minStartWindow = 24
	// lateStart is the time from the commit of a start to the minion's answer from
	// which the answer is late. It is well below slowOrderThreshold, from which
	// minions get no new work.
	lateStart = 100 * time.Millisecond
	// startWindowDecrease is the factor by which the window gets smaller.
	startWindowDecrease = 0.75
	// startWindowIncrease is how many starts the window grows by with as many
	// answers as it is large.
	startWindowIncrease = 16
	// maxLateShare divides the answers of a window into the late ones from which on the
	// leader is slow. Fewer are those of slow minions, or of one replica.
	maxLateShare = 8
)

// startWindow bounds the starts in flight: those that are committed and whose order
// is not answered. A leader that commits more starts than it can send makes each of
// them late, until minions seem not to answer and what they started is stopped. So
// the window gets smaller while many answers are late and grows while few are.
type startWindow struct {
	mu       sync.Mutex
	size     float64
	inFlight int
	// answers counts the answers since the last change of size, late those of them that
	// were late. totals counts all starts that ended.
	answers, late int
	totals        startTotals
}

// startTotals counts the starts that were answered and those that were not.
type startTotals struct{ answered, unanswered uint64 }

func newStartWindow() *startWindow { return &startWindow{size: initialStartWindow} }

// free returns how many more starts may be committed now.
func (w *startWindow) free() int {
	size, inFlight, _ := w.status()
	return size - inFlight
}

// status returns the size of the window, the starts in flight and those that ended.
func (w *startWindow) status() (size, inFlight int, totals startTotals) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return int(w.size), w.inFlight, w.totals
}

// begin counts a committed start whose order is to be sent.
func (w *startWindow) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight++
}

// end ends a start that began duration ago. answered is set when the minion
// answered the order; a minion that is silent says nothing about the leader's load.
func (w *startWindow) end(duration time.Duration, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
	if !answered {
		w.totals.unanswered++
		return
	}
	w.answers++
	w.totals.answered++
	if duration >= lateStart {
		w.late++
	}
	if w.answers < int(w.size) {
		return
	}
	if w.late > w.answers/maxLateShare {
		w.size = max(w.size*startWindowDecrease, minStartWindow)
	} else {
		w.size = min(w.size+startWindowIncrease, maxStartWindow)
	}
	w.answers, w.late = 0, 0
}
