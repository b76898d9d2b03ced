// Package grant divides each team's upper limit among the shards. One table row per
// team holds the amounts of all shards; every write keeps their sum within the limit. A
// shard's owner starts only what the shard's amount allows.
//
// An amount is raised first in the table and then in the scheduling core, and lowered
// first in the core and then in the table, so that at every moment the cores together
// allow no more than the table grants.
package grant

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/timeline"
)

// Timing of grants.
const (
	// reviewInterval is the interval between two reviews of each team's usage and
	// demand.
	reviewInterval = time.Second
	// IdleTimeout is how long an amount stays unused before the shard gives it back
	// unasked. Another shard that needs it earlier requests it and receives it at once.
	IdleTimeout = time.Minute
	// minIdleOnRequest is how long an amount must be unused before it is given back on
	// request.
	minIdleOnRequest = 5 * time.Second
	// giveBackInterval is the minimum time between two rounds of requests to other
	// shards for one team.
	giveBackInterval = time.Second
	// giveBackTimeout bounds one request to another shard.
	giveBackTimeout = 500 * time.Millisecond
	// yieldTime is how long a shard uses no more than its equal share after another
	// shard has requested more than it could give back.
	yieldTime = 5 * time.Second
	// GrowthDelay is how long after a limit was first accepted no amount grows, so that
	// every shard can record what it runs already.
	GrowthDelay = 10 * time.Second
	// ChangesPerSecond and changeBurst bound a shard's attempts to change grant rows,
	// each of which is one read and at most one write.
	ChangesPerSecond = 4
	changeBurst      = 32
	// readTimeout bounds one read of grant rows at the start.
	readTimeout = 2 * time.Second
	// changeTimeout bounds one change of a row with all its retries.
	changeTimeout = 5 * time.Second
	// minBackoff and maxBackoff bound the pause after a change of a row that failed or
	// had no effect.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// The slack that is kept beyond the demand is the equal share divided by
	// slackDivisor.
	slackDivisor = 4
)

// ErrNotOwner is returned if the shard has another owner by now.
var ErrNotOwner = errors.New("another host owns the shard")

var counters = expvar.NewMap("grant")

// Limits is the part of the configuration that the holder needs; *configsync.Sync
// implements it.
type Limits interface {
	Effective() (*config.Config, config.Version)
	Accepted() (*config.Config, config.Version)
	Changed() <-chan struct{}
}

// TeamUsage is a team's usage and demand on the shard.
type TeamUsage struct {
	Team    string
	Used    model.Resources // running, starting, or possibly running
	Pending model.Resources // waiting for capacity
}

// Core is the part of the shard's owner that the holder needs.
type Core interface {
	// ApplyGrants puts the amounts of Granted in force for all teams and returns the
	// teams' usage from then on. It fails while the owner does not yet know all that
	// runs on the shard.
	ApplyGrants(ctx context.Context) ([]TeamUsage, error)
}

// Options are the dependencies of a Holder.
type Options struct {
	Shard  string
	Table  platform.Table
	Limits Limits
	// RequestGiveBack requests from the owner of another shard a part of its amount.
	RequestGiveBack func(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error)
	Recorder        timeline.Recorder
	Log             logr.Logger
}

// Holder manages a shard's amounts for as long as the shard is owned. One goroutine,
// Run, owns the state; table calls run in goroutines of their own, at most one per
// team, and report to it.
type Holder struct {
	opts        Options
	published   atomic.Pointer[published]
	inbox       chan any
	demandAdded chan struct{} // signalled when demands is not empty
	mu          sync.Mutex
	demands     map[string]model.Resources
	changes     *rate.Limiter
	ownerCheck  platform.Write // condition that this process still owns the shard

	// Owned by Run.
	core      Core
	teams     map[string]*team
	effective *config.Config // as last processed
	accepted  *config.Config
	group     *errgroup.Group // runs the goroutines that Run starts
}

// sharesRequested is the message that the requests to other shards for a team have
// ended.
type sharesRequested struct{ team string }

// published is the state that the owner reads.
type published struct {
	grants  map[string]grant
	changed chan struct{}
}

// grant is one team's amount in force and the limit for which it was determined.
type grant struct {
	amount model.Resources
	limit  model.Resources
}

// team is the holder's state of one team.
type team struct {
	name          string
	limitKnown    bool            // limit and equalShare are set
	limit         model.Resources // effective limit
	acceptedLimit model.Resources // limit of the accepted configuration
	equalShare    model.Resources // limit divided by the number of shards

	recorded     model.Resources  // the shard's amount in the row, by the last read or write whose outcome is known
	loweredTo    *model.Resources // lower amount in force while a lowering of the row is not confirmed
	frozen       bool             // the limit was lowered; no task starts until the sum is within it
	freezes      int              // number of times that the amount was frozen
	writePending bool             // a write may still be applied; only another write rules that out
	changing     bool             // a change of the row is in progress
	changedAt    time.Time        // when recorded last changed
	backoff      time.Duration
	retryAt      time.Time

	demand         model.Resources
	peaks          []peak
	yieldUntil     time.Time // the shard uses no more than its equal share until then
	noGrowthBefore time.Time
	requestedAt    time.Time // when other shards were last sent requests
	giveBacks      []giveBackRequest
}

