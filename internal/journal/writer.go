package journal

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
	"cuminloft/internal/worker"
)

// retryInterval is the time between tries to settle a lost answer.
const retryInterval = 100 * time.Millisecond

// Entry is what must become durable together: records, and the idempotency row
// of an accepted job.
type Entry struct {
	Records []*Record
	// Idempotency is the row that must be absent before; nil: none.
	Idempotency *Idempotency
	// Delete names a row that is deleted with the entry; empty: none.
	Delete string
	// Transfer moves the entry's jobs out of another shard; nil: none.
	Transfer *Transfer
}

// Idempotency claims a caller's key for a job.
type Idempotency struct {
	Row   string
	Value *IdempotencyRow
}

// ClaimedError tells that the idempotency key of an entry names an earlier job.
// Nothing of the batch was written.
type ClaimedError struct {
	Entry int // index in the batch
	First *IdempotencyRow
}

// Error names the earlier job.
func (e *ClaimedError) Error() string {
	return "idempotency key names job " + e.First.GetJobId()
}

// OwnerRow names the owner row as its owner wrote it.
type OwnerRow struct {
	Shard   string
	Fence   worker.Fence
	Version int64 // of the row OwnerKey(Shard)
}

// Guard is the condition that this owner still owns the shard.
func (o OwnerRow) Guard() platform.Write {
	return platform.Write{Key: OwnerKey(o.Shard), IfVersion: o.Version, CheckOnly: true}
}

// Writer appends rows to a shard's journal. One goroutine uses it.
type Writer struct {
	table          platform.Table
	owner          OwnerRow
	state          *State // as durable
	last           Seq
	size           int // bytes written since the newest snapshot
	rows           int // since the newest snapshot
	newestSnapshot SnapshotRow
}

// NewWriter returns a writer that continues after what was loaded. It takes
// l.State over.
func NewWriter(table platform.Table, owned OwnerRow, l *Loaded) *Writer {
	return &Writer{
		table: table, owner: owned, state: l.State, last: l.Last, rows: l.Rows,
		newestSnapshot: SnapshotRow{Object: l.Snapshot.GetObject(), Covers: l.Snapshot.GetCovers()},
	}
}

// Write appends one row with all entries. Errors:
//   - platform.ErrUnavailable: nothing was written;
//   - *ClaimedError: nothing was written; write again without that entry;
//   - ErrDeposed, ErrCorrupt: the shard is lost;
//   - the context's: it is not known whether the row was written.
//
// Once an answer was lost, the same row is written again until it is known
// what became of it: the batch is never given up, because a write that is
// still under way may land later.
func (w *Writer) Write(ctx context.Context, entries []Entry) error {
	row, err := w.prepareRow(entries)
	if err != nil {
		return trace.Wrap(err)
	}
	inDoubt := false
	for {
		_, err := w.table.Apply(ctx, row.writes)
		switch {
		case err == nil:
			return trace.Wrap(w.applyCommitted(row))
		case errors.Is(err, platform.ErrConflict):
			err = w.resolveConflict(ctx, row, entries)
		case errors.Is(err, platform.ErrUnavailable) && !inDoubt:
			return trace.Wrap(err)
		default:
			inDoubt = true
			err = errOutcomeUnknown
		}
		if !errors.Is(err, errOutcomeUnknown) {
			return err
		}
		if err := wait.For(ctx, retryInterval); err != nil {
			return trace.Wrap(err)
		}
	}
}

// errOutcomeUnknown tells that the row must be written again.
var errOutcomeUnknown = errors.New("write is not settled")

type pendingRow struct {
	key     string
	nonce   string
	records []*Record
	size    int
	writes  []platform.Write
}

func (w *Writer) prepareRow(entries []Entry) (*pendingRow, error) {
	row := &pendingRow{key: RowKey(w.owner.Shard, w.last+1), nonce: rand.Text()}
	row.writes = []platform.Write{w.owner.Guard()}
	for _, e := range entries {
		row.records = append(row.records, e.Records...)
		extra, err := e.writes()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		row.writes = append(row.writes, extra...)
	}
	value, err := encode(&Batch{
		Nonce:     row.nonce,
		Fence:     int64(w.owner.Fence),
		WrittenNs: time.Now().UnixNano(),
		Records:   row.records,
	})
	row.size = len(value)
	row.writes = append(row.writes, platform.Write{Key: row.key, Value: value, IfVersion: platform.MustBeAbsent})
	return row, trace.Wrap(err)
}

func (e Entry) writes() ([]platform.Write, error) {
	var out []platform.Write
	if e.Delete != "" {
		out = append(out, platform.Write{Key: e.Delete, Delete: true, IfVersion: platform.AnyVersion})
	}
	if e.Transfer != nil {
		out = append(out, e.Transfer.writes...)
	}
	if e.Idempotency == nil {
		return out, nil
	}
	value, err := encode(e.Idempotency.Value)
	return append(out, platform.Write{Key: e.Idempotency.Row, Value: value, IfVersion: platform.MustBeAbsent}), trace.Wrap(err)
}

func (w *Writer) applyCommitted(row *pendingRow) error {
	w.last++
	w.rows++
	w.size += row.size
	for _, r := range row.records {
		if err := w.state.Apply(r); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// resolveConflict finds the cause of a conflict. The own row comes first: a conflict may
// come from an earlier try of the same write that took effect.
func (w *Writer) resolveConflict(ctx context.Context, row *pendingRow, entries []Entry) error {
	mine, err := w.isOwnRow(ctx, row)
	if err != nil {
		return err
	}
	if mine {
		return trace.Wrap(w.applyCommitted(row))
	}
	if err := w.checkOwner(ctx, w.owner); err != nil {
		return err
	}
	if err := w.checkTransfers(ctx, entries); err != nil {
		return err
	}
	return w.findClaimedKey(ctx, entries)
}

// isOwnRow reports whether the row is in the table with this writer's nonce.
func (w *Writer) isOwnRow(ctx context.Context, row *pendingRow) (bool, error) {
	found, err := getRow(ctx, w.table, row.key)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var b Batch
	if err := decode(found.Value, &b); err != nil {
		return false, trace.Wrap(err, "row %s", row.key)
	}
	if b.GetNonce() == row.nonce {
		return true, nil
	}
	return false, trace.Wrap(ErrOwnershipLost, "row %s was written under fence %d", row.key, b.GetFence())
}

func (w *Writer) checkOwner(ctx context.Context, o OwnerRow) error {
	found, err := getRow(ctx, w.table, OwnerKey(o.Shard))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if found.Version != o.Version {
		return trace.Wrap(ErrOwnershipLost, "owner row of %s has version %d, not %d", o.Shard, found.Version, o.Version)
	}
	return nil
}

func (w *Writer) findClaimedKey(ctx context.Context, entries []Entry) error {
	for i, e := range entries {
		if e.Idempotency == nil {
			continue
		}
		first, err := ReadIdempotency(ctx, w.table, e.Idempotency.Row)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
		return &ClaimedError{Entry: i, First: first}
	}
	return errOutcomeUnknown
}

// ReadIdempotency returns the job that a caller's key names, or ErrNotFound. The
// read is repeated until the platform answers or the context ends.
func ReadIdempotency(ctx context.Context, table platform.Table, row string) (*IdempotencyRow, error) {
	found, err := getRow(ctx, table, row)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	first := &IdempotencyRow{}
	return first, trace.Wrap(decode(found.Value, first), "row %s", row)
}
