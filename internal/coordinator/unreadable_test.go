package coordinator

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/workload"
)

// commit applies a transaction to the store.
func (f *fleet) commit(tx platform.Tx) {
	f.t.Helper()
	if _, err := f.store.Commit(f.t.Context(), tx); err != nil {
		f.t.Fatal(err)
	}
}

// putProgress writes a row of the progress table.
func (f *fleet) putProgress(key, value string) {
	f.t.Helper()
	f.commit(platform.Tx{Puts: []platform.PartitionRow{
		{Table: jobstore.ProgressTable, Partition: jobstore.DefaultProgressPartition, Key: key, Value: []byte(value)},
	}})
}

// insert adds jobs of one task.
func (f *fleet) insert(l *leader, ids ...string) []*workload.Job {
	f.t.Helper()
	var jobs []*workload.Job
	for _, id := range ids {
		job := testJob(id)
		if err := l.Jobs.Insert(f.t.Context(), job); err != nil {
			f.t.Fatal(err)
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// moveProgress makes the leader store all progress anew in another partition, with that of
// a new job.
func (f *fleet) moveProgress(l *leader, newJob string) {
	f.t.Helper()
	f.store.SetPartitionDown(jobstore.DefaultProgressPartition, true)
	f.insert(l, newJob)
	time.Sleep(placementTime)
	f.store.SetPartitionDown(jobstore.DefaultProgressPartition, false)
}

// checkHeld checks that a job exists and does not run.
func (f *fleet) checkHeld(l *leader, job *workload.Job) {
	f.t.Helper()
	state, err := l.Jobs.Find(f.t.Context(), job.ID)
	if err != nil || !state.Exists {
		f.t.Errorf("job %s is forgotten, error %v", job.ID, err)
	}
	if f.runs(job) {
		f.t.Errorf("held job %s runs", job.ID)
	}
}

// Guards against a job that runs again from its first task because its progress cannot be
// read: the relisting of all jobs added it as a new one. It also guards against such a row
// that keeps other jobs from running.
func TestJobWithUnreadableProgressNeverRuns(t *testing.T) {
	for name, value := range map[string]string{
		"nothing": "", "not JSON": "\x00\xff", "cut off": `{"state":"running","begun":true,"next":1,"occ":[{"k":0`, "null": "null", "no state": "{}", "list": "[]",
		"unknown state": `{"state":"resting"}`, "too large": `{"state":"running","next":1e400}`,
		"other steps":       `{"state":"running","next":1,"occ":[{"k":0,"steps":[]}]}`,
		"other tasks":       `{"state":"running","next":1,"occ":[{"k":0,"steps":[{"tasks":[1,1]}]}]}`,
		"null task":         `{"state":"running","next":1,"occ":[{"k":0,"steps":[{"tasks":[null]}]}]}`,
		"no such worker":    `{"state":"running","next":1,"occ":[{"k":0,"steps":[{"tasks":[[1,7,0,""]]}]}]}`,
		"negative run":      `{"state":"running","next":1,"occ":[{"k":0,"steps":[{"tasks":[[-5,0,0,""]]}]}]}`,
		"other occurrence":  `{"state":"running","next":1,"occ":[{"k":-1,"steps":[{"tasks":[0]}]}]}`,
		"other occurrences": `{"state":"running","next":-9223372036854775808}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newFleet(t, 2)
				jobs := f.insert(f.formerLeader(), "00000000000000b1", "00000000000000b2")
				unreadable, readable := jobs[0], jobs[1]
				f.putProgress(unreadable.ID, value)
				for i := range 2 {
					l := f.lead(fmt.Sprint("host-", i+1))
					time.Sleep(jobsRelistInterval + 2*time.Second)
					f.checkHeld(l, unreadable)
					is.True(f.runs(readable))
					if i == 0 {
						f.moveProgress(l, "00000000000000b3")
					}
					l.stop()
				}
			})
		})
	}
}

// Guards against one damaged bundle of progress that keeps every host from coordinating,
// and against a second run of the tasks whose progress it holds.
func TestUnreadableBundleHoldsOnlyTheJobsThatItMayHold(t *testing.T) {
	for name, value := range map[string]string{"nothing": "", "not JSON": "\xff", "list": "[]", "null": "null", "cut off": `{"00000000000000b1":{"state"`} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newFleet(t, 2)
				l := f.formerLeader()
				earlier := f.insert(l, "00000000000000b1", "00000000000000b2")
				before, known := earlier[0], earlier[1]
				f.putProgress("pack/7", value)
				f.putProgress(known.ID, `{"state":"running","begun":true,"next":1,"occ":[{"k":0,"steps":[{"tasks":[0]}]}]}`)
				f.putProgress("pack/of another writer", "\xff")
				after := f.insert(l, "00000000000000b3")[0]
				for i := range 2 {
					l = f.lead(fmt.Sprint("host-", i+1))
					time.Sleep(jobsRelistInterval + 2*time.Second)
					f.checkHeld(l, before)
					is.True(f.runs(known))
					is.True(f.runs(after))
					l.stop()
				}
			})
		})
	}
}

// Guards against a damaged bundle that is passed over in silence: it may have held progress
// of jobs that are gone, and it stays in the store.
func TestUnreadableBundleWithoutJobsIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		var reports atomic.Int32
		f.log = funcr.New(func(_, line string) {
			if strings.Contains(line, "pack/7") {
				reports.Add(1)
			}
		}, funcr.Options{})
		former := f.formerLeader()
		f.putProgress("pack/7", "\xff")
		job := f.insert(former, "00000000000000b1")[0]
		l := f.lead("host-1")
		time.Sleep(electionTime + placementTime)
		is.True(f.runs(job)) // it is newer than the bundle
		l.stop()
		is.Equal(reports.Load(), int32(1))
	})
}

// Guards against a job that runs again from its first task when its row, which could not be
// read when its coordinator took over, can be read again.
func TestJobWhoseRowIsRepairedKeepsItsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t, 2)
		f.formerLeader()
		const id = "00000000000000b1"
		f.putProgress(id, `{"state":"running","begun":true,"next":1,"occ":[{"k":0,"steps":[{"tasks":[[3,0,0,""]]}]}]}`)
		row := platform.PartitionRow{Table: jobstore.JobTable, Partition: jobstore.PartitionOf(id), Key: id, Value: []byte("{")}
		f.commit(platform.Tx{Puts: []platform.PartitionRow{row}})
		l := f.lead("host-1")
		time.Sleep(5 * time.Second)
		f.commit(platform.Tx{Removes: []platform.PartitionRow{row}})
		job := f.insert(l, id)[0]
		time.Sleep(jobsRelistInterval + 2*time.Second)
		is.True(!f.runs(job)) // run 1 would come after run 3
		f.moveProgress(l, "00000000000000b2")
		l.stop()
		l = f.lead("host-2")
		time.Sleep(2 * time.Second)
		is.True(f.runs(job))
		f.mu.Lock()
		for _, w := range f.workers {
			for task, run := range w.runs {
				is.True(task.Job != job.ID || run == 4)
			}
		}
		f.mu.Unlock()
		l.stop()
	})
}

// A job that had ended ran again when its row could be read again: its stored end had been removed, as
// if the job were gone.
func TestEndedJobWhoseRowIsRepairedDoesNotRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t, 2)
		f.formerLeader()
		job := testJob("00000000000000b1")
		f.putProgress(job.ID, `{"state":"completed","begun":true,"next":1,"ended_at":1}`)
		row := platform.PartitionRow{Table: jobstore.JobTable, Partition: jobstore.PartitionOf(job.ID), Key: job.ID}
		row.Value = []byte("{")
		f.commit(platform.Tx{Puts: []platform.PartitionRow{row}})
		l := f.lead("host-1")
		time.Sleep(5 * time.Second)
		value, err := json.Marshal(job)
		is.NoErr(err)
		row.Value = value
		f.commit(platform.Tx{Puts: []platform.PartitionRow{row}})
		time.Sleep(jobsRelistInterval + 2*time.Second)
		is.True(!f.runs(job))
		l.stop()
		l = f.lead("host-2")
		time.Sleep(2 * time.Second)
		is.True(!f.runs(job))
		state, known, err := l.JobState(t.Context(), job.ID, 0)
		is.NoErr(err)
		is.True(known && state == workload.Completed)
		l.stop()
	})
}
