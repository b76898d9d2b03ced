package journal

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
)

// Transfer is the part of a transaction that removes jobs from another shard's journal. The
// same transaction writes the acceptance of the jobs by this shard, so that each job is in
// exactly one journal at any time.
type Transfer struct {
	from   *Writer
	row    *pendingRow
	writes []platform.Write
}

// TransferLostError reports that the source shard of an entry's transfer has another owner.
// Nothing of the batch was written.
type TransferLostError struct {
	Entry int // index in the batch
}

// Error describes the cause.
func (e *TransferLostError) Error() string {
	return "the jobs' shard was taken over"
}

// Transfer prepares to move jobs from w's shard to the shard to. A writer has at most one
// transfer in progress; the caller calls Moved after it is durable.
func (w *Writer) Transfer(jobs []*Job, to string) (*Transfer, error) {
	var records []*Record
	var claims []platform.Write
	for _, j := range jobs {
		id := string(j.Spec.ID)
		records = append(records, &Record{Kind: &Record_JobMoved{JobMoved: &JobMoved{JobId: id, ToShard: to}}})
		if j.IdempotencyRow == "" {
			continue
		}
		value, err := encode(&IdempotencyRow{JobId: id, Shard: to})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		claims = append(claims, platform.Write{Key: j.IdempotencyRow, Value: value, IfVersion: platform.AnyVersion})
	}
	row, err := w.prepareRow([]Entry{{Records: records}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Transfer{from: w, row: row, writes: append(row.writes, claims...)}, nil
}

// Moved records in the source's writer that the transfer is durable.
func (t *Transfer) Moved() error { return trace.Wrap(t.from.applyCommitted(t.row)) }

// checkTransfers returns a TransferLostError for the first entry whose source shard has
// another owner.
func (w *Writer) checkTransfers(ctx context.Context, entries []Entry) error {
	for i, e := range entries {
		if e.Transfer == nil {
			continue
		}
		err := w.checkOwner(ctx, e.Transfer.from.owner)
		if errors.Is(err, ErrOwnershipLost) {
			return &TransferLostError{Entry: i}
		}
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
