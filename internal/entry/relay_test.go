package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/cellwatch"
	"cuminloft/internal/intake"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/linkmeter"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/workload"
)

const (
	relayedJob    = "00112233445566aa"
	callerTimeout = 2750 * time.Millisecond
)

// oneCell is a feed of one configuration with one queue.
type oneCell struct{}

func (oneCell) List(context.Context) ([]workload.OperatorChange, int64, error) {
	cell := workload.NewCell(1, []workload.Queue{{Name: "q", Host: "cell.example", PathPrefix: "/q/", Pool: "p"}},
		[]workload.Team{{Name: "team"}}, map[string]string{"key": "team"})
	return []workload.OperatorChange{{Cell: cell}}, 1, nil
}

func (oneCell) Next(ctx context.Context, after int64, wait time.Duration) ([]workload.OperatorChange, int64, error) {
	select {
	case <-ctx.Done():
		return nil, after, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

// noCoordinator is a connection to a coordinator that is out of reach.
type noCoordinator struct{}

func (noCoordinator) Notify(jobstore.Entry) {}
func (noCoordinator) JobState(context.Context, string, time.Duration) (workload.State, bool, error) {
	return "", false, errNoCoordinator
}
func (noCoordinator) Pending(context.Context, string) (int, error) { return 0, errNoCoordinator }

type noObserver struct{}

func (noObserver) Request(intake.Operation, intake.Outcome, time.Duration) {}

// newIntake returns the server of callers of a host.
func newIntake(t *testing.T, store platform.Store, relay intake.Relay, storeReachable bool) *intake.Server {
	t.Helper()
	health := platform.NewHealth(store)
	watch := cellwatch.New(oneCell{}, health.RecentlyServed, logr.Discard())
	go func() { _ = watch.Run(t.Context()) }() // ends with the test
	for watch.Cell() == nil {
		time.Sleep(time.Millisecond)
	}
	unreachable := func(time.Time) bool { return !storeReachable }
	return intake.New(intake.Config{
		Jobs: jobstore.Jobs{Store: health}, Watch: watch, Dispatcher: noCoordinator{}, Relay: relay,
		StoreSuspect: unreachable, StoreUnreachable: unreachable, RerouteDelay: func(time.Time) time.Duration { return 0 },
		Admit: func() (time.Duration, bool) { return 0, true }, Log: logr.Discard(), Observer: noObserver{},
	})
}

// relayFault is what becomes of a request that is relayed to a host.
type relayFault func(host http.Handler, w http.ResponseWriter, r *http.Request)

func answered(host http.Handler, w http.ResponseWriter, r *http.Request) { host.ServeHTTP(w, r) }

// answerLost: the host carries the request out, and the connection breaks.
func answerLost(host http.Handler, _ http.ResponseWriter, r *http.Request) {
	host.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

// answerLate: the host carries the request out, and answers when nobody waits any more.
func answerLate(host http.Handler, _ http.ResponseWriter, r *http.Request) {
	host.ServeHTTP(httptest.NewRecorder(), r)
	<-r.Context().Done()
}

// requestLost: the connection breaks before the host handles the request.
func requestLost(http.Handler, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// fixedAnswer: the host carries nothing out.
func fixedAnswer(outcome intake.Outcome) relayFault {
	return func(_ http.Handler, w http.ResponseWriter, r *http.Request) {
		rpc.NewCellServer(fixedReply{outcome: outcome}).ServeHTTP(w, r)
	}
}

type fixedReply struct {
	rpc.Cell
	outcome intake.Outcome
}

func (f fixedReply) Relay(context.Context, *rpc.RelayRequest) (*rpc.RelayReply, error) {
	return &rpc.RelayReply{Outcome: string(f.outcome), Reason: "answer of the test"}, nil
}

// pipes connects hosts in memory, so that their calls take the time of a synctest bubble.
type pipes struct{ dialed map[string]chan net.Conn }

// pipeListener is the net.Listener of one host.
type pipeListener struct {
	dialed <-chan net.Conn
	closed chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.dialed:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l pipeListener) Close() error { close(l.closed); return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func newPipes() pipes { return pipes{map[string]chan net.Conn{}} }

// client returns a client that reaches the hosts that listen. Its connections are closed when
// the test ends.
func (p pipes) client(t *testing.T) *http.Client {
	c := &http.Client{Transport: &http.Transport{DialContext: p.dial}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

// dial connects to a host that listens; there is none else.
func (p pipes) dial(ctx context.Context, _, address string) (net.Conn, error) {
	host, ok := p.dialed[address]
	if !ok {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case host <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// listen serves a host at an address until the test ends.
func (p pipes) listen(t *testing.T, address string, handler http.Handler) {
	dialed := make(chan net.Conn)
	p.dialed[address] = dialed
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(pipeListener{dialed, make(chan struct{})}) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
}

// relaysTo returns the connections to two hosts with the given store. The n-th request that
// reaches one of them meets the n-th fault. Without faults no host can be reached. It is
// called in a synctest bubble.
func relaysTo(t *testing.T, store platform.Store, faults ...relayFault) *peers {
	t.Helper()
	is := is.New(t)
	host := rpc.NewCellServer(&peerService{intake: newIntake(t, store, nil, true)})
	members, network := rows.New(), newPipes()
	m := newMembership(members, "a", hostRow{}, logr.Discard())
	var calls atomic.Int64
	for _, name := range []string{"b", "c"} {
		address := name + ":1"
		if len(faults) > 0 {
			network.listen(t, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				faults[min(int(calls.Add(1)), len(faults))-1](host, w, r)
			}))
		}
		is.NoErr(newMembership(members, name, hostRow{Address: address}, logr.Discard()).renew(t.Context()))
	}
	is.NoErr(m.read(t.Context()))
	p := newPeers(m, newAdmission(nil, 0, logr.Discard()), linkmeter.New(), logr.Discard())
	p.http = network.client(t)
	return p
}

// Guards against "without effect" as the answer to a request that another host may have carried
// out: a host that cannot reach the store relays a request, and no answer comes back.
func TestRelayedRequestWithoutAnswerIsUnknown(t *testing.T) {
	const unknown, notRun, accepted = intake.Unknown, intake.NotRun, intake.Accepted
	refused, denied := fixedAnswer(intake.NotRun), fixedAnswer(intake.BadKey)
	cases := map[string]struct {
		faults             []relayFault
		cancel, submission intake.Outcome
	}{
		"no host is reached":    {nil, notRun, notRun},
		"refused":               {[]relayFault{refused}, notRun, notRun},
		"answered":              {[]relayFault{answered}, accepted, accepted},
		"refused, answered":     {[]relayFault{refused, answered}, accepted, accepted},
		"answers lost":          {[]relayFault{answerLost}, unknown, unknown},
		"answers late":          {[]relayFault{answerLate}, unknown, unknown},
		"request lost":          {[]relayFault{requestLost}, unknown, unknown},
		"answer lost, refused":  {[]relayFault{answerLost, refused}, unknown, unknown},
		"answer lost, denied":   {[]relayFault{answerLost, denied}, unknown, unknown},
		"request lost, refused": {[]relayFault{requestLost, refused}, unknown, unknown},
		"refused, answer lost":  {[]relayFault{refused, answerLost}, unknown, unknown},
		"answer lost, answered": {[]relayFault{answerLost, answered}, accepted, unknown},
	}
	for name, c := range cases {
		for op, want := range map[intake.Operation]intake.Outcome{intake.Cancel: c.cancel, intake.Submit: c.submission} {
			t.Run(string(op)+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { relayFromHostWithoutStore(t, op, c.faults, want) })
			})
		}
	}
}

// relayFromHostWithoutStore makes a request at a host that cannot reach the store, and checks the
// answer and, if that says what has become of the request, the store.
func relayFromHostWithoutStore(t *testing.T, op intake.Operation, faults []relayFault, want intake.Outcome) {
	is := is.New(t)
	store, down := rows.New(), rows.New()
	down.SetDown(true)
	jobs := jobstore.Jobs{Store: platform.NewHealth(store)}
	job := &workload.Job{ID: relayedJob, Spec: "s", Queue: "q", Pool: "p", Steps: []workload.Step{{Tasks: 1, Resources: model.Resources{MilliCores: 1}}}}
	if op == intake.Cancel {
		is.NoErr(jobs.Insert(t.Context(), job))
	}
	before, err := jobs.Find(t.Context(), relayedJob)
	is.NoErr(err)
	s := newIntake(t, down, relaysTo(t, store, faults...), false)
	ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
	defer cancel()
	reply := s.Handle(ctx, intake.Request{Operation: op, Host: "cell.example", Path: "/q/" + relayedJob, Key: "key", Job: job})
	is.Equal(reply.Outcome, want)
	after, err := jobs.Find(t.Context(), relayedJob)
	is.NoErr(err)
	switch reply.Outcome {
	case intake.NotRun:
		is.Equal(after, before)
		is.True(reply.RetryAfter > 0)
	case intake.Accepted:
		is.True(after != before)
	}
}

// The contract of a relay: an error proves that no host has carried the request out.
func TestErrorOfARelayIsProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		request := intake.Request{Operation: intake.Cancel, Host: "cell.example", Path: "/q/" + relayedJob, Key: "key"}
		for _, fault := range []relayFault{answerLost, requestLost} {
			reply, err := relaysTo(t, rows.New(), fault, fixedAnswer(intake.NotRun)).Relay(t.Context(), request)
			is.NoErr(err)
			is.Equal(reply.Outcome, intake.Unknown)
			is.True(strings.HasPrefix(reply.Reason, "relayed: "))
		}
		_, err := relaysTo(t, rows.New()).Relay(t.Context(), request)
		is.True(err != nil)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = relaysTo(t, rows.New(), answered).Relay(ended, request)
		is.True(errors.Is(err, context.Canceled)) // nothing was sent
	})
}

// Guards against a status that callers cannot interpret (500): a host of another build answers a
// relayed request with an outcome that this one does not know.
func TestRelayedAnswerThatIsNotUnderstoodIsUnknown(t *testing.T) {
	for _, outcome := range []intake.Outcome{"", "later"} {
		for op, want := range map[intake.Operation]intake.Outcome{intake.Submit: intake.Unknown, intake.Cancel: intake.Unknown, intake.Query: intake.NoJob} {
			t.Run(string(op)+"/"+string(outcome), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					p := relaysTo(t, rows.New(), fixedAnswer(outcome), fixedAnswer(intake.NoJob))
					reply, err := p.Relay(t.Context(), intake.Request{Operation: op, Host: "cell.example", Path: "/q/" + relayedJob, Key: "key"})
					is.NoErr(err)
					is.Equal(reply.Outcome, want)
				})
			})
		}
	}
}
