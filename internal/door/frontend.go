// Package door serves callers and operators over HTTP. For each request it
// authenticates, admits, chooses a shard, and tells the caller the truth about
// what became of the request. It owns the state of a request and keeps nothing
// that must outlive it.
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

// Options are the parts that a Door works with.
type Options struct {
	Self      *rpc.Member
	Directory member.Directory
	View      config.View
	// Connect returns a client of a worker; it is called for each attempt and
	// should reuse connections.
	Connect  func(workerID, addr string) worker.Client
	Recorder timeline.Recorder // nil discards
	Log      logr.Logger
	// Table keeps the idempotency records of direct requests; nil refuses
	// requests that carry an idempotency key.
	Table    platform.Table
	Operator Operator
	// OperatorKeys are the hexadecimal SHA-256 hashes of the operators' keys.
	OperatorKeys []string
	Limits       Limits
}

// Limits bound what callers can take of an entry host. Zero values take the
// defaults.
type Limits struct {
	MaxHeaderBytes         int           // of one request
	MaxBody                int64         // bytes of one direct request
	MaxSubmission          int64         // bytes of the body of POST /v1/jobs
	MaxConfig              int64         // bytes of the body of POST /v1/config
	MaxConnections         int           // open connections of callers
	MaxIdleConnections     int           // connections that wait for their next request
	MaxInFlight            int           // direct requests being served
	MaxInFlightPerTeam     int           // direct requests of one team being served
	MaxWaitingPerTeam      int           // direct requests of one team waiting to be served
	BufferedBody           int64         // bytes of a body that are kept for a retry
	BufferedAnswer         int64         // answers up to this size are checked whole before the status is sent
	StoredAnswer           int64         // bytes of an answer kept with an idempotency key
	DefaultTimeout         time.Duration // of a direct request without a timeout of its own
	MaxTimeout             time.Duration // longest that a caller may ask for
	HeaderTimeout          time.Duration // for a caller to send the headers
	IdleTimeout            time.Duration // of a connection between requests
	ProgressTimeout        time.Duration // for a caller to send or take the next piece of a body
	SettleTimeout          time.Duration // for finding out whether a lost attempt started
	MaxAttempts            int           // of one direct request
	RetryRatio             float64       // retries for each first attempt, per team and per process
	RetryFloorPerSec       float64       // retries a second allowed whatever the ratio
	RetryBackoff           time.Duration // before the second attempt; doubles, jittered
	MaxJobWait             time.Duration // longest long poll of GET /v1/jobs/{id}
	MaxIdempotencyKeyBytes int
	KeyLifetime            time.Duration // how long the outcome of an idempotency key is kept
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

// Frontend serves callers and operators.
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
	openRequests sync.WaitGroup // requests and the releases of their tickets
}

// New returns a Door. It starts no goroutine; Run does its background work.
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

// Handler returns the HTTP handler of the caller's and operator's interface.
func (d *Frontend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run/{queue}", d.trackOpen(d.handleRun))
	mux.HandleFunc("POST /v1/jobs", d.trackOpen(d.handleSubmit))
	mux.HandleFunc("GET /v1/jobs", d.trackOpen(d.handleList))
	mux.HandleFunc("GET /v1/jobs/{id}", d.trackOpen(d.handleJob))
	mux.HandleFunc("DELETE /v1/jobs/{id}", d.trackOpen(d.handleCancel))
	d.operatorRoutes(mux)
	return mux
}

// trackOpen refuses requests while draining and lets Drain wait for the others.
func (d *Frontend) trackOpen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !d.beginRequest() {
			w.Header().Set("Connection", "close")
			writeError(w, refuseDraining())
			return
		}
		defer d.openRequests.Done()
		next(w, r)
	}
}

func (d *Frontend) beginRequest() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.openRequests.Add(1)
	return true
}

// Drain refuses new requests as not run and waits until every open request is
// answered and its ticket released.
func (d *Frontend) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.openRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *Frontend) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}
