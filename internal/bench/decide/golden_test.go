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

// logged writes what happens to a core and what it decides, one line each.
type logged struct {
	*sched.Core
	log strings.Builder
}

func (l *logged) line(now time.Time, format string, args ...any) {
	fmt.Fprintf(&l.log, "%s %s\n", now.Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (l *logged) Handle(now time.Time, ev sched.Event) []sched.Decision {
	l.event(now, ev)
	ds := l.Core.Handle(now, ev)
	for _, d := range ds {
		l.decision(now, d)
	}
	return ds
}

func (l *logged) event(now time.Time, ev sched.Event) {
	switch ev := ev.(type) {
	case sched.ConfigChanged:
		l.line(now, "config, AZs %v", ev.Config.AZs)
	case sched.WorkerChanged:
		l.line(now, "worker %s in %s is %s", ev.Worker.ID, ev.Worker.Rack, ev.State)
	case sched.JobAdded:
		j := ev.Job
		l.line(now, "job %s of %s: %d x %s %s, urgent %v", j.ID, j.Team, j.Tasks, j.Policy, j.Kind, j.Urgent)
	case sched.JobCancelled:
		l.line(now, "cancel %s", ev.Job)
	case sched.TaskEnded:
		l.line(now, "%s attempt %d ended: %s %s", ev.Task, ev.Attempt, ev.End, ev.Checkpoint)
	}
}

func (l *logged) decision(now time.Time, d sched.Decision) {
	switch d := d.(type) {
	case sched.StartTask:
		l.line(now, "  -> start %s attempt %d on %s: %s", d.Task, d.Attempt, d.Worker, d.Reason)
	case sched.PreemptTask:
		l.line(now, "  -> %s %s attempt %d on %s: %s", d.Step, d.Task, d.Attempt, d.Worker, d.Reason)
	case sched.JobEnded:
		l.line(now, "  -> job %s over: %s %s %s", d.Job, d.Outcome, d.Code, d.Reason)
	case sched.WorkerHealthChanged:
		l.line(now, "  -> worker %s out %v: %s", d.Worker, d.Quarantined, d.Reason)
	case sched.RequestGrant:
		l.line(now, "  -> want grant for %s: %v", d.Team, d.Total)
	}
}

// TestGoldenDays compares the decisions of both users' days, on a small cell,
// with the logs in testdata. Write them anew with: go test -run Golden -update
func TestGoldenDays(t *testing.T) {
	small := cell{workers: 8, azs: 2, rackSize: 2, milliCores: 32_000, memoryMB: 128_000, slots: 8, connections: 64, teams: 8, directRate: 0.5}
	for _, user := range []string{"holunderhof", "himali"} {
		t.Run(user, func(t *testing.T) {
			is := is.New(t)
			core := &logged{Core: sched.New("golden", 1)}
			o := Options{User: user, Load: 1.5, Duration: 2 * time.Minute, Seed: 2, Faults: true}
			newRunner(newDayIn(small, o), core).run()
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
