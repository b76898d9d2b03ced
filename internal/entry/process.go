package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"cuminloft/internal/cellwatch"
	"cuminloft/internal/coordinator"
	"cuminloft/internal/dispatch"
	"cuminloft/internal/intake"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/linkmeter"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/wait"
	"cuminloft/internal/workload"
)

// Adapter holds the process's connections to the platform.
type Adapter struct {
	Store     *platform.Health
	Operators platform.Feed[workload.OperatorChange]
	Workers   platform.Feed[workload.WorkerChange]
	Commander workload.Commander
	Advice    workload.Adviser
	// Rejected records the rows that cannot be used.
	Rejected *platform.RejectedRows
	Hosts    workload.HostOperator // nil if there is none
	// Meter counts the traffic of these connections.
	Meter *linkmeter.Meter
	// Callers serves the callers' API, Readiness the load balancer's readiness check.
	Callers   func(handle func(context.Context, intake.Request) intake.Reply) http.Handler
	Readiness func(ready func() bool) http.Handler
	// ReadJob decodes a job in the callers' format; nil if jobs cannot be explained.
	ReadJob func(io.Reader) (*workload.Job, error)
}

// Timing of the shutdown and limits of the servers.
const (
	// drainMargin is the part of the grace period that is reserved for finishing open
	// requests.
	drainMargin = 1500 * time.Millisecond
	// shutdownTimeout bounds the time to finish open requests.
	shutdownTimeout = drainMargin / 2
	// lastReads is the time before the servers shut down in which requests that have arrived
	// are read. It passes even if the host got no processor until the end of the drain, since
	// shutting down closes connections whose requests are not read.
	lastReads = 200 * time.Millisecond
	// defaultGrace is the grace period without a setting.
	defaultGrace = 3 * time.Second
	// headerTimeout bounds the time to read a request's header.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// retentionMargin covers clocks that differ between hosts, or that jump.
	retentionMargin = 30 * time.Second
	// memoryShare is the share of the memory limit that the garbage collector gets as
	// its soft limit.
	memoryShare = 0.7
	// gcPercent lets the heap grow to three times the live heap between two
	// collections. The live heap is some 10 MB, far below the limit.
	gcPercent = 200
)

// process is one run of an entry host.
type process struct {
	settings  *Settings
	adapter   Adapter
	log       logr.Logger
	metrics   *metrics
	watch     *cellwatch.Watch
	members   *membership
	admission *admission
	peers     *peers
	elector   *coordinator.Elector
	local     *coordinator.Coordinator
	intake    *intake.Server
	stopping  atomic.Bool
	policy    atomic.Pointer[dispatch.Policy]
	isolated  atomic.Pointer[time.Time] // begin of the isolation; nil if the host is not isolated

	ignoredImagePairs atomic.Pointer[[][2]string] // of the settings
}

// Run serves until ctx ends or a signal stops the process, then shuts down in order.
func Run(ctx context.Context, path string, connect func(*Settings, logr.Logger) Adapter, out io.Writer) error {
	// Signals are caught first of all, so that one right after the start does not end
	// the process.
	signals := catchSignals()
	defer signals.release()
	settings, err := LoadSettings(path)
	if err != nil {
		return err
	}
	limitRuntime(settings)
	writer := newLogWriter(out)
	defer writer.close()
	log := newLogger(writer, settings.LogLevel).WithValues("host", settings.Host)
	p := newProcess(settings, connect(settings, log), log)
	log.Info("start", "az", settings.AZ, "callers", settings.CallersListen, "rpc", settings.RPCListen, "store", settings.Store)
	err = p.run(context.WithoutCancel(ctx), path, signals, ctx)
	log.Info("stop", "cause", fmt.Sprint(err))
	return err
}

// hostSignals are the signals that the process has received. Each channel holds one: a
// further one of the same kind adds nothing, and none takes the place of another kind.
type hostSignals struct {
	stop   chan os.Signal
	reload chan os.Signal
}

func catchSignals() hostSignals {
	s := hostSignals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, os.Interrupt)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

func (s hostSignals) release() {
	signal.Stop(s.stop)
	signal.Stop(s.reload)
}

// limitRuntime applies the host's limits to the Go runtime.
func limitRuntime(s *Settings) {
	if s.Cores >= 1 {
		runtime.GOMAXPROCS(int(s.Cores))
	}
	debug.SetGCPercent(gcPercent)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * s.MemoryMB * (1 << 20)))
	}
}

