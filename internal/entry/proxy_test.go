package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
)

// Guards against a request that does not reach the minion, or reaches it with
// another path or body, and against an incomplete response.
func TestRequestIsServedEndToEnd(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	r := h.send(0, "POST", "/v1/services/alerts/rooms//12?since=3", "39 degrees", headerRepeatable, "true")
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(200))
	g.Expect(r.code()).To(Equal("1"))
	g.Expect(r.body).To(HaveSuffix(" 39 degrees"))
}

// Guards against failed requests, and failures counted against the minion (the
// process that serves the service), when open connections stop transferring data
// for good while new ones work.
func TestFrozenConnectionsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1, withProgressTimeout)
	h.minions[0].SetServiceTime(time.Millisecond)
	g.Expect(h.sendConcurrently(4)).To(Equal(4))
	h.minions[0].StallOpenConns()
	h.servers[0].retries.tokens = 10 * requestsPerRetry
	g.Expect(h.sendConcurrently(4)).To(Equal(4))
	g.Eventually(func() int { return h.shard.count(apiv1.GrantOutcome_GRANT_OUTCOME_CONNECTION_SILENT) }).Should(BeNumerically(">", 0))
	g.Expect(h.shard.count(apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED)).To(BeZero())
}

// Guards against a stalled or closed network path that is mistaken for a slow
// minion. When the relay in between freezes or closes the connection, the request
// must be sent on a new one.
func TestStalledRelayIsAbandoned(t *testing.T) {
	for name, breakPath := range map[string]func(*fakes.Relay){
		"frozen": (*fakes.Relay).StallOpenConns,
		"cut":    (*fakes.Relay).CloseConns,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 1, 1, withProgressTimeout)
			relay, err := fakes.StartRelay(h.minions[0].Address())
			g.Expect(err).NotTo(HaveOccurred())
			defer relay.Close()
			h.shard.minions[0].Address = relay.Address()
			g.Expect(h.send(0, "GET", "/v1/services/alerts/", "").status).To(Equal(200))
			breakPath(relay)
			if name == "cut" { // a closed connection is detected before it is used, without a retry
				idle := h.servers[0].pools.get(relay.Address()).idle[0]
				g.Eventually(idle.isUsable).Should(BeFalse())
				h.servers[0].retries.tokens = 0
			}
			g.Expect(h.send(0, "GET", "/v1/services/alerts/", "").status).To(Equal(200))
		})
	}
}

// Guards against an incomplete response, or the response to another request, that is
// delivered to a caller.
func TestTruncatedAndMismatchedResponsesAreNotDelivered(t *testing.T) {
	for fault, code := range map[fakes.MinionFault]string{
		fakes.MinionTruncatesBody: "3004", fakes.MinionWrongID: "3004", fakes.MinionNoLength: "3004", fakes.MinionClosesConnection: "3001",
	} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 1, 2)
			h.minions[1].SetFault(fault)
			r := h.send(0, "GET", "/v1/services/alerts/", "")
			g.Expect(r.status).To(Equal(200))
			g.Expect(h.shard.granted).To(BeEquivalentTo(2), "the first minion is the faulty one")
			h.minions[0].SetFault(fault)
			h.servers[0].retries.tokens = 0
			r = h.send(0, "GET", "/v1/services/alerts/", "")
			g.Expect([]any{r.status, r.code(), r.notRun()}).To(Equal([]any{502, code, false}))
		})
	}
}

// Guards against a streamed response that was cut off and that the caller takes for
// complete.
func TestBrokenStreamResetsTheCaller(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	h.minions[0].SetResponder(func(*http.Request, []byte) (int, []byte) { return 200, make([]byte, 8<<20) })
	g.Expect(h.send(0, "GET", "/v1/services/alerts/", "").body).To(HaveLen(8 << 20))
	h.minions[0].SetFault(fakes.MinionTruncatesBody)
	r := h.send(0, "GET", "/v1/services/alerts/", "")
	g.Expect(r.err).To(HaveOccurred())
	g.Eventually(func() int { return h.shard.count(apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED) }).Should(Equal(1))
}

