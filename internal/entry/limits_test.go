package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a request that reaches a minion (a process that serves the
// service) although the caller's key, queue, service, timeout or id is not valid
// for the request, or the entry process has no valid session (lease with the
// control group).
func TestWrongCallsAreRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	cases := []struct {
		code, method, path string
		headers            []string
	}{
		{"1001", "GET", "/v1/services/alerts/", []string{"Authorization", "Bearer key-1.guess"}},
		{"1001", "GET", "/v1/services/alerts/", []string{"Authorization", ""}},
		{"1003", "GET", "/v1/services/alerts/", []string{headerQueue, "gait"}},
		{"1005", "GET", "/v1/services/alerts/", []string{headerQueue, "night"}},
		{"1004", "GET", "/v1/services/none/", nil},
		{"1000", "GET", "/v1/services/alerts/", []string{headerTimeout, "30001"}},
		{"1006", "POST", "/v1/services/alerts/", nil},
		{"1007", "POST", "/v1/services/alerts/", []string{headerIdempotencyKey, "5"}},
		{"1010", "GET", "/v2/", nil},
	}
	for _, c := range cases {
		r := h.send(0, c.method, c.path, "", c.headers...)
		g.Expect([]any{r.code(), r.notRun()}).To(Equal([]any{c.code, true}), "%v", c)
	}
	h.clock.Advance(2 * time.Hour)
	g.Expect(h.send(0, "GET", "/v1/services/alerts/", "").code()).To(Equal("2004"))
	arrived, _ := h.minions[0].RequestCounts()
	g.Expect(arrived).To(BeZero())
}

// Guards against bodies that are too large, and slow bodies and headers, which would
// take memory and connections without limit.
func TestOversizedAndSlowInputIsRefused(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1, func(o *Options) {
		o.MaxBodyBytes = 1000
		o.BodyTimeout = 50 * time.Millisecond
		o.HeaderTimeout = 50 * time.Millisecond
	})
	big := strings.Repeat("x", 1001)
	r := h.send(0, "PUT", "/v1/services/alerts/", big)
	g.Expect([]any{r.status, r.code(), r.notRun()}).To(Equal([]any{413, "1009", true}))
	req, _ := http.NewRequest("PUT", h.urls[0]+"/v1/services/alerts/", io.MultiReader(strings.NewReader(big))) // no declared length
	req.Header = http.Header{"Authorization": {"Bearer " + h.credential}, headerQueue: {"heat"}}
	resp, err := h.client.Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(413))

	head := fmt.Sprintf("PUT /v1/services/alerts/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nBergamot-Queue: heat\r\nContent-Length: 10\r\n", h.credential)
	g.Expect(h.sendRaw(g, head+"\r\nhalf")).To(ContainSubstring("Bergamot-Not-Run: true"))
	g.Expect(h.sendRaw(g, head)).NotTo(ContainSubstring("200"), "the server closes the connection")
	arrived, _ := h.minions[0].RequestCounts()
	g.Expect(arrived).To(BeZero())
	g.Expect(h.servers[0].clients.UsedBytes()).To(BeZero())
}

// sendRaw sends text on a new connection and returns what the server sends until it
// closes the connection.
func (h *harness) sendRaw(g *WithT, text string) string {
	c := h.dial(g, text)
	defer c.Close()
	got, _ := io.ReadAll(c)
	return string(got)
}

