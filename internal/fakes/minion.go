// Package fakes implements fake minions (which serve requests), workers (which run
// jobs) and VM platforms, and a TCP relay that can break connections, for tests and
// bergamot-dev. Minions and workers report to entry processes, short entries.
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
	oversizedHeaderBytes    = 4 << 20
)

// MinionFault is a way in which a minion's responses are faulty.
type MinionFault int

const (
	// MinionHealthy responds correctly.
	MinionHealthy MinionFault = iota
	// MinionTruncatesBody sends the Content-Length of the whole body but only the
	// first half of it, then closes the connection.
	MinionTruncatesBody
	// MinionWrongID responds with a request id other than the request's.
	MinionWrongID
	// MinionNoLength responds without Content-Length.
	MinionNoLength
	// MinionFails responds to each request with status 500.
	MinionFails
	// MinionLongHeader responds with a header of 4 MiB.
	MinionLongHeader
	// MinionClosesConnection closes the connection without a response.
	MinionClosesConnection
	// MinionContentTypeNotUTF8 responds with a Content-Type that isn't UTF-8.
	MinionContentTypeNotUTF8
)

// MinionOptions configures a minion. Without AnnounceURLs it does not announce
// itself.
type MinionOptions struct {
	Announcement     *apiv1.MinionAnnouncement // StartMinion sets the address
	ListenAddress    string                    // 127.0.0.1:0 when empty
	AnnounceURLs     []string                  // base URLs of entries' target listeners, used round-robin
	AnnounceInterval time.Duration             // 1 s when zero
}

// Minion is a fake minion: an HTTP server that counts the requests with each
// request id.
type Minion struct {
	opts     MinionOptions
	listener *stallingListener
	server   *http.Server
	stop     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	mu            sync.Mutex
	serviceTime   time.Duration
	fault         MinionFault
	leaving       bool
	responder     func(r *http.Request, body []byte) (status int, response []byte)
	runs          map[string]int // requests by request id
	concurrent    int
	maxConcurrent int
	arrived       int
}

// StartMinion starts a minion that serves requests and announces itself until
// Close or Crash.
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
		opts:     o,
		listener: newStallingListener(l),
		stop:     make(chan struct{}),
		runs:     map[string]int{},
	}
	if m.opts.Announcement == nil {
		m.opts.Announcement = &apiv1.MinionAnnouncement{}
	}
	m.opts.Announcement.Address = l.Addr().String()
	m.server = &http.Server{Handler: http.HandlerFunc(m.serve)}
	m.wg.Go(func() { _ = m.server.Serve(m.listener) }) // returns when the server is closed
	if len(o.AnnounceURLs) > 0 {
		m.wg.Go(m.announceLoop)
	}
	return m, nil
}

// Address returns the ip:port of the HTTP listener.
func (m *Minion) Address() string { return m.listener.Addr().String() }

// Announcement returns a copy of the minion's current announcement.
func (m *Minion) Announcement() *apiv1.MinionAnnouncement {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := m.opts.Announcement
	return &apiv1.MinionAnnouncement{
		MinionId: a.MinionId, Service: a.Service, Vm: a.Vm, AvailabilityZone: a.AvailabilityZone, Rack: a.Rack,
		Address: a.Address, Slots: a.Slots, Connections: a.Connections, Pool: a.Pool, Leaving: a.Leaving || m.leaving,
	}
}

// SetServiceTime sets the delay before the response to each request.
func (m *Minion) SetServiceTime(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serviceTime = d
}

// SetFault sets the fault of all further responses.
func (m *Minion) SetFault(f MinionFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetLeaving sets whether further announcements say that the minion takes no new
// requests.
func (m *Minion) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// SetResponder sets the function that makes the status and body of responses. By
// default the body is the request id, a space and the request's body.
func (m *Minion) SetResponder(fn func(r *http.Request, body []byte) (int, []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responder = fn
}

// Runs returns the number of requests with the given request id.
func (m *Minion) Runs(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runs[id]
}

// RequestCounts returns the number of requests that arrived, and the largest
// number that were served at the same time.
func (m *Minion) RequestCounts() (arrived, maxConcurrent int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.arrived, m.maxConcurrent
}

// StallOpenConns stalls the connections that are open now, permanently and
// without closing them. New connections work.
func (m *Minion) StallOpenConns() { m.listener.stallOpenConns() }

// Crash closes the listener and all connections immediately.
func (m *Minion) Crash() {
	m.stopOnce.Do(func() { close(m.stop) })
	m.server.Close()
	m.listener.closeAll()
	m.wg.Wait()
}

// Close is the same as Crash.
func (m *Minion) Close() { m.Crash() }

func (m *Minion) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	serviceTime, fault, responder := m.beginRequest(id)
	defer m.endRequest()
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
	status, response := http.StatusOK, append([]byte(id+" "), body...)
	if responder != nil {
		status, response = responder(r, body)
	}
	writeMinionResponse(w, id, fault, status, response)
}

// beginRequest counts a request and returns the current behavior.
func (m *Minion) beginRequest(id string) (time.Duration, MinionFault, func(*http.Request, []byte) (int, []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runs[id]++
	m.arrived++
	m.concurrent++
	m.maxConcurrent = max(m.maxConcurrent, m.concurrent)
	return m.serviceTime, m.fault, m.responder
}

func (m *Minion) endRequest() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.concurrent--
}

func writeMinionResponse(w http.ResponseWriter, id string, fault MinionFault, status int, body []byte) {
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
		w.Header().Set("Padding", strings.Repeat("x", oversizedHeaderBytes))
	}
	if fault == MinionContentTypeNotUTF8 {
		w.Header().Set("Content-Type", "text/\xff")
	}
	if fault == MinionNoLength {
		w.WriteHeader(status)
		w.(http.Flusher).Flush()
		w.Write(body)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if fault == MinionTruncatesBody {
		w.Write(body[:len(body)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(body)
}

func (m *Minion) announceLoop() {
	client := &http.Client{Timeout: announceTimeout}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(m.opts.AnnounceInterval)
	defer ticker.Stop()
	for next := 0; ; next++ {
		m.announce(client, m.opts.AnnounceURLs[next%len(m.opts.AnnounceURLs)])
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement. It ignores errors since the next announcement
// replaces a lost one.
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
