// Package rows is an in-memory stand-in of the platform's store, with the faults that
// the store's protocol allows.
package rows

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"cuminloft/internal/platform"
)

// Fault is the fault that the store injects into a transaction.
type Fault int

// The faults.
const (
	None             Fault = iota
	Refused                // not applied; the caller gets ErrRefused
	AppliedReplyLost       // applied; the reply is lost and the caller gets ErrAmbiguous
	DelayedReplyLost       // the reply is lost; ApplyDelayed applies the transaction later
	Rejected               // not applied; the caller gets ErrRejected
)

// Limits of the store: a transaction beyond them gets ErrRejected.
const (
	MaxRowBytes  = 64 << 10
	maxTxEntries = 100
)

// check returns an error for a transaction beyond the limits.
func check(tx platform.Tx) error {
	if n := len(tx.Conditions) + len(tx.Puts) + len(tx.Removes); n > maxTxEntries {
		return fmt.Errorf("%w: %d entries, the limit is %d", platform.ErrRejected, n, maxTxEntries)
	}
	for _, r := range tx.Puts {
		if len(r.Value) > MaxRowBytes {
			return fmt.Errorf("%w: row %q of table %q has %d bytes, the limit is %d", platform.ErrRejected, r.Key, r.Table, len(r.Value), MaxRowBytes)
		}
	}
	return nil
}

type rowKey struct{ table, partition, key string }

// Store is the in-memory store. Create it with New; its zero value is not usable.
type Store struct {
	mu          sync.Mutex
	version     int64
	rows        map[rowKey]platform.PartitionRow
	history     []platform.PartitionRow
	compactedTo int64 // changes up to this version are compacted away
	changed     chan struct{}
	delayed     []platform.Tx
	chooseFault func(platform.Tx) Fault
	down        bool
	began       time.Time
	refusing    map[string]bool // partitions that SetPartitionDown set to refuse
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[rowKey]platform.PartitionRow{}, changed: make(chan struct{}), began: time.Now()}
}

// StoreClock returns a reading of the store's clock.
func (s *Store) StoreClock() (platform.ClockReading, bool) {
	now := time.Now()
	return platform.ClockReading{Clock: now.Sub(s.began), Sent: now, Received: now}, true
}

// SetFault sets the function that chooses the fault of each transaction; nil means no
// faults.
func (s *Store) SetFault(f func(platform.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chooseFault = f
}

// SetDown makes every call fail without effect, or ends that state.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetPartitionDown makes a partition refuse every call, or ends that state.
func (s *Store) SetPartitionDown(partition string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing == nil {
		s.refusing = map[string]bool{}
	}
	s.refusing[partition] = down
}

// ApplyDelayed tries to apply the delayed transactions and returns how many were
// applied.
func (s *Store) ApplyDelayed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, tx := range s.delayed {
		if _, err := s.apply(tx); err == nil {
			n++
		}
	}
	s.delayed = nil
	return n
}

// Compact drops the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo, s.history = s.version, nil
}

// Commit implements platform.Store.
func (s *Store) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", platform.ErrAmbiguous, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := None
	if s.chooseFault != nil {
		fault = s.chooseFault(tx)
	}
	if s.down || s.refusing[partitionOf(tx)] {
		fault = Refused
	}
	if err := check(tx); err != nil && fault == None {
		return 0, err
	}
	switch fault {
	case Rejected:
		return 0, platform.ErrRejected
	case Refused:
		return 0, platform.ErrRefused
	case DelayedReplyLost:
		s.delayed = append(s.delayed, tx)
		return 0, platform.ErrAmbiguous
	case AppliedReplyLost:
		_, _ = s.apply(tx) // the reply is lost in either case
		return 0, platform.ErrAmbiguous
	}
	return s.apply(tx)
}

func (s *Store) apply(tx platform.Tx) (int64, error) {
	conflicts := &platform.RowConflictError{}
	failed := false
	for _, c := range tx.Conditions {
		row, ok := s.rows[rowKey{c.Table, c.Partition, c.Key}]
		if ok {
			conflicts.Rows = append(conflicts.Rows, row)
		}
		failed = failed || row.Version != c.Version
	}
	if failed {
		return 0, conflicts
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

// maxRowsPerReply is the number of rows in one page of Scan and in one reply of
// Changes.
const maxRowsPerReply = 500

// Scan implements platform.Store.
func (s *Store) Scan(_ context.Context, table, partition, from, to string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.refusing[partition] {
		return platform.Page{}, platform.ErrRefused
	}
	var out []platform.PartitionRow
	for k, r := range s.rows {
		if k.table == table && k.partition == partition && k.key >= from && (to == "" || k.key < to) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	page := platform.Page{Rows: out, Version: s.version, Clock: time.Since(s.began)}
	if len(out) > maxRowsPerReply {
		page.Rows, page.More = out[:maxRowsPerReply], true
	}
	return page, nil
}

// Changes implements platform.Store.
func (s *Store) Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]platform.PartitionRow, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rows, version, changed, err := s.changesAfter(table, after)
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

func (s *Store) changesAfter(table string, after int64) ([]platform.PartitionRow, int64, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, after, nil, platform.ErrRefused
	}
	if after < s.compactedTo {
		return nil, after, nil, platform.ErrHistoryLost
	}
	latest := map[rowKey]platform.PartitionRow{}
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
	for _, r := range s.history[first:] {
		if r.Table == table {
			latest[rowKey{r.Table, r.Partition, r.Key}] = r
		}
	}
	out := make([]platform.PartitionRow, 0, len(latest))
	for _, r := range latest {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Version < out[b].Version })
	if len(out) > maxRowsPerReply {
		out = out[:maxRowsPerReply]
		return out, out[maxRowsPerReply-1].Version, s.changed, nil
	}
	return out, s.version, s.changed, nil
}
