package entry

import (
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

type metrics struct {
	requests       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	grantWait      prometheus.Histogram
	outcomes       *prometheus.CounterVec
	retries        prometheus.Counter
	retriesRefused prometheus.Counter
	batchFailures  *prometheus.CounterVec
}

// newMetrics registers the metrics with r unless it is nil.
func newMetrics(r prometheus.Registerer, s *Server) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_entry_requests_total", Help: "Requests by service, result code and whether nothing ran.",
		}, []string{"service", "result", "not_run"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bergamot_entry_request_duration_seconds", Help: "Time from the header to the end of the response.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}, []string{"service"}),
		grantWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bergamot_entry_grant_wait_seconds", Help: "Time from asking for a grant to having one.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
		}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_entry_grants_released_total", Help: "Grants released by service and outcome.",
		}, []string{"service", "outcome"}),
		retries:        prometheus.NewCounter(prometheus.CounterOpts{Name: "bergamot_entry_retries_total", Help: "Attempts made again under the retry budget."}),
		retriesRefused: prometheus.NewCounter(prometheus.CounterOpts{Name: "bergamot_entry_retries_refused_total", Help: "Retries that the budget refused."}),
		batchFailures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_entry_batch_failures_total", Help: "Batches of announcements or heartbeats that could not be passed on.",
		}, []string{"kind"}),
	}
	if r != nil {
		r.MustRegister(m.requests, m.duration, m.grantWait, m.outcomes, m.retries, m.retriesRefused, m.batchFailures)
		r.MustRegister(gauges(s)...)
	}
	return m
}

// gauges returns the metrics that read the state of s when they are collected.
func gauges(s *Server) []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bergamot_entry_requests_in_flight", Help: "Requests of callers being served."}, func() float64 {
			n, _, _ := s.inFlight.counts()
			return float64(n)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bergamot_entry_buffered_bytes", Help: "Request bodies held in memory."}, func() float64 {
			return float64(s.clients.UsedBytes())
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "bergamot_entry_connections_open", Help: "Connections to minions, idle ones included."}, func() float64 {
			sum := 0
			for _, p := range s.pools.list() {
				open, _ := p.counts()
				sum += open
			}
			return float64(sum)
		}),
	}
}

// countRequest counts a completed request to a service, or any other request that
// got an error. service is empty when the request names no known service.
func (m *metrics) countRequest(service string, code apiv1.ResultCode, notRun bool) {
	m.requests.WithLabelValues(service, strconv.Itoa(int(code)), strconv.FormatBool(notRun)).Inc()
}

// outcomeLabel returns the name of a grant's outcome in lower case without its
// prefix, for example "done".
func outcomeLabel(o apiv1.GrantOutcome) string {
	return strings.ToLower(strings.TrimPrefix(o.String(), "GRANT_OUTCOME_"))
}
