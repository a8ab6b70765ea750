package httplimit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// memoryWait is how long a request waits for memory that dropped clients give back.
	memoryWait = 500 * time.Millisecond
	// smallRequestBytes is the memory for what is decoded up to which a request may take
	// the reserve.
	smallRequestBytes = 16 * firstBufferBytes
	// firstBufferBytes is the size of the first buffer of a body. Most bodies fit. Larger
	// ones go on in chunks.
	firstBufferBytes = 4 << 10
	chunkBytes       = 32 << 10
)

// Errors of ReadBody. Nothing has run when they are returned.
var (
	// ErrTooLarge means that the body exceeds its limit.
	ErrTooLarge = errors.New("body is too large")
	// ErrNoMemory means that the bodies of others take the memory. The client may send
	// the request again.
	ErrNoMemory = errors.New("request bodies take all memory that they may")
)

// lease is the memory that one request takes of the budget. Only the goroutine of the
// request uses it, but for the limiter's lock.
type lease struct {
	limiter    *Limiter
	connection *connection
	bytes      int64
}

// end gives all bytes back when the handler has returned. The client may still have to
// send the rest of its body.
func (r *lease) end() {
	r.resize(0)
	r.setWaiting(true, false)
}

// resize sets the bytes that the request takes, fewer than before.
func (r *lease) resize(n int64) {
	if r == nil {
		return
	}
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used += n - r.bytes
	r.bytes = n
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}

// setWaiting records whether the process waits for the client from now on, and for its
// body.
func (r *lease) setWaiting(waits, forBody bool) {
	if r == nil || r.connection == nil {
		return
	}
	l, c := r.limiter, r.connection
	l.mu.Lock()
	defer l.mu.Unlock()
	c.readsBody, c.waitsSince = forBody, time.Time{}
	if waits {
		c.waitsSince = time.Now()
	}
}

// ReadBody reads the whole body of a request on a server in which a Limiter is installed.
// A body of more than limit bytes is refused, from its declared length before anything is
// read. Memory is taken for what arrives, and given back when the request is answered.
// Without a limiter only limit counts.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readBody(w, r, limit)
	request := leaseOf(r.Context())
	if err != nil {
		request.resize(0)
		closeAfterAnswer(w)
	}
	request.setWaiting(err != nil, false)
	return body, err
}

// closeAfterAnswer has the server close the connection after its answer, and not at once,
// so that the answer isn't lost to a client that is still sending. The server does so for
// a body that exceeds the limit of a MaxBytesReader, and reads nothing more of it.
func closeAfterAnswer(w http.ResponseWriter) {
	var b [1]byte
	_, _ = http.MaxBytesReader(w, io.NopCloser(bytes.NewReader(b[:])), 0).Read(b[:])
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	request := leaseOf(r.Context())
	b := &bodyBuffer{request: request}
	defer b.free()
	src := http.MaxBytesReader(w, r.Body, limit)
	for {
		space, err := b.space(r.Context(), r.ContentLength)
		if err != nil {
			return nil, err
		}
		request.setWaiting(true, true)
		n, err := src.Read(space)
		b.filled(n)
		if errors.Is(err, io.EOF) {
			return b.join(r.Context())
		}
		if err != nil {
			return nil, request.readError(err)
		}
	}
}

// bodyBuffer holds a body while it is read, in a first buffer and chunks that are used
// again: a buffer that doubles would leave as much garbage as it holds.
type bodyBuffer struct {
	request *lease
	first   []byte
	chunks  []*[]byte
}

var chunkPool = sync.Pool{New: func() any {
	chunk := make([]byte, 0, chunkBytes)
	return &chunk
}}

// last returns the buffer that is being filled.
func (b *bodyBuffer) last() *[]byte {
	if len(b.chunks) == 0 {
		return &b.first
	}
	return b.chunks[len(b.chunks)-1]
}

