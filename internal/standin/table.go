package standin

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"cuminloft/internal/platform"
)

// Table is the stand-in of the platform's table service.
type Table struct {
	Faults

	mu          sync.Mutex
	rows        map[string]platform.Row
	lastVersion int64 // version of the latest write
	stats       TableStats
	log         []TableLogEntry
	watched     []string
}

// TableStats counts the operations of a table since its creation.
type TableStats struct {
	Reads      int64 `json:"reads"`       // Get and Range calls
	Writes     int64 `json:"writes"`      // committed transactions
	Conflicts  int64 `json:"conflicts"`   // transactions that failed a version condition
	RowsPut    int64 `json:"rows_put"`    // rows written
	BytesPut   int64 `json:"bytes_put"`   // bytes of keys and values written
	BytesRead  int64 `json:"bytes_read"`  // bytes of values returned
	Rows       int64 `json:"rows"`        // current number of rows
	LostWrites int64 `json:"lost_writes"` // committed transactions whose reply was withheld
}

// TableLogEntry is one write of a watched key, for checkers that don't trust the
// scheduler's own counters.
type TableLogEntry struct {
	Time    time.Time `json:"time"`
	Key     string    `json:"key"`
	Version int64     `json:"version"` // zero: deleted
	Value   []byte    `json:"value,omitempty"`
}

// NewTable returns an empty table that logs writes to keys with one of the watched
// prefixes.
func NewTable(watched ...string) *Table {
	return &Table{rows: map[string]platform.Row{}, watched: watched}
}

// Get implements platform.Table.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := t.admitRead(ctx); err != nil {
		return platform.Row{}, err
	}
	t.mu.Lock()
	row, ok := t.rows[key]
	t.stats.BytesRead += int64(len(row.Value))
	t.mu.Unlock()
	if !ok {
		return platform.Row{}, fmt.Errorf("row %q: %w", key, platform.ErrNotFound)
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

// Range implements platform.Table.
func (t *Table) Range(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := t.admitRead(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for k, r := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			r.Value = bytes.Clone(r.Value)
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	for _, r := range rows {
		t.stats.BytesRead += int64(len(r.Value))
	}
	return rows, nil
}

// Apply implements platform.Table.
func (t *Table) Apply(ctx context.Context, writes []platform.Write) ([]int64, error) {
	c, up, err := t.beginCall(ctx)
	if err != nil {
		return nil, ambiguousWrite(err)
	}
	if !up || t.Faults.Get().FailEverything {
		return nil, fmt.Errorf("table stand-in: %w", platform.ErrUnavailable)
	}
	versions, err := t.commit(writes)
	if err != nil {
		return nil, err
	}
	if err := t.delayReply(ctx); err != nil {
		return nil, ambiguousWrite(err)
	}
	if c.loseReply {
		t.mu.Lock()
		t.stats.LostWrites++
		t.mu.Unlock()
		return nil, fmt.Errorf("table stand-in: %w", platform.ErrAmbiguous)
	}
	return versions, nil
}

// Stats returns the counts so far and the current number of rows.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Rows = int64(len(t.rows))
	return s
}

// Log returns the writes of watched keys, oldest first.
func (t *Table) Log() []TableLogEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]TableLogEntry(nil), t.log...)
}

// admitRead applies the faults to a read and counts it.
func (t *Table) admitRead(ctx context.Context) error {
	c, up, err := t.beginCall(ctx)
	if err == nil {
		err = t.delayReply(ctx)
	}
	if err != nil {
		return fmt.Errorf("table stand-in: %w: %w", platform.ErrUnavailable, err)
	}
	if !up || c.loseReply || t.Faults.Get().FailEverything {
		return fmt.Errorf("table stand-in: %w", platform.ErrUnavailable)
	}
	t.mu.Lock()
	t.stats.Reads++
	t.mu.Unlock()
	return nil
}

// commit applies all writes or none.
func (t *Table) commit(writes []platform.Write) ([]int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, w := range writes {
		if w.IfVersion != platform.AnyVersion && t.rows[w.Key].Version != w.IfVersion {
			t.stats.Conflicts++
			return nil, &platform.ConflictError{Key: w.Key}
		}
	}
	t.stats.Writes++
	versions := make([]int64, len(writes))
	for i, w := range writes {
		versions[i] = t.write(w)
	}
	return versions, nil
}

// write applies one write and returns the row's new version, or 0 for a check or a
// deletion.
func (t *Table) write(w platform.Write) int64 {
	if w.CheckOnly {
		return 0
	}
	entry := TableLogEntry{Time: time.Now(), Key: w.Key}
	if w.Delete {
		delete(t.rows, w.Key)
	} else {
		t.lastVersion++
		entry.Version = t.lastVersion
		entry.Value = bytes.Clone(w.Value)
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: entry.Value, Version: t.lastVersion}
		t.stats.RowsPut++
		t.stats.BytesPut += int64(len(w.Key) + len(w.Value))
	}
	for _, prefix := range t.watched {
		if strings.HasPrefix(w.Key, prefix) {
			t.log = append(t.log, entry)
			break
		}
	}
	return entry.Version
}

// ambiguousWrite wraps the error of a write whose outcome the caller does not learn.
func ambiguousWrite(err error) error {
	return fmt.Errorf("table stand-in: %w: %w", platform.ErrAmbiguous, err)
}
