// Package rows is an in-memory stand-in of the platform's store, with the
// faults that its protocol allows.
package rows

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"cuminloft/internal/platform"
)

// Fault is what becomes of a transaction.
type Fault int

// The faults.
const (
	None             Fault = iota
	Refused                // nothing is done, and the caller is told so
	AppliedReplyLost       // it is done, the answer is lost
	DelayedReplyLost       // the answer is lost; it is tried when Land is called
)

type rowKey struct{ table, part, key string }

// Store is the stand-in. Its zero value is not usable; call New.
type Store struct {
	mu      sync.Mutex
	version int64
	rows    map[rowKey]platform.PartitionRow
	history []platform.PartitionRow
	floor   int64 // changes up to this version are forgotten
	changed chan struct{}
	late    []platform.Tx
	fault   func(platform.Tx) Fault
	down    bool
	refuses map[string]bool // partitions that refuse every call
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[rowKey]platform.PartitionRow{}, changed: make(chan struct{})}
}

// SetFault chooses what becomes of transactions; nil means no faults.
func (s *Store) SetFault(f func(platform.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetDown makes every call fail without effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetPartitionDown makes a partition refuse every call, or not any more.
func (s *Store) SetPartitionDown(part string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuses == nil {
		s.refuses = map[string]bool{}
	}
	s.refuses[part] = down
}

// ApplyDelayed tries the transactions that were held back, and returns how many did
// anything.
func (s *Store) ApplyDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, tx := range s.late {
		if _, err := s.apply(tx); err == nil {
			n++
		}
	}
	s.late = nil
	return n
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.version, nil
}

// Commit implements platform.Store.
func (s *Store) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrAmbiguous, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := None
	if s.fault != nil {
		fault = s.fault(tx)
	}
	if s.down || s.refuses[partOf(tx)] {
		fault = Refused
	}
	switch fault {
	case Refused:
		return 0, platform.ErrRefused
	case DelayedReplyLost:
		s.late = append(s.late, tx)
		return 0, platform.ErrAmbiguous
	case AppliedReplyLost:
		_, _ = s.apply(tx) // the answer is lost either way
		return 0, platform.ErrAmbiguous
	}
	return s.apply(tx)
}

func (s *Store) apply(tx platform.Tx) (int64, error) {
	conflict := &platform.RowConflictError{}
	failed := false
	for _, c := range tx.Conditions {
		row, ok := s.rows[rowKey{c.Table, c.Partition, c.Key}]
		if ok {
			conflict.Rows = append(conflict.Rows, row)
		}
		failed = failed || row.Version != c.Version
	}
	if failed {
		return 0, conflict
	}
	s.version++
	for _, r := range tx.Puts {
		r.Version = s.version
		s.rows[rowKey{r.Table, r.Partition, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range tx.Removes {
		delete(s.rows, rowKey{r.Table, r.Partition, r.Key})
		r.Version, r.Deleted, r.Value = s.version, true, nil
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// scanLimit is the number of rows in one page, and in an answer about changes.
const scanLimit = 500

// Scan implements platform.Store.
func (s *Store) Scan(_ context.Context, table, part, from, to string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.refuses[part] {
		return platform.Page{}, platform.ErrRefused
	}
	var out []platform.PartitionRow
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	page := platform.Page{Rows: out, Version: s.version}
	if len(out) > scanLimit {
		page.Rows, page.More = out[:scanLimit], true
	}
	return page, nil
}

// Changes implements platform.Store.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartitionRow, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, version, changed, err := s.since(table, after)
		if err != nil || len(rows) > 0 {
			return rows, version, err
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-timer.C:
			return nil, version, nil
		case <-changed:
		}
	}
}

func (s *Store) since(table string, after int64) ([]platform.PartitionRow, int64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, after, nil, platform.ErrRefused
	}
	if after < s.floor {
		return nil, after, nil, platform.ErrHistoryLost
	}
	latest := map[rowKey]platform.PartitionRow{}
	for _, r := range s.history {
		if r.Table == table && r.Version > after {
			latest[rowKey{r.Table, r.Partition, r.Key}] = r
		}
	}
	out := make([]platform.PartitionRow, 0, len(latest))
	for _, r := range latest {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Version < out[b].Version })
	if len(out) > scanLimit {
		out = out[:scanLimit]
		return out, out[scanLimit-1].Version, s.changed, nil
	}
	return out, s.version, s.changed, nil
}