// dial opens a connection to the first entry server and sends text on it.
func (h *harness) dial(g *WithT, text string) net.Conn {
	c, err := net.Dial("tcp", strings.TrimPrefix(h.urls[0], "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Write([]byte(text))
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// Guards against more requests or buffered bytes at once than the limits allow.
func TestInFlightIsBounded(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1, func(o *Options) { o.MaxInFlight = 1; o.MaxBufferedBytes = 100 })
	h.minions[0].SetResponder(func(*http.Request, []byte) (int, []byte) {
		r := h.send(0, "GET", "/v1/services/alerts/", "")
		g.Expect([]any{r.code(), r.notRun()}).To(Equal([]any{"2000", true}))
		return 200, nil
	})
	g.Expect(h.send(0, "GET", "/v1/services/alerts/", "").status).To(Equal(200))
	g.Expect(h.send(0, "PUT", "/v1/services/alerts/", strings.Repeat("x", 101)).code()).To(Equal("2000"))
}

// Guards against announcements of minions and heartbeats of workers that get lost
// in a batch, and instructions that reach the wrong worker.
func TestTargetsAreBatched(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	targets := httptest.NewServer(h.servers[0].TargetHandler())
	defer targets.Close()
	post := func(path, body string) string {
		resp, err := http.Post(targets.URL+path, "application/json", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.Header.Get(headerResult) + " " + string(b)
	}
	announcement := `{"minion_id":"m","service":"alerts","vm":"vm-m","availability_zone":"zone-1","pool":"p","address":"127.0.0.1:9"}`
	g.Expect(post("/v1/announce/minion", announcement)).To(Equal("1 "))
	g.Expect(post("/v1/announce/minion", `{"minion_id":"m"}`)).To(HavePrefix("1000 "))
	got := make(chan string, 2)
	for _, id := range []string{"w1", "w2"} {
		go func() { got <- id + post("/v1/workers/heartbeat", `{"worker_id":"`+id+`","vm":"v"}`) }()
	}
	g.Eventually(func() int {
		h.servers[0].heartbeats.mu.Lock()
		defer h.servers[0].heartbeats.mu.Unlock()
		return len(h.servers[0].heartbeats.pending)
	}).Should(Equal(2))
	h.servers[0].flush(t.Context())
	for range 2 {
		r := <-got
		g.Expect(r).To(ContainSubstring(`"` + r[:2] + `"`))
	}
	late := h.servers[0].heartbeats.add(&apiv1.WorkerHeartbeat{WorkerId: "w3"})
	h.clock.Advance(2 * time.Hour) // the session ends
	h.servers[0].flush(t.Context())
	g.Expect((<-late.reply).err.Code).To(BeEquivalentTo(2004))
	g.Expect(h.servers[0].Drain(t.Context())).To(Succeed())
	g.Expect(h.control.batches).To(HaveLen(1))
	g.Expect(h.control.batches[0].MinionVms[0].Vm).To(Equal("vm-m"))
	g.Expect(h.shard.announced).To(HaveLen(1))
}

// Guards against jobs that count for another client account than the key's, and
// jobs that are read without a key: an empty account stands for the operators.
func TestJobsBelongToTheKey(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	id := newAttemptID()
	r := h.send(0, "POST", "/v1/jobs", `{"job_id":"`+id+`","client_account":"other","team":"gait","queue":"night","payload":"c2VjcmV0"}`)
	g.Expect(r.status).To(Equal(200), r.body)
	g.Expect(r.body).NotTo(ContainSubstring("c2VjcmV0"))
	g.Expect([]string{h.control.jobs[0].ClientAccount, h.control.jobs[0].Team}).To(Equal([]string{"home-1", "care"}))
	g.Expect(h.send(0, "GET", "/v1/jobs/"+id, "").body).To(ContainSubstring("home-1"))
	g.Expect(h.send(0, "GET", "/v1/jobs/"+id, "", "Authorization", "").code()).To(Equal("1001"))
	g.Expect(h.send(0, "POST", "/v1/jobs", `{"job_id":"`+id+`","queue":"heat"}`).code()).To(Equal("1005"))
	h.session.change(func(v *apiv1.View) { v.Config.Objects.Queue[2].Teams = nil })
	g.Expect(h.send(0, "POST", "/v1/jobs", `{"job_id":"`+id+`","queue":"night"}`).code()).To(Equal("1003"))
}

// Guards against an id in the path that no message can carry and that is answered as a
// fault of the entry, after which callers repeat the call.
func TestJobIDThatIsNotUTF8IsRefused(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, 1, 1)
	r := h.send(0, "GET", "/v1/jobs/%ff", "")
	g.Expect(r.status).To(Equal(400), r.body)
	g.Expect(r.body).To(ContainSubstring("id"))
}

// Load: clients with a valid key stop short of the end of large bodies and stay. Guards
// against an entry that refuses everyone else until these time out.
func TestStalledBodiesGiveWayToOrdinaryRequests(t *testing.T) {
	g := NewWithT(t)
	const bodyBytes = 100_000
	h := newHarness(t, 1, 1, func(o *Options) {
		o.MaxBodyBytes, o.MaxBufferedBytes = bodyBytes, 10*bodyBytes
		o.BodyTimeout = 10 * time.Minute // a body has far longer than the test
	})
	head := fmt.Sprintf("PUT /v1/services/alerts/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nBergamot-Queue: heat\r\nContent-Length: %d\r\n\r\n", h.credential, bodyBytes)
	for range 40 {
		defer h.dial(g, head+strings.Repeat("x", bodyBytes-1)).Close()
	}
	for _, size := range []int{10, bodyBytes} {
		g.Eventually(func() int { return h.send(0, "PUT", "/v1/services/alerts/", strings.Repeat("y", size)).status }).
			WithTimeout(time.Minute).Should(Equal(200), "%d bytes", size)
	}
}
