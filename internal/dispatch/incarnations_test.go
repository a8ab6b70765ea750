package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Guards against a task that runs twice: an incarnation (one lifetime of a
// minion's process) that doesn't answer loses its lease, while a delayed start
// order is carried out by the minion's next incarnation, which doesn't answer
// either.
func TestDelayedStartInNextIncarnationIsStoppedFirst(t *testing.T) {
	testDelayedStartInNextIncarnation(t, 0, false)
}

// Guards against a task that runs twice when the row of the delayed start can't be read
// in the next incarnation's replies, and the run takes time to stop.
func TestDelayedStartInUnreadableRowIsAwaited(t *testing.T) {
	testDelayedStartInNextIncarnation(t, 800*time.Millisecond, true)
}

var errUnreadableRow = errors.New("row can't be read")

// stop ends a run after the cluster's stopTime. The caller holds mu.
func (m *fakeMinion) stop(run batch.RunKey) {
	end := func() {
		if _, there := m.running[run]; there {
			m.finish(run, apiv1.RunEnd_RUN_END_STOPPED)
		}
	}
	if m.cluster.stopTime == 0 {
		end()
		return
	}
	time.AfterFunc(m.cluster.stopTime, func() {
		m.cluster.mu.Lock()
		defer m.cluster.mu.Unlock()
		end()
	})
}

func testDelayedStartInNextIncarnation(t *testing.T, stopTime time.Duration, unreadable bool) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, 1)
		defer h.endTerm()
		h.cluster.endless, h.cluster.stopTime = true, stopTime
		first := h.cluster.add("a")
		h.announce(first)
		time.Sleep(1500 * time.Millisecond)
		h.cluster.mu.Lock()
		first.unreachable = true
		h.cluster.mu.Unlock()
		h.submit("job0", 1)
		// The next incarnation is announced during the last hold call (the long poll
		// that renews the lease) to the earlier one. That call fails when all leases
		// have expired, at 3.6 s or later.
		time.Sleep(1800 * time.Millisecond)
		key := batch.RunKey{TaskRef: batch.TaskRef{Job: "job0"}, Number: 1}
		g.Expect(h.runsOf("job0")).To(Equal([]batch.RunKey{key}), "the start order is delayed")
		next := h.cluster.add("a")
		h.cluster.mu.Lock()
		next.unreachable, next.unreadable = true, unreadable
		next.leaseUntilMS = testMaxLease.Milliseconds()
		next.running[key] = time.Now()
		h.cluster.active[key.TaskRef]++
		h.cluster.mu.Unlock()
		h.announce(next)
		h.announce(h.cluster.add("b"))
		time.Sleep(time.Second)
		h.cluster.mu.Lock()
		next.unreachable = false
		h.cluster.mu.Unlock()
		time.Sleep(2 * time.Second)
		h.cluster.mu.Lock()
		h.cluster.endless = false
		h.cluster.mu.Unlock()
		time.Sleep(10 * time.Second)
		g.Expect(h.state("job0")).To(Equal(apiv1.BatchState_BATCH_STATE_COMPLETED))
	})
}

// Guards against a run that is never released, since the end of its minion's next
// incarnation was committed first, and the leader was lost before it released the run: no
// incarnation of the minion is recorded then.
func TestRunOfUnrecordedMinionIsReleasedByNextLeader(t *testing.T) {
	for _, leaders := range []int{1, 2} {
		t.Run(fmt.Sprint("leaders lost: ", leaders), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h := newHarness(t, 1)
				defer func() { h.endTerm() }()
				h.restartWithLease(shortLease)
				first := h.cluster.add("a")
				h.announce(first)
				time.Sleep(1500 * time.Millisecond)
				h.setUnreachable(first, true)
				h.submitLongRunning("job0", 1, 1) // its start gets no answer
				time.Sleep(time.Second)
				next := h.cluster.add("a")
				h.setUnreachable(next, true)
				h.announce(next)
				for range 2000 {
					if h.recorded("a") == nil {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
				g.Expect(h.recorded("a")).To(BeNil())
				g.Expect(h.runsOf("job0")).To(Equal([]batch.RunKey{{TaskRef: batch.TaskRef{Job: "job0"}, Number: 1}}))
				for range leaders {
					h.endTerm()
					time.Sleep(electionTime)
					h.startTerm()
					time.Sleep(2 * time.Second)
				}
				other := h.cluster.add("b")
				h.announce(other)
				time.Sleep(lateStartDowntime)
				g.Expect(h.runningOn(other)).To(Equal(1))
			})
		})
	}
}
