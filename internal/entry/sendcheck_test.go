package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a request that is sent although a condition checked before its
// grant (the permission to send it to a minion, a process that serves the
// service) no longer holds when the first byte is about to be sent.
func TestRequestIsRecheckedBeforeSend(t *testing.T) {
	objects := func(fn func(o *apiv1.ObjectSet)) func(*harness) {
		return func(h *harness) { h.session.change(func(v *apiv1.View) { fn(v.Config.Objects) }) }
	}
	cases := []struct {
		name, code string
		change     func(h *harness)
	}{
		{"revoked key", "1002", objects(func(o *apiv1.ObjectSet) { o.Key[0].Revoked = true })},
		{"team removed from the queue", "1003", objects(func(o *apiv1.ObjectSet) { o.Queue[0].Teams = nil })},
		{"zone taken out", "2007", objects(func(o *apiv1.ObjectSet) { o.AvailabilityZone[0].State = apiv1.ZoneState_ZONE_STATE_OUT })},
		{"VM leaving", "2006", func(h *harness) { h.session.change(func(v *apiv1.View) { v.LeavingVms = []string{"vm-a"} }) }},
		{"session expired during a pause", "2004", func(h *harness) { h.clock.Advance(2 * time.Hour) }},
		{"deadline passed during a pause", "2001", func(h *harness) { h.clock.Advance(31 * time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 1, 1)
			change := func() { c.change(h) }
			h.shard.afterGrant = change
			r := h.send(0, "GET", "/v1/services/alerts/", "")
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.notRun()).To(BeTrue())
			g.Expect(r.code()).To(Equal(c.code))

			h = newHarness(t, 1, 1)
			h.shard.afterGrant = change
			large := strings.Repeat("x", 2*maxInlineBodyBytes)
			r = h.send(0, "POST", "/v1/services/alerts/", large, headerIdempotencyKey, newAttemptID())
			g.Expect(r.notRun()).To(BeTrue())
			arrived, _ := h.minions[0].RequestCounts()
			g.Expect(arrived).To(BeZero())
		})
	}
}

// Guards against a grant that is used after start_within_ms, or after a new shard
// host (the process that runs the service's scheduler) has counted the slots in
// use without it.
func TestStaleGrantIsReplaced(t *testing.T) {
	changes := map[string]func(h *harness){
		"unused in time": func(h *harness) { h.shard.startWithin = 1000 },
		"report": func(h *harness) {
			h.shard.epoch = 4
			report, _ := h.servers[0].reportGrants(t.Context(), &apiv1.ReportGrants{Service: "alerts", Epoch: 4})
			NewWithT(t).Expect(report.Grants).To(BeEmpty()) // the grant had not arrived
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 1, 1)
			if name == "unused in time" {
				h.shard.startWithin = 0
			}
			h.shard.afterGrant = func() { change(h) }
			r := h.send(0, "GET", "/v1/services/alerts/", "")
			g.Expect(r.status).To(Equal(200))
			g.Expect(h.shard.granted).To(BeEquivalentTo(2))
			arrived, _ := h.minions[0].RequestCounts()
			g.Expect(arrived).To(Equal(1))
		})
	}
}

// Guards against a new shard host that does not learn of a running request.
func TestHeldGrantsAreReported(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	h.minions[0].SetResponder(func(*http.Request, []byte) (int, []byte) {
		report, _ := h.servers[0].reportGrants(t.Context(), &apiv1.ReportGrants{Service: "alerts", Epoch: 4})
		g.Expect(report.SessionId).To(BeEquivalentTo(7))
		g.Expect(report.Grants).To(HaveLen(1))
		g.Expect(report.Grants[0].MinionId).To(Equal("minion-a"))
		g.Expect(report.Grants[0].RemainingMs).To(BeEquivalentTo(5000))
		h.session.change(func(v *apiv1.View) {
			v.Sessions = append(v.Sessions, &apiv1.Session{Id: 9, RpcAddress: "127.0.0.1:9"})
			v.Shards[0] = &apiv1.Shard{Service: "alerts", Epoch: 4, SessionId: 9}
		})
		return 200, []byte("whole")
	})
	r := h.send(0, "GET", "/v1/services/alerts/", "", headerTimeout, "5000")
	g.Expect(r.body).To(Equal("whole"))
	g.Expect(h.servers[0].Drain(t.Context())).To(Succeed())
	g.Expect(h.shard.releasedTo).To(Equal("127.0.0.1:9"), "the new host counts the grant")
	g.Expect(h.servers[0].grants.dump()).To(BeEmpty())
}

// Guards against a request that keeps waiting for a lost shard host although the
// view, the replicated state that entry processes receive, already shows the new
// host.
func TestLostShardHostIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	h.shard.unreachableEpoch, h.shard.epoch = 3, 4
	got := make(chan reply, 1)
	go func() { got <- h.send(0, "GET", "/v1/services/alerts/", "", headerTimeout, "20000") }()
	g.Eventually(func() int { n, _, _ := h.servers[0].inFlight.counts(); return n }).Should(Equal(1))
	h.session.change(func(v *apiv1.View) { v.Shards[0].Epoch = 4 })
	g.Expect((<-got).status).To(Equal(200))
}

// Guards against a process that uses its grant although, while the start was
// committed, the process was paused or the shard moved. Guards also against an id
// that stays blocked after that: the request did not run, so the caller may send
// it again.
func TestRefusedStartFreesTheID(t *testing.T) {
	changes := map[string]func(h *harness){
		"pause": func(h *harness) { h.clock.Advance(1500 * time.Millisecond) },
		"handover": func(h *harness) {
			h.shard.epoch = 4
			h.servers[0].grants.fenceAndReport("alerts", 4)
		},
		"new epoch in the view": func(h *harness) {
			h.shard.epoch = 4
			h.session.change(func(v *apiv1.View) { v.Shards[0].Epoch = 4 })
		},
		"session replaced": func(h *harness) { h.session.id = 8 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, 2, 1)
			h.control.onStart = func() { change(h); h.control.onStart = nil }
			id := newAttemptID()
			r := h.send(0, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id)
			g.Expect([]any{r.code(), r.notRun()}).To(Equal([]any{map[bool]string{true: "2004", false: "2006"}[name == "session replaced"], true}))
			g.Expect(h.minions[0].Runs(id)).To(BeZero())
			r = h.send(1, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id)
			g.Expect(r.status).To(Equal(200))
			g.Expect(h.minions[0].Runs(id)).To(Equal(1))
		})
	}
}
