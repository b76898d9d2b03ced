package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// Guards against callers that learn of the end of their job one polling interval late.
// Load pattern: callers query when they expect their job to end, milliseconds before
// the end is known and stored, and query again only after a quarter of a second. Such a
// query waits and returns the final state; a query for a job that has tasks to start
// returns at once.
func TestQueryWaitsForTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause, patience = 255 * time.Millisecond, 300 * time.Millisecond
		store := rows.New()
		c, end := lead(t, store, time.Minute)
		defer end()
		time.Sleep(time.Second)
		delay := time.Duration(0)
		const jobs = 40
		for n := range jobs {
			job := &workload.Job{ID: fmt.Sprintf("%016x", n+1), Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
				Steps: []workload.Step{{Tasks: 2, Resources: model.Resources{MilliCores: 10}}}}
			is.NoErr(c.Jobs.Insert(t.Context(), job))
			c.Notify(jobstore.Entry{ID: job.ID, Job: job})
			accepted := time.Now()
			time.Sleep(quickRun + time.Duration(n)*time.Millisecond)
			for {
				state, found, err := c.JobState(t.Context(), job.ID, patience)
				is.NoErr(err)
				is.True(found)
				if state == workload.Completed {
					break
				}
				time.Sleep(pause)
			}
			delay += time.Since(accepted) / jobs
		}
		t.Logf("end reported %v after submission", delay)
		is.True(delay < 2*quickRun)
		// A job larger than the worker: its other tasks wait for capacity.
		large := &workload.Job{ID: fmt.Sprintf("%016x", jobs+1), Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
			Steps: []workload.Step{{Tasks: 20, Resources: model.Resources{MilliCores: 5000}}}}
		is.NoErr(c.Jobs.Insert(t.Context(), large))
		c.Notify(jobstore.Entry{ID: large.ID, Job: large})
		time.Sleep(quickRun / 2)
		began := time.Now()
		_, found, err := c.JobState(t.Context(), large.ID, patience)
		is.NoErr(err)
		is.True(found)
		is.Equal(time.Since(began), time.Duration(0))
	})
}
