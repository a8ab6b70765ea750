package daemon

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"bergamotdrum.example/bergamotdrum/internal/httplimit"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	writeTimeout      = time.Minute
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// NewHTTPServer returns a server with limits on slow requests, slow readers and header
// size. The handlers limit the size of bodies.
func NewHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

const (
	// defaultBodyMemoryBytes is the default without a limit of memory.
	defaultBodyMemoryBytes = 64 << 20
	// minBodies is how many of the largest bodies the memory holds at least: one takes
	// twice its size while its buffer grows, beside the reserve for small ones.
	minBodies = 4
	// connectionMemoryDivisor divides the memory of a process into the part that
	// connections may take, at connectionBytes each.
	connectionMemoryDivisor = 4
	connectionBytes         = 16 << 10
)

// ClientLimits are the settings from which the limits of a listener follow.
type ClientLimits struct {
	// Listener names the listener in logs and metrics.
	Listener string
	// MaxBodyMemoryBytes and MaxConnections are the limits; zero takes the default.
	MaxBodyMemoryBytes, MaxConnections uint32
	// MaxMemoryBytes is the memory of the process, zero if it isn't limited.
	MaxMemoryBytes uint32
	// MaxBodyBytes is the size of the largest body.
	MaxBodyBytes int64
	// Descriptors are those that connections may take.
	Descriptors int
}

// LimitClients installs the limits in a server that doesn't serve yet.
func LimitClients(s *http.Server, c ClientLimits, log *logrus.Entry, registry prometheus.Registerer) {
	o := httplimit.Options{Listener: c.Listener, MaxBytes: c.BodyMemory(), MaxConnections: c.Connections(), Log: log, Registry: registry}
	log.WithFields(logrus.Fields{"listener": o.Listener, "max_body_bytes": o.MaxBytes, "max_connections": o.MaxConnections}).Info("clients are limited")
	httplimit.New(o).Install(s)
}

// BodyMemory returns the memory that all bodies may take, in bytes.
func (c ClientLimits) BodyMemory() int64 {
	switch {
	case c.MaxBodyMemoryBytes > 0:
		return int64(c.MaxBodyMemoryBytes)
	case c.MaxMemoryBytes > 0:
		return max(int64(ShareOfMemory(0, c.MaxMemoryBytes)), minBodies*c.MaxBodyBytes)
	}
	return max(defaultBodyMemoryBytes, minBodies*c.MaxBodyBytes)
}

// Connections returns the number of connections that may be open.
func (c ClientLimits) Connections() int {
	switch {
	case c.MaxConnections > 0:
		return int(c.MaxConnections)
	case c.MaxMemoryBytes > 0:
		return max(min(c.Descriptors, int(c.MaxMemoryBytes/connectionMemoryDivisor/connectionBytes)), 1)
	}
	return max(c.Descriptors, 1)
}
