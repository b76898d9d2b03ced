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
	"cuminloft/internal/intake"
	"cuminloft/internal/jobstore"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/wait"
	"cuminloft/internal/workload"
)

// Adapter is the platform as the process sees it.
type Adapter struct {
	Store     *platform.Health
	Operators platform.Feed[workload.OperatorChange]
	Workers   platform.Feed[workload.WorkerChange]
	Commander workload.Commander
	Advice    workload.Adviser
	Hosts     workload.HostOperator // nil if there is none
	// Callers serves the callers' interface, Readiness the balancer's question.
	Callers   func(handle func(context.Context, intake.Request) intake.Reply) http.Handler
	Readiness func(ready func() bool) http.Handler
}

// Timing of the end of the process and limits of its servers.
const (
	// stopMargin is left of the grace period for ending open requests.
	stopMargin = 1500 * time.Millisecond
	// defaultGrace applies without a setting.
	defaultGrace = 3 * time.Second
	// headerTimeout bounds reading a request's header.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// retentionMargin covers clocks that differ or jump between hosts.
	retentionMargin = 30 * time.Second
	// memoryShare of the limit is what the garbage collector aims to stay under.
	memoryShare = 0.7
	// signalBacklog is how many signals wait to be handled.
	signalBacklog = 8
	// gcPercent lets the heap grow to three times what is live between two
	// collections; it is some 10 MB, far below the limit.
	gcPercent = 200
)

// process is one run of an entry host.
type process struct {
	settings *Settings
	adapter  Adapter
	log      logr.Logger
	metrics  *metrics
	watch    *cellwatch.Watch
	members  *members
	peers    *peers
	elector  *coordinator.Elector
	local    *coordinator.Coordinator
	desk     *intake.Server
	stopping atomic.Bool
	isolated atomic.Pointer[time.Time] // since when; nil unless cut off from the store and all other AZs
}

// Run serves until ctx ends or the process is told to stop, then stops in order.
func Run(ctx context.Context, path string, connect func(*Settings, logr.Logger) Adapter, out io.Writer) error {
	// First of all, so that a signal right after the start does not end the process.
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer signal.Stop(signals)
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
	err = p.run(ctx, path, signals)
	log.Info("stop", "cause", fmt.Sprint(err))
	return err
}

// limitRuntime keeps the Go runtime within the host's limits.
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
	p := &process{settings: s, adapter: a, log: log, metrics: newMetrics()}
	store := a.Store
	jobs := jobstore.Jobs{Store: store, Log: log}
	p.watch = cellwatch.New(a.Operators, a.Store.RecentlyServed, log)
	p.members = newMembers(store, s.Host, member{Address: s.RPCListen, AZ: s.AZ, Share: s.CoreShare, Started: time.Now().UnixMilli()}, log)
	p.peers = newPeers(p.members, log)
	p.local = coordinator.New(coordinator.Coordinator{
		Store: store, Jobs: jobs, Watch: p.watch, Workers: a.Workers, Commander: a.Commander,
		Advisers: func() []coordinator.Adviser { return p.peers.advisers(a.Advice) },
		Log:      log, Observer: p.metrics, Retention: s.Retention() + retentionMargin,
		Undersized: p.members.dwarfed, Hosts: a.Hosts, OrderLease: s.OrderLease(),
	})
	p.elector = &coordinator.Elector{Store: store, Host: s.Host, Address: s.RPCListen, Log: log, Rank: p.members.rank, Undersized: p.members.dwarfed, Lead: p.local.Lead, Probe: p.peers.probe}
	p.peers.elector, p.peers.local = p.elector, p.local
	p.desk = intake.New(intake.Config{
		Jobs: jobs, Watch: p.watch, Dispatcher: p.peers, Relay: p.peers, StoreSuspect: store.Suspect, StoreLost: store.Unreachable,
		MovesIn: p.movesIn, Log: log, Observer: p.metrics,
	})
	return p
}

// ready tells the balancer whether this host takes new connections.
func (p *process) ready() bool {
	return !p.stopping.Load() && p.watch.Cell() != nil && p.isolated.Load() == nil
}

