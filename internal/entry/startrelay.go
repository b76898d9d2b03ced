package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/twitchtv/twirp"
	"golang.org/x/time/rate"

	"cuminloft/internal/rpc"
	"cuminloft/internal/wait"
	"cuminloft/internal/workload"
)

// Limits of relayed start orders.
const (
	// directStartShare is the share of this host's link that start orders to workers may
	// use. Further orders are relayed; the rest of the link is for heartbeats, commits
	// and feeds.
	directStartShare = 0.05
	// startOrderOverhead is about the size in bytes of a start order without the job's
	// spec.
	startOrderOverhead = 400
	// relayBatchDelay is how long orders for one host are collected.
	relayBatchDelay = 5 * time.Millisecond
	// relayedStartTimeout bounds a worker's answer to a relayed order.
	relayedStartTimeout = 700 * time.Millisecond
	// relayBatchTimeout bounds the call that relays a batch.
	relayBatchTimeout = time.Second
	// overtakenWait is how long an order waits for its job's spec, which an earlier call
	// carries, and overtakenPoll the interval at which it looks for the spec.
	overtakenWait = 100 * time.Millisecond
	overtakenPoll = 5 * time.Millisecond
	// noRelayPeriod is how long no orders are relayed to a host that cannot relay them.
	noRelayPeriod = 30 * time.Second
	// maxKnownSpecs bounds the specs that a host keeps, and those that it assumes
	// another host to keep. A spec has up to 4,000 bytes.
	maxKnownSpecs = 1024
	// senderSpecs is the number of its latest specs that a host is assumed to keep. It is
	// below maxKnownSpecs, since the host may relay for several coordinators in turn.
	senderSpecs = maxKnownSpecs / 2
)

// startRelay is a Commander that relays start orders through other hosts while these
// orders would take more than directStartShare of this host's link, or would be more than
// the set number per second (relaychoice.go). Load pattern:
// hundreds of starts a second, each with its job's spec of 1 kB, at a coordinator with a
// link of 2 Mbit/s. All orders of a job are relayed through the same host, which keeps
// the job's spec, so that the spec is sent once.
type startRelay struct {
	workload.Commander
	hosts  func() []peer // other hosts that may relay
	client func(address string) rpc.Cell
	// failed is called when a relay did not answer a call made with ctx.
	failed func(ctx context.Context, address string, err error)
	log    logr.Logger
	direct *rate.Limiter // bytes of start orders to workers; nil: no limit
	// directCount limits the number of start orders to workers; nil: no limit.
	directCount *rate.Limiter

	mu         sync.Mutex
	relays     map[string]*relayHost // by address
	noRelayFor map[string]time.Time  // by address: end of noRelayPeriod
	choice     relayChoice           // while directCount is set
	// unanswered are the latest runs whose relayed order was not answered; nil unless
	// directCount is set.
	unanswered *lru.Cache[workload.Run, struct{}]
}

func newStartRelay(direct workload.Commander, p *peers, linkBytesPerSecond float64) *startRelay {
	r := &startRelay{
		Commander: direct, client: p.client, failed: p.callFailed, log: p.log,
		relays: map[string]*relayHost{}, noRelayFor: map[string]time.Time{},
		hosts: func() []peer { return p.available() },
	}
	if linkBytesPerSecond > 0 {
		perSecond := directStartShare * linkBytesPerSecond
		r.direct = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
	}
	return r
}

// Start implements workload.Commander.
func (r *startRelay) Start(ctx context.Context, w *workload.Worker, o workload.StartOrder) (int64, error) {
	if r.isRepeat(o.Run) || r.isDirect(time.Now(), startOrderOverhead+len(o.Spec)) {
		return r.Commander.Start(ctx, w, o)
	}
	host := r.relayFor(o.Run.Task.Job)
	if host == nil {
		return r.Commander.Start(ctx, w, o)
	}
	result := make(chan startAnswer, 1)
	host.add(pendingStart{w, o, result})
	select {
	case a := <-result:
		if errors.Is(a.err, errNotRelayed) || r.isCutOff(a.err) {
			r.noteUnanswered(o.Run) // so that a repeat is direct as well
			return r.Commander.Start(ctx, w, o)
		}
		if errors.Is(a.err, workload.ErrNoAnswer) {
			r.noteUnanswered(o.Run)
		}
		return a.clockMS, a.err
	case <-ctx.Done():
		r.noteUnanswered(o.Run)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			r.noteSilent(host)
		}
		return 0, fmt.Errorf("%w: relayed through %s: %w", workload.ErrNoAnswer, host.address, ctx.Err())
	}
}

// relayFor returns the host that relays the orders of a job, or nil if there is none.
func (r *startRelay) relayFor(job string) *relayHost {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	best := ""
	if r.directCount != nil {
		best = r.countRelayFor(job, now)
	} else {
		best = r.linkRelayFor(job, now)
	}
	if best == "" {
		return nil
	}
	return r.relayHostOf(best)
}