// Guards against large requests and responses that are corrupted or cut off, and
// against a response header without end.
func TestLargeBodiesPassBothWays(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	body := strings.Repeat("0123456789", 500_000)
	g.Expect(h.send(0, "PUT", "/v1/services/alerts/", body).body).To(HaveSuffix(" " + body))
	h.minions[0].SetFault(fakes.MinionLongHeader)
	g.Expect(h.send(0, "GET", "/v1/services/alerts/", "").code()).To(Equal("3004"))
}

// Guards against retries that multiply an overload.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	h.minions[0].SetFault(fakes.MinionFails)
	const requests = 100
	for range requests {
		r := h.send(0, "GET", "/v1/services/alerts/", "")
		g.Expect(r.status).To(Equal(500))
	}
	arrived, _ := h.minions[0].RequestCounts()
	g.Expect(arrived).To(Equal(requests + requests/10 + minRetriesPerSecond))
	h.clock.Advance(2 * time.Second) // the first second earned more than the minimum
	b := h.servers[0].retries
	for range minRetriesPerSecond {
		g.Expect(b.tryTake()).To(BeTrue())
	}
	g.Expect(b.tryTake()).To(BeFalse())
}

// Guards against more connections to a minion than the grant, the permission to
// send a request to the minion, allows.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	h.shard.maxConnections = 2
	h.minions[0].SetServiceTime(2 * time.Millisecond)
	g.Expect(h.sendConcurrently(20)).To(Equal(20))
	_, atOnce := h.minions[0].RequestCounts()
	g.Expect(atOnce).To(BeNumerically("<=", 2))
	open, _ := h.servers[0].pools.get(h.minions[0].Address()).counts()
	g.Expect(open).To(BeNumerically("<=", 2))
}

// Guards against a shutdown that aborts requests or loses their outcomes.
func TestDrainCutsNoRequest(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	started, release, commit := make(chan struct{}), make(chan struct{}), make(chan struct{})
	h.control.onFinish = func() { <-commit }
	h.minions[0].SetResponder(func(*http.Request, []byte) (int, []byte) {
		started <- struct{}{}
		<-release
		return 200, []byte("whole")
	})
	got := make(chan reply, 2)
	id := newAttemptID()
	go func() { got <- h.send(0, "GET", "/v1/services/alerts/", "") }()
	go func() { got <- h.send(0, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id) }()
	<-started
	<-started
	drained := make(chan error, 1)
	go func() { drained <- h.servers[0].Drain(t.Context()) }()
	g.Eventually(func() string { return h.send(0, "GET", "/v1/services/alerts/", "").code() }).Should(Equal("2008"))
	g.Consistently(drained, "50ms").ShouldNot(Receive())
	close(release)
	g.Expect((<-got).body).To(Equal("whole"))
	g.Expect((<-got).body).To(Equal("whole"))
	g.Consistently(drained, "50ms").ShouldNot(Receive())
	close(commit)
	g.Expect(<-drained).To(Succeed())
	g.Expect(h.shard.count(apiv1.GrantOutcome_GRANT_OUTCOME_DONE)).To(Equal(2))
	g.Expect(h.control.ledger.Snapshot().Records[0].State).To(Equal(apiv1.RequestState_REQUEST_STATE_DONE))
}

// Guards against a caller that waits for a response on a stalled path: after the
// connections were used, the relay stops transferring data in one direction.
func TestStalledDirectionIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 2, withProgressTimeout)
	relay, err := fakes.StartRelay(h.minions[0].Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer relay.Close()
	h.shard.minions[0].Address = relay.Address()
	g.Expect(h.sendConcurrently(4)).To(Equal(4))
	for _, d := range []fakes.Direction{fakes.ToTarget, fakes.FromTarget} {
		relay.Stall(d, true)
		g.Expect(h.sendConcurrently(2)).To(Equal(2))
		relay.Stall(d, false)
	}
}
