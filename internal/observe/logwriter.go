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
	// maxLogLines a second is far above what a process writes under its usual
	// load; beyond it logging would take processor time from the work.
	maxLogLines = 2000
	// waitingLogLines may wait for a slow reader.
	waitingLogLines = 4096
	// flushTimeout bounds the wait for the last lines at a stop.
	flushTimeout = 500 * time.Millisecond
)

// logWriter hands lines to a goroutine that writes them, so that logging never
// waits for the reader. Lines beyond its bounds are dropped and counted.
type logWriter struct {
	out     io.Writer
	format  logrus.JSONFormatter
	lines   chan []byte
	limiter *rate.Limiter
	dropped prometheus.Counter
	close   sync.Once
	done    chan struct{}
}

func newLogWriter(out io.Writer, reg prometheus.Registerer) *logWriter {
	w := &logWriter{
		out: out, lines: make(chan []byte, waitingLogLines), done: make(chan struct{}),
		format:  logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano},
		limiter: rate.NewLimiter(maxLogLines, waitingLogLines),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_log_dropped_lines_total", Help: "Log lines dropped because there were too many or the reader was too slow.",
		}),
	}
	reg.MustRegister(w.dropped)
	go w.run()
	return w
}

// Format writes an entry as a JSON line. Beyond the bound lines are dropped
// before they are formatted, which is most of their cost; warnings and errors
// are always written.
func (w *logWriter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level >= logrus.InfoLevel && !w.limiter.Allow() {
		w.dropped.Inc()
		return nil, nil
	}
	return w.format.Format(e)
}

// Write takes one line; it never blocks and never fails.
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

func (w *logWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			// There is no other place to report it; the count tells.
			w.dropped.Inc()
		}
	}
}

// flush writes what waits. Lines written later are lost.
func (w *logWriter) flush() {
	w.close.Do(func() {
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
