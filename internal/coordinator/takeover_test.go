package coordinator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// Issue 36: a service task stayed down for as long as coordinators followed one another,
// since each one waited anew for the leases of workers that were gone before its term.
func TestServiceStaysDownThroughTakeovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 3), rows.NewSlowStore(rows.New(), usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		job := serviceJob(1)
		is.NoErr(l.Jobs.Insert(t.Context(), job))
		time.Sleep(3 * time.Second)
		task := workload.TaskID{StepID: workload.StepID{Job: job.ID}}
		worker := f.placeOf(task)
		is.True(worker != "")
		f.crash(worker)
		time.Sleep(3 * time.Second)
		for i := range 6 {
			l.stop()
			l = f.lead(store, fmt.Sprint("host-", i+1))
			time.Sleep(1500 * time.Millisecond)
		}
		l.stop()
		t.Logf("longest time without a run: %v", f.gap())
		is.True(f.gap() <= serviceRestart)
	})
}

// serviceRestartAfterFault is the time after the end of the last fault within which a
// service task runs again: hosts count as in touch after 3 s, and 7 calm seconds follow.
const serviceRestartAfterFault = 10 * time.Second

// Issue 36: service tasks of a worker that was lost just before its leader stayed down
// until 13 s after the takeover, since no bound of its leases was stored.
func TestServiceStaysDownAfterLossOfWorkerAndLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 3), rows.NewSlowStore(rows.New(), usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		job := serviceJob(1)
		is.NoErr(l.Jobs.Insert(t.Context(), job))
		time.Sleep(3 * time.Second)
		task := workload.TaskID{StepID: workload.StepID{Job: job.ID}}
		crashed := time.Now()
		f.crash(f.placeOf(task))
		time.Sleep(250 * time.Millisecond)
		l.store.setCut(true)
		stopped := make(chan struct{})
		go func() { defer close(stopped); l.stop() }()
		owed := time.Since(crashed) + serviceRestartAfterFault
		successor := f.lead(store, "host-1")
		time.Sleep(20 * time.Second)
		successor.stop()
		<-stopped
		t.Logf("longest time without a run: %v, owed within %v", f.gap(), owed)
		is.True(f.gap() <= owed)
	})
}

// randomFault applies a random fault to the fleet or to the coordinators, and returns the
// host that is to lead from then on.
func (f *fleet) randomFault(r *rand.Rand, store *rows.SlowStore, l *leader, host string, stopped *[]*leader) *leader {
	id := fmt.Sprint("w", r.IntN(len(f.workers)))
	switch r.IntN(7) {
	case 0: // planned takeover
		l.stop()
		return f.lead(store, host)
	case 1, 2: // the leader is cut off from the store, and goes on with its workers
		l.store.setCut(true)
		*stopped = append(*stopped, l)
		return f.lead(store, host)
	case 3:
		f.setUnreachable(id, true)
	case 4:
		f.setUnreachable(id, false)
	case 5:
		store.SetLatency(time.Duration(r.IntN(60)+1) * usualCall)
		time.Sleep(time.Second)
		store.SetLatency(usualCall)
	case 6:
		f.cutFromSuccessors(id)
	}
	return l
}

// Issue 36: a worker crashed at the moment at which the coordinator fell silent. Its tasks
// had no run for 14 s: the successor had to allow for leases that the coordinator might
// go on giving for 5 s.
func TestServiceStaysDownAfterOneTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 3), rows.NewSlowStore(rows.New(), usualCall)
		old := f.lead(store, "host-0")
		time.Sleep(time.Second)
		job := serviceJob(1)
		is.NoErr(old.Jobs.Insert(t.Context(), job))
		time.Sleep(3 * time.Second)
		f.crash(f.placeOf(workload.TaskID{StepID: workload.StepID{Job: job.ID}}))
		old.store.setCut(true)
		l := f.lead(store, "host-1")
		time.Sleep(20 * time.Second)
		t.Logf("longest time without a run: %v", f.gap())
		is.True(f.gap() <= serviceRestartAfterFault)
		old.store.setCut(false)
		time.Sleep(time.Second)
		old.stop()
		l.stop()
	})
}

// Tasks keep running while the store is away for as long as is usual for an outage.
func TestLeasesOutlastAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 2), rows.NewSlowStore(rows.New(), usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		is.NoErr(l.Jobs.Insert(t.Context(), serviceJob(4)))
		time.Sleep(3 * time.Second)
		l.store.setCut(true)
		time.Sleep(6500 * time.Millisecond)
		l.store.setCut(false)
		time.Sleep(5 * time.Second)
		is.Equal(len(f.ended), 0)
		l.stop()
	})
}

