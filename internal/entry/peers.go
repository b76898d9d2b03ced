package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/twitchtv/twirp"

	"cuminloft/internal/coordinator"
	"cuminloft/internal/httpjson"
	"cuminloft/internal/intake"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/rpc"
	"cuminloft/internal/workload"
)

// Calls between entry hosts.
const (
	peerDialTimeout = 400 * time.Millisecond
	relayTimeout    = 1500 * time.Millisecond
	notifyTimeout   = 400 * time.Millisecond
	// isolationProbes hosts of other AZs are asked whether they answer.
	isolationProbes  = 4
	isolationTimeout = 250 * time.Millisecond
	relayHosts       = 2               // how many other hosts are tried
	peerRest         = 2 * time.Second // a host that did not answer is left alone so long
)

// peerDoer sends twirp's requests and tells apart those that were never sent.
type peerDoer struct{ client *http.Client }

// Do implements twirp's HTTPClient.
func (d peerDoer) Do(req *http.Request) (*http.Response, error) { return httpjson.Do(d.client, req) }

// neverSent reports whether a failed call surely had no effect.
func neverSent(err error) bool {
	var transport *httpjson.TransportError
	return errors.As(err, &transport) && !transport.Sent
}

// answered reports whether a failed call was answered, by a refusal.
func answered(err error) bool {
	var refusal twirp.Error
	var transport *httpjson.TransportError
	return errors.As(err, &refusal) && !errors.As(err, &transport)
}

// peers calls the other entry hosts.
type peers struct {
	members *members
	http    *http.Client
	elector *coordinator.Elector
	local   *coordinator.Coordinator
	log     logr.Logger

	mu      sync.Mutex
	clients map[string]rpc.Cell
	rest    map[string]time.Time // by address
	turn    int
}

func newPeers(m *members, log logr.Logger) *peers {
	return &peers{
		members: m, log: log,
		http:    httpjson.NewClientWithOptions(httpjson.Options{DialTimeout: peerDialTimeout}),
		clients: map[string]rpc.Cell{}, rest: map[string]time.Time{},
	}
}

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

// failed leaves a host alone for a while, unless it answered. Its idle connections may
// be dead too.
func (p *peers) failed(address string, err error) {
	if answered(err) {
		return
	}
	p.http.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rest[address] = time.Now().Add(peerRest)
	p.log.V(1).Info("entry host did not answer", "address", address, "cause", err.Error())
}

// works ends the rest of a host that has answered.
func (p *peers) works(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.rest, address)
}

func (p *peers) resting(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.rest[address])
}

var errNoCoordinator = errors.New("coordinator is not known")

// coordinator returns the client of the coordinator's host, or nil and true if
// it is this host.
func (p *peers) coordinatorClient() (client rpc.Cell, address string, self bool, err error) {
	address, self = p.elector.Coordinator()
	if self {
		return nil, "", true, nil
	}
	if address == "" || p.resting(address) {
		return nil, "", false, errNoCoordinator
	}
	return p.client(address), address, false, nil
}

// probe asks a host whether it coordinates.
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
	p.works(address)
	return reply.Epoch, time.Duration(reply.CommitAgeMs) * time.Millisecond, nil
}

// Notify tells the coordinator of a job, in the background.
func (p *peers) Notify(entry jobstore.Entry) {
	client, address, self, err := p.coordinatorClient()
	if self {
		p.local.Notify(entry)
		return
	}
	if err != nil {
		return // the coordinator reads the store as well
	}
	request := &rpc.NotifyRequest{}
	if entry.Cancelled {
		request.Cancelled = entry.ID
	}
	if entry.Job != nil {
		if request.Job, err = json.Marshal(entry.Job); err != nil {
			p.log.Error(err, "job cannot be encoded", "job", entry.ID)
			return
		}
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if _, err := client.Notify(ctx, request); err != nil {
			p.failed(address, err)
		}
	}()
}

// reachesOtherAZ reports whether a host of another AZ answers. It is true where
// there is none.
func (p *peers) reachesOtherAZ(ctx context.Context) bool {
	var far []peer
	for _, other := range p.members.others() {
		if other.AZ != p.members.self.AZ && len(far) < isolationProbes {
			far = append(far, other)
		}
	}
	answered := make(chan bool, len(far))
	ctx, cancel := context.WithTimeout(ctx, isolationTimeout)
	defer cancel()
	for _, other := range far {
		go func() {
			_, err := p.client(other.Address).Probe(ctx, &rpc.ProbeRequest{})
			answered <- err == nil
		}()
	}
	for range far {
		if <-answered {
			return true
		}
	}
	return len(far) == 0
}

