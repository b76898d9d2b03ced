package entry

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"cuminloft/internal/dispatch"
	"cuminloft/internal/intake"
	"cuminloft/internal/linkmeter"
	"cuminloft/internal/platform"
)

// metrics are the counters and histograms of the process.
type metrics struct {
	admission *admission // is told of the waiting jobs
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	latency   *prometheus.HistogramVec
	events    *prometheus.CounterVec
	commits   prometheus.Histogram
	rows      prometheus.Counter
	gauges    *prometheus.GaugeVec
	waiting   *prometheus.GaugeVec
	slow      *prometheus.GaugeVec
	// Calls to the advice service: their number, their duration, the duration of one
	// call for each step, and the use of the tickets.
	adviceCalls   *prometheus.CounterVec
	adviceSeconds *prometheus.CounterVec
	adviceNeeded  prometheus.Counter
	tickets       *prometheus.CounterVec
	loopSeconds   *prometheus.CounterVec
	hints         *prometheus.CounterVec
}

// latencyBuckets are upper bounds in seconds, from the duration of a store transaction
// to a caller's timeout.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 3}

func newMetrics(a *admission, meter *linkmeter.Meter, rejected *platform.RejectedRows) *metrics {
	m := &metrics{
		admission: a,
		registry:  prometheus.NewRegistry(),
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
		slow: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cuminloft_slow_workers", Help: "Workers whose tasks take longer than on the fast workers of their pool, by pool."}, []string{"pool"}),
		adviceCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminloft_advice_calls_total", Help: "Calls for advice, by purpose."}, []string{"purpose"}),
		adviceSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminloft_advice_seconds_total", Help: "Time of hosts that calls for advice take, by purpose."}, []string{"purpose"}),
		adviceNeeded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cuminloft_advice_needed_seconds_total", Help: "Time that one call for each step that asked would take."}),
		tickets: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminloft_advice_tickets_total", Help: "Tickets received, used by a start, and refused by a worker."}, []string{"fate"}),
		loopSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminloft_coordinator_loop_seconds_total", Help: "Time that the coordinator's loop has spent, by phase."}, []string{"phase"}),
		hints: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cuminloft_hints_total", Help: "Rows of hints for the next coordinator, by kind and outcome."}, []string{"kind", "outcome"}),
	}
	m.registry.MustRegister(m.requests, m.latency, m.events, m.commits, m.rows, m.gauges, m.waiting, m.slow,
		m.adviceCalls, m.adviceSeconds, m.adviceNeeded, m.tickets, m.loopSeconds, m.hints, trafficCollector{meter}, rejectedCollector{rejected})
	return m
}

// Request implements intake.Observer.
func (m *metrics) Request(op intake.Operation, outcome intake.Outcome, took time.Duration) {
	m.requests.WithLabelValues(string(op), string(outcome)).Inc()
	m.latency.WithLabelValues(string(op)).Observe(took.Seconds())
}

// CountEvent implements coordinator.Observer.
func (m *metrics) CountEvent(name string) { m.events.WithLabelValues(name).Inc() }

// ObserveCommit implements coordinator.Observer.
func (m *metrics) ObserveCommit(rows int, took time.Duration) {
	m.commits.Observe(took.Seconds())
	m.rows.Add(float64(rows))
}

// SetGauges implements coordinator.Observer.
func (m *metrics) SetGauges(s dispatch.Stats, w dispatch.Waiting, away dispatch.OutOfReach) {
	m.admission.setOldest(w.OldestAge)
	m.gauges.WithLabelValues("jobs").Set(float64(s.ActiveJobs))
	m.gauges.WithLabelValues("held_jobs").Set(float64(s.HeldJobs))
	m.gauges.WithLabelValues("workers").Set(float64(s.Workers))
	m.gauges.WithLabelValues("workers_in_reach").Set(float64(s.Reachable))
	m.gauges.WithLabelValues("tasks").Set(float64(s.RunningTasks))
	m.gauges.WithLabelValues("used_millicores").Set(float64(s.UsedMilliCores))
	m.gauges.WithLabelValues("capacity_millicores").Set(float64(s.CapacityMilliCores))
	m.gauges.WithLabelValues("workers_with_kept_room").Set(float64(s.ReservedWorkers))
	m.gauges.WithLabelValues("image_pairs_kept_apart").Set(float64(s.ImagePairs))
	m.gauges.WithLabelValues("millicores_reserved_for_gangs").Set(float64(s.ReservedMilliCores))
	m.gauges.WithLabelValues("tight_steps").Set(float64(s.TightSteps))
	m.gauges.WithLabelValues("open_millicores").Set(float64(w.OpenMilliCores))
	m.gauges.WithLabelValues("idle_millicores_beside_waiting_tasks").Set(float64(w.IdleMilliCores))
	m.gauges.WithLabelValues("tasks_out_of_reach").Set(float64(away.Tasks))
	m.gauges.WithLabelValues("service_tasks_out_of_reach").Set(float64(away.ServiceTasks))
	m.slow.Reset()
	for pool, n := range s.SlowWorkers {
		m.slow.WithLabelValues(pool).Set(float64(n))
	}
	for _, reason := range dispatch.WaitReasons {
		m.waiting.WithLabelValues(string(reason)).Set(float64(w.Tasks[reason]))
	}
}

// CountAdvice implements coordinator.Observer.
func (m *metrics) CountAdvice(a dispatch.AdviceStats) {
	for _, purpose := range dispatch.AdvicePurposes {
		m.adviceCalls.WithLabelValues(string(purpose)).Add(float64(a.Calls[purpose]))
		m.adviceSeconds.WithLabelValues(string(purpose)).Add(a.HostTime[purpose].Seconds())
	}
	m.adviceNeeded.Add(a.HostTimeNeeded.Seconds())
	m.tickets.WithLabelValues("received").Add(float64(a.TicketsReceived))
	m.tickets.WithLabelValues("used").Add(float64(a.TicketsUsed))
	m.tickets.WithLabelValues("refused").Add(float64(a.TicketsRefused))
}

// ObserveLoopTime implements coordinator.Observer.
func (m *metrics) ObserveLoopTime(phase string, took time.Duration) {
	m.loopSeconds.WithLabelValues(phase).Add(took.Seconds())
}

// CountHints implements coordinator.Observer.
func (m *metrics) CountHints(kind, outcome string) { m.hints.WithLabelValues(kind, outcome).Inc() }

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// rejectedCollector exports the counts of rows that cannot be used.
type rejectedCollector struct{ rejected *platform.RejectedRows }

var rejectedRows = prometheus.NewDesc("cuminloft_rejected_rows_total", "Reads of rows that cannot be used, by table.", []string{"table"}, nil)

// Describe implements prometheus.Collector.
func (rejectedCollector) Describe(ch chan<- *prometheus.Desc) { ch <- rejectedRows }

// Collect implements prometheus.Collector.
func (c rejectedCollector) Collect(ch chan<- prometheus.Metric) {
	for table, n := range c.rejected.Counts() {
		ch <- prometheus.MustNewConstMetric(rejectedRows, prometheus.CounterValue, float64(n), table)
	}
}
