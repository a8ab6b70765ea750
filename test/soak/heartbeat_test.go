package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// beatInterval is the time between two heartbeats of a minion.
	beatInterval = 700 * time.Millisecond
	// beatTimeout is how long a control VM may take to acknowledge a heartbeat, until
	// the next one is called.
	beatTimeout = time.Second
)

// newBeatClient returns the client of a minion's heartbeats.
func newBeatClient() *http.Client {
	c := newHTTPClient()
	c.Timeout = beatTimeout
	return c
}

// announceLoop sends a heartbeat every beatInterval while the minion is up.
func (m *minion) announceLoop(stop <-chan struct{}) {
	for {
		m.announce()
		select {
		case <-stop:
			return
		case <-time.After(beatInterval):
		}
	}
}

// announce calls the control VMs in random order until one of them acknowledges a
// heartbeat. Each call has the minion's present state and a number of its own.
func (m *minion) announce() {
	for _, i := range rand.Perm(len(m.controls)) {
		id, body := m.heartbeat()
		if body == nil {
			return
		}
		if status, _, err := doRequest(m.beatClient, "PUT", "http://"+m.controls[i]+"/instances/"+id, body, nil); err == nil && status == 200 {
			return
		}
	}
}

// heartbeat returns the minion's id and the body of its next heartbeat, nil while it
// is down.
func (m *minion) heartbeat() (id string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return m.id, nil
	}
	m.sequence++
	current := m.currentRoom()
	body, _ = json.Marshal(map[string]any{
		"service": m.pool, "address": m.link.address(), "zone": m.zone, "version": "v1", "slots": 8, "state": "ready",
		"capacity": map[string]int{"cpu": current.cpu, "requestedMemoryMb": current.memory}, "labels": []string{"a", m.rack},
		"born": m.startedAt.UnixMilli(), "clockMs": m.clockMS(), "sequence": m.sequence,
	})
	return m.id, body
}

// Guards against a violation of LIMIT that the fake minion causes: a heartbeat that
// repeats, to the next control VM, the capacity from before the last one was called.
func TestHeartbeatHasThePresentCapacity(t *testing.T) {
	g := NewWithT(t)
	link, err := newProxy("127.0.0.1:0", "127.0.0.1:1")
	g.Expect(err).NotTo(HaveOccurred())
	defer link.close()
	m := &minion{id: "i-0", cpu: minionCPU, link: link, beatClient: newBeatClient()}
	m.startIncarnation()
	type beat struct {
		Capacity struct{ RequestedMemoryMb int }
		Sequence uint64
	}
	var beats []beat
	control := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var b beat
		g.Expect(json.NewDecoder(r.Body).Decode(&b)).To(Succeed())
		if beats = append(beats, b); len(beats) == 1 {
			m.setRoom(m.cpu, 400)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer control.Close()
	address := strings.TrimPrefix(control.URL, "http://")
	m.controls = []string{address, address, address}
	m.announce()
	g.Expect(beats).To(HaveLen(2))
	g.Expect(beats[0].Capacity.RequestedMemoryMb).To(Equal(minionMemory))
	g.Expect(beats[1].Capacity.RequestedMemoryMb).To(Equal(400))
	g.Expect(beats[1].Sequence).To(BeNumerically(">", beats[0].Sequence))
}
