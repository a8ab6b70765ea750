package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// answerStarts fills the window and answers its starts after duration, n times.
func answerStarts(w *startWindow, n int, duration time.Duration, answered bool) {
	for range n {
		starts := w.free()
		for range starts {
			w.begin()
		}
		for range starts {
			w.end(duration, answered)
		}
	}
}

// Guards against a leader that commits more starts than it can send in time, and
// against one that stays slow once it can send more again.
func TestStartWindowFollowsTheLeadersSpeed(t *testing.T) {
	g := NewWithT(t)
	w := newStartWindow()
	answerStarts(w, 1, lateStart, true)
	g.Expect(w.free()).To(Equal(initialStartWindow*3/4), "one window of late answers is one decrease")
	answerStarts(w, 20, lateStart, true)
	g.Expect(w.free()).To(Equal(minStartWindow))
	answerStarts(w, 300, lateStart/2, true)
	g.Expect(w.free()).To(Equal(maxStartWindow))
}

// Guards against a few slow minions, or one slow replica of many, that count as a slow
// leader and keep the starts of all others low.
func TestFewLateAnswersKeepTheStartWindow(t *testing.T) {
	g := NewWithT(t)
	w := newStartWindow()
	for i := range 40 * initialStartWindow {
		duration := lateStart / 4
		if i%20 == 0 {
			duration = 2 * lateStart
		}
		w.begin()
		w.end(duration, true)
	}
	g.Expect(w.free()).To(BeNumerically(">=", initialStartWindow))
}

// Guards against minions that don't answer, as in a zone that is cut off, slowing
// down the starts on all others.
func TestSilentMinionsKeepTheStartWindow(t *testing.T) {
	g := NewWithT(t)
	w := newStartWindow()
	answerStarts(w, 20, orderTimeout, false)
	g.Expect(w.free()).To(Equal(initialStartWindow))
}