// Leaders of older builds go on giving leases for longer. Their successors wait for these,
// however many they are, and for the leases of a leader that has loaded the jobs.
func TestLeasesOfEarlierLeadersAreWaitedFor(t *testing.T) {
	const earlier = 40 * time.Second
	for name, test := range map[string]struct {
		record LeaderRecord
		clock  time.Duration
		want   time.Duration
	}{
		"no leader yet":                        {LeaderRecord{}, time.Second, time.Second},
		"the clock is not known":               {LeaderRecord{Epoch: 4, EarlierLeasesEndMS: earlier.Milliseconds()}, 0, 0},
		"older build":                          {LeaderRecord{Epoch: 3}, time.Second, time.Second + olderTakeoverBound},
		"older build, loading":                 {LeaderRecord{Epoch: 3, Loading: true}, time.Second, time.Second + olderTakeoverBound},
		"loaded":                               {LeaderRecord{Epoch: 4, EarlierLeasesEndMS: earlier.Milliseconds()}, 39 * time.Second, 39*time.Second + takeoverBound},
		"loaded, after an older build":         {LeaderRecord{Epoch: 4, EarlierLeasesEndMS: earlier.Milliseconds()}, 30 * time.Second, earlier},
		"loading: it has given no leases":      {LeaderRecord{Epoch: 4, EarlierLeasesEndMS: earlier.Milliseconds(), Loading: true}, 39 * time.Second, earlier},
		"loading, earlier leases have expired": {LeaderRecord{Epoch: 4, EarlierLeasesEndMS: earlier.Milliseconds(), Loading: true}, 50 * time.Second, earlier},
	} {
		t.Run(name, func(t *testing.T) {
			row := leaderRow{LeaderRecord: test.record, readAt: test.clock}
			is.New(t).Equal(row.allLeasesEnd(), test.want)
		})
	}
}

// A worker whose bound is stored is given no lease before a commit without it: here the
// leader reaches the worker again but not the store, and its successor not the worker.
func TestWorkerWithStoredBoundGetsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 2), rows.NewSlowStore(rows.New(), usualCall)
		old := f.lead(store, "host-0")
		time.Sleep(time.Second)
		job := serviceJob(1)
		is.NoErr(old.Jobs.Insert(t.Context(), job))
		time.Sleep(3 * time.Second)
		task := workload.TaskID{StepID: workload.StepID{Job: job.ID}}
		worker := f.placeOf(task)
		f.setUnreachable(worker, true)
		time.Sleep(3 * time.Second)
		old.store.setCut(true)
		f.cutFromSuccessors(worker)
		l := f.lead(store, "host-1")
		time.Sleep(20 * time.Second)
		is.True(f.placeOf(task) != "" && f.placeOf(task) != worker)
		is.True(f.gap() <= serviceRestart)
		old.store.setCut(false)
		time.Sleep(time.Second)
		old.stop()
		l.stop()
	})
}

// Never two runs of a task at a time, whatever workers and coordinators are cut off and
// come back: a worker that a later coordinator cannot reach may hold a lease that an
// earlier one goes on renewing.
func TestOneRunAtATimeThroughTakeovers(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 36))
				f, store := newFleet(t, 4), rows.NewSlowStore(rows.New(), usualCall)
				l := f.lead(store, "host")
				time.Sleep(time.Second)
				if err := l.Jobs.Insert(t.Context(), serviceJob(6)); err != nil {
					t.Fatal(err)
				}
				var cut []*leader
				for i := range 30 {
					time.Sleep(time.Duration(r.IntN(2500)) * time.Millisecond)
					l = f.randomFault(r, store, l, fmt.Sprint("host-", i), &cut)
				}
				for i := range f.workers {
					f.setUnreachable(i, false)
				}
				for _, old := range cut {
					old.store.setCut(false)
				}
				time.Sleep(20 * time.Second)
				for task := range f.ended {
					if f.placeOf(task) == "" {
						t.Errorf("task %v does not run 20 s after the last fault", task)
					}
				}
				for _, old := range cut {
					old.stop()
				}
				l.stop()
			})
		})
	}
}

// A coordinator of a build without lease bounds gives leases to workers that are listed.
// Its commits remove the list, so that a successor does not rely on it.
func TestOlderBuildRemovesLeaseBounds(t *testing.T) {
	is := is.New(t)
	stored, err := json.Marshal(LeaderRecord{Leader: "new", Epoch: 4, Seq: 7, LeaseBounds: leaseBounds{"w": 5000}})
	is.NoErr(err)
	var old struct {
		Leader  string `json:"holder"`
		Address string `json:"address"`
		Epoch   int64  `json:"epoch"`
		Seq     int64  `json:"seq"`
		Moves   int64  `json:"moves,omitempty"`
		RenewMS int64  `json:"renew_ms,omitempty"`
		Loading bool   `json:"loading,omitempty"`
	}
	is.NoErr(json.Unmarshal(stored, &old))
	rewritten, err := json.Marshal(old)
	is.NoErr(err)
	row, err := decodeLeaderRow(platform.PartitionRow{Value: rewritten})
	is.NoErr(err)
	is.Equal(row.Epoch, int64(4))
	is.Equal(len(row.LeaseBounds), 0)
}

