package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"cuminloft/internal/rpc"
	"cuminloft/internal/workload"
)

// newCountCell returns a coordinator's relay that limits direct starts only by number.
func newCountCell(t *testing.T, hosts int, perSecond float64) *relayCell {
	c := newRelayCell(t, hosts)
	c.startRelay.direct = nil
	c.limitStarts(perSecond)
	return c
}

// ordersOf returns the start orders of jobs with the given number of tasks.
func ordersOf(jobs, tasks int) []workload.StartOrder {
	var out []workload.StartOrder
	for j := range jobs {
		for i := range tasks {
			out = append(out, order(fmt.Sprintf("job-%03d", j), i))
		}
	}
	return out
}

// runs returns the runs of orders and fails the test for a run that occurs twice.
func runs(t *testing.T, lists ...[]workload.StartOrder) map[workload.Run]bool {
	t.Helper()
	out := map[workload.Run]bool{}
	for _, orders := range lists {
		for _, o := range orders {
			if out[o.Run] {
				t.Errorf("run %v was sent twice", o.Run)
			}
			out[o.Run] = true
		}
	}
	return out
}

// Guards against a coordinator that sends more start orders than its processor allows for,
// or that relays orders within the limit: replays one second of overload.
func TestStartsBeyondTheNumberAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const perSecond = 100
		c := newCountCell(t, 20, perSecond)
		orders := ordersOf(300, 3)
		for _, err := range c.startAll(t.Context(), orders, time.Second) {
			is.NoErr(err)
		}
		direct, relayed := c.direct.take(), c.workers.take()
		is.Equal(len(runs(t, direct, relayed)), len(orders))
		saved := int(perSecond * directStartBurst.Seconds())
		is.True(len(direct) >= perSecond && len(direct) <= perSecond+saved+1)
		used, calls := 0, 0
		for _, h := range c.hosts {
			calls += h.calls
			if h.calls > 0 {
				used++
			}
		}
		is.True(used <= countRelayHosts)
		is.True(calls < len(relayed)*2/3) // several orders in a call
	})
}

// Guards against relayed orders, and a changed choice of hosts, where no limit by number is
// set: without a thin link every order goes directly, and over a thin link the host of a job
// is the one that builds without the setting choose.
func TestWithoutLimitByNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 20, 0)
		is.True(c.directCount == nil)
		orders := ordersOf(100, 3)
		for _, err := range c.startAll(t.Context(), orders, 0) {
			is.NoErr(err)
		}
		is.Equal(len(runs(t, c.direct.take())), len(orders))
		is.Equal(len(c.workers.take()), 0)

		c.startRelay.direct = rate.NewLimiter(0, 0)
		want := map[string]string{"job-000": "host-9:1", "job-001": "host-18:1", "job-002": "host-17:1", "job-003": "host-18:1"}
		for job, address := range want {
			is.Equal(c.relayFor(job).address, address)
		}
	})
}

// Guards against starts that fail or wait with a relay host that is gone: it cannot be
// dialled, so the coordinator sends its orders itself, and the next ones through others.
func TestRelayHostGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 4, 1)
		available := c.startRelay.hosts()
		gone := peer{hostRow: hostRow{Address: "gone:1", CoreShare: 1e9}} // chosen for every job
		away := false
		c.startRelay.hosts = func() []peer {
			if away {
				return available
			}
			return append([]peer{gone}, available...)
		}
		c.startRelay.failed = func(context.Context, string, error) { away = true }
		orders := ordersOf(4, 5)
		for _, err := range c.startAll(t.Context(), orders, 0) {
			is.NoErr(err)
		}
		is.Equal(len(runs(t, c.direct.take())), len(orders))
		next := ordersOf(8, 5)[len(orders):]
		began := time.Now()
		for _, err := range c.startAll(t.Context(), next, 0) {
			is.NoErr(err)
		}
		is.True(time.Since(began) <= relayBatchDelay) // the choice is not kept after a failure
		is.Equal(len(runs(t, c.direct.take(), c.workers.take())), len(next))
		is.True(away)
	})
}

