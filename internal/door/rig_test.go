package door

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/api"
	"cuminloft/internal/config"
	"cuminloft/internal/configsync"
	"cuminloft/internal/model"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/worker"
)

const testKey = "key-of-team-press"

func testConfig() *config.Config {
	return &config.Config{
		AZs: []config.AZ{{Name: "az1", InService: true}, {Name: "az2", InService: true}},
		Organisations: []config.Organisation{{Name: "org", Share: 1, Teams: []config.Team{
			{Name: "press", Share: 1, Keys: []config.Key{{ID: "k", SHA256: config.HashKey(testKey)}}},
			{Name: "walk-in", Share: 1},
			{Name: "other", Share: 1, Keys: []config.Key{{ID: "o", SHA256: config.HashKey("other-key")}}},
		}}},
		Queues: []config.Queue{
			{Name: "slips", Policy: model.PolicyDirect, Teams: []string{"press"}},
			{Name: "proofs", Policy: model.PolicyDirect, Open: true, OpenTeam: "walk-in"},
			{Name: "batch", Policy: model.PolicyBatch},
		},
	}
}

// rig is a cell in memory: front ends that share a table, owners and workers.
type rig struct {
	workers   []*fakeWorker
	owners    []*fakeOwner
	frontends []*Frontend
	servers   []*http.Server
	table     *standin.Table
	client    *http.Client
}

// rigOptions are the parameters of a rig.
type rigOptions struct {
	frontends int
	worker    func(worker.Attempt) fault
	owner     func(*rpc.ReserveRequest) ownerFault
	limits    Limits
}

func newRig(o rigOptions) *rig {
	if o.worker == nil {
		o.worker = func(worker.Attempt) fault { return faultNone }
	}
	if o.owner == nil {
		o.owner = func(*rpc.ReserveRequest) ownerFault { return ownerFine }
	}
	r := &rig{table: standin.NewTable()}
	for i, az := range []string{"az1", "az2"} {
		owner := &fakeOwner{
			name: az + "-0", az: az, plan: o.owner, fence: 1,
			open: make(map[string]int32), jobs: make(map[string]bool),
		}
		for n := range 3 {
			w := newFakeWorker("w"+strconv.Itoa(3*i+n), o.worker)
			owner.workers = append(owner.workers, w)
			r.workers = append(r.workers, w)
		}
		r.owners = append(r.owners, owner)
	}
	listeners := make(map[string]*pipeListener)
	for i := range max(o.frontends, 1) {
		host := "door" + strconv.Itoa(i)
		listeners[host+":80"] = r.addFrontend(host, o.limits)
	}
	r.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return listeners[addr].dial(ctx) },
	}}
	return r
}

func (r *rig) addFrontend(host string, l Limits) *pipeListener {
	d := New(Options{
		Self:      &rpc.Member{Host: host, Az: "az1"},
		Directory: &fakeDirectory{r.owners},
		View:      configsync.NewStatic(testConfig()),
		Connect:   r.connect,
		Log:       logr.Discard(),
		Table:     r.table,
		Limits:    l,
	})
	s := NewServer(d.Handler(), l)
	listener := newPipeListener()
	go func() { _ = s.Serve(listener) }()
	r.frontends = append(r.frontends, d)
	r.servers = append(r.servers, s)
	return listener
}

func (r *rig) connect(id, _ string) worker.Client {
	for _, w := range r.workers {
		if w.id == id {
			return w
		}
	}
	return nil
}

// close drains the front ends and closes the servers.
func (r *rig) close() error {
	r.client.CloseIdleConnections()
	for i, d := range r.frontends {
		if err := d.Drain(context.Background()); err != nil {
			return err
		}
		if err := r.servers[i].Close(); err != nil {
			return err
		}
	}
	return nil
}

// response is a response as seen by the caller.
type response struct {
	status     int
	outcome    api.Outcome
	code       api.Code
	requestID  string
	repeated   bool
	body       string
	brokenOff  bool // the connection broke before the end of the response
	retryAfter string
}

// callerRequest describes a direct request of a test.
type callerRequest struct {
	host       string
	queue      string
	body       string
	key        string
	idempotent bool
	timeout    time.Duration
	bearer     string
}

// send makes one direct request. Empty host, queue and bearer default to door0, slips and
// the team's key.
func (r *rig) send(ctx context.Context, s callerRequest) response {
	host, queue := orString(s.host, "door0"), orString(s.queue, "slips")
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/run/"+queue, strings.NewReader(s.body))
	req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(s.idempotent))
	if s.timeout > 0 {
		req.Header.Set(api.HeaderTimeout, s.timeout.String())
	}
	if s.key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, s.key)
	}
	if s.bearer != "none" {
		req.Header.Set("Authorization", "Bearer "+orString(s.bearer, testKey))
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return response{brokenOff: true}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	v := response{
		status: resp.StatusCode, outcome: api.Outcome(resp.Header.Get(api.HeaderOutcome)),
		requestID: resp.Header.Get(api.HeaderRequestID), repeated: resp.Header.Get(api.HeaderRepeated) == "true",
		body: string(data), brokenOff: err != nil, retryAfter: resp.Header.Get("Retry-After"),
	}
	if e := decodeError(resp, data); e != nil {
		v.code = e.Code
	}
	return v
}

func orString(s, def string) string {
	if s == "" {
		return def
	}
	return s
}

// pipeListener is a listener for in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

var errListenerClosed = errors.New("listener is closed")

func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errListenerClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errListenerClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.IPAddr{} }
