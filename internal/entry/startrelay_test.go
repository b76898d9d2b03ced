package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	"cuminloft/internal/rpc"
	"cuminloft/internal/workload"
)

// startRecorder is a Commander that records start orders.
type startRecorder struct {
	workload.Commander
	mu     sync.Mutex
	orders []workload.StartOrder
	err    error
}

func (c *startRecorder) Start(_ context.Context, _ *workload.Worker, o workload.StartOrder) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	return 42, c.err
}

func (c *startRecorder) take() []workload.StartOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.orders
	c.orders = nil
	return out
}

// relayService is a host that relays start orders.
type relayService struct {
	rpc.Cell
	starts    *startServer
	mu        sync.Mutex
	specBytes int
	calls     int
}

func (s *relayService) StartIncarnationRuns(ctx context.Context, r *rpc.StartRunsRequest) (*rpc.StartRunsReply, error) {
	s.mu.Lock()
	s.calls++
	for _, spec := range r.Specs {
		s.specBytes += len(spec)
	}
	s.mu.Unlock()
	return s.starts.startRuns(ctx, r), nil
}

// relayCell is a coordinator's relay with other hosts.
type relayCell struct {
	*startRelay
	network pipes
	direct  *startRecorder
	workers *startRecorder // reached through the other hosts
	hosts   []*relayService
	failed  int
}

// newRelayCell returns a coordinator's relay with the given number of hosts. It is called in a
// synctest bubble: orders wait for each other's specs and answers for a limited time.
func newRelayCell(t *testing.T, hosts int) *relayCell {
	c := &relayCell{direct: &startRecorder{}, workers: &startRecorder{}, network: newPipes()}
	client := c.network.client(t)
	c.startRelay = &startRelay{
		Commander: c.direct, log: logr.Discard(), direct: rate.NewLimiter(0, 0),
		relays: map[string]*relayHost{}, noRelayFor: map[string]time.Time{},
		client: func(address string) rpc.Cell { return rpc.NewCellProtobufClient("http://"+address, peerDoer{client}) },
		failed: func(context.Context, string, error) { c.failed++ },
	}
	var all []peer
	for i := range hosts {
		service := &relayService{starts: newStartServer(c.workers)}
		address := fmt.Sprintf("host-%d:1", i)
		c.network.listen(t, address, rpc.NewCellServer(service))
		c.hosts = append(c.hosts, service)
		all = append(all, peer{hostRow: hostRow{Address: address}})
	}
	c.startRelay.hosts = func() []peer { return all }
	return c
}

// order returns the start order of a task of a job with a spec of 1 kB.
func order(job string, index int) workload.StartOrder {
	return workload.StartOrder{
		Run:  workload.Run{Task: workload.TaskID{StepID: workload.StepID{Job: job, Occurrence: 1, Step: 2}, Index: index}, Number: 3},
		Spec: job + strings.Repeat("x", 1000), LeaseUntil: 5, Incarnation: 7, Fence: 6, Checkpoint: "c", Ticket: "t",
	}
}

// serveOnly makes a host that is served by the handler the only one that may relay.
func (c *relayCell) serveOnly(t *testing.T, handler http.Handler) {
	const address = "other:1"
	c.network.listen(t, address, handler)
	c.startRelay.hosts = func() []peer { return []peer{{hostRow: hostRow{Address: address}}} }
}

// startAll sends the orders at regular intervals during a period and returns the errors.
func (c *relayCell) startAll(ctx context.Context, orders []workload.StartOrder, period time.Duration) []error {
	errs := make([]error, len(orders))
	var wg sync.WaitGroup
	for i, o := range orders {
		wg.Go(func() {
			time.Sleep(period * time.Duration(i) / time.Duration(len(orders)))
			_, errs[i] = c.Start(ctx, &workload.Worker{ID: "w", Address: "a:1"}, o)
		})
	}
	wg.Wait()
	return errs
}

// TestSpecsAreRelayedOnce replays the starts of a burst of jobs at a coordinator with a
// thin link. Its link must carry each job's spec once, not with each task.
func TestSpecsAreRelayedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newRelayCell(t, 5)
		var orders []workload.StartOrder
		const jobs, tasks, burst = 30, 10, 8 * relayBatchDelay
		for i := range tasks {
			for j := range jobs {
				orders = append(orders, order(fmt.Sprintf("job-%02d", j), i))
			}
		}
		for _, err := range c.startAll(t.Context(), orders, burst) {
			is.NoErr(err)
		}
		got := c.workers.take()
		is.Equal(len(got), len(orders))
		want := map[workload.Run]workload.StartOrder{}
		for _, o := range orders {
			want[o.Run] = o
		}
		for _, o := range got {
			is.Equal(o, want[o.Run]) // the workers get complete orders
		}
		specBytes, calls, used := 0, 0, 0
		for _, h := range c.hosts {
			specBytes, calls = specBytes+h.specBytes, calls+h.calls
			if h.calls > 0 {
				used++
			}
		}
		is.Equal(specBytes, jobs*len(orders[0].Spec))
		is.True(calls < len(orders)/2) // orders for one host go together
		is.True(used > 1)
		is.Equal(len(c.direct.take()), 0)
	})
}

// An order may arrive before the call that carries its job's spec.
func TestOrderOvertakesItsSpec(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		workers := &startRecorder{}
		s := newStartServer(workers)
		var early sync.WaitGroup
		early.Go(func() {
			reply := s.startRuns(t.Context(), &rpc.StartRunsRequest{Starts: []*rpc.RunStart{{Job: "j", Index: 1}}})
			is.Equal(reply.Results[0].Error, "")
		})
		time.Sleep(overtakenWait / 4)
		reply := s.startRuns(t.Context(), &rpc.StartRunsRequest{Starts: []*rpc.RunStart{{Job: "j"}}, Specs: map[string]string{"j": "spec"}})
		is.Equal(reply.Results[0].Error, "")
		early.Wait()
		for _, o := range workers.take() {
			is.Equal(o.Spec, "spec")
		}
	})
}

