package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"cuminloft/internal/coordinator"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/intake"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/linkmeter"
	"cuminloft/internal/rpc"
	"cuminloft/internal/workload"
)

// Limits of calls between entry hosts.
const (
	peerDialTimeout = 400 * time.Millisecond
	relayTimeout    = 1500 * time.Millisecond
	notifyTimeout   = 400 * time.Millisecond
	// coordinatorTimeout bounds a query of the coordinator, on top of the time that it may
	// wait for a job's end.
	coordinatorTimeout = 500 * time.Millisecond
	// isolationProbes is the number of hosts of other AZs that are probed to find out
	// whether this host is isolated.
	isolationProbes  = 4
	isolationTimeout = 250 * time.Millisecond
	relayHosts       = 2               // number of other hosts that a relay tries
	peerBackoff      = 2 * time.Second // time without calls to a host that did not answer
)

// peerDoer sends twirp's requests. Its errors show whether a request was sent. It returns
// complete answers only: twirp reports an answer that breaks off like an error that the
// called host answered.
type peerDoer struct{ client *http.Client }

// Do implements twirp's HTTPClient.
func (d peerDoer) Do(req *http.Request) (*http.Response, error) {
	resp, err := httpjson.Do(d.client, req)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, httpjson.MaxReplyBytes))
	_ = resp.Body.Close()
	if err == nil {
		err = req.Context().Err() // twirp discards an answer that comes too late
	}
	if err != nil {
		return nil, &httpjson.TransportError{Sent: true, Err: err}
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// notSent reports whether a failed call was not sent, so that it had no effect.
func notSent(err error) bool {
	var transport *httpjson.TransportError
	return errors.As(err, &transport) && !transport.Sent
}

// wasAnswered reports whether the called host answered a failed call with an error.
func wasAnswered(err error) bool {
	var refusal twirp.Error
	var transport *httpjson.TransportError
	return errors.As(err, &refusal) && !errors.As(err, &transport)
}

// refusedUnread reports whether the called host does not serve a failed call, or could not
// read it, so that it had no effect.
func refusedUnread(err error) bool {
	var refusal twirp.Error
	return errors.As(err, &refusal) && (refusal.Code() == twirp.BadRoute || refusal.Code() == twirp.Malformed)
}

// peers calls the other entry hosts.
type peers struct {
	members   *membership
	http      *http.Client
	elector   *coordinator.Elector
	local     *coordinator.Coordinator
	log       logr.Logger
	admission *admission

	mu           sync.Mutex
	clients      map[string]rpc.Cell
	omitJobs     map[string]bool      // by address: notifications to the host leave out the job
	backoffUntil map[string]time.Time // by address
	lastPick     int
}

func newPeers(m *membership, a *admission, meter *linkmeter.Meter, log logr.Logger) *peers {
	return &peers{
		members: m, log: log, admission: a,
		http:    meter.Client(httpjson.NewClientWithOptions(httpjson.Options{DialTimeout: peerDialTimeout}), peerPurpose),
		clients: map[string]rpc.Cell{}, omitJobs: map[string]bool{}, backoffUntil: map[string]time.Time{},
	}
}

// peerPurpose returns the purpose of a call to another host, derived from the RPC's name.
func peerPurpose(urlPath string) string { return "host calls: " + path.Base(urlPath) }

func (p *peers) client(address string) rpc.Cell {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = rpc.NewCellProtobufClient("http://"+address, peerDoer{p.http})
		p.clients[address] = c
	}
	return c
}

// callFailed handles a failed call that was made with ctx. Unless the host answered, it
// suspends calls to the host for peerBackoff and closes idle connections, which may be dead
// as well. A call that was cancelled says nothing about the host. Load pattern: callers
// that leave while the host is at work for them.
func (p *peers) callFailed(ctx context.Context, address string, err error) {
	if wasAnswered(err) || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	p.http.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil[address] = time.Now().Add(peerBackoff)
	p.log.V(1).Info("entry host did not answer", "address", address, "cause", err.Error())
}

// requestFailed handles a call that failed on behalf of a caller's request with the context
// ctx. If that has ended, the host had less than the usual time to answer.
func (p *peers) requestFailed(ctx context.Context, address string, err error) {
	if ctx.Err() == nil {
		p.callFailed(ctx, address, err)
	}
}

// resetBackoff resumes calls to a host that has answered.
func (p *peers) resetBackoff(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.backoffUntil, address)
}

func (p *peers) inBackoff(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.backoffUntil[address])
}

