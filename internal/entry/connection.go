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
	// Unit of writes between which progress is noted.
	writeChunkBytes = 64 << 10
	readBufferBytes = 16 << 10
	// Largest response header accepted from a minion.
	maxResponseHeaderBytes = 64 << 10
)

var (
	errNotArmed = errors.New("no request is armed on the connection")
	errSilent   = errors.New("the connection made no progress")
	errHeader   = fmt.Errorf("the response header exceeds %d bytes", maxResponseHeaderBytes)
)

// minionConn is one connection to a minion. It carries one request at a time
// and lets no byte pass before the armed check has succeeded.
type minionConn struct {
	net.Conn
	reader *bufio.Reader
	reused bool // has carried a request before
	idleAt time.Time

	check    func() *result.Error // armed per request; nil after it succeeded
	armed    bool
	refused  *result.Error // the check's failure
	silence  time.Duration // longest time without progress
	wrote    atomic.Bool   // a byte of the armed request may have left
	read     bool          // a byte came back since the connection was armed
	header   int           // bytes still allowed before the end of the header; negative after it
	progress atomic.Int64  // Unix nanoseconds of the last byte in any direction
}

func newMinionConn(c net.Conn) *minionConn {
	m := &minionConn{Conn: c}
	m.reader = bufio.NewReaderSize(m, readBufferBytes)
	return m
}

// arm prepares the connection for one request.
func (m *minionConn) arm(check func() *result.Error, silence time.Duration) {
	m.check = check
	m.armed = true
	m.refused = nil
	m.silence = silence
	m.wrote.Store(false)
	m.read = false
	m.header = maxResponseHeaderBytes
	m.touch()
}

func (m *minionConn) touch() { m.progress.Store(time.Now().UnixNano()) }

// Write implements net.Conn. The first call for a request runs the check.
func (m *minionConn) Write(p []byte) (int, error) {
	if !m.armed {
		return 0, errNotArmed
	}
	if m.refused != nil {
		return 0, m.refused
	}
	if m.check != nil {
		if err := m.check(); err != nil {
			m.refused = err
			return 0, err
		}
		m.check = nil
	}
	m.wrote.Store(true)
	return m.writeChunks(p)
}

func (m *minionConn) writeChunks(p []byte) (int, error) {
	total := 0
	for len(p) > 0 {
		chunk := p[:min(len(p), writeChunkBytes)]
		_ = m.SetWriteDeadline(time.Now().Add(m.silence)) // fails only on a closed connection, as Write then does
		n, err := m.Conn.Write(chunk)
		total += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return total, errSilent
		}
		if err != nil {
			return total, err
		}
		m.touch()
		p = p[n:]
	}
	return total, nil
}

// headerDone lifts the limit on bytes read.
func (m *minionConn) headerDone() { m.header = -1 }

// Read implements net.Conn. It fails with errSilent when no byte went in
// either direction for the armed time.
func (m *minionConn) Read(p []byte) (int, error) {
	if m.header == 0 {
		return 0, errHeader
	}
	if m.header > 0 {
		p = p[:min(len(p), m.header)]
	}
	for {
		last := m.progress.Load()
		_ = m.SetReadDeadline(time.Unix(0, last).Add(m.silence)) // fails only on a closed connection, as Read then does
		n, err := m.Conn.Read(p)
		if n > 0 {
			m.read = true
			m.header -= min(n, max(m.header, 0))
			m.touch()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if m.progress.Load() == last {
			return n, errSilent
		}
	}
}

// usable reports whether an idle connection is still open and holds no stray
// bytes, such as a late answer.
func (m *minionConn) usable() bool {
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
	quiet := false
	_ = m.SetReadDeadline(time.Time{})
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
