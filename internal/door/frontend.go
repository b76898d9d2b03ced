// Package door is the HTTP front end of an entry host for callers and operators. It
// authenticates and admits each request, chooses a shard, and reports the outcome to the
// caller; a reported outcome is always true. It holds the state of open requests and no
// state that must survive them.
package door

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"cuminloft/internal/config"
	"cuminloft/internal/member"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
	"cuminloft/internal/worker"
)

// Options configures a Frontend.
type Options struct {
	Self      *rpc.Member
	Directory member.Directory
	View      config.View
	// Connect returns a client for a worker. It is called for each attempt and should
	// reuse connections.
	Connect  func(workerID, addr string) worker.Client
	Recorder timeline.Recorder // nil discards
	Log      logr.Logger
	// Table stores the idempotency records of direct requests. If it is nil, requests
	// with an idempotency key are refused.
	Table    platform.Table
	Operator Operator
	// OperatorKeys are the hexadecimal SHA-256 hashes of the operators' keys.
	OperatorKeys []string
	Limits       Limits
}

// Limits bounds the resources that callers can use on an entry host. Zero values are
// replaced by the defaults.
type Limits struct {
	MaxHeaderBytes         int           // of one request
	MaxBody                int64         // bytes of one direct request
	MaxSubmission          int64         // bytes of the body of POST /v1/jobs
	MaxConfig              int64         // bytes of the body of POST /v1/config
	MaxConnections         int           // open connections of callers
	MaxIdleConnections     int           // idle connections between requests
	MaxInFlight            int           // direct requests in progress
	MaxInFlightPerTeam     int           // direct requests in progress of one team
	MaxWaitingPerTeam      int           // queued direct requests of one team
	BufferedBody           int64         // bytes of a request body buffered for retries
	BufferedAnswer         int64         // bytes; answers up to this size are read and checked completely before the status is sent
	StoredAnswer           int64         // bytes; answers up to this size are stored with an idempotency key
	DefaultTimeout         time.Duration // of a direct request that names no timeout
	MaxTimeout             time.Duration // longest timeout that a caller may request
	HeaderTimeout          time.Duration // for a caller to send the headers
	IdleTimeout            time.Duration // of a connection between requests
	ProgressTimeout        time.Duration // for a caller to send or receive the next part of a body
	SettleTimeout          time.Duration // for settling whether an attempt with a lost answer started
	MaxAttempts            int           // of one direct request
	RetryRatio             float64       // retries per first attempt, for each team and for the process
	RetryFloorPerSec       float64       // retries per second that are allowed in addition to the ratio
	RetryBackoff           time.Duration // before the second attempt; doubles with each attempt, jittered
	MaxJobWait             time.Duration // longest long poll of GET /v1/jobs/{id}
	MaxIdempotencyKeyBytes int
	KeyLifetime            time.Duration // how long the outcome of an idempotency key is stored
}

