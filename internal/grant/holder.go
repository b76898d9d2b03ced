// Package grant divides each team's upper limit over the shards. One table row
// per team holds the amounts of all shards; every write keeps their sum within
// the limit. A shard's owner starts only what the shard's amount allows.
//
// An amount is raised first in the table and then in the core, and lowered
// first in the core and then in the table, so that at every moment the cores
// together allow no more than the table grants.
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
	// reviewInterval separates two looks at what each team uses and needs.
	reviewInterval = time.Second
	// IdleAfter is how long an amount stays unused before it is given back
	// unasked. Another shard that needs it asks and gets it at once.
	IdleAfter = time.Minute
	// askedIdle is how long an amount must be unused to be given when asked.
	askedIdle = 5 * time.Second
	// askInterval is how often at most other shards are asked for one team.
	askInterval = time.Second
	// askTimeout bounds one question to another shard.
	askTimeout = 500 * time.Millisecond
	// yieldFor is how long a shard holds no more than its even part after
	// another shard asked.
	yieldFor = 5 * time.Second
	// DeclareDelay is how long after a limit first became final no amount grows,
	// so that every shard can record what it runs already.
	DeclareDelay = 10 * time.Second
	// ChangesPerSecond and changeBurst bound a shard's attempts to change grant
	// rows, each of which is one read and at most one write.
	ChangesPerSecond = 4
	changeBurst      = 32
	// tableTimeout bounds the read of the rows at the start.
	tableTimeout = 2 * time.Second
	// moveTimeout bounds one change of a row with all its repeats.
	moveTimeout = 5 * time.Second
	// firstBackoff and lastBackoff bound the pause after a change of a row that
	// failed or brought nothing.
	firstBackoff = time.Second
	lastBackoff  = 8 * time.Second
	// slackPart is the part of an even part that is kept beyond what is needed.
	slackPart = 4
)

// ErrNotOwner is returned if the shard has another owner by now.
var ErrNotOwner = errors.New("another host owns the shard")

var counters = expvar.NewMap("grant")

// Limits is the configuration as the holder needs it; *configsync.Sync is one.
type Limits interface {
	Effective() (*config.Config, config.Version)
	Accepted() (*config.Config, config.Version)
	Changed() <-chan struct{}
}

// TeamUsage is what a team has on the shard.
type TeamUsage struct {
	Team    string
	Used    model.Resources // running, starting, or possibly running
	Pending model.Resources // waiting
}

// Core is the shard's owner as the holder sees it.
type Core interface {
	// ApplyGrants puts the amounts of Held in force for all teams, and returns what the
	// teams use from then on. It fails while the owner does not yet know all
	// that runs on the shard.
	ApplyGrants(ctx context.Context) ([]TeamUsage, error)
}

// Options are what a Holder needs.
type Options struct {
	Shard  string
	Table  platform.Table
	Limits Limits
	// RequestGiveBack asks the owner of another shard to give back a part of its amount.
	RequestGiveBack func(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error)
	Recorder        timeline.Recorder
	Log             logr.Logger
}

// Holder holds a shard's amounts for as long as the shard is owned. One
// goroutine, Run, owns the state; table calls run in goroutines of their own,
// at most one per team, and report to it.
type Holder struct {
	opts    Options
	public  atomic.Pointer[public]
	inbox   chan any
	wake    chan struct{} // wants are there
	mu      sync.Mutex
	wants   map[string]model.Resources
	changes *rate.Limiter
	ownerAt platform.Write // condition that the shard is still owned

	// Owned by Run.
	core      Core
	teams     map[string]*team
	effective *config.Config // as last taken in
	accepted  *config.Config
	group     *errgroup.Group // of the goroutines that Run starts
}

// asked is the message that the other shards were asked for a team.
type asked struct{ team string }

// public is what the owner sees.
type public struct {
	grants  map[string]grant
	changed chan struct{}
}

// grant is one team's amount in force, and the limit that it was settled for.
type grant struct {
	amount model.Resources
	limit  model.Resources
}

// team is the holder's state of one team.
type team struct {
	name  string
	known bool            // limit and even are set
	limit model.Resources // effective
	final model.Resources // accepted limit
	even  model.Resources // even part of the limit

	entry     model.Resources  // of the shard in the row, by the last settled read or write
	bound     *model.Resources // lower amount in force while a lowering is not settled
	frozen    bool             // the limit was lowered; nothing starts until the sum fits again
	freezes   int              // how often the amount was frozen
	unsettled bool             // a write may still be under way: only another write settles it
	busy      bool             // a change of the row is under way
	changed   time.Time        // when entry last changed
	backoff   time.Duration
	retryAt   time.Time

	want      model.Resources
	peaks     []peak
	yield     time.Time // until when the shard holds no more than its even part
	growFrom  time.Time // no growth before
	asked     time.Time // when other shards were last asked
	giveBacks []giveBack
}