// peak is a team's demand at one moment.
type peak struct {
	at     time.Time
	demand model.Resources
}

// giveBackRequest is another shard's request.
type giveBackRequest struct {
	team  string
	want  model.Resources
	reply chan model.Resources
}

// usageReported is the message with the usage that the core returned.
type usageReported struct{ usage []TeamUsage }

// changeDone is the message that a change of a row has ended.
type changeDone struct {
	team    string
	row     Row
	err     error
	freezes int // the team's freezes when the change began
}

// New returns a holder without any amounts until Run has read the table.
func New(opts Options) *Holder {
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	h := &Holder{
		opts:        opts,
		inbox:       make(chan any, 64),
		demandAdded: make(chan struct{}, 1),
		demands:     map[string]model.Resources{},
		changes:     rate.NewLimiter(ChangesPerSecond, changeBurst),
		teams:       map[string]*team{},
	}
	h.published.Store(&published{changed: make(chan struct{})})
	return h
}

// Granted returns the shard's amount of the team, and false if no task of the team may
// start. Zero components are unlimited; a negative component is limited and the shard
// has nothing of it. An amount that was determined for a higher limit is no longer in
// force.
func (h *Holder) Granted(team string) (model.Resources, bool) {
	cfg, _ := h.opts.Limits.Effective()
	if cfg == nil {
		return model.Resources{}, false
	}
	t, ok := cfg.Team(team)
	if !ok {
		return model.Resources{}, false
	}
	if t.Limit.IsZero() {
		return model.Resources{}, true
	}
	g, known := h.published.Load().grants[team]
	if !known || lowered(g.limit, t.Limit) || g.amount.IsZero() {
		return model.Resources{}, false
	}
	return inForce(g.amount, t.Limit), true
}

// Changed returns a channel that is closed at the next change of any amount.
func (h *Holder) Changed() <-chan struct{} { return h.published.Load().changed }

// Request requests an amount for the given total usage. It returns at once; Changed
// signals when the amount has grown.
func (h *Holder) Request(team string, total model.Resources) {
	h.mu.Lock()
	h.demands[team] = total
	h.mu.Unlock()
	select {
	case h.demandAdded <- struct{}{}:
	default:
	}
}

// GiveBack answers another shard's request: it returns what was given back in the
// table. The shard keeps what the team uses or needs up to the equal share.
func (h *Holder) GiveBack(ctx context.Context, team string, want model.Resources) (model.Resources, error) {
	g := giveBackRequest{team: team, want: want, reply: make(chan model.Resources, 1)}
	select {
	case h.inbox <- g:
	case <-ctx.Done():
		return model.Resources{}, ctx.Err()
	}
	select {
	case given := <-g.reply:
		return given, nil
	case <-ctx.Done():
		return model.Resources{}, ctx.Err()
	}
}

// Run reads the shard's amounts from the table and manages them until ctx ends or the
// shard is lost (ErrNotOwner). The owner row's version is a condition of every write,
// so that a replaced owner changes nothing.
func (h *Holder) Run(ctx context.Context, core Core, ownerKey string, ownerVersion int64) error {
	h.core = core
	h.ownerCheck = platform.Write{Key: ownerKey, IfVersion: ownerVersion, CheckOnly: true}
	group, ctx := errgroup.WithContext(ctx)
	h.group = group
	group.Go(func() error { return h.loop(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (h *Holder) loop(ctx context.Context) error {
	if err := h.load(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		changed := h.opts.Limits.Changed()
		h.updateLimits(ctx)
		h.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
			h.review(ctx)
		case <-h.demandAdded:
			h.takeDemands(ctx)
		case m := <-h.inbox:
			if err := h.handle(ctx, m); err != nil {
				return err
			}
		}
	}
}

func (h *Holder) handle(ctx context.Context, message any) error {
	switch m := message.(type) {
	case giveBackRequest:
		h.handleGiveBack(ctx, m)
	case usageReported:
		h.handleUsage(ctx, m.usage)
	case changeDone:
		return h.handleChangeDone(ctx, m)
	case sharesRequested:
		h.grow(ctx, h.team(m.team))
	}
	return nil
}

// publish makes the amounts in force visible to the owner if any changed.
func (h *Holder) publish() {
	current := h.published.Load()
	same := len(h.teams) == len(current.grants)
	for name, t := range h.teams {
		same = same && current.grants[name] == t.grant()
	}
	if same {
		return
	}
	next := make(map[string]grant, len(h.teams))
	for name, t := range h.teams {
		next[name] = t.grant()
	}
	h.published.Store(&published{grants: next, changed: make(chan struct{})})
	close(current.changed)
}

func (t *team) grant() grant { return grant{amount: t.allowed(), limit: t.limit} }

// allowed returns the amount in force at the core.
func (t *team) allowed() model.Resources {
	switch {
	case t.frozen:
		return model.Resources{}
	case t.loweredTo != nil:
		return t.recorded.Min(*t.loweredTo)
	case time.Now().Before(t.yieldUntil):
		return t.recorded.Min(t.equalShare)
	}
	return t.recorded
}