// TestStartsWithinTheShareAreDirect checks that a link with capacity left relays nothing.
func TestStartsWithinTheShareAreDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newRelayCell(t, 2)
		c.startRelay.direct = rate.NewLimiter(1e6, 1e6)
		for _, err := range c.startAll(t.Context(), []workload.StartOrder{order("a", 0), order("a", 1)}, 0) {
			is.NoErr(err)
		}
		is.Equal(len(c.direct.take()), 2)
		is.Equal(len(c.workers.take()), 0)
	})
}

// TestRelayedErrors checks that a worker's refusals keep their meaning.
func TestRelayedErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayCell(t, 1)
		for _, cause := range []error{
			workload.ErrNoAnswer, workload.ErrReplaced, workload.ErrFenced, workload.ErrRunTooOld, workload.ErrLeaseInPast,
			workload.ErrInsufficientCapacity, workload.ErrBadTicket, workload.ErrUnhealthy, workload.ErrMalformedOrder,
		} {
			c.workers.err = fmt.Errorf("wrapped: %w", cause)
			_, err := c.Start(t.Context(), &workload.Worker{ID: "w", Address: "a:1"}, order("j", 0))
			if !errors.Is(err, cause) {
				t.Errorf("%v relayed as %v", cause, err)
			}
		}
	})
}

// A host that has lost a spec, and one of an older build, carry out nothing; the
// coordinator sends these orders itself.
func TestOrdersThatAreNotRelayedGoDirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newRelayCell(t, 1)
		is.NoErr(c.startAll(t.Context(), []workload.StartOrder{order("a", 0)}, 0)[0])
		c.hosts[0].starts.specs.Purge()
		is.NoErr(c.startAll(t.Context(), []workload.StartOrder{order("a", 1)}, 0)[0])
		is.Equal(len(c.direct.take()), 1)
		is.NoErr(c.startAll(t.Context(), []workload.StartOrder{order("a", 2)}, 0)[0]) // the spec is sent again
		is.Equal(len(c.direct.take()), 0)

		c.serveOnly(t, http.NotFoundHandler())
		for i := range 3 {
			is.NoErr(c.startAll(t.Context(), []workload.StartOrder{order("b", i)}, 0)[0])
		}
		is.Equal(len(c.direct.take()), 3)
		is.Equal(c.failed, 1) // it is not asked again
	})
}

// An order whose relay does not answer may have been carried out.
func TestUnansweredRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newRelayCell(t, 1)
		release := make(chan struct{})
		c.hosts[0].starts.commander = blockingStart{release}
		defer close(release)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := c.Start(ctx, &workload.Worker{ID: "w", Address: "a:1"}, order("j", 0))
		is.True(errors.Is(err, workload.ErrNoAnswer))
		is.Equal(len(c.direct.take()), 0)
	})
}

// An order that a host had relayed was sent again as one that no worker can have got, since only
// the start of the host's answer arrived.
func TestTruncatedAnswerOfRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newRelayCell(t, 1)
		relayed := rpc.NewCellServer(c.hosts[0])
		c.serveOnly(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			answer := httptest.NewRecorder()
			relayed.ServeHTTP(answer, r)
			w.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
			w.Header().Set("Content-Length", strconv.Itoa(answer.Body.Len()+1))
			_, _ = w.Write(answer.Body.Bytes()) // the connection ends before the last byte
		}))
		_, err := c.Start(t.Context(), &workload.Worker{ID: "w", Address: "a:1"}, order("j", 0))
		is.Equal(len(c.workers.take()), 1)
		is.True(errors.Is(err, workload.ErrNoAnswer))
		is.Equal(len(c.direct.take()), 0)
	})
}

// Guards against a run that counts as ended while it goes on: an order that a host had relayed
// was sent again as one that no worker can have got, since the host answered with an error of its
// own, and the worker refused the repeat.
func TestHostThatFailsAfterItRelayed(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"failure of the host": func(w http.ResponseWriter, _ *http.Request) {
			rpc.WriteError(w, twirp.InternalError("out of memory"))
		},
		"failure without a reason": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"unreadable answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			_, _ = w.Write([]byte("no message"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newRelayCell(t, 1)
				c.direct.err = workload.ErrUnhealthy
				relayed := rpc.NewCellServer(c.hosts[0])
				c.serveOnly(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					relayed.ServeHTTP(httptest.NewRecorder(), r)
					answer(w, r)
				}))
				_, err := c.Start(t.Context(), &workload.Worker{ID: "w", Address: "a:1"}, order("j", 0))
				is.Equal(len(c.workers.take()), 1)
				is.True(errors.Is(err, workload.ErrNoAnswer))
				is.Equal(len(c.direct.take()), 0)
			})
		})
	}
}

// blockingStart answers a start order when released.
type blockingStart struct{ release chan struct{} }

func (b blockingStart) Start(_ context.Context, _ *workload.Worker, _ workload.StartOrder) (int64, error) {
	<-b.release
	return 0, nil
}
func (blockingStart) Stop(context.Context, *workload.Worker, workload.Run, int64) error { return nil }
func (blockingStart) Throttle(context.Context, *workload.Worker, workload.Run, int, int64) error {
	return nil
}
func (blockingStart) Heartbeat(context.Context, *workload.Worker, workload.Heartbeat) (workload.Inventory, error) {
	return workload.Inventory{}, nil
}
func (blockingStart) Disconnect(*workload.Worker) {}
