package owner

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cuminloft/internal/journal"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
)

// Load of a cell of the target size, over all owners.
const (
	loadOwners     = 8
	loadSubmits    = 50 // jobs a second
	loadTasks      = 6  // of a job: 300 starts and 300 completions a second
	loadFor        = 30 * time.Second
	journalBudget  = 150                    // writes a second
	tableLatencyMS = 5                      // of each call
	loadRunTime    = 300 * time.Millisecond // of a task
)

// All owners together stay under the table's write budget at the target load. Time is
// synthetic, so the result does not depend on the machine.
func TestJournalWritesStayUnderBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rigs []*testCell
		for range loadOwners {
			r := newTestCell(4)
			r.table.Set(standin.FaultSet{DelayMillis: tableLatencyMS})
			r.startOwner(t.Context())
			rigs = append(rigs, r)
		}
		time.Sleep(2 * time.Second)
		before := tableWrites(rigs)
		waits := submitLoad(t, rigs)
		rate := float64(tableWrites(rigs)-before) / loadFor.Seconds()
		slices.Sort(waits)
		started := 0
		for _, r := range rigs {
			started += len(r.records())
		}
		t.Logf("writes/s %.1f; starts/s %.1f; submit latency with %d ms of the table: median %v, p99 %v, max %v",
			rate, float64(started)/loadFor.Seconds(), tableLatencyMS,
			waits[len(waits)/2], waits[len(waits)*99/100], waits[len(waits)-1])
		if rate >= journalBudget {
			t.Errorf("%.1f table writes a second, budget %d", rate, journalBudget)
		}
		if started < loadSubmits*loadTasks*int(loadFor.Seconds())*9/10 {
			t.Errorf("only %d starts, fewer than nine tenths of the load", started)
		}
		for _, r := range rigs {
			r.endAll()
		}
	})
}

func tableWrites(rigs []*testCell) int64 {
	var n int64
	for _, r := range rigs {
		n += r.table.Stats().Writes
	}
	return n
}

// submitLoad submits jobs at the load's rate and returns the latency of each
// submission.
func submitLoad(t *testing.T, rigs []*testCell) []time.Duration {
	var mu sync.Mutex
	var waits []time.Duration
	var wg sync.WaitGroup
	total := int(loadSubmits * loadFor / time.Second)
	for i := range total {
		r := rigs[i%len(rigs)]
		req := r.jobRequest(loadTasks, i%3 == 0, loadRunTime)
		wg.Go(func() {
			began := time.Now()
			if _, err := r.owners[0].Submit(context.Background(), req); err != nil {
				t.Errorf("submit: %v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, time.Since(began))
		})
		time.Sleep(time.Second / loadSubmits)
	}
	wg.Wait()
	return waits
}

// historyJobs and runningTasks are the size of the replay benchmarks.
const (
	historyJobs  = 16_000
	runningTasks = 1_000
)

// fillJournal writes a history of ended jobs and some running jobs.
func fillJournal(b *testing.B, r *testCell, snapshot bool) {
	b.Helper()
	versions, err := r.table.Apply(b.Context(), []platform.Write{{Key: journal.OwnerKey(testShard), Value: []byte(`{"fence":1}`)}})
	if err != nil {
		b.Fatal(err)
	}
	w := journal.NewWriter(r.table, journal.OwnerRow{Shard: testShard, Fence: 1, Version: versions[0]}, &journal.Loaded{State: journal.NewState()})
	var batch []journal.Entry
	for i := range historyJobs + runningTasks {
		batch = append(batch, jobRecords(i, i < historyJobs))
		if len(batch) == 10 {
			if err := w.Write(b.Context(), batch); err != nil {
				b.Fatal(err)
			}
			batch = nil
		}
	}
	if !snapshot {
		return
	}
	p, err := w.PrepareSnapshot()
	if err != nil {
		b.Fatal(err)
	}
	if err := p.Save(b.Context(), r.table, r.objects); err != nil {
		b.Fatal(err)
	}
}

// jobRecords returns the records of one job with one task.
func jobRecords(i int, over bool) journal.Entry {
	id := fmt.Sprintf("%032x", i)
	now := time.Now().UnixNano()
	records := []*journal.Record{
		{Kind: &journal.Record_JobAccepted{JobAccepted: &journal.JobAccepted{Job: rpc.FromJob(model.Job{
			ID: model.JobID(id), Team: "planner", Queue: "blends", Policy: model.PolicyBatch, Tasks: 1, Submitted: time.Now(),
			Task: model.TaskSpec{Resources: model.Resources{MilliCores: 1, MemoryMB: 1}, Payload: make([]byte, 200)},
		})}}},
		{Kind: &journal.Record_TaskStarted{TaskStarted: &journal.TaskStarted{JobId: id, Attempt: 1, Worker: "w0", Boot: "w0-1", StartedNs: now}}},
	}
	if over {
		records = append(records,
			&journal.Record{Kind: &journal.Record_TaskEnded{TaskEnded: &journal.TaskEnded{JobId: id, Attempt: 1, End: "done", Result: make([]byte, 100)}}},
			&journal.Record{Kind: &journal.Record_JobEnded{JobEnded: &journal.JobEnded{JobId: id, Outcome: "done", EndedNs: now}}})
	}
	return journal.Entry{Records: records}
}

func BenchmarkReplay(b *testing.B) {
	for _, snapshot := range []bool{true, false} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			r := newTestCell(1)
			fillJournal(b, r, snapshot)
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var kept *journal.Loaded
			for b.Loop() {
				loaded, err := journal.Load(b.Context(), r.table, r.objects, testShard)
				if err != nil || len(loaded.State.Jobs) != historyJobs+runningTasks {
					b.Fatal(err)
				}
				kept = loaded
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-kept")
			runtime.KeepAlive(kept)
		})
	}
}

// BenchmarkTakeover measures the time from Run to a ready digest, with a journal of
// the full size, 17 workers, and a table that takes 5 ms a call.
func BenchmarkTakeover(b *testing.B) {
	var took []time.Duration
	for b.Loop() {
		b.StopTimer()
		r := newTestCell(17)
		fillJournal(b, r, true)
		r.table.Set(standin.FaultSet{DelayMillis: tableLatencyMS})
		b.StartTimer()
		took = append(took, r.timeTakeover(b))
		b.StopTimer()
		r.owners[0].kill()
		b.StartTimer()
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-median")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "ms-worst")
}

func (r *testCell) timeTakeover(b *testing.B) time.Duration {
	began := time.Now()
	o := r.startOwner(b.Context())
	for !o.Digest().GetReady() {
		time.Sleep(100 * time.Microsecond)
	}
	return time.Since(began)
}

// BenchmarkReserveRelease measures one direct request in the owner without the worker:
// two messages to the event loop and two decisions.
func BenchmarkReserveRelease(b *testing.B) {
	r := newTestCell(17)
	o := r.startOwner(b.Context())
	for !o.Digest().GetReady() {
		time.Sleep(time.Millisecond)
	}
	var mu sync.Mutex
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			mu.Lock()
			req := r.directRequest()
			mu.Unlock()
			ticket, err := o.Reserve(b.Context(), req)
			if err != nil {
				b.Error(err)
				return
			}
			_, err = o.Release(b.Context(), &rpc.ReleaseRequest{Task: ticket.GetTask(), Attempt: ticket.GetAttempt(), End: "done"})
			if err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	o.stop()
	if err := <-o.ended; err != nil {
		b.Error(err)
	}
}
