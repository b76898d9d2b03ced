package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/cellwatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// fleet stands in for the workers, their registry and the store. Its workers keep fences
// and leases, on clocks that run 2% slow, and run service tasks until they are stopped.
type fleet struct {
	t       *testing.T
	store   *rows.SlowStore
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
	// startsLate, if set, is when starts are carried out that the workers leave unanswered.
	startsLate time.Duration
	log        logr.Logger // of coordinators
	operators  *operatorFeed
	hosts      workload.HostOperator // nil: none
	// wrap and configure change a host's path to the store, and its coordinator before it
	// runs; nil: nothing.
	wrap      func(*cutStore) platform.Store
	configure func(*Coordinator)
}

// operatorFeed is a feed of operators' changes that grows.
type operatorFeed struct {
	mu  sync.Mutex
	all []workload.OperatorChange
}

func (f *operatorFeed) add(ch workload.OperatorChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = append(f.all, ch)
}

// List and Next implement platform.Feed.
func (f *operatorFeed) List(context.Context) ([]workload.OperatorChange, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all, int64(len(f.all)), nil
}

func (f *operatorFeed) Next(ctx context.Context, after int64, wait time.Duration) ([]workload.OperatorChange, int64, error) {
	for deadline := time.Now().Add(wait); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		changes, version := f.all[after:], int64(len(f.all))
		f.mu.Unlock()
		if len(changes) > 0 {
			return changes, version, nil
		}
	}
	return nil, after, ctx.Err()
}

