package coordinator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/cellwatch"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

// fakeHosts are workers' hosts that run nothing. Their maintenance takes fakeMaintenance.
type fakeHosts struct {
	names []string

	mu        sync.Mutex
	began     map[string]time.Time // by host: begin of its maintenance
	orders    int
	completed bool
}

const fakeMaintenance = 2 * time.Second

func (f *fakeHosts) Hosts(context.Context) ([]workload.WorkerHost, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []workload.WorkerHost
	for _, name := range f.names {
		host := workload.WorkerHost{ID: name, Up: true, Worker: "old-" + name}
		if at, begun := f.began[name]; begun {
			down := time.Since(at) < fakeMaintenance
			host.Up, host.InMaintenance, host.Worker = !down, down, "new-"+name
		}
		out = append(out, host)
	}
	return out, nil
}

func (f *fakeHosts) StartMaintenance(_ context.Context, host string, _ int64, _ string, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders++
	if _, begun := f.began[host]; !begun {
		f.began[host] = time.Now()
	}
	return nil
}

func (f *fakeHosts) ReportCampaign(_ context.Context, _ int64, completed bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completed = f.completed || completed
	return nil
}

// maintained returns the number of hosts whose maintenance has begun.
func (f *fakeHosts) maintained() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.began)
}

// takeOrders returns the number of orders since the last call.
func (f *fakeHosts) takeOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.orders
	f.orders = 0
	return n
}

// leadCampaign runs a coordinator that maintains the hosts until the returned function is
// called.
func leadCampaign(t *testing.T, store *rows.Store, hosts *fakeHosts) context.CancelFunc {
	t.Helper()
	health := platform.NewHealth(store)
	campaign := &workload.Maintenance{ID: 7, Hosts: hosts.names, Window: time.Minute, MaxConcurrent: 1}
	watch := cellwatch.New(listFeed[workload.OperatorChange]{[]workload.OperatorChange{{Cell: workload.NewCell(1, nil, nil, nil)}, {Maintenance: campaign}}}, health.RecentlyServed, logr.Discard())
	c := New(Coordinator{
		Store: health, Jobs: jobstore.Jobs{Store: health}, Watch: watch, Workers: listFeed[workload.WorkerChange]{}, Commander: &fakeWorker{began: time.Now()},
		Advisers: func() []Adviser { return nil }, Log: logr.Discard(), Observer: nopObserver{}, Retention: time.Minute,
		LargerHostUp: func() bool { return false }, Hosts: hosts, OrderLease: 3 * time.Second,
	})
	e := &Elector{Store: health, Host: "host", Address: "host:1", Log: logr.Discard(), Rank: func() int { return 0 }, Undersized: func() bool { return false }, Lead: c.Lead,
		Probe: func(context.Context, string) (int64, time.Duration, error) { return 0, 0, errLeadershipLost }}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = watch.Run(ctx) })
	running.Go(func() { _ = e.Run(ctx) })
	return func() { cancel(); running.Wait() }
}

// A coordinator drained hosts again that had had their maintenance: which ones had was not
// stored, or was overwritten by what an earlier call had stored late.
func TestMaintainedHostsAreNotDrainedAgain(t *testing.T) {
	cases := map[string]struct {
		saves  []rows.Fault // of the state of the campaign, in turn
		endsAt int          // a coordinator ends after it has begun the maintenance of so many hosts; 0: none does
	}{
		"last state refused":                       {saves: []rows.Fault{rows.None, rows.None, rows.None, rows.Refused}},
		"answer lost":                              {saves: []rows.Fault{rows.None, rows.None, rows.None, rows.AppliedReplyLost}},
		"state applied late":                       {saves: []rows.Fault{rows.None, rows.DelayedReplyLost}},
		"begin applied late":                       {saves: []rows.Fault{rows.DelayedReplyLost}},
		"state of an earlier coordinator too late": {saves: []rows.Fault{rows.None, rows.DelayedReplyLost}, endsAt: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := rows.New()
				store.SetFault(func(tx platform.Tx) rows.Fault {
					if tx.Puts == nil || tx.Puts[0].Table != maintenanceTable || len(c.saves) == 0 {
						return rows.None
					}
					next := c.saves[0]
					c.saves = c.saves[1:]
					return next
				})
				hosts := &fakeHosts{names: []string{"h0", "h1", "h2"}, began: map[string]time.Time{}}
				end := leadCampaign(t, store, hosts)
				if c.endsAt > 0 {
					for hosts.maintained() < c.endsAt {
						time.Sleep(10 * time.Millisecond)
					}
					end()
					end = leadCampaign(t, store, hosts)
				}
				time.Sleep(time.Minute)
				is.True(hosts.completed)
				store.ApplyDelayed()
				end()
				hosts.takeOrders()
				end = leadCampaign(t, store, hosts)
				time.Sleep(time.Minute)
				end()
				is.Equal(hosts.takeOrders(), 0)
			})
		})
	}
}

// busyHosts are the hosts of a fleet's workers, one for each. Their API takes no orders.
type busyHosts struct{ *fleet }

func (h busyHosts) Hosts(context.Context) ([]workload.WorkerHost, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []workload.WorkerHost
	for id := range h.workers {
		out = append(out, workload.WorkerHost{ID: "host of " + id, Up: true, Worker: id})
	}
	return out, nil
}

func (busyHosts) StartMaintenance(context.Context, string, int64, string, int64) error {
	return workload.ErrHostAPIUnavailable
}

func (busyHosts) ReportCampaign(context.Context, int64, bool) error { return nil }

// A coordinator without the store took tasks away for a maintenance that it could not order, and
// could not start them elsewhere.
func TestNothingIsEvictedWhileNothingCanBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		f.hosts = busyHosts{f}
		l, task, worker := f.leadService(1)
		defer l.stop()
		drain := 2 * time.Second
		f.operators.add(workload.OperatorChange{Maintenance: &workload.Maintenance{ID: 7, Hosts: []string{"host of " + worker}, Window: 2 * drain, MaxConcurrent: 1}})
		time.Sleep(drain / 2)
		l.store.setCut(true)
		time.Sleep(2 * drain)
		is.Equal(f.placeOf(task), worker)
		l.store.setCut(false)
		time.Sleep(drain)
		is.Equal(f.placeOf(task), "") // the campaign goes on
	})
}
