package observe

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// Guards against a process that blocks because nobody reads its log, and against
// lines that are dropped without being counted.
func TestLoggingNeverWaitsForTheReader(t *testing.T) {
	g := NewWithT(t)
	reader, writer := io.Pipe()
	w := newLogWriter(writer, prometheus.NewRegistry())
	began := time.Now()
	for range 2 * logBufferLines {
		_, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", 10*time.Second))
	g.Expect(testutil.ToFloat64(w.dropped)).To(BeNumerically(">=", logBufferLines/2))
	reader.Close()
}

// Guards against the loss of a process's last lines, which say why it stopped.
func TestLastLinesAreWritten(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := newLogWriter(&out, prometheus.NewRegistry())
	for range 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	w.flush()
	w.flush()
	g.Expect(strings.Count(out.String(), "line\n")).To(Equal(100))
}

// Guards against a process that spends its time on formatting lines that are
// dropped, and against a warning that is dropped with them.
func TestLinesBeyondTheBoundAreDropped(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	w := newLogWriter(&out, prometheus.NewRegistry())
	w.limiter = rate.NewLimiter(0, 3)
	log := logrus.New()
	log.SetFormatter(w)
	log.SetOutput(w)
	for range 10 {
		log.Info("line")
	}
	log.Warn("kept")
	w.flush()
	g.Expect(strings.Count(out.String(), `"msg":"line"`)).To(Equal(3))
	g.Expect(out.String()).To(ContainSubstring(`"msg":"kept"`))
	g.Expect(testutil.ToFloat64(w.dropped)).To(BeEquivalentTo(7))
}

// BenchmarkLogLine measures one line with the fields of a run's start, both written
// and dropped by the rate limit.
func BenchmarkLogLine(b *testing.B) {
	for name, limit := range map[string]rate.Limit{"written": rate.Inf, "dropped": 0} {
		b.Run(name, func(b *testing.B) {
			w := newLogWriter(io.Discard, prometheus.NewRegistry())
			w.limiter = rate.NewLimiter(limit, 1)
			log := logrus.New()
			log.SetFormatter(w)
			log.SetOutput(w)
			entry := log.WithFields(logrus.Fields{"role": "batch-control", "process_id": "core-1", "term": 3, "minion": "i-7f3a91c2"})
			for b.Loop() {
				entry.WithFields(logrus.Fields{"run": "5c0e7a21d94b36f8.0.1.17#2", "job_id": "5c0e7a21d94b36f8", "outcome": "started"}).Info("start ordered")
			}
		})
	}
}
