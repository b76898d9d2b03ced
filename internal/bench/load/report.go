package load

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Report is the result of a scenario.
type Report struct {
	Scenario Scenario `json:"scenario"`
	Runs     []Result `json:"runs"`
	// Capacity is the number of requests per second that the slots usable by the team
	// can run.
	Capacity float64 `json:"capacity,omitempty"`
	// AddedP50 and AddedP99 are the entry host's service time minus the plain proxy's.
	AddedP50 time.Duration `json:"added_p50_ns,omitempty"`
	AddedP99 time.Duration `json:"added_p99_ns,omitempty"`
	// Ratio is the plain proxy's throughput divided by the entry host's.
	Ratio         float64 `json:"ratio,omitempty"`
	Amplification float64 `json:"amplification,omitempty"` // attempts per request
	Retries       int64   `json:"retries,omitempty"`
	Connections   int     `json:"connections,omitempty"`
	MemoryBefore  int64   `json:"memory_before_bytes,omitempty"`
	MemoryPeak    int64   `json:"memory_peak_bytes,omitempty"`
}

// compare computes the differences between the plain proxy and the entry host from the
// last pair of runs. The earlier pair is for warm-up.
func (r *Report) compare() {
	n := len(r.Runs)
	plain, own := r.Runs[n-2], r.Runs[n-1]
	r.AddedP50 = own.Service.P50 - plain.Service.P50
	r.AddedP99 = own.Service.P99 - plain.Service.P99
	r.Ratio = plain.Goodput() / own.Goodput()
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "scenario %s\n", r.Scenario)
	if r.Capacity > 0 {
		fmt.Fprintf(&b, "capacity of the slots that the team may use: %.0f requests/s\n", r.Capacity)
	}
	for i := range r.Runs {
		r.writeRun(&b, &r.Runs[i])
	}
	if r.Ratio > 0 {
		fmt.Fprintf(&b, "added to the plain proxy: p50 %v, p99 %v; plain throughput is %.2f times the entry host's\n",
			r.AddedP50, r.AddedP99, r.Ratio)
	}
	if r.Amplification > 0 {
		fmt.Fprintf(&b, "attempts for each request: %.3f (%d retries)\n", r.Amplification, r.Retries)
	}
	if r.MemoryPeak > 0 {
		fmt.Fprintf(&b, "memory of the entry process: %s before, %s at most, %s more\n",
			megabytes(r.MemoryBefore), megabytes(r.MemoryPeak), megabytes(r.MemoryPeak-r.MemoryBefore))
	}
	if r.Connections > 0 {
		fmt.Fprintf(&b, "idle connections: %d\n", r.Connections)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (r Report) writeRun(b *strings.Builder, run *Result) {
	fmt.Fprintf(b, "%s: ", run.Target)
	if run.Offered > 0 {
		fmt.Fprintf(b, "offered %.0f/s, ", run.Offered)
	}
	fmt.Fprintf(b, "sent %d in %v, done %.0f/s", run.Sent, run.Took.Round(time.Millisecond), run.Goodput())
	if r.Capacity > 0 {
		fmt.Fprintf(b, " (%.1f%% of capacity)", 100*run.Goodput()/r.Capacity)
	}
	b.WriteString("\n")
	writeQuantiles(b, "response", run.Response)
	writeQuantiles(b, "service", run.Service)
	writeQuantiles(b, "refusal", run.Refusal)
	labels := make([]string, 0, len(run.Outcomes))
	for label := range run.Outcomes {
		labels = append(labels, label)
	}
	slices.Sort(labels)
	for _, label := range labels {
		fmt.Fprintf(b, "  %-40s %d\n", label, run.Outcomes[label])
	}
}

func writeQuantiles(b *strings.Builder, name string, q Quantiles) {
	if q.Count > 0 {
		fmt.Fprintf(b, "  %-9s p50 %v  p99 %v  p99.9 %v  max %v\n", name, q.P50, q.P99, q.P999, q.Max)
	}
}

func megabytes(n int64) string { return fmt.Sprintf("%.1f MB", float64(n)/(1<<20)) }