// Guards against starts that wait for a relay where no other host is available.
func TestNoRelayHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 0, 1)
		orders := ordersOf(3, 5)
		began := time.Now()
		for _, err := range c.startAll(t.Context(), orders, 0) {
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(runs(t, c.direct.take())), len(orders))
	})
}

// Guards against orders that are lost, repeated or asked of it again where the relay host is
// an older build without the call.
func TestRelayHostOfOlderBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 1, 1)
		calls := 0
		c.serveOnly(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls++
			http.NotFound(w, r)
		}))
		for range 3 {
			orders := ordersOf(1, 10)
			for _, err := range c.startAll(t.Context(), orders, 0) {
				is.NoErr(err)
			}
			is.Equal(len(runs(t, c.direct.take())), len(orders))
		}
		is.Equal(calls, 1)
		is.Equal(c.failed, 1)
		time.Sleep(noRelayPeriod)
		is.NoErr(c.startAll(t.Context(), ordersOf(1, 2), 0)[0])
		is.Equal(calls, 2) // it may have been updated since
	})
}

// Guards against a run that is started twice, or that counts as refused, where the relay host
// carries out the orders but answers after the time limit: they may have been carried out, so
// the coordinator does not send them as if no worker could have got them.
func TestRelayHostAnswersLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 1, 4) // one direct start
		relayed := rpc.NewCellServer(c.hosts[0])
		c.serveOnly(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer := newHeldAnswer(w)
			relayed.ServeHTTP(answer, r.WithContext(context.WithoutCancel(r.Context())))
			time.Sleep(relayBatchTimeout + relayBatchDelay)
			answer.release()
		}))
		orders := ordersOf(2, 5)
		began := time.Now()
		unanswered := 0
		for _, err := range c.startAll(t.Context(), orders, 0) {
			if err != nil {
				is.True(errors.Is(err, workload.ErrNoAnswer))
				is.True(!errors.Is(err, workload.ErrUnhealthy))
				unanswered++
			}
		}
		is.True(time.Since(began) <= relayBatchTimeout+relayBatchDelay)
		is.Equal(unanswered, len(orders)-1)
		is.Equal(len(c.direct.take()), 1)
		is.Equal(len(runs(t, c.workers.take())), len(orders)-1)
		is.Equal(c.failed, 1)
		time.Sleep(relayBatchTimeout) // the late answer is written
	})
}

// heldAnswer holds back the body of an answer.
type heldAnswer struct {
	http.ResponseWriter
	body []byte
}

func newHeldAnswer(w http.ResponseWriter) *heldAnswer { return &heldAnswer{ResponseWriter: w} }

func (a *heldAnswer) WriteHeader(int) {}

func (a *heldAnswer) Write(p []byte) (int, error) {
	a.body = append(a.body, p...)
	return len(p), nil
}

func (a *heldAnswer) release() { _, _ = a.ResponseWriter.Write(a.body) } // the caller is gone

