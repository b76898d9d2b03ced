package grant

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cuminloft/internal/config"
	"cuminloft/internal/model"
	"cuminloft/internal/platform"
	"cuminloft/internal/rpc"
	"cuminloft/internal/standin"
	"cuminloft/internal/wait"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("5"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleetLimit is the limit of team t at the start, in slots.
const fleetLimit = 30

func slots(n int64) model.Resources { return model.Resources{Slots: n} }

// limits is a configuration of three shards and team t that tests change.
type limits struct {
	mu                  sync.Mutex
	effective, accepted *config.Config
	version             config.Version
	changed             chan struct{}
}

func newLimits(limit int64) *limits {
	l := &limits{changed: make(chan struct{})}
	l.set(limit, limit)
	return l
}

func limitConfig(limit int64) *config.Config {
	c := &config.Config{Organisations: []config.Organisation{{Teams: []config.Team{{Name: "t", Limit: slots(limit)}}}}}
	for i := range 3 {
		c.AZs = append(c.AZs, config.AZ{Name: fmt.Sprint("az", i), InService: true})
	}
	return c
}

func (l *limits) set(effective, accepted int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effective, l.accepted = limitConfig(effective), limitConfig(accepted)
	l.version++
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *limits) Effective() (*config.Config, config.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.effective, l.version
}

func (l *limits) Accepted() (*config.Config, config.Version) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted, l.version
}

func (l *limits) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// fleet is three shards that share one table.
type fleet struct {
	table  *standin.Table
	limits *limits
	shards []*shard
	group  sync.WaitGroup
	// checked is how much of the table's log check has seen, last its last row.
	checked int
	last    Row
}

// shard is a stand-in of one shard's owner: it starts tasks of one slot as far
// as the amount in force allows.
type shard struct {
	fleet   *fleet
	name    string
	mu      sync.Mutex
	holder  *Holder // of the present owner
	force   int64   // slots in force; as after the last Use or Changed
	used    int64
	pending int64
	stop    context.CancelFunc
	table   *lateTable
}

// lateTable is the table as one shard reaches it over a slow network.
type lateTable struct {
	*standin.Table
	fleet *fleet
	mu    sync.Mutex
	// answer delays the answers of writes; landing delays the writes
	// themselves, of which the caller learns nothing.
	answer, landing time.Duration
}

func (t *lateTable) delay(answer, landing time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer, t.landing = answer, landing
}

func (t *lateTable) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	t.mu.Lock()
	answer, landing := t.answer, t.landing
	t.mu.Unlock()
	if landing > 0 {
		t.fleet.group.Go(func() {
			time.Sleep(landing)
			_, _ = t.Table.Apply(context.Background(), writes)
		})
		return nil, platform.ErrAmbiguous
	}
	versions, err := t.Table.Apply(ctx, writes)
	if wait.For(ctx, answer) != nil {
		return nil, platform.ErrAmbiguous
	}
	return versions, err
}

func newFleet(ctx context.Context, limit int64) *fleet {
	f := &fleet{table: standin.NewTable("grant/"), limits: newLimits(limit)}
	for i := range 3 {
		f.shards = append(f.shards, &shard{fleet: f, name: fmt.Sprintf("az%d-0", i), table: &lateTable{Table: f.table, fleet: f}})
		f.own(ctx, i)
	}
	return f
}

// own replaces the owner of shard i; what runs there goes on.
func (f *fleet) own(ctx context.Context, i int) {
	s := f.shards[i]
	if s.stop != nil {
		s.stop()
	}
	s.mu.Lock()
	s.force = 0
	s.mu.Unlock()
	key := "shard/" + s.name + "/owner"
	version := int64(0)
	for version == 0 {
		versions, err := f.table.Apply(ctx, []platform.Write{{Key: key, IfVersion: platform.AnyVersion}})
		if err == nil {
			version = versions[0]
		}
	}
	holder := New(Options{Shard: s.name, Table: s.table, Limits: f.limits, RequestGiveBack: f.ask, Log: logr.Discard()})
	s.mu.Lock()
	s.holder = holder
	s.mu.Unlock()
	ctx, s.stop = context.WithCancel(ctx)
	f.group.Go(func() { _ = holder.Run(ctx, s, key, version) })
	f.group.Go(func() { s.follow(ctx, holder) })
}

