package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// After a takeover most jobs of a team within its rate ranked behind those of all other teams, as if
// they exceeded it.
func TestTakeoverKeepsJobsWithinTheirTeamsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		cell := workload.NewCell(1, []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 2, Allowance: time.Hour}},
			[]workload.Team{{Name: "steady", Weight: 2}, {Name: "other", Weight: 2}}, nil)
		f.operators = &operatorFeed{all: []workload.OperatorChange{{Cell: cell}}}
		const steady = 40 // the worker has room for as many
		jobs := jobstore.Jobs{Store: platform.NewHealth(f.store)}
		job := func(i int, team string) *workload.Job {
			j := serviceJob(1)
			j.ID, j.Team = fmt.Sprintf("%016x", 7919*(i+1)), team
			j.AcceptedAt = time.Now().Add(time.Duration(i-steady) * time.Second).UnixMilli()
			j.Steps[0].Service, j.Steps[0].Estimate = false, time.Minute
			j.Steps[0].Resources.MilliCores = 8000 / steady
			is.NoErr(jobs.Insert(t.Context(), j))
			return j
		}
		var all []*workload.Job
		for i := range steady {
			all = append(all, job(i, "steady")) // half of the team's rate
		}
		last := job(steady, "other")
		l := f.lead("host-0")
		defer l.stop()
		time.Sleep(electionTime + placementTime)
		waiting := 0
		for _, j := range all {
			if !f.runs(j) {
				waiting++
			}
		}
		is.Equal(waiting, 0)
		is.True(!f.runs(last))
	})
}
