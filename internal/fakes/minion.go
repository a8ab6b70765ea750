// Package fakes holds stand-ins for the outside systems that tests and
// bergamot-dev meet: minions, workers and the platform.
package fakes

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	headerRequestID         = "Bergamot-Request-Id"
	defaultAnnounceInterval = time.Second
	announceTimeout         = 2 * time.Second
	longHeaderBytes         = 4 << 20
)

// MinionFault is a way in which a minion answers wrongly.
type MinionFault int

const (
	// MinionHealthy answers correctly.
	MinionHealthy MinionFault = iota
	// MinionTruncatesBody declares the whole length and sends half.
	MinionTruncatesBody
	// MinionWrongID answers with another request's id.
	MinionWrongID
	// MinionNoLength answers without Content-Length.
	MinionNoLength
	// MinionFails answers 500 to everything.
	MinionFails
	// MinionLongHeader sends a header of several megabytes.
	MinionLongHeader
	// MinionClosesConnection closes the connection without an answer.
	MinionClosesConnection
)

// MinionOptions configures a minion. Without AnnounceURLs it does not announce
// itself.
type MinionOptions struct {
	Announcement     *apiv1.MinionAnnouncement // the address is filled in
	ListenAddress    string                    // 127.0.0.1:0 when empty
	AnnounceURLs     []string                  // base URLs of entries' target listeners, used in turn
	AnnounceInterval time.Duration             // 1 s when zero
}

// Minion is a back end that counts the runs of each request id.
type Minion struct {
	o        MinionOptions
	listener *freezingListener
	server   *http.Server
	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	mu          sync.Mutex
	serviceTime time.Duration
	fault       MinionFault
	leaving     bool
	responder   func(r *http.Request, body []byte) (status int, answer []byte)
	runs        map[string]int
	running     int
	maxRunning  int
	total       int
}

// StartMinion starts a minion that serves and announces itself until Close or
// Crash.
func StartMinion(o MinionOptions) (*Minion, error) {
	if o.ListenAddress == "" {
		o.ListenAddress = "127.0.0.1:0"
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = defaultAnnounceInterval
	}
	l, err := net.Listen("tcp", o.ListenAddress)
	if err != nil {
		return nil, fmt.Errorf("minion: %w", err)
	}
	m := &Minion{
		o:        o,
		listener: newFreezingListener(l),
		stop:     make(chan struct{}),
		runs:     map[string]int{},
	}
	if m.o.Announcement == nil {
		m.o.Announcement = &apiv1.MinionAnnouncement{}
	}
	m.o.Announcement.Address = l.Addr().String()
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	m.wg.Go(func() { _ = m.server.Serve(m.listener) }) // returns when the server is closed
	if len(o.AnnounceURLs) > 0 {
		m.wg.Go(m.announceLoop)
	}
	return m, nil
}

// Address returns the ip:port of the HTTP listener.
func (m *Minion) Address() string { return m.listener.Addr().String() }

// Announcement returns what the minion announces.
func (m *Minion) Announcement() *apiv1.MinionAnnouncement {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.o.Announcement
	return &apiv1.MinionAnnouncement{
		MinionId: a.MinionId, Service: a.Service, Vm: a.Vm, AvailabilityZone: a.AvailabilityZone, Rack: a.Rack,
		Address: a.Address, Slots: a.Slots, Connections: a.Connections, Pool: a.Pool, Leaving: a.Leaving || m.leaving,
	}
}

// SetServiceTime sets how long each request takes.
func (m *Minion) SetServiceTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serviceTime = d
}

// SetFault sets how the minion answers from now on.
func (m *Minion) SetFault(f MinionFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetLeaving announces that the minion wants no new work.
func (m *Minion) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// SetResponder replaces the answer, which by default repeats the request id,
// a space and the request's body.
func (m *Minion) SetResponder(fn func(r *http.Request, body []byte) (int, []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responder = fn
}

// Runs returns how often the request id arrived.
func (m *Minion) Runs(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[id]
}

// RequestCounts returns how many requests arrived, and how many ran at once at most.
func (m *Minion) RequestCounts() (arrived, maxAtOnce int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.total, m.maxRunning
}

// StallOpenConns makes the connections that are open now silent for good, while
// new ones work.
func (m *Minion) StallOpenConns() { m.listener.freeze() }

// Crash closes the listener and every connection at once.
func (m *Minion) Crash() {
	m.stopOnce.Do(func() { close(m.stop) })
	m.server.Close()
	m.listener.closeAll()
	m.wg.Wait()
}

// Close ends the minion.
func (m *Minion) Close() { m.Crash() }

func (m *Minion) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	serviceTime, fault, responder := m.begin(id)
	defer m.end()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if serviceTime > 0 {
		select {
		case <-time.After(serviceTime):
		case <-m.stop:
		}
	}
	status, answer := http.StatusOK, append([]byte(id+" "), body...)
	if responder != nil {
		status, answer = responder(r, body)
	}
	writeMinionAnswer(w, id, fault, status, answer)
}

func (m *Minion) begin(id string) (time.Duration, MinionFault, func(*http.Request, []byte) (int, []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[id]++
	m.total++
	m.running++
	m.maxRunning = max(m.maxRunning, m.running)
	return m.serviceTime, m.fault, m.responder
}

func (m *Minion) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running--
}

func writeMinionAnswer(w http.ResponseWriter, id string, fault MinionFault, status int, answer []byte) {
	switch fault {
	case MinionClosesConnection:
		panic(http.ErrAbortHandler)
	case MinionFails:
		status = http.StatusInternalServerError
	case MinionWrongID:
		id = "another-" + id
	}
	w.Header().Set(headerRequestID, id)
	if fault == MinionLongHeader {
		w.Header().Set("Padding", strings.Repeat("x", longHeaderBytes))
	}
	if fault == MinionNoLength {
		w.WriteHeader(status)
		w.(http.Flusher).Flush()
		w.Write(answer)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	if fault == MinionTruncatesBody {
		w.Write(answer[:len(answer)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(answer)
}

func (m *Minion) announceLoop() {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(m.o.AnnounceInterval)
	defer ticker.Stop()
	for next := 0; ; next++ {
		m.announce(client, m.o.AnnounceURLs[next%len(m.o.AnnounceURLs)])
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement; a lost one is made good by the next.
func (m *Minion) announce(client *http.Client, base string) {
	body, err := protojson.Marshal(m.Announcement())
	if err != nil {
		return
	}
	resp, err := client.Post(base+"/v1/announce/minion", "application/json", bytes.NewReader(body))
	if err == nil {
		resp.Body.Close()
	}
}