func newProcess(s *Settings, a Adapter, log logr.Logger) *process {
	p := &process{settings: s, adapter: a, log: log}
	p.setPolicy(s)
	store := a.Store
	jobs := jobstore.Jobs{Store: store, Rejected: a.Rejected, LinkBytesPerSecond: s.LinkBytesPerSecond()}
	p.watch = cellwatch.New(a.Operators, a.Store.RecentlyServed, log)
	p.members = newMembership(store, s.Host, hostRow{Address: s.RPCListen, AZ: s.AZ, CoreShare: s.CoreShare, Started: time.Now().UnixMilli()}, log)
	p.members.rejected = a.Rejected
	p.admission = newAdmission(a.Meter, s.LinkBytesPerSecond(), log)
	p.metrics = newMetrics(p.admission, a.Meter, a.Rejected)
	p.peers = newPeers(p.members, p.admission, a.Meter, log)
	starts := newStartRelay(a.Commander, p.peers, s.LinkBytesPerSecond())
	starts.limitStarts(s.DirectStartsPerS)
	p.local = coordinator.New(coordinator.Coordinator{
		Store: store, Jobs: jobs, Watch: p.watch, Workers: a.Workers,
		Commander: starts,
		Advisers:  func() []coordinator.Adviser { return p.peers.advisers(a.Advice) },
		Log:       log, Observer: p.metrics, Retention: s.Retention() + retentionMargin,
		LargerHostUp: p.members.largerHostUp, Policy: func() dispatch.Policy { return *p.policy.Load() }, IgnoredImagePairs: func() [][2]string { return *p.ignoredImagePairs.Load() }, ThinLink: s.thinLink(), Hosts: a.Hosts, OrderLease: s.OrderLease(),
	})
	p.elector = &coordinator.Elector{Store: store, Host: s.Host, Address: s.RPCListen, Log: log, Rank: p.members.rank, Undersized: p.members.undersized, Lead: p.local.Lead, Probe: p.peers.probe}
	p.peers.elector, p.peers.local = p.elector, p.local
	p.intake = intake.New(intake.Config{
		Jobs: jobs, Watch: p.watch, Dispatcher: p.peers, Relay: p.peers, StoreSuspect: store.Suspect, StoreUnreachable: store.Unreachable,
		RerouteDelay: p.rerouteDelay, Admit: p.admission.admit, Log: log, Observer: p.metrics,
	})
	return p
}

// setPolicy puts the scheduling policy of the settings into force.
func (p *process) setPolicy(s *Settings) {
	policy := s.Scheduling.policy()
	p.policy.Store(&policy)
	pairs, err := s.Scheduling.ignoredImagePairs()
	if err != nil {
		pairs = nil // ParseSettings has checked the settings
	}
	p.ignoredImagePairs.Store(&pairs)
}

// ready reports to the load balancer whether this host takes new connections.
func (p *process) ready() bool {
	return !p.stopping.Load() && p.watch.Cell() != nil && p.isolated.Load() == nil
}

const (
	// isolationCheckPause is the pause between two checks of whether this host is isolated.
	isolationCheckPause = 100 * time.Millisecond
	// balancerDelay is the time that the platform's load balancer takes to notice that a
	// host is not ready: two checks, one a second.
	balancerDelay = 2 * time.Second
)

// rerouteDelay returns the time until the load balancer sends this host's callers to
// other hosts; 0 if the host is not isolated.
func (p *process) rerouteDelay(now time.Time) time.Duration {
	since := p.isolated.Load()
	if since == nil {
		return 0
	}
	return max(0, since.Add(balancerDelay).Sub(now))
}

// watchIsolation tracks whether this host is isolated: it reaches neither the store nor
// any host of another AZ, so that other hosts serve its callers better. While the store
// is down for all hosts, they stay ready, since no other host would serve better.
func (p *process) watchIsolation(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		storeUnreachable := !p.watch.Fresh(now) || p.adapter.Store.Suspect(now)
		isolated := storeUnreachable && !p.peers.reachesOtherAZ(ctx)
		if was := p.isolated.Load() != nil; was != isolated {
			p.log.Info("isolation", "isolated", isolated)
			if isolated {
				p.isolated.Store(&now)
			} else {
				p.isolated.Store(nil)
			}
		}
		_ = wait.For(ctx, isolationCheckPause) // the loop ends with ctx
	}
	return ctx.Err()
}

