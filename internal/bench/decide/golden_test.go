package decide

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"

	"cuminloft/internal/sched"
)

var update = flag.Bool("update", false, "write the golden logs")

// loggedCore logs the events of a core and its decisions, one line each.
type loggedCore struct {
	*sched.Core
	log strings.Builder
}

func (l *loggedCore) write(now time.Time, format string, args ...any) {
	fmt.Fprintf(&l.log, "%s %s\n", now.Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (l *loggedCore) Handle(now time.Time, ev sched.Event) []sched.Decision {
	l.logEvent(now, ev)
	ds := l.Core.Handle(now, ev)
	for _, d := range ds {
		l.logDecision(now, d)
	}
	return ds
}

func (l *loggedCore) logEvent(now time.Time, ev sched.Event) {
	switch ev := ev.(type) {
	case sched.ConfigChanged:
		l.write(now, "config, AZs %v", ev.Config.AZs)
	case sched.WorkerChanged:
		l.write(now, "worker %s in %s is %s", ev.Worker.ID, ev.Worker.Rack, ev.State)
	case sched.JobAdded:
		j := ev.Job
		l.write(now, "job %s of %s: %d x %s %s, urgent %v", j.ID, j.Team, j.Tasks, j.Policy, j.Kind, j.Urgent)
	case sched.JobCancelled:
		l.write(now, "cancel %s", ev.Job)
	case sched.TaskEnded:
		l.write(now, "%s attempt %d ended: %s %s", ev.Task, ev.Attempt, ev.End, ev.Checkpoint)
	}
}

func (l *loggedCore) logDecision(now time.Time, d sched.Decision) {
	switch d := d.(type) {
	case sched.StartTask:
		l.write(now, "  -> start %s attempt %d on %s: %s", d.Task, d.Attempt, d.Worker, d.Reason)
	case sched.PreemptTask:
		l.write(now, "  -> %s %s attempt %d on %s: %s", d.Step, d.Task, d.Attempt, d.Worker, d.Reason)
	case sched.JobEnded:
		l.write(now, "  -> job %s over: %s %s %s", d.Job, d.Outcome, d.Code, d.Reason)
	case sched.WorkerHealthChanged:
		l.write(now, "  -> worker %s out %v: %s", d.Worker, d.Quarantined, d.Reason)
	case sched.RequestGrant:
		l.write(now, "  -> want grant for %s: %v", d.Team, d.Total)
	}
}

// TestGoldenDays compares the decisions for both users' days, on a small cell, with the
// logs in testdata. To write the logs anew, run: go test -run Golden -update
func TestGoldenDays(t *testing.T) {
	small := cell{workers: 8, azs: 2, rackSize: 2, milliCores: 32_000, memoryMB: 128_000, slots: 8, connections: 64, teams: 8, directRate: 0.5}
	for _, user := range []string{"holunderhof", "himali"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			core := &loggedCore{Core: sched.New("golden", 1)}
			o := Options{User: user, Load: 1.5, Duration: 2 * time.Minute, Seed: 2, Faults: true}
			newSimulation(newDayFor(small, o), core).run()
			name := filepath.Join("testdata", user+".log")
			if *update {
				is.NoErr(os.WriteFile(name, []byte(core.log.String()), 0o600))
			}
			want, err := os.ReadFile(name)
			is.NoErr(err)
			if diff := cmp.Diff(string(want), core.log.String()); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}
