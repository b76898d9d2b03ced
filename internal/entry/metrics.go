package entry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/intake"
)

// metrics are the counters and histograms of the process.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	events   *prometheus.CounterVec
	commits  prometheus.Histogram
	rows     prometheus.Counter
	gauges   *prometheus.GaugeVec
	waiting  *prometheus.GaugeVec
}

// latencyBuckets are upper bounds in seconds, from a store transaction to a
// caller's patience.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 3}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminloft_requests_total", Help: "Callers' requests by operation and outcome."}, []string{"operation", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cuminloft_request_seconds", Help: "Time to answer callers.", Buckets: latencyBuckets}, []string{"operation"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminloft_decisions_total", Help: "The coordinator's decisions and changes of belief."}, []string{"event"}),
		commits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cuminloft_commit_seconds", Help: "Time to store a batch of progress rows.", Buckets: latencyBuckets}),
		rows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminloft_commit_rows_total", Help: "Progress rows stored."}),
		gauges: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminloft_coordinator", Help: "The coordinator's view of jobs, workers and cores."}, []string{"what"}),
		waiting: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminloft_waiting_tasks", Help: "Tasks without a place, by what they wait for."}, []string{"reason"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.events, m.commits, m.rows, m.gauges, m.waiting)
	return m
}

// Request implements intake.Observer.
func (m *metrics) Request(op intake.Operation, outcome intake.Outcome, took time.Duration) {
	m.requests.WithLabelValues(string(op), string(outcome)).Inc()
	m.latency.WithLabelValues(string(op)).Observe(took.Seconds())
}

// Event implements coordinator.Observer.
func (m *metrics) Event(name string) { m.events.WithLabelValues(name).Inc() }

// Committed implements coordinator.Observer.
func (m *metrics) Committed(rows int, took time.Duration) {
	m.commits.Observe(took.Seconds())
	m.rows.Add(float64(rows))
}

// Gauges implements coordinator.Observer.
func (m *metrics) Gauges(s dispatch.Stats, w dispatch.Waiting) {
	m.gauges.WithLabelValues("jobs").Set(float64(s.ActiveJobs))
	m.gauges.WithLabelValues("workers").Set(float64(s.Workers))
	m.gauges.WithLabelValues("workers_in_reach").Set(float64(s.Reachable))
	m.gauges.WithLabelValues("tasks").Set(float64(s.RunningTasks))
	m.gauges.WithLabelValues("used_millicores").Set(float64(s.UsedMilliCores))
	m.gauges.WithLabelValues("capacity_millicores").Set(float64(s.CapacityMilliCores))
	m.gauges.WithLabelValues("workers_with_kept_room").Set(float64(s.KeptWorkers))
	for _, reason := range dispatch.WaitReasons {
		m.waiting.WithLabelValues(string(reason)).Set(float64(w.Tasks[reason]))
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
