package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/cellwatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// fleet stands in for the workers and their registry. Its workers keep fences and
// leases, on clocks that run 2% slow, and run service tasks until they are stopped.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	workers map[string]*fleetWorker
	version int64
	changes []workload.WorkerChange
	// answerTime is how long a heartbeat takes that does not wait.
	answerTime time.Duration
	// running and ended are the worker that runs a task, and when its last run ended.
	running map[workload.TaskID]string
	ended   map[workload.TaskID]time.Time
	// longestGap is the longest time for which a task had no run.
	longestGap time.Duration
	listTime   time.Duration // how long a listing of the registry takes
}

type fleetWorker struct {
	workload.Worker
	registered  bool
	unreachable bool
	fencedOff   int64  // if set, calls under a higher fence get no answer
	answerOnce  func() // if set, one heartbeat is answered although the worker is unreachable
	began       time.Time
	fence       int64
	lease       time.Time // when the lease ends
	runs        map[workload.TaskID]int
	highest     map[workload.TaskID]int
	ends        []workload.RunEnd
	seq         int64
}

// slowClock is the rate of the workers' clocks.
const slowClock = 0.98

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, answerTime: time.Millisecond, workers: map[string]*fleetWorker{}, running: map[workload.TaskID]string{}, ended: map[workload.TaskID]time.Time{}}
	for i := range n {
		f.add(fmt.Sprint("w", i))
	}
	return f
}

// add registers a new worker.
func (f *fleet) add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &fleetWorker{Worker: workload.Worker{ID: id, Incarnation: 1, Address: id + ":1", AZ: "a", Pool: "p", Capacity: model.Resources{MilliCores: 8000}},
		registered: true, began: time.Now(), runs: map[workload.TaskID]int{}, highest: map[workload.TaskID]int{}}
	f.workers[id] = w
	f.publish(w)
}

// publish appends the worker's registration to the registry's changes. The caller holds mu.
func (f *fleet) publish(w *fleetWorker) {
	f.version++
	change := workload.WorkerChange{ID: w.ID}
	if w.registered {
		copied := w.Worker
		change.Worker = &copied
	}
	f.changes = append(f.changes, change)
}