// current returns the holder of the present owner.
func (s *shard) current() *Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder
}

// follow puts raised amounts in force some time after they are announced.
func (s *shard) follow(ctx context.Context, h *Holder) {
	for ctx.Err() == nil {
		changed := h.Changed()
		s.put(h)
		select {
		case <-changed:
			_ = wait.For(ctx, 3*time.Millisecond)
		case <-ctx.Done():
		}
	}
}

func (s *shard) put(h *Holder) {
	held, ok := h.Granted("t")
	s.mu.Lock()
	defer s.mu.Unlock()
	if h != s.holder {
		return
	}
	s.force = 0
	if ok {
		s.force = max(held.Slots, 0)
	}
}

// ApplyGrants implements Core.
func (s *shard) ApplyGrants(ctx context.Context) ([]TeamUsage, error) {
	if err := wait.For(ctx, time.Millisecond); err != nil {
		return nil, err
	}
	s.put(s.current())
	s.mu.Lock()
	defer s.mu.Unlock()
	return []TeamUsage{{Team: "t", Used: slots(s.used), Pending: slots(s.pending)}}, nil
}

// run starts as many of the pending tasks as the amount in force allows.
func (s *shard) run() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := max(min(s.pending, s.force-s.used), 0)
	s.pending -= n
	s.used += n
	if s.pending > 0 {
		s.holder.Request("t", slots(s.used+s.pending))
	}
}

func (s *shard) end(n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= min(n, s.used)
}

func (s *shard) submit(n int64) {
	s.mu.Lock()
	s.pending += n
	s.mu.Unlock()
}

func (f *fleet) ask(ctx context.Context, r *rpc.GiveBackRequest) (*rpc.GiveBackReply, error) {
	for _, s := range f.shards {
		if s.name == r.GetShard() {
			given, err := s.current().GiveBack(ctx, r.GetTeam(), r.GetWant().Model())
			return &rpc.GiveBackReply{Given: rpc.FromResources(given)}, err
		}
	}
	return nil, errors.New("no such shard")
}

// used returns what all shards run, and row the team's row.
func (f *fleet) used() int64 {
	total := int64(0)
	for _, s := range f.shards {
		s.mu.Lock()
		total += s.used
		s.mu.Unlock()
	}
	return total
}

func (f *fleet) row() Row {
	log := f.table.Log()
	if len(log) == 0 {
		return Row{}
	}
	r, err := decodeRow("grant/t", log[len(log)-1].Value)
	if err != nil {
		panic(err)
	}
	return r
}

// live lets d pass; shards start what they may every 10 ms.
func (f *fleet) live(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, s := range f.shards {
			s.run()
		}
	}
}

func inFleet(t *testing.T, test func(ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { withFleet(test) })
}

func withFleet(test func(ctx context.Context, f *fleet)) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(ctx, fleetLimit)
	defer f.group.Wait()
	defer cancel()
	test(ctx, f)
}

// The owner asks Held when it takes a configuration in, perhaps before the
// holder has seen it.
func TestHeldObeysALowerLimitAtOnce(t *testing.T) {
	is := is.New(t)
	l := newLimits(fleetLimit)
	h := New(Options{Limits: l})
	h.public.Store(&public{grants: map[string]grant{"t": {amount: slots(20), limit: slots(fleetLimit)}}})
	held, ok := h.Granted("t")
	is.True(ok)
	is.Equal(held, slots(20))
	l.set(fleetLimit+1, fleetLimit+1)
	_, ok = h.Granted("t")
	is.True(ok)
	l.set(fleetLimit-1, fleetLimit)
	_, ok = h.Granted("t")
	is.True(!ok) // also below 20: other shards may hold the rest
	_, ok = h.Granted("nobody")
	is.True(!ok)
}

