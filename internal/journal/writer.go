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

// retryInterval is the interval between retries of reads and of writes whose reply was
// lost.
const retryInterval = 100 * time.Millisecond

// Entry is a set of changes that become durable together: records, and the idempotency row
// of an accepted job.
type Entry struct {
	Records []*Record
	// Idempotency is the row to write; it must be absent before. nil: none.
	Idempotency *Idempotency
	// Delete is the key of a row that is deleted with the entry; empty: none.
	Delete string
	// Transfer moves the entry's jobs out of another shard; nil: none.
	Transfer *Transfer
}

// Idempotency claims a caller's idempotency key for a job.
type Idempotency struct {
	Row   string
	Value *IdempotencyRow
}

// ClaimedError reports that the idempotency key of an entry already belongs to an earlier
// job. Nothing of the batch was written.
type ClaimedError struct {
	Entry int // index in the batch
	First *IdempotencyRow
}

// Error names the earlier job.
func (e *ClaimedError) Error() string {
	return "idempotency key names job " + e.First.GetJobId()
}

// OwnerRow identifies the version of a shard's owner row that the owner itself wrote.
type OwnerRow struct {
	Shard   string
	Fence   worker.Fence
	Version int64 // of the row OwnerKey(Shard)
}

// Guard returns the condition that this owner still owns the shard.
func (o OwnerRow) Guard() platform.Write {
	return platform.Write{Key: OwnerKey(o.Shard), IfVersion: o.Version, CheckOnly: true}
}

// Writer appends rows to a shard's journal. It is not safe for concurrent use.
type Writer struct {
	table          platform.Table
	owner          OwnerRow
	state          *State // as stored durably
	last           Seq
	size           int // bytes written since the newest snapshot
	rows           int // rows written since the newest snapshot
	newestSnapshot SnapshotRow
}

// NewWriter returns a writer that appends after the loaded rows. It takes ownership of
// l.State.
func NewWriter(table platform.Table, owned OwnerRow, l *Loaded) *Writer {
	return &Writer{
		table: table, owner: owned, state: l.State, last: l.Last, rows: l.Rows,
		newestSnapshot: SnapshotRow{Object: l.Snapshot.GetObject(), Covers: l.Snapshot.GetCovers()},
	}
}

// Write appends one row with all entries. Errors:
//   - platform.ErrUnavailable: nothing was written;
//   - *ClaimedError: nothing was written; the caller writes again without that entry;
//   - ErrDeposed, ErrCorrupt: the shard is lost;
//   - the context's error: it is unknown whether the row was written.
//
// After a lost reply, Write retries the same row until the outcome of the write is known.
// It never gives the batch up, because a write in flight may still take effect later.
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

// errOutcomeUnknown means that the row must be written again.
var errOutcomeUnknown = errors.New("outcome of the write is unknown")

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

// resolveConflict determines the cause of a conflict. It checks for the row itself first,
// since an earlier attempt of the same write may have taken effect and cause the conflict.
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

// isOwnRow reports whether the row is in the table with the nonce of this write.
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

// ReadIdempotency returns the job to which a caller's idempotency key belongs, or
// platform.ErrNotFound. It retries until the platform answers or the context ends.
func ReadIdempotency(ctx context.Context, table platform.Table, row string) (*IdempotencyRow, error) {
	found, err := getRow(ctx, table, row)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	first := &IdempotencyRow{}
	return first, trace.Wrap(decode(found.Value, first), "row %s", row)
}
