package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is returned if the changes after the given version are no longer
// available; the reader scans the table again.
var ErrHistoryLost = errors.New("history of changes is gone")

// PartitionRow is a row of a partitioned table. Version is the value of a counter of
// the whole store, which grows with each transaction.
type PartitionRow struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   int64
	Deleted   bool // only set in the result of Changes
}

// Condition is the version that a row must have, or MustBeAbsent.
type Condition struct {
	Table, Partition, Key string
	Version               int64
}

// Tx is a transaction on rows of one partition. It is applied as a whole or not at all.
type Tx struct {
	Conditions []Condition
	Puts       []PartitionRow
	Removes    []PartitionRow
}

// RowConflictError reports failed conditions, with the current rows of the conditions.
type RowConflictError struct {
	Rows []PartitionRow
}

// Error implements error.
func (e *RowConflictError) Error() string { return ErrConflict.Error() }

// Is makes errors.Is(err, ErrConflict) hold.
func (e *RowConflictError) Is(target error) bool { return target == ErrConflict }

// Page is a part of a scan, consistent at one point in time.
type Page struct {
	Rows    []PartitionRow
	More    bool
	Version int64 // newest version of the store at that time
	// Clock is the store's clock when it read the rows; 0 if it is not known.
	Clock time.Duration
}

// Store is the platform's store of partitioned tables. Errors wrap ErrUnavailable (the
// call had no effect), ErrRejected (it had none, and a repeat has none either), ErrAmbiguous
// (a transaction may have been or may yet be applied), ErrConflict (as *RowConflictError) or
// ErrHistoryLost.
type Store interface {
	// Commit applies a transaction and returns its version.
	Commit(ctx context.Context, tx Tx) (int64, error)
	// Scan returns rows of one partition with from <= key < to; an empty to
	// means no upper bound.
	Scan(ctx context.Context, table, partition, from, to string) (Page, error)
	// Changes returns the rows of a table that changed after a version, and the
	// version to continue from. It waits for the first change, for at most the duration
	// wait.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]PartitionRow, int64, error)
}

// maxKeyBytes is the size of the longest key.
const maxKeyBytes = 200

// ScanAll reads a whole partition. The version is that of the first page, so that
// Changes after it misses no change.
func ScanAll(ctx context.Context, s Store, table, partition string) ([]PartitionRow, int64, error) {
	var rows []PartitionRow
	var version int64
	from := ""
	for {
		page, err := s.Scan(ctx, table, partition, from, "")
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		next := page.Rows
		if n := len(rows); n > 0 && len(next) > 0 && next[0].Key == rows[n-1].Key {
			next = next[1:]
		}
		rows = append(rows, next...)
		if !page.More || len(next) == 0 {
			return rows, version, nil
		}
		// The next page begins with the key that follows, or again with the last key if the
		// one that follows would be too long.
		if from = next[len(next)-1].Key; len(from) < maxKeyBytes {
			from += "\x00"
		}
	}
}

// Feed is a source of entries and their changes.
type Feed[T any] interface {
	// List returns the current entries and the version to continue from.
	List(ctx context.Context) ([]T, int64, error)
	// Next returns the changes after a version and the version to continue from. It waits
	// for the first change, for at most the duration wait. After ErrHistoryLost the reader
	// calls List.
	Next(ctx context.Context, after int64, wait time.Duration) ([]T, int64, error)
}
