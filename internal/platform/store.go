package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost tells that the changes after the given version are no longer
// known; the reader scans the table anew.
var ErrHistoryLost = errors.New("history of changes is gone")

// PartitionRow is a row of a partitioned table. Version comes from one counter of
// the whole store and grows with each transaction.
type PartitionRow struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   int64
	Deleted   bool // in Changes only
}

// Condition is the version that a row must have; MustBeAbsent for no row.
type Condition struct {
	Table, Partition, Key string
	Version               int64
}

// Tx changes rows of one partition: all of them or none.
type Tx struct {
	Conditions []Condition
	Puts       []PartitionRow
	Removes    []PartitionRow
}

// RowConflictError is a failed condition with the current rows that it named.
type RowConflictError struct {
	Rows []PartitionRow
}

// Error says which condition failed.
func (e *RowConflictError) Error() string { return ErrConflict.Error() }

// Is makes errors.Is(err, ErrConflict) hold.
func (e *RowConflictError) Is(target error) bool { return target == ErrConflict }

// Page is a part of a scan, as of one moment.
type Page struct {
	Rows    []PartitionRow
	More    bool
	Version int64 // newest version of the store at that moment
}

// Store is the platform's store of partitioned tables. Errors wrap
// ErrUnavailable (nothing was done), ErrAmbiguous (a transaction may have been
// or may yet be done), ErrConflict as *RowConflictError, or ErrHistoryLost.
type Store interface {
	// Commit applies a transaction and returns its version.
	Commit(ctx context.Context, tx Tx) (int64, error)
	// Scan returns rows of one partition with from <= key < to; an empty to
	// means no upper bound.
	Scan(ctx context.Context, table, part, from, to string) (Page, error)
	// Changes returns the rows of a table that changed after a version, and the
	// version to go on from. It waits for the first one.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) ([]PartitionRow, int64, error)
}

// ScanAll reads a whole partition. The version is the one of the first page,
// so that Changes from there on misses nothing.
func ScanAll(ctx context.Context, s Store, table, part string) ([]PartitionRow, int64, error) {
	var rows []PartitionRow
	var version int64
	from := ""
	for {
		page, err := s.Scan(ctx, table, part, from, "")
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}

// Feed lists what a source holds and then follows its changes.
type Feed[T any] interface {
	// List returns the current entries and the version to follow from.
	List(ctx context.Context) ([]T, int64, error)
	// Next returns the changes after a version; ErrHistoryLost asks for List.
	Next(ctx context.Context, after int64, wait time.Duration) ([]T, int64, error)
}