func TestFirstUseTakesAnEvenPartWithOneWrite(t *testing.T) {
	inFleet(t, func(_ context.Context, f *fleet) {
		is := is.New(t)
		f.shards[0].submit(1)
		f.live(100 * time.Millisecond)
		is.Equal(f.used(), int64(1))
		is.Equal(f.row().Amount("az0-0"), slots(10))
		is.Equal(len(f.table.Log()), 1)
		f.live(2 * IdleAfter)
		is.Equal(f.row().Amount("az0-0"), slots(3)) // needed plus slack
		is.Equal(len(f.table.Log()), 2)
		f.shards[0].end(1)
		f.live(2 * IdleAfter)
		is.Equal(f.row().Sum(), slots(0))
	})
}

func TestOneShardMayUseTheWholeLimitAndGivesHalfBack(t *testing.T) {
	inFleet(t, func(_ context.Context, f *fleet) {
		is := is.New(t)
		f.shards[0].submit(1000)
		f.live(time.Second)
		is.Equal(f.used(), int64(30))
		f.shards[1].submit(1000)
		for range 60 {
			f.live(time.Second)
			f.shards[0].end(2)
			f.shards[1].end(2)
			is.True(f.used() <= 30)
		}
		is.True(f.shards[1].used >= 8) // close to its even part of 10
	})
}

func TestStoreOutageKeepsGrantsAndLoweredLimitStopsStarts(t *testing.T) {
	inFleet(t, func(_ context.Context, f *fleet) {
		is := is.New(t)
		f.shards[0].submit(1000)
		f.live(time.Second)
		f.table.Set(standin.FaultSet{Down: true})
		f.shards[0].end(5)
		f.live(10 * time.Second)
		is.Equal(f.used(), int64(30)) // refilled without the table
		f.limits.set(12, 30)          // staged
		f.live(100 * time.Millisecond)
		f.shards[0].end(5)
		f.live(time.Second)
		is.Equal(f.used(), int64(25)) // nothing starts over the lower limit
		f.limits.set(12, 12)
		f.table.Set(standin.FaultSet{})
		f.shards[0].end(14)
		f.live(20 * time.Second)
		is.Equal(f.used(), int64(12))
		is.Equal(f.row().Sum(), slots(12))
	})
}

func TestReplacedOwnerWritesNothing(t *testing.T) {
	inFleet(t, func(ctx context.Context, f *fleet) {
		is := is.New(t)
		f.shards[0].submit(5)
		f.live(time.Second)
		old := f.shards[0].current()
		key := "shard/az0-0/owner"
		_, err := f.table.Apply(ctx, []platform.Write{{Key: key, IfVersion: platform.AnyVersion}})
		is.NoErr(err)
		before := f.row().Amount("az0-0")
		old.Request("t", slots(20))
		f.live(time.Second)
		is.Equal(f.row().Amount("az0-0"), before)
		f.own(ctx, 0)
		f.shards[0].submit(15)
		f.live(time.Second)
		is.Equal(f.used(), int64(20))
	})
}

// A change of the row that began before the limit was lowered, and is answered
// after it, has seen a sum that no longer holds.
func TestChangeFromBeforeAFreezeDoesNotLiftIt(t *testing.T) {
	inFleet(t, func(_ context.Context, f *fleet) {
		is := is.New(t)
		f.shards[0].table.delay(3*time.Second, 0)
		f.shards[0].submit(1)
		f.live(100 * time.Millisecond)
		f.shards[1].submit(20)
		f.live(100 * time.Millisecond)
		is.Equal(f.row().Sum(), slots(30)) // of which shard 0 does not know yet
		is.Equal(f.used(), int64(20))
		f.shards[0].submit(1000)
		f.shards[1].submit(1000)
		f.limits.set(15, 15)
		before := f.used()
		f.live(3 * time.Second)
		is.Equal(f.used(), before) // over the limit already
	})
}

func failedMoves() string {
	if n := counters.Get("failed_moves"); n != nil {
		return n.String()
	}
	return ""
}

