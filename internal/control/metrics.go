package control

import "github.com/prometheus/client_golang/prometheus"

// metrics are the Prometheus metrics of a Server.
type metrics struct {
	leader     prometheus.Gauge
	renewals   prometheus.Counter
	heartbeats prometheus.Counter
	placements prometheus.Counter
	publishes  prometheus.Counter
	inForce    prometheus.Histogram
}

// newMetrics registers the metrics if reg is not nil.
func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		leader: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamot_control_leader", Help: "1 when this replica leads the control group.",
		}),
		renewals: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_control_session_renewals_total", Help: "Session renewals answered.",
		}),
		heartbeats: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_control_worker_heartbeats_total", Help: "Worker heartbeats handled.",
		}),
		placements: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_control_placements_total", Help: "Job placements proposed.",
		}),
		publishes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_control_publishes_total", Help: "Configurations accepted.",
		}),
		inForce: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bergamot_control_in_force_seconds",
			Help:    "Time from the commit of a configuration until it was in force everywhere.",
			Buckets: []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10},
		}),
	}
	if reg != nil {
		reg.MustRegister(m.leader, m.renewals, m.heartbeats, m.placements, m.publishes, m.inForce)
	}
	return m
}
