package journal

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
)

// Bounds of the journal between snapshots.
const (
	snapshotRows  = 4096     // rows
	snapshotBytes = 16 << 20 // bytes of rows
	truncateRows  = 100      // rows deleted in one transaction
)

// SnapshotDue reports whether the journal has grown enough for a snapshot.
func (w *Writer) SnapshotDue() bool {
	return w.rows >= snapshotRows || w.size >= snapshotBytes
}

// PreparedSnapshot is an encoded snapshot that is not stored yet.
type PreparedSnapshot struct {
	owned Owned
	data  []byte
	next  SnapshotRow
	last  SnapshotRow
}

// PrepareSnapshot encodes the durable state. The result is stored by Save, which
// may run beside further writes.
func (w *Writer) PrepareSnapshot() (*PreparedSnapshot, error) {
	data, err := encode(w.state.snapshot(w.last))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &PreparedSnapshot{
		owned: w.owned,
		data:  data,
		// The nonce keeps a deposed owner from replacing its successor's object.
		next: SnapshotRow{
			Object: fmt.Sprintf("snapshot/%s/%016x-%s", w.owned.Shard, int64(w.last), rand.Text()),
			Covers: int64(w.last),
		},
		last: SnapshotRow{Object: w.snap.GetObject(), Covers: w.snap.GetCovers()},
	}, nil
}

// Saved tells the writer that p is the newest snapshot now.
func (w *Writer) Saved(p *PreparedSnapshot) {
	w.rows = int(int64(w.last) - p.next.GetCovers())
	w.size = 0
	w.snap = SnapshotRow{Object: p.next.GetObject(), Covers: p.next.GetCovers()}
}

// Save stores the snapshot, names it in the table, deletes the rows that it
// covers and the object that it replaces. A failed Save leaves the older
// snapshot valid; leftovers are removed by the next one.
func (p *PreparedSnapshot) Save(ctx context.Context, table platform.Table, objects platform.ObjectStore) error {
	if err := objects.Put(ctx, p.next.GetObject(), p.data); err != nil {
		return trace.Wrap(err)
	}
	value, err := encode(&p.next)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = table.Apply(ctx, []platform.Write{
		p.owned.Guard(),
		{Key: SnapshotKey(p.owned.Shard), Value: value, IfVersion: platform.AnyVersion},
	})
	if errors.Is(err, platform.ErrConflict) {
		return trace.Wrap(ErrDeposed)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if err := p.truncate(ctx, table); err != nil {
		return trace.Wrap(err)
	}
	if p.last.GetObject() == "" {
		return nil
	}
	return trace.Wrap(objects.Delete(ctx, p.last.GetObject()))
}

// truncate deletes the rows that the snapshot covers, oldest first, so that the
// rest stays without gaps.
func (p *PreparedSnapshot) truncate(ctx context.Context, table platform.Table) error {
	prefix := rowPrefix(p.owned.Shard)
	end := RowKey(p.owned.Shard, Seq(p.next.GetCovers()))
	for {
		rows, err := table.Range(ctx, prefix, "", truncateRows)
		if err != nil {
			return trace.Wrap(err)
		}
		writes := []platform.Write{p.owned.Guard()}
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
