package entry

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Guards against a second run of an id when callers resend through several
// entries while the first send runs, fails or lost its commit's answer.
func TestResendsRunAtMostOnce(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 2)
	w.minions[0].SetServiceTime(2 * time.Millisecond)
	w.minions[1].SetFault(fakes.MinionClosesConnection)
	rng := rand.New(rand.NewPCG(1, 2))
	const ids, sends = 30, 6
	answers := make([][sends]reply, ids)
	names := make([]string, ids)
	var wg sync.WaitGroup
	for i := range ids {
		names[i] = newAttemptID()
		for j := range sends {
			entry, lose := rng.IntN(2), rng.IntN(10) == 0
			wg.Go(func() {
				if lose {
					w.control.mu.Lock()
					w.control.loseStart = true
					w.control.mu.Unlock()
				}
				answers[i][j] = w.send(entry, "POST", "/v1/services/alerts/notice", "bed 4", headerIdempotencyKey, names[i], headerTimeout, "5000")
			})
		}
	}
	wg.Wait()
	delivered := 0
	for i, id := range names {
		runs := w.minions[0].Runs(id) + w.minions[1].Runs(id)
		g.Expect(runs).To(BeNumerically("<=", 1), id)
		for _, r := range answers[i] {
			g.Expect(r.err).NotTo(HaveOccurred())
			if r.status == 200 {
				g.Expect(r.body).To(Equal(id + " bed 4"))
				delivered++
			}
			if r.notRun() {
				g.Expect(runs).To(BeZero(), "refused as not run: %s", r.body)
			}
		}
	}
	g.Expect(delivered).To(BeNumerically(">", 0))
}

// Guards against a resend that is refused for lack of capacity although its
// answer is stored, and against an id that is used for two requests.
func TestResendGetsTheStoredAnswer(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	id := newAttemptID()
	first := w.send(0, "POST", "/v1/services/alerts/n", "x", headerIdempotencyKey, id)
	g.Expect(first.status).To(Equal(200))
	w.shard.refuse = result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "full")
	again := w.send(1, "POST", "/v1/services/alerts/n", "x", headerIdempotencyKey, id)
	g.Expect(again.body).To(Equal(first.body))
	g.Expect(w.minions[0].Runs(id)).To(Equal(1))
	other := w.send(1, "POST", "/v1/services/alerts/other", "x", headerIdempotencyKey, id)
	g.Expect(other.code()).To(Equal("1008"))
	fresh := w.send(1, "POST", "/v1/services/alerts/n", "x", headerIdempotencyKey, newAttemptID())
	g.Expect([]any{fresh.code(), fresh.notRun()}).To(Equal([]any{"2000", true}))
}

// Guards against "not run" or a second run after bytes left for a minion.
func TestBrokenRunIsUnknown(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	w.minions[0].SetFault(fakes.MinionClosesConnection)
	id := newAttemptID()
	for entry := range 2 {
		r := w.send(entry, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id)
		g.Expect([]any{r.status, r.code(), r.notRun()}).To(Equal([]any{409, "3000", false}))
		w.minions[0].SetFault(fakes.MinionHealthy)
	}
	g.Expect(w.minions[0].Runs(id)).To(Equal(1))
}

// Guards against a response that is lost because it is too large to store.
func TestLargeAnswerIsDeliveredAndNotKept(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.minions[0].SetResponder(func(*http.Request, []byte) (int, []byte) { return 200, make([]byte, 3<<20) })
	id := newAttemptID()
	r := w.send(0, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id)
	g.Expect(r.body).To(HaveLen(3 << 20))
	r = w.send(0, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id)
	g.Expect(r.code()).To(Equal("3003"))
	g.Expect(w.minions[0].Runs(id)).To(Equal(1))
}

// Guards against an outcome that is lost because the caller's connection broke
// while the minion worked.
func TestRunOutlivesTheCaller(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 2, 1)
	inside, release := make(chan struct{}), make(chan struct{})
	w.minions[0].SetResponder(func(*http.Request, []byte) (int, []byte) {
		close(inside)
		<-release
		return 200, []byte("whole")
	})
	id := newAttemptID()
	head := "POST /v1/services/alerts/ HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nBergamot-Queue: heat\r\n"
	c := w.dial(g, head+"Authorization: Bearer "+w.credential+"\r\nIdempotency-Key: "+id+"\r\n\r\n")
	<-inside
	c.Close()
	got := make(chan reply, 1)
	go func() { got <- w.send(1, "POST", "/v1/services/alerts/", "", headerIdempotencyKey, id) }()
	g.Eventually(func() uint64 { w.shard.mu.Lock(); defer w.shard.mu.Unlock(); return w.shard.next }).Should(BeEquivalentTo(2))
	time.Sleep(20 * time.Millisecond) // lets the server notice the closed connection
	close(release)
	g.Expect((<-got).body).To(Equal("whole"))
	g.Expect(w.minions[0].Runs(id)).To(Equal(1))
}
