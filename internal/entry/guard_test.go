package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a request that starts on knowledge that became wrong between
// the grant and the first byte.
func TestNothingStartsOnStaleKnowledge(t *testing.T) {
	objects := func(fn func(o *apiv1.ObjectSet)) func(*world) {
		return func(w *world) { w.session.change(func(v *apiv1.View) { fn(v.Config.Objects) }) }
	}
	cases := []struct {
		name, code string
		change     func(w *world)
	}{
		{"revoked key", "1002", objects(func(o *apiv1.ObjectSet) { o.Key[0].Revoked = true })},
		{"team removed from the queue", "1003", objects(func(o *apiv1.ObjectSet) { o.Queue[0].Teams = nil })},
		{"zone taken out", "2007", objects(func(o *apiv1.ObjectSet) { o.AvailabilityZone[0].State = apiv1.ZoneState_ZONE_STATE_OUT })},
		{"VM leaving", "2006", func(w *world) { w.session.change(func(v *apiv1.View) { v.LeavingVms = []string{"vm-a"} }) }},
		{"session expired during a pause", "2004", func(w *world) { w.clock.Advance(2 * time.Hour) }},
		{"deadline passed during a pause", "2001", func(w *world) { w.clock.Advance(31 * time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t, 1, 1)
			change := func() { c.change(w) }
			w.shard.afterNext = change
			r := w.send(0, "GET", "/v1/services/alerts/", "")
			g.Expect(r.err).NotTo(HaveOccurred())
			g.Expect(r.notRun()).To(BeTrue())
			g.Expect(r.code()).To(Equal(c.code))

			w = newWorld(t, 1, 1)
			w.shard.afterNext = change
			large := strings.Repeat("x", 2*maxInlineBodyBytes)
			r = w.send(0, "POST", "/v1/services/alerts/", large, headerIdempotencyKey, newAttemptID())
			g.Expect(r.notRun()).To(BeTrue())
			arrived, _ := w.minions[0].RequestCounts()
			g.Expect(arrived).To(BeZero())
		})
	}
}

// Guards against a grant that is used after start_within, or after a new shard
// host has counted without it.
func TestStaleGrantIsReplaced(t *testing.T) {
	changes := map[string]func(w *world){
		"unused in time": func(w *world) { w.shard.startWithin = 1000 },
		"report": func(w *world) {
			w.shard.epoch = 4
			report, _ := w.servers[0].reportGrants(t.Context(), &apiv1.ReportGrants{Service: "alerts", Epoch: 4})
			NewWithT(t).Expect(report.Grants).To(BeEmpty()) // the answer had not arrived
		},
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t, 1, 1)
			if name == "unused in time" {
				w.shard.startWithin = 0
			}
			w.shard.afterNext = func() { change(w) }
			r := w.send(0, "GET", "/v1/services/alerts/", "")
			g.Expect(r.status).To(Equal(200))
			g.Expect(w.shard.next).To(BeEquivalentTo(2))
			arrived, _ := w.minions[0].RequestCounts()
			g.Expect(arrived).To(Equal(1))
		})
	}
}

// Guards against a handover that misses a running request.
func TestHeldGrantsAreReported(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.minions[0].SetResponder(func(*http.Request, []byte) (int, []byte) {
		report, _ := w.servers[0].reportGrants(t.Context(), &apiv1.ReportGrants{Service: "alerts", Epoch: 4})
		g.Expect(report.SessionId).To(BeEquivalentTo(7))
		g.Expect(report.Grants).To(HaveLen(1))
		g.Expect(report.Grants[0].MinionId).To(Equal("minion-a"))
		g.Expect(report.Grants[0].RemainingMs).To(BeEquivalentTo(5000))
		w.session.change(func(v *apiv1.View) {
			v.Sessions = append(v.Sessions, &apiv1.Session{Id: 9, RpcAddress: "127.0.0.1:9"})
			v.Shards[0] = &apiv1.Shard{Service: "alerts", Epoch: 4, SessionId: 9}
		})
		return 200, []byte("whole")
	})
	r := w.send(0, "GET", "/v1/services/alerts/", "", headerTimeout, "5000")
	g.Expect(r.body).To(Equal("whole"))
	g.Expect(w.servers[0].Drain(t.Context())).To(Succeed())
	g.Expect(w.shard.releasedTo).To(Equal("127.0.0.1:9"), "the new host counts the grant")
	g.Expect(w.servers[0].grants.dump()).To(BeEmpty())
}

// Guards against a request that waits at a lost shard host although the view
// already shows the next one.
func TestLostShardHostIsLeft(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(t, 1, 1)
	w.shard.lostEpoch, w.shard.epoch = 3, 4
	got := make(chan reply, 1)
	go func() { got <- w.send(0, "GET", "/v1/services/alerts/", "", headerTimeout, "20000") }()
	g.Eventually(func() int { n, _, _ := w.servers[0].inFlight.counts(); return n }).Should(Equal(1))
	w.session.change(func(v *apiv1.View) { v.Shards[0].Epoch = 4 })
	g.Expect((<-got).status).To(Equal(200))
}

// Guards against a process that was paused during the commit, or missed a
// handover, and then uses its grant; and against a refused start that blocks
// the id: the request did not run, so the caller may send it again.
func TestRefusedStartFreesTheID(t *testing.T) {
	changes := map[string]func(w *world){
		"pause": func(w *world) { w.clock.Advance(1500 * time.Millisecond) },
		"handover": func(w *world) {
			w.shard.epoch = 4
			w.servers[0].grants.report("alerts", 4)
		},
		"new epoch in the view": func(w *world) {
			w.shard.epoch = 4
			w.session.change(func(v *apiv1.View) { v.Shards[0].Epoch = 4 })
		},
		"session replaced": func(w *world) { w.session.id = 8 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(t, 2, 1)
			w.control.onStart = func() { change(w); w.control.onStart = nil }
			id := newAttemptID()
			r := w.send(0, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id)
			g.Expect([]any{r.code(), r.notRun()}).To(Equal([]any{map[bool]string{true: "2004", false: "2006"}[name == "session replaced"], true}))
			g.Expect(w.minions[0].Runs(id)).To(BeZero())
			r = w.send(1, "POST", "/v1/services/alerts/", "x", headerIdempotencyKey, id)
			g.Expect(r.status).To(Equal(200))
			g.Expect(w.minions[0].Runs(id)).To(Equal(1))
		})
	}
}
