package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/workload"
)

// cutOff cuts a worker off from the coordinator and from the registry for a time. It runs on
// until its lease ends.
func (c *crashCell) cutOff(w *crashWorker, lasts time.Duration) {
	w.cutUntil, w.goneAt = c.now.Add(lasts), c.now.Add(crashLapse)
	c.core.HandleLostContact(w.info.ID, c.now)
}

// runsOnBehindCut advances a worker that is cut off, and reports whether it still is.
func (c *crashCell) runsOnBehindCut(w *crashWorker) bool {
	for _, r := range w.runs {
		switch {
		case !c.now.Before(r.until):
			w.end(r.run, r.outcome)
		case !c.now.Before(w.lease):
			w.end(r.run, workload.RunLeaseExpired)
		}
	}
	if c.now.Before(w.cutUntil) {
		return true
	}
	w.cutUntil, w.goneAt, w.report = time.Time{}, time.Time{}, time.Time{}
	c.setWorker(w) // its entry is back
	return false
}

// Guards against a job that is given up, or held back, for workers that were only cut off:
// their leases end and their entries lapse as if they had crashed, and they answer again when
// the cut is over. No worker ends.
func TestJobIsNotGivenUpForWorkersThatWereCutOff(t *testing.T) {
	playCuts(t, 9*time.Second, 30*time.Second, crashLease+silenceLimit-5*time.Second)
}

// Guards against a job that is given up for cuts that outlast silenceLimit.
func TestJobIsNotGivenUpForWorkersThatWereCutOffForLong(t *testing.T) {
	playCuts(t, 60*time.Second, 100*time.Second)
}

// playCuts plays jobs whose workers are all cut off soon after a start.
func playCuts(t *testing.T, cuts ...time.Duration) {
	steps := map[string]workload.Step{
		"task":    {Tasks: 1, Resources: cores(2)},
		"gang":    {Tasks: 3, Resources: cores(9), Gang: true},
		"service": {Tasks: 3, Resources: cores(2), Service: true},
	}
	const (
		cutsFor  = 100 * time.Second
		youngRun = 300 * time.Millisecond // age at which the worker of a run is cut off
		recovery = 25 * time.Second       // after the last cut: the end of a lease, a pause and a run
	)
	for _, cut := range cuts {
		for _, takeovers := range []time.Duration{0, 2500 * time.Millisecond, 12 * time.Second} {
			for kind, step := range steps {
				t.Run(fmt.Sprint("cuts of ", cut, "/takeovers each ", takeovers, "/", kind), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					c := newCrashCell(t, 24, outage{}, func(workload.TaskID) bool { return false })
					c.runFor = 5 * time.Second
					c.play(time.Second, func(int) {})
					c.submit("j", step)
					began, takeover := c.now, c.now.Add(takeovers)
					for c.now.Sub(began) < cutsFor {
						c.cutOffYoungRuns(youngRun, cut)
						if takeovers > 0 && !c.now.Before(takeover) {
							c.takeOver()
							takeover = c.now.Add(takeovers)
						}
						c.play(crashStep, func(int) {})
						if c.state("j") == workload.Failed {
							t.Fatalf("job given up after %v", c.now.Sub(began))
						}
					}
					c.play(cut+recovery, func(int) {})
					if !step.Service {
						is.Equal(c.state("j"), workload.Completed)
						return
					}
					s := c.core.findStep(workload.StepID{Job: "j"})
					is.Equal(s.busy, step.Tasks) // all run again
					for i := range s.tasks {
						is.Equal(s.tasks[i].crashes, 0)
					}
				})
			}
		}
	}
}

// cutOffYoungRuns cuts off the workers of runs that have reached an age.
func (c *crashCell) cutOffYoungRuns(age, lasts time.Duration) {
	for _, w := range c.sorted() {
		for _, r := range w.runs {
			if w.cutUntil.IsZero() && c.now.Add(c.runFor).Sub(r.until) >= age {
				c.cutOff(w, lasts)
			}
		}
	}
}
