package entry

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// Writes are split into chunks of this size, and progress is recorded after
	// each.
	writeChunkBytes = 64 << 10
	readBufferBytes = 16 << 10
	// Largest response header accepted from a minion, interim responses
	// included.
	maxResponseHeaderBytes = 64 << 10
)

// The texts of these errors are part of the message that the caller gets.
var (
	errNoRequest      = errors.New("no request is armed on the connection")
	errNoProgress     = errors.New("the connection made no progress")
	errHeaderTooLarge = fmt.Errorf("the response header exceeds %d bytes", maxResponseHeaderBytes)
)

// minionConn is a connection to a minion, a process that serves requests to a
// service. The connection carries one request at a time. No byte of a request is
// written before the request's check has succeeded.
type minionConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool      // has carried a request before
	idleAt time.Time // when it was returned to the pool

	// State of the current request, set by beginRequest.

	sendCheck       func() *result.Error // runs before the first write; nil after it succeeded
	inRequest       bool
	checkErr        *result.Error // error of sendCheck
	progressTimeout time.Duration // longest time without a byte in either direction
	sentBytes       atomic.Bool   // a byte of the request may have been sent
	receivedBytes   bool          // a byte arrived since the request began
	headerBytesLeft int           // bytes the response header may still take; negative after its end
	lastProgress    atomic.Int64  // Unix nanoseconds of the last byte in either direction
}

func newMinionConn(c net.Conn) *minionConn {
	m := &minionConn{Conn: c}
	m.reader = bufio.NewReaderSize(m, readBufferBytes)
	return m
}

// beginRequest prepares the connection for one request. check runs before the
// first byte is written; if it fails, Write returns its error.
func (m *minionConn) beginRequest(check func() *result.Error, progressTimeout time.Duration) {
	m.sendCheck = check
	m.inRequest = true
	m.checkErr = nil
	m.progressTimeout = progressTimeout
	m.sentBytes.Store(false)
	m.receivedBytes = false
	m.headerBytesLeft = maxResponseHeaderBytes
	m.recordProgress()
}

func (m *minionConn) recordProgress() { m.lastProgress.Store(time.Now().UnixNano()) }

// Write implements net.Conn. The first call for a request runs its check. It
// fails with errNoProgress when a chunk of writeChunkBytes is not written within
// the progress timeout.
func (m *minionConn) Write(p []byte) (int, error) {
	if !m.inRequest {
		return 0, errNoRequest
	}
	if m.checkErr != nil {
		return 0, m.checkErr
	}
	if m.sendCheck != nil {
		if err := m.sendCheck(); err != nil {
			m.checkErr = err
			return 0, err
		}
		m.sendCheck = nil
	}
	m.sentBytes.Store(true)
	return m.writeChunks(p)
}

func (m *minionConn) writeChunks(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		chunk := p[:min(len(p), writeChunkBytes)]
		_ = m.SetWriteDeadline(time.Now().Add(m.progressTimeout)) // fails only on a closed connection, as Write then does
		n, err := m.Conn.Write(chunk)
		total += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return total, errNoProgress
		}
		if err != nil {
			return total, err
		}
		m.recordProgress()
		p = p[n:]
	}
	return total, nil
}

// endHeader marks the end of the response header. Further reads are not
// limited.
func (m *minionConn) endHeader() { m.headerBytesLeft = -1 }

// Read implements net.Conn. It fails with errNoProgress when no byte was sent or
// received for the progress timeout, and with errHeaderTooLarge when the
// response header is longer than maxResponseHeaderBytes.
func (m *minionConn) Read(p []byte) (int, error) {
	if m.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if m.headerBytesLeft > 0 {
		p = p[:min(len(p), m.headerBytesLeft)]
	}
	for {
		last := m.lastProgress.Load()
		_ = m.SetReadDeadline(time.Unix(0, last).Add(m.progressTimeout)) // fails only on a closed connection, as Read then does
		n, err := m.Conn.Read(p)
		if n > 0 {
			m.receivedBytes = true
			m.headerBytesLeft -= min(n, max(m.headerBytesLeft, 0))
			m.recordProgress()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if m.lastProgress.Load() == last {
			return n, errNoProgress
		}
	}
}

// isUsable reports whether an idle connection is still open and has no unread
// bytes, such as those of a late response.
func (m *minionConn) isUsable() bool {
	if m.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := m.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	_ = m.SetReadDeadline(time.Time{})
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		// EAGAIN means that there is nothing to read. On a connection that the
		// peer closed, Recvfrom returns 0 bytes and no error.
		noData = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}