// A lowering whose answer was lost may land after the amount is wanted again.
func TestLateLoweringDoesNotUndercutWhatTheCoreAllows(t *testing.T) {
	inFleet(t, func(_ context.Context, f *fleet) {
		f.shards[0].submit(30)
		f.live(time.Second)
		f.shards[0].table.delay(0, moveTimeout+3*time.Second)
		f.shards[0].end(30)
		for given := failedMoves(); failedMoves() == given; {
			f.live(10 * time.Millisecond) // until the holder gives up; its writes are on their way
		}
		f.shards[0].table.delay(0, 0)
		f.shards[0].submit(30)
		f.live(moveTimeout)
		f.check(t)
		f.shards[1].submit(30)
		for range 80 {
			f.live(100 * time.Millisecond)
			f.check(t)
			if f.used() > fleetLimit {
				t.Fatalf("%d run, the limit is %d", f.used(), fleetLimit)
			}
		}
	})
}

// TestSumStaysWithinLimit drives three shards through lost answers, outages,
// replaced owners and changed limits. At every step the cores together allow
// no more than the row grants, no write raises the sum over the limit, and
// nothing starts while more than the limit runs.
func TestSumStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(t *rapid.T) {
			withFleet(func(ctx context.Context, f *fleet) { explore(ctx, t, f) })
		})
	})
}

// noDeadline hides the test's deadline, which a bubble of synctest cannot read.
type noDeadline struct{ rapid.TB }

type fataler interface {
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

func explore(ctx context.Context, t *rapid.T, f *fleet) {
	limit := int64(fleetLimit)
	draw := func(what string, least, most int) int { return rapid.IntRange(least, most).Draw(t, what) }
	t.Repeat(map[string]func(*rapid.T){
		"submit": func(*rapid.T) { f.shards[draw("shard", 0, 2)].submit(int64(draw("tasks", 1, 20))) },
		"end":    func(*rapid.T) { f.shards[draw("shard", 0, 2)].end(int64(draw("tasks", 1, 20))) },
		"faults": func(*rapid.T) {
			f.table.Set(standin.FaultSet{LoseReplyEvery: draw("lose", 0, 3), Down: draw("down", 0, 3) == 0})
		},
		"slow": func(*rapid.T) { f.table.Set(standin.FaultSet{ReplyDelayMillis: int64(draw("late", 0, 3000))}) },
		"well": func(*rapid.T) { f.table.Set(standin.FaultSet{}) },
		"replace": func(*rapid.T) {
			f.table.Set(standin.FaultSet{})
			f.own(ctx, draw("shard", 0, 2))
		},
		"limit": func(*rapid.T) {
			next := int64(draw("limit", 1, 40))
			f.limits.set(min(limit, next), limit)
			f.watch(t, time.Duration(draw("staged for", 0, 2000))*time.Millisecond, limit)
			for _, s := range f.shards {
				s.put(s.current()) // owners confirm before a version is accepted
			}
			f.limits.set(next, next)
			limit = next
		},
		"wait": func(*rapid.T) { f.watch(t, time.Duration(draw("millis", 1, 8000))*time.Millisecond, limit) },
		"idle": func(*rapid.T) {
			for range 2 + int(IdleAfter/reviewInterval) {
				f.watch(t, 10*time.Millisecond, limit)
				time.Sleep(reviewInterval)
			}
		},
		"": func(t *rapid.T) { f.check(t) },
	})
}

// watch lets d pass and checks every start.
func (f *fleet) watch(t *rapid.T, d time.Duration, limit int64) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, s := range f.shards {
			before := f.used()
			s.run()
			if after := f.used(); after > before && after > limit {
				t.Fatalf("%s started: %d run, the limit is %d", s.name, after, limit)
			}
		}
		f.check(t)
	}
}

func (f *fleet) check(t fataler) {
	log := f.table.Log()
	for _, entry := range log[f.checked:] {
		next, err := decodeRow(entry.Key, entry.Value)
		if err != nil {
			t.Fatal(err)
		}
		if next.Sum().Slots > f.last.Sum().Slots && next.Sum().Slots > next.Limit.Slots {
			t.Fatalf("a write raised the sum to %d, the limit is %d", next.Sum().Slots, next.Limit.Slots)
		}
		f.last = next
	}
	f.checked = len(log)
	for _, s := range f.shards {
		s.mu.Lock()
		force := s.force
		s.mu.Unlock()
		if held := f.last.Amount(s.name).Slots; force > held {
			t.Fatalf("%s allows %d, the row grants %d", s.name, force, held)
		}
	}
}
