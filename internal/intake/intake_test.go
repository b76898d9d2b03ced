package intake

import (
	"context"
	"errors"
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

var errNobody = errors.New("nobody there")

// operators is a feed that holds one configuration and then whatever is pushed.
type operators struct {
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

func (o *operators) List(context.Context) ([]workload.OperatorChange, int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, 0, platform.ErrRefused
	}
	return []workload.OperatorChange{{Cell: o.cell}}, 1, nil
}

func (o *operators) Next(ctx context.Context, after int64, _ time.Duration) ([]workload.OperatorChange, int64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(10 * time.Millisecond):
	}
	all, _, err := o.List(ctx)
	return all, after + 1, err
}

func (o *operators) set(cell *workload.Cell, down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell, o.down = cell, down
}

// fixed answers for the coordinator.
type fixed struct {
	state workload.State
	err   error
}

func (f *fixed) JobState(context.Context, string, time.Duration) (workload.State, bool, error) {
	return f.state, f.state != "", f.err
}
func (f *fixed) Notify(jobstore.Entry)                        {}
func (f *fixed) Pending(context.Context, string) (int, error) { return 7, f.err }

// relayTo hands requests to another desk, if there is one.
type relayTo struct{ desk *Server }

func (r *relayTo) Relay(ctx context.Context, req Request) (Reply, error) {
	if r.desk == nil {
		return Reply{}, errNobody
	}
	reply := r.desk.ServeRelayed(ctx, req)
	if reply.Outcome == NotRun {
		return reply, errors.New(reply.Reason)
	}
	return reply, nil
}

type ignore struct{}

func (ignore) Request(Operation, Outcome, time.Duration) {}

// host is an entry host with its own way to the store.
type host struct {
	*Server
	operators  *operators
	dispatcher *fixed
	relay      *relayTo
	suspect    bool
	moves      time.Duration
}

func newHost(t *testing.T, store platform.Store) *host {
	h := &host{operators: &operators{cell: testCell(1)}, dispatcher: &fixed{err: errNobody}, relay: &relayTo{}}
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
		Jobs: jobstore.Jobs{Store: health, Log: logr.Discard()}, Watch: watch, Dispatcher: h.dispatcher, Relay: h.relay,
		StoreSuspect: func(now time.Time) bool { return h.suspect || health.Suspect(now) },
		StoreLost:    func(now time.Time) bool { return h.suspect || health.Unreachable(now) },
		MovesIn:      func(time.Time) time.Duration { return h.moves }, Log: logr.Discard(), Observer: ignore{},
	})
	h.await(t, 1)
	return h
}

func (h *host) await(t *testing.T, version int64) {
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

func TestSubmitLookCancel(t *testing.T) {
	is := is.New(t)
	h := newHost(t, rows.New())
	is.Equal(h.Handle(t.Context(), request(Query)).Outcome, NoJob)
	is.Equal(h.Handle(t.Context(), request(Cancel)).Outcome, NoJob)
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Accepted)
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Accepted) // the same job
	reply := h.Handle(t.Context(), request(Query))
	is.Equal(reply.State, workload.Queued) // from the store: no coordinator answers
	is.Equal(h.Handle(t.Context(), request(Cancel)).Outcome, Accepted)
	is.Equal(h.Handle(t.Context(), request(Query)).State, workload.Cancelled)
}

func TestRefusals(t *testing.T) {
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

// A refusal that says "not run" is true; a lost answer is never called one.
func TestSubmitWhileTheStoreFails(t *testing.T) {
	for name, test := range map[string]struct {
		fault rows.Fault
		want  Outcome
	}{
		"refused":            {rows.Refused, NotRun},
		"done, answer lost":  {rows.AppliedReplyLost, Unknown},
		"late, no answer":    {rows.DelayedReplyLost, Unknown},
		"works after a peer": {rows.None, Accepted},
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

// What may be stored is not refused, though the host that it is relayed to would
// refuse it: here the key was withdrawn meanwhile.
func TestWhatMayBeStoredIsNotRefused(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h, other := newHost(t, store), newHost(t, rows.New())
	queues := []workload.Queue{{Name: "q", Host: "cell.example", PathPrefix: "/q/", Pool: "p"}}
	other.operators.set(workload.NewCell(2, queues, nil, nil), false)
	other.await(t, 2)
	h.relay.desk = other.Server
	store.SetFault(func(platform.Tx) rows.Fault {
		h.suspect = true // as the lost answer makes it
		return rows.DelayedReplyLost
	})
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Unknown)
}

// A host cut off from the store hands requests to another, and refuses at once
// if there is none.
func TestHostCutOffFromTheStore(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h, other := newHost(t, store), newHost(t, store)
	h.suspect = true
	began := time.Now()
	reply := h.Handle(t.Context(), request(Submit))
	is.Equal(reply.Outcome, NotRun)
	is.True(time.Since(began) < 200*time.Millisecond)
	is.Equal(reply.RetryAfter, retryStore)
	// Callers are told to come back when the balancer sends them elsewhere.
	h.moves = 1700 * time.Millisecond
	is.Equal(h.Handle(t.Context(), request(Submit)).RetryAfter, h.moves)
	h.relay.desk = other.Server
	is.Equal(h.Handle(t.Context(), request(Submit)).Outcome, Accepted)
}

// After a host has relayed a request to one with a newer configuration, it never
// answers by its own older one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	store := rows.New()
	h, other := newHost(t, store), newHost(t, store)
	added := workload.Queue{Name: "new", Host: "cell.example", PathPrefix: "/new/", Pool: "p"}
	other.operators.set(testCell(2, added), false)
	other.await(t, 2)
	h.operators.set(testCell(1), true)
	h.suspect, h.relay.desk = true, other.Server
	r := request(Query)
	r.Path = "/new/"
	other.dispatcher.err = nil
	is.Equal(h.Handle(t.Context(), r).Outcome, Counted)
	h.relay.desk = nil
	is.Equal(h.Handle(t.Context(), r).Outcome, NotRun) // not NoQueue
	// The other way round: a host does not take an answer by an older version.
	h.suspect = false
	other.suspect, other.relay.desk = true, h.Server
	r.Path = "/q/"
	is.Equal(other.Handle(t.Context(), r).Outcome, NoQueue)
}
