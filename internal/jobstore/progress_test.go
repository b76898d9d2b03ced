package jobstore

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

func progressOf(jobs []int, text string) []workload.JobProgress {
	var out []workload.JobProgress
	for _, j := range jobs {
		out = append(out, workload.JobProgress{Job: fmt.Sprintf("%016x", j), Data: []byte(`"` + text + `"`)})
	}
	return out
}

// Checks with random commits that a reader of the rows finds the newest progress of
// each job, whichever rows hold it, and that rows and transactions stay within the
// store's limits.
func TestProgressIndexFindsNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := rows.New()
		index := NewProgressIndex()
		want := map[string]string{}
		for n := range rapid.IntRange(1, 12).Draw(t, "commits") {
			jobs := rapid.SliceOfNDistinct(rapid.IntRange(0, 300), 1, 200, rapid.ID[int]).Draw(t, "jobs")
			text := fmt.Sprint("commit ", n)
			if rapid.Bool().Draw(t, "long") {
				text += strings.Repeat(".", 2000)
			}
			progress := progressOf(jobs, text)
			puts := index.Put(progress)
			for _, p := range progress {
				want[p.Job] = string(p.Data)
			}
			if rapid.IntRange(0, 3).Draw(t, "drop") == 0 {
				index.Drop(progress[0].Job)
				delete(want, progress[0].Job)
			}
			for _, r := range puts {
				if len(r.Value) > 64<<10 {
					t.Fatalf("row of %d bytes", len(r.Value))
				}
			}
			tx := platform.Tx{Puts: puts, Removes: index.TakeRemovals()}
			if len(tx.Puts)+len(tx.Removes)+2 > 100 {
				t.Fatalf("%d puts and %d removes", len(tx.Puts), len(tx.Removes))
			}
			if _, err := store.Commit(t.Context(), tx); err != nil {
				t.Fatal(err)
			}
			last := progress[len(progress)-1].Job
			all, _, err := platform.ScanAll(t.Context(), store, ProgressTable, DefaultProgressPartition)
			if err != nil {
				t.Fatal(err)
			}
			if found, err := NewProgressIndex().Load(all); err != nil || string(found[last]) != want[last] {
				t.Fatalf("job %s: found %.30q, %v, want %.30q", last, found[last], err, want[last])
			}
			if rapid.IntRange(0, 4).Draw(t, "takeover") == 0 {
				index = NewProgressIndex()
				found, err := index.Load(all)
				if err != nil {
					t.Fatal(err)
				}
				for job, text := range want {
					if string(found[job]) != text {
						t.Fatalf("job %s: found %.30q, want %.30q", job, found[job], text)
					}
				}
			}
		}
	})
}

// A bundle is removed when it no longer holds the newest progress of any job.
func TestEmptyBundlesAreRemoved(t *testing.T) {
	is := is.New(t)
	index := NewProgressIndex()
	many := make([]int, maxSingleRows+1)
	for i := range many {
		many[i] = i
	}
	bundles := index.Put(progressOf(many, "packed"))
	is.Equal(len(bundles), 1)
	is.Equal(len(index.TakeRemovals()), 0)
	index.Put(progressOf(many[:maxSingleRows], "own"))
	is.Equal(len(index.TakeRemovals()), 0) // the newest progress of one job is still in the bundle
	index.Put(progressOf(many[maxSingleRows:], "own"))
	removes := index.TakeRemovals()
	is.Equal(len(removes), 1)
	is.Equal(removes[0].Key, bundles[0].Key)
}