var errNoCoordinator = errors.New("coordinator is not known")

// coordinatorClient returns a client of the coordinator's host and that host's address.
// If this host is the coordinator, it returns self = true and no client.
func (p *peers) coordinatorClient() (client rpc.Cell, address string, self bool, err error) {
	address, self = p.elector.Coordinator()
	if self {
		return nil, "", true, nil
	}
	if address == "" || p.inBackoff(address) {
		return nil, "", false, errNoCoordinator
	}
	return p.client(address), address, false, nil
}

// probe asks a host whether it is the coordinator. It returns the coordinator's epoch and
// the age of its last commit.
func (p *peers) probe(ctx context.Context, address string) (int64, time.Duration, error) {
	reply, err := p.client(address).Probe(ctx, &rpc.ProbeRequest{})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return 0, 0, fmt.Errorf("%w: %w", coordinator.ErrConnectionRefused, err)
	}
	if err != nil {
		p.http.CloseIdleConnections()
		return 0, 0, err
	}
	if !reply.Coordinator {
		return 0, 0, errNoCoordinator
	}
	p.resetBackoff(address)
	p.admission.setLeader(reply.RefusePermille)
	return reply.Epoch, time.Duration(reply.CommitAgeMs) * time.Millisecond, nil
}

// Notify reports a stored or cancelled job to the coordinator, in the background.
func (p *peers) Notify(entry jobstore.Entry) {
	client, address, self, err := p.coordinatorClient()
	if self {
		p.local.Notify(entry)
		return
	}
	if err != nil {
		return // the coordinator finds the job in the store
	}
	request := &rpc.NotifyRequest{}
	if entry.Cancelled {
		request.Cancelled = entry.ID
	}
	if entry.Job != nil && !p.omitsJob(address) {
		if request.Job, err = json.Marshal(entry.Job); err != nil {
			p.log.Error(err, "job cannot be encoded", "job", entry.ID)
			return
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		reply, err := client.Notify(ctx, request)
		if err != nil {
			p.callFailed(ctx, address, err)
			return
		}
		p.admission.setLeader(reply.RefusePermille)
		p.mu.Lock()
		p.omitJobs[address] = reply.OmitJob
		p.mu.Unlock()
	}()
}

// omitsJob reports whether notifications to a host leave out the job.
func (p *peers) omitsJob(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.omitJobs[address]
}

// reachesOtherAZ reports whether a host of another AZ answers. It is true if no host of
// another AZ is known.
func (p *peers) reachesOtherAZ(ctx context.Context) bool {
	var remote []peer
	for _, other := range p.members.others() {
		if other.AZ != p.members.self.AZ && len(remote) < isolationProbes {
			remote = append(remote, other)
		}
	}
	answered := make(chan bool, len(remote))
	ctx, cancel := context.WithTimeout(ctx, isolationTimeout)
	defer cancel()
	for _, other := range remote {
		go func() {
			_, err := p.client(other.Address).Probe(ctx, &rpc.ProbeRequest{})
			answered <- err == nil
		}()
	}
	for range remote {
		if <-answered {
			return true
		}
	}
	return len(remote) == 0
}

// JobState implements intake.Dispatcher.
func (p *peers) JobState(ctx context.Context, id string, wait time.Duration) (workload.State, bool, error) {
	client, address, self, err := p.coordinatorClient()
	if err != nil {
		return "", false, err
	}
	call, cancel := context.WithTimeout(ctx, coordinatorTimeout+wait)
	defer cancel()
	if self {
		return p.local.JobState(call, id, wait)
	}
	reply, err := client.StateOf(call, &rpc.StateOfRequest{Job: id, WaitMs: wait.Milliseconds()})
	if err != nil {
		p.requestFailed(ctx, address, err)
		return "", false, err
	}
	if !reply.Coordinator {
		return "", false, errNoCoordinator
	}
	return workload.State(reply.State), reply.Found, nil
}

// Pending implements intake.Dispatcher.
func (p *peers) Pending(ctx context.Context, queue string) (int, error) {
	client, address, self, err := p.coordinatorClient()
	if err != nil {
		return 0, err
	}
	call, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	if self {
		return p.local.Pending(call, queue)
	}
	reply, err := client.CountPending(call, &rpc.CountPendingRequest{Queue: queue})
	if err != nil {
		p.requestFailed(ctx, address, err)
		return 0, err
	}
	if !reply.Coordinator {
		return 0, errNoCoordinator
	}
	return int(reply.Pending), nil
}

// Relay sends a request to other hosts in turn until one handles it. A submission that is not
// answered is not sent again. A cancellation is, since repeating it does no harm; unless it
// is accepted then, its outcome is Unknown.
func (p *peers) Relay(ctx context.Context, r intake.Request) (intake.Reply, error) {
	request := &rpc.RelayRequest{Operation: string(r.Operation), Host: r.Host, Path: r.Path, Key: r.Key, Configuration: r.Configuration}
	if r.Job != nil {
		data, err := json.Marshal(r.Job)
		if err != nil {
			return intake.Reply{}, fmt.Errorf("job cannot be encoded: %w", err)
		}
		request.Job = data
	}
	err := errors.New("no other host is known")
	var lost error // of a call that may have had an effect
	for _, other := range p.pick(relayHosts) {
		var reply intake.Reply
		reply, err = p.relayTo(ctx, other.Address, request)
		switch {
		case err == nil && reply.Outcome == intake.NotRun:
			err = errors.New(reply.Reason)
		case err == nil && (lost == nil || reply.Outcome == intake.Accepted):
			return reply, nil
		case err != nil && r.Operation != intake.Query && !notSent(err):
			lost = err
		}
		if lost != nil && r.Operation == intake.Submit {
			break
		}
	}
	if lost != nil {
		return intake.Reply{Outcome: intake.Unknown, Reason: "relayed: " + lost.Error()}, nil
	}
	return intake.Reply{}, err
}

// relayTo sends a request to one host.
func (p *peers) relayTo(ctx context.Context, address string, request *rpc.RelayRequest) (intake.Reply, error) {
	if err := ctx.Err(); err != nil {
		return intake.Reply{}, &httpjson.TransportError{Err: err}
	}
	call, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	reply, err := p.client(address).Relay(call, request)
	if err != nil {
		p.requestFailed(ctx, address, err)
		return intake.Reply{}, err
	}
	outcome := intake.Outcome(reply.Outcome)
	if !outcome.Known() {
		return intake.Reply{}, fmt.Errorf("answer has the outcome %q, which this host does not know", reply.Outcome)
	}
	return intake.Reply{
		Outcome: outcome, State: workload.State(reply.State), Pending: int(reply.Pending),
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond, Reason: reply.Reason,
		Configuration: reply.Configuration,
	}, nil
}

// pick returns up to n other hosts in round-robin order, without those in backoff.
func (p *peers) pick(n int) []peer {
	all := p.members.others()
	p.mu.Lock()
	p.lastPick++
	first := p.lastPick
	p.mu.Unlock()
	var out []peer
	for i := range all {
		other := all[(i+first)%len(all)]
		if !p.inBackoff(other.Address) && len(out) < n {
			out = append(out, other)
		}
	}
	return out
}

// available returns the other hosts that are not in backoff.
func (p *peers) available() []peer {
	var out []peer
	for _, other := range p.members.others() {
		if !p.inBackoff(other.Address) {
			out = append(out, other)
		}
	}
	return out
}

// advisers returns a connection to the advice service from this host, and one through
// each other host that is not in backoff.
func (p *peers) advisers(own workload.Adviser) []coordinator.Adviser {
	out := []coordinator.Adviser{{Name: p.members.host, Adviser: own}}
	for _, other := range p.available() {
		out = append(out, coordinator.Adviser{Name: other.Host, Adviser: remoteAdviser{p, other.Address}})
	}
	return out
}

// remoteAdviser calls the advice service through another host.
type remoteAdviser struct {
	peers   *peers
	address string
}

// Advise implements workload.Adviser.
func (a remoteAdviser) Advise(ctx context.Context, step workload.StepID, workers []string) ([]workload.Ticket, error) {
	reply, err := a.peers.client(a.address).Advise(ctx, &rpc.AdviseRequest{
		Job: step.Job, Occurrence: int32(step.Occurrence), Step: int32(step.Step), Workers: workers,
	})
	if err != nil {
		a.peers.callFailed(ctx, a.address, err)
		return nil, fmt.Errorf("%w: %w", workload.ErrAdviceFailed, err)
	}
	if reply.Busy {
		return nil, workload.ErrAdviceBusy
	}
	out := make([]workload.Ticket, 0, len(reply.Allowed))
	for _, t := range reply.Allowed {
		out = append(out, workload.Ticket{Worker: t.Worker, Token: t.Text})
	}
	return out, nil
}

// peerService serves calls of the other entry hosts.
type peerService struct {
	elector   *coordinator.Elector
	local     *coordinator.Coordinator
	advice    workload.Adviser
	intake    *intake.Server
	starts    *startServer
	admission *admission
	omitJobs  bool // notifications to this host leave out the job
}

// StartRuns sends start orders to workers on behalf of a coordinator of an older build.
func (s *peerService) StartRuns(ctx context.Context, r *rpc.StartRunsRequest) (*rpc.StartRunsReply, error) {
	return s.starts.startRuns(ctx, r), nil
}

// StartIncarnationRuns sends start orders to workers on behalf of the coordinator.
func (s *peerService) StartIncarnationRuns(ctx context.Context, r *rpc.StartRunsRequest) (*rpc.StartRunsReply, error) {
	return s.starts.startRuns(ctx, r), nil
}

// Probe reports whether this host is the coordinator.
func (s *peerService) Probe(context.Context, *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	status, leads := s.local.Status()
	return &rpc.ProbeReply{Coordinator: leads, Epoch: status.Epoch, CommitAgeMs: status.CommitAge.Milliseconds(), RefusePermille: s.admission.refusedPermille()}, nil
}

// Notify receives the report that a job was stored or cancelled.
func (s *peerService) Notify(_ context.Context, r *rpc.NotifyRequest) (*rpc.NotifyReply, error) {
	reply := &rpc.NotifyReply{RefusePermille: s.admission.refusedPermille(), OmitJob: s.omitJobs}
	if len(r.Job) == 0 && r.Cancelled == "" {
		return reply, nil // the coordinator reads the job from the store
	}
	entry := jobstore.Entry{ID: r.Cancelled, Cancelled: true}
	if len(r.Job) > 0 {
		job := new(workload.Job)
		if err := json.Unmarshal(r.Job, job); err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
		entry = jobstore.Entry{ID: job.ID, Job: job}
	}
	s.local.Notify(entry)
	return reply, nil
}

// StateOf returns a job's state if this host is the coordinator.
func (s *peerService) StateOf(ctx context.Context, r *rpc.StateOfRequest) (*rpc.StateOfReply, error) {
	if _, self := s.elector.Coordinator(); !self {
		return &rpc.StateOfReply{}, nil
	}
	state, found, err := s.local.JobState(ctx, r.Job, time.Duration(r.WaitMs)*time.Millisecond)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &rpc.StateOfReply{Coordinator: true, Found: found, State: string(state)}, nil
}

// CountPending returns the number of a queue's pending jobs if this host is the
// coordinator.
func (s *peerService) CountPending(ctx context.Context, r *rpc.CountPendingRequest) (*rpc.CountPendingReply, error) {
	if _, self := s.elector.Coordinator(); !self {
		return &rpc.CountPendingReply{}, nil
	}
	n, err := s.local.Pending(ctx, r.Queue)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &rpc.CountPendingReply{Coordinator: true, Pending: int64(n)}, nil
}

// Advise calls the advice service on behalf of another host.
func (s *peerService) Advise(ctx context.Context, r *rpc.AdviseRequest) (*rpc.AdviseReply, error) {
	step := workload.StepID{Job: r.Job, Occurrence: int(r.Occurrence), Step: int(r.Step)}
	tickets, err := s.advice.Advise(ctx, step, r.Workers)
	if errors.Is(err, workload.ErrAdviceBusy) {
		return &rpc.AdviseReply{Busy: true}, nil
	}
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	reply := &rpc.AdviseReply{}
	for _, t := range tickets {
		reply.Allowed = append(reply.Allowed, &rpc.TicketOf{Worker: t.Worker, Text: t.Token})
	}
	return reply, nil
}

// Relay handles a request that another host relayed.
func (s *peerService) Relay(ctx context.Context, r *rpc.RelayRequest) (*rpc.RelayReply, error) {
	request := intake.Request{Operation: intake.Operation(r.Operation), Host: r.Host, Path: r.Path, Key: r.Key, Configuration: r.Configuration}
	if len(r.Job) > 0 {
		request.Job = new(workload.Job)
		if err := json.Unmarshal(r.Job, request.Job); err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
	}
	reply := s.intake.HandleRelayed(ctx, request)
	return &rpc.RelayReply{
		Outcome: string(reply.Outcome), State: string(reply.State), Pending: int64(reply.Pending),
		RetryAfterMs: reply.RetryAfter.Milliseconds(), Reason: reply.Reason,
		Configuration: reply.Configuration,
	}, nil
}
