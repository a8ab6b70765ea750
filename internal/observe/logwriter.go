package observe

import (
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// maxLinesPerSecond limits lines below level warning. It is far above what a
	// process logs under its usual load; beyond it logging would take processor time
	// from the work.
	maxLinesPerSecond = 2000
	// logBufferLines is the number of lines that may wait for a slow reader.
	logBufferLines = 4096
	// flushTimeout bounds how long a stopping process waits for its last lines to be
	// written.
	flushTimeout = 500 * time.Millisecond
)

// logWriter is a logrus formatter and output. It passes lines to a goroutine that
// writes them, so that logging never blocks on a slow reader. It drops and counts
// the lines that exceed the rate limit or don't fit in the buffer.
type logWriter struct {
	out       io.Writer
	formatter logrus.JSONFormatter
	lines     chan []byte
	limiter   *rate.Limiter
	dropped   prometheus.Counter
	flushOnce sync.Once
	done      chan struct{}
}

// newLogWriter starts a writer to out and registers its counter with reg.
func newLogWriter(out io.Writer, reg prometheus.Registerer) *logWriter {
	w := &logWriter{
		out: out, lines: make(chan []byte, logBufferLines), done: make(chan struct{}),
		formatter: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
		limiter:   rate.NewLimiter(maxLinesPerSecond, logBufferLines),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_log_dropped_lines_total", Help: "Log lines dropped because there were too many or the reader was too slow.",
		}),
	}
	reg.MustRegister(w.dropped)
	go w.run()
	return w
}

// Format formats an entry as a JSON line. Beyond the rate limit it returns no text
// for an entry, which saves the formatting, most of a line's cost. Warnings and
// errors are not limited.
func (w *logWriter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level >= logrus.InfoLevel && !w.limiter.Allow() {
		w.dropped.Inc()
		return nil, nil
	}
	return w.formatter.Format(e)
}

// Write queues one line. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // dropped by Format
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Inc()
	}
	return len(line), nil
}

// run writes queued lines until flush queues a nil line.
func (w *logWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			// The log is the only place to report it, so it is only counted.
			w.dropped.Inc()
		}
	}
}

// flush waits until the queued lines are written, at most flushTimeout. Lines
// queued later are lost.
func (w *logWriter) flush() {
	w.flushOnce.Do(func() {
		timeout := time.After(flushTimeout)
		select {
		case w.lines <- nil:
		case <-timeout:
			return
		}
		select {
		case <-w.done:
		case <-timeout:
		}
	})
}
