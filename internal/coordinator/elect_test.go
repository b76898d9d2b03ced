package coordinator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/standin/rows"
	"cuminloft/internal/wait"
)

// election runs electors over one store. Its first holder can be lost: then it
// commits nothing more.
type election struct {
	store  *rows.SlowStore
	pause  time.Duration // between two commits of a holder
	answer func() error  // of the lost holder to a probe
	wait   sync.WaitGroup

	quiet atomic.Int64 // the store answers nothing until then

	mu        sync.Mutex
	holder    int
	epoch     int64
	committed time.Time // last commit of the present holder
	lost      time.Time
	taken     time.Time // when the second term began
}

func newElection(pause time.Duration) *election {
	return &election{store: rows.NewSlowStore(rows.New(), usualCall), pause: pause, holder: -1,
		answer: func() error { return nil }}
}

// add starts the elector of a host of that rank after a delay.
func (e *election) add(ctx context.Context, rank int, dwarfed bool, delay time.Duration) {
	health := platform.NewHealth(&quietStore{SlowStore: e.store, until: &e.quiet})
	e.wait.Go(func() { follow(ctx, health) })
	elector := &Elector{
		Store: health, Host: fmt.Sprint("host-", rank), Address: fmt.Sprint("host-", rank, ":1"),
		Log: logr.Discard(), Rank: func() int { return rank }, Undersized: func() bool { return dwarfed },
		Probe: func(context.Context, string) (int64, time.Duration, error) { return e.probe() },
		Lead:  func(ctx context.Context, term *Term) error { return e.lead(ctx, rank, term) },
	}
	e.wait.Go(func() {
		time.Sleep(delay)
		_ = elector.Run(ctx) // ends with its context only
	})
}

func (e *election) probe() (int64, time.Duration, error) {
	e.mu.Lock()
	gone, epoch, age := e.gone(e.epoch), e.epoch, time.Since(e.committed)
	e.mu.Unlock()
	if gone {
		return epoch, age, e.answer()
	}
	return epoch, age, nil
}

// gone reports whether the holder of that term is lost. The caller holds mu.
func (e *election) gone(epoch int64) bool { return epoch == 1 && !e.lost.IsZero() }

func (e *election) lead(ctx context.Context, rank int, term *Term) error {
	e.mu.Lock()
	e.holder, e.epoch, e.committed = rank, term.Epoch, time.Now()
	if term.Epoch == 2 {
		e.taken = time.Now()
	}
	e.mu.Unlock()
	for {
		e.mu.Lock()
		gone := e.gone(term.Epoch)
		e.mu.Unlock()
		if !gone {
			if err := term.Commit(ctx, nil, nil); err != nil {
				return err
			}
			e.mu.Lock()
			e.committed = time.Now()
			e.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(e.pause):
		}
	}
}

// silence makes the store answer nothing for a time.
func (e *election) silence(span time.Duration) {
	e.quiet.Store(time.Now().Add(span).UnixNano())
}

// quietStore answers no call that begins before until, in nanoseconds since 1970.
type quietStore struct {
	*rows.SlowStore
	until *atomic.Int64
}

func (s *quietStore) quiet() bool { return time.Now().UnixNano() < s.until.Load() }

// unreadTimeout is how long a read waits for an answer, as in the platform's adapter.
const unreadTimeout = 700 * time.Millisecond

func (s *quietStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if s.quiet() {
		<-ctx.Done()
		return 0, platform.ErrAmbiguous
	}
	return s.SlowStore.Commit(ctx, tx)
}

func (s *quietStore) Scan(ctx context.Context, table, part, from, to string) (platform.Page, error) {
	if s.quiet() {
		_ = wait.For(ctx, unreadTimeout)
		return platform.Page{}, platform.ErrUnavailable
	}
	return s.SlowStore.Scan(ctx, table, part, from, to)
}

func (s *quietStore) Changes(ctx context.Context, table string, after int64, span time.Duration) ([]platform.PartitionRow, int64, error) {
	if s.quiet() {
		_ = wait.For(ctx, span+unreadTimeout)
		return nil, after, platform.ErrUnavailable
	}
	return s.SlowStore.Changes(ctx, table, after, span)
}

