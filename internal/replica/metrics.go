package replica

import (
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	term, role, commit, applied, diskFull prometheus.Gauge
	logBytes                              prometheus.Gauge
	proposals, dropped                    prometheus.Counter
	syncSeconds, snapshotSeconds          prometheus.Histogram
}

func newMetrics(registry prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "bergamot_replica_" + name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "bergamot_replica_" + name, Help: help})
	}
	histogram := func(name, help string) prometheus.Histogram {
		// 50 us to 1.6 s.
		buckets := prometheus.ExponentialBuckets(50e-6, 2, 16)
		return prometheus.NewHistogram(prometheus.HistogramOpts{Name: "bergamot_replica_" + name, Help: help, Buckets: buckets})
	}
	m := &metrics{
		term:            gauge("term", "Present term."),
		role:            gauge("role", "0 follower, 1 pre-candidate, 2 candidate, 3 leader."),
		commit:          gauge("commit_index", "Highest index known to be committed."),
		applied:         gauge("applied_index", "Highest index applied."),
		diskFull:        gauge("disk_full", "1 while the replica waits for space on its disk, otherwise 0."),
		logBytes:        gauge("log_bytes", "Size of the log entries in memory, in bytes."),
		proposals:       counter("proposals_total", "Proposals appended by this replica as leader."),
		dropped:         counter("dropped_messages_total", "Messages dropped because a peer's queue was full."),
		syncSeconds:     histogram("sync_seconds", "Time to write and sync one batch of the log."),
		snapshotSeconds: histogram("snapshot_seconds", "Time to marshal the state, during which nothing else is applied."),
	}
	if registry != nil {
		registry.MustRegister(m.term, m.role, m.commit, m.applied, m.diskFull, m.logBytes, m.proposals, m.dropped, m.syncSeconds, m.snapshotSeconds)
	}
	return m
}

func (m *metrics) observe(st *Status) {
	m.term.Set(float64(st.Term))
	m.role.Set(float64(st.Role))
	m.commit.Set(float64(st.Commit))
	m.applied.Set(float64(st.Applied))
}