// peak is what a team needed at one moment.
type peak struct {
	at   time.Time
	need model.Resources
}

// giveBack is another shard's question.
type giveBack struct {
	team  string
	want  model.Resources
	reply chan model.Resources
}

// reviewed is the message that the core told its use.
type reviewed struct{ uses []TeamUsage }

// moved is the message that a change of a row has ended.
type moved struct {
	team    string
	row     Row
	err     error
	freezes int // of the team when the change began
}

// New returns a holder that holds nothing until Run has read the table.
func New(opts Options) *Holder {
	if opts.Recorder == nil {
		opts.Recorder = timeline.Discard{}
	}
	h := &Holder{
		opts:    opts,
		inbox:   make(chan any, 64),
		wake:    make(chan struct{}, 1),
		wants:   map[string]model.Resources{},
		changes: rate.NewLimiter(ChangesPerSecond, changeBurst),
		teams:   map[string]*team{},
	}
	h.public.Store(&public{changed: make(chan struct{})})
	return h
}

// Granted returns the shard's amount of the team, and false if nothing of the team
// may start. Zero components are unlimited; negative ones are limited, but
// nothing of them is held. An amount that was settled for a higher limit is not
// in force any more.
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
	g, known := h.public.Load().grants[team]
	if !known || lowered(g.limit, t.Limit) || g.amount.IsZero() {
		return model.Resources{}, false
	}
	return inForce(g.amount, t.Limit), true
}

// Changed returns a channel that is closed at the next change of any amount.
func (h *Holder) Changed() <-chan struct{} { return h.public.Load().changed }

// Request asks for room for the given total use. It returns at once; Changed tells
// when there is more.
func (h *Holder) Request(team string, total model.Resources) {
	h.mu.Lock()
	h.wants[team] = total
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// GiveBack answers another shard's question: it returns what was given back in
// the table. What is used or needed up to the even part stays.
func (h *Holder) GiveBack(ctx context.Context, team string, want model.Resources) (model.Resources, error) {
	g := giveBack{team: team, want: want, reply: make(chan model.Resources, 1)}
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

// Run inherits the shard's amounts from the table and serves until ctx ends or
// the shard is lost (ErrNotOwner). The owner row's version is a condition of
// every write, so that a replaced owner changes nothing.
func (h *Holder) Run(ctx context.Context, core Core, ownerKey string, ownerVersion int64) error {
	h.core = core
	h.ownerAt = platform.Write{Key: ownerKey, IfVersion: ownerVersion, CheckOnly: true}
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
	if err := h.inherit(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		changed := h.opts.Limits.Changed()
		h.takeLimits(ctx)
		h.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
			h.review(ctx)
		case <-h.wake:
			h.takeWants(ctx)
		case m := <-h.inbox:
			if err := h.handle(ctx, m); err != nil {
				return err
			}
		}
	}
}

func (h *Holder) handle(ctx context.Context, message any) error {
	switch m := message.(type) {
	case giveBack:
		h.takeGiveBack(ctx, m)
	case reviewed:
		h.takeUses(ctx, m.uses)
	case moved:
		return h.takeMoved(ctx, m)
	case asked:
		h.grow(ctx, h.team(m.team))
	}
	return nil
}

// publish shows the amounts in force to the owner, if any changed.
func (h *Holder) publish() {
	now := h.public.Load()
	same := len(h.teams) == len(now.grants)
	for name, t := range h.teams {
		same = same && now.grants[name] == t.grant()
	}
	if same {
		return
	}
	next := make(map[string]grant, len(h.teams))
	for name, t := range h.teams {
		next[name] = t.grant()
	}
	h.public.Store(&public{grants: next, changed: make(chan struct{})})
	close(now.changed)
}

func (t *team) grant() grant { return grant{amount: t.allowed(), limit: t.limit} }

// allowed returns the amount in force at the core.
func (t *team) allowed() model.Resources {
	switch {
	case t.frozen:
		return model.Resources{}
	case t.bound != nil:
		return t.entry.Min(*t.bound)
	case time.Now().Before(t.yield):
		return t.entry.Min(t.even)
	}
	return t.entry
}
