package dispatch

import (
	"sync"
	"time"
)

const (
	// maxStartWindow bounds the committed starts of tasks whose order a minion, the
	// worker process that is to run the task, has not answered yet.
	maxStartWindow = 192
	// minStartWindow is the lowest such bound. It keeps starts going while answers
	// are late for another reason than the leader's load.
	minStartWindow = 24
	// lateStart is the time from the commit of a start to the minion's answer from
	// which the window gets smaller. It is well below slowOrderThreshold, from which
	// minions get no new work.
	lateStart = 100 * time.Millisecond
	// startWindowDecrease is the factor by which the window gets smaller.
	startWindowDecrease = 0.75
	// startWindowIncrease is how many starts the window grows by with as many
	// answers as it is large.
	startWindowIncrease = 4
)

// startWindow bounds the starts in flight: those that are committed and whose order
// is not answered. A leader that commits more starts than it can send makes each of
// them late, until minions seem not to answer and what they started is stopped. So
// the window gets smaller while answers are late and grows while they are not.
type startWindow struct {
	mu       sync.Mutex
	size     float64
	inFlight int
	// answers counts the answers since the last decrease, totals all starts that ended.
	answers int
	totals  startTotals
}

// startTotals counts the starts that were answered and those that were not.
type startTotals struct{ answered, unanswered uint64 }

func newStartWindow() *startWindow { return &startWindow{size: maxStartWindow} }

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
	switch {
	case duration < lateStart:
		w.size = min(w.size+startWindowIncrease/w.size, maxStartWindow)
	case w.answers >= int(w.size):
		// The answers to the starts of a larger window have all arrived.
		w.size = max(w.size*startWindowDecrease, minStartWindow)
		w.answers = 0
	}
}