// List and Next implement platform.Feed.
func (f *fleet) List(context.Context) ([]workload.WorkerChange, int64, error) {
	time.Sleep(f.listTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []workload.WorkerChange
	for _, w := range f.workers {
		if w.registered {
			copied := w.Worker
			all = append(all, workload.WorkerChange{ID: w.ID, Worker: &copied})
		}
	}
	return all, f.version + 1, nil
}

func (f *fleet) Next(ctx context.Context, after int64, wait time.Duration) ([]workload.WorkerChange, int64, error) {
	deadline := time.Now().Add(wait)
	for {
		f.mu.Lock()
		changes, version := append([]workload.WorkerChange(nil), f.changes[min(int(after-1), len(f.changes)):]...), f.version+1
		f.mu.Unlock()
		if len(changes) > 0 || !time.Now().Before(deadline) {
			return changes, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// clock returns the reading of the worker's clock in milliseconds.
func (w *fleetWorker) clock() int64 {
	return 1 + int64(slowClock*float64(time.Since(w.began).Milliseconds()))
}

// end ends a run. The caller holds mu.
func (f *fleet) end(w *fleetWorker, task workload.TaskID, outcome workload.Outcome) {
	run := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = run
	w.seq++
	w.ends = append(w.ends, workload.RunEnd{Seq: w.seq, Run: workload.Run{Task: task, Number: run}, Outcome: outcome})
	delete(f.running, task)
	f.ended[task] = time.Now()
}

// extend renews the lease of all runs. The caller holds mu.
func (f *fleet) extend(w *fleetWorker, until int64) {
	end := w.began.Add(time.Duration(float64(time.Duration(until)*time.Millisecond) / slowClock))
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	time.AfterFunc(time.Until(end), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if time.Now().Before(w.lease) {
			return
		}
		for task := range w.runs {
			f.end(w, task, workload.RunLeaseExpired)
		}
	})
}

// call finds the worker that a command is for, raises its fence and renews its lease.
// The caller holds mu.
func (f *fleet) call(ctx context.Context, target *workload.Worker, fence, lease int64) (*fleetWorker, error) {
	w := f.workers[target.ID]
	if target.Address != w.Address {
		return nil, workload.ErrReplaced
	}
	if w.unreachable || w.fencedOff != 0 && fence > w.fencedOff {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, workload.ErrNoAnswer
	}
	if fence < w.fence {
		return nil, workload.ErrFenced
	}
	w.fence = fence
	f.extend(w, lease)
	return w, nil
}

func (f *fleet) Heartbeat(ctx context.Context, target *workload.Worker, o workload.Heartbeat) (workload.Inventory, error) {
	time.Sleep(f.answerTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if reached := f.workers[target.ID]; reached.unreachable && reached.answerOnce != nil {
		reached.answerOnce()
		reached.answerOnce = nil
		reached.unreachable = false
		defer func() { reached.unreachable = true }()
	}
	w, err := f.call(ctx, target, o.Fence, o.LeaseUntil)
	if err != nil {
		return workload.Inventory{}, err
	}
	for deadline := time.Now().Add(o.Wait); len(w.ends) == 0 && time.Now().Before(deadline) && ctx.Err() == nil; {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
	}
	if w.unreachable {
		return workload.Inventory{}, workload.ErrNoAnswer
	}
	inv := workload.Inventory{ClockMS: w.clock(), Incarnation: w.Incarnation}
	for task, run := range w.runs {
		inv.Running = append(inv.Running, workload.RunStatus{Run: workload.Run{Task: task, Number: run}, Percent: 100})
	}
	var kept []workload.RunEnd
	for _, e := range w.ends {
		if e.Seq > o.AckSeq {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	inv.Ended = append(inv.Ended, kept...)
	return inv, nil
}

func (f *fleet) Start(ctx context.Context, target *workload.Worker, o workload.StartOrder) (int64, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.call(ctx, target, o.Fence, o.LeaseUntil)
	if err != nil {
		return 0, err
	}
	task := o.Run.Task
	switch {
	case w.runs[task] == o.Run.Number:
		return w.clock(), nil
	case o.Run.Number <= w.highest[task]:
		return w.clock(), workload.ErrRunTooOld
	case o.LeaseUntil <= w.clock():
		return w.clock(), workload.ErrLeaseInPast
	}
	if other, running := f.running[task]; running {
		f.t.Errorf("run %d of %v starts on %s while another run of it runs on %s", o.Run.Number, task, w.ID, other)
	}
	f.running[task] = w.ID
	w.runs[task] = o.Run.Number
	f.recordGap(task)
	return w.clock(), nil
}

// recordGap records how long a task has had no run. The caller holds mu.
func (f *fleet) recordGap(task workload.TaskID) {
	if ended, ok := f.ended[task]; ok {
		f.longestGap = max(f.longestGap, time.Since(ended))
	}
}

func (f *fleet) Stop(ctx context.Context, target *workload.Worker, r workload.Run, fence int64) error {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.call(ctx, target, fence, 0)
	if err != nil {
		return err
	}
	if w.runs[r.Task] != 0 && w.runs[r.Task] <= r.Number {
		f.end(w, r.Task, workload.RunStopped)
	}
	w.highest[r.Task] = max(w.highest[r.Task], r.Number)
	return nil
}

func (f *fleet) Throttle(context.Context, *workload.Worker, workload.Run, int, int64) error {
	return nil
}
func (f *fleet) Disconnect(*workload.Worker) {}

// crash ends a worker for good, without notice.
func (f *fleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	for task := range w.runs {
		f.end(w, task, workload.RunFailed)
	}
	w.registered, w.unreachable = false, true
	f.publish(w)
}

// setUnreachable cuts a worker off from the coordinators, or ends that state.
func (f *fleet) setUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].unreachable, f.workers[id].fencedOff = unreachable, 0
}

// cutFromSuccessors makes a worker reachable for coordinators that have reached it before,
// and unreachable for their successors.
func (f *fleet) cutFromSuccessors(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.unreachable, w.fencedOff = false, w.fence
}

// placeOf returns the worker that runs a task; empty if none does.
func (f *fleet) placeOf(task workload.TaskID) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[task]
}

// gap returns the longest time for which any task had no run.
func (f *fleet) gap() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task := range f.ended {
		if f.running[task] == "" {
			f.recordGap(task)
		}
	}
	return f.longestGap
}

// leader is a host that coordinates the fleet.
type leader struct {
	*Coordinator
	// store is the host's own path to the store; silent is set while it is cut.
	store *cutStore
	stop  func()
}

// cutStore is a host's path to the store. While it is cut, calls get no answer.
type cutStore struct {
	*rows.SlowStore
	clock platform.LatestClock // as read by this host
	mu    sync.Mutex
	cut   bool
	// paused is how long the host pauses after its next transaction, before it handles the
	// answer.
	paused time.Duration
}

func (s *cutStore) StoreClock() (platform.ClockReading, bool) { return s.clock.StoreClock() }

// readClock records the reading of the store's clock in the answer to a call.
func (s *cutStore) readClock(sent time.Time) {
	reading, _ := s.SlowStore.StoreClock()
	reading.Sent = sent
	s.clock.Record(reading)
}

func (s *cutStore) setCut(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
}

func (s *cutStore) wait(ctx context.Context) bool {
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return cut
}

func (s *cutStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if s.wait(ctx) {
		return 0, platform.ErrAmbiguous
	}
	sent := time.Now()
	version, err := s.SlowStore.Commit(ctx, tx)
	if err == nil {
		s.readClock(sent)
	}
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	time.Sleep(paused)
	return version, err
}

func (s *cutStore) setPaused(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.paused = d
}

func (s *cutStore) Scan(ctx context.Context, table, partition, from, to string) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if s.wait(ctx) {
		return platform.Page{}, platform.ErrUnavailable
	}
	sent := time.Now()
	page, err := s.SlowStore.Scan(ctx, table, partition, from, to)
	if err == nil {
		s.readClock(sent)
	}
	return page, err
}

func (s *cutStore) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartitionRow, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	if s.wait(ctx) {
		return nil, after, platform.ErrUnavailable
	}
	return s.SlowStore.Changes(ctx, table, after, wait)
}

