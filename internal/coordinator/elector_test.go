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

// election runs electors on one store. Its first leader can be lost: then it commits
// nothing more.
type election struct {
	store  *rows.SlowStore
	pause  time.Duration // between two commits of a leader
	answer func() error  // answer of the lost leader to a probe
	wait   sync.WaitGroup

	silentUntil atomic.Int64 // the store answers nothing before, Unix nanoseconds

	mu        sync.Mutex
	leader    int
	epoch     int64
	committed time.Time // last commit of the current leader
	lost      time.Time
	taken     time.Time // when the second term began
}

func newElection(pause time.Duration) *election {
	return &election{store: rows.NewSlowStore(rows.New(), usualCall), pause: pause, leader: -1,
		answer: func() error { return nil }}
}

// add starts the elector of a host of the given rank after a delay.
func (e *election) add(ctx context.Context, rank int, undersized bool, delay time.Duration) {
	health := platform.NewHealth(&silentStore{SlowStore: e.store, until: &e.silentUntil})
	e.wait.Go(func() { follow(ctx, health) })
	elector := &Elector{
		Store: health, Host: fmt.Sprint("host-", rank), Address: fmt.Sprint("host-", rank, ":1"),
		Log: logr.Discard(), Rank: func() int { return rank }, Undersized: func() bool { return undersized },
		Probe: func(context.Context, string) (int64, time.Duration, error) { return e.probe() },
		Lead:  func(ctx context.Context, term *Term) error { return e.lead(ctx, rank, term) },
	}
	e.wait.Go(func() {
		time.Sleep(delay)
		_ = elector.Run(ctx) // ends only with its context
	})
}

func (e *election) probe() (int64, time.Duration, error) {
	e.mu.Lock()
	lost, epoch, age := e.isLost(e.epoch), e.epoch, time.Since(e.committed)
	e.mu.Unlock()
	if lost {
		return epoch, age, e.answer()
	}
	return epoch, age, nil
}

// isLost reports whether the leader of that term is lost. The caller holds mu.
func (e *election) isLost(epoch int64) bool { return epoch == firstEpoch && !e.lost.IsZero() }

func (e *election) lead(ctx context.Context, rank int, term *Term) error {
	e.mu.Lock()
	e.leader, e.epoch, e.committed = rank, term.Epoch, time.Now()
	if term.Epoch == secondEpoch {
		e.taken = time.Now()
	}
	e.mu.Unlock()
	for {
		e.mu.Lock()
		lost := e.isLost(term.Epoch)
		e.mu.Unlock()
		if !lost {
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

// silenceStore makes the store answer nothing for span.
func (e *election) silenceStore(span time.Duration) {
	e.silentUntil.Store(time.Now().Add(span).UnixNano())
}

// silentStore answers no call that begins before until, in Unix nanoseconds.
type silentStore struct {
	*rows.SlowStore
	until *atomic.Int64
}

func (s *silentStore) silent() bool { return time.Now().UnixNano() < s.until.Load() }

// readTimeout is how long a read waits for an answer, as in the platform's adapter.
const readTimeout = 700 * time.Millisecond

func (s *silentStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if s.silent() {
		<-ctx.Done()
		return 0, platform.ErrAmbiguous
	}
	return s.SlowStore.Commit(ctx, tx)
}

func (s *silentStore) Scan(ctx context.Context, table, part, from, to string) (platform.Page, error) {
	if s.silent() {
		_ = wait.For(ctx, readTimeout)
		return platform.Page{}, platform.ErrUnavailable
	}
	return s.SlowStore.Scan(ctx, table, part, from, to)
}

func (s *silentStore) Changes(ctx context.Context, table string, after int64, span time.Duration) ([]platform.PartitionRow, int64, error) {
	if s.silent() {
		_ = wait.For(ctx, span+readTimeout)
		return nil, after, platform.ErrUnavailable
	}
	return s.SlowStore.Changes(ctx, table, after, span)
}

// follow reads a feed as every host does; through it the host notices that the store
// answers again.
func follow(ctx context.Context, s platform.Store) {
	nothing := func(context.Context, []string) error { return nil }
	_ = platform.Follow(ctx, changesFeed{s}, 1, platform.Follower[string]{ // ends with ctx
		Wait: 900 * time.Millisecond, OnList: nothing, OnChange: nothing})
}

// changesFeed is the feed of a table without changes.
type changesFeed struct{ store platform.Store }

func (changesFeed) List(context.Context) ([]string, int64, error) { return nil, 1, nil }

func (f changesFeed) Next(ctx context.Context, after int64, span time.Duration) ([]string, int64, error) {
	_, version, err := f.store.Changes(ctx, "none", after, span)
	return nil, version, err
}

// loseLeader makes the first leader stop committing.
func (e *election) loseLeader() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = time.Now()
}

// current returns the current leader and its epoch.
func (e *election) current() (leader int, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader, e.epoch
}

// Guards against a small host becoming the leader while a large one could. Load
// pattern: the store refuses the coordinator and half of the large hosts. Small hosts
// may notice the leader's silence earlier than the remaining large hosts.
func TestSmallHostsLeaveLeadershipToLargeOnes(t *testing.T) {
	const large, small = 3, 23
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			e := newElection(commitInterval)
			for i := range large + small {
				delay := time.Duration(0)
				if i >= large { // hosts reread the leader record at different times
					delay = time.Duration((i*7919+seed*104729)%int(recordRereadPause.Milliseconds())) * time.Millisecond
				}
				e.add(ctx, i, i >= large, delay)
			}
			time.Sleep(8*time.Second + time.Duration(seed)*recordRereadPause/20)
			leader, _ := e.current()
			is.True(leader >= 0 && leader < large)
			e.loseLeader()
			time.Sleep(5 * time.Second)
			leader, epoch := e.current()
			is.True(epoch > 1)
			is.True(leader < large)
			cancel()
			e.wait.Wait()
		})
	}
}

