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

// Load pattern: callers look when they expect their job to end, milliseconds before that
// is known and stored, and come back only after a quarter of a second. They hear of the
// end at once; a job that has tasks to start is answered without waiting.
func TestLookHearsOfTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pause, patience = 255 * time.Millisecond, 300 * time.Millisecond
		store := rows.New()
		c, end := lead(t, store, time.Minute)
		defer end()
		time.Sleep(time.Second)
		heard := time.Duration(0)
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
			heard += time.Since(accepted) / jobs
		}
		t.Logf("heard of the end %v after submission", heard)
		is.True(heard < 2*quickRun)
		// A job larger than the worker waits for room for its other tasks.
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
