package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
)

// Guards against a task that runs twice when the lease of a silent life ends
// while its next life, which does not answer either, carries out a start that
// was late.
func TestLateStartInTheNextLifeIsStoppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRig(t, 1)
		defer r.stop()
		r.w.lasting = true
		first := r.w.add("a")
		r.announce(first)
		time.Sleep(1500 * time.Millisecond)
		r.w.mu.Lock()
		first.dark = true
		r.w.mu.Unlock()
		r.submit("job0", 1)
		// The next life is announced while the last hold of the earlier one waits:
		// it fails at 4.7 s, when all leases are over since 4.1 s.
		time.Sleep(2700 * time.Millisecond)
		g.Expect(r.state("job0")).To(Equal(apiv1.BatchState_BATCH_STATE_RUNNING), "the start is on its way")
		key := batch.RunKey{TaskRef: batch.TaskRef{Job: "job0"}, Number: 1}
		next := r.w.add("a")
		r.w.mu.Lock()
		next.dark = true
		next.until = testMaxLease.Milliseconds()
		next.running[key] = time.Now()
		r.w.active[key.TaskRef]++
		r.w.mu.Unlock()
		r.announce(next)
		r.announce(r.w.add("b"))
		time.Sleep(time.Second)
		r.w.mu.Lock()
		next.dark = false
		r.w.mu.Unlock()
		time.Sleep(2 * time.Second)
		r.w.mu.Lock()
		r.w.lasting = false
		r.w.mu.Unlock()
		time.Sleep(10 * time.Second)
		g.Expect(r.state("job0")).To(Equal(apiv1.BatchState_BATCH_STATE_COMPLETED))
	})
}
