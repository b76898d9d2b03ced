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
	owner    OwnerRow
	data     []byte
	row      SnapshotRow
	previous SnapshotRow
}

// PrepareSnapshot encodes the durable state. The result is stored by Save, which
// may run beside further writes.
func (w *Writer) PrepareSnapshot() (*PreparedSnapshot, error) {
	data, err := encode(w.state.snapshot(w.last))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &PreparedSnapshot{
		owner: w.owner,
		data:  data,
		// The nonce keeps a deposed owner from replacing its successor's object.
		row: SnapshotRow{
			Object: fmt.Sprintf("snapshot/%s/%016x-%s", w.owner.Shard, int64(w.last), rand.Text()),
			Covers: int64(w.last),
		},
		previous: SnapshotRow{Object: w.newestSnapshot.GetObject(), Covers: w.newestSnapshot.GetCovers()},
	}, nil
}

// SnapshotSaved tells the writer that p is the newest snapshot now.
func (w *Writer) SnapshotSaved(p *PreparedSnapshot) {
	w.rows = int(int64(w.last) - p.row.GetCovers())
	w.size = 0
	w.newestSnapshot = SnapshotRow{Object: p.row.GetObject(), Covers: p.row.GetCovers()}
}

// Save stores the snapshot, names it in the table, deletes the rows that it
// covers and the object that it replaces. A failed Save leaves the older
// snapshot valid; leftovers are removed by the next one.
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

// truncate deletes the rows that the snapshot covers, oldest first, so that the
// rest stays without gaps.
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