// The leases of a worker that is back in reach are renewed before they end.
func TestWorkerBackInReachKeepsItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 2), rows.NewSlowStore(rows.New(), usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		job := serviceJob(2)
		is.NoErr(l.Jobs.Insert(t.Context(), job))
		time.Sleep(3 * time.Second)
		worker := f.placeOf(workload.TaskID{StepID: workload.StepID{Job: job.ID}})
		for i := range 4 {
			f.setUnreachable(worker, true)
			time.Sleep(3 * time.Second)
			l.stop()
			l = f.lead(store, fmt.Sprint("host-", i+1))
			time.Sleep(time.Second)
			f.setUnreachable(worker, false)
			time.Sleep(4 * time.Second)
		}
		l.stop()
		is.Equal(len(f.ended), 0)
	})
}

// A store outage just after a takeover is outlasted like any other. The successor reads
// the registry within 150 ms, so that for its first ticks all workers are out of reach.
func TestLeasesLapseInAnOutageAfterATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 2), rows.NewSlowStore(rows.New(), usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		is.NoErr(l.Jobs.Insert(t.Context(), serviceJob(4)))
		time.Sleep(3 * time.Second)
		f.listTime = 150 * time.Millisecond
		l.stop()
		l = f.lead(store, "host-1")
		for t := l.currentTerm.Load(); t == nil || !t.loaded.Load(); t = l.currentTerm.Load() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		l.store.setCut(true)
		time.Sleep(6500 * time.Millisecond)
		l.store.setCut(false)
		time.Sleep(5 * time.Second)
		l.stop()
		t.Logf("%d runs ended", len(f.ended))
		is.Equal(len(f.ended), 0)
	})
}

// A worker crashes with the coordinator, and its successors end before they have loaded the
// jobs. They give no leases, so that the wait for those on the worker does not start anew
// with each of them.
func TestServiceStaysDownThroughTermsThatDoNotLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, store := newFleet(t, 3), rows.NewSlowStore(rows.New(), usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		job := serviceJob(1)
		is.NoErr(l.Jobs.Insert(t.Context(), job))
		time.Sleep(3 * time.Second)
		f.crash(f.placeOf(workload.TaskID{StepID: workload.StepID{Job: job.ID}}))
		l.stop()
		store.SetLatency(slowCall / 2) // loading takes longer than a term
		terms := 0
		for began := time.Now(); time.Since(began) < serviceRestart-2*time.Second; terms++ {
			l = f.lead(store, fmt.Sprint("host-", terms+1))
			for l.currentTerm.Load() == nil {
				time.Sleep(time.Millisecond)
			}
			is.True(!l.currentTerm.Load().loaded.Load())
			l.stop()
		}
		store.SetLatency(usualCall)
		l = f.lead(store, "last")
		time.Sleep(15 * time.Second)
		l.stop()
		t.Logf("longest time without a run: %v, after %d terms that did not load", f.gap(), terms)
		is.True(f.gap() <= takeoverBound+time.Second)
	})
}

// A host is frozen as the answer to its takeover is on its way. Meanwhile another host takes
// the leadership, and counts the leases of the frozen one from there on. These end in time
// though the frozen host counts its takeover as its last commit.
func TestLeasesOfAHostFrozenInItsTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, store := newFleet(t, 2), rows.NewSlowStore(rows.New(), usualCall)
		l := f.lead(store, "host-0")
		time.Sleep(time.Second)
		job := serviceJob(1)
		if err := l.Jobs.Insert(t.Context(), job); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		task := workload.TaskID{StepID: workload.StepID{Job: job.ID}}
		worker := f.placeOf(task)
		l.stop()

		record := func() leaderRow {
			all, err := readLeaderRows(t.Context(), store)
			if err != nil {
				t.Fatal(err)
			}
			return *all.active()
		}
		const frozenFor = 1400 * time.Millisecond
		frozen := f.lead(store, "frozen")
		frozen.store.setPaused(frozenFor)
		for record().Leader != "frozen" {
			time.Sleep(time.Millisecond)
		}
		f.mu.Lock()
		f.workers[worker].fencedOff = record().Epoch // its successor does not reach the worker
		f.mu.Unlock()
		next := f.lead(store, "next")
		for record().Leader != "next" {
			time.Sleep(time.Millisecond)
		}
		frozen.store.setPaused(0)
		for t := frozen.currentTerm.Load(); t == nil || !t.loaded.Load(); t = frozen.currentTerm.Load() {
			time.Sleep(time.Millisecond)
		}
		frozen.store.setCut(true)
		time.Sleep(20 * time.Second)
		frozen.store.setCut(false)
		time.Sleep(time.Second)
		frozen.stop()
		next.stop()
	})
}
