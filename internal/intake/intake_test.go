package intake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
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

const (
	testID   = "00112233445566aa"
	testPath = "/q/" + testID
)

var errUnreachable = errors.New("host is unreachable")

// operatorFeed is a feed of one configuration, which the test can replace.
type operatorFeed struct {
	mu   sync.Mutex
	cell *workload.Cell
	down bool
}

func testCell(version int64, queues ...workload.Queue) *workload.Cell {
	if len(queues) == 0 {
		queues = []workload.Queue{{Name: "q", Host: "cell.example", PathPrefix: "/q/", Pool: "p"}}
	}
	return workload.NewCell(version, queues, []workload.Team{{Name: "team"}}, map[string]string{"key": "team"})
}

func (o *operatorFeed) List(context.Context) ([]workload.OperatorChange, int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, 0, platform.ErrRefused
	}
	return []workload.OperatorChange{{Cell: o.cell}}, 1, nil
}

func (o *operatorFeed) Next(ctx context.Context, after int64, _ time.Duration) ([]workload.OperatorChange, int64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Millisecond):
	}
	all, _, err := o.List(ctx)
	return all, after + 1, err
}

func (o *operatorFeed) set(cell *workload.Cell, down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell, o.down = cell, down
}

// fakeDispatcher returns the same state and error to every call.
type fakeDispatcher struct {
	state workload.State
	err   error
}

func (f *fakeDispatcher) JobState(context.Context, string, time.Duration) (workload.State, bool, error) {
	return f.state, f.state != "", f.err
}
func (f *fakeDispatcher) Notify(jobstore.Entry)                        {}
func (f *fakeDispatcher) Pending(context.Context, string) (int, error) { return 7, f.err }

// fakeRelay relays requests to another server, if one is set. It may lose the answers.
type fakeRelay struct {
	target *Server
	loses  bool
}

func (r *fakeRelay) Relay(ctx context.Context, req Request) (Reply, error) {
	if r.target == nil {
		return Reply{}, errUnreachable
	}
	reply := r.target.HandleRelayed(ctx, req)
	if r.loses {
		return Reply{Outcome: Unknown, Reason: "answer lost"}, nil
	}
	if reply.Outcome == NotRun {
		return reply, errors.New(reply.Reason)
	}
	return reply, nil
}

type noopObserver struct{}

func (noopObserver) Request(Operation, Outcome, time.Duration) {}

// host is an entry host with its own connection to the store.
type host struct {
	*Server
	operators    *operatorFeed
	dispatcher   *fakeDispatcher
	relay        *fakeRelay
	suspect      bool
	refuses      bool // admits no new jobs
	rerouteDelay time.Duration
}

func newHost(t *testing.T, store platform.Store) *host {
	h := &host{operators: &operatorFeed{cell: testCell(1)}, dispatcher: &fakeDispatcher{err: errUnreachable}, relay: &fakeRelay{}}
	health := platform.NewHealth(store)
	watch := cellwatch.New(h.operators, health.RecentlyServed, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = watch.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	h.Server = New(Config{
		Admit: func() (time.Duration, bool) { return time.Second, !h.refuses },
		Jobs:  jobstore.Jobs{Store: health}, Watch: watch, Dispatcher: h.dispatcher, Relay: h.relay,
		StoreSuspect:     func(now time.Time) bool { return h.suspect || health.Suspect(now) },
		StoreUnreachable: func(now time.Time) bool { return h.suspect || health.Unreachable(now) },
		RerouteDelay:     func(time.Time) time.Duration { return h.rerouteDelay }, Log: logr.Discard(), Observer: noopObserver{},
	})
	h.awaitConfiguration(t, 1)
	return h
}

// withdrawKeys makes version 2, in which no team has a key, the host's configuration.
func (h *host) withdrawKeys(t *testing.T) {
	queues := []workload.Queue{{Name: "q", Host: "cell.example", PathPrefix: "/q/", Pool: "p"}}
	h.operators.set(workload.NewCell(2, queues, nil, nil), false)
	h.awaitConfiguration(t, 2)
}

func (h *host) awaitConfiguration(t *testing.T, version int64) {
	t.Helper()
	for range 500 {
		if cell := h.Watch.Cell(); cell != nil && cell.Version >= version {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("configuration %d did not arrive", version)
}

func request(op Operation) Request {
	r := Request{Operation: op, Host: "cell.example", Path: testPath, Key: "key"}
	if op == Submit {
		r.Job = &workload.Job{Spec: "s", Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1}}}}
	}
	return r
}