// lead starts a host that takes the leadership as soon as it can. Calling stop ends it
// with a resignation.
func (f *fleet) lead(store *rows.SlowStore, host string) *leader {
	path := &cutStore{SlowStore: store}
	health := platform.NewHealth(path)
	cell := workload.NewCell(1, []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, []workload.Team{{Name: "team"}}, nil)
	watch := cellwatch.New(listFeed[workload.OperatorChange]{[]workload.OperatorChange{{Cell: cell}}}, health.RecentlyServed, logr.Discard())
	c := New(Coordinator{
		Store: health, Jobs: jobstore.Jobs{Store: health}, Watch: watch, Workers: f, Commander: f,
		Advisers: func() []Adviser { return nil }, Log: logr.Discard(), Observer: nopObserver{},
		Retention: time.Minute, Undersized: func() bool { return false },
	})
	e := &Elector{Store: health, Host: host, Address: host + ":1", Log: logr.Discard(), Rank: func() int { return 0 },
		Undersized: func() bool { return false }, Lead: c.Lead,
		Probe: func(context.Context, string) (int64, time.Duration, error) { return 0, 0, errLeadershipLost }}
	ctx, cancel := context.WithCancel(f.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = watch.Run(ctx) })
	running.Go(func() { _ = e.Run(ctx) })
	return &leader{c, path, func() { cancel(); running.Wait() }}
}

// serviceJob returns a job of service tasks.
func serviceJob(tasks int) *workload.Job {
	return &workload.Job{ID: "00000000000000a1", Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
		Steps: []workload.Step{{Tasks: tasks, Resources: model.Resources{MilliCores: 1000}, Service: true}}}
}

// serviceRestart is the time within which a service task runs again after its run ended:
// it counts as lost after 6 s without a run and 3 s in which nothing else is wrong.
const serviceRestart = 9 * time.Second

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

// calmAfterTakeover is the time after the loss of a leader from which a service task
// without a run counts as lost: 3 s until the hosts are in touch, and 7 s of calm.
const calmAfterTakeover = 10 * time.Second

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
		owed := time.Since(crashed) + calmAfterTakeover
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

// serviceRestartAfterFault is the time after the end of the last fault within which a
// service task runs again: hosts count as in touch after 3 s, and 7 calm seconds follow.
const serviceRestartAfterFault = 10 * time.Second

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
