package coordinator

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// shortJob returns a job of one task.
func shortJob(id string) *workload.Job {
	return &workload.Job{ID: id, Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
		Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1000}}}}
}

// putRow writes a row of the progress table.
func putRow(t *testing.T, s *rows.Store, key string, value []byte) {
	t.Helper()
	row := platform.PartitionRow{Table: jobstore.ProgressTable, Partition: jobstore.DefaultProgressPartition, Key: key, Value: value}
	if _, err := s.Commit(t.Context(), platform.Tx{Puts: []platform.PartitionRow{row}}); err != nil {
		t.Fatal(err)
	}
}

// runs reports whether a task of the job runs.
func (f *fleet) runs(job *workload.Job) bool {
	return f.placeOf(workload.TaskID{StepID: workload.StepID{Job: job.ID}}) != ""
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
				f, s := newFleet(t, 2), rows.New()
				store := rows.NewSlowStore(s, usualCall)
				first := f.lead(store, "host-0")
				time.Sleep(time.Second)
				unreadable, readable := shortJob("00000000000000b1"), shortJob("00000000000000b2")
				first.stop()
				is.NoErr(first.Jobs.Insert(t.Context(), unreadable))
				is.NoErr(first.Jobs.Insert(t.Context(), readable))
				putRow(t, s, unreadable.ID, []byte(value))
				for i := range 2 {
					l := f.lead(store, fmt.Sprint("host-", i+1))
					time.Sleep(jobsRelistInterval + 2*time.Second)
					is.True(!f.runs(unreadable))
					is.True(f.runs(readable))
					state, err := l.Jobs.Find(t.Context(), unreadable.ID)
					is.NoErr(err)
					is.True(state.Exists) // it is not forgotten
					if i == 0 {
						s.SetPartitionDown(jobstore.DefaultProgressPartition, true) // all progress moves
						is.NoErr(l.Jobs.Insert(t.Context(), shortJob("00000000000000b3")))
						time.Sleep(3 * time.Second)
						s.SetPartitionDown(jobstore.DefaultProgressPartition, false)
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
				f, s := newFleet(t, 2), rows.New()
				store := rows.NewSlowStore(s, usualCall)
				l := f.lead(store, "host-0")
				time.Sleep(time.Second)
				l.stop()
				before, known, after := shortJob("00000000000000b1"), shortJob("00000000000000b2"), shortJob("00000000000000b3")
				is.NoErr(l.Jobs.Insert(t.Context(), before))
				is.NoErr(l.Jobs.Insert(t.Context(), known))
				putRow(t, s, "pack/7", []byte(value))
				putRow(t, s, known.ID, []byte(`{"state":"running","begun":true,"next":1,"occ":[{"k":0,"steps":[{"tasks":[0]}]}]}`))
				putRow(t, s, "pack/of another writer", []byte("\xff"))
				is.NoErr(l.Jobs.Insert(t.Context(), after))
				for i := range 2 {
					l = f.lead(store, fmt.Sprint("host-", i+1))
					time.Sleep(jobsRelistInterval + 2*time.Second)
					is.True(!f.runs(before))
					is.True(f.runs(known))
					is.True(f.runs(after))
					state, err := l.Jobs.Find(t.Context(), before.ID)
					is.NoErr(err)
					is.True(state.Exists)
					l.stop()
				}
			})
		})
	}
}

// Guards against a job that runs again from its first task when its row, which could not be
// read when its coordinator took over, can be read again.
func TestJobWhoseRowIsRepairedKeepsItsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f, s := newFleet(t, 2), rows.New()
		store := rows.NewSlowStore(s, usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		l.stop()
		job := shortJob("00000000000000b1")
		putRow(t, s, job.ID, []byte(`{"state":"running","begun":true,"next":1,"occ":[{"k":0,"steps":[{"tasks":[[3,0,0,""]]}]}]}`))
		row := platform.PartitionRow{Table: jobstore.JobTable, Partition: jobstore.PartitionOf(job.ID), Key: job.ID, Value: []byte("{")}
		_, err := s.Commit(t.Context(), platform.Tx{Puts: []platform.PartitionRow{row}})
		is.NoErr(err)
		l = f.lead(store, "host-1")
		time.Sleep(5 * time.Second)
		_, err = s.Commit(t.Context(), platform.Tx{Removes: []platform.PartitionRow{row}})
		is.NoErr(err)
		is.NoErr(l.Jobs.Insert(t.Context(), job))
		time.Sleep(jobsRelistInterval + 2*time.Second)
		is.True(!f.runs(job))                                       // run 1 would come after run 3
		s.SetPartitionDown(jobstore.DefaultProgressPartition, true) // all progress moves
		is.NoErr(l.Jobs.Insert(t.Context(), shortJob("00000000000000b2")))
		time.Sleep(3 * time.Second)
		s.SetPartitionDown(jobstore.DefaultProgressPartition, false)
		l.stop()
		l = f.lead(store, "host-2")
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
