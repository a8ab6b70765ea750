package httplimit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const testLimit = 256 << 10

// startServer starts a server that answers with the size of the body, 503 when it has no
// memory for it, and 413 when the body is too large.
func startServer(t *testing.T, o Options) (*Limiter, string) {
	l := New(o)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := ReadBody(w, r, testLimit)
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case err != nil:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			fmt.Fprint(w, len(body))
		}
	}))
	l.Install(s.Config)
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	t.Cleanup(s.Close)
	return l, s.Listener.Addr().String()
}

// post sends a body on a connection of its own and returns the status, zero without one.
func post(address string, body io.Reader) int {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	resp, err := client.Post("http://"+address, "text/plain", body)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// stall sends a part of a body of the declared size and leaves the connection open.
func stall(t *testing.T, address string, declared, sent int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", declared, strings.Repeat("x", sent))
}

func (l *Limiter) usedBytes() int64 { used, _ := l.inUse(); return used }

// Guards against a single body of the largest size that is refused in calm, with and
// without a declared length, and against memory that isn't given back.
func TestLargestBodyIsServedAlone(t *testing.T) {
	g := NewWithT(t)
	l, address := startServer(t, Options{MaxBytes: 4 * testLimit, MaxConnections: 10})
	body := bytes.Repeat([]byte("x"), testLimit)
	g.Expect(post(address, bytes.NewReader(body))).To(Equal(http.StatusOK))
	g.Expect(post(address, io.MultiReader(bytes.NewReader(body)))).To(Equal(http.StatusOK), "chunked")
	g.Expect(post(address, bytes.NewReader(append(body, 'x')))).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(post(address, io.MultiReader(bytes.NewReader(append(body, 'x'))))).To(Equal(http.StatusRequestEntityTooLarge), "chunked")
	g.Eventually(l.usedBytes).Should(BeZero())
}

// Load: clients that stop just short of the end of large bodies and stay. Guards against
// memory that they keep from others, and against small bodies that find none meanwhile.
func TestStalledBodiesAreDroppedForOthers(t *testing.T) {
	g := NewWithT(t)
	l, address := startServer(t, Options{MaxBytes: 4 * testLimit, MaxConnections: 100})
	for range 20 {
		stall(t, address, testLimit, testLimit-1)
	}
	g.Eventually(l.usedBytes).WithTimeout(30 * time.Second).Should(BeNumerically(">", 2*testLimit))
	g.Expect(post(address, strings.NewReader("small"))).To(Equal(http.StatusOK))
	g.Eventually(func() int { return post(address, bytes.NewReader(make([]byte, testLimit))) }).WithTimeout(30 * time.Second).Should(Equal(http.StatusOK))
	g.Expect(l.usedBytes()).To(BeNumerically("<=", 4*testLimit))
}

// Load: more connections than allowed, idle ones, ones that stop within a header, and one
// whose request is being served. Guards against new clients that find no connection, and
// against a request that is dropped while the process works on it.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	g := NewWithT(t)
	l := New(Options{MaxBytes: 1 << 20, MaxConnections: 5})
	working, release := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(working)
			<-release
		}
	}))
	l.Install(s.Config)
	s.Start()
	defer s.Close()
	address := s.Listener.Addr().String()
	slow := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + address + "/slow")
		if err != nil {
			slow <- 0
			return
		}
		resp.Body.Close()
		slow <- resp.StatusCode
	}()
	<-working
	for range 20 {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h")
	}
	g.Eventually(func() int { return post(address, strings.NewReader("x")) }).WithTimeout(30 * time.Second).Should(Equal(http.StatusOK))
	_, connections := l.inUse()
	g.Expect(connections).To(BeNumerically("<=", 6))
	close(release)
	g.Expect(<-slow).To(Equal(http.StatusOK))
}

// splitReader returns a body in parts of the given sizes, and an error at its end if
// broken is set.
type splitReader struct {
	body   []byte
	splits []byte
	broken bool
}

func (s *splitReader) Read(p []byte) (int, error) {
	if len(s.body) == 0 {
		if s.broken {
			return 0, io.ErrUnexpectedEOF
		}
		return 0, io.EOF
	}
	n := min(len(p), len(s.body))
	if len(s.splits) > 0 {
		n = min(n, int(s.splits[0])*16)
		s.splits = s.splits[1:]
	}
	copy(p, s.body[:n])
	s.body = s.body[n:]
	return n, nil
}

func (s *splitReader) Close() error { return nil }

// Checks with random sizes, splits, framings and breaks that a body arrives as sent or not
// at all, that the budget is never exceeded, and that all of it is given back.
func FuzzReadBody(f *testing.F) {
	f.Add(uint32(100), false, false, []byte{1, 0, 200})
	f.Add(uint32(testLimit), true, false, []byte{255, 255})
	f.Add(uint32(testLimit+1), true, true, []byte{})
	f.Fuzz(func(t *testing.T, size uint32, declared, broken bool, splits []byte) {
		g := NewWithT(t)
		size %= testLimit + 1000
		l := New(Options{MaxBytes: 3 * testLimit, MaxConnections: 1})
		sent := make([]byte, size)
		for i := range sent {
			sent[i] = byte(i * 31)
		}
		r := httptest.NewRequest(http.MethodPost, "/", &splitReader{body: sent, splits: splits, broken: broken})
		r.ContentLength = -1
		if declared && size > 0 {
			r.ContentLength = int64(size)
		}
		lease := &lease{limiter: l}
		r = r.WithContext(context.WithValue(r.Context(), leaseKey{}, lease))
		body, err := ReadBody(httptest.NewRecorder(), r, testLimit)
		g.Expect(l.usedBytes()).To(And(BeNumerically(">=", len(body)), BeNumerically("<=", 3*testLimit)))
		switch {
		case size > testLimit:
			g.Expect(err).To(HaveOccurred())
		case broken:
			g.Expect(err).To(HaveOccurred())
		default:
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(body, sent)).To(BeTrue())
		}
		lease.end()
		g.Expect(l.usedBytes()).To(BeZero())
	})
}
