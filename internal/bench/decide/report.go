package decide

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/sched"
)

// Report is the results of one Run.
type Report struct {
	Options Options
	Results []Result
	Cost    []Cost `json:",omitempty"`
}

// Result is the measurements of one scheduler.
type Result struct {
	Scheduler string
	Waits     []Wait
	Counts    []Count
	// Packing is used / usable capacity of the dominant resource, averaged over the
	// samples with waiting tasks.
	Packing float64
	// ShareDistance is the distance between a team's fraction of the fleet and its
	// weighted max-min share, averaged over teams and full samples.
	ShareDistance float64
	// ShareMoved is half the sum of the distances over all teams: the fraction of the
	// fleet that would have to move for every team to reach its share.
	ShareMoved  float64
	WorstTeam   string  // team with the largest average distance
	WorstMiss   float64 // average distance of WorstTeam
	FullSamples int
	// AbsenceDone is the work done during the AZ's absence, as a fraction of what the
	// scarcest remaining resource allows; 0: no absence.
	AbsenceDone  float64
	UsefulCores  float64 // average number of cores with work that was done or saved
	Overused     float64 // fraction of the worker-seconds with more memory in use than the worker has
	Preemptions  int
	Suspects     int
	Cancelled    int
	Refused      map[sched.RefusalCode]int
	samples      []sample
	teamDistance map[string]float64
}

// Wait is the time from the arrival of a class's jobs to their first start or their
// refusal.
type Wait struct {
	Class           string
	Jobs            int64
	P50, P99, Worst time.Duration
}

// Run measures the core and the baselines on the same day.
func Run(o Options) (Report, error) {
	d, err := newDay(o)
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	report := Report{Options: o}
	schedulers := []struct {
		name  string
		sched scheduler
	}{
		{"core", sched.New("bench", o.Seed)},
		{"first come first served", newFCFS()},
		{"strict priority", newPriority()},
	}
	for _, c := range schedulers {
		report.Results = append(report.Results, newSimulation(d, c.sched).run().result(c.name))
	}
	if o.Cost {
		report.Cost = measureCost(o.Seed)
	}
	return report, nil
}

func (m *metrics) result(name string) Result {
	r := Result{
		Scheduler: name, Preemptions: m.preempted, Suspects: m.suspects, Cancelled: m.cancelled,
		Refused: m.refused, samples: m.samples, FullSamples: m.fullSamples, teamDistance: m.teamDistance,
	}
	slices.Sort(m.classes)
	for _, c := range m.classes {
		m.countUnstarted(c)
		h := m.waits[c]
		r.Waits = append(r.Waits, Wait{c, h.TotalCount(), microseconds(h.ValueAtQuantile(50)), microseconds(h.ValueAtQuantile(99)), microseconds(h.Max())})
		count := *m.counts[c]
		count.Unfinished = count.Arrived - count.Done - count.Failed - count.NotRun - count.Unknown
		r.Counts = append(r.Counts, count)
	}
	r.averages(m)
	return r
}

// countUnstarted records jobs that never started as waiting until the day's end.
// Otherwise a scheduler that starves them would show shorter waits.
func (m *metrics) countUnstarted(class string) {
	for _, j := range m.sim.jobs {
		if j.class == class && j.started == 0 {
			m.recordWait(j)
		}
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (r *Result) averages(m *metrics) {
	busySamples := 0
	for _, p := range m.samples {
		if p.pending > 0 && p.usable > 0 {
			busySamples++
			r.Packing += p.used / p.usable
		}
		if p.distance >= 0 {
			r.ShareDistance += p.distance / float64(m.fullSamples)
			r.ShareMoved += p.moved / float64(m.fullSamples)
		}
	}
	r.Packing /= float64(max(busySamples, 1))
	for team, distance := range m.teamDistance {
		distance /= float64(m.fullSamples)
		if distance > r.WorstMiss || (distance == r.WorstMiss && team < r.WorstTeam) {
			r.WorstTeam, r.WorstMiss = team, distance
		}
	}
	r.AbsenceDone = m.absence.fraction()
	r.Overused = m.overcommitted / float64(len(m.sim.day.workers)) / m.sim.day.length.Seconds()
	r.UsefulCores = m.usefulMilliCoreSeconds / 1000 / m.sim.day.length.Seconds()
}

// JSON writes the report as JSON.
func (r Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(r))
}

// Text writes the report as tables.
func (r Report) Text(w io.Writer) error {
	var text bytes.Buffer // writes to it cannot fail
	t := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	o := r.Options
	line(t, "size %s, user %s, load %.2f, %v, seed %d, faults %v\n", o.Size, o.User, o.Load, o.Duration, o.Seed, o.Faults)
	r.textWaits(t)
	r.textAverages(t)
	r.textCounts(t)
	r.textCost(t)
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	_, err := text.WriteTo(w)
	return trace.Wrap(err)
}

// line writes one line of a table to a buffer in memory, which cannot fail.
func line(t io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(t, format+"\n", args...)
}

func (r Report) textWaits(t io.Writer) {
	line(t, "wait\tscheduler\tjobs\tp50\tp99\tworst")
	for i := range r.Results[0].Waits {
		for _, res := range r.Results {
			w := res.Waits[i]
			line(t, "%s\t%s\t%d\t%v\t%v\t%v", w.Class, res.Scheduler, w.Jobs, round(w.P50), round(w.P99), round(w.Worst))
		}
	}
}

func round(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

func (r Report) textAverages(t io.Writer) {
	line(t, "\nscheduler\tpacking\tshare distance\tto be moved\tworst team\tfull samples\tAZ absence\tuseful cores\tover memory\tpreemptions\tsuspects")
	for _, s := range r.Results {
		line(t, "%s\t%.1f%%\t%.2f%%\t%.1f%%\t%s %.1f%%\t%d\t%.1f%%\t%.1f\t%.2f%%\t%d\t%d", s.Scheduler, 100*s.Packing, 100*s.ShareDistance,
			100*s.ShareMoved, s.WorstTeam, 100*s.WorstMiss, s.FullSamples, 100*s.AbsenceDone, s.UsefulCores, 100*s.Overused, s.Preemptions, s.Suspects)
	}
}

func (r Report) textCounts(t io.Writer) {
	line(t, "\nclass\tscheduler\tarrived\tdone\tfailed\tnot run\tunknown\tunfinished")
	for i := range r.Results[0].Counts {
		for _, res := range r.Results {
			c := res.Counts[i]
			line(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d", c.Class, res.Scheduler, c.Arrived, c.Done, c.Failed, c.NotRun, c.Unknown, c.Unfinished)
		}
	}
	for _, res := range r.Results {
		var codes []string
		for code, n := range res.Refused {
			codes = append(codes, fmt.Sprintf("%s %d", code, n))
		}
		slices.Sort(codes)
		line(t, "not run by reason\t%s\t%s", res.Scheduler, strings.Join(codes, ", "))
	}
}

func (r Report) textCost(t io.Writer) {
	if len(r.Cost) == 0 {
		return
	}
	line(t, "\ncost on one core\tworkers\tstarts\tstarts/s\tp99 per event\tworst per event")
	for _, c := range r.Cost {
		line(t, "%s\t%d\t%d\t%.0f\t%v\t%v", c.Work, c.Workers, c.Starts, c.StartsPerSecond, c.P99, c.Worst)
	}
}
