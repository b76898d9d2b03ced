package rows

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cuminloft/internal/platform"
)

// SlowStore is a store whose calls take time. A partition applies one transaction
// after the other, also those whose callers have given up, and refuses more
// than a second's worth of them.
type SlowStore struct {
	*Store
	mu       sync.Mutex
	took     time.Duration        // of a read, and of a transaction in its partition
	free     map[string]time.Time // when each partition has done what waits
	commits  int
	refusals int
}

// slowBacklog is how much work may wait at a partition.
const slowBacklog = time.Second

// NewSlowStore returns a store whose calls take the given time.
func NewSlowStore(store *Store, took time.Duration) *SlowStore {
	return &SlowStore{Store: store, took: took, free: map[string]time.Time{}}
}

// SetLatency changes the time that calls take.
func (s *SlowStore) SetLatency(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.took = took
}

// Counts returns how many transactions were taken and refused.
func (s *SlowStore) Counts() (commits, refusals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.refusals
}

// enqueue returns when a transaction of the partition is done, and false if too
// many wait there.
func (s *SlowStore) enqueue(part string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	begin := s.free[part]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > slowBacklog {
		s.refusals++
		return time.Time{}, false
	}
	s.commits++
	s.free[part] = begin.Add(s.took)
	return s.free[part], true
}

// Commit implements platform.Store.
func (s *SlowStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	done, ok := s.enqueue(partOf(tx))
	if !ok {
		return 0, fmt.Errorf("%w: too many transactions wait", platform.ErrRefused)
	}
	type result struct {
		version int64
		err     error
	}
	answer := make(chan result, 1)
	time.AfterFunc(time.Until(done), func() {
		version, err := s.Store.Commit(context.Background(), tx)
		answer <- result{version, err}
	})
	select {
	case r := <-answer:
		return r.version, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", platform.ErrAmbiguous, ctx.Err())
	}
}

func partOf(tx platform.Tx) string {
	for _, rows := range [][]platform.PartitionRow{tx.Puts, tx.Removes} {
		if len(rows) > 0 {
			return rows[0].Partition
		}
	}
	return ""
}

// Scan implements platform.Store.
func (s *SlowStore) Scan(ctx context.Context, table, part, from, to string) (platform.Page, error) {
	s.mu.Lock()
	took := s.took
	s.mu.Unlock()
	select {
	case <-time.After(took):
		return s.Store.Scan(ctx, table, part, from, to)
	case <-ctx.Done():
		return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
}