func TestSubmitQueryCancel(t *testing.T) {
	is := is.New(t)
	h := newHost(t, rows.New())
	is.Equal(h.Handle(t.Context(), request(Query)).Outcome, NoJob)
	is.Equal(h.Handle(t.Context(), request(Cancel)).Outcome, NoJob)
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Accepted)
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Accepted) // the same job again
	reply := h.Handle(t.Context(), request(Query))
	is.Equal(reply.State, workload.Queued) // from the store, since no coordinator answers
	is.Equal(h.Handle(t.Context(), request(Cancel)).Outcome, Accepted)
	is.Equal(h.Handle(t.Context(), request(Query)).State, workload.Cancelled)
}

func TestInvalidRequests(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*Request)
		want   Outcome
	}{
		"host":      {func(r *Request) { r.Host = "other.example" }, NoQueue},
		"path":      {func(r *Request) { r.Path = "/other/" + testID }, NoQueue},
		"key":       {func(r *Request) { r.Key = "old" }, BadKey},
		"id":        {func(r *Request) { r.Path = "/q/xyz" }, Malformed},
		"no job":    {func(r *Request) { r.Job = nil }, Malformed},
		"no steps":  {func(r *Request) { r.Job.Steps = nil }, Malformed},
		"no tasks":  {func(r *Request) { r.Job.Steps[0].Tasks = 0 }, Malformed},
		"cycle":     {func(r *Request) { r.Job.Steps[0].After = []int{0} }, Malformed},
		"long spec": {func(r *Request) { r.Job.Spec = string(make([]byte, workload.MaxSpecBytes+1)) }, Malformed},
		// It would never fit into a row of the store: "not run", as in an outage, would have
		// the caller try again without end.
		"long row": {func(r *Request) { r.Job.Steps[0].Label = strings.Repeat("x", workload.MaxRowBytes) }, Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHost(t, rows.New())
			r := request(Submit)
			test.change(&r)
			reply := h.Handle(t.Context(), r)
			is.Equal(reply.Outcome, test.want)
			is.True(reply.Reason != "")
		})
	}
}

// Guards against a reply of "not run" for a job that is stored after all: when the
// store's answer is lost, the write may have been applied or may be applied later.
func TestSubmitWhileTheStoreFails(t *testing.T) {
	for name, test := range map[string]struct {
		fault rows.Fault
		want  Outcome
	}{
		"refused":           {rows.Refused, NotRun},
		"done, answer lost": {rows.AppliedReplyLost, Unknown},
		"late, no answer":   {rows.DelayedReplyLost, Unknown},
		"no fault":          {rows.None, Accepted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := rows.New()
			store.SetFault(func(platform.Tx) rows.Fault { return test.fault })
			h := newHost(t, store)
			reply := h.Handle(t.Context(), request(Submit))
			is.Equal(reply.Outcome, test.want)
			store.SetFault(nil)
			store.ApplyDelayed()
			found, err := h.Jobs.Find(t.Context(), testID)
			is.NoErr(err)
			if test.want == NotRun {
				is.True(!found.Exists)
				is.True(reply.RetryAfter > 0)
			}
		})
	}
}

// Guards against the refusal of a job that may be stored. The first host loses the
// store's answer and relays the request to a host that refuses it, since the key was
// withdrawn in its newer configuration.
func TestPossiblyStoredJobIsNotRefused(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h, other := newHost(t, store), newHost(t, rows.New())
	other.withdrawKeys(t)
	h.relay.target = other.Server
	store.SetFault(func(platform.Tx) rows.Fault {
		h.suspect = true // a lost answer makes the host suspect the store
		return rows.DelayedReplyLost
	})
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Unknown)
}

// A host that cannot reach the store relays requests to another host. Without
// another host it refuses them at once.
func TestHostWithUnreachableStore(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h, other := newHost(t, store), newHost(t, store)
	h.suspect = true
	began := time.Now()
	reply := h.Handle(t.Context(), request(Submit))
	is.Equal(reply.Outcome, NotRun)
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(reply.RetryAfter, retryStore)
	// Retry-After is the time until the load balancer reroutes the callers.
	h.rerouteDelay = 1700 * time.Millisecond
	is.Equal(h.Handle(t.Context(), request(Submit)).RetryAfter, h.rerouteDelay)
	h.relay.target = other.Server
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Accepted)
}

