package rows

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cuminloft/internal/platform"
)

// SlowStore is a store whose calls take time. A partition applies its transactions one
// after the other, also those whose callers have given up. It refuses transactions
// while more than maxBacklog, a second of work, waits.
type SlowStore struct {
	*Store
	mu        sync.Mutex
	latency   time.Duration        // of a read, and of a transaction in its partition
	busyUntil map[string]time.Time // when each partition will have applied its backlog
	commits   int
	refusals  int
}

// maxBacklog is the work that may wait at a partition.
const maxBacklog = time.Second

// NewSlowStore returns a store whose calls take the given time.
func NewSlowStore(store *Store, latency time.Duration) *SlowStore {
	return &SlowStore{Store: store, latency: latency, busyUntil: map[string]time.Time{}}
}

// SetLatency changes the time that calls take.
func (s *SlowStore) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

// Counts returns how many transactions were accepted and how many were refused.
func (s *SlowStore) Counts() (commits, refusals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.commits, s.refusals
}

// enqueue returns when a transaction of the partition will be applied, or false if the
// partition's backlog is full.
func (s *SlowStore) enqueue(partition string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	begin := s.busyUntil[partition]
	if begin.Before(now) {
		begin = now
	}
	if begin.Sub(now) > maxBacklog {
		s.refusals++
		return time.Time{}, false
	}
	s.commits++
	s.busyUntil[partition] = begin.Add(s.latency)
	return s.busyUntil[partition], true
}

// Commit implements platform.Store.
func (s *SlowStore) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	done, ok := s.enqueue(partitionOf(tx))
	if !ok {
		return 0, fmt.Errorf("%w: the backlog of the partition is full", platform.ErrRefused)
	}
	type result struct {
		version int64
		err     error
	}
	reply := make(chan result, 1)
	time.AfterFunc(time.Until(done), func() {
		version, err := s.Store.Commit(context.Background(), tx)
		reply <- result{version, err}
	})
	select {
	case r := <-reply:
		return r.version, r.err
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", platform.ErrAmbiguous, ctx.Err())
	}
}

func partitionOf(tx platform.Tx) string {
	for _, rows := range [][]platform.PartitionRow{tx.Puts, tx.Removes} {
		if len(rows) > 0 {
			return rows[0].Partition
		}
	}
	return ""
}

// Scan implements platform.Store.
func (s *SlowStore) Scan(ctx context.Context, table, partition, from, to string) (platform.Page, error) {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	select {
	case <-time.After(latency):
		return s.Store.Scan(ctx, table, partition, from, to)
	case <-ctx.Done():
		return platform.Page{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
	}
}
