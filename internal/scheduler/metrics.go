package scheduler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// metrics holds the counters and histograms of the host. It is also a
// prometheus.Collector that reads the gauges from the cores, each the scheduler of
// one service, when the metrics are collected.
type metrics struct {
	host     *Host
	grants   *prometheus.CounterVec
	refusals *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	recovery *prometheus.HistogramVec
}

var (
	queuedDesc = desc("bergamot_shard_queued_requests", "Requests that wait for a slot.", "service")
	slotsDesc  = desc("bergamot_shard_slots", "Slots of the minions that may get work.", "service")
	usedDesc   = desc("bergamot_shard_used_slots", "Slots held by grants.", "service")
	teamDesc   = desc("bergamot_shard_team_running_requests", "Slots held by the team.", "service", "team")
	timeDesc   = desc("bergamot_shard_team_slot_seconds_total", "Slot time of the team's ended grants.", "service", "team")
)

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

func newMetrics(h *Host, reg prometheus.Registerer) *metrics {
	buckets := prometheus.ExponentialBuckets(0.001, 2, 16)
	m := &metrics{
		host:     h,
		grants:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bergamot_shard_grants_total", Help: "Grants made."}, []string{"service"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "bergamot_shard_refusals_total", Help: "Requests refused as not run, by result code."}, []string{"service", "code"}),
		waits:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "bergamot_shard_queue_wait_seconds", Help: "Time from a request's arrival to its grant.", Buckets: buckets}, []string{"service", "class"}),
		recovery: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "bergamot_shard_recovery_seconds", Help: "Time from the assignment to the first possible grant.", Buckets: buckets}, []string{"service"}),
	}
	if reg != nil {
		reg.MustRegister(m, m.grants, m.refusals, m.waits, m.recovery)
	}
	return m
}

// observeOutcome counts a grant and its time in the queue, or a refusal.
func (m *metrics) observeOutcome(service string, out Outcome) {
	if out.Err != nil {
		m.observeRefusal(service, out.Err.Code)
		return
	}
	m.grants.WithLabelValues(service).Inc()
	m.waits.WithLabelValues(service, out.Class.String()).Observe(out.Waited.Seconds())
}

// observeRefusal counts a request refused as not run.
func (m *metrics) observeRefusal(service string, code apiv1.ResultCode) {
	m.refusals.WithLabelValues(service, code.String()).Inc()
}

// observeRecovery records the time from the assignment to the end of a recovery.
func (m *metrics) observeRecovery(service string, took time.Duration) {
	m.recovery.WithLabelValues(service).Observe(took.Seconds())
}

// Describe implements prometheus.Collector.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{queuedDesc, slotsDesc, usedDesc, teamDesc, timeDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	for _, sh := range m.host.listShards() {
		sh.collectMetrics(ch)
	}
}

// collectMetrics sends the shard's metrics that are read from its core.
func (sh *hostedShard) collectMetrics(ch chan<- prometheus.Metric) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	service := sh.assigned.Service
	slots, _ := sh.core.usableSlots(sh.now())
	gauge(queuedDesc, float64(len(sh.core.waiting)), service)
	gauge(slotsDesc, float64(slots), service)
	gauge(usedDesc, float64(len(sh.core.grants)), service)
	for _, t := range sh.core.teams {
		gauge(teamDesc, float64(t.running), service, t.name)
		ch <- prometheus.MustNewConstMetric(timeDesc, prometheus.CounterValue, t.slotTime.Seconds(), service, t.name)
	}
}
