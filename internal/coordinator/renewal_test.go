package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

// thinLinkStore delays the commits of one host, as a full link does.
type thinLinkStore struct {
	platform.Store
	delay func() time.Duration
}

func (s *thinLinkStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if err := wait.For(ctx, s.delay()); err != nil {
		return 0, platform.ErrAmbiguous
	}
	return s.Store.Commit(ctx, tx)
}

// thinLinkElection is an election among hosts with thin links. While a host leads, its
// commits take as long as delay returns for the age of its term, and it answers no probe
// in time.
type thinLinkElection struct {
	*election
	loadTime time.Duration // from a host's first commit to Term.Loaded
	delay    func(termAge time.Duration) time.Duration
	loaded   int64 // epoch of the latest term that loaded the jobs
}

func (e *thinLinkElection) add(ctx context.Context, rank int) {
	var since atomic.Pointer[time.Time] // when this host's term began; nil while it does not lead
	store := &thinLinkStore{e.store, func() time.Duration {
		if began := since.Load(); began != nil {
			return e.delay(time.Since(*began))
		}
		return 0
	}}
	elector := &Elector{
		Store: platform.NewHealth(store), Host: string(rune('a' + rank)), Address: string(rune('a'+rank)) + ":1",
		Log: logr.Discard(), Rank: func() int { return rank }, Undersized: func() bool { return false },
		Probe: func(ctx context.Context, _ string) (int64, time.Duration, error) {
			_ = wait.For(ctx, time.Minute)
			return 0, 0, errors.New("no answer")
		},
		Lead: func(ctx context.Context, term *Term) error {
			began := time.Now()
			since.Store(&began)
			defer since.Store(nil)
			return e.lead(ctx, term)
		},
	}
	e.wait.Go(func() { _ = elector.Run(ctx) }) // ends only with its context
}

func (e *thinLinkElection) lead(ctx context.Context, term *Term) error {
	e.mu.Lock()
	e.epoch = term.Epoch
	e.mu.Unlock()
	began := time.Now()
	for {
		if err := term.Commit(ctx, nil, nil); err != nil {
			return err
		}
		if time.Since(began) >= e.loadTime {
			term.Loaded()
			e.mu.Lock()
			e.loaded = term.Epoch
			e.mu.Unlock()
		}
		if err := wait.For(ctx, renewInterval); err != nil {
			return err
		}
	}
}

// TestSlowLeaderStays guards against taking a leader's slowness for its absence. Load
// pattern: the leader's link fills up within seconds, its commits take longer and longer,
// and its answers to probes come too late.
func TestSlowLeaderStays(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 1))
			fills := time.Duration(3+r.IntN(5)) * time.Second
			slowest := time.Duration(400+r.IntN(600)) * time.Millisecond
			e := &thinLinkElection{election: newElection(renewInterval), delay: func(age time.Duration) time.Duration {
				return min(slowest, time.Duration(float64(slowest)*float64(age)/float64(fills)))
			}}
			ctx, cancel := context.WithCancel(t.Context())
			for rank := range 12 {
				e.add(ctx, rank)
			}
			time.Sleep(20 * time.Second)
			_, epoch := e.current()
			is.Equal(epoch, int64(firstEpoch))
			cancel()
			e.wait.Wait()
		})
	}
}

// TestLoadingLeaderStays guards against terms that end before the jobs are loaded, one
// after the other. Load pattern: a leader is lost, and its successor reads all jobs over
// a link of 2 Mbit/s, which delays its commits and its answers to probes.
func TestLoadingLeaderStays(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := rand.New(rand.NewPCG(seed, 2))
			load := time.Duration(1000+r.IntN(3000)) * time.Millisecond
			commit := time.Duration(500+r.IntN(500)) * time.Millisecond
			e := &thinLinkElection{election: newElection(renewInterval), loadTime: load, delay: func(age time.Duration) time.Duration {
				if age < load {
					return commit
				}
				return 0
			}}
			ctx, cancel := context.WithCancel(t.Context())
			for rank := range 12 {
				e.add(ctx, rank)
			}
			time.Sleep(25 * time.Second)
			_, epoch := e.current()
			is.Equal(e.loaded, epoch)
			is.True(epoch <= 8*fencesPerTerm) // the time for a load doubles with each term
			cancel()
			e.wait.Wait()
		})
	}
}

func TestRenewalAnnounced(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	announced := func(r *renewal) time.Duration {
		var record LeaderRecord
		r.announce(&record)
		return record.renewWithin()
	}
	usual := renewal{}
	usual.record(10*time.Millisecond, now)
	is.Equal(announced(&usual), time.Duration(0)) // other hosts wait longer in any case
	slow := renewal{}
	slow.record(500*time.Millisecond, now)
	slow.record(10*time.Millisecond, now.Add(time.Second))
	is.True(announced(&slow) > time.Second)
	silent := renewal{}
	silent.record(4*time.Second, now) // the store did not answer
	silent.record(10*time.Millisecond, now.Add(5*time.Second))
	is.True(announced(&silent) <= silenceTimeout)
	silent.record(10*time.Millisecond, now.Add(10*time.Second))
	is.Equal(announced(&silent), time.Duration(0))
	slow.record(10*time.Millisecond, now.Add(time.Minute))
	is.Equal(announced(&slow), time.Duration(0)) // forgotten
	after := func(previous LeaderRecord) time.Duration {
		r := newRenewal(&previous)
		return announced(&r)
	}
	is.Equal(after(LeaderRecord{}), time.Duration(0))
	is.Equal(after(LeaderRecord{Loading: true}), minLoadTime)
	is.Equal(after(LeaderRecord{Loading: true, RenewMS: 1000}), 2*time.Second)
	is.Equal(after(LeaderRecord{Loading: true, RenewMS: maxLoadTime.Milliseconds()}), maxLoadTime)
}