// Bounds the time from the loss of the leader until another host has the leadership,
// the worst of 50. The platform team's and our own targets are 0.5 s after a kill and
// 1.5 s after a silent loss. A leader that the store refuses answers probes with the age
// of its last commit.
func TestTakeoverTime(t *testing.T) {
	errSilent := errors.New("no answer")
	for name, test := range map[string]struct {
		answer func() error
		most   time.Duration
	}{
		"killed":  {func() error { return ErrConnectionRefused }, 500 * time.Millisecond},
		"silent":  {func() error { time.Sleep(probeTimeout); return errSilent }, 1500 * time.Millisecond},
		"refused": {func() error { return nil }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			for seed := range 50 {
				worst = max(worst, takeover(t, seed, test.answer))
			}
			t.Logf("worst of 50: %v", worst)
			if worst > test.most {
				t.Errorf("takeover took %v, the target is %v", worst, test.most)
			}
		})
	}
}

// takeover returns the time from the loss of the first leader until the next one has
// the leadership.
func takeover(t *testing.T, seed int, answer func() error) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := newElection(renewInterval)
		e.answer = answer
		for i := range 5 {
			e.add(ctx, i, false, time.Duration(i*31+seed*17%97)*time.Millisecond)
		}
		time.Sleep(8*time.Second + time.Duration(seed*41)*time.Millisecond)
		e.loseLeader()
		time.Sleep(5 * time.Second)
		cancel()
		e.wait.Wait()
		if e.taken.IsZero() {
			t.Fatal("no host took the leadership")
		}
		took = e.taken.Sub(e.lost)
	})
	return took
}

// Guards against needless takeovers. Load pattern: the store is silent for seconds.
// When it answers again the leader is still at work, and a takeover would cost more
// than it gains.
func TestLeaderSurvivesAStoreSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		e := newElection(renewInterval)
		for i := range 12 {
			e.add(ctx, i, false, time.Duration(i*31)*time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		_, epoch := e.current()
		for n := range 6 {
			e.silenceStore(4*time.Second + time.Duration(n*70)*time.Millisecond)
			time.Sleep(8 * time.Second)
			_, now := e.current()
			is.Equal(now, epoch)
		}
		cancel()
		e.wait.Wait()
	})
}