// space returns where to read to. declared is the length of the body, or negative if it
// isn't known.
func (b *bodyBuffer) space(ctx context.Context, declared int64) ([]byte, error) {
	last := b.last()
	if len(*last) < cap(*last) {
		return (*last)[len(*last):cap(*last)], nil
	}
	if b.first == nil {
		size := int64(firstBufferBytes)
		if declared > 0 {
			size = min(declared+1, size) // one more byte to read the end
		}
		if err := b.request.acquire(ctx, size, true); err != nil {
			return nil, err
		}
		b.first = make([]byte, 0, size)
		return b.first[:size], nil
	}
	if err := b.request.acquire(ctx, chunkBytes, false); err != nil {
		return nil, err
	}
	chunk := chunkPool.Get().(*[]byte)
	*chunk = (*chunk)[:0]
	b.chunks = append(b.chunks, chunk)
	return (*chunk)[:chunkBytes], nil
}

// filled counts bytes that were read to the space.
func (b *bodyBuffer) filled(n int) {
	last := b.last()
	*last = (*last)[:len(*last)+n]
}

// join returns the whole body in one buffer.
func (b *bodyBuffer) join(ctx context.Context) ([]byte, error) {
	if len(b.chunks) == 0 {
		return b.first, nil
	}
	size := len(b.first)
	for _, chunk := range b.chunks {
		size += len(*chunk)
	}
	if err := b.request.acquire(ctx, int64(size), false); err != nil {
		return nil, err
	}
	body := append(make([]byte, 0, size), b.first...)
	for _, chunk := range b.chunks {
		body = append(body, *chunk...)
	}
	b.free()
	b.request.resize(int64(size))
	return body, nil
}

// free gives the chunks back.
func (b *bodyBuffer) free() {
	for _, chunk := range b.chunks {
		chunkPool.Put(chunk)
	}
	b.chunks = nil
}

// leaseOf returns the lease of a request, nil without a limiter. The methods that
// ReadBody uses accept a nil lease.
func leaseOf(ctx context.Context) *lease {
	lease, _ := ctx.Value(leaseKey{}).(*lease)
	return lease
}

// readError returns the error for one of the connection.
func (r *lease) readError(err error) error {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return ErrTooLarge
	}
	if r != nil && r.isDropped() {
		return ErrNoMemory
	}
	return fmt.Errorf("body cannot be read: %w", err)
}

func (r *lease) isDropped() bool {
	r.limiter.mu.Lock()
	defer r.limiter.mu.Unlock()
	return r.connection != nil && r.connection.dropped
}

// Reserve takes n bytes more for the rest of the request, for what is decoded from its
// body. Without a limiter it takes none. It takes at most half of the budget, so that a
// single large request is served.
func Reserve(ctx context.Context, n int64) error {
	request := leaseOf(ctx)
	if request == nil {
		return nil
	}
	return request.acquire(ctx, min(n, request.limiter.opts.MaxBytes/2), n <= smallRequestBytes)
}

// acquire takes n bytes more. If there aren't as many, the clients that have stalled
// longest while they send a body are dropped, and what they give back is awaited. Small
// requests may take the reserve.
func (r *lease) acquire(ctx context.Context, n int64, small bool) error {
	if r == nil {
		return nil
	}
	var timeout <-chan time.Time
	for {
		released, err := r.tryAcquire(n, small)
		if err != nil || released == nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(memoryWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-ctx.Done():
			return ctx.Err()
		case <-timeout:
			return ErrNoMemory
		}
	}
}

// tryAcquire takes n bytes more if there are as many. Otherwise it drops the client that
// has stalled longest while it sends a body, and returns a channel that is closed when
// bytes are given back, or ErrNoMemory if there is no such client.
func (r *lease) tryAcquire(n int64, small bool) (released <-chan struct{}, err error) {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	available := l.opts.MaxBytes - l.used
	if !small {
		available -= l.opts.MaxBytes / reserveDivisor
	}
	if n <= available {
		l.used += n
		r.bytes += n
		return nil, nil
	}
	victim := l.longestStalled(func(c *connection) bool { return c.readsBody && c != r.connection })
	if victim == nil && !l.anyDropped() {
		l.count(reasonNoMemory)
		return nil, ErrNoMemory
	}
	if victim != nil {
		victim.conn.Close()
	}
	if l.released == nil {
		l.released = make(chan struct{})
	}
	return l.released, nil
}

// anyDropped reports whether a dropped client has yet to give its memory back. The caller
// holds the lock.
func (l *Limiter) anyDropped() bool {
	for _, c := range l.connections {
		if c.dropped && c.readsBody {
			return true
		}
	}
	return false
}
