package journal

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"cuminloft/internal/platform"
	"cuminloft/internal/wait"
)

// pageRows is the number of rows requested in one read of the journal.
const pageRows = 500

// Loaded is a shard's durable state as read from the table and the object store.
type Loaded struct {
	State *State
	Last  Seq // sequence number of the newest row; 0: none
	// Snapshot is the newest snapshot; its Object is empty if there is none.
	Snapshot SnapshotRow
	Rows     int // number of rows read after the snapshot
}

// Load reads the newest snapshot and the rows after it. The caller must have taken the
// shard before, so that no earlier owner can append or delete rows meanwhile. Reads are
// retried until the platform answers or the context ends.
func Load(ctx context.Context, table platform.Table, objects platform.ObjectStore, shard string) (*Loaded, error) {
	l := &Loaded{State: NewState()}
	if err := l.readSnapshot(ctx, table, objects, shard); err != nil {
		return nil, trace.Wrap(err)
	}
	l.Last = Seq(l.Snapshot.GetCovers())
	for {
		rows, err := readUntilAnswered(ctx, func() ([]platform.Row, error) {
			return table.Range(ctx, rowPrefix(shard), RowKey(shard, l.Last), pageRows)
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, row := range rows {
			if err := l.apply(shard, row); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		if len(rows) == 0 {
			return l, nil
		}
	}
}

func (l *Loaded) readSnapshot(ctx context.Context, table platform.Table, objects platform.ObjectStore, shard string) error {
	row, err := getRow(ctx, table, SnapshotKey(shard))
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if err := decode(row.Value, &l.Snapshot); err != nil {
		return trace.Wrap(err, "snapshot row of %s", shard)
	}
	data, err := readUntilAnswered(ctx, func() ([]byte, error) { return objects.Get(ctx, l.Snapshot.GetObject()) })
	if errors.Is(err, platform.ErrNotFound) {
		return trace.Wrap(ErrCorrupt, "snapshot %s is missing", l.Snapshot.GetObject())
	}
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.decodeSnapshot(data))
}

func (l *Loaded) decodeSnapshot(data []byte) error {
	var s Snapshot
	if err := decode(data, &s); err != nil {
		return trace.Wrap(err, "snapshot %s", l.Snapshot.GetObject())
	}
	if s.GetCovers() != l.Snapshot.GetCovers() {
		return trace.Wrap(ErrCorrupt, "snapshot %s covers rows up to %d, but its table row says %d",
			l.Snapshot.GetObject(), s.GetCovers(), l.Snapshot.GetCovers())
	}
	state, err := stateFromSnapshot(&s)
	l.State = state
	return trace.Wrap(err)
}

func (l *Loaded) apply(shard string, row platform.Row) error {
	if want := RowKey(shard, l.Last+1); row.Key != want {
		return trace.Wrap(ErrCorrupt, "row %s is missing, found %s", want, row.Key)
	}
	var b Batch
	if err := decode(row.Value, &b); err != nil {
		return trace.Wrap(err, "row %s", row.Key)
	}
	for _, r := range b.GetRecords() {
		if err := l.State.Apply(r); err != nil {
			return trace.Wrap(err, "row %s", row.Key)
		}
	}
	l.Last++
	l.Rows++
	return nil
}

// readUntilAnswered retries a read until the platform answers or the context ends. Each
// read is retried alone, because a sequence of reads might never succeed as a whole.
func readUntilAnswered[T any](ctx context.Context, read func() (T, error)) (T, error) {
	for {
		v, err := read()
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return v, err
		}
		if ended := wait.For(ctx, retryInterval); ended != nil {
			return v, trace.Wrap(ended)
		}
	}
}

func getRow(ctx context.Context, table platform.Table, key string) (platform.Row, error) {
	return readUntilAnswered(ctx, func() (platform.Row, error) { return table.Get(ctx, key) })
}