// JobState asks the coordinator for a job's state.
func (p *peers) JobState(ctx context.Context, id string, wait time.Duration) (workload.State, bool, error) {
	client, address, self, err := p.coordinatorClient()
	if err != nil {
		return "", false, err
	}
	if self {
		return p.local.JobState(ctx, id, wait)
	}
	reply, err := client.StateOf(ctx, &rpc.StateOfRequest{Job: id, WaitMs: wait.Milliseconds()})
	if err != nil {
		p.failed(address, err)
		return "", false, err
	}
	if !reply.Coordinator {
		return "", false, errNoCoordinator
	}
	return workload.State(reply.State), reply.Found, nil
}

// Pending asks the coordinator for a queue's count.
func (p *peers) Pending(ctx context.Context, queue string) (int, error) {
	client, address, self, err := p.coordinatorClient()
	if err != nil {
		return 0, err
	}
	if self {
		return p.local.Pending(ctx, queue)
	}
	reply, err := client.CountPending(ctx, &rpc.CountPendingRequest{Queue: queue})
	if err != nil {
		p.failed(address, err)
		return 0, err
	}
	if !reply.Coordinator {
		return 0, errNoCoordinator
	}
	return int(reply.Pending), nil
}

// Relay hands a request to other hosts until one takes it.
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
	for _, other := range p.pick(relayHosts) {
		var reply *rpc.RelayReply
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		reply, err = p.client(other.Address).Relay(call, request)
		cancel()
		if err == nil {
			if intake.Outcome(reply.Outcome) == intake.NotRun {
				err = errors.New(reply.Reason)
				continue
			}
			return intake.Reply{
				Outcome: intake.Outcome(reply.Outcome), State: workload.State(reply.State), Pending: int(reply.Pending),
				RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond, Reason: reply.Reason,
				Configuration: reply.Configuration,
			}, nil
		}
		p.failed(other.Address, err)
		if r.Operation == intake.Submit && !neverSent(err) {
			return intake.Reply{Outcome: intake.Unknown, Reason: "relayed: " + err.Error()}, nil
		}
	}
	return intake.Reply{}, err
}

// pick returns n other hosts by turns, leaving out those at rest.
func (p *peers) pick(n int) []peer {
	all := p.members.others()
	p.mu.Lock()
	p.turn++
	turn := p.turn
	p.mu.Unlock()
	var out []peer
	for i := range all {
		other := all[(i+turn)%len(all)]
		if !p.resting(other.Address) && len(out) < n {
			out = append(out, other)
		}
	}
	return out
}

// advisers returns this host and the others as ways to the advice service.
func (p *peers) advisers(own workload.Adviser) []coordinator.Adviser {
	out := []coordinator.Adviser{{Name: p.members.host, Adviser: own}}
	for _, other := range p.members.others() {
		if !p.resting(other.Address) {
			out = append(out, coordinator.Adviser{Name: other.Host, Adviser: remoteAdviser{p, other.Address}})
		}
	}
	return out
}

// remoteAdviser asks the advice service through another host.
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
		a.peers.failed(a.address, err)
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

// peerService answers the other entry hosts.
type peerService struct {
	elector *coordinator.Elector
	local   *coordinator.Coordinator
	advice  workload.Adviser
	desk    *intake.Server
}

// Probe tells whether this host coordinates.
func (s *peerService) Probe(context.Context, *rpc.ProbeRequest) (*rpc.ProbeReply, error) {
	status, leads := s.local.Status()
	return &rpc.ProbeReply{Coordinator: leads, Epoch: status.Epoch, CommitAgeMs: status.CommitAge.Milliseconds()}, nil
}

// Notify takes a hint of a job that was stored or cancelled.
func (s *peerService) Notify(_ context.Context, r *rpc.NotifyRequest) (*rpc.NotifyReply, error) {
	entry := jobstore.Entry{ID: r.Cancelled, Cancelled: true}
	if len(r.Job) > 0 {
		job := new(workload.Job)
		if err := json.Unmarshal(r.Job, job); err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
		entry = jobstore.Entry{ID: job.ID, Job: job}
	}
	s.local.Notify(entry)
	return &rpc.NotifyReply{}, nil
}

// StateOf tells a job's state if this host coordinates.
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

// CountPending counts a queue's waiting jobs if this host coordinates.
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

// Advise asks the advice service from this host.
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

// Relay serves a request that another host could not.
func (s *peerService) Relay(ctx context.Context, r *rpc.RelayRequest) (*rpc.RelayReply, error) {
	request := intake.Request{Operation: intake.Operation(r.Operation), Host: r.Host, Path: r.Path, Key: r.Key, Configuration: r.Configuration}
	if len(r.Job) > 0 {
		request.Job = new(workload.Job)
		if err := json.Unmarshal(r.Job, request.Job); err != nil {
			return nil, twirp.InvalidArgument.Error(err.Error())
		}
	}
	reply := s.desk.ServeRelayed(ctx, request)
	return &rpc.RelayReply{
		Outcome: string(reply.Outcome), State: string(reply.State), Pending: int64(reply.Pending),
		RetryAfterMs: reply.RetryAfter.Milliseconds(), Reason: reply.Reason,
		Configuration: reply.Configuration,
	}, nil
}