const (
	// isolationPause is the pause between two looks at whether this host is cut off.
	isolationPause = 100 * time.Millisecond
	// balancerTime is how long the platform's balancer takes to notice that a host
	// is not ready: two checks, one a second.
	balancerTime = 2 * time.Second
)

// movesIn returns how long it takes until the balancer sends this host's callers
// elsewhere, 0 if it does not.
func (p *process) movesIn(now time.Time) time.Duration {
	since := p.isolated.Load()
	if since == nil {
		return 0
	}
	return max(0, since.Add(balancerTime).Sub(now))
}

// watchIsolation keeps track of whether this host is cut off from the store and
// from all other AZs, so that callers are better served elsewhere. While the
// store is down for all, hosts stay ready: no other would serve better.
func (p *process) watchIsolation(ctx context.Context) error {
	for ctx.Err() == nil {
		now := time.Now()
		cut := !p.watch.Fresh(now) || p.adapter.Store.Suspect(now)
		isolated := cut && !p.peers.reachesOtherAZ(ctx)
		if was := p.isolated.Load() != nil; was != isolated {
			p.log.Info("isolation", "isolated", isolated)
			if isolated {
				p.isolated.Store(&now)
			} else {
				p.isolated.Store(nil)
			}
		}
		_ = wait.For(ctx, isolationPause) // the loop ends with ctx
	}
	return ctx.Err()
}

// run serves until told to stop.
func (p *process) run(ctx context.Context, path string, signals <-chan os.Signal) error {
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
	// Not in the group: giving the seat up may take longer than the process has.
	go func() {
		defer close(electionEnded)
		_ = p.elector.Run(electorCtx) // ends with its context only
	}()
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case s := <-signals:
				if s == syscall.SIGHUP {
					p.reload(path)
					continue
				}
				kill := time.Now().Add(p.grace())
				p.log.Info("told to stop", "signal", s.String(), "grace", p.grace())
				p.stopping.Store(true)
				p.elector.Resign()
				endElection()
				select {
				case <-electionEnded:
				case <-time.After(time.Until(kill.Add(-stopMargin))):
					p.log.Info("coordinator's seat not given up in time")
				}
				p.drain(ctx, servers, kill)
				cancel()
				return nil
			}
		}
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// grace returns the time between the request to stop and the kill.
func (p *process) grace() time.Duration {
	if g := p.settings.Grace(); g > 0 {
		return g
	}
	return defaultGrace
}

// drain goes on serving while the balancer takes this host out of rotation, then
// finishes open requests.
// The process is killed at the given time.
func (p *process) drain(ctx context.Context, servers []*server, kill time.Time) {
	go func() {
		if err := p.members.leave(ctx); err != nil {
			p.log.Info("host's row not removed", "cause", err.Error())
		}
	}()
	_ = wait.For(ctx, time.Until(kill.Add(-stopMargin))) // ends early only with the process
	end, cancel := context.WithTimeout(context.Background(), stopMargin/2)
	defer cancel()
	for _, s := range servers {
		if err := s.http.Shutdown(end); err != nil {
			p.log.Info("server closed with open requests", "address", s.http.Addr, "cause", err.Error())
		}
	}
}

// reload reads the settings again. Only what can change at run time is taken.
func (p *process) reload(path string) {
	s, err := LoadSettings(path)
	if err != nil {
		p.log.Error(err, "settings not reloaded; the present ones stay in force")
		return
	}
	limitRuntime(s)
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
	service := &peerService{elector: p.elector, local: p.local, advice: p.adapter.Advice, desk: p.desk}
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{p.settings.CallersListen, p.closing(p.adapter.Callers(p.desk.Handle))},
		{p.settings.ReadinessListen, p.adapter.Readiness(p.ready)},
		{p.settings.RPCListen, rpc.NewCellServer(service)},
		{p.settings.MetricsListen, p.metrics.handler()},
	}
	var out []*server
	for _, h := range handlers {
		if h.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", h.address)
		if err != nil {
			return nil, fmt.Errorf("address %s cannot be listened on: %w", h.address, err)
		}
		out = append(out, &server{listener: listener, http: &http.Server{
			Addr: h.address, Handler: h.handler, ReadHeaderTimeout: headerTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}})
	}
	return out, nil
}

// closing tells callers to open new connections, elsewhere, once this host is
// about to stop.
func (p *process) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