// relayHostOf returns the host with an address. The caller holds mu.
func (r *startRelay) relayHostOf(address string) *relayHost {
	host := r.relays[address]
	if host == nil {
		host = &relayHost{relay: r, address: address, specs: newSpecCache(senderSpecs)}
		r.relays[address] = host
	}
	return host
}

// linkRelayFor returns the address of the host that relays the orders of a job while only
// the link limits direct starts, or "" if there is none. It is the host with the highest
// hash, so that most jobs keep their host when others come or go. The caller holds mu.
func (r *startRelay) linkRelayFor(job string, now time.Time) string {
	best, bestHash := "", uint64(0)
	for _, h := range r.hosts() {
		if now.Before(r.noRelayFor[h.Address]) {
			continue
		}
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(job + "/" + h.Address)) // never fails
		if sum := hash.Sum64(); best == "" || sum > bestHash {
			best, bestHash = h.Address, sum
		}
	}
	return best
}

// errNotRelayed: the order was certainly not carried out by the relay.
var errNotRelayed = errors.New("start order was not relayed")

// startAnswer is the answer to a start order.
type startAnswer struct {
	clockMS int64
	err     error
}

// pendingStart is an order that waits for its answer.
type pendingStart struct {
	worker *workload.Worker
	order  workload.StartOrder
	result chan<- startAnswer
}

// relayHost collects and sends the orders that one host relays.
type relayHost struct {
	relay   *startRelay
	address string
	mu      sync.Mutex
	pending []pendingStart
	specs   *lru.Cache[string, string] // by job: specs that the host has been sent
	// silentUntil is set if an order was not answered in time and no call has ended since. It
	// is guarded by relay.mu.
	silentUntil time.Time
}

// add queues an order and, if it is the first one, schedules the batch.
func (h *relayHost) add(p pendingStart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, p)
	if len(h.pending) == 1 {
		time.AfterFunc(relayBatchDelay, h.send)
	}
}

// send relays the collected orders.
func (h *relayHost) send() {
	h.mu.Lock()
	pending := h.pending
	h.pending = nil
	h.mu.Unlock()
	byFence := map[int64][]pendingStart{} // a call has one fence
	for _, p := range pending {
		byFence[p.order.Fence] = append(byFence[p.order.Fence], p)
	}
	unknown := h.unknownSpecs(pending)
	for fence, batch := range byFence {
		go h.sendBatch(batch, fence, unknown)
	}
}

// sendBatch relays orders of one fence and passes on the answers.
func (h *relayHost) sendBatch(batch []pendingStart, fence int64, unknown map[string]bool) {
	request, added := encodeBatch(batch, unknown)
	request.Fence = fence
	ctx, cancel := context.WithTimeout(context.Background(), relayBatchTimeout)
	defer cancel()
	reply, err := h.relay.client(h.address).StartIncarnationRuns(ctx, request)
	h.relay.mu.Lock()
	h.silentUntil = time.Time{}
	h.relay.mu.Unlock()
	if err == nil && len(reply.Results) != len(batch) {
		err = fmt.Errorf("%d results for %d start orders", len(reply.Results), len(batch))
	}
	if err != nil {
		h.sendFailed(ctx, batch, added, err)
		return
	}
	for i, result := range reply.Results {
		err := decodeStartError(result.Error)
		if errors.Is(err, errNotRelayed) {
			h.mu.Lock()
			h.specs.Remove(batch[i].order.Run.Task.Job)
			h.mu.Unlock()
		}
		batch[i].result <- startAnswer{result.ClockMs, err}
	}
}

// sendFailed answers the orders of a batch for which the call failed.
func (h *relayHost) sendFailed(ctx context.Context, batch []pendingStart, added []string, err error) {
	h.relay.failed(ctx, h.address, err)
	h.mu.Lock()
	for _, job := range added {
		h.specs.Remove(job)
	}
	h.mu.Unlock()
	answer := fmt.Errorf("%w: relayed through %s: %w", workload.ErrNoAnswer, h.address, err)
	if notSent(err) || refusedUnread(err) {
		answer = errNotRelayed
	}
	var refusal twirp.Error
	h.relay.mu.Lock()
	if errors.As(err, &refusal) && refusal.Code() == twirp.BadRoute { // an older build
		h.relay.noRelayFor[h.address] = time.Now().Add(noRelayPeriod)
	}
	h.relay.choice = relayChoice{} // without this host, unless it stays available
	h.relay.mu.Unlock()
	h.relay.log.Info("start orders not relayed", "through", h.address, "orders", len(batch), "cause", err.Error())
	for _, p := range batch {
		p.result <- startAnswer{err: answer}
	}
}