// Defaults of Limits.
const (
	DefaultMaxHeaderBytes     = 16 << 10
	DefaultMaxBody            = 4 << 30
	DefaultMaxSubmission      = 1 << 20
	DefaultMaxConfig          = 8 << 20
	DefaultMaxConnections     = 20_000
	DefaultMaxIdleConnections = 1500
	DefaultMaxInFlight        = 4096
	DefaultMaxInFlightPerTeam = 2000
	DefaultMaxWaitingPerTeam  = 1024
	DefaultBufferedBody       = 256 << 10
	DefaultBufferedAnswer     = 64 << 10
	DefaultStoredAnswer       = 16 << 10
	DefaultTimeout            = 30 * time.Second
	DefaultMaxTimeout         = time.Hour
	DefaultHeaderTimeout      = 5 * time.Second
	DefaultIdleTimeout        = 2 * time.Minute
	DefaultProgressTimeout    = 10 * time.Second
	DefaultSettleTimeout      = 2 * time.Second
	DefaultMaxAttempts        = 4
	DefaultRetryRatio         = 0.1
	DefaultRetryFloorPerSec   = 1.0
	DefaultRetryBackoff       = 5 * time.Millisecond
	DefaultMaxJobWait         = time.Minute
	DefaultKeyLifetime        = 24 * time.Hour
	DefaultMaxKeyBytes        = 256
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&l.MaxBody, DefaultMaxBody)
	setDefault(&l.MaxSubmission, DefaultMaxSubmission)
	setDefault(&l.MaxConfig, DefaultMaxConfig)
	setDefault(&l.MaxConnections, DefaultMaxConnections)
	setDefault(&l.MaxIdleConnections, DefaultMaxIdleConnections)
	setDefault(&l.MaxInFlight, DefaultMaxInFlight)
	setDefault(&l.MaxInFlightPerTeam, DefaultMaxInFlightPerTeam)
	setDefault(&l.MaxWaitingPerTeam, DefaultMaxWaitingPerTeam)
	setDefault(&l.BufferedBody, DefaultBufferedBody)
	setDefault(&l.BufferedAnswer, DefaultBufferedAnswer)
	setDefault(&l.StoredAnswer, DefaultStoredAnswer)
	setDefault(&l.DefaultTimeout, DefaultTimeout)
	setDefault(&l.MaxTimeout, DefaultMaxTimeout)
	setDefault(&l.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&l.IdleTimeout, DefaultIdleTimeout)
	setDefault(&l.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&l.SettleTimeout, DefaultSettleTimeout)
	setDefault(&l.MaxAttempts, DefaultMaxAttempts)
	setDefault(&l.RetryRatio, DefaultRetryRatio)
	setDefault(&l.RetryFloorPerSec, DefaultRetryFloorPerSec)
	setDefault(&l.RetryBackoff, DefaultRetryBackoff)
	setDefault(&l.MaxJobWait, DefaultMaxJobWait)
	setDefault(&l.KeyLifetime, DefaultKeyLifetime)
	setDefault(&l.MaxIdempotencyKeyBytes, DefaultMaxKeyBytes)
	return l
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Frontend serves the HTTP interface for callers and operators.
type Frontend struct {
	opts          Options
	limits        Limits
	rec           timeline.Recorder
	log           logr.Logger
	retryBudgets  *retryBudgets
	waitEstimator *waitEstimator
	runTimes      *runTimes
	router        *router
	admission     *admission

	mu           sync.Mutex
	draining     bool
	openRequests sync.WaitGroup // open requests and their background work, such as releases of tickets
}

// New returns a Frontend. It starts no goroutine; Run does the background work.
func New(o Options) *Frontend {
	limits := o.Limits.withDefaults()
	rec := o.Recorder
	if rec == nil {
		rec = timeline.Discard{}
	}
	return &Frontend{
		opts:          o,
		limits:        limits,
		rec:           rec,
		log:           o.Log,
		retryBudgets:  newRetryBudgets(limits.RetryRatio, limits.RetryFloorPerSec),
		waitEstimator: newWaitEstimator(),
		runTimes:      newRunTimes(),
		router:        newRouter(o.Directory, o.Self.GetAz()),
		admission:     newAdmission(limits.MaxInFlight, limits.MaxInFlightPerTeam, limits.MaxWaitingPerTeam),
	}
}

// Handler returns the HTTP handler for callers and operators.
func (f *Frontend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run/{queue}", f.trackOpen(f.handleRun))
	mux.HandleFunc("POST /v1/jobs", f.trackOpen(f.handleSubmit))
	mux.HandleFunc("GET /v1/jobs", f.trackOpen(f.handleList))
	mux.HandleFunc("GET /v1/jobs/{id}", f.trackOpen(f.handleJob))
	mux.HandleFunc("DELETE /v1/jobs/{id}", f.trackOpen(f.handleCancel))
	f.operatorRoutes(mux)
	return mux
}

// trackOpen refuses requests while draining; Drain waits for the requests that it admits.
func (f *Frontend) trackOpen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !f.beginRequest() {
			w.Header().Set("Connection", "close")
			writeError(w, refuseDraining())
			return
		}
		defer f.openRequests.Done()
		next(w, r)
	}
}

func (f *Frontend) beginRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.draining {
		return false
	}
	f.openRequests.Add(1)
	return true
}

// Drain refuses new requests with the outcome not_run and waits until every open request
// is answered and its ticket is released.
func (f *Frontend) Drain(ctx context.Context) error {
	f.mu.Lock()
	f.draining = true
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.openRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *Frontend) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}
