package journal

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
)

// Sizes of the journal at which a snapshot is due, and of truncation.
const (
	snapshotRows  = 4096     // rows
	snapshotBytes = 16 << 20 // bytes of rows
	truncateRows  = 100      // rows deleted in one transaction
)

// SnapshotDue reports whether the journal has grown enough for a snapshot.
func (w *Writer) SnapshotDue() bool {
	return w.rows >= snapshotRows || w.size >= snapshotBytes
}

// PreparedSnapshot is an encoded snapshot that Save stores.
type PreparedSnapshot struct {
	owner    OwnerRow
	data     []byte
	row      SnapshotRow
	previous SnapshotRow
}

// PrepareSnapshot encodes the durable state. Save stores the result and may run
// concurrently with further writes.
func (w *Writer) PrepareSnapshot() (*PreparedSnapshot, error) {
	data, err := encode(w.state.snapshot(w.last))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &PreparedSnapshot{
		owner: w.owner,
		data:  data,
		// The nonce prevents an owner that has lost the shard from replacing the object
		// of its successor.
		row: SnapshotRow{
			Object: fmt.Sprintf("snapshot/%s/%016x-%s", w.owner.Shard, int64(w.last), rand.Text()),
			Covers: int64(w.last),
		},
		previous: SnapshotRow{Object: w.newestSnapshot.GetObject(), Covers: w.newestSnapshot.GetCovers()},
	}, nil
}

// SnapshotSaved records that p has been saved and is the newest snapshot.
func (w *Writer) SnapshotSaved(p *PreparedSnapshot) {
	w.rows = int(int64(w.last) - p.row.GetCovers())
	w.size = 0
	w.newestSnapshot = SnapshotRow{Object: p.row.GetObject(), Covers: p.row.GetCovers()}
}

// Save stores the snapshot, names it in the table, and deletes the rows that it covers and
// the object that it replaces. After a failed Save the previous snapshot is still valid;
// the next Save removes what was left over.
func (p *PreparedSnapshot) Save(ctx context.Context, table platform.Table, objects platform.ObjectStore) error {
	if err := objects.Put(ctx, p.row.GetObject(), p.data); err != nil {
		return trace.Wrap(err)
	}
	value, err := encode(&p.row)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = table.Apply(ctx, []platform.Write{
		p.owner.Guard(),
		{Key: SnapshotKey(p.owner.Shard), Value: value, IfVersion: platform.AnyVersion},
	})
	if errors.Is(err, platform.ErrConflict) {
		return trace.Wrap(ErrOwnershipLost)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if err := p.truncate(ctx, table); err != nil {
		return trace.Wrap(err)
	}
	if p.previous.GetObject() == "" {
		return nil
	}
	return trace.Wrap(objects.Delete(ctx, p.previous.GetObject()))
}

// truncate deletes the rows that the snapshot covers, oldest first, so that the remaining
// rows have no gaps.
func (p *PreparedSnapshot) truncate(ctx context.Context, table platform.Table) error {
	prefix := rowPrefix(p.owner.Shard)
	end := RowKey(p.owner.Shard, Seq(p.row.GetCovers()))
	for {
		rows, err := table.Range(ctx, prefix, "", truncateRows)
		if err != nil {
			return trace.Wrap(err)
		}
		writes := []platform.Write{p.owner.Guard()}
		for _, row := range rows {
			if row.Key <= end {
				writes = append(writes, platform.Write{Key: row.Key, Delete: true, IfVersion: platform.AnyVersion})
			}
		}
		if len(writes) == 1 {
			return nil
		}
		if _, err := table.Apply(ctx, writes); err != nil {
			return trace.Wrap(err)
		}
	}
}