// Guards against small hosts that get as many orders as large ones, and against jobs that
// change their host when another one comes or goes.
func TestRelaysAreChosenByCoreShare(t *testing.T) {
	is := is.New(t)
	c := &startRelay{noRelayFor: map[string]time.Time{}}
	var all []peer
	for i, share := range []float64{0.8, 0.8, 0.4, 0.2, 0} {
		all = append(all, peer{hostRow: hostRow{Address: fmt.Sprintf("10.0.0.%d:1", i), CoreShare: share}})
	}
	c.hosts = func() []peer { return all }
	now := time.Unix(0, 0)
	const jobs = 20000
	count, host := map[string]float64{}, map[string]string{}
	for i := range jobs {
		job := fmt.Sprintf("%016x", i)
		host[job] = c.countRelayFor(job, now)
		count[host[job]]++
	}
	for _, h := range all {
		share := h.CoreShare
		if share == 0 {
			share = unknownCoreShare
		}
		want := jobs * share / (0.8 + 0.8 + 0.4 + 0.2 + unknownCoreShare)
		if got := count[h.Address]; math.Abs(got-want) > 5*math.Sqrt(want) {
			t.Errorf("host with share %v relays %v jobs, want about %v", share, got, want)
		}
	}
	gone := all[1].Address
	all = append(append([]peer{}, all[:1]...), all[2:]...)
	now = now.Add(relayChoiceAge)
	for job, before := range host {
		if after := c.countRelayFor(job, now); after != before && before != gone {
			t.Fatalf("job %s moved from %s to %s", job, before, after)
		}
	}
	all = nil
	is.Equal(c.countRelayFor("j", now.Add(relayChoiceAge)), "") // sent directly
}

// Guards against settings of the limit that are taken over although they make no sense.
func TestDirectStartsSetting(t *testing.T) {
	is := is.New(t)
	with := func(value string) string {
		return strings.Replace(goodSettings, `"grace_s": 6,`, `"grace_s": 6, "direct_starts_per_s": `+value+`,`, 1)
	}
	s, err := ParseSettings("entry.hujson", []byte(goodSettings))
	is.NoErr(err)
	is.Equal(s.DirectStartsPerS, 0.0)
	for value, valid := range map[string]bool{"0": true, "250": true, "0.5": true, "-1": false, "1e300": false, `"250"`: false} {
		_, err := ParseSettings("entry.hujson", []byte(with(value)))
		is.Equal(err == nil, valid)
	}
}

// Guards against a start whose attempts are all lost with one relay host that is frozen: the
// repeat of an order was relayed through the same host, since the call that it had not
// answered was still in progress.
func TestRepeatOfAnUnansweredOrderIsDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 1, 1)
		thaw := make(chan struct{})
		c.serveOnly(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-thaw }))
		defer time.Sleep(2 * relayBatchTimeout)
		defer close(thaw)
		w := &workload.Worker{ID: "w", Address: "a:1"}
		_, err := c.Start(t.Context(), w, order("j", 0))
		is.NoErr(err) // the direct start
		c.direct.take()
		first, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err = c.Start(first, w, order("j", 1))
		is.True(errors.Is(err, workload.ErrNoAnswer))
		is.Equal(len(c.direct.take()), 0)
		began := time.Now()
		second, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err = c.Start(second, w, order("j", 1))
		is.NoErr(err)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(c.direct.take()), 1)
	})
}

// frozenWorker is a Commander at which one worker does not answer.
type frozenWorker struct {
	*startRecorder
	worker string
}

func (c frozenWorker) Start(ctx context.Context, w *workload.Worker, o workload.StartOrder) (int64, error) {
	if w.ID == c.worker {
		<-ctx.Done()
		return 0, workload.ErrNoAnswer
	}
	return c.startRecorder.Start(ctx, w, o)
}

// Guards against a frozen worker that makes the orders to other workers in the same relayed
// call count as not answered, after which no tasks are placed on these workers for some time.
func TestFrozenWorkerHoldsUpNoOtherRelayedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 1, 1)
		c.hosts[0].starts.commander = frozenWorker{c.workers, "frozen"}
		c.hosts[0].starts.limitRelayedStarts(1)
		_, err := c.Start(t.Context(), &workload.Worker{ID: "w", Address: "a:1"}, order("j", 0))
		is.NoErr(err) // the direct start
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		errs := make([]error, 3)
		var wg sync.WaitGroup
		for i, id := range []string{"w", "frozen", "x"} {
			wg.Go(func() { _, errs[i] = c.Start(ctx, &workload.Worker{ID: id, Address: "a:1"}, order("j", i+1)) })
		}
		wg.Wait()
		is.Equal(c.hosts[0].calls, 1)
		is.NoErr(errs[0])
		is.True(errors.Is(errs[1], workload.ErrNoAnswer))
		is.NoErr(errs[2])
		time.Sleep(relayBatchTimeout)
	})
}

