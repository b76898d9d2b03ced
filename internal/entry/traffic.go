package entry

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"cuminloft/internal/linkmeter"
	"cuminloft/internal/wait"
)

const (
	// trafficReportInterval is how often the traffic of this host is logged.
	trafficReportInterval = 5 * time.Second
	// minReportedRate is the rate, in bytes a second, below which a purpose is left out.
	minReportedRate = 500
)

// reportTraffic logs the bytes a second that this host sends and receives, and its calls a
// second, by purpose. Load pattern: a host whose link is full, so that calls of all
// purposes time out.
func (p *process) reportTraffic(ctx context.Context) error {
	last := p.adapter.Meter.Totals()
	for wait.For(ctx, trafficReportInterval) == nil {
		now := p.adapter.Meter.Totals()
		if fields := trafficRates(last, now, trafficReportInterval); len(fields) > 0 {
			p.log.Info("traffic", fields...)
		}
		last = now
	}
	return ctx.Err()
}

// trafficRates returns log fields with the rates of the purposes that exceed
// minReportedRate: bytes sent, bytes received and calls, each a second. The first fields
// are the bytes of all purposes together.
func trafficRates(last, now map[string]linkmeter.Counts, span time.Duration) []any {
	var purposes []string
	for purpose := range now {
		purposes = append(purposes, purpose)
	}
	slices.Sort(purposes)
	rate := func(n int64) int64 { return int64(math.Round(float64(n) / span.Seconds())) }
	var fields []any
	var sent, received int64
	for _, purpose := range purposes {
		s := rate(now[purpose].Sent - last[purpose].Sent)
		r := rate(now[purpose].Received - last[purpose].Received)
		sent, received = sent+s, received+r
		if s+r >= minReportedRate {
			fields = append(fields, purpose, []int64{s, r, rate(now[purpose].Calls - last[purpose].Calls)})
		}
	}
	if len(fields) == 0 {
		return nil
	}
	return append([]any{"sent", sent, "received", received}, fields...)
}

// trafficCollector exports the meter's counts as metrics.
type trafficCollector struct{ meter *linkmeter.Meter }

var (
	trafficBytes = prometheus.NewDesc("cuminloft_link_bytes_total", "Bytes of HTTP messages, by purpose and direction.", []string{"purpose", "direction"}, nil)
	trafficCalls = prometheus.NewDesc("cuminloft_link_calls_total", "HTTP calls, by purpose.", []string{"purpose"}, nil)
)

// Describe implements prometheus.Collector.
func (trafficCollector) Describe(ch chan<- *prometheus.Desc) {
	ch <- trafficBytes
	ch <- trafficCalls
}

// Collect implements prometheus.Collector.
func (c trafficCollector) Collect(ch chan<- prometheus.Metric) {
	for purpose, counts := range c.meter.Totals() {
		ch <- prometheus.MustNewConstMetric(trafficBytes, prometheus.CounterValue, float64(counts.Sent), purpose, "sent")
		ch <- prometheus.MustNewConstMetric(trafficBytes, prometheus.CounterValue, float64(counts.Received), purpose, "received")
		ch <- prometheus.MustNewConstMetric(trafficCalls, prometheus.CounterValue, float64(counts.Calls), purpose)
	}
}