type fleetWorker struct {
	workload.Worker
	registered  bool
	unreachable bool
	silent      bool   // calls get no answer; those still under way afterwards are carried out
	silentSince int64  // incarnation that went silent last
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
	f := &fleet{t: t, store: rows.NewSlowStore(rows.New(), usualCall), log: logr.Discard(), answerTime: time.Millisecond, workers: map[string]*fleetWorker{}, running: map[workload.TaskID]string{}, ended: map[workload.TaskID]time.Time{}}
	for i := range n {
		f.add(fmt.Sprint("w", i))
	}
	cell := workload.NewCell(1, []workload.Queue{{Name: "q", Pool: "p", MaxAttempts: 2}}, []workload.Team{{Name: "team"}}, nil)
	f.operators = &operatorFeed{all: []workload.OperatorChange{{Cell: cell}}}
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

// setRegistered publishes the worker's own entry anew, or that it has none.
func (f *fleet) setRegistered(id string, registered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.registered = registered
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

// Epochs of the first leaders of a cell.
const (
	firstEpoch  = fencesPerTerm
	secondEpoch = 2 * fencesPerTerm
)

// longestLease is the longest lease that a worker gives its runs, on its own clock.
const longestLease = 10 * time.Second

// extend renews the lease of all runs. The caller holds mu.
func (f *fleet) extend(w *fleetWorker, until int64) {
	until = min(until, w.clock()+longestLease.Milliseconds())
	end := w.began.Add(time.Duration(float64(time.Duration(until)*time.Millisecond) / slowClock))
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	incarnation := w.Incarnation
	time.AfterFunc(time.Until(end), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if time.Now().Before(w.lease) || w.Incarnation != incarnation {
			return
		}
		for task := range w.runs {
			f.end(w, task, workload.RunLeaseExpired)
		}
	})
}

// call finds the worker that a command is for, raises its fence and renews its lease. An
// incarnation of 0 is any. The caller holds mu.
func (f *fleet) call(ctx context.Context, target *workload.Worker, incarnation, fence, lease int64) (*fleetWorker, error) {
	w := f.workers[target.ID]
	if target.Address != w.Address {
		return nil, workload.ErrReplaced
	}
	if w.silent {
		for w.silent && ctx.Err() == nil {
			f.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			f.mu.Lock()
		}
		if ctx.Err() != nil || incarnation != 0 && incarnation != w.Incarnation { // its connection has ended
			return nil, workload.ErrNoAnswer
		}
	}
	if incarnation != 0 && incarnation != w.Incarnation && !w.unreachable {
		return nil, workload.ErrRestarted
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
	w, err := f.call(ctx, target, o.Incarnation, o.Fence, o.LeaseUntil)
	if err != nil {
		return workload.Inventory{}, err
	}
	incarnation := w.Incarnation
	for deadline := time.Now().Add(o.Wait); len(w.ends) == 0 && time.Now().Before(deadline) && ctx.Err() == nil; {
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
	}
	if w.silentSince == incarnation {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return workload.Inventory{}, workload.ErrNoAnswer
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
	if late := f.startsLate; late > 0 {
		time.AfterFunc(late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			order := o
			order.Incarnation = 0 // whichever is there then
			_, _ = f.start(f.t.Context(), target, order)
		})
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return 0, workload.ErrNoAnswer
	}
	return f.start(ctx, target, o)
}

// start carries out a start order. The caller holds mu.
func (f *fleet) start(ctx context.Context, target *workload.Worker, o workload.StartOrder) (int64, error) {
	w, err := f.call(ctx, target, o.Incarnation, o.Fence, o.LeaseUntil)
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
	w, err := f.call(ctx, target, 0, fence, 0)
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

// restart begins a new incarnation of a worker, which knows nothing of the earlier one and
// whose clock starts anew. The registry still lists the earlier one.
func (f *fleet) restart(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	for task := range w.runs {
		delete(f.running, task)
		f.ended[task] = time.Now()
	}
	w.Incarnation++
	w.began, w.lease, w.fence, w.seq, w.ends = time.Now(), time.Time{}, 0, 0, nil
	w.runs, w.highest = map[workload.TaskID]int{}, map[workload.TaskID]int{}
}

// delayStarts makes workers leave starts unanswered and carry them out after the given time;
// 0 ends that state.
func (f *fleet) delayStarts(late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startsLate = late
}

// goSilent ends a worker without a reset of its connections, until it restarts.
func (f *fleet) goSilent(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.silent, w.silentSince = true, w.Incarnation
}

// restartAfterSilence is restart for a worker that went silent. It carries out the calls
// that are still under way and are not bound to a connection of the earlier incarnation.
func (f *fleet) restartAfterSilence(id string) {
	f.restart(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].silent = false
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
func (f *fleet) lead(host string) *leader {
	path := &cutStore{SlowStore: f.store}
	health := platform.NewHealth(path)
	if f.wrap != nil {
		health = platform.NewHealth(f.wrap(path))
	}
	watch := cellwatch.New(f.operators, health.RecentlyServed, logr.Discard())
	c := New(Coordinator{
		Store: health, Jobs: jobstore.Jobs{Store: health}, Watch: watch, Workers: f, Commander: f,
		Advisers: func() []Adviser { return nil }, Log: f.log, Observer: nopObserver{},
		Retention: time.Minute, LargerHostUp: func() bool { return false }, Hosts: f.hosts, OrderLease: 3 * time.Second,
	})
	if f.configure != nil {
		f.configure(c)
	}
	e := &Elector{Store: health, Host: host, Address: host + ":1", Log: logr.Discard(), Rank: func() int { return 0 },
		Undersized: func() bool { return false }, Lead: c.Lead,
		Probe: func(context.Context, string) (int64, time.Duration, error) { return 0, 0, errLeadershipLost }}
	ctx, cancel := context.WithCancel(f.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = watch.Run(ctx) })
	running.Go(func() { _ = e.Run(ctx) })
	return &leader{c, path, func() { cancel(); running.Wait() }}
}

// awaitLoaded waits until the host leads and has loaded the jobs.
func (l *leader) awaitLoaded() {
	for t := l.currentTerm.Load(); t == nil || !t.loaded.Load(); t = l.currentTerm.Load() {
		time.Sleep(time.Millisecond)
	}
}

const (
	electionTime  = time.Second     // within which a fleet has its first leader
	placementTime = 3 * time.Second // within which the tasks of a new job run
)

// formerLeader returns a host that has led and does so no more. It still reaches the store.
func (f *fleet) formerLeader() *leader {
	l := f.lead("host-0")
	time.Sleep(electionTime)
	l.stop()
	return l
}

// leadService starts the first leader and a service job, and waits until its tasks run. It
// returns the leader, the first task and the worker that runs it.
func (f *fleet) leadService(tasks int) (l *leader, first workload.TaskID, worker string) {
	f.t.Helper()
	l = f.lead("host-0")
	time.Sleep(electionTime)
	job := serviceJob(tasks)
	if err := l.Jobs.Insert(f.t.Context(), job); err != nil {
		f.t.Fatal(err)
	}
	time.Sleep(placementTime)
	for i := range tasks {
		if f.placeOf(taskOf(job, i)) == "" {
			f.t.Fatalf("service task %d does not run %v after the acceptance of its job", i, placementTime)
		}
	}
	first = taskOf(job, 0)
	return l, first, f.placeOf(first)
}

// taskOf returns the ID of a task of a job with one step.
func taskOf(job *workload.Job, i int) workload.TaskID {
	return workload.TaskID{StepID: workload.StepID{Job: job.ID}, Index: i}
}

// runs reports whether the first task of the job runs.
func (f *fleet) runs(job *workload.Job) bool { return f.placeOf(taskOf(job, 0)) != "" }

// serviceJob returns a job of service tasks.
func serviceJob(tasks int) *workload.Job {
	return &workload.Job{ID: "00000000000000a1", Queue: "q", Team: "team", AcceptedAt: time.Now().UnixMilli(),
		Steps: []workload.Step{{Tasks: tasks, Resources: model.Resources{MilliCores: 1000}, Service: true}}}
}

// serviceRestart is the time within which a service task runs again after its run ended:
// it counts as lost after 6 s without a run and 3 s in which nothing else is wrong.
const serviceRestart = 9 * time.Second