// Guards against a run that a later incarnation of its worker starts, with a lease by the
// clock of the earlier one: a slow relay host may send the order after the worker has
// restarted.
func TestRelayedOrderIsBoundToAnIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 1, 1)
		orders := ordersOf(1, 2)
		for i := range orders {
			orders[i].Incarnation = 7
		}
		for _, o := range orders {
			is.NoErr(c.startAll(t.Context(), []workload.StartOrder{o}, 0)[0])
		}
		direct, relayed := c.direct.take(), c.workers.take()
		is.True(len(direct) == 1 && len(relayed) == 1)
		is.Equal(direct[0].Incarnation, int64(7))
		is.Equal(relayed[0].Incarnation, int64(7))
	})
}

// Guards against orders that are relayed with the fence of another worker, which a later
// incarnation does not refuse.
func TestRelayedOrdersKeepTheirFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 1, 1)
		orders := ordersOf(1, 5)
		want := map[workload.Run]int64{}
		for i := range orders {
			orders[i].Fence = int64(6 + i%2)
			want[orders[i].Run] = orders[i].Fence
		}
		began := time.Now()
		for _, err := range c.startAll(t.Context(), orders, 0) {
			is.NoErr(err)
		}
		is.True(time.Since(began) <= relayBatchDelay) // each call carries the spec
		relayed := c.workers.take()
		is.Equal(len(relayed), len(orders)-1) // the others go directly
		for _, o := range append(relayed, c.direct.take()...) {
			is.Equal(o.Fence, want[o.Run])
		}
	})
}

// Guards against workers that get no tasks, and jobs that do not start, while only the relay
// host of these jobs is cut off from the workers.
func TestRelayHostCutOffFromAWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 1, 1)
		c.workers.err = fmt.Errorf("%w: no route to host", workload.ErrUnhealthy)
		orders := ordersOf(2, 5)
		for _, err := range c.startAll(t.Context(), orders, 0) {
			is.NoErr(err)
		}
		is.Equal(len(c.workers.take()), len(orders)-1)
		is.Equal(len(runs(t, c.direct.take())), len(orders))
	})
}

// Guards against orders that go through a frozen host until its first call has failed after
// relayBatchTimeout, and against orders that go directly since most hosts are silent.
func TestSilentRelayHostIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCountCell(t, 3, 1)
		available := c.startRelay.hosts()
		thaw := make(chan struct{})
		c.network.listen(t, "frozen:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-thaw }))
		defer time.Sleep(2 * relayBatchTimeout)
		defer close(thaw)
		frozen := peer{hostRow: hostRow{Address: "frozen:1", CoreShare: 1e9}} // chosen for every job
		c.startRelay.hosts = func() []peer { return append([]peer{frozen}, available...) }
		orders := ordersOf(3, 1)
		is.NoErr(c.startAll(t.Context(), orders[:1], 0)[0]) // the direct start
		first, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		is.True(errors.Is(c.startAll(first, orders[1:2], 0)[0], workload.ErrNoAnswer))
		began := time.Now()
		is.NoErr(c.startAll(t.Context(), orders[2:], 0)[0])
		is.True(time.Since(began) <= relayBatchDelay)
		is.Equal(len(c.workers.take()), 1)
		chosen := func() int {
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.chooseRelays(time.Now()))
		}
		for _, h := range available {
			c.noteSilent(c.relayHostOf(h.Address))
		}
		is.Equal(chosen(), 4) // all are silent
		time.Sleep(relayBatchTimeout)
		c.noteSilent(c.relayHostOf(frozen.Address)) // after the end of its call
		is.Equal(chosen(), 3)
		time.Sleep(relayBatchTimeout)
		is.Equal(chosen(), 4) // it is asked again
	})
}
