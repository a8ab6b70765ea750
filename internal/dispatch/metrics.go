package dispatch

import (
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// metrics counts the events of runs (executions of tasks on minions) and
// measures the start orders and the planning rounds, which choose the tasks to
// start.
type metrics struct {
	startsCommitted prometheus.Counter
	runsEnded       *prometheus.CounterVec
	startsRefused   *prometheus.CounterVec
	minionsCrashed  prometheus.Counter
	startSeconds    prometheus.Histogram
	planSeconds     prometheus.Histogram
	startWindow     prometheus.Gauge
	startsInFlight  prometheus.Gauge
	// downSeconds is by the end of the run before.
	downSeconds *prometheus.HistogramVec
	// jobsRefused counts by reason.
	jobsRefused *prometheus.CounterVec
	// announcementsSetAside counts by fault.
	announcementsSetAside *prometheus.CounterVec
}

// Metrics holds the metrics of all dispatchers of a process, one for each term.
type Metrics struct{ m *metrics }

// NewMetrics registers the dispatcher's metrics; r may be nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &metrics{
		startsCommitted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_batch_starts_committed_total", Help: "Starts of tasks that were committed.",
		}),
		runsEnded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_batch_runs_ended_total", Help: "Runs that minions listed as ended, by how.",
		}, []string{"end"}),
		startsRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_batch_starts_refused_total", Help: "Start orders that minions refused, by reason.",
		}, []string{"reason"}),
		minionsCrashed: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bergamot_batch_minions_crashed_total", Help: "Incarnations of minions that crashed.",
		}),
		startSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bergamot_batch_start_order_seconds", Help: "Time from a start order to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 12),
		}),
		planSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "bergamot_batch_plan_seconds", Help: "Duration of a planning round.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 12),
		}),
		downSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bergamot_batch_long_running_down_seconds", Help: "Time from the last report of a long-running task's run to the first one of its next run, by the end of the former. Without those that span a change of the leader.",
			Buckets: prometheus.ExponentialBuckets(0.125, 2, 10),
		}, []string{"last_end"}),
		startWindow: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamot_batch_start_window", Help: "Bound on the starts in flight. It is lower while answers are late.",
		}),
		startsInFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bergamot_batch_starts_in_flight", Help: "Committed starts whose order is not answered, at the last planning round.",
		}),
		jobsRefused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_batch_jobs_refused_total", Help: "Submissions refused since the job could not be done in time, by reason.",
		}, []string{"reason"}),
		announcementsSetAside: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bergamot_batch_announcements_set_aside_total", Help: "Announcements that name no minion to use, by fault.",
		}, []string{"fault"}),
	}
	if r != nil {
		r.MustRegister(m.startsCommitted, m.runsEnded, m.startsRefused, m.minionsCrashed, m.startSeconds, m.planSeconds, m.downSeconds, m.startWindow, m.startsInFlight, m.jobsRefused, m.announcementsSetAside)
	}
	return &Metrics{m}
}

// endName returns the name of an end as logs and metrics show it.
func endName(e apiv1.RunEnd) string {
	return strings.ToLower(strings.TrimPrefix(e.String(), "RUN_END_"))
}