// Guards against answers based on an older configuration than an earlier answer: a
// host relays a request to a host with a newer version, and then answers the next
// request itself with its own older version.
func TestConfigurationNeverRegresses(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h, other := newHost(t, store), newHost(t, store)
	added := workload.Queue{Name: "new", Host: "cell.example", PathPrefix: "/new/", Pool: "p"}
	other.operators.set(testCell(2, added), false)
	other.awaitConfiguration(t, 2)
	h.operators.set(testCell(1), true)
	h.suspect, h.relay.target = true, other.Server
	r := request(Query)
	r.Path = "/new/"
	other.dispatcher.err = nil
	is.Equal(h.Handle(t.Context(), r).Outcome, Counted)
	h.relay.target = nil
	is.Equal(h.Handle(t.Context(), r).Outcome, NotRun) // not NoQueue
	// In the other direction, a host does not take an answer that is based on an older
	// version.
	h.suspect = false
	other.suspect, other.relay.target = true, h.Server
	r.Path = "/q/"
	is.Equal(other.Handle(t.Context(), r).Outcome, NoQueue)
}

// A job that is not admitted is refused by the host that was asked: relaying it would
// only move the load. A job that is stored already is never refused.
func TestJobsNotAdmitted(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	a, b := newHost(t, store), newHost(t, store)
	a.relay.target = b.Server
	submit := Request{Operation: Submit, Host: "cell.example", Path: testPath, Key: "key",
		Job: &workload.Job{Spec: "s", Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1}}}}}
	a.refuses = true
	reply := a.Handle(t.Context(), submit)
	is.Equal(reply.Outcome, NotRun)
	is.Equal(reply.RetryAfter, time.Second)
	is.Equal(b.Handle(t.Context(), submit).Outcome, Accepted)
	is.Equal(a.Handle(t.Context(), submit).Outcome, Accepted)
}

// A host that could read neither the configuration nor reach another host told callers that their
// queue did not exist, or their key, though both had been added since.
func TestOldConfigurationDoesNotDenyQueuesAndKeys(t *testing.T) {
	for name, change := range map[string]func(*Request){
		"queue": func(r *Request) { r.Path = "/new/" + testID },
		"key":   func(r *Request) { r.Key = "new" },
	} {
		for _, op := range []Operation{Query, Cancel, Submit} {
			t.Run(fmt.Sprint(op, " ", name), func(t *testing.T) {
				is := is.New(t)
				h := newHost(t, rows.New())
				r := request(op)
				change(&r)
				denied := h.Handle(t.Context(), r).Outcome
				is.True(denied == NoQueue || denied == BadKey) // by a configuration that is current
				h.operators.set(testCell(1), true)
				for h.Watch.Fresh(time.Now()) || platform.RecentlyServed(h.Jobs.Store, time.Now()) {
					time.Sleep(10 * time.Millisecond)
				}
				reply := h.Handle(t.Context(), r)
				is.Equal(reply.Outcome, NotRun)
				is.True(reply.RetryAfter > 0)
			})
		}
	}
}

// A cancellation whose answer was lost was reported as not stored, and took effect.
func TestPossiblyStoredCancellationIsNotDenied(t *testing.T) {
	for name, test := range map[string]struct {
		fault rows.Fault
		want  Outcome
	}{
		"refused":           {rows.Refused, NotRun},
		"done, answer lost": {rows.AppliedReplyLost, Unknown},
		"late, no answer":   {rows.DelayedReplyLost, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := rows.New()
			h := newHost(t, store)
			is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Accepted)
			store.SetFault(func(platform.Tx) rows.Fault { return test.fault })
			is.Equal(h.Handle(t.Context(), request(Cancel)).Outcome, test.want)
		})
	}
}

// Guards against a denial of a cancellation that another host has carried out without being able
// to answer: a host that suspects its store relays the cancellation, and then tries it itself.
func TestCancellationThatWasRelayedIsNotDenied(t *testing.T) {
	for name, test := range map[string]struct {
		change func(h *host, own *rows.Store)
		want   Outcome
	}{
		"store out of reach":    {func(_ *host, own *rows.Store) { own.SetDown(true) }, Unknown},
		"job not found":         {func(*host, *rows.Store) {}, Unknown},
		"key withdrawn here":    {func(h *host, _ *rows.Store) { h.withdrawKeys(t) }, Unknown},
		"job known to be ended": {func(h *host, _ *rows.Store) { h.dispatcher.state, h.dispatcher.err = workload.Completed, nil }, Accepted},
		"job known to run":      {func(h *host, _ *rows.Store) { h.dispatcher.state, h.dispatcher.err = workload.Running, nil }, Accepted},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store, own := rows.New(), rows.New()
			h, other := newHost(t, own), newHost(t, store)
			is.Equal(other.Handle(t.Context(), request(Submit)).Outcome, Accepted)
			other.operators.set(testCell(2), false)
			other.awaitConfiguration(t, 2)
			h.suspect, h.relay.target, h.relay.loses = true, other.Server, true
			test.change(h, own)
			is.Equal(h.Handle(t.Context(), request(Cancel)).Outcome, test.want)
			is.Equal(other.Handle(t.Context(), request(Query)).State, workload.Cancelled)
		})
	}
}