// run serves until a signal stops the process or told ends.
func (p *process) run(ctx context.Context, path string, signals hostSignals, told context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	servers, err := p.listen()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range servers {
		group.Go(func() error { return s.serve() })
	}
	electorCtx, endElection := context.WithCancel(ctx)
	defer endElection()
	electionEnded := make(chan struct{})
	group.Go(func() error { return p.watch.Run(ctx) })
	group.Go(func() error { return p.members.run(ctx) })
	group.Go(func() error { return p.watchIsolation(ctx) })
	group.Go(func() error { return p.reportTraffic(ctx) })
	group.Go(func() error { return p.admission.run(ctx) })
	// The elector does not run in the group, since resigning the leadership may take
	// longer than the grace period.
	go func() {
		defer close(electionEnded)
		_ = p.elector.Run(electorCtx) // ends only with its context
	}()
	// Reloads do not run in the group either: reading the settings has no time limit.
	go p.reloadOnSignal(ctx, path, signals.reload)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-signals.stop:
			p.log.Info("told to stop", "signal", s.String(), "grace", p.grace())
		case <-told.Done():
			p.log.Info("told to stop", "signal", context.Cause(told).Error(), "grace", p.grace())
		}
		kill := time.Now().Add(p.grace())
		p.stopping.Store(true)
		p.elector.Resign()
		endElection()
		select {
		case <-electionEnded:
		case <-time.After(time.Until(kill.Add(-drainMargin))):
			p.log.Info("leadership not resigned within the grace period")
		}
		p.drain(ctx, servers, kill)
		p.log.Info("servers shut down", "left of the grace period", time.Until(kill))
		cancel()
		return nil
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// grace returns the time between SIGTERM and SIGKILL.
func (p *process) grace() time.Duration {
	if g := p.settings.Grace(); g > 0 {
		return g
	}
	return defaultGrace
}

// drain keeps serving while the load balancer takes this host out of rotation, then
// finishes open requests. The platform kills the process at the time kill.
func (p *process) drain(ctx context.Context, servers []*server, kill time.Time) {
	go func() {
		if err := p.members.leave(ctx); err != nil {
			p.log.Info("own host row not removed", "cause", err.Error())
		}
	}()
	// Waiting fails only when the process ends.
	_ = wait.For(ctx, time.Until(kill.Add(-drainMargin-lastReads)))
	_ = wait.For(ctx, min(lastReads, time.Until(kill.Add(-shutdownTimeout))))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(shutdownCtx); err != nil {
			p.log.Info("server shut down with open requests", "address", s.http.Addr, "cause", err.Error())
		}
	}
}

// reloadOnSignal reloads the settings at each signal until ctx ends.
func (p *process) reloadOnSignal(ctx context.Context, path string, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			p.reload(path)
		}
	}
}

// reload reads the settings again and applies those that can change at run time.
func (p *process) reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		p.log.Error(err, "settings not reloaded; the current settings stay in force")
		return
	}
	limitRuntime(s)
	p.setPolicy(s)
	p.log.Info("settings reloaded", "grace_s", s.GraceS, "memory_mb", s.MemoryMB)
}

// server is one listener.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listen opens the listeners.
func (p *process) listen() ([]*server, error) {
	starts := newStartServer(p.adapter.Commander)
	starts.limitRelayedStarts(p.settings.DirectStartsPerS)
	service := &peerService{elector: p.elector, local: p.local, advice: p.adapter.Advice, intake: p.intake, starts: starts,
		admission: p.admission, omitJobs: p.settings.thinLink()}
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{p.settings.CallersListen, p.adapter.Meter.Handler(p.closeConnections(p.adapter.Callers(p.intake.Handle)), "callers")},
		{p.settings.ReadinessListen, p.adapter.Readiness(p.ready)},
		{p.settings.RPCListen, p.adapter.Meter.Handler(rpc.NewCellServer(service), "host calls served")},
		{p.settings.MetricsListen, p.metricsHandler()},
	}
	var out []*server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, fmt.Errorf("cannot listen on address %s: %w", h.address, err)
		}
		out = append(out, &server{listener: listener, http: &http.Server{
			Addr: h.address, Handler: h.handler, ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}})
	}
	return out, nil
}

// closeConnections makes callers open new connections, to other hosts, once this host is
// about to stop.
func (p *process) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