// unknownSpecs returns the jobs of these orders whose specs the host has not been sent yet.
// Each call for them carries the spec: calls overtake each other.
func (h *relayHost) unknownSpecs(pending []pendingStart) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	unknown := map[string]bool{}
	for _, p := range pending {
		job := p.order.Run.Task.Job
		if _, known := h.specs.Get(job); !known {
			h.specs.Add(job, "") // the text itself is not needed again
			unknown[job] = true
		}
	}
	return unknown
}

// encodeBatch encodes a batch, with the specs of the jobs that the host does not know. It also
// returns the jobs of these specs.
func encodeBatch(batch []pendingStart, unknown map[string]bool) (request *rpc.StartRunsRequest, added []string) {
	request = &rpc.StartRunsRequest{Specs: map[string]string{}}
	for _, p := range batch {
		o := &p.order
		task := o.Run.Task
		if _, has := request.Specs[task.Job]; unknown[task.Job] && !has {
			added = append(added, task.Job)
			request.Specs[task.Job] = o.Spec
		}
		request.Starts = append(request.Starts, &rpc.RunStart{
			Worker: p.worker.ID, Address: p.worker.Address, Job: task.Job, Occurrence: int32(task.Occurrence),
			Step: int32(task.Step), Index: int32(task.Index), Run: int64(o.Run.Number),
			LeaseUntil: o.LeaseUntil, Incarnation: o.Incarnation, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
	}
	return request, added
}

// newSpecCache returns a cache of at most n specs by job.
func newSpecCache(n int) *lru.Cache[string, string] {
	c, err := lru.New[string, string](n)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
	return c
}

// startServer carries out start orders that the coordinator relays through this host.
type startServer struct {
	commander workload.Commander
	specs     *lru.Cache[string, string] // by job
	timeout   time.Duration              // of the workers' answers
}

func newStartServer(c workload.Commander) *startServer {
	return &startServer{c, newSpecCache(maxKnownSpecs), relayedStartTimeout}
}

// startRuns sends all orders at once and returns the workers' answers.
func (s *startServer) startRuns(ctx context.Context, r *rpc.StartRunsRequest) *rpc.StartRunsReply {
	for job, spec := range r.Specs {
		s.specs.Add(job, spec)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	reply := &rpc.StartRunsReply{Results: make([]*rpc.RunStartResult, len(r.Starts))}
	var wg sync.WaitGroup
	for i, start := range r.Starts {
		wg.Go(func() { reply.Results[i] = s.start(ctx, start, r.Fence) })
	}
	wg.Wait()
	return reply
}

// awaitSpec returns the spec of a job. The call that carries it may be overtaken by a
// later one, which waits for it.
func (s *startServer) awaitSpec(ctx context.Context, job string) (spec string, known bool) {
	ctx, cancel := context.WithTimeout(ctx, overtakenWait)
	defer cancel()
	for {
		if spec, known = s.specs.Get(job); known || wait.For(ctx, overtakenPoll) != nil {
			return spec, known
		}
	}
}

func (s *startServer) start(ctx context.Context, r *rpc.RunStart, fence int64) *rpc.RunStartResult {
	spec, known := s.awaitSpec(ctx, r.Job)
	if !known {
		return &rpc.RunStartResult{Error: startNotRelayed}
	}
	step := workload.StepID{Job: r.Job, Occurrence: int(r.Occurrence), Step: int(r.Step)}
	clock, err := s.commander.Start(ctx, &workload.Worker{ID: r.Worker, Address: r.Address}, workload.StartOrder{
		Run:  workload.Run{Task: workload.TaskID{StepID: step, Index: int(r.Index)}, Number: int(r.Run)},
		Spec: spec, LeaseUntil: r.LeaseUntil, Incarnation: r.Incarnation, Fence: fence, Checkpoint: r.Checkpoint, Ticket: r.Ticket,
	})
	return &rpc.RunStartResult{Error: encodeStartError(err), ClockMs: clock}
}

// Names of the errors of a relayed order. An unknown name counts as no answer.
const (
	startNotRelayed = "not_relayed"
	startUnanswered = "no_answer"
)

// startErrors are the errors of a worker that prove that an order was not carried out.
var startErrors = map[string]error{
	"replaced": workload.ErrReplaced, "restarted": workload.ErrRestarted, "fenced": workload.ErrFenced, "old": workload.ErrRunTooOld,
	"late": workload.ErrLeaseInPast, "capacity": workload.ErrInsufficientCapacity, "ticket": workload.ErrBadTicket,
	"unhealthy": workload.ErrUnhealthy, "malformed": workload.ErrMalformedOrder, startNotRelayed: errNotRelayed,
}

func encodeStartError(err error) string {
	if err == nil {
		return ""
	}
	for name, known := range startErrors {
		if errors.Is(err, known) {
			return name
		}
	}
	return startUnanswered
}

func decodeStartError(name string) error {
	if name == "" {
		return nil
	}
	if err, known := startErrors[name]; known {
		return err
	}
	return fmt.Errorf("%w: relay reports %q", workload.ErrNoAnswer, name)
}
