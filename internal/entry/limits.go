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
	// Size of the first buffer for a body of unknown length.
	bodyChunkBytes = 64 << 10
	// Limit on the first buffer for a body of declared length, so that the
	// declaration alone reserves little memory.
	maxFirstBufferBytes = 1 << 20
)

// byteBudget limits the total size of the request bodies in memory.
type byteBudget struct {
	mu        sync.Mutex
	available int64
}

// tryAcquire reserves n bytes and reports whether they were available.
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

// used returns the bytes reserved of a budget that began with total bytes.
func (b *byteBudget) used(total int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return total - b.available
}

// readBody reads the whole body within the limits of size, time and memory. When
// the body is no longer needed, the returned function must be called to release
// its bytes to the budget. Errors are marked as not run, so that the caller may
// send the request again.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, func(), *result.Error) {
	if r.ContentLength > limit {
		return nil, nil, tooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	s.setCallerDeadline(w) // for the interim response "100 Continue"
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.opts.BodyTimeout)) // httptest.ResponseRecorder does not support it
	body, reserved, err := s.readBounded(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		s.buffers.release(reserved)
		w.Header().Set("Connection", "close")
		return nil, nil, bodyError(err, limit, s.opts.BodyTimeout)
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, func() { s.buffers.release(reserved) }, nil
}

var errBuffersFull = errors.New("buffers are full")

// readBounded reads r to its end into a buffer that grows within the budget.
// declared is the length of the body, or negative if it is unknown. The reserved
// bytes must be released, after an error as well.
func (s *Server) readBounded(r io.Reader, declared int64) (body []byte, reserved int64, err error) {
	firstSize := int64(bodyChunkBytes)
	if declared >= 0 {
		firstSize = min(declared+1, maxFirstBufferBytes) // one more byte to read the end without growing
	}
	for {
		if int64(len(body)) == reserved {
			grow := max(firstSize, reserved) // doubling keeps the total of copied bytes linear
			if !s.buffers.tryAcquire(grow) {
				return nil, reserved, errBuffersFull
			}
			reserved += grow
			body = append(make([]byte, 0, reserved), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
}

// bodyError converts an error of readBounded.
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