// follow reads a feed as each host does; it is how the store's return is heard of.
func follow(ctx context.Context, s platform.Store) {
	nothing := func(context.Context, []string) error { return nil }
	_ = platform.Follow(ctx, changesFeed{s}, 1, platform.Follower[string]{ // ends with ctx
		Wait: 900 * time.Millisecond, OnList: nothing, OnChange: nothing})
}

// changesFeed is the feed of a table in which nothing changes.
type changesFeed struct{ store platform.Store }

func (changesFeed) List(context.Context) ([]string, int64, error) { return nil, 1, nil }

func (f changesFeed) Next(ctx context.Context, after int64, span time.Duration) ([]string, int64, error) {
	_, version, err := f.store.Changes(ctx, "none", after, span)
	return nil, version, err
}

// lose loses the first holder.
func (e *election) lose() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = time.Now()
}

// present returns the holder and its term.
func (e *election) present() (holder int, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder, e.epoch
}

// Load pattern: the store turns the coordinator and half of the large hosts away.
// A large host takes the seat, though small ones may notice the silence earlier.
func TestSmallHostsLeaveTheSeatToLargeOnes(t *testing.T) {
	const large, small = 3, 23
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			e := newElection(commitPause)
			for i := range large + small {
				delay := time.Duration(0)
				if i >= large { // hosts reread the seat at different times
					delay = time.Duration((i*7919+seed*104729)%int(seatReread.Milliseconds())) * time.Millisecond
				}
				e.add(ctx, i, i >= large, delay)
			}
			time.Sleep(8*time.Second + time.Duration(seed)*seatReread/20)
			holder, _ := e.present()
			is.True(holder >= 0 && holder < large)
			e.lose()
			time.Sleep(5 * time.Second)
			holder, epoch := e.present()
			is.True(epoch > 1)
			is.True(holder < large)
			cancel()
			e.wait.Wait()
		})
	}
}

// Time from the loss of the coordinator until another one has the seat, the worst
// of 50: the platform team's and our own aims are 0.5 s after a kill, 1.5 s after a
// silent loss. A holder that is turned away by the store tells so itself.
func TestTakeoverTime(t *testing.T) {
	errSilent := errors.New("no answer")
	for name, test := range map[string]struct {
		answer func() error
		most   time.Duration
	}{
		"killed":      {func() error { return ErrConnectionRefused }, 500 * time.Millisecond},
		"silent":      {func() error { time.Sleep(probeTimeout); return errSilent }, 1500 * time.Millisecond},
		"turned away": {func() error { return nil }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := range 50 {
				worst = max(worst, takeover(t, seed, test.answer))
			}
			t.Logf("worst of 50: %v", worst)
			if worst > test.most {
				t.Errorf("takeover took %v, the aim is %v", worst, test.most)
			}
		})
	}
}

// takeover returns the time from the loss of the first holder until the next has
// the seat.
func takeover(t *testing.T, seed int, answer func() error) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := newElection(heartbeat)
		e.answer = answer
		for i := range 5 {
			e.add(ctx, i, false, time.Duration(i*31+seed*17%97)*time.Millisecond)
		}
		time.Sleep(8*time.Second + time.Duration(seed*41)*time.Millisecond)
		e.lose()
		time.Sleep(5 * time.Second)
		cancel()
		e.wait.Wait()
		if e.taken.IsZero() {
			t.Fatal("nobody took the seat")
		}
		took = e.taken.Sub(e.lost)
	})
	return took
}

// Load pattern: the store is silent for seconds. Its return finds the holder at work,
// and a takeover would cost more than it gains.
func TestHolderKeepsTheSeatOverASilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		e := newElection(heartbeat)
		for i := range 12 {
			e.add(ctx, i, false, time.Duration(i*31)*time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		_, epoch := e.present()
		for n := range 6 {
			e.silence(4*time.Second + time.Duration(n*70)*time.Millisecond)
			time.Sleep(8 * time.Second)
			_, now := e.present()
			is.Equal(now, epoch)
		}
		cancel()
		e.wait.Wait()
	})
}
