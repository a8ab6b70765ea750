package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// First buffer for a body of unknown length.
	bodyChunkBytes = 64 << 10
	// Largest first buffer, so that a declared length alone reserves little.
	maxFirstBufferBytes = 1 << 20
)

// byteBudget bounds the request bodies held in memory at once.
type byteBudget struct {
	mu        sync.Mutex
	available int64
}

func (b *byteBudget) tryAcquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

func (b *byteBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}

func (b *byteBudget) used(total int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return total - b.available
}

// readBody reads the whole body within the limits of size, time and memory.
// The returned function gives the memory back.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *result.Error) {
	if r.ContentLength > limit {
		return nil, nil, tooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	s.setCallerDeadline(w) // for "100 Continue"
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.opts.BodyTimeout)) // recorders in tests have no deadline
	body, taken, err := s.readBounded(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		s.buffers.release(taken)
		w.Header().Set("Connection", "close")
		return nil, nil, bodyError(err, limit, s.opts.BodyTimeout)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, func() { s.buffers.release(taken) }, nil
}

var errBuffersFull = errors.New("buffers are full")

func (s *Server) readBounded(r io.Reader, declared int64) (body []byte, taken int64, err error) {
	first := int64(bodyChunkBytes)
	if declared >= 0 {
		first = min(declared+1, maxFirstBufferBytes) // one more to read the end in place
	}
	for {
		if int64(len(body)) == taken {
			grow := max(first, taken) // doubling keeps copies linear
			if !s.buffers.tryAcquire(grow) {
				return nil, taken, errBuffersFull
			}
			taken += grow
			body = append(make([]byte, 0, taken), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, taken, nil
		}
		if err != nil {
			return nil, taken, err
		}
	}
}

func bodyError(err error, limit int64, timeout time.Duration) *result.Error {
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return tooLarge(limit)
	}
	if errors.Is(err, errBuffersFull) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_FULL, "this entry holds too many request bodies; retry later")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request body did not arrive within %v", timeout)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request body could not be read: %v", err)
}

func tooLarge(limit int64) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, "the request body exceeds %d bytes", limit)
}
