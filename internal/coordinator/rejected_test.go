package coordinator

import (
	"bytes"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// rejectProgressOf makes the store reject each transaction with progress of a job, until the
// returned flag is set.
func (f *fleet) rejectProgressOf(job string) (accepted *atomic.Bool) {
	accepted = new(atomic.Bool)
	f.store.SetFault(func(tx platform.Tx) rows.Fault {
		for _, r := range tx.Puts {
			if r.Table == jobstore.ProgressTable && (r.Key == job || bytes.Contains(r.Value, []byte(job))) && !accepted.Load() {
				return rows.Rejected
			}
		}
		return rows.None
	})
	return accepted
}

// insertServices adds jobs of one service task.
func (f *fleet) insertServices(l *leader, ids ...string) []*workload.Job {
	f.t.Helper()
	var jobs []*workload.Job
	for _, id := range ids {
		job := serviceJob(1)
		job.ID = id
		if err := l.Jobs.Insert(f.t.Context(), job); err != nil {
			f.t.Fatal(err)
		}
		jobs = append(jobs, job)
	}
	return jobs
}

// Guards against a cell in which nothing starts since the store rejects the progress of one
// job: the coordinator took the answer for an outage and repeated the commit without end,
// and so did each successor. The job itself starts once the store takes its progress.
func TestRejectedProgressStopsNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 12)
		l := f.lead("host-0")
		defer func() { l.stop() }()
		time.Sleep(electionTime)
		const rejected = "00000000000000f0"
		accepted := f.rejectProgressOf(rejected)
		ids := []string{rejected}
		for i := range 5 {
			ids = append(ids, fmt.Sprintf("00000000000000a%d", i))
		}
		jobs := f.insertServices(l, ids...)
		time.Sleep(placementTime)
		for _, job := range jobs[1:] {
			is.True(f.runs(job))
		}
		is.True(!f.runs(jobs[0]))

		l.stop()
		l = f.lead("host-1")
		time.Sleep(electionTime)
		later := f.insertServices(l, "00000000000000b0")[0]
		time.Sleep(placementTime)
		is.True(f.runs(later))
		is.True(!f.runs(jobs[0]))

		accepted.Store(true)
		time.Sleep(2 * 5 * time.Second) // it is tried again every 5 s
		is.True(f.runs(jobs[0]))
	})
}

// A bundle that holds the newest stored progress of a job is kept while later progress of the
// job is rejected: without it a successor would start the job's tasks anew.
func TestStoredProgressIsKeptWhileLaterOneIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 40)
		l := f.lead("host-0")
		defer func() { l.stop() }()
		time.Sleep(electionTime)
		var ids []string
		for i := range 100 { // so many that their progress is bundled
			ids = append(ids, fmt.Sprintf("%016x", 0xb00+i))
		}
		jobs := f.insertServices(l, ids...)
		time.Sleep(placementTime)
		job := jobs[7]
		is.True(f.runs(job))
		f.rejectProgressOf(job.ID)
		worker := f.placeOf(taskOf(job, 0))
		f.crash(worker)
		time.Sleep(15 * time.Second)
		for _, other := range jobs {
			is.Equal(f.runs(other), other != job)
		}
		_, found := f.storedProgress(job.ID)
		is.True(found)
	})
}

// storedProgress returns the newest stored progress of a job.
func (f *fleet) storedProgress(job string) ([]byte, bool) {
	f.t.Helper()
	all, _, err := platform.ScanAll(f.t.Context(), f.store, jobstore.ProgressTable, jobstore.DefaultProgressPartition)
	if err != nil {
		f.t.Fatal(err)
	}
	progress, err := jobstore.NewProgressIndex().Load(all)
	if err != nil {
		f.t.Fatal(err)
	}
	data, found := progress[job]
	return data, found
}

// A host whose moves are refused by all partitions notices that another one has taken the
// leadership.
func TestRefusedMoveNoticesATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := rows.NewSlowStore(rows.New(), usualCall)
		record := func(host string) LeaderRecord { return LeaderRecord{Leader: host, Address: host + ":1"} }
		take := func(host string, epoch int64) *Term {
			current, err := readLeaderRows(t.Context(), store)
			is.NoErr(err)
			next := record(host)
			next.Epoch = epoch
			chain := &commitChain{store: store, last: current}
			is.NoErr(chain.take(t.Context(), next))
			return &Term{Epoch: epoch, Since: time.Now(), record: next, chain: chain}
		}
		old := take("a", 1)
		take("b", 2)
		store.SetFault(func(platform.Tx) rows.Fault { return rows.Refused })
		err := old.MovePartition(t.Context(), []platform.PartitionRow{{Table: jobstore.ProgressTable, Key: "j", Value: []byte("{}")}})
		is.True(errors.Is(err, errLeadershipLost))
	})
}

// The leader record stays within a row however long the IDs of workers out of reach are.
func TestLeaseBoundsStayWithinARow(t *testing.T) {
	is := is.New(t)
	b := leaseBounds{}
	for i := 0; len(b) < maxLeaseBounds && b.size() < maxLeaseBoundBytes; i++ {
		b[fmt.Sprintf("i-%0198d", i)] = 1796467519632
	}
	is.True(b.size() < workload.MaxRowBytes/2+500)
}
