package batchservice

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// Load: many callers submit large jobs at once while commits are slow. Guards against small
// jobs that wait behind them, against callers who wait in vain, and against a refusal of a
// job that is taken all the same.
func TestLargeJobsTakeTurnsAndLeaveSmallOnesAlone(t *testing.T) {
	g := NewWithT(t)
	node := &immediateNode{stateMachine: state.New()}
	c := startServiceOn(t, node, true)
	g.Expect(c.PutCatalog(t.Context(), catalog(1))).To(Succeed())
	at := func(i int) *apiv1.QueueCall {
		return &apiv1.QueueCall{Host: "h", Path: fmt.Sprintf("/q/%016x", i), Key: "k"}
	}
	large := &apiv1.BatchJob{}
	for range 4000 {
		large.Steps = append(large.Steps, &apiv1.BatchStep{Count: 1, EstimatedMs: 1})
	}
	node.commitTime.Store(int64(100 * time.Millisecond))
	const callers = 40
	errs := make(chan error, callers)
	for i := range callers {
		go func() { errs <- c.Submit(t.Context(), at(i), large) }()
	}
	g.Expect(c.Submit(t.Context(), at(callers), &apiv1.BatchJob{Steps: []*apiv1.BatchStep{{Count: 1}}})).To(Succeed())
	node.commitTime.Store(0)
	accepted, refused := 0, 0
	for range callers {
		err := <-errs
		if err == nil {
			accepted++
			continue
		}
		refused++
		g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL))
		g.Expect(result.From(err).NotRun).To(BeTrue())
		g.Expect(result.From(err).RetryAfter).To(BeNumerically(">", 0))
	}
	g.Expect(accepted).To(BeNumerically(">=", 1))
	known := 0
	for i := range callers {
		if _, err := c.Get(t.Context(), at(i)); err == nil {
			known++
		}
	}
	g.Expect(known).To(Equal(accepted))
}

// Guards against a turn that isn't given back, more jobs that wait than the bound, and a
// refusal as not run of a job that another submission may still have accepted.
func TestTurnsOfLargeJobs(t *testing.T) {
	g := NewWithT(t)
	l := newLargeJobs()
	enter := func(ctx context.Context, id string, bytes int) (func(), error) {
		return l.enter(ctx, id, bytes, func() bool { return id == "known" })
	}
	leave, err := enter(t.Context(), "first", largeJobBytes)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	for i := range maxWaitingLargeJobs {
		go func() {
			_, err := enter(ctx, fmt.Sprint(i), largeJobBytes)
			ended <- err
		}()
	}
	g.Eventually(func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.total
	}).Should(Equal(1 + maxWaitingLargeJobs))
	_, err = enter(t.Context(), "other", largeJobBytes)
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL))
	for _, id := range []string{"first", "3", "known"} {
		_, err = enter(t.Context(), id, largeJobBytes)
		g.Expect(result.From(err).NotRun).To(BeFalse(), id)
	}
	_, err = enter(t.Context(), "other", largeJobBytes-1)
	g.Expect(err).NotTo(HaveOccurred(), "a small job")
	cancel()
	for range maxWaitingLargeJobs {
		g.Expect(result.From(<-ended).NotRun).To(BeTrue())
	}
	leave()
	g.Expect(l.total).To(BeZero())
	g.Expect(l.submissions).To(BeEmpty())
	leave, err = enter(t.Context(), "other", largeJobBytes)
	g.Expect(err).NotTo(HaveOccurred())
	leave()
}

// Guards against "not run" for a submission that gave up waiting while another of the same
// job still has its turn, or waits for it, and may be accepted.
func TestWaitingSubmissionIsNotCalledNotRunBesideAnother(t *testing.T) {
	g := NewWithT(t)
	l := newLargeJobs()
	leave, err := l.enter(t.Context(), "a", largeJobBytes, func() bool { return false })
	g.Expect(err).NotTo(HaveOccurred())
	defer leave()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = l.enter(ctx, "a", largeJobBytes, func() bool { return false })
	g.Expect(result.From(err).NotRun).To(BeFalse())
}
